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

/** How far a start has come; it may be on its machine from [SENT] on, and counts as being there from the first. */
enum class AttemptPhase {
    /** Its log record is being written. */
    LOGGING,

    /** Logged, waits for the machine's next report. */
    READY,

    /** Handed to the worker in the answer to a report. */
    SENT,

    /** Listed by the worker. */
    SEEN,

    /** Logged by an earlier leader; may have been sent by it, or may yet be. */
    INHERITED,
}

/** One start of one task. While it exists the task may be on [machine]. */
class Attempt(
    val job: Job,
    val task: Int,
    val number: Step,
    val machine: Machine,
    var phase: AttemptPhase,
) {
    val ref = TaskRef(job.ref, task)

    /** The report whose answer carried the launch: only a later report says anything about it. */
    var sentIn: ReportPosition? = null
    var stage: TaskStage? = null

    /** Grace of the kill this attempt is to get, null while it is wanted. */
    var killGraceS: Double? = null

    /** When it was first seen running. */
    var runningSince: Instant? = null

    /** It holds its place on the machine: neither proven gone nor withdrawn. */
    val isPlaced: Boolean get() = machine.attempts[ref] === this

    val neverSent: Boolean get() = phase == AttemptPhase.LOGGING || phase == AttemptPhase.READY
}

/** A job's wanted state and what is known of its tasks. */
class Job(
    val spec: JobSpec,
    var revision: Revision,
    val submittedAtMs: Long,
    /** The shard that it was accepted for; null under a single leader. */
    val shard: ShardId? = null,
) {
    val ref: JobRef get() = spec.ref

    /** Where its log records are. */
    val keys = RecordKeys(shard)
    val isGang: Boolean get() = spec.shape == JobShape.GANG

    /** Set once the state service says so; never unset. */
    var final: JobStage? = null

    val done = BitSet(spec.tasks)

    /** Finished tasks whose record is written: only these may be reaped. */
    val doneLogged = BitSet(spec.tasks)
    val pending = BitSet(spec.tasks).apply { set(0, spec.tasks) }
    val live = Int2ObjectOpenHashMap<Attempt>()
    var doneCount = 0
        private set

    /** Since when there are finished tasks without a record. */
    var unloggedSince: Instant? = null
    var nextStep = 1L
    val logSteps = ArrayList<Step>()

    /** Records of the steps whose placement takes more than one. */
    val logParts = HashMap<Step, Int>()

    /** Starts are put off until then, after failures. */
    var notBefore: Instant = Instant.DISTANT_PAST
    var failures = 0

    /**
     * The machines it failed on last, which it avoids. Only the last few: a job with a mistake in it fails everywhere,
     * and a fleet that found it a new machine each time would rent without end.
     */
    val failedOn = LinkedHashSet<String>()

    /** Machines it has failed on so far. */
    var machinesFailed = 0
        private set

    fun failedOn(machine: String) {
        if (!failedOn.add(machine)) return
        machinesFailed++
        if (failedOn.size > FAILED_KEPT) failedOn.remove(failedOn.first())
    }

    /**
     * It has failed on machine after machine and nothing of it has ever finished, so it was most likely submitted with a
     * mistake. It stays and is tried, one task at a time, until its user ends it, but nobody else is to pay for that.
     */
    val isSuspect: Boolean get() = doneCount == 0 && machinesFailed > SOUND_JOB_MACHINES
    var finalAt: Instant? = null
    var waitReason: String? = null

    /** How often each task was stopped to make room for others. */
    val madeWay = Int2IntOpenHashMap()

    /** When tasks of lower priority were stopped for this job, until it is placed. */
    var madeRoomAt: Instant? = null

    /** When tasks that may be stopped for this job were last looked for. */
    var roomSoughtAt: Instant = Instant.DISTANT_PAST

    /** When tasks of lower priority were last stopped since the team's guarantee covers this job. */
    var guaranteedRoomAt: Instant = Instant.DISTANT_PAST

    val isComplete: Boolean get() = doneCount == spec.tasks
    val isOpen: Boolean get() = final == null

    fun takeStep(): Step = Step(nextStep++)

    fun markDone(
        task: Int,
        now: Instant,
    ) {
        if (done[task]) return
        done.set(task)
        doneCount++
        pending.clear(task)
        if (unloggedSince == null) unloggedSince = now
        failures = 0
    }

    fun restoreDone(tasks: BitSet) {
        var i = tasks.nextSetBit(0)
        while (i in 0 until spec.tasks) {
            if (!done[i]) {
                done.set(i)
                doneCount++
                pending.clear(i)
            }
            doneLogged.set(i)
            i = tasks.nextSetBit(i + 1)
        }
    }

    fun attach(attempt: Attempt) {
        live.put(attempt.task, attempt)
        pending.clear(attempt.task)
    }

    /** The attempt is proven gone, or was never sent. */
    fun detach(attempt: Attempt) {
        if (live.get(attempt.task) !== attempt) return
        live.remove(attempt.task)
        if (!done[attempt.task]) pending.set(attempt.task)
    }

    fun unlogged(): BitSet = (done.clone() as BitSet).apply { andNot(doneLogged) }

    /** Backs off further with every failure in a row, so that a job that always fails costs little. */
    fun failed(now: Instant) {
        failures++
        val shift = minOf(failures, MAX_BACKOFF_SHIFT)
        notBefore = now + Duration(FIRST_BACKOFF_MS shl shift)
    }

    fun runningCount(): Int = live.values.count { it.stage == TaskStage.RUNNING || it.stage == TaskStage.SAVING }

    companion object {
        private const val FAILED_KEPT = 3

        /** A sound job may meet so many faulty machines. */
        const val SOUND_JOB_MACHINES = 3
        private const val FIRST_BACKOFF_MS = 500L
        private const val MAX_BACKOFF_SHIFT = 6
    }
}
