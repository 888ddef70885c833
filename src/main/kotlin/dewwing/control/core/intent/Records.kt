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

/** Where everything is kept in the state service. */
object Keys {
    const val TERM = "term"

    /** Tied to the leader's hold: its absence is what allows the next election. */
    const val HOLDER = "term/holder"

    /** The last term whose leader had read its picture. */
    const val READY = "term/ready"

    /** Shards have had owners of their own at some time. */
    const val SHARED = "term/shared"
    const val JOBS = "job/"
    const val LOGS = "log/"
    const val RENTS = "rent/"
    const val RELEASES = "release/"

    /** See [RecordKeys.fence]. */
    const val FENCES = "fence/"

    /** The cloud's machine types as last seen, so that intake needs no cloud. */
    const val TYPES = "cloud/types"

    private const val NUMBER_DIGITS = 9

    fun job(ref: JobRef): String = JOBS + ref.value

    fun jobOf(key: String): JobRef? = JobRef.parse(key.removePrefix(JOBS))

    /** The name under which the cloud is asked for a rental: no other request of any term may ever have it. */
    fun rentalName(
        term: Term,
        number: Long,
    ): String = "r-${term.value}-$number"

    /** Numbers in keys sort as they count. */
    fun digits(n: Long) = n.toString().padStart(NUMBER_DIGITS, '0')
}

/** What a record under a scheduler's part of the key space is about. */
enum class RecordKind(
    val prefix: String,
) {
    LOG(Keys.LOGS),
    RENT(Keys.RENTS),
    RELEASE(Keys.RELEASES),
    FENCE(Keys.FENCES),
}

/**
 * Where the records of one scheduler are: those of a shard lie under a prefix of its own, those of the single leader
 * under none.
 */
data class RecordKeys(
    val shard: ShardId?,
) {
    private val base = if (shard == null) "" else prefixOf(shard)

    /** Everything a new scheduler of this part reads but for the jobs, as prefixes. */
    val prefixes: List<String> get() = if (shard == null) RecordKind.entries.map { it.prefix } else listOf(base)

    fun log(
        ref: JobRef,
        step: Step,
    ): String = "$base${Keys.LOGS}${ref.value}/${Keys.digits(step.value)}"

    /** One part of a placement that is too large for one record; sorts between its own step's record and the next step's. */
    fun logPart(
        ref: JobRef,
        step: Step,
        part: Int,
    ): String = "${log(ref, step)}/${Keys.digits(part.toLong())}"

    fun rent(
        term: Term,
        number: Long,
    ): String = numbered(Keys.RENTS, term, number)

    fun release(
        term: Term,
        number: Long,
    ): String = numbered(Keys.RELEASES, term, number)

    /** Exists once the leader's changes up to a point are certain: every change is conditional on the next one's absence. */
    fun fence(
        term: Term,
        number: Long,
    ): String = numbered(Keys.FENCES, term, number)

    private fun numbered(
        prefix: String,
        term: Term,
        number: Long,
    ) = "$base$prefix${Keys.digits(term.value)}/${Keys.digits(number)}"

    companion object {
        /** Those of the single leader. */
        val SINGLE = RecordKeys(null)

        /** All records of all shards. */
        const val SHARDS = "shard/"
        private const val SHARD_DIGITS = 3

        private fun prefixOf(shard: ShardId) = "$SHARDS${shard.index.toString().padStart(SHARD_DIGITS, '0')}/"

        fun kindOf(key: String): RecordKind? {
            val own = withoutShard(key)
            return RecordKind.entries.firstOrNull { own.startsWith(it.prefix) }
        }

        fun logOf(key: String): LogKey? {
            val parts = withoutShard(key).removePrefix(Keys.LOGS).split('/')
            if (parts.size !in 2..3) return null
            val ref = JobRef.parse(parts[0]) ?: return null
            val step = Step(parts[1].toLongOrNull() ?: return null)
            val part = parts.getOrNull(2)?.let { it.toIntOrNull() ?: return null }
            return LogKey(ref, step, part)
        }

        fun termOfFence(key: String): Term? =
            withoutShard(key)
                .removePrefix(Keys.FENCES)
                .substringBefore('/')
                .toLongOrNull()
                ?.let(::Term)

        private fun withoutShard(key: String): String =
            if (key.startsWith(SHARDS)) key.substring(SHARDS.length).substringAfter('/') else key
    }
}

/** What the key of a log record says: the job, its step, and which [part] of the step's placement, if it is one. */
data class LogKey(
    val job: JobRef,
    val step: Step,
    val part: Int?,
)

/**
 * The intent record of a job. Once final it is kept for ever; a finished job needs its description no more, while a
 * cancelled one keeps it until its last task is proven gone, since those still count against the team's limit.
 */
