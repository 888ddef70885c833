package dewwing.control.core.leadership

import dewwing.protocol.Command
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.Report
import dewwing.protocol.Revision
import dewwing.protocol.TaskStage

/** The cancelled jobs that a successor has read before its election. */
class CancelledJobs(
    /** Every cancellation up to this revision is included. */
    val readUpTo: Revision,
    /** When the read was requested. */
    val requestedAt: Instant,
    val jobs: Set<JobRef>,
)

/**
 * The cancellations that a leader knows before it has restored its state.
 *
 * Its read of the jobs may be older than a cancellation that reaches it before the restored state is in place. Dropping such a
 * cancellation would be final: it is not told again, and in an outage of the state service no watch brings it.
 */
class CancellationsBeforeRestore(
    /** What this leader read before its election, if it did. */
    val readBeforeElection: CancelledJobs?,
) {
    private val confirmed = LinkedHashMap<JobRef, Cancellation>()

    /** A cancellation that has been confirmed to a user, by this controller or by a peer. */
    fun add(cancellation: Cancellation) {
        confirmed[cancellation.job] = cancellation
    }

    /** All cancellations that were added. The restored state may not contain them, so each has to be applied to it. */
    fun confirmed(): List<Cancellation> = confirmed.values.toList()

    /** Commands that end the reported tasks of cancelled jobs at once; a cancelled task need not be saved. */
    fun killsFor(report: Report): List<Command> =
        report.tasks
            .filter { it.stage != TaskStage.ENDED && isCancelled(it.task.job) }
            .map { Command.Kill(it.task, it.attempt, graceS = 0.0) }

    private fun isCancelled(job: JobRef): Boolean = job in confirmed || readBeforeElection?.jobs?.contains(job) == true
}
