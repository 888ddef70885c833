package dewwing.control.core

import dewwing.protocol.CloudLimits
import dewwing.protocol.Duration
import dewwing.protocol.Objective
import dewwing.protocol.StateLimits
import dewwing.protocol.Team
import dewwing.protocol.WorkerTimes

/** A deployment with one team "t" without limits; what a test is about it names itself. */
internal fun settingsOf(
    report: Duration,
    lease: Duration,
    state: StateLimits,
    startAims: Map<String, Double> = emptyMap(),
    tunables: Tunables = Tunables(),
) = CoreSettings(
    listOf(Team("t", 0.0, null, 0.0, null)),
    startAims.map { (jobClass, withinS) -> Objective.Start(jobClass, withinS) },
    WorkerTimes(report, lease, Duration(30_000), Duration(6_000), Duration(30_000)),
    state,
    CloudLimits(4.0, Duration(3_000)),
    tunables,
)
