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
import dewwing.protocol.TaskStage
import dewwing.protocol.Term
import dewwing.protocol.Urgency
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Work in proportion to what changed, counted in looks instead of time. A full fleet with a long queue is the worst
 * ordinary case: every round every waiting job looks for a place and there is none.
 */
class GrowthTest {
    /** A fleet of [machines] full machines with [queued] jobs that find no place. */
    private class Loaded(
        private val machines: Int,
        queued: Int,
        shape: JobShape = JobShape.ARRAY,
    ) {
        private val type = MachineType("k", Resources(8.0, 2.0, 64.0), 10.0, 1.0, 1.0, 0.5, 60.0, listOf("a"))
        private val settings = settingsOf(Duration(4_000), Duration(22_000), StateLimits(1e6, 1e6, 65_536, 64), mapOf("c" to 10.0))
        val scheduler = Scheduler(settings, Term(5), Revision(50), Instant(0), 0).also { it.onMachineTypes(listOf(type)) }
        private val held = List(machines) { HashMap<Any, ReportedTask>() }
        private var seq = 0L
        var now = 0L
        private var revision = 100L

        private fun submit(
            id: Int,
            tasks: Int,
            shape: JobShape,
        ) {
            val spec =
                JobSpec(
                    JobRef("job-$id"),
                    "c",
                    "t",
                    shape,
                    Urgency.HIGH,
                    tasks,
                    Resources(4.0, 1.0, 8.0),
                    "i",
                    1.0,
                    null,
                    null,
                    false,
                    false,
                    true,
                    30.0,
                    0.0,
                    0.0,
                    null,
                )
            scheduler.onJobRecord(spec.ref, JobRecord(JobStage.QUEUED, spec, now), Revision(id.toLong()), Instant(now))
        }

        /** One report of machine [i], its answer carried out. */
        fun report(i: Int): Long {
            val before = scheduler.workCounter.itemsExamined
            val r =
                Report(
                    MachineId("m-%05d".format(i)),
                    "10.0.0.1:1",
                    "k",
                    "a",
                    true,
                    ReportPosition(1, ++seq),
                    Term(5),
                    null,
                    held[i].values.toList(),
                )
            scheduler.onReport(r, Instant(now))
            scheduler.mayLaunchSoon(r.machine)
            for (c in scheduler.takeCommands(r, Instant(now), true)) {
                if (c is Command.Launch) held[i][c.task] = ReportedTask(c.task, c.attempt, TaskStage.RUNNING, null, false)
            }
            return scheduler.workCounter.itemsExamined - before
        }

        fun round(): Long {
            now += 200
            val before = scheduler.workCounter.itemsExamined
            val effects = scheduler.runRound(Instant(now)) { true }
            val looks = scheduler.workCounter.itemsExamined - before
            if (effects.any { it is Effect.Write }) scheduler.onWriteApplied(Revision(++revision), Instant(now))
            return looks
        }

        init {
            for (i in 0 until machines) report(i)
            submit(1, machines * 2, JobShape.ARRAY)
            repeat(machines / 200 + 4) { round() }
            for (i in 0 until machines) report(i)
            for (i in 0 until machines) report(i)
            val running = scheduler.jobCounts(JobRef("job-1"))?.running
            assertTrue(running == machines * 2, "the fleet is to be full: $running of ${machines * 2} run")
            for (id in 2 until 2 + queued) submit(id, 8, shape)
        }
    }

    private fun most(
        times: Int,
        looks: () -> Long,
    ): Long = (1..times).maxOf { looks() }

    @Test
    fun `a round looks at each machine a few times, not once for each waiting job`() {
        for (machines in listOf(100, 500, 1_500, 4_000)) {
            for (queued in listOf(10, 200)) {
                for (shape in listOf(JobShape.ARRAY, JobShape.GANG)) {
                    val loaded = Loaded(machines, queued, shape)
                    val looks = most(10) { loaded.round() }
                    assertTrue(looks <= 8 * machines + 8 * queued, "$machines machines, $queued jobs $shape: $looks looks in a round")
                }
            }
        }
    }

    @Test
    fun `a report costs the same in a small fleet as in a large one`() {
        for (machines in listOf(100, 1_500, 4_000)) {
            val loaded = Loaded(machines, 200)
            loaded.round()
            val looks = (0 until 100).maxOf { loaded.report(it) }
            assertTrue(looks <= 8 + 200, "$machines machines: $looks looks for a report")
        }
    }
}
