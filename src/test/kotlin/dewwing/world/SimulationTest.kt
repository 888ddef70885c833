package dewwing.world

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Seeded simulations with random faults: no rule is broken, every job ends, and the checks detect injected defects. */
class SimulationTest {
    @Test
    fun `a run without faults finishes every job and removes all log records`() {
        val faultFree =
            FaultProfile(
                Long.MAX_VALUE / 64,
                0.0,
                0.0,
                Long.MAX_VALUE / 16,
                Long.MAX_VALUE / 16,
                Long.MAX_VALUE / 16,
                0.0,
                Long.MAX_VALUE / 16,
                0.0,
                Long.MAX_VALUE / 16,
            )
        val simulation = Simulation(1, faultFree)
        assertEquals(emptyList<Any>(), simulation.simulate(30, 120_000))
        assertEquals(emptyList<String>(), simulation.rules.violations)
        assertEquals(0, simulation.keyCount("log/"))
    }

    @Test
    fun `crashes, disconnects, hangs and lost answers break no rule, and every job ends`() {
        for (seed in 1L..25L) {
            val simulation = Simulation(seed, FaultProfile())
            val unfinished = simulation.simulate(40, 200_000)
            assertEquals(emptyList<String>(), simulation.rules.violations, "seed $seed")
            assertEquals(emptyList<Any>(), unfinished, "seed $seed")
            assertEquals(emptyList<String>(), simulation.rules.serviceShortfalls(), "seed $seed")
        }
    }

    @Test
    fun `lost answers, late duplicate reports, isolated controllers and instant restarts break no rule and lose no job`() {
        for (seed in 200L..220L) {
            val simulation =
                Simulation(
                    seed,
                    FaultProfile(
                        crashIntervalMs = 5_000,
                        answersLostIntervalMs = 6_000,
                        lateDuplicateRate = 0.4,
                        isolationIntervalMs = 8_000,
                        minRestartMs = 1,
                    ),
                )
            val unfinished = simulation.simulate(30, 150_000)
            assertEquals(emptyList<String>(), simulation.rules.violations, "seed $seed")
            assertEquals(emptyList<Any>(), unfinished, "seed $seed")
            assertEquals(emptyList<String>(), simulation.rules.serviceShortfalls(), "seed $seed")
        }
    }

    @Test
    fun `controllers that crash every few seconds break no rule`() {
        for (seed in 100L..110L) {
            val simulation = Simulation(seed, FaultProfile(crashIntervalMs = 4_000, answerLossRate = 0.2, delayedCommitRate = 0.1))
            simulation.simulate(30, 150_000)
            assertEquals(emptyList<String>(), simulation.rules.violations, "seed $seed")
        }
    }

    /** Guards gangs in a large fleet, and worker leases that a leader renews before it has restored which tasks run where. */
    @Test
    fun `mass failures among hundreds of machines while controllers restart break no rule and lose no job`() {
        for (seed in 300L..303L) {
            val faultProfile =
                FaultProfile(
                    crashIntervalMs = 20_000,
                    disconnectIntervalMs = 4_000,
                    hangIntervalMs = 8_000,
                    machineLossIntervalMs = 10_000,
                    taskErrorRate = 0.002,
                    lateDuplicateRate = 0.2,
                    minRestartMs = 1,
                    massFailureIntervalMs = 30_000,
                    rollingRestartIntervalMs = 45_000,
                    maxRestoreMs = 8_000,
                )
            val simulation = Simulation(seed, faultProfile, teamCoreLimit = 1_200.0, arrayTasksBound = 60)
            val unfinished = simulation.simulate(160, 150_000)
            assertTrue(simulation.maxMachines >= 150, "seed $seed: only ${simulation.maxMachines} machines")
            assertEquals(emptyList<String>(), simulation.rules.violations, "seed $seed")
            assertEquals(emptyList<Any>(), unfinished, "seed $seed")
            assertEquals(emptyList<String>(), simulation.rules.serviceShortfalls(), "seed $seed")
        }
    }

    /** Guards against gangs placed in part: their placement takes several records and transactions, and a leader may crash between them. */
    @Test
    fun `gangs whose placements take several records start completely or not at all despite crashes`() {
        var splitCount = 0
        for (seed in 400L..412L) {
            val faultProfile = FaultProfile(crashIntervalMs = 5_000, answerLossRate = 0.1, delayedCommitRate = 0.1, minRestartMs = 1)
            val simulation =
                Simulation(seed, faultProfile, teamCoreLimit = 48.0, maxValueBytes = 116, maxOpsPerTransaction = 3, maxGangTasks = 9)
            val unfinished = simulation.simulate(40, 150_000)
            splitCount += simulation.splitPlacements
            assertEquals(emptyList<String>(), simulation.rules.violations, "seed $seed")
            assertEquals(emptyList<Any>(), unfinished, "seed $seed")
            assertEquals(emptyList<String>(), simulation.rules.serviceShortfalls(), "seed $seed")
        }
        assertTrue(splitCount >= 20, "only $splitCount placements were split")
    }

