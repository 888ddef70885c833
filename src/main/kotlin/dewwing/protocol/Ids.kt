package dewwing.protocol

/** Name of a job as its user chose it, always `job-` and digits. */
@JvmInline
value class JobRef(
    val value: String,
) {
    override fun toString(): String = value

    companion object {
        private const val PREFIX = "job-"
        private const val MAX_LENGTH = 64

        /** Null when [text] is no job id; ids end up in state keys, so nothing but this form may pass. */
        fun parse(text: String): JobRef? {
            if (text.length !in (PREFIX.length + 1)..MAX_LENGTH || !text.startsWith(PREFIX)) return null
            for (i in PREFIX.length until text.length) if (text[i] !in '0'..'9') return null
            return JobRef(text)
        }
    }
}

/** Name the cloud gave a machine. */
@JvmInline
value class MachineId(
    val value: String,
) : Comparable<MachineId> {
    override fun toString(): String = value

    override fun compareTo(other: MachineId): Int = value.compareTo(other.value)
}

/** Number of a leader's time in office; workers and the state service both order by it. */
@JvmInline
value class Term(
    val value: Long,
) : Comparable<Term> {
    override fun compareTo(other: Term): Int = value.compareTo(other.value)

    fun next(): Term = Term(value + 1)

    override fun toString(): String = value.toString()

    companion object {
        val NONE = Term(0)
    }
}

/** A job's log position; it also names the attempt that was logged at it. Strictly rising per job. */
@JvmInline
value class Step(
    val value: Long,
) : Comparable<Step> {
    override fun compareTo(other: Step): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** The state service's version of a key. */
@JvmInline
value class Revision(
    val value: Long,
) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    companion object {
        /** Condition that a key does not exist. */
        val ABSENT = Revision(0)
    }
}

/** A lease of the state service. */
@JvmInline
value class HoldId(
    val value: Long,
)

/** One life of a controller's process; what an earlier one told its users nobody knows any more. */
@JvmInline
value class Incarnation(
    val value: Long,
)

/** A point on this process's steady clock, in milliseconds. */
@JvmInline
value class Instant(
    val ms: Long,
) : Comparable<Instant> {
    override fun compareTo(other: Instant): Int = ms.compareTo(other.ms)

    operator fun plus(span: Span): Instant = Instant(ms + span.ms)

    operator fun minus(other: Instant): Span = Span(ms - other.ms)

    companion object {
        val NEVER = Instant(Long.MIN_VALUE / 4)
        val FOREVER = Instant(Long.MAX_VALUE / 4)
    }
}

/** A length of time in milliseconds. */
@JvmInline
value class Span(
    val ms: Long,
) : Comparable<Span> {
    override fun compareTo(other: Span): Int = ms.compareTo(other.ms)

    operator fun plus(other: Span): Span = Span(ms + other.ms)

    operator fun times(factor: Double): Span = Span((ms * factor).toLong())

    val seconds: Double get() = ms / 1000.0

    companion object {
        fun ofSeconds(s: Double): Span = Span((s * 1000.0).toLong())
    }
}

/** Position in a worker's stream of messages: its session, then the message within it. */
data class Position(
    val session: Long,
    val seq: Long,
) : Comparable<Position> {
    override fun compareTo(other: Position): Int {
        val bySession = session.compareTo(other.session)
        return if (bySession != 0) bySession else seq.compareTo(other.seq)
    }
}
