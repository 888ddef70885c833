package dewwing.control.core.leadership

import dewwing.protocol.JobRef
import dewwing.protocol.Revision
import java.util.TreeSet

/** A cancelled job, and the revision at which the state service made it so. */
data class Cancellation(
    val job: JobRef,
    val revision: Revision,
)

/**
 * The cancellations that this process has told users of, for a leader that the state service refuses.
 *
 * Such a leader names the revision up to which it has read all jobs and is told what is newer. Revisions order all
 * changes, so nothing needs to be acknowledged: what it has not heard stays newer than what it names. At most [limit]
 * are kept, the newest; a leader that is behind what was dropped gets no list, which it must not count as a heartbeat.
 */
class ConfirmedCancellations(
    private val limit: Int = LIMIT,
) {
    private val confirmed = TreeSet(compareBy<Cancellation>({ it.revision }, { it.job.value }))

    /** The newest revision that was dropped. */
    private var floor = Revision.ABSENT

    fun note(cancellation: Cancellation) {
        if (cancellation.revision <= floor) return
        confirmed.add(cancellation)
        while (confirmed.size > limit) confirmed.pollFirst()?.let { floor = maxOf(floor, it.revision) }
    }

    /** All that came after [known]; null when some of it was dropped. */
    fun since(known: Revision): List<Cancellation>? = if (floor > known) null else confirmed.filter { it.revision > known }

    companion object {
        /** More jobs than users call off within the time that a leader may be cut off; they fit into one heartbeat's frame. */
        const val LIMIT = 4_096
    }
}
