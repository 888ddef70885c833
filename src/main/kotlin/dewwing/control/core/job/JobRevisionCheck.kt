package dewwing.control.core.job

import dewwing.protocol.JobRef
import dewwing.protocol.Revision

/** Position of an event in the order in which a scheduler saw its events. Unlike a time, it orders events of one millisecond. */
@JvmInline
value class EventNumber(
    val value: Long,
) : Comparable<EventNumber> {
    override fun compareTo(other: EventNumber): Int = value.compareTo(other.value)

    fun next() = EventNumber(value + 1)

    companion object {
        /** Before every event. */
        val NONE = EventNumber(0)
    }
}

/**
 * A comparison of the records of open jobs in the state service with the [revisions] that the scheduler knows. It is requested
 * after [startedAt]; if the records are unchanged, none of the jobs was cancelled before [startedAt].
 */
class JobRevisionCheck(
    val startedAt: EventNumber,
    val revisions: Map<JobRef, Revision>,
)
