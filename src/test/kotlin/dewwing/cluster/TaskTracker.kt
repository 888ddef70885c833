package dewwing.cluster

import dewwing.protocol.JobRef
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.TaskRef

/** Records on which machine each task really runs, as the fake workers report it, and every violated invariant. Read only by tests. */
internal class TaskTracker(
    private val teamCoreLimits: Map<String, Double>,
) {
    private val specs = HashMap<JobRef, JobSpec>()
    private val machinesByTask = HashMap<TaskRef, MutableMap<String, Long>>()
    private val usedCores = HashMap<String, Double>()
    private val doneTasks = HashSet<TaskRef>()
    private val termByMachine = HashMap<String, Long>()
    private val completeGangs = HashSet<Pair<JobRef, Long>>()
    val violations = ArrayList<String>()

    /** Tasks that were stopped by a command or by the end of a worker lease before they were done. */
    var stoppedTaskCount = 0
        private set
    var startedTaskCount = 0
        private set

    fun onSubmitted(spec: JobSpec) {
        specs[spec.ref] = spec
    }

    fun spec(job: JobRef): JobSpec? = specs[job]

    private val cancelledJobs = HashSet<JobRef>()

    /** Makes every later start of a task of [job] a violation. */
    fun forbidStarts(job: JobRef) {
        cancelledJobs.add(job)
    }

    private var reportsSent = 0L

    /** How many reports had been sent when a user was told of the cancellation, by job. */
    private val reportsSentBeforeCancellation = HashMap<JobRef, Long>()

    /** A worker sends a report; returns the number of the report. */
    fun onReportSent(): Long = ++reportsSent

    /** A user has been told that [job] is cancelled: starting its tasks in answer to a later report is a violation. */
    fun onCancellationConfirmed(job: JobRef) {
        reportsSentBeforeCancellation.putIfAbsent(job, reportsSent)
    }

    /** [report] is the number of the report whose answer started the task. */
    fun onTaskStarted(
        task: TaskRef,
        attempt: Long,
        machine: String,
        report: Long,
    ) {
        val spec = specs.getValue(task.job)
        if (task.job in cancelledJobs) violations.add("$task started on $machine although its job is cancelled")
        val reportsBeforeCancellation = reportsSentBeforeCancellation[task.job]
        if (reportsBeforeCancellation != null && report > reportsBeforeCancellation) {
            violations.add("$task started on $machine in answer to a report sent after the cancellation was confirmed")
        }
        val machines = machinesByTask.getOrPut(task) { LinkedHashMap() }
        if (machines.isNotEmpty()) violations.add("$task started on $machine while it runs on ${machines.keys}")
        machines[machine] = attempt
        startedTaskCount++
        val used = (usedCores[spec.team] ?: 0.0) + spec.need.cores
        usedCores[spec.team] = used
        val limit = teamCoreLimits[spec.team]
        if (limit != null && used > limit + 1e-6) violations.add("team ${spec.team} uses $used cores, more than its limit of $limit")
    }

    /** Machines on which tasks of [job] run or wait for their gang. */
    fun machinesOf(job: JobRef): Set<String> = machinesByTask.filterKeys { it.job == job }.values.flatMapTo(HashSet()) { it.keys }

    val runningTaskCount: Int get() = machinesByTask.values.count { it.isNotEmpty() }

    fun onTaskEnded(
        task: TaskRef,
        machine: String,
        done: Boolean,
    ) {
        if (machinesByTask[task]?.remove(machine) == null) return
        val spec = specs.getValue(task.job)
        usedCores[spec.team] = usedCores.getValue(spec.team) - spec.need.cores
        if (done) {
            doneTasks.add(task)
        } else if (task !in doneTasks) {
            stoppedTaskCount++
        }
    }

    /** Marks all tasks of a gang as done: a gang is done as soon as one member is, however the other members end. */
    fun onGangDone(job: JobRef) {
        for (i in 0 until specs.getValue(job).tasks) doneTasks.add(TaskRef(job, i))
    }

    /** Whether the gang has run in full and then lost a member before it was done. */
    fun hasLostMember(
        job: JobRef,
        attempt: Long,
    ): Boolean = (job to attempt) in completeGangs && !isDone(job) && presentTaskCount(job, attempt) < specs.getValue(job).tasks

    private fun presentTaskCount(
        job: JobRef,
        attempt: Long,
    ): Int = (0 until specs.getValue(job).tasks).count { attempt in (machinesByTask[TaskRef(job, it)]?.values ?: emptyList()) }

    /** Records that [machine] accepted commands under [term]. No two owners share a term, and a machine must never accept a lower one. */
    fun onCommands(
        machine: String,
        term: Long,
    ) {
        val previousTerm = termByMachine.put(machine, term) ?: 0
        if (term < previousTerm) violations.add("$machine accepted commands of term $term after term $previousTerm")
    }

    /** Whether all members of this attempt are, or have been, on machines at the same time. */
    fun isGangComplete(
        job: JobRef,
        attempt: Long,
    ): Boolean {
        val key = job to attempt
        if (key in completeGangs) return true
        if (presentTaskCount(job, attempt) < specs.getValue(job).tasks) return false
        completeGangs.add(key)
        return true
    }

    fun isDone(job: JobRef): Boolean = specs.getValue(job).let { spec -> (0 until spec.tasks).all { TaskRef(job, it) in doneTasks } }

    /** Gangs that are not done and have some members on machines but not all. */
    fun incompleteGangs(): List<JobRef> =
        specs.values
            .filter { it.shape == JobShape.GANG && !isDone(it.ref) }
            .filter { spec ->
                (0 until spec.tasks).count { machinesByTask[TaskRef(spec.ref, it)]?.isNotEmpty() == true } in
                    1 until spec.tasks
            }.map { it.ref }
}