data class JobRecord(
    val stage: JobStage,
    val spec: JobSpec?,
    val submittedAtMs: Long,
    /** The shard that places it; null if it was accepted under a single leader. Never changes. */
    val shard: ShardId? = null,
) {
    val isFinal: Boolean get() = stage == JobStage.DONE || stage == JobStage.ABORTED

    fun toValue(): Map<String, Any?> {
        val value = linkedMapOf<String, Any?>("stage" to Wire.stageWord(stage))
        if (spec != null) value["spec"] = Wire.jobSpecMap(spec)
        value["at"] = submittedAtMs
        if (shard != null) value["shard"] = shard.index
        return value
    }

    companion object {
        fun of(value: Map<String, Any?>): JobRecord {
            val f = Fields(value)
            return JobRecord(
                Wire.stageOf(f.text("stage")) ?: throw MalformedException("stage"),
                f.mapOrNull("spec")?.let(Wire::jobSpec),
                f.countOr("at", 0),
                f.countOrNull("shard")?.let { ShardId(it.toInt()) },
            )
        }
    }
}

/**
 * One step of a job: what was placed under this attempt number, and which tasks had finished by then.
 *
 * A placement too large for one record lies in [parts] records of its own, written before this one. Without this one
 * they mean nothing, so that a reader takes the placement whole or not at all.
 */
data class LogRecord(
    val placed: List<Placed>,
    val done: BitSet,
    val parts: Int = 0,
) {
    data class Placed(
        val machine: MachineId,
        val tasks: BitSet,
    )

    fun toValue(): Map<String, Any?> {
        val value = linkedMapOf<String, Any?>()
        if (placed.isNotEmpty()) value["on"] = placed.map { listOf(it.machine.value, Ranges.encode(it.tasks)) }
        if (!done.isEmpty) value["done"] = Ranges.encode(done)
        if (parts > 0) value["parts"] = parts
        return value
    }

    companion object {
        fun of(value: Map<String, Any?>): LogRecord {
            val on =
                (value["on"] as? List<*> ?: emptyList<Any?>()).map { entry ->
                    val pair = (entry as? List<*>)?.takeIf { it.size == 2 } ?: throw MalformedException("on")
                    Placed(MachineId(pair[0] as? String ?: throw MalformedException("on")), Ranges.decode(pair[1]))
                }
            val parts = Fields(value).countOr("parts", 0).toInt()
            return LogRecord(on, value["done"]?.let(Ranges::decode) ?: BitSet(), parts)
        }
    }
}

/** Sets of task numbers as flat lists of first and last, which keeps a big array's records small. */
object Ranges {
    fun encode(set: BitSet): List<Int> {
        val out = ArrayList<Int>()
        var from = set.nextSetBit(0)
        while (from >= 0) {
            val end = set.nextClearBit(from)
            out.add(from)
            out.add(end - 1)
            from = set.nextSetBit(end)
        }
        return out
    }

    fun decode(value: Any?): BitSet {
        val list = value as? List<*> ?: throw MalformedException("ranges")
        if (list.size % 2 != 0) throw MalformedException("ranges")
        val set = BitSet()
        for (i in list.indices step 2) {
            val from = list[i] as? Long ?: throw MalformedException("ranges")
            val last = list[i + 1] as? Long ?: throw MalformedException("ranges")
            if (from < 0 || last < from || last >= Wire.MAX_TASKS) throw MalformedException("ranges")
            set.set(from.toInt(), last.toInt() + 1)
        }
        return set
    }

    /** Bytes that [set] takes when written. */
    fun size(set: BitSet): Int = encode(set).sumOf { it.toString().length + 1 }

    /** The lowest members of [set] that fit in [bytes] when written. */
    fun fitting(
        set: BitSet,
        bytes: Int,
    ): BitSet {
        var room = bytes
        val out = BitSet()
        var from = set.nextSetBit(0)
        while (from >= 0) {
            val end = set.nextClearBit(from)
            room -= from.toString().length + (end - 1).toString().length + 2
            if (room < 0) break
            out.set(from, end)
            from = set.nextSetBit(end)
        }
        return out
    }
}

/** A rental: logged before the cloud is asked; [rented] is filled in with the answer. */
data class RentRecord(
    val order: RentalRequest,
    val rented: List<MachineId>?,
) {
    fun toValue(): Map<String, Any?> {
        val value =
            linkedMapOf<String, Any?>(
                "ask" to order.requestId,
                "type" to order.type,
                "zone" to order.zone,
                "spot" to order.spot,
                "count" to order.count,
            )
        if (rented != null) value["rented"] = rented.map { it.value }
        return value
    }

    companion object {
        fun of(value: Map<String, Any?>): RentRecord {
            val f = Fields(value)
            val order = RentalRequest(f.text("ask"), f.text("type"), f.text("zone"), f.flag("spot"), f.count("count").toInt())
            return RentRecord(order, f.textsOrNull("rented")?.map(::MachineId))
        }
    }
}

/**
 * Machines on their way back to the cloud, as many as one call takes: a record for each would make the change rate
 * decide how fast a fleet shrinks.
 */
data class ReleaseRecord(
    val machines: List<MachineId>,
) {
    fun toValue(): Map<String, Any?> = mapOf("machines" to machines.map { it.value })

    companion object {
        /** Records of version 0.1.0 name one machine, in their [key]. */
        fun of(
            key: String,
            value: Map<String, Any?>,
        ): ReleaseRecord {
            val listed = Fields(value).textsOrNull("machines") ?: listOf(key.removePrefix(Keys.RELEASES))
            return ReleaseRecord(listed.map(::MachineId))
        }
    }
}
