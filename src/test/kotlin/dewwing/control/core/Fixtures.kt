package dewwing.control.core

import dewwing.protocol.CloudLimits
import dewwing.protocol.Objective
import dewwing.protocol.Span
import dewwing.protocol.StateLimits
import dewwing.protocol.Team
import dewwing.protocol.WorkerTimes

/** A deployment with one team "t" without limits; what a test is about it names itself. */
internal fun settingsOf(
    report: Span,
    lease: Span,
    state: StateLimits,
    startAims: Map<String, Double> = emptyMap(),
    tunables: Tunables = Tunables(),
) = CoreSettings(
    listOf(Team("t", 0.0, null, 0.0, null)),
    startAims.map { (jobClass, withinS) -> Objective.Start(jobClass, withinS) },
    WorkerTimes(report, lease, Span(30_000), Span(6_000), Span(30_000)),
    state,
    CloudLimits(4.0, Span(3_000)),
    tunables,
)
