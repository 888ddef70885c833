package dewwing.control.core.intent

import dewwing.control.core.job.Attempt
import dewwing.control.core.job.AttemptPhase
import dewwing.control.core.job.Job
import dewwing.protocol.Pack
import dewwing.protocol.Step
import java.util.BitSet

/**
 * A gang's placement that one record cannot hold, on its way into the state service.
 *
 * Its parts are written first, in as many transactions as they take; the step's record, which alone makes them count,
 * comes last. Until then its attempts stay in [AttemptPhase.LOGGING] and hold their places.
 */
class SplitPlacement(
    val job: Job,
    val step: Step,
    val attempts: List<Attempt>,
    val parts: List<LogRecord>,
) {
    /** Parts that are written, or are in the transaction under way. */
    var written = 0
        private set

    /** The step's record is written, or is in the transaction under way. */
    var isCompleted = false
        private set

    /** None of its attempts was withdrawn meanwhile: a gang that lost one before it was logged is placed anew. */
    val isWanted: Boolean
        get() = job.isOpen && attempts.all { it.isPlaced && it.phase == AttemptPhase.LOGGING && it.killGraceS == null }

    /** Adds to [batch] what it still has room for. */
    fun addTo(batch: WriteBatch) {
        val writtenBefore = written
        while (written < parts.size && !batch.isFull()) {
            val value = parts[written].toValue()
            if (Pack.jsonSize(value) > batch.bytesLeft) break
            batch.create(job.keys.logPart(job.ref, step, written), value)
            written++
        }
        if (written == parts.size && !batch.isFull()) {
            batch.require(Keys.job(job.ref), job.revision)
            batch.create(job.keys.log(job.ref, step), LogRecord(emptyList(), BitSet(), parts.size).toValue())
            isCompleted = true
        }
        batch.onRefused {
            written = writtenBefore
            isCompleted = false
        }
    }

    /** The keys written so far, for whoever clears them away. */
    fun writtenKeys(): List<String> = (0 until written).map { job.keys.logPart(job.ref, step, it) }
}

/** Puts the parts of placements together again as they are read in the order of their keys. */
class SplitPlacementReader {
    private class Open(
        val expected: Int,
    ) {
        val placed = ArrayList<LogRecord.Placed>()
        var read = 0
    }

    private val open = HashMap<LogKey, Open>()

    /** Parts without a step's record: their placement never came about. */
    val orphans = ArrayList<String>()

    /** A step's record that announces parts. */
    fun expect(
        key: LogKey,
        parts: Int,
    ) {
        open[key] = Open(parts)
    }

    /** The whole placement once its last part is read, else null. */
    fun read(
        key: String,
        name: LogKey,
        record: LogRecord,
    ): List<LogRecord.Placed>? {
        val step = name.copy(part = null)
        val placement = open[step]
        if (placement == null) {
            orphans.add(key)
            return null
        }
        placement.placed.addAll(record.placed)
        placement.read++
        if (placement.read < placement.expected) return null
        open.remove(step)
        return placement.placed
    }

    /** Steps of which a part is missing. */
    fun incomplete(): Set<LogKey> = open.keys
}
