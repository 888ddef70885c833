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
import dewwing.protocol.Objective
import dewwing.protocol.Report
import dewwing.protocol.ReportPosition
import dewwing.protocol.ReportedTask
import dewwing.protocol.Resources
import dewwing.protocol.Revision
import dewwing.protocol.StateLimits
import dewwing.protocol.TaskRef
import dewwing.protocol.TaskStage
import dewwing.protocol.Team
import dewwing.protocol.Term
import dewwing.protocol.Urgency

/** A scheduler with workers that carry out what it says at once; time is virtual and every write succeeds. */
internal class SchedulerHarness(
    teams: List<Team> = listOf(Team("t", 0.0, null, 0.0, null)),
    objectives: List<Objective> = emptyList(),
    types: List<MachineType> = listOf(EIGHT_ACCELERATORS),
) {
    private class Worker(
        val zone: String,
        val spot: Boolean,
    ) {
        val running = LinkedHashMap<TaskRef, ReportedTask>()
        var seq = 0L
    }

    private val settings =
        settingsOf(Duration(1_000), Duration(10_000), StateLimits(1e6, 1e6, 65_536, 64)).copy(teams = teams, objectives = objectives)
    val scheduler =
        Scheduler(settings, TERM, Revision(50), Instant(0), 0).also {
            it.onMachineTypes(types)
            it.onMachineList(emptyList(), Instant(0))
        }
    private val workers = LinkedHashMap<String, Worker>()
    private var nowMs = 0L
    private var revision = 1_000L

    /** Every task that was killed while it ran, with its grace in seconds. */
    val killed = LinkedHashMap<TaskRef, Double>()

    /** Machines ordered so far. */
    var ordered = 0
        private set

    fun addMachine(
        id: String,
        zone: String = "a",
        spot: Boolean = false,
    ) {
        workers[id] = Worker(zone, spot)
    }

    fun submit(spec: JobSpec) {
        scheduler.onJobRecord(spec.ref, JobRecord(JobStage.QUEUED, spec, nowMs), Revision(++revision), Instant(nowMs))
    }

    /** Lets [seconds] go by, with a scheduling pass and a report of each machine every half second. */
    fun run(seconds: Double) {
        repeat((seconds * 2).toInt()) {
            nowMs += 500
            pass()
            for (id in workers.keys) report(id)
        }
    }

    private fun pass() {
        val effects = scheduler.runRound(Instant(nowMs)) { true }
        for (effect in effects) {
            when (effect) {
                is Effect.Write -> scheduler.onWriteApplied(Revision(++revision), Instant(nowMs))
                is Effect.Kill -> effect.kills.forEach { kill(effect.machine.value, it) }
                is Effect.Rent -> ordered += effect.request.count
                is Effect.Release -> Unit
            }
        }
    }

    private fun kill(
        id: String,
        command: Command.Kill,
    ) {
        if (workers.getValue(id).running.remove(command.task) != null) killed[command.task] = command.graceS
    }

    private fun report(id: String) {
        val worker = workers.getValue(id)
        val position = ReportPosition(1, ++worker.seq)
        val tasks = worker.running.values.toList()
        val report = Report(MachineId(id), "10.0.0.1:1", "k", worker.zone, worker.spot, position, TERM, null, tasks)
        scheduler.onReport(report, Instant(nowMs))
        for (command in scheduler.takeCommands(report, Instant(nowMs), launchAllowed = true)) {
            when (command) {
                is Command.Launch -> {
                    worker.running[command.task] = ReportedTask(command.task, command.attempt, TaskStage.RUNNING, null, false)
                }

                is Command.Kill -> {
                    kill(id, command)
                }

                is Command.Reap -> {
                    Unit
                }
            }
        }
    }

    /** Machines on which tasks of [job] run. */
    fun machinesOf(job: JobSpec): Set<String> = workers.filterValues { w -> w.running.keys.any { it.job == job.ref } }.keys

    fun running(job: JobSpec): Int = workers.values.sumOf { w -> w.running.keys.count { it.job == job.ref } }

    companion object {
        private val TERM = Term(5)

        /** Boots in 30 s and fetches 1 GB a second. */
        val EIGHT_ACCELERATORS =
            MachineType("k", Resources(96.0, 8.0, 576.0), 90.0, 1.0, 29.0, 13.0, 30.0, listOf("a", "b"))

        /** A job of one-accelerator tasks that can save; a test names what matters to it. */
        fun job(
            id: Int,
            tasks: Int = 1,
            shape: JobShape = JobShape.ARRAY,
            urgency: Urgency = Urgency.LOW,
            accelerators: Int = 1,
        ) = JobSpec(
            ref = JobRef("job-$id"),
            jobClass = "c",
            team = "t",
            shape = shape,
            urgency = urgency,
            tasks = tasks,
            need = Resources(10.0 * accelerators, accelerators.toDouble(), 50.0 * accelerators),
            image = "i",
            imageGb = 1.0,
            types = null,
            zone = null,
            oneZone = false,
            spread = false,
            spot = true,
            estimateS = 40.0,
            checkpointS = 10.0,
            saveS = 2.0,
            deadlineS = null,
        )
    }
}
