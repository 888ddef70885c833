package dewwing.control.core

import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
import dewwing.control.core.sharing.SchedulerScope
import dewwing.protocol.Command
import dewwing.protocol.Duration
import dewwing.protocol.EndCause
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

/** A scheduler with workers that carry out commands immediately. Time is virtual, and a write succeeds unless a test rejects it. */
internal class SchedulerHarness(
    teams: List<Team> = listOf(Team("t", 0.0, null, 0.0, null)),
    objectives: List<Objective> = emptyList(),
    types: List<MachineType> = listOf(EIGHT_ACCELERATOR_TYPE),
    /** Carries out rentals and releases; null if requests to the cloud are not answered. */
    private val cloud: HarnessCloud? = null,
    stateLimits: StateLimits = StateLimits(1e6, 1e6, 65_536, 64),
    scope: SchedulerScope = SchedulerScope.single(TERM_REVISION),
) {
    private class Worker(
        val type: String,
        val zone: String,
        val spot: Boolean,
    ) {
        val runningTasks = LinkedHashMap<TaskRef, ReportedTask>()
        var seq = 0L
    }

    /** A cloud that rents out at most [capacity] machines of each zone at a time; zones that are not named have no limit. */
    class HarnessCloud(
        val capacity: Map<String, Int> = emptyMap(),
    )

    private val settings =
        testSettings(Duration(1_000), Duration(10_000), stateLimits).copy(teams = teams, objectives = objectives)
    val scheduler =
        Scheduler(settings, TERM, TERM_REVISION, Instant(0), 0, scope).also {
            it.onMachineTypes(types)
            it.onMachineList(emptyList(), Instant(0))
        }
    private val workers = LinkedHashMap<String, Worker>()
    private var nowMs = 0L
    private var revision = 1_000L
    private var nextMachine = 1

    /** Tasks that were killed while running, with their grace periods in seconds. */
    val killedTasks = LinkedHashMap<TaskRef, Double>()

    /** Whether the state service answers a write with 400. */
    var rejectsWrite: (StateChange) -> Boolean = { false }

    /** Jobs that are recorded as done. */
    val doneJobs = HashSet<JobRef>()

    /** Number of machines requested from the cloud so far. */
    var rentedMachineCount = 0
        private set

    fun addMachine(
        id: String,
        zone: String = "a",
        spot: Boolean = false,
        type: String = EIGHT_ACCELERATOR_TYPE.name,
    ) {
        workers[id] = Worker(type, zone, spot)
    }

    /** The cloud takes the machine [id] back without a notice. */
    fun loseMachine(id: String) {
        workers.remove(id)
    }

    private fun rent(effect: Effect.Rent) {
        val request = effect.request
        rentedMachineCount += request.count
        if (cloud == null) return
        val available = (cloud.capacity[request.zone] ?: Int.MAX_VALUE) - workers.values.count { it.zone == request.zone }
        val count = minOf(request.count, available)
        if (count <= 0) {
            scheduler.onRented(effect.key, null, Instant(nowMs))
            return
        }
        val ids = List(count) { "m-rented-${nextMachine++}" }
        scheduler.onRented(effect.key, ids.map(::MachineId), Instant(nowMs))
        for (id in ids) addMachine(id, request.zone, request.spot, request.type)
    }

    private fun release(effect: Effect.Release) {
        if (cloud == null) return
        for (id in effect.machines) workers.remove(id.value)
        scheduler.onReleased(effect.machines, Instant(nowMs))
    }

    fun submit(spec: JobSpec) {
        scheduler.onJobRecord(spec.ref, JobRecord(JobStage.QUEUED, spec, nowMs), Revision(++revision), Instant(nowMs))
    }

    /** Advances time by [seconds], with a scheduling round and a report from each machine every half second. */
    fun run(seconds: Double) {
        repeat((seconds * 2).toInt()) {
            nowMs += 500
            runRound()
            for (id in workers.keys.toList()) sendReport(id)
        }
    }

    private fun runRound() {
        val effects = scheduler.runRound(Instant(nowMs)) { true }
        for (effect in effects) {
            when (effect) {
                is Effect.Write -> write(effect.change)
                is Effect.Kill -> effect.kills.forEach { kill(effect.machine.value, it) }
                is Effect.Rent -> rent(effect)
                is Effect.Release -> release(effect)
            }
        }
    }

    private fun write(change: StateChange) {
        if (rejectsWrite(change)) return scheduler.onWriteRejected(Instant(nowMs))
        scheduler.onWriteApplied(Revision(++revision), Instant(nowMs))
        for ((key, value) in change.puts) {
            val job = Keys.parseJobKey(key) ?: continue
            if (JobRecord.of(value).stage == JobStage.DONE) doneJobs.add(job)
        }
    }

    /** All running tasks of [job] complete; their workers report it until a command removes them. */
    fun complete(job: JobSpec) {
        for (worker in workers.values) {
            worker.runningTasks.replaceAll { task, reported ->
                if (task.job == job.ref) ReportedTask(task, reported.attempt, TaskStage.ENDED, EndCause.DONE, false) else reported
            }
        }
    }

    private fun kill(
        id: String,
        command: Command.Kill,
    ) {
        if (workers[id]?.runningTasks?.remove(command.task) != null) killedTasks[command.task] = command.graceS
    }

    private fun sendReport(id: String) {
        val worker = workers.getValue(id)
        val position = ReportPosition(1, ++worker.seq)
        val tasks = worker.runningTasks.values.toList()
        val report = Report(MachineId(id), "10.0.0.1:1", worker.type, worker.zone, worker.spot, position, TERM, null, tasks)
        scheduler.onReport(report, Instant(nowMs))
        for (command in scheduler.answerChecked(report, Instant(nowMs))) {
            when (command) {
                is Command.Launch -> {
                    worker.runningTasks[command.task] = ReportedTask(command.task, command.attempt, TaskStage.RUNNING, null, false)
                }

                is Command.Kill -> {
                    kill(id, command)
                }

                is Command.Reap -> {
                    worker.runningTasks.remove(command.task)
                }
            }
        }
    }

    /** Names of the machines that run tasks of [job]. */
    fun machinesOf(job: JobSpec): Set<String> = workers.filterValues { w -> w.runningTasks.keys.any { it.job == job.ref } }.keys

    /** Number of running tasks of [job] in each zone. */
    fun runningTasksByZone(job: JobSpec): Map<String, Int> =
        workers.values
            .groupBy { it.zone }
            .mapValues { (_, inZone) -> inZone.sumOf { w -> w.runningTasks.keys.count { it.job == job.ref } } }
            .filterValues { it > 0 }

    /** Number of machines that run no task. */
    val idleMachineCount: Int get() = workers.values.count { it.runningTasks.isEmpty() }

    fun runningTaskCount(job: JobSpec): Int =
        workers.values.sumOf { w -> w.runningTasks.values.count { it.task.job == job.ref && it.stage != TaskStage.ENDED } }

    companion object {
        private val TERM = Term(5)
        val TERM_REVISION = Revision(50)

        /** Boots in 30 s and fetches images at 1 GB/s. */
        val EIGHT_ACCELERATOR_TYPE =
            MachineType("k", Resources(96.0, 8.0, 576.0), 90.0, 1.0, 29.0, 13.0, 30.0, listOf("a", "b"))

        /** A job whose tasks can save checkpoints, by default with one accelerator per task. A test passes the values that matter to it. */
        fun job(
            number: Int,
            tasks: Int = 1,
            shape: JobShape = JobShape.ARRAY,
            urgency: Urgency = Urgency.LOW,
            accelerators: Int = 1,
        ) = JobSpec(
            ref = JobRef("job-$number"),
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
