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
 * Times follow the settings: whatever interval reports have (1 to 6 s, give or take a quarter) and however many of them
 * a lease lasts, sound machines are neither given up nor starved, and proofs stay proofs.
 */
class TimesTest {
    private class OneLeader(
        seed: Int,
    ) {
        val random = Random(seed)
        val report = random.nextLong(1_000, 6_000)
        val lease = (report * random.nextDouble(3.5, 7.0)).toLong()
        private val type = MachineType("k", Resources(8.0, 2.0, 64.0), 10.0, 1.0, 1.0, 0.5, 20.0, listOf("a"))
        private val settings =
            testSettings(
                Duration(report),
                Duration(lease),
                StateLimits(200.0, 100.0, 4096, 8),
                tunables = Tunables(idleTimeout = Duration(10_000_000)),
            )
        val scheduler = Scheduler(settings, Term(5), Revision(50), Instant(0), 0).also { it.onMachineTypes(listOf(type)) }
        var now = 0L
        private val seqs = HashMap<String, Long>()

        /** As a worker sends them: the interval, give or take a quarter. */
        fun interval() = random.nextLong(report * 3 / 4, report * 5 / 4 + 1)

        fun reports(
            id: String,
            session: Long = 1,
            skip: Long = 0,
            tasks: List<ReportedTask> = emptyList(),
        ): List<Command> {
            val seq = (seqs[id] ?: 0L) + 1 + skip
            seqs[id] = seq
            val r = Report(MachineId(id), "10.0.0.1:1", "k", "a", false, ReportPosition(session, seq), Term(5), null, tasks)
            scheduler.onReport(r, Instant(now))
            rounds()
            return scheduler.takeCommands(r, Instant(now), launchAllowed = true)
        }

        fun rounds() {
            repeat(2) {
                if (scheduler
                        .runRound(
                            Instant(now),
                        ) { true }
                        .any { it is Effect.Write }
                ) {
                    scheduler.onWriteApplied(Revision(1_000 + now), Instant(now))
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
            scheduler.onJobRecord(spec.ref, JobRecord(JobStage.QUEUED, spec, now), Revision(id.toLong()), Instant(now))
        }

        fun state(): Set<String> = scheduler.machinesByState().keys
    }

    private fun forSettings(check: OneLeader.(String) -> Unit) {
        for (seed in 1..60) OneLeader(seed).apply { check("seed $seed: reports every $report ms, lease $lease ms") }
    }

    @Test
    fun `a machine that reports as it should is never taken for silent or deaf, and gets work at its next report`() =
        forSettings { what ->
            reports("m-1")
            for (id in 1..3) {
                repeat(10) {
                    now += interval()
                    reports("m-1")
                    assertTrue(state().none { it == "silent" || it == "deaf" }, "$what, state ${state()}")
                }
                // Just before the latest moment of its next report it still counts on it.
                now += report * 5 / 4
                submit(id)
                rounds()
                val launch = reports("m-1").filterIsInstance<Command.Launch>()
                assertEquals(1, launch.size, what)
                now += 100
                reports(
                    "m-1",
                    tasks = listOf(ReportedTask(launch[0].task, launch[0].attempt, TaskStage.ENDED, dewwing.protocol.EndCause.DONE, false)),
                )
            }
        }

    @Test
    fun `a machine back from a cut shows with its second report that it is sound`() =
        forSettings { what ->
            reports("m-1")
            now += interval()
            reports("m-1")
            now += lease * 2
            rounds()
            assertEquals(setOf("silent"), state(), what)
            reports("m-1", session = 2, skip = 1)
            assertEquals(setOf("deaf"), state(), what)
            now += interval()
            submit(1)
            assertTrue(reports("m-1", session = 2).any { it is Command.Launch }, what)
        }

    @Test
    fun `a machine that hears nothing is found out and gets nothing`() =
        forSettings { what ->
            reports("m-1")
            now += interval()
            reports("m-1")
            // It waits 4 s for an answer, turns to the others and comes back; its lease ends though we answered each time.
            var session = 1L
            val began = now
            var found = false
            repeat(12) {
                now += 5_500
                if (now - began > lease) session = 2
                reports("m-1", session = session, skip = 1)
                found = found || "deaf" in state()
            }
            assertTrue(found, what)
            submit(1)
            assertTrue(reports("m-1", session = session, skip = 1).none { it is Command.Launch }, what)
        }

    @Test
    fun `a silent machine's task is started elsewhere once its lease has run out, and never before`() =
        forSettings { what ->
            submit(1)
            val launch = reports("m-1").filterIsInstance<Command.Launch>()
            assertEquals(1, launch.size, what)
            val task = listOf(ReportedTask(TaskRef(JobRef("job-1"), 0), launch[0].attempt, TaskStage.RUNNING, null, false))
            now += interval()
            reports("m-1", tasks = task)
            // A lease counts from when the last answered report was sent; a leader books the time at which it came.
            val answered = now
            while (now - answered <= lease) {
                assertTrue(reports("m-2").none { it is Command.Launch }, "$what after ${now - answered} ms")
                now += 250
            }
            // Answers of older leaders count for 3 s from the start of this one.
            now = maxOf(answered, 3_000L) + lease + lease / 500 + 1_000
            val first = reports("m-2")
            now += interval()
            assertTrue((first + reports("m-2")).any { it is Command.Launch }, what)
        }
}
