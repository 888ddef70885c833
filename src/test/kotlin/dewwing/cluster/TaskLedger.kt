package dewwing.cluster

import dewwing.protocol.JobRef
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.TaskRef

/** What truly runs where, and every rule that was broken: told by the workers, asked by nobody but the test. */
internal class TaskLedger(
    private val limits: Map<String, Double>,
) {
    private val specs = HashMap<JobRef, JobSpec>()
    private val machinesOf = HashMap<TaskRef, MutableMap<String, Long>>()
    private val usedCores = HashMap<String, Double>()
    private val finished = HashSet<TaskRef>()
    private val tokens = HashMap<String, Long>()
    private val gangsComplete = HashSet<Pair<JobRef, Long>>()
    val broken = ArrayList<String>()

    /** Tasks that were stopped by a command or by their lease, as against finished ones. */
    var stopped = 0
        private set
    var started = 0
        private set

    fun accepted(spec: JobSpec) {
        specs[spec.ref] = spec
    }

    fun spec(job: JobRef): JobSpec? = specs[job]

    private val over = HashSet<JobRef>()

    /** From now on a start of [job] breaks a rule. */
    fun mustNotStart(job: JobRef) {
        over.add(job)
    }

    fun starts(
        task: TaskRef,
        attempt: Long,
        machine: String,
    ) {
        val spec = specs.getValue(task.job)
        if (task.job in over) broken.add("$task starts on $machine though its job is cancelled")
        val places = machinesOf.getOrPut(task) { LinkedHashMap() }
        if (places.isNotEmpty()) broken.add("$task starts on $machine while it is on ${places.keys}")
        places[machine] = attempt
        started++
        val used = (usedCores[spec.team] ?: 0.0) + spec.need.cores
        usedCores[spec.team] = used
        val limit = limits[spec.team]
        if (limit != null && used > limit + 1e-6) broken.add("team ${spec.team} uses $used of $limit")
    }

    /** Machines on which tasks of [job] are. */
    fun machinesOf(job: JobRef): Set<String> = machinesOf.filterKeys { it.job == job }.values.flatMapTo(HashSet()) { it.keys }

    val running: Int get() = machinesOf.values.count { it.isNotEmpty() }

    fun leaves(
        task: TaskRef,
        machine: String,
        done: Boolean,
    ) {
        if (machinesOf[task]?.remove(machine) == null) return
        val spec = specs.getValue(task.job)
        usedCores[spec.team] = usedCores.getValue(spec.team) - spec.need.cores
        if (done) {
            finished.add(task)
        } else if (task !in finished) {
            stopped++
        }
    }

    /** One member is done: the whole gang is, whatever becomes of the others' tasks now. */
    fun gangDone(job: JobRef) {
        for (i in 0 until specs.getValue(job).tasks) finished.add(TaskRef(job, i))
    }

    /** The gang ran, and has lost a member before it was done. */
    fun hasLostMember(
        job: JobRef,
        attempt: Long,
    ): Boolean = (job to attempt) in gangsComplete && !isDone(job) && present(job, attempt) < specs.getValue(job).tasks

    private fun present(
        job: JobRef,
        attempt: Long,
    ): Int = (0 until specs.getValue(job).tasks).count { attempt in (machinesOf[TaskRef(job, it)]?.values ?: emptyList()) }

    /** A machine accepts commands under [token]; tokens must not fall, nor two owners share one. */
    fun commanded(
        machine: String,
        token: Long,
    ) {
        val before = tokens.put(machine, token) ?: 0
        if (token < before) broken.add("$machine obeys token $token after $before")
    }

    /** All members of this attempt are on machines. */
    fun isComplete(
        job: JobRef,
        attempt: Long,
    ): Boolean {
        val key = job to attempt
        if (key in gangsComplete) return true
        if (present(job, attempt) < specs.getValue(job).tasks) return false
        gangsComplete.add(key)
        return true
    }

    fun isDone(job: JobRef): Boolean = specs.getValue(job).let { spec -> (0 until spec.tasks).all { TaskRef(job, it) in finished } }

    /** Gangs that are not done, some of whose members are on machines and some are not. */
    fun splitGangs(): List<JobRef> =
        specs.values
            .filter { it.shape == JobShape.GANG && !isDone(it.ref) }
            .filter { spec -> (0 until spec.tasks).count { machinesOf[TaskRef(spec.ref, it)]?.isNotEmpty() == true } in 1 until spec.tasks }
            .map { it.ref }
}
