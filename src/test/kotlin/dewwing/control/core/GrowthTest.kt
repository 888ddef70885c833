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
 * The scheduler's work must be proportional to what changed. It is measured in items examined instead of time. The worst
 * case in normal operation is a full fleet with a long queue: in every round every waiting job searches for capacity and
 * finds none.
 */
class GrowthTest {
    /** A fleet of [machines] full machines and [queued] waiting jobs for which no capacity is free. */
    private class FullFleet(
        private val machines: Int,
        queued: Int,
        shape: JobShape = JobShape.ARRAY,
    ) {
        private val type = MachineType("k", Resources(8.0, 2.0, 64.0), 10.0, 1.0, 1.0, 0.5, 60.0, listOf("a"))
        private val settings = testSettings(Duration(4_000), Duration(22_000), StateLimits(1e6, 1e6, 65_536, 64), mapOf("c" to 10.0))
        val scheduler = Scheduler(settings, Term(5), Revision(50), Instant(0), 0).also { it.onMachineTypes(listOf(type)) }
        private val runningTasks = List(machines) { HashMap<Any, ReportedTask>() }
        private var seq = 0L
        var nowMs = 0L
        private var revision = 100L

        private fun submit(
            number: Int,
            tasks: Int,
            shape: JobShape,
        ) {
            val spec =
                JobSpec(
                    JobRef("job-$number"),
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
            scheduler.onJobRecord(spec.ref, JobRecord(JobStage.QUEUED, spec, nowMs), Revision(number.toLong()), Instant(nowMs))
        }

        /** Sends a report of one machine and carries out the answer. Returns the number of items examined. */
        fun report(machine: Int): Long {
            val before = scheduler.workCounter.itemsExamined
            val report =
                Report(
                    MachineId("m-%05d".format(machine)),
                    "10.0.0.1:1",
                    "k",
                    "a",
                    true,
                    ReportPosition(1, ++seq),
                    Term(5),
                    null,
                    runningTasks[machine].values.toList(),
                )
            scheduler.onReport(report, Instant(nowMs))
            scheduler.mayLaunchSoon(report.machine)
            for (command in scheduler.answerChecked(report, Instant(nowMs))) {
                if (command is Command.Launch) {
                    runningTasks[machine][command.task] =
                        ReportedTask(command.task, command.attempt, TaskStage.RUNNING, null, false)
                }
            }
            return scheduler.workCounter.itemsExamined - before
        }

        fun runRound(): Long {
            nowMs += 200
            val before = scheduler.workCounter.itemsExamined
            val effects = scheduler.runRound(Instant(nowMs)) { true }
            val examined = scheduler.workCounter.itemsExamined - before
            if (effects.any { it is Effect.Write }) scheduler.onWriteApplied(Revision(++revision), Instant(nowMs))
            return examined
        }

        init {
            for (machine in 0 until machines) report(machine)
            submit(1, machines * 2, JobShape.ARRAY)
            repeat(machines / 200 + 4) { runRound() }
            for (machine in 0 until machines) report(machine)
            for (machine in 0 until machines) report(machine)
            val running = scheduler.jobCounts(JobRef("job-1"))?.running
            assertTrue(running == machines * 2, "the fleet must be full: $running of ${machines * 2} tasks run")
            for (number in 2 until 2 + queued) submit(number, 8, shape)
        }
    }

    private fun maxItemsExamined(
        times: Int,
        measure: () -> Long,
    ): Long = (1..times).maxOf { measure() }

    @Test
    fun `a round examines each machine a few times, not once per waiting job`() {
        for (machines in listOf(100, 500, 1_500, 4_000)) {
            for (queued in listOf(10, 200)) {
                for (shape in listOf(JobShape.ARRAY, JobShape.GANG)) {
                    val fleet = FullFleet(machines, queued, shape)
                    val examined = maxItemsExamined(10) { fleet.runRound() }
                    assertTrue(
                        examined <= 8 * machines + 8 * queued,
                        "$machines machines, $queued jobs $shape: $examined items examined in a round",
                    )
                }
            }
        }
    }

    @Test
    fun `a report takes no more work in a large fleet than in a small one`() {
        for (machines in listOf(100, 1_500, 4_000)) {
            val fleet = FullFleet(machines, 200)
            fleet.runRound()
            val examined = (0 until 100).maxOf { fleet.report(it) }
            assertTrue(examined <= 8 + 200, "$machines machines: $examined items examined for a report")
        }
    }
}
