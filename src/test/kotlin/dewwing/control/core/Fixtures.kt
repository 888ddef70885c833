package dewwing.control.core

import dewwing.protocol.CloudLimits
import dewwing.protocol.Command
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.Objective
import dewwing.protocol.Report
import dewwing.protocol.StateLimits
import dewwing.protocol.Team
import dewwing.protocol.WorkerTimes

/** Settings with one team "t" that has no limits; a test passes the values that matter to it. */
internal fun testSettings(
    reportInterval: Duration,
    leaseDuration: Duration,
    stateLimits: StateLimits,
    startObjectives: Map<String, Double> = emptyMap(),
    tunables: Tunables = Tunables(),
) = CoreSettings(
    listOf(Team("t", 0.0, null, 0.0, null)),
    startObjectives.map { (jobClass, withinS) -> Objective.Start(jobClass, withinS) },
    WorkerTimes(reportInterval, leaseDuration, Duration(30_000), Duration(6_000), Duration(30_000)),
    stateLimits,
    CloudLimits(4.0, Duration(3_000)),
    tunables,
)

/** The answer to [report], after a check of the jobs to launch which finds none of them changed. */
internal fun Scheduler.answerChecked(
    report: Report,
    now: Instant,
): List<Command> {
    onRevisionsUnchanged(startRevisionCheck(jobsToCheckBeforeLaunch(report.machine)))
    return takeCommands(report, now, launchAllowed = true)
}
