package dewwing.control.core

import dewwing.protocol.CloudLimits
import dewwing.protocol.Objective
import dewwing.protocol.Span
import dewwing.protocol.StateLimits
import dewwing.protocol.Team
import dewwing.protocol.WorkerTimes

/** The operators' own tunables of the core; defaults are the design's starting values unless docs/design.md says why. */
data class Tunables(
    /** How often the collector looks for unfinished intents. */
    val collectorPeriod: Span = Span(5_000),
    /** How long an older leader may go on answering reports after its successor's election. */
    val outageBound: Span = Span(3_000),
    /** Least relaunch wait; it is never less than what the leases need. */
    val relaunchWait: Span = Span(0),
    /** Life of a finished job's log. */
    val logLife: Span = Span(120_000),
    /** Share of the state service's change rate that the leader takes. */
    val writeShare: Double = 0.45,
    /** How long a machine without work is kept. */
    val idleKeep: Span = Span(15_000),
)

/** What the core needs to know of its deployment. */
data class CoreSettings(
    val teams: List<Team>,
    val objectives: List<Objective>,
    val workers: WorkerTimes,
    val state: StateLimits,
    val cloud: CloudLimits,
    val tunables: Tunables = Tunables(),
    /** There are other controllers that a worker can turn to. */
    val hasSiblings: Boolean = true,
    /** Changes that may be made at once after a pause; at least a second's worth. */
    val writeBurst: Double = 0.0,
)
