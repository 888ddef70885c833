package dewwing.control.core.intent

import dewwing.control.core.job.Attempt
import dewwing.control.core.job.AttemptPhase
import dewwing.control.core.job.Job
import dewwing.protocol.Pack
import dewwing.protocol.Step
import java.util.BitSet

/**
 * A gang's placement that is too large for one log record, while it is being written to the state service.
 *
 * The part records are written first, in as many transactions as needed. The step record is written last, and the parts
 * are valid only once it exists. Until then the attempts stay in [AttemptPhase.LOGGING] and occupy their slots.
 */
class SplitPlacement(
    val job: Job,
    val step: Step,
    val attempts: List<Attempt>,
    val parts: List<LogRecord>,
) {
    /** Number of parts that are written or in the current transaction. */
    var writtenParts = 0
        private set

    /** Whether the step record is written or in the current transaction. */
    var isStepRecordWritten = false
        private set

    /**
     * Whether the job is still open and none of the attempts has been withdrawn. A gang that loses an attempt before its
     * placement is logged is placed anew.
     */
    val isStillValid: Boolean
        get() = job.isOpen && attempts.all { it.isPlaced && it.phase == AttemptPhase.LOGGING && it.killGraceS == null }

    /** Adds as many of the remaining records to [batch] as fit. */
    fun addTo(batch: WriteBatch) {
        val writtenBefore = writtenParts
        while (writtenParts < parts.size && !batch.isFull()) {
            val value = parts[writtenParts].toValue()
            if (Pack.jsonSize(value) > batch.bytesLeft) break
            batch.create(job.keys.logPart(job.ref, step, writtenParts), value)
            writtenParts++
        }
        if (writtenParts == parts.size && !batch.isFull()) {
            batch.requireRevision(Keys.job(job.ref), job.revision)
            batch.create(job.keys.log(job.ref, step), LogRecord(emptyList(), BitSet(), parts.size).toValue())
            isStepRecordWritten = true
        }
        batch.onRefused {
            writtenParts = writtenBefore
            isStepRecordWritten = false
        }
    }

    /** Keys of the part records written so far, to be deleted when the placement is abandoned or no longer needed. */
    fun writtenPartKeys(): List<String> = (0 until writtenParts).map { job.keys.logPart(job.ref, step, it) }
}

/** Reassembles split placements from records that are read in the order of their keys. */
class SplitPlacementReader {
    private class PartialPlacement(
        val expectedParts: Int,
    ) {
        val assignments = ArrayList<LogRecord.Assignment>()
        var partsRead = 0
    }

    private val partialPlacements = HashMap<LogKey, PartialPlacement>()

    /** Keys of parts that have no step record: their placement was never completed. */
    val orphanKeys = ArrayList<String>()

    /** Registers a step record whose placement is stored in [parts] part records. */
    fun expectParts(
        stepKey: LogKey,
        parts: Int,
    ) {
        partialPlacements[stepKey] = PartialPlacement(parts)
    }

    /** Adds one part record; returns the whole placement once its last part has been added, null before. */
    fun addPart(
        key: String,
        logKey: LogKey,
        record: LogRecord,
    ): List<LogRecord.Assignment>? {
        val stepKey = logKey.copy(part = null)
        val placement = partialPlacements[stepKey]
        if (placement == null) {
            orphanKeys.add(key)
            return null
        }
        placement.assignments.addAll(record.assignments)
        placement.partsRead++
        if (placement.partsRead < placement.expectedParts) return null
        partialPlacements.remove(stepKey)
        return placement.assignments
    }

    /** Steps of which at least one part is missing. */
    fun incompleteSteps(): Set<LogKey> = partialPlacements.keys
}
