package dewwing.world

/** A fault that a test injects at a chosen time. */
enum class FaultKind {
    LEADER_REFUSED_BY_STATE,
    STATE_OUTAGE,
    CANCEL_JOBS,
    CANCEL_ON_COMPLETION,
    DELAYED_WRITES,
    WATCH_STALLED,
    ANSWERS_LOST,
    REPORTS_BLOCKED,
    WORKERS_HANG,
    WORKERS_DISCONNECTED,
    ZONE_PARTITION,
    LEADER_PAUSED,
    LEADER_CRASH,
    ALL_CONTROLLERS_CRASH,
    ROLLING_RESTART,
    LEADER_ISOLATED,
    MACHINES_DIE,
    ALL_CONTROLLERS_DOWN,
}

/** [kind] begins [startMs] after the start of the simulation and lasts for [durationMs]. */
data class ScheduledFault(
    val kind: FaultKind,
    val startMs: Long,
    val durationMs: Long,
)

/** Faults that are injected at random, with their mean intervals and rates. */
data class FaultProfile(
    val crashIntervalMs: Long = 20_000,
    val answerLossRate: Double = 0.05,
    val delayedCommitRate: Double = 0.03,
    val disconnectIntervalMs: Long = 15_000,
    val hangIntervalMs: Long = 30_000,
    val machineLossIntervalMs: Long = 40_000,
    val taskErrorRate: Double = 0.02,
    /** A machine's reports arrive, but neither answers nor direct commands reach it. */
    val answersLostIntervalMs: Long = 45_000,
    /** Share of reports that are delivered a second time, from seconds to well over a lease later. */
    val lateDuplicateRate: Double = 0.05,
    /** A controller loses contact with the state service and its peers, but not with its workers. */
    val isolationIntervalMs: Long = 30_000,
    /** Minimum time until a crashed controller has restarted. */
    val minRestartMs: Long = 50,
    /** A third of all machines is disconnected, hangs or dies at the same time. */
    val massFailureIntervalMs: Long = NEVER_MS,
    /** All controllers are restarted one after another. */
    val rollingRestartIntervalMs: Long = NEVER_MS,
    /** Maximum time that a new leader takes to restore its state; it answers reports meanwhile. */
    val maxRestoreMs: Long = 0,
    /** Share of jobs that fail on every machine until their users cancel them. */
    val failingJobRate: Double = 0.0,
) {
    companion object {
        const val NEVER_MS = Long.MAX_VALUE / 64
    }
}
