package dewwing.control.core.job

import dewwing.control.core.fleet.Machine
import dewwing.control.core.intent.RecordKeys
import dewwing.control.core.sharing.ShardId
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.JobStage
import dewwing.protocol.ReportPosition
import dewwing.protocol.Revision
import dewwing.protocol.Step
import dewwing.protocol.TaskRef
import dewwing.protocol.TaskStage
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import java.util.BitSet

/**
 * Progress of an attempt. The task may be on its machine from [SENT] on; its resources are taken there from [LOGGING] on.
 */
enum class AttemptPhase {
    /** The log record is being written. */
    LOGGING,

    /** Logged; the launch is sent in the answer to the machine's next report. */
    READY,

    /** The launch was sent to the worker in the answer to a report. */
    SENT,

    /** A report of the worker has listed the task. */
    REPORTED,

    /** Logged by an earlier leader, which may have sent the launch or may still send it. */
    INHERITED,
}

/** One start of one task. As long as it exists, the task may be on [machine]. */
class Attempt(
    val job: Job,
    val task: Int,
    val step: Step,
    val machine: Machine,
    var phase: AttemptPhase,
) {
    val ref = TaskRef(job.ref, task)

    /** Position of the report whose answer carried the launch; only a later report can tell whether the task runs. */
    var launchReport: ReportPosition? = null
    var stage: TaskStage? = null

    /** Grace period of the kill that this attempt is due, or null while it should go on. */
    var killGraceS: Double? = null

    /** How often it was launched again to wait for tasks of its gang that fetch their images. */
    var rejoinCount = 0

    /** When a report first showed it running. */
    var runningSince: Instant? = null

    /** It still holds resources on its machine: it has neither ended nor been withdrawn. */
    val isPlaced: Boolean get() = machine.attempts[ref] === this

    val neverSent: Boolean get() = phase == AttemptPhase.LOGGING || phase == AttemptPhase.READY
}

/** A job's desired state and the known state of its tasks. */
class Job(
    val spec: JobSpec,
    var revision: Revision,
    val submittedAtMs: Long,
    /** Shard that the job was accepted for; null under a single leader. */
    val shard: ShardId? = null,
) {
    val ref: JobRef get() = spec.ref

    /** Builds the keys of the job's log records. */
    val keys = RecordKeys(shard)
    val isGang: Boolean get() = spec.shape == JobShape.GANG

    /** Set once the state service has recorded the job's final stage; never reset. */
    var finalStage: JobStage? = null

    /** The state service has shown that the job was still open at this event. */
    var openAsOf = EventNumber.NONE
        private set

    fun confirmOpen(asOf: EventNumber) {
        openAsOf = maxOf(openAsOf, asOf)
    }

    val done = BitSet(spec.tasks)

    /** Finished tasks that are recorded in the log; a worker may reap only these. */
    val doneLogged = BitSet(spec.tasks)
    val pending = BitSet(spec.tasks).apply { set(0, spec.tasks) }
    val liveAttempts = Int2ObjectOpenHashMap<Attempt>()
    var doneCount = 0
        private set

    /** Since when there have been finished tasks that the log does not record. */
    var doneUnloggedSince: Instant? = null
    var nextStep = 1L
    val logSteps = ArrayList<Step>()

    /** Number of part records of each step whose placement needs more than one. */
    val logParts = HashMap<Step, Int>()

    /** After failures: time before which no task is started. */
    var notBefore: Instant = Instant.DISTANT_PAST
    var consecutiveFailures = 0

    /**
     * Machines that the job failed on most recently; it is not placed there. The number is limited ([MAX_AVOIDED_MACHINES]):
     * a broken job fails on every machine, and giving it a new machine each time would rent without end.
     */
    val avoidedMachines = LinkedHashSet<String>()

    /** Number of times the job failed on a machine that was not in [avoidedMachines]. */
    var failedMachineCount = 0
        private set

    fun recordFailureOn(machine: String) {
        if (!avoidedMachines.add(machine)) return
        failedMachineCount++
        if (avoidedMachines.size > MAX_AVOIDED_MACHINES) avoidedMachines.remove(avoidedMachines.first())
    }

    /**
     * The job has failed on more than [MAX_FAULTY_MACHINES] machines and none of its tasks has ever finished, so the job itself
     * is most likely broken. It is retried, one task at a time, until its user cancels it, but must not harm other jobs.
     */
    val isSuspect: Boolean get() = doneCount == 0 && failedMachineCount > MAX_FAULTY_MACHINES
    var finalAt: Instant? = null
    var waitReason: String? = null

    /** How often each task was preempted. */
    val preemptionCounts = Int2IntOpenHashMap()

    /** When tasks of lower priority were preempted for this job; reset when it is placed. */
    var preemptedForAt: Instant? = null

    /** When tasks that could be preempted for this job were last searched for. */
    var preemptionSearchedAt: Instant = Instant.DISTANT_PAST

    /** When tasks of lower priority were last preempted because the team's guarantee covers this job. */
    var guaranteePreemptedAt: Instant = Instant.DISTANT_PAST

    val isComplete: Boolean get() = doneCount == spec.tasks
    val isOpen: Boolean get() = finalStage == null

    fun takeStep(): Step = Step(nextStep++)

    fun markDone(
        task: Int,
        now: Instant,
    ) {
        if (done[task]) return
        done.set(task)
        doneCount++
        pending.clear(task)
        if (doneUnloggedSince == null) doneUnloggedSince = now
        consecutiveFailures = 0
    }

    fun restoreDone(tasks: BitSet) {
        var task = tasks.nextSetBit(0)
        while (task in 0 until spec.tasks) {
            if (!done[task]) {
                done.set(task)
                doneCount++
                pending.clear(task)
            }
            doneLogged.set(task)
            task = tasks.nextSetBit(task + 1)
        }
    }

    fun attach(attempt: Attempt) {
        liveAttempts.put(attempt.task, attempt)
        pending.clear(attempt.task)
    }

    /** To be called once the attempt is known to have ended or was never sent. */
    fun detach(attempt: Attempt) {
        if (liveAttempts.get(attempt.task) !== attempt) return
        liveAttempts.remove(attempt.task)
        if (!done[attempt.task]) pending.set(attempt.task)
    }

    fun doneUnlogged(): BitSet = (done.clone() as BitSet).apply { andNot(doneLogged) }

    /** Doubles the backoff with each consecutive failure, so that a job that always fails costs little. */
    fun recordFailure(now: Instant) {
        consecutiveFailures++
        val doublings = minOf(consecutiveFailures, MAX_BACKOFF_DOUBLINGS)
        notBefore = now + Duration(BASE_BACKOFF_MS shl doublings)
    }

    fun runningCount(): Int = liveAttempts.values.count { it.stage == TaskStage.RUNNING || it.stage == TaskStage.SAVING }

    companion object {
        private const val MAX_AVOIDED_MACHINES = 3

        /** Number of faulty machines on which a working job may fail; a job that fails on more machines is suspect itself. */
        const val MAX_FAULTY_MACHINES = 3
        private const val BASE_BACKOFF_MS = 500L
        private const val MAX_BACKOFF_DOUBLINGS = 6
    }
}
