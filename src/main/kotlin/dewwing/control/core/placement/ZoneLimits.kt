package dewwing.control.core.placement

import dewwing.control.core.job.Job

/** Something that lies in one zone: a machine, or one that is on order. */
interface Zoned {
    val zone: String
}

/** A number of tasks of one job, assigned to [target]. */
data class Allocation<T>(
    val target: T,
    val count: Int,
)

/**
 * How many more tasks of one job each zone may take, given its tasks that may be running.
 *
 * The placement, preemption, reservations and the plan of machines all decide by these limits. If the plan counted on capacity
 * that the placement may not use, it would take the job's demand for met, and the job would wait for ever.
 */
class ZoneLimits(
    job: Job,
) {
    private val isOneZone = job.spec.oneZone
    private val tasksByZone = HashMap<String, Int>()
    private val maxTasksPerZone: Int

    /** The only zone that may take tasks of a job bound to one zone, once it is decided. */
    private var boundZone: String? = null

    init {
        if (isOneZone) {
            boundZone =
                job.liveAttempts.values
                    .firstOrNull()
                    ?.machine
                    ?.zone
        }
        if (job.spec.spread) {
            for (attempt in job.liveAttempts.values) tasksByZone.merge(attempt.machine.zone, 1, Int::plus)
            // The tasks of a machine that is known from log records only count against every zone.
            maxTasksPerZone = (job.spec.tasks + 1) / 2 - (tasksByZone.remove(UNKNOWN_ZONE) ?: 0)
        } else {
            maxTasksPerZone = Int.MAX_VALUE
        }
    }

    /** Whether the job is bound to one zone, and which one is still to be chosen. */
    val mustChooseZone: Boolean get() = isOneZone && boundZone == null

    /** Decides that the job, which must run in one zone, runs in [zone]. */
    fun bindTo(zone: String) {
        boundZone = zone
    }

    /** Number of further tasks that [zone] may take. */
    fun remaining(zone: String): Int =
        if (boundZone != null && boundZone != zone) 0 else maxOf(0, maxTasksPerZone - (tasksByZone[zone] ?: 0))

    fun add(
        zone: String,
        tasks: Int,
    ) {
        if (isOneZone) bindTo(zone)
        tasksByZone.merge(zone, tasks, Int::plus)
    }

    /** Assigns up to [wanted] tasks to [candidates] in their order, within the limits. [slotsOf] is the number that a candidate can hold. */
    fun <T : Zoned> allocate(
        candidates: Iterable<T>,
        wanted: Int,
        slotsOf: (T) -> Int,
    ): List<Allocation<T>> {
        val allocations = ArrayList<Allocation<T>>()
        var missing = wanted
        for (candidate in candidates) {
            if (missing <= 0) break
            val tasks = minOf(missing, slotsOf(candidate), remaining(candidate.zone))
            if (tasks <= 0) continue
            add(candidate.zone, tasks)
            allocations.add(Allocation(candidate, tasks))
            missing -= tasks
        }
        return allocations
    }

    companion object {
        private const val UNKNOWN_ZONE = ""

        /** The sets of [candidates] of which [job] may use one: those of each zone if it must choose a zone, or else all together. */
        fun <T : Zoned> alternatives(
            job: Job,
            candidates: List<T>,
        ): List<List<T>> = if (ZoneLimits(job).mustChooseZone) candidates.groupBy { it.zone }.values.toList() else listOf(candidates)
    }
}
