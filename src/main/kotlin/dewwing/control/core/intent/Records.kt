package dewwing.control.core.intent

import dewwing.control.core.RentalRequest
import dewwing.control.core.sharing.ShardId
import dewwing.protocol.Fields
import dewwing.protocol.JobRef
import dewwing.protocol.JobSpec
import dewwing.protocol.JobStage
import dewwing.protocol.MachineId
import dewwing.protocol.MalformedException
import dewwing.protocol.Step
import dewwing.protocol.Term
import dewwing.protocol.Wire
import java.util.BitSet

/** Keys and key prefixes in the state service. */
object Keys {
    const val TERM = "term"

    /** Bound to the leader's state lease and removed when that expires; a new leader can be elected only while it is absent. */
    const val HOLDER = "term/holder"

    /** The last term whose leader has restored its state. */
    const val READY = "term/ready"

    /** Exists once shards have had owners of their own, even if a single leader schedules all jobs now. */
    const val EVER_SHARDED = "term/shared"
    const val JOBS = "job/"
    const val LOGS = "log/"
    const val RENTALS = "rent/"
    const val RELEASES = "release/"

    /** See [RecordKeys.fence]. */
    const val FENCES = "fence/"

    /** The machine types last reported by the cloud, so that jobs can be accepted while the cloud is unavailable. */
    const val MACHINE_TYPES = "cloud/types"

    private const val NUMBER_DIGITS = 9

    fun job(ref: JobRef): String = JOBS + ref.value

    fun parseJobKey(key: String): JobRef? = JobRef.parse(key.removePrefix(JOBS))

    /** Name of a rental request to the cloud; unique over all terms. */
    fun rentalName(
        term: Term,
        number: Long,
    ): String = "r-${term.value}-$number"

    /** Pads [number] with zeros so that keys sort in numeric order. */
    fun zeroPadded(number: Long) = number.toString().padStart(NUMBER_DIGITS, '0')
}

/** The kinds of records that a scheduler keeps besides the job records. */
enum class RecordKind(
    val prefix: String,
) {
    LOG(Keys.LOGS),
    RENTAL(Keys.RENTALS),
    RELEASE(Keys.RELEASES),
    FENCE(Keys.FENCES),
}

/**
 * Keys of the records of one scheduler. The records of a shard have a prefix of their own, those of a single leader have
 * none.
 *
 * @property shard null for a single leader
 */
data class RecordKeys(
    val shard: ShardId?,
) {
    private val shardPrefix = if (shard == null) "" else prefixOf(shard)

    /** Prefixes of all records that a new scheduler has to read, except the job records. */
    val prefixes: List<String> get() = if (shard == null) RecordKind.entries.map { it.prefix } else listOf(shardPrefix)

    fun log(
        ref: JobRef,
        step: Step,
    ): String = "$shardPrefix${Keys.LOGS}${ref.value}/${Keys.zeroPadded(step.value)}"

    /** Key of one part of a placement that is too large for one record; sorts between the record of its step and the next. */
    fun logPart(
        ref: JobRef,
        step: Step,
        part: Int,
    ): String = "${log(ref, step)}/${Keys.zeroPadded(part.toLong())}"

    fun rental(
        term: Term,
        number: Long,
    ): String = numbered(Keys.RENTALS, term, number)

    fun release(
        term: Term,
        number: Long,
    ): String = numbered(Keys.RELEASES, term, number)

    /**
     * Key of a fence. Every transaction of the scheduler requires that the next fence is absent. Once a transaction creates
     * that fence, copies of earlier transactions whose outcome was unknown can no longer be applied.
     */
    fun fence(
        term: Term,
        number: Long,
    ): String = numbered(Keys.FENCES, term, number)

    private fun numbered(
        prefix: String,
        term: Term,
        number: Long,
    ) = "$shardPrefix$prefix${Keys.zeroPadded(term.value)}/${Keys.zeroPadded(number)}"

    companion object {
        /** Keys of a single leader. */
        val SINGLE_LEADER = RecordKeys(null)

        /** Prefix of the records of all shards. */
        const val SHARDS = "shard/"
        private const val SHARD_DIGITS = 3

        private fun prefixOf(shard: ShardId) = "$SHARDS${shard.index.toString().padStart(SHARD_DIGITS, '0')}/"

        fun kindOf(key: String): RecordKind? {
            val unshardedKey = withoutShardPrefix(key)
            return RecordKind.entries.firstOrNull { unshardedKey.startsWith(it.prefix) }
        }

        fun parseLogKey(key: String): LogKey? {
            val parts = withoutShardPrefix(key).removePrefix(Keys.LOGS).split('/')
            if (parts.size !in 2..3) return null
            val ref = JobRef.parse(parts[0]) ?: return null
            val step = Step(parts[1].toLongOrNull() ?: return null)
            val part = parts.getOrNull(2)?.let { it.toIntOrNull() ?: return null }
            return LogKey(ref, step, part)
        }

        fun parseFenceTerm(key: String): Term? =
            withoutShardPrefix(key)
                .removePrefix(Keys.FENCES)
                .substringBefore('/')
                .toLongOrNull()
                ?.let(::Term)

        private fun withoutShardPrefix(key: String): String =
            if (key.startsWith(SHARDS)) key.substring(SHARDS.length).substringAfter('/') else key
    }
}

