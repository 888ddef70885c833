package dewwing.control.core.leadership

import dewwing.protocol.Duration

/**
 * Detects that no worker reaches this leader any more, so that it steps down.
 *
 * Without this the leader would renew its state lease forever while every worker's lease expires. It steps down when no
 * worker has reported for a little more than the report interval while the heartbeats of a peer arrive. Waiting until a
 * peer has received the workers' reports would take too long: a worker turns to a peer only after its own answer timeout,
 * is redirected here, and has no time left for a second attempt. If the fault lies with the workers,
 * stepping down does no harm, and a new leader that has not received any report does not step down again. Without
 * heartbeats of a peer the leader waits for two thirds of a worker lease, since its own network may be cut off entirely.
 *
 * Ticks are counted rather than time, so that a process that was stalled first handles the reports received meanwhile.
 */
class WorkerSilenceDetector(
    reportInterval: Duration,
    workerLease: Duration,
) {
    private val ticksWithPeers = (reportInterval.ms * REPORT_INTERVALS).toLong() / TICK_INTERVAL.ms + SLACK_TICKS
    private val ticksWithoutPeers = workerLease.ms * 2 / 3 / TICK_INTERVAL.ms
    private var ticksWithoutReport = 0L

    fun onWorkerReport() {
        ticksWithoutReport = 0
    }

    /**
     * To be called once per [TICK_INTERVAL]. [leasedMachines] is the number of machines whose worker leases are running
     * according to this leader. True when the leader should step down.
     */
    fun tick(
        leasedMachines: Int,
        anyPeerReachable: Boolean,
    ): Boolean {
        ticksWithoutReport++
        return leasedMachines >= MIN_MACHINES && ticksWithoutReport >= if (anyPeerReachable) ticksWithPeers else ticksWithoutPeers
    }

    companion object {
        val TICK_INTERVAL = Duration(250)
        private const val REPORT_INTERVALS = 1.25
        private const val SLACK_TICKS = 3L

        /** With fewer machines, a fault of the machines themselves may well be the cause of the missing reports. */
        private const val MIN_MACHINES = 3
    }
}
