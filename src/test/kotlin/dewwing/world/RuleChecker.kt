package dewwing.world

import dewwing.protocol.JobRef
import dewwing.protocol.JobSpec
import dewwing.protocol.JobStage
import dewwing.protocol.MachineId
import dewwing.protocol.TaskRef

/** Detects violations of the protocol's rules from what happens on the machines and what users are told. */
class RuleChecker(
    private val teamCoreLimits: Map<String, Double>,
    private val cancellationLimitMs: Long,
) {
    val violations = ArrayList<String>()
    private val machineByTask = HashMap<TaskRef, MachineId>()
    private val specs = HashMap<JobRef, JobSpec>()
    private val coresInUse = HashMap<String, Double>()
    private val cancelledAt = HashMap<JobRef, Long>()
    private val lastToldStage = HashMap<JobRef, JobStage>()
    private val completedTasks = HashMap<JobRef, MutableSet<Int>>()

    fun onJobAccepted(
        spec: JobSpec,
        now: Long,
    ) {
        specs[spec.ref] = spec
        acceptedAt[spec.ref] = now
    }

    fun onTaskStarted(
        task: TaskRef,
        machine: MachineId,
        type: String,
        zone: String,
        spot: Boolean,
        now: Long,
    ) {
        val spec = specs[task.job]
        if (spec == null) {
            violations.add("invented: $task starts")
            return
        }
        firstStartAt.putIfAbsent(task.job, now)
        machineByTask.put(task, machine)?.let { violations.add("ran_twice: $task on $it and $machine at $now") }
        val teamCores = (coresInUse[spec.team] ?: 0.0) + spec.need.cores
        coresInUse[spec.team] = teamCores
        if (teamCores > (teamCoreLimits[spec.team] ?: 1e9) + 1e-6) violations.add("quota: ${spec.team} uses $teamCores at $now")
        if ((spec.types != null && type !in spec.types) || (spec.zone != null && spec.zone != zone) || (spot && !spec.spot)) {
            violations.add("wrong_place: $task on $type $zone at $now")
        }
        if (spec.oneZone && machineByTask.keys.any { it.job == task.job && machineZones[machineByTask[it]] != zone }) {
            violations.add("wrong_place: $task in $zone while other tasks of the job run in another zone at $now")
        }
        cancelledAt[task.job]?.let { if (now > it + cancellationLimitMs) violations.add("ran_cancelled: $task starts at $now") }
    }

    val machineZones = HashMap<MachineId, String>()

    fun onTaskLeft(
        task: TaskRef,
        machine: MachineId,
    ) {
        if (machineByTask[task] != machine) return
        machineByTask.remove(task)
        specs[task.job]?.let { coresInUse[it.team] = (coresInUse[it.team] ?: 0.0) - it.need.cores }
    }

    private val acceptedAt = HashMap<JobRef, Long>()
    private val firstStartAt = HashMap<JobRef, Long>()
    private val lastAnsweredAt = HashMap<JobRef, Long>()

    /** A user asked about [job]. Once the faults have ended, a job whose status requests go unanswered for 75 s counts as forgotten. */
    fun onStatusRequested(
        job: JobRef,
        answered: Boolean,
        now: Long,
        faultsEndAt: Long,
    ) {
        if (answered || now < faultsEndAt) {
            lastAnsweredAt[job] = now
            return
        }
        val since = maxOf(lastAnsweredAt[job] ?: 0L, faultsEndAt)
        if (now - since >= MAX_UNANSWERED_MS && violations.none { it.startsWith("forgotten: $job") }) {
            violations.add("forgotten: $job unanswered since $since")
        }
    }

    /**
     * Checks the service that users got: at least half of the jobs of each class, of each team and among the largest jobs
     * of each class completed, and the largest jobs started within four minutes. Returns a line for each shortfall.
     * Cancelled jobs do not count.
     */
    fun serviceShortfalls(): List<String> {
        val shortfalls = ArrayList<String>()
        val counted = specs.values.filter { it.ref !in cancelledAt }

        fun requireHalfServed(
            group: String,
            jobs: List<JobSpec>,
        ) {
            val done = jobs.count { (completedTasks[it.ref]?.size ?: 0) == it.tasks }
            if (done * 2 < jobs.size) shortfalls.add("$group: $done of ${jobs.size} served")
        }
        for ((team, jobs) in counted.groupBy { it.team }) requireHalfServed("team $team", jobs)
        for ((jobClass, jobs) in counted.groupBy { it.jobClass }) {
            requireHalfServed("class $jobClass", jobs)
            val largestJobs = jobs.sortedByDescending { it.tasks }.take(maxOf(1, jobs.size / 8))
            requireHalfServed("largest of $jobClass", largestJobs)
            for (job in largestJobs) {
                val waitedMs = (firstStartAt[job.ref] ?: Long.MAX_VALUE) - (acceptedAt[job.ref] ?: 0L)
                if (waitedMs > LARGEST_JOB_START_LIMIT_MS) {
                    shortfalls.add("${job.ref}, of the largest of $jobClass, starts after $waitedMs ms")
                }
            }
        }
        return shortfalls
    }

    fun onTaskCompleted(task: TaskRef) {
        completedTasks.getOrPut(task.job) { HashSet() }.add(task.index)
    }

    /**
     * A worker received a launch command in the answer to a report that it sent at [reportSentAt]. After a cancellation was
     * confirmed, launches are allowed in answers to reports sent before that, and for a short time only.
     */
    fun onLaunchReceived(
        task: TaskRef,
        reportSentAt: Long,
        now: Long,
    ) {
        cancelledAt[task.job]?.let {
            if (reportSentAt > it || now > it + CANCELLATION_NOTICE_MS) {
                violations.add(
                    "started_cancelled: $task launched ${now - it} ms after the cancellation, in answer to a report of $reportSentAt",
                )
            }
        }
    }

    private val capacitySince = HashMap<JobRef, Long>()

    /**
     * [withFreeCapacity]: the job still waits although it could be placed [now]. Once the faults have ended, this must not
     * last for 90 s.
     */
    fun onWaitObserved(
        job: JobRef,
        withFreeCapacity: Boolean,
        now: Long,
    ) {
        if (!withFreeCapacity) {
            capacitySince.remove(job)
            return
        }
        val since = capacitySince.getOrPut(job) { now }
        if (now - since >= MAX_WAIT_WITH_CAPACITY_MS && violations.none { it.startsWith("waits: $job ") }) {
            violations.add("waits: $job with free capacity since $since")
        }
    }

    fun isDone(task: TaskRef): Boolean = task.index in (completedTasks[task.job] ?: emptySet())

    fun isComplete(job: JobRef): Boolean = (completedTasks[job]?.size ?: 0) == specs[job]?.tasks

    fun checkCancelledTasks(now: Long) {
        for (task in machineByTask.keys) {
            cancelledAt[task.job]?.let { if (now > it + cancellationLimitMs) violations.add("ran_cancelled: $task on a machine at $now") }
        }
    }

    fun onCancellationTold(
        job: JobRef,
        now: Long,
    ) {
        cancelledAt.putIfAbsent(job, now)
        onStageTold(job, JobStage.ABORTED)
    }

    fun onStageTold(
        job: JobRef,
        stage: JobStage?,
    ) {
        val spec = specs[job]
        if (stage == null) {
            if (spec != null) violations.add("forgotten: $job")
            return
        }
        if (spec == null) {
            violations.add("invented: $job")
            return
        }
        val previousStage = lastToldStage[job]
        if ((previousStage == JobStage.DONE || previousStage == JobStage.ABORTED) &&
            previousStage != stage
        ) {
            violations.add("went_back: $job $previousStage $stage")
        }
        if (stage == JobStage.DONE && (completedTasks[job]?.size ?: 0) < spec.tasks) violations.add("not_done: $job")
        lastToldStage[job] = stage
    }

    companion object {
        private const val MAX_UNANSWERED_MS = 75_000L
        private const val MAX_WAIT_WITH_CAPACITY_MS = 90_000L

        /** An answer to a report that is delayed by checks arrives within this time. */
        private const val CANCELLATION_NOTICE_MS = 3_000L
        private const val LARGEST_JOB_START_LIMIT_MS = 240_000L
    }
}
