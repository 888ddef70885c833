package dewwing.world

import dewwing.protocol.JobRef
import dewwing.protocol.JobSpec
import dewwing.protocol.JobStage
import dewwing.protocol.MachineId
import dewwing.protocol.TaskRef

/** Tells broken rules of the protocol from what really happens on machines and is said to users. */
class Rules(
    private val teamCaps: Map<String, Double>,
    private val cancelMs: Long,
) {
    val broken = ArrayList<String>()
    private val onMachine = HashMap<TaskRef, MachineId>()
    private val specs = HashMap<JobRef, JobSpec>()
    private val use = HashMap<String, Double>()
    private val cancelledAt = HashMap<JobRef, Long>()
    private val told = HashMap<JobRef, JobStage>()
    private val completed = HashMap<JobRef, MutableSet<Int>>()

    fun accepted(
        spec: JobSpec,
        now: Long,
    ) {
        specs[spec.ref] = spec
        acceptedAt[spec.ref] = now
    }

    fun starts(
        task: TaskRef,
        machine: MachineId,
        type: String,
        zone: String,
        spot: Boolean,
        now: Long,
    ) {
        val spec = specs[task.job]
        if (spec == null) {
            broken.add("invented: $task starts")
            return
        }
        begunAt.putIfAbsent(task.job, now)
        onMachine.put(task, machine)?.let { broken.add("ran_twice: $task on $it and $machine at $now") }
        val sum = (use[spec.team] ?: 0.0) + spec.need.cores
        use[spec.team] = sum
        if (sum > (teamCaps[spec.team] ?: 1e9) + 1e-6) broken.add("quota: ${spec.team} uses $sum at $now")
        if ((spec.types != null && type !in spec.types) || (spec.zone != null && spec.zone != zone) || (spot && !spec.spot)) {
            broken.add("wrong_place: $task on $type $zone at $now")
        }
        if (spec.oneZone && onMachine.keys.any { it.job == task.job && zones[onMachine[it]] != zone }) {
            broken.add("wrong_place: $task in $zone away from the others at $now")
        }
        cancelledAt[task.job]?.let { if (now > it + cancelMs) broken.add("ran_cancelled: $task starts at $now") }
    }

    val zones = HashMap<MachineId, String>()

    fun leaves(
        task: TaskRef,
        machine: MachineId,
    ) {
        if (onMachine[task] != machine) return
        onMachine.remove(task)
        specs[task.job]?.let { use[it.team] = (use[it.team] ?: 0.0) - it.need.cores }
    }

    private val acceptedAt = HashMap<JobRef, Long>()
    private val begunAt = HashMap<JobRef, Long>()
    private val answeredAt = HashMap<JobRef, Long>()

    /** A user asked about [job]. Once troubles are over, 75 s without any answer mean that it is forgotten. */
    fun asked(
        job: JobRef,
        answered: Boolean,
        now: Long,
        troublesOver: Long,
    ) {
        if (answered || now < troublesOver) {
            answeredAt[job] = now
            return
        }
        val since = maxOf(answeredAt[job] ?: 0L, troublesOver)
        if (now - since >= FORGOTTEN_MS &&
            broken.none { it.startsWith("forgotten: $job") }
        ) {
            broken.add("forgotten: $job unanswered since $since")
        }
    }

    /**
     * The day as its users see it: half of each class, of each team and of each class's largest jobs is served, and
     * the largest begin within four minutes. Cancelled jobs do not count.
     */
    fun served(): List<String> {
        val out = ArrayList<String>()
        val counted = specs.values.filter { it.ref !in cancelledAt }

        fun half(
            what: String,
            jobs: List<JobSpec>,
        ) {
            val done = jobs.count { (completed[it.ref]?.size ?: 0) == it.tasks }
            if (done * 2 < jobs.size) out.add("$what: $done of ${jobs.size} served")
        }
        for ((team, jobs) in counted.groupBy { it.team }) half("team $team", jobs)
        for ((jobClass, jobs) in counted.groupBy { it.jobClass }) {
            half("class $jobClass", jobs)
            val largest = jobs.sortedByDescending { it.tasks }.take(maxOf(1, jobs.size / 8))
            half("largest of $jobClass", largest)
            for (j in largest) {
                val waited = (begunAt[j.ref] ?: Long.MAX_VALUE) - (acceptedAt[j.ref] ?: 0L)
                if (waited > LARGEST_BEGIN_MS) out.add("${j.ref}, of the largest of $jobClass, begins after $waited ms")
            }
        }
        return out
    }

    fun completes(task: TaskRef) {
        completed.getOrPut(task.job) { HashSet() }.add(task.index)
    }

    /** The start command was handed to a worker; the time for a watch or a heartbeat to arrive is left. */
    fun launched(
        task: TaskRef,
        now: Long,
    ) {
        cancelledAt[task.job]?.let { if (now > it + TOLD_MS) broken.add("started_cancelled: $task handed out ${now - it} ms after") }
    }

    private val roomSince = HashMap<JobRef, Long>()

    /** Whether a job that still waits could be placed [now]; once troubles are over it must not for 90 s. */
    fun waits(
        job: JobRef,
        withRoom: Boolean,
        now: Long,
    ) {
        if (!withRoom) {
            roomSince.remove(job)
            return
        }
        val since = roomSince.getOrPut(job) { now }
        if (now - since >= WAITED_MS && broken.none { it.startsWith("waits: $job ") }) broken.add("waits: $job with room since $since")
    }

    fun use(team: String): Double = use[team] ?: 0.0

    fun done(task: TaskRef): Boolean = task.index in (completed[task.job] ?: emptySet())

    fun complete(job: JobRef): Boolean = (completed[job]?.size ?: 0) == specs[job]?.tasks

    fun check(now: Long) {
        for (task in onMachine.keys) {
            cancelledAt[task.job]?.let { if (now > it + cancelMs) broken.add("ran_cancelled: $task on a machine at $now") }
        }
    }

    fun cancelTold(
        job: JobRef,
        now: Long,
    ) {
        cancelledAt.putIfAbsent(job, now)
        tells(job, JobStage.ABORTED)
    }

    fun tells(
        job: JobRef,
        stage: JobStage?,
    ) {
        val spec = specs[job]
        if (stage == null) {
            if (spec != null) broken.add("forgotten: $job")
            return
        }
        if (spec == null) {
            broken.add("invented: $job")
            return
        }
        val before = told[job]
        if ((before == JobStage.DONE || before == JobStage.ABORTED) && before != stage) broken.add("went_back: $job $before $stage")
        if (stage == JobStage.DONE && (completed[job]?.size ?: 0) < spec.tasks) broken.add("not_done: $job")
        told[job] = stage
    }

    companion object {
        private const val FORGOTTEN_MS = 75_000L
        private const val WAITED_MS = 90_000L

        /** Heartbeats come every half second, a watch that hangs is noticed after six. */
        private const val TOLD_MS = 3_000L
        private const val LARGEST_BEGIN_MS = 240_000L
    }
}
