package dewwing.control.core

import dewwing.control.core.intent.JobRecord
import dewwing.protocol.Command
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.JobStage
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.Report
import dewwing.protocol.ReportPosition
import dewwing.protocol.ReportedTask
import dewwing.protocol.Resources
import dewwing.protocol.Revision
import dewwing.protocol.StateLimits
import dewwing.protocol.TaskRef
import dewwing.protocol.TaskStage
import dewwing.protocol.Term
import dewwing.protocol.Urgency
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * The scheduler's time limits follow the settings. For any report interval from 1 to 6 s (each report up to a quarter of
 * it early or late) and any worker lease, healthy machines are neither given up nor left without work, and a task is
 * started elsewhere only once the lease of its machine has certainly expired.
 */
class WorkerTimesTest {
    private class LeaderWithRandomTimes(
        seed: Int,
    ) {
        val random = Random(seed)
        val reportIntervalMs = random.nextLong(1_000, 6_000)
        val leaseMs = (reportIntervalMs * random.nextDouble(3.5, 7.0)).toLong()
        private val type = MachineType("k", Resources(8.0, 2.0, 64.0), 10.0, 1.0, 1.0, 0.5, 20.0, listOf("a"))
        private val settings =
            testSettings(
                Duration(reportIntervalMs),
                Duration(leaseMs),
                StateLimits(200.0, 100.0, 4096, 8),
                tunables = Tunables(idleTimeout = Duration(10_000_000)),
            )
        val scheduler = Scheduler(settings, Term(5), Revision(50), Instant(0), 0).also { it.onMachineTypes(listOf(type)) }
        var nowMs = 0L
        private val sequences = HashMap<String, Long>()

        /** Time until a worker's next report: the report interval, up to a quarter shorter or longer. */
        fun nextIntervalMs() = random.nextLong(reportIntervalMs * 3 / 4, reportIntervalMs * 5 / 4 + 1)

        fun report(
            id: String,
            session: Long = 1,
            skippedReports: Long = 0,
            tasks: List<ReportedTask> = emptyList(),
        ): List<Command> {
            val sequence = (sequences[id] ?: 0L) + 1 + skippedReports
            sequences[id] = sequence
            val report = Report(MachineId(id), "10.0.0.1:1", "k", "a", false, ReportPosition(session, sequence), Term(5), null, tasks)
            scheduler.onReport(report, Instant(nowMs))
            runRounds()
            return scheduler.answerChecked(report, Instant(nowMs))
        }

        fun runRounds() {
            repeat(2) {
                if (scheduler
                        .runRound(
                            Instant(nowMs),
                        ) { true }
                        .any { it is Effect.Write }
                ) {
                    scheduler.onWriteApplied(Revision(1_000 + nowMs), Instant(nowMs))
                }
            }
        }

        fun submit(id: Int) {
            val spec =
                JobSpec(
                    JobRef("job-$id"),
                    "c",
                    "t",
                    JobShape.ARRAY,
                    Urgency.HIGH,
                    1,
                    Resources(8.0, 0.0, 8.0),
                    "i",
                    0.1,
                    null,
                    null,
                    false,
                    false,
                    true,
                    500.0,
                    0.0,
                    0.0,
                    null,
                )
            scheduler.onJobRecord(spec.ref, JobRecord(JobStage.QUEUED, spec, nowMs), Revision(id.toLong()), Instant(nowMs))
        }

        fun machineStates(): Set<String> = scheduler.machinesByState().keys
    }

    private fun forRandomTimes(check: LeaderWithRandomTimes.(String) -> Unit) {
        for (seed in 1..60) LeaderWithRandomTimes(seed).apply { check("seed $seed: reports every $reportIntervalMs ms, lease $leaseMs ms") }
    }

    @Test
    fun `a machine that reports on time never counts as silent or deaf, and gets work with its next report`() =
        forRandomTimes { description ->
            report("m-1")
            for (id in 1..3) {
                repeat(10) {
                    nowMs += nextIntervalMs()
                    report("m-1")
                    assertTrue(machineStates().none { it == "silent" || it == "deaf" }, "$description, states ${machineStates()}")
                }
                // The scheduler still relies on the machine at the latest time at which its next report is due.
                nowMs += reportIntervalMs * 5 / 4
                submit(id)
                runRounds()
                val launches = report("m-1").filterIsInstance<Command.Launch>()
                assertEquals(1, launches.size, description)
                nowMs += 100
                report(
                    "m-1",
                    tasks =
                        listOf(
                            ReportedTask(launches[0].task, launches[0].attempt, TaskStage.ENDED, dewwing.protocol.EndCause.DONE, false),
                        ),
                )
            }
        }

    @Test
    fun `a machine that returns from a network partition proves with its second report that it receives answers`() =
        forRandomTimes { description ->
            report("m-1")
            nowMs += nextIntervalMs()
            report("m-1")
            nowMs += leaseMs * 2
            runRounds()
            assertEquals(setOf("silent"), machineStates(), description)
            report("m-1", session = 2, skippedReports = 1)
            assertEquals(setOf("deaf"), machineStates(), description)
            nowMs += nextIntervalMs()
            submit(1)
            assertTrue(report("m-1", session = 2).any { it is Command.Launch }, description)
        }

    @Test
    fun `a machine that receives no answers is detected and gets no work`() =
        forRandomTimes { description ->
            report("m-1")
            nowMs += nextIntervalMs()
            report("m-1")
            // The worker waits 4 s for an answer, tries the other controllers and comes back. Its lease expires although the leader
            // answers every report.
            var session = 1L
            val startedMs = nowMs
            var detected = false
            repeat(12) {
                nowMs += 5_500
                if (nowMs - startedMs > leaseMs) session = 2
                report("m-1", session = session, skippedReports = 1)
                detected = detected || "deaf" in machineStates()
            }
            assertTrue(detected, description)
            submit(1)
            assertTrue(report("m-1", session = session, skippedReports = 1).none { it is Command.Launch }, description)
        }

    @Test
    fun `the task of a silent machine is started elsewhere once the machine's lease has expired, and never before`() =
        forRandomTimes { description ->
            submit(1)
            val launches = report("m-1").filterIsInstance<Command.Launch>()
            assertEquals(1, launches.size, description)
            val reportedTasks = listOf(ReportedTask(TaskRef(JobRef("job-1"), 0), launches[0].attempt, TaskStage.RUNNING, null, false))
            nowMs += nextIntervalMs()
            report("m-1", tasks = reportedTasks)
            // A worker's lease counts from when its last answered report was sent; the leader counts from when that report arrived.
            val answeredMs = nowMs
            while (nowMs - answeredMs <= leaseMs) {
                assertTrue(report("m-2").none { it is Command.Launch }, "$description after ${nowMs - answeredMs} ms")
                nowMs += 250
            }
            // Earlier leaders may have renewed the lease until 3 s after the start of this one.
            nowMs = maxOf(answeredMs, 3_000L) + leaseMs + leaseMs / 500 + 1_000
            val firstCommands = report("m-2")
            nowMs += nextIntervalMs()
            assertTrue((firstCommands + report("m-2")).any { it is Command.Launch }, description)
        }
}
