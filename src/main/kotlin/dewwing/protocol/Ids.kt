package dewwing.protocol

/** Id of a job, chosen by its user: `job-` followed by digits. */
@JvmInline
value class JobRef(
    val value: String,
) {
    override fun toString(): String = value

    companion object {
        private const val PREFIX = "job-"
        private const val MAX_LENGTH = 64

        /** Null when [text] is not a job id. Ids become part of state service keys, so no other form is accepted. */
        fun parse(text: String): JobRef? {
            if (text.length !in (PREFIX.length + 1)..MAX_LENGTH || !text.startsWith(PREFIX)) return null
            for (i in PREFIX.length until text.length) if (text[i] !in '0'..'9') return null
            return JobRef(text)
        }
    }
}

/** Id of a machine, assigned by the cloud. */
@JvmInline
value class MachineId(
    val value: String,
) : Comparable<MachineId> {
    override fun toString(): String = value

    override fun compareTo(other: MachineId): Int = value.compareTo(other.value)
}

/** Number of a leader's term. Each election increases it; workers and the state service order leaders by it. */
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

/** Position in a job's log, strictly increasing per job. It also identifies the attempts logged at that position. */
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
        /** In a transaction's condition: the key does not exist. */
        val ABSENT = Revision(0)
    }
}

/** Id of a lease that a controller holds on the state service; unrelated to the leases of workers. */
@JvmInline
value class StateLeaseId(
    val value: Long,
)

/** Identifies one run of a controller process. An earlier run's list of the cancellations that it confirmed to users is lost with it. */
@JvmInline
value class Incarnation(
    val value: Long,
)

/** A point on this process's monotonic clock, in milliseconds. */
@JvmInline
value class Instant(
    val ms: Long,
) : Comparable<Instant> {
    override fun compareTo(other: Instant): Int = ms.compareTo(other.ms)

    operator fun plus(duration: Duration): Instant = Instant(ms + duration.ms)

    operator fun minus(other: Instant): Duration = Duration(ms - other.ms)

    companion object {
        /** Far enough from the limits of a long that sums and differences do not overflow; so is [DISTANT_FUTURE]. */
        val DISTANT_PAST = Instant(Long.MIN_VALUE / 4)
        val DISTANT_FUTURE = Instant(Long.MAX_VALUE / 4)
    }
}

/** A length of time in milliseconds. */
@JvmInline
value class Duration(
    val ms: Long,
) : Comparable<Duration> {
    override fun compareTo(other: Duration): Int = ms.compareTo(other.ms)

    operator fun plus(other: Duration): Duration = Duration(ms + other.ms)

    operator fun times(factor: Double): Duration = Duration((ms * factor).toLong())

    val seconds: Double get() = ms / 1000.0

    companion object {
        fun ofSeconds(seconds: Double): Duration = Duration((seconds * 1000.0).toLong())
    }
}

/** Orders the reports of one worker: by the worker's session, then by the sequence number within it. */
data class ReportPosition(
    val session: Long,
    val seq: Long,
) : Comparable<ReportPosition> {
    override fun compareTo(other: ReportPosition): Int {
        val bySession = session.compareTo(other.session)
        return if (bySession != 0) bySession else seq.compareTo(other.seq)
    }
}