    private fun assertDetected(
        defect: Simulation.Defect,
        rule: String,
        faultProfile: FaultProfile = FaultProfile(crashIntervalMs = 6_000),
        seeds: Long = 12,
    ) {
        val detected =
            (1L..seeds).any { seed ->
                val simulation = Simulation(seed, faultProfile, defect)
                simulation.simulate(40, 150_000)
                simulation.rules.violations.any { it.startsWith(rule) }
            }
        assertTrue(detected, "$defect was not detected as $rule")
    }

    @Test
    fun `a leader that does not restore what its predecessors started is detected`() =
        assertDetected(Simulation.Defect.SKIP_LOG_RESTORE, "ran_twice")

    @Test
    fun `a leader that treats worker leases as expired too early is detected`() =
        assertDetected(Simulation.Defect.EXPIRE_LEASES_EARLY, "ran_twice")

    @Test
    fun `a leader that forgets which worker leases it renewed before it restored its state is detected`() =
        assertDetected(
            Simulation.Defect.FORGET_EARLY_RENEWALS,
            "ran_twice",
            FaultProfile(crashIntervalMs = 25_000, massFailureIntervalMs = 6_000, maxRestoreMs = 14_000),
            seeds = 60,
        )

    @Test
    fun `a leader that ignores cancellations is detected`() =
        assertDetected(
            Simulation.Defect.IGNORE_CANCELLATIONS,
            "ran_cancelled",
            FaultProfile(crashIntervalMs = 60_000, disconnectIntervalMs = 600_000),
        )

    @Test
    fun `a leader that ignores team limits is detected`() = assertDetected(Simulation.Defect.IGNORE_TEAM_LIMIT, "quota")

    @Test
    fun `a leader that ignores machine constraints is detected`() =
        assertDetected(Simulation.Defect.IGNORE_MACHINE_CONSTRAINTS, "wrong_place")

    @Test
    fun `a leader that continues after losing the state service is detected`() =
        assertDetected(
            Simulation.Defect.LEAD_WITHOUT_STATE_SERVICE,
            "ran_twice",
            FaultProfile(crashIntervalMs = 60_000, isolationIntervalMs = 6_000, disconnectIntervalMs = 8_000),
        )

    @Test
    fun `a service that stops answering users is detected as forgotten jobs`() =
        assertDetected(Simulation.Defect.NEVER_ANSWER_USERS, "forgotten")

    @Test
    fun `a leader that starves the largest jobs is detected`() {
        val simulation = Simulation(3, FaultProfile(), Simulation.Defect.STARVE_LARGE_JOBS)
        simulation.simulate(40, 150_000)
        assertTrue(simulation.rules.serviceShortfalls().any { it.startsWith("largest of c") }, "${simulation.rules.serviceShortfalls()}")
    }

    @Test
    fun `a job reported done too early is detected, and so are reverted final stages, forgotten jobs and invented jobs`() {
        assertDetected(Simulation.Defect.REPORT_DONE_EARLY, "not_done")
        val rules = RuleChecker(emptyMap(), 1_000)
        rules.onStageTold(dewwing.protocol.JobRef("job-1"), dewwing.protocol.JobStage.QUEUED)
        assertTrue(rules.violations.single().startsWith("invented"))
        val spec =
            dewwing.protocol.JobSpec(
                dewwing.protocol.JobRef("job-1"),
                "c",
                "t",
                dewwing.protocol.JobShape.ARRAY,
                dewwing.protocol.Urgency.LOW,
                1,
                dewwing.protocol.Resources.NONE,
                "i",
                0.0,
                null,
                null,
                false,
                false,
                true,
                1.0,
                0.0,
                0.0,
                null,
            )
        rules.onJobAccepted(spec, 0)
        rules.onStageTold(spec.ref, null)
        assertTrue(rules.violations.last().startsWith("forgotten"))
        rules.onCancellationTold(spec.ref, 0)
        rules.onStageTold(spec.ref, dewwing.protocol.JobStage.QUEUED)
        assertTrue(rules.violations.last().startsWith("went_back"))
    }
}
