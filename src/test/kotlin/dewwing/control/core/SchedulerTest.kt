package dewwing.control.core

import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.LogRecord
import dewwing.protocol.CloudLimits
import dewwing.protocol.Command
import dewwing.protocol.EndCause
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.JobStage
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.Objective
import dewwing.protocol.ObjectiveKind
import dewwing.protocol.Position
import dewwing.protocol.Report
import dewwing.protocol.ReportedTask
import dewwing.protocol.Resources
import dewwing.protocol.Revision
import dewwing.protocol.Span
import dewwing.protocol.StateLimits
import dewwing.protocol.Step
import dewwing.protocol.TaskRef
import dewwing.protocol.TaskStage
import dewwing.protocol.Team
import dewwing.protocol.Term
import dewwing.protocol.Urgency
import dewwing.protocol.WorkerTimes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet

/** One leader and one or two machines, step by step. */
class SchedulerTest {
    private val type = MachineType("k", Resources(8.0, 2.0, 64.0), 10.0, 1.0, 1.0, 0.5, 60.0, listOf("a"))
    private val settings = CoreSettings(
        listOf(Team("t", 0.0, null, 0.0, null)),
        listOf(Objective(ObjectiveKind.WAIT, "urgent", 10.0, 0.9)),
        WorkerTimes(Span(2_000), Span(10_000), Span(30_000), Span(6_000), Span(30_000)),
        StateLimits(200.0, 25.0, 4096, 8), CloudLimits(4.0, Span(3_000)),
    )
    private val term = Term(5)
    private val scheduler = Scheduler(settings, term, Revision(50), Instant(0), 0).also { it.onTypes(listOf(type)) }
    private var now = 0L
    private var seq = 0L

    private fun spec(id: Int, jobClass: String, urgency: Urgency, shape: JobShape, need: Resources, checkpointS: Double = 0.0) = JobSpec(
        JobRef("job-$id"), jobClass, "t", shape, urgency, 1, need, "i", 1.0, null, null, false, false, true, 30.0,
        checkpointS, 2.0, null,
    )

    private fun submit(s: JobSpec) =
        scheduler.onJobEntry(s.ref, JobRecord(JobStage.QUEUED, s, now), Revision(s.ref.value.removePrefix("job-").toLong()), Instant(now))

    private fun report(id: String, vararg tasks: ReportedTask, crest: Term = term, session: Long = 1): List<Command> {
        val r = Report(MachineId(id), "10.0.0.1:1", "k", "a", false, Position(session, ++seq), crest, null, tasks.toList())
        scheduler.onReport(r, Instant(now))
        return scheduler.commands(r, Instant(now), mayStart = true)
    }

    /** A round whose writes are applied at once. */
    private fun round(): List<Effect> {
        now += 200
        val effects = scheduler.round(Instant(now)) { true }
        if (effects.any { it is Effect.Write }) scheduler.onWritten(Revision(1_000 + now), Instant(now))
        return effects
    }

    private fun running(id: Int, attempt: Step = Step(1)) =
        ReportedTask(TaskRef(JobRef("job-$id"), 0), attempt, TaskStage.RUNNING, null, false)

    private val half = Resources(4.0, 1.0, 8.0)

