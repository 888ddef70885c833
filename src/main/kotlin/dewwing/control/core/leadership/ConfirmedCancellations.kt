package dewwing.control.core.leadership

import dewwing.protocol.JobRef
import dewwing.protocol.Revision
import java.util.TreeSet

/** A cancelled job, and the state service's revision of the cancellation. */
data class Cancellation(
    val job: JobRef,
    val revision: Revision,
)

/**
 * The cancellations that this process has confirmed to users, kept for a leader that cannot reach the state service.
 *
 * Such a leader sends the revision up to which it has read all jobs and receives the cancellations that are newer.
 * Revisions order all changes, so no acknowledgement is needed: a cancellation that the leader has not received is sent
 * again, since it is still newer than the revision that the leader sends. Only the newest [limit] cancellations are
 * kept. A leader that would need evicted ones gets no list, and must not count the answer as a heartbeat.
 */
class ConfirmedCancellations(
    private val limit: Int = LIMIT,
) {
    private val confirmed = TreeSet(compareBy<Cancellation>({ it.revision }, { it.job.value }))

    /** The newest revision that was evicted. */
    private var evictedUpTo = Revision.ABSENT

    fun record(cancellation: Cancellation) {
        if (cancellation.revision <= evictedUpTo) return
        confirmed.add(cancellation)
        while (confirmed.size > limit) confirmed.pollFirst()?.let { evictedUpTo = maxOf(evictedUpTo, it.revision) }
    }

    /** All cancellations after [known], or null when some of them were evicted. */
    fun newerThan(known: Revision): List<Cancellation>? = if (evictedUpTo > known) null else confirmed.filter { it.revision > known }

    companion object {
        /**
         * More jobs than users cancel while a leader may be cut off from the state service. This many cancellations fit
         * into the frame of one heartbeat.
         */
        const val LIMIT = 4_096
    }
}
