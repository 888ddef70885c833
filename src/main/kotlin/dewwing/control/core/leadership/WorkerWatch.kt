package dewwing.control.core.leadership

import dewwing.protocol.Span

/**
 * Whether the workers have lost this leader while others can still be reached by them.
 *
 * Such a leader would renew its hold on the state service for ever while every worker's lease lapses. It hands over
 * when no worker has reported for a little over a report's interval and a sibling says that workers turn up there; with
 * no word of any sibling it waits for a good part of a lease, since its own network may be what is wrong.
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
        workersElsewhere: Boolean,
    ): Boolean {
        quiet++
        if (machines < LEAST_MACHINES || quiet < near) return false
        return if (siblingsHeard) workersElsewhere else quiet >= far
    }

    companion object {
        val TICK = Span(250)
        private const val REPORTS = 1.25
        private const val SLACK_TICKS = 3L

        /** With fewer machines than this, silence may well be theirs. */
        private const val LEAST_MACHINES = 3
    }
}