    @Test
    fun `nothing is launched before its log record is written, and each attempt once`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1")
        now += 200
        val write = scheduler.round(Instant(now)) { true }.filterIsInstance<Effect.Write>().single()
        assertTrue(write.change.puts.any { it.first.startsWith("log/job-1/") })
        assertTrue(write.change.conditions.any { it.first == "term" } && write.change.conditions.any { it.first == "job/job-1" })
        assertTrue(report("m-1").none { it is Command.Launch })
        scheduler.onWritten(Revision(99), Instant(now))
        assertEquals(1, report("m-1").count { it is Command.Launch })
        assertTrue(report("m-1", running(1)).isEmpty())
    }

    @Test
    fun `a worker that has not yet seen our term is given nothing`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1", crest = Term(4))
        assertTrue(round().none { it is Effect.Write && it.change.puts.any { p -> p.first.startsWith("log/") } })
    }

    @Test
    fun `a finished task is forgotten by its worker only after its result is written`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half).copy(tasks = 2))
        report("m-1")
        round()
        report("m-1")
        val ended = ReportedTask(TaskRef(JobRef("job-1"), 0), Step(1), TaskStage.ENDED, EndCause.DONE, false)
        val other = ReportedTask(TaskRef(JobRef("job-1"), 1), Step(1), TaskStage.RUNNING, null, false)
        assertTrue(report("m-1", ended, other).none { it is Command.Reap })
        now += 3_000
        val write = round().filterIsInstance<Effect.Write>().single()
        assertEquals(listOf(0, 0), write.change.puts.single().second["done"])
        assertEquals(1, report("m-1", ended, other).count { it is Command.Reap })
    }

    @Test
    fun `a late report says nothing and gets nothing`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1")
        round()
        report("m-1")
        report("m-1", running(1))
        val late = Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, Position(1, 1), term, null, emptyList())
        scheduler.onReport(late, Instant(now))
        assertTrue(scheduler.commands(late, Instant(now), true).isEmpty())
        assertEquals(1, scheduler.counts(JobRef("job-1"))?.running)
    }

    @Test
    fun `what an older leader may have started is not started again until the worker answers to us without it`() {
        val s = Scheduler(settings, term, Revision(50), Instant(0), 0).also { it.onTypes(listOf(type)) }
        val job = spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half)
        s.restoreJob(job.ref, JobRecord(JobStage.QUEUED, job, 0), Revision(1))
        s.restoreLog("log/job-1/000000007", LogRecord(listOf(LogRecord.Placed(MachineId("m-9"), BitSet().apply { set(0) })), BitSet()))
        s.restored(Instant(0))
        fun tell(crest: Term, n: Long) = s.onReport(
            Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, Position(1, n), crest, null, emptyList()), Instant(n * 1_000),
        )
        fun places() = s.round(Instant(now)) { true }.any { e -> e is Effect.Write && e.change.puts.any { it.first.startsWith("log/") } }
        tell(term, 1)
        for (t in 1..12) {
            now = t * 1_000L
            tell(term, t + 1L)
            assertFalse(places(), "at $now")
        }
        now = 14_000
        tell(term, 20)
        // The older leader's bound, the lease and its drift are over: the silent machine has killed what it had.
        assertTrue(places())
    }

    @Test
    fun `a job that cannot wait for a boot stops the cheapest work of lower priority and gets the room`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1")
        round()
        report("m-1")
        now += 60_000
        submit(spec(2, "c", Urgency.STANDARD, JobShape.ARRAY, half, checkpointS = 10.0))
        seq = 100
        report("m-1", running(1))
        round()
        report("m-1", running(1))
        report("m-1", running(1), running(2))
        submit(spec(3, "urgent", Urgency.HIGH, JobShape.GANG, half))
        val kills = round().filterIsInstance<Effect.Kill>().flatMap { it.kills }
        // Job 2 can save; job 1 would lose a minute.
        assertEquals(listOf("job-2"), kills.map { it.task.job.value })
        assertEquals(2.0, kills.single().graceS)
        submit(spec(4, "c", Urgency.HIGH, JobShape.ARRAY, half))
        report("m-1", running(1))
        round()
        val launched = report("m-1", running(1)).filterIsInstance<Command.Launch>()
        assertEquals(listOf("job-3"), launched.map { it.task.job.value })
    }

    @Test
    fun `a cancelled job's tasks are killed at once and never launched`() {
        val job = spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half).copy(tasks = 2)
        submit(job)
        report("m-1")
        round()
        report("m-1")
        val second = ReportedTask(TaskRef(JobRef("job-1"), 1), Step(1), TaskStage.RUNNING, null, false)
        report("m-1", running(1), second)
        scheduler.onJobEntry(job.ref, JobRecord(JobStage.ABORTED, job, 0), Revision(200), Instant(now))
        val kills = scheduler.round(Instant(now)) { true }.filterIsInstance<Effect.Kill>().flatMap { it.kills }
        assertEquals(2, kills.size)
        assertTrue(report("m-1", running(1)).any { it is Command.Kill })
    }

    @Test
    fun `a change of another term's leader is refused and ends the term`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1")
        now += 200
        assertTrue(scheduler.round(Instant(now)) { true }.any { it is Effect.Write })
        assertFalse(scheduler.onRefused(listOf("term"), Instant(now)))
    }

    @Test
    fun `a budget that is used up ends the round, and the next goes on`() {
        for (i in 1..30) submit(spec(i, "c", Urgency.STANDARD, JobShape.ARRAY, Resources(0.1, 0.0, 0.1)))
        report("m-1")
        val placed = HashSet<String>()
        repeat(60) {
            now += 1_000
            report("m-1")
            var left = 3
            for (e in scheduler.round(Instant(now)) { left-- > 0 }) {
                if (e !is Effect.Write) continue
                val jobs = e.change.puts.map { it.first }.filter { it.startsWith("log/") }.map { it.substringBeforeLast('/') }
                assertTrue(jobs.size <= 3, "$jobs")
                placed.addAll(jobs)
                scheduler.onWritten(Revision(1_000 + now), Instant(now))
            }
        }
        assertEquals(30, placed.size)
    }
}
