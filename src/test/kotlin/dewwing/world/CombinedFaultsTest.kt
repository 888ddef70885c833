package dewwing.world

import dewwing.protocol.JobRef
import dewwing.protocol.TaskRef
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Simulations with combined faults, which begin within a few seconds of each other: most rules break when two faults
 * coincide, and the random faults of [SimulationTest] are hardly ever that close together.
 */
class CombinedFaultsTest {
    private val fewFaults =
        FaultProfile(
            crashIntervalMs = FaultProfile.NEVER_MS,
            answerLossRate = 0.02,
            delayedCommitRate = 0.02,
            disconnectIntervalMs = FaultProfile.NEVER_MS,
            hangIntervalMs = FaultProfile.NEVER_MS,
            machineLossIntervalMs = FaultProfile.NEVER_MS,
            taskErrorRate = 0.005,
            answersLostIntervalMs = FaultProfile.NEVER_MS,
            lateDuplicateRate = 0.1,
            isolationIntervalMs = FaultProfile.NEVER_MS,
            minRestartMs = 1,
            maxRestoreMs = 600,
        )

    private fun simulate(
        seed: Long,
        combinedFaults: List<ScheduledFault>,
        defect: Simulation.Defect = Simulation.Defect.NONE,
        longTasks: Boolean = true,
    ): Simulation {
        val simulation = Simulation(seed, fewFaults, defect, teamCoreLimit = 40.0)
        if (longTasks) simulation.longTasksUntil = 90_000
        val unfinished = simulation.simulate(30, 160_000, combinedFaults)
        if (defect == Simulation.Defect.NONE) {
            assertEquals(emptyList<String>(), simulation.rules.violations, "seed $seed: $combinedFaults")
            assertEquals(emptyList<Any>(), unfinished, "seed $seed: $combinedFaults")
        }
        return simulation
    }

    /**
     * The state service refuses only the leader; [delayMs] later all controllers lose it, for longer than the time limit
     * for cancellations.
     */
    private fun refusalThenOutage(delayMs: Long) =
        listOf(
            ScheduledFault(FaultKind.LEADER_REFUSED_BY_STATE, 60_000, 14_000),
            ScheduledFault(FaultKind.CANCEL_JOBS, 60_000 + minOf(300, delayMs), 0),
            ScheduledFault(
                FaultKind.STATE_OUTAGE,
                60_000 + delayMs,
                54_000,
            ),
        )

    @Test
    fun `jobs cancelled while only the leader is refused by the state service, just before an outage, stop in time`() {
        for (seed in 1L..30L) simulate(seed, refusalThenOutage(delayMs = 200 + seed * 80))
    }

    @Test
    fun `a leader that ignores the heartbeats of its peers is detected between the refusal and the outage`() {
        val violations =
            (1L..30L).flatMap {
                simulate(it, refusalThenOutage(delayMs = 200 + it * 80), Simulation.Defect.IGNORE_HEARTBEATS).rules.violations
            }
        assertTrue(violations.any { it.startsWith("ran_cancelled") }, "$violations")
    }

    private fun faultDurationMs(
        kind: FaultKind,
        random: Random,
    ): Long =
        when (kind) {
            FaultKind.STATE_OUTAGE -> random.nextLong(3_000, 45_000)
            FaultKind.LEADER_REFUSED_BY_STATE, FaultKind.WATCH_STALLED -> random.nextLong(2_000, 30_000)
            FaultKind.ROLLING_RESTART -> random.nextLong(1_000, 15_000)
            else -> random.nextLong(2_000, 35_000)
        }

    private fun combinedFaults(
        faultKinds: List<FaultKind>,
        random: Random,
    ): List<ScheduledFault> =
        faultKinds.map { ScheduledFault(it, 60_000 + random.nextLong(-2_500, 2_500), faultDurationMs(it, random)) } +
            ScheduledFault(FaultKind.CANCEL_JOBS, 60_000 + random.nextLong(-3_000, 6_000), 0)

