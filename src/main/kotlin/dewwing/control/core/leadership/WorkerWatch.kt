package dewwing.control.core.leadership

import dewwing.protocol.Span

/**
 * Whether the workers have lost this leader.
 *
 * Such a leader would renew its hold on the state service for ever while every worker's lease lapses. It hands over
 * when no worker has reported for a little over a report's interval while a sibling is heard. Waiting until a sibling
 * has seen the workers would be too late: they turn to one only after the time that they wait for an answer, are sent
 * back here, and have no time left for a second try (incident inc-741b). Where the workers are what is wrong, handing
 * over costs nothing, and a new leader that has heard no worker does not do it again. With no sibling heard it waits
 * for a good part of a lease, since its own network may be cut altogether.
 *
 * Ticks are counted, not time: a process that was stalled first reads what has come in meanwhile.
 */
class WorkerWatch(
    report: Span,
    lease: Span,
) {
    private val near = (report.ms * REPORTS).toLong() / TICK.ms + SLACK_TICKS
    private val far = lease.ms * 2 / 3 / TICK.ms
    private var quiet = 0L

    fun heardWorker() {
        quiet = 0
    }

    /** One [TICK] has gone by; [machines] are those whose leases run by our books. True when it is time to hand over. */
    fun tick(
        machines: Int,
        siblingsHeard: Boolean,
    ): Boolean {
        quiet++
        return machines >= LEAST_MACHINES && quiet >= if (siblingsHeard) near else far
    }

    companion object {
        val TICK = Span(250)
        private const val REPORTS = 1.25
        private const val SLACK_TICKS = 3L

        /** With fewer machines than this, silence may well be theirs. */
        private const val LEAST_MACHINES = 3
    }
}
