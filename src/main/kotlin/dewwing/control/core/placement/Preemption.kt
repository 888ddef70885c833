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

/** A machine with the tasks to be stopped there, the places that gives, and the work it costs. */
class Room(
    val machine: Machine,
    val victims: List<Attempt>,
    val slots: Int,
    val costS: Double,
)

/**
 * Chooses which tasks of lower priority to stop so that a job which cannot wait for a machine to boot starts now:
 * where the least work is lost and the image is at hand.
 */
class Preemption(
    private val quota: Quota,
    private val fetchS: (JobSpec, MachineType) -> Double,
    private val canMeetDeadline: (Job, Instant) -> Boolean,
) {
    /** Rooms that together hold the job, or none; [allowed] are the machines it may use. */
    fun plan(
        job: Job,
        allowed: List<Machine>,
        now: Instant,
    ): List<Room> {
        val spec = job.spec
        val wanted = if (spec.shape == JobShape.GANG) spec.tasks else minOf(spec.tasks, quota.taskHeadroom(spec))
        if (wanted <= 0 || quota.taskHeadroom(spec) < wanted) return emptyList()
        val rooms =
            allowed.filter { it.reservedFor == null }.mapNotNull {
                roomOn(it, spec, now, {
                    mayStop(it, spec.urgency) ||
                        mayStopGang(it, job, now)
                })
            }
        val zones = if (spec.oneZone) rooms.groupBy { it.machine.zone }.values else listOf(rooms)
        return zones
            .mapNotNull { zone ->
                val chosen = ArrayList<Room>()
                var slots = 0
                for (room in zone.sortedBy { it.costS / it.slots }) {
                    if (slots >= wanted) break
                    chosen.add(room)
                    slots += room.slots
                }
                chosen.takeIf { slots >= wanted }
            }.minByOrNull { rooms -> rooms.sumOf { it.costS } } ?: emptyList()
    }

    /**
     * Rooms for up to [wanted] tasks of an array whose team's guarantee covers them, the cheapest first. Only work of
     * lower priority that loses next to nothing makes way, and only where the image is: a start that has to fetch it
     * is late anyway.
     */
    fun planGuaranteed(
        spec: JobSpec,
        wanted: Int,
        allowed: List<Machine>,
        now: Instant,
    ): List<Room> {
        val rooms =
            allowed
                .filter { it.reservedFor == null && spec.image in it.images }
                .mapNotNull { roomOn(it, spec, now, { mayStop(it, spec.urgency) && losesLittle(it) }) }
                .filter { it.victims.isNotEmpty() }
        val chosen = ArrayList<Room>()
        var slots = 0
        for (room in rooms.sortedBy { it.costS / it.slots }) {
            if (slots >= wanted) break
            chosen.add(room)
            slots += room.slots
        }
        return chosen
    }

    /** Whether [a] may make way for some work of [urgency], now or later. */
    fun mightStop(
        a: Attempt,
        urgency: Urgency,
    ): Boolean = a.job.spec.urgency > urgency && a.killGraceS == null && a.phase != AttemptPhase.LOGGING

    /** Whether [a] may make way for work of [urgency]. */
    fun mayStop(
        a: Attempt,
        urgency: Urgency,
    ): Boolean = mightStop(a, urgency) && !a.job.isGang

    /**
     * Whether the whole gang of [a] may make way for the gang [job]. Only one that can save, and only once its start
     * counts: what is stopped sooner was not worth starting. Within a team that would only move the wait from one job to
     * another, since the team's limit is often what both need.
     */
    private fun mayStopGang(
        a: Attempt,
        job: Job,
        now: Instant,
    ): Boolean {
        val victim = a.job
        val started = a.runningSince ?: return false
        if (victim.spec.team == job.spec.team) return false
        return job.isGang && victim.isGang && mightStop(a, job.spec.urgency) && victim.spec.checkpointS > 0 &&
            now - started >= SETTLED_START
    }

    /** The cheapest tasks of lower priority to stop on [m] so that at least one task of [spec] fits. */
    private fun roomOn(
        m: Machine,
        spec: JobSpec,
        now: Instant,
        mayStop: (Attempt) -> Boolean,
    ): Room? {
        val type = m.type ?: return null
        val victims = ArrayList<Attempt>()
        var free = m.free
        var cost = if (spec.image in m.images) 0.0 else fetchS(spec, type)
        val candidates =
            m.attempts.values
                .filter(mayStop)
                .sortedBy { harmS(it, now) }
        for (a in candidates) {
            if (free.canFit(spec.need)) break
            victims.add(a)
            free += a.job.spec.need
            cost += harmS(a, now)
        }
        val slots = free.slots(spec.need)
        return if (slots == 0) null else Room(m, victims, slots, cost)
    }

    /**
     * What stopping [a] would do to its job. A task that has made way before counts as dearer: having just begun again
     * it loses the least, and would be stopped time after time while others of its kind run through. One stopped task
     * makes its whole job late, so tasks of jobs that are late already come first.
     */
    private fun harmS(
        a: Attempt,
        now: Instant,
    ): Double {
        val deadlineS = if (canMeetDeadline(a.job, now)) DEADLINE_AT_RISK_S else 0.0
        val harmS = lostS(a, now) + a.job.preemptionCounts.get(a.task) * MADE_WAY_S + deadlineS
        return if (a.job.isGang) harmS * a.job.liveAttempts.size + GANG_RESTART_S else harmS
    }

    private fun losesLittle(a: Attempt): Boolean = a.job.spec.checkpointS > 0 && a.job.spec.saveS <= SMALL_LOSS_S

    /** Work that stopping [a] would waste. */
    private fun lostS(
        a: Attempt,
        now: Instant,
    ): Double {
        val spec = a.job.spec
        val ran = a.runningSince?.let { (now - it).seconds } ?: 0.0
        return if (spec.checkpointS > 0) minOf(ran, spec.saveS + 1.0) else ran
    }

    companion object {
        private const val MADE_WAY_S = 120.0
        private const val SMALL_LOSS_S = 5.0
        private const val DEADLINE_AT_RISK_S = 30.0

        /** A gang that is stopped has to find room for all of it again. */
        private const val GANG_RESTART_S = 60.0

        /** A start counts if no command stops the task within 30 s. */
        private val SETTLED_START = Duration(35_000)
    }
}