    @Test
    fun `any two combined faults break no rule, and every job ends`() {
        for (first in FaultKind.entries) {
            for (second in FaultKind.entries) {
                if (first <= second) {
                    simulate(
                        500L + first.ordinal * 40 + second.ordinal,
                        combinedFaults(listOf(first, second), Random(first.ordinal * 40L + second.ordinal)),
                        longTasks = (first.ordinal + second.ordinal) % 2 == 0,
                    )
                }
            }
        }
    }

    @Test
    fun `three combined faults break no rule, and every job ends`() {
        val random = Random(77)
        for (seed in 2_000L..2_080L) {
            simulate(
                seed,
                combinedFaults(List(3) { FaultKind.entries.random(random) }, random),
                longTasks =
                    seed % 2 == 0L,
            )
        }
    }

    /** Guards against healthy jobs that are not served because other jobs keep failing. */
    @Test
    fun `jobs that fail on every machine end when their users cancel them, and other jobs are served meanwhile`() {
        for (seed in 1L..8L) {
            val simulation =
                Simulation(seed, fewFaults.copy(failingJobRate = 0.3, taskErrorRate = 0.02, crashIntervalMs = 40_000), teamCoreLimit = 40.0)
            val unfinished = simulation.simulate(40, 160_000)
            assertEquals(emptyList<String>(), simulation.rules.violations, "seed $seed")
            assertEquals(emptyList<Any>(), unfinished, "seed $seed")
            assertEquals(emptyList<String>(), simulation.rules.serviceShortfalls(), "seed $seed")
        }
    }

    @Test
    fun `ten changes of leader in two minutes, some during an outage, break no rule`() {
        for (seed in 1L..8L) {
            val leaderChanges =
                List(10) {
                    ScheduledFault(
                        if (it % 3 == 0) FaultKind.ALL_CONTROLLERS_CRASH else FaultKind.LEADER_CRASH,
                        30_000 + it * 12_000L,
                        0,
                    )
                }
            simulate(
                seed,
                leaderChanges + ScheduledFault(FaultKind.STATE_OUTAGE, 70_000 + seed * 1_000, 20_000) +
                    ScheduledFault(FaultKind.CANCEL_JOBS, 65_000 + seed * 2_000, 0),
            )
        }
    }

    /** The defect hides large jobs from the scheduler, and idle machines are never released. */
    @Test
    fun `a job left waiting despite free capacity is detected`() {
        val violations =
            (1L..3L).flatMap {
                simulate(it, emptyList(), Simulation.Defect.STARVE_WITH_FREE_CAPACITY, longTasks = false).rules.violations
            }
        assertTrue(violations.any { it.startsWith("waits") }, "$violations")
    }

    @Test
    fun `a launch long after its job's cancellation was confirmed is detected, one just after is not`() {
        val rules = RuleChecker(emptyMap(), 35_000)
        val task = TaskRef(JobRef("job-1"), 0)
        rules.onLaunchReceived(task, reportSentAt = 990, now = 1_000)
        rules.onCancellationTold(task.job, 2_000)
        rules.onLaunchReceived(task, reportSentAt = 2_000, now = 5_000)
        assertTrue(rules.violations.none { it.startsWith("started_cancelled") })
        rules.onLaunchReceived(task, reportSentAt = 2_000, now = 5_001)
        assertEquals(1, rules.violations.count { it.startsWith("started_cancelled") })
        rules.onLaunchReceived(task, reportSentAt = 2_001, now = 2_002)
        assertEquals(2, rules.violations.count { it.startsWith("started_cancelled") })
    }

    /** Guards against starts after a confirmed cancellation: the history checks must see a leader that trusts its last read (review/8). */
    @Test
    fun `a leader that launches without a check of its jobs is detected`() {
        val lateWatch =
            listOf(ScheduledFault(FaultKind.WATCH_STALLED, 20_000, 60_000)) +
                List(40) { ScheduledFault(FaultKind.CANCEL_JOBS, 21_000 + it * 1_000L, 0) }
        val violations =
            (1L..10L).flatMap { simulate(it, lateWatch, Simulation.Defect.SKIP_LAUNCH_CHECK, longTasks = false).rules.violations }
        assertTrue(violations.any { it.startsWith("started_cancelled") }, "$violations")
        for (seed in 1L..10L) simulate(seed, lateWatch, longTasks = false)
    }
}
