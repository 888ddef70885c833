package dewwing.control.core.placement

import dewwing.control.core.fleet.Machine
import dewwing.control.core.job.Job
import dewwing.protocol.JobSpec
import dewwing.protocol.Resources

/** The number of tasks of a job to start on a machine. */
typealias Placement = Allocation<Machine>

/** Criteria that take precedence over best fit when machines are chosen for a job. */
data class PlacementPreference(
    /** Prefer spot machines for jobs that may use them, because other jobs can run on on-demand machines only. */
    val avoidOnDemand: Boolean = false,
    /** Machines that would take longer than this to fetch the image rank below those that have it. */
    val maxFetchS: Double = Double.MAX_VALUE,
)

/** Places the tasks of a job by best fit on machines that it may use. */
object Placer {
    /** Utilization of the most used resource of a machine once [extra] is added to [used]. */
    fun utilization(
        size: Resources,
        used: Resources,
        extra: Resources,
    ): Double {
        var highest = 0.0
        if (size.cores > 0) highest = maxOf(highest, (used.cores + extra.cores) / size.cores)
        if (size.accelerators > 0) highest = maxOf(highest, (used.accelerators + extra.accelerators) / size.accelerators)
        if (size.memoryGb > 0) highest = maxOf(highest, (used.memoryGb + extra.memoryGb) / size.memoryGb)
        return highest
    }

    /**
     * Places up to [limit] tasks of [job] on [machines] by best fit; for a gang either all [limit] tasks or none. Tasks
     * that may still be running count towards the zone constraints.
     */
    fun place(
        job: Job,
        machines: List<Machine>,
        limit: Int,
        preference: PlacementPreference = PlacementPreference(),
    ): List<Placement> {
        if (limit <= 0) return emptyList()
        return ZoneLimits
            .alternatives(job, machines)
            .map { fill(job, it, limit, preference) }
            .maxByOrNull { placements -> placements.sumOf { it.count } } ?: emptyList()
    }

    private fun fill(
        job: Job,
        machines: List<Machine>,
        limit: Int,
        preference: PlacementPreference,
    ): List<Placement> {
        // Placing tasks on one machine does not change the rank of the others, so the machines are sorted only once.
        val ranked = ranked(job.spec, machines, preference)
        val placements = ZoneLimits(job).allocate(ranked, limit) { it.free.slots(job.spec.need) }
        return if (job.isGang && placements.sumOf { it.count } < limit) emptyList() else placements
    }

    private class Candidate(
        val machine: Machine,
        /** An on-demand machine that should be left to jobs that cannot use spot machines. */
        val isAvoided: Boolean,
        /** It has the image, or fetches it fast enough. */
        val startsSoon: Boolean,
        val utilizationPercent: Long,
        val hasImage: Boolean,
    )

    /**
     * The machines that can hold a task, best fit first. If fetching the image would take a large part of the run time or
     * delay the start too long, machines that already have it rank first: a slot is paid for while it only fetches.
     */
    private fun ranked(
        spec: JobSpec,
        machines: List<Machine>,
        preference: PlacementPreference,
    ): List<Machine> {
        val candidates = ArrayList<Candidate>()
        for (machine in machines) {
            val type = machine.type ?: continue
            if (!machine.free.canFit(spec.need)) continue
            val hasImage = spec.image in machine.images
            val maxFetchS = minOf(preference.maxFetchS, spec.estimateS * MAX_FETCH_SHARE)
            val startsSoon = hasImage || spec.imageGb < type.fetchGbPerS * maxFetchS
            val isAvoided = preference.avoidOnDemand && spec.spot && !machine.spot
            val utilizationPercent = Math.round(utilization(type.size, machine.used, spec.need) * 100)
            candidates.add(Candidate(machine, isAvoided, startsSoon, utilizationPercent, hasImage))
        }
        candidates.sortWith(byRank)
        return candidates.map { it.machine }
    }

    /** Share of a task's estimated run time above which the fetch of its image affects the ranking. */
    private const val MAX_FETCH_SHARE = 0.1

    private val byRank: Comparator<Candidate> =
        compareBy<Candidate> { it.isAvoided }
            .thenByDescending { it.startsSoon }
            .thenByDescending { it.utilizationPercent }
            .thenByDescending { it.hasImage }
            .thenByDescending { it.machine.spot }
            .thenByDescending { it.machine.attempts.size }
            .thenBy { it.machine.id }
}
