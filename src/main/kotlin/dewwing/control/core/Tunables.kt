package dewwing.control.core

import dewwing.protocol.CloudLimits
import dewwing.protocol.Duration
import dewwing.protocol.Objective
import dewwing.protocol.StateLimits
import dewwing.protocol.Team
import dewwing.protocol.WorkerTimes

/** Parameters of the core that operators may tune. docs/design.md explains the defaults that differ from the design's. */
data class Tunables(
    /** Interval at which the collector searches for operations that were logged but not completed. */
    val collectorPeriod: Duration = Duration(5_000),
    /** How long a former leader may go on answering workers' reports after its successor's election. */
    val staleLeaderBound: Duration = Duration(3_000),
    /** Minimum wait before tasks are relaunched; it is extended where the worker leases require a longer one. */
    val relaunchWait: Duration = Duration(0),
    /** How long the log of a finished job is kept. */
    val logRetention: Duration = Duration(120_000),
    /** Fraction of the state service's write rate that the leader may use. */
    val writeShare: Double = 0.45,
    /** How long a machine without work is kept before it is released. */
    val idleTimeout: Duration = Duration(15_000),
)

/** Settings of the deployment that the core needs. */
data class CoreSettings(
    val teams: List<Team>,
    val objectives: List<Objective>,
    val workers: WorkerTimes,
    val state: StateLimits,
    val cloud: CloudLimits,
    val tunables: Tunables = Tunables(),
    /** Whether the deployment has other controllers that a worker can turn to. */
    val hasPeers: Boolean = true,
    /** Number of writes that may be made at once after a pause; at least one second's worth is always allowed. */
    val writeBurst: Double = 0.0,
)