/**
 * A parsed key of a log record.
 *
 * @property part index of the part for a part record of a split placement, null for a step record
 */
data class LogKey(
    val job: JobRef,
    val step: Step,
    val part: Int?,
)

/**
 * The desired state of a job. The record is never deleted. A finished job's record loses its [spec]; that of a cancelled
 * job keeps it until the last task is known to be gone, since its tasks still count against the team's limit.
 */
data class JobRecord(
    val stage: JobStage,
    val spec: JobSpec?,
    val submittedAtMs: Long,
    /** The shard that schedules the job; null if a single leader accepted it. Never changes. */
    val shard: ShardId? = null,
) {
    val isFinal: Boolean get() = stage == JobStage.DONE || stage == JobStage.ABORTED

    fun toValue(): Map<String, Any?> {
        val value = linkedMapOf<String, Any?>("stage" to Wire.stageName(stage))
        if (spec != null) value["spec"] = Wire.encodeJobSpec(spec)
        value["at"] = submittedAtMs
        if (shard != null) value["shard"] = shard.index
        return value
    }

    companion object {
        fun of(value: Map<String, Any?>): JobRecord {
            val fields = Fields(value)
            return JobRecord(
                Wire.parseStage(fields.text("stage")) ?: throw MalformedException("stage"),
                fields.mapOrNull("spec")?.let(Wire::decodeJobSpec),
                fields.countOr("at", 0),
                fields.countOrNull("shard")?.let { ShardId(it.toInt()) },
            )
        }
    }
}

/**
 * Log record of one step of a job: the tasks placed in this step, and finished tasks not recorded by an earlier step.
 *
 * A placement that is too large for one record is stored in [partCount] part records, which are written before this one
 * and are valid only if this one exists. A reader therefore sees either the whole placement or none of it.
 */
data class LogRecord(
    val assignments: List<Assignment>,
    val done: BitSet,
    val partCount: Int = 0,
) {
    /** Tasks assigned to one machine. */
    data class Assignment(
        val machine: MachineId,
        val tasks: BitSet,
    )

    fun toValue(): Map<String, Any?> {
        val value = linkedMapOf<String, Any?>()
        if (assignments.isNotEmpty()) value["on"] = assignments.map { listOf(it.machine.value, TaskRanges.encode(it.tasks)) }
        if (!done.isEmpty) value["done"] = TaskRanges.encode(done)
        if (partCount > 0) value["parts"] = partCount
        return value
    }

    companion object {
        fun of(value: Map<String, Any?>): LogRecord {
            val assignments =
                (value["on"] as? List<*> ?: emptyList<Any?>()).map { entry ->
                    val pair = (entry as? List<*>)?.takeIf { it.size == 2 } ?: throw MalformedException("on")
                    Assignment(MachineId(pair[0] as? String ?: throw MalformedException("on")), TaskRanges.decode(pair[1]))
                }
            val partCount = Fields(value).countOr("parts", 0).toInt()
            return LogRecord(assignments, value["done"]?.let(TaskRanges::decode) ?: BitSet(), partCount)
        }
    }
}

