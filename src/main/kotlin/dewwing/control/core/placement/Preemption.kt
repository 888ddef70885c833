package dewwing.control.core.placement

import dewwing.control.core.fleet.Machine
import dewwing.control.core.job.Attempt
import dewwing.control.core.job.AttemptPhase
import dewwing.control.core.job.Job
import dewwing.control.core.quota.Quota
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.MachineType
import dewwing.protocol.Urgency

/** A machine, the tasks to stop on it, the slots available for the preempting job afterwards, and the cost of doing so. */
class PreemptionTarget(
    val machine: Machine,
    val victims: List<Attempt>,
    val slots: Int,
    val costS: Double,
) : Zoned {
    override val zone: String get() = machine.zone
}

/**
 * Chooses which tasks of lower priority to stop so that a job that cannot wait for a machine to boot starts now.
 * Prefers machines where the least work is lost and the image is already present.
 */
class Preemption(
    private val quota: Quota,
    private val fetchS: (JobSpec, MachineType) -> Double,
    private val canMeetDeadline: (Job, Instant) -> Boolean,
) {
    /**
     * The cheapest targets that together hold [job], or an empty list if there is no such set.
     *
     * @param allowed the machines that the job may use
     */
    fun plan(
        job: Job,
        allowed: List<Machine>,
        now: Instant,
    ): List<PreemptionTarget> {
        val spec = job.spec
        val wanted = if (spec.shape == JobShape.GANG) spec.tasks else minOf(spec.tasks, quota.taskHeadroom(spec))
        if (wanted <= 0 || quota.taskHeadroom(spec) < wanted) return emptyList()
        val targets =
            allowed.filter { it.reservedFor == null }.mapNotNull {
                targetOn(it, spec, now, {
                    isSinglyPreemptible(it, spec.urgency) ||
                        isGangPreemptible(it, job, now)
                })
            }
        return ZoneLimits
            .alternatives(job, targets)
            .mapNotNull { alternative -> cheapestFor(job, wanted, alternative) }
            .minByOrNull { chosen -> chosen.sumOf { it.costS } } ?: emptyList()
    }

    /** The cheapest of [targets] that hold [wanted] tasks of [job] within its zone limits; null if they cannot. */
    private fun cheapestFor(
        job: Job,
        wanted: Int,
        targets: List<PreemptionTarget>,
    ): List<PreemptionTarget>? {
        val allocations = ZoneLimits(job).allocate(targets.sortedBy { it.costS / it.slots }, wanted) { it.slots }
        return allocations.map { it.target }.takeIf { allocations.sumOf { allocation -> allocation.count } >= wanted }
    }

    /**
     * The cheapest targets for up to [wanted] tasks of an array that its team's guarantee covers. Stops only tasks of
     * lower priority that lose almost no work, and only on machines that have the image: a start that has to fetch the
     * image is late anyway.
     */
    fun planForGuarantee(
        spec: JobSpec,
        wanted: Int,
        allowed: List<Machine>,
        now: Instant,
    ): List<PreemptionTarget> {
        val targets =
            allowed
                .filter { it.reservedFor == null && spec.image in it.images }
                .mapNotNull { targetOn(it, spec, now, { isSinglyPreemptible(it, spec.urgency) && losesLittleWork(it) }) }
                .filter { it.victims.isNotEmpty() }
        val chosen = ArrayList<PreemptionTarget>()
        var slots = 0
        for (target in targets.sortedBy { it.costS / it.slots }) {
            if (slots >= wanted) break
            chosen.add(target)
            slots += target.slots
        }
        return chosen
    }

    /** Whether [attempt] may be preempted for work of [urgency], alone or with its whole gang, now or later. */
    fun isPreemptible(
        attempt: Attempt,
        urgency: Urgency,
    ): Boolean = attempt.job.spec.urgency > urgency && attempt.killGraceS == null && attempt.phase != AttemptPhase.LOGGING

    /** Whether [attempt] may be preempted for work of [urgency] without stopping other tasks of its job. */
    fun isSinglyPreemptible(
        attempt: Attempt,
        urgency: Urgency,
    ): Boolean = isPreemptible(attempt, urgency) && !attempt.job.isGang

    /**
     * Whether the whole gang of [attempt] may be preempted for the gang [job]. The gang must be able to write checkpoints
     * and must have run for [MIN_GANG_RUN], otherwise its start was wasted. Gangs of the same team do not preempt each
     * other: often both wait for the team's limit, so that would only move the wait from one job to the other.
     */
    private fun isGangPreemptible(
        attempt: Attempt,
        job: Job,
        now: Instant,
    ): Boolean {
        val victim = attempt.job
        val started = attempt.runningSince ?: return false
        if (victim.spec.team == job.spec.team) return false
        return job.isGang && victim.isGang && isPreemptible(attempt, job.spec.urgency) && victim.spec.checkpointS > 0 &&
            now - started >= MIN_GANG_RUN
    }

    /** The cheapest tasks accepted by [mayStop] to stop on [machine] so that at least one task of [spec] fits. */
    private fun targetOn(
        machine: Machine,
        spec: JobSpec,
        now: Instant,
        mayStop: (Attempt) -> Boolean,
    ): PreemptionTarget? {
        val type = machine.type ?: return null
        val victims = ArrayList<Attempt>()
        var free = machine.free
        var costS = if (spec.image in machine.images) 0.0 else fetchS(spec, type)
        val candidates =
            machine.attempts.values
                .filter(mayStop)
                .sortedBy { stopCostS(it, now) }
        for (attempt in candidates) {
            if (free.canFit(spec.need)) break
            victims.add(attempt)
            free += attempt.job.spec.need
            costS += stopCostS(attempt, now)
        }
        val slots = free.slots(spec.need)
        return if (slots == 0) null else PreemptionTarget(machine, victims, slots, costS)
    }

    /**
     * Cost to its job of stopping [attempt]: lost work plus penalties. Every earlier preemption adds a penalty, because a
     * restarted task has little work to lose and would otherwise be stopped again and again while similar tasks run to
     * their end. One stopped task makes its whole job late, so tasks of jobs that still meet their deadline cost more than
     * those of jobs that are late anyway.
     */
    private fun stopCostS(
        attempt: Attempt,
        now: Instant,
    ): Double {
        val job = attempt.job
        val deadlinePenaltyS = if (canMeetDeadline(job, now)) DEADLINE_PENALTY_S else 0.0
        val taskCostS = lostWorkS(attempt, now) + job.preemptionCounts.get(attempt.task) * PRIOR_PREEMPTION_PENALTY_S + deadlinePenaltyS
        return if (job.isGang) taskCostS * job.liveAttempts.size + GANG_RESTART_PENALTY_S else taskCostS
    }

    private fun losesLittleWork(attempt: Attempt): Boolean = attempt.job.spec.checkpointS > 0 && attempt.job.spec.saveS <= SMALL_LOSS_S

    /** Run time lost when [attempt] is stopped; with checkpoints at most about the time that it takes to save one. */
    private fun lostWorkS(
        attempt: Attempt,
        now: Instant,
    ): Double {
        val spec = attempt.job.spec
        val ranS = attempt.runningSince?.let { (now - it).seconds } ?: 0.0
        return if (spec.checkpointS > 0) minOf(ranS, spec.saveS + 1.0) else ranS
    }

    companion object {
        private const val PRIOR_PREEMPTION_PENALTY_S = 120.0
        private const val SMALL_LOSS_S = 5.0
        private const val DEADLINE_PENALTY_S = 30.0

        /** A stopped gang has to find free capacity for all its tasks at once before it can start again. */
        private const val GANG_RESTART_PENALTY_S = 60.0

        /** A start counts as effective only if the task is not stopped within 30 s of it. */
        private val MIN_GANG_RUN = Duration(35_000)
    }
}