/** Encodes sets of task numbers as flat lists of first and last numbers, to keep the records of large arrays small. */
object TaskRanges {
    fun encode(set: BitSet): List<Int> {
        val ranges = ArrayList<Int>()
        var from = set.nextSetBit(0)
        while (from >= 0) {
            val end = set.nextClearBit(from)
            ranges.add(from)
            ranges.add(end - 1)
            from = set.nextSetBit(end)
        }
        return ranges
    }

    fun decode(value: Any?): BitSet {
        val list = value as? List<*> ?: throw MalformedException("ranges")
        if (list.size % 2 != 0) throw MalformedException("ranges")
        val set = BitSet()
        for (i in list.indices step 2) {
            val first = list[i] as? Long ?: throw MalformedException("ranges")
            val last = list[i + 1] as? Long ?: throw MalformedException("ranges")
            if (first < 0 || last < first || last >= Wire.MAX_TASKS_PER_JOB) throw MalformedException("ranges")
            set.set(first.toInt(), last.toInt() + 1)
        }
        return set
    }

    /** Size in bytes of the encoded [set]. */
    fun encodedSize(set: BitSet): Int = encode(set).sumOf { it.toString().length + 1 }

    /** The lowest ranges of [set] that fit into [bytes] when encoded. */
    fun lowestFitting(
        set: BitSet,
        bytes: Int,
    ): BitSet {
        var bytesLeft = bytes
        val fitting = BitSet()
        var from = set.nextSetBit(0)
        while (from >= 0) {
            val end = set.nextClearBit(from)
            bytesLeft -= from.toString().length + (end - 1).toString().length + 2
            if (bytesLeft < 0) break
            fitting.set(from, end)
            from = set.nextSetBit(end)
        }
        return fitting
    }
}

/**
 * A rental request, logged before it is sent to the cloud.
 *
 * @property rented the machines that the cloud provided; null until it has answered
 */
data class RentalRecord(
    val request: RentalRequest,
    val rented: List<MachineId>?,
) {
    fun toValue(): Map<String, Any?> {
        val value =
            linkedMapOf<String, Any?>(
                "ask" to request.requestId,
                "type" to request.type,
                "zone" to request.zone,
                "spot" to request.spot,
                "count" to request.count,
            )
        if (rented != null) value["rented"] = rented.map { it.value }
        return value
    }

    companion object {
        fun of(value: Map<String, Any?>): RentalRecord {
            val fields = Fields(value)
            val request =
                RentalRequest(
                    fields.text("ask"),
                    fields.text("type"),
                    fields.text("zone"),
                    fields.flag("spot"),
                    fields.count("count").toInt(),
                )
            return RentalRecord(request, fields.textListOrNull("rented")?.map(::MachineId))
        }
    }
}

/**
 * Machines to be returned to the cloud in one call. With one record per machine, the write rate of the state service would
 * limit how fast the fleet can shrink.
 */
data class ReleaseRecord(
    val machines: List<MachineId>,
) {
    fun toValue(): Map<String, Any?> = mapOf("machines" to machines.map { it.value })

    companion object {
        /** Reads a record; those written by version 0.1.0 have no list and name their only machine in the [key]. */
        fun of(
            key: String,
            value: Map<String, Any?>,
        ): ReleaseRecord {
            val machines = Fields(value).textListOrNull("machines") ?: listOf(key.removePrefix(Keys.RELEASES))
            return ReleaseRecord(machines.map(::MachineId))
        }
    }
}
