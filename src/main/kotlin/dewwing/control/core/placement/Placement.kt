package dewwing.control.core.placement

import dewwing.control.core.fleet.Machine
import dewwing.control.core.job.Job
import dewwing.protocol.JobSpec
import dewwing.protocol.MachineType
import dewwing.protocol.Resources

/** The number of tasks of a job to start on a machine. */
data class Placement(
    val machine: Machine,
    val count: Int,
)

/** Criteria that take precedence over best fit when machines are chosen for a job. */
data class PlacementPreference(
    /** Prefer spot machines for jobs that may use them, because other jobs can run on on-demand machines only. */
    val avoidOnDemand: Boolean = false,
    /** Machines that would take longer than this to fetch the image rank below those that have it. */
    val maxFetchS: Double = Double.MAX_VALUE,
)

/** Decides which machines a job may use and places its tasks on them by best fit. */
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

    fun typeAllowed(
        spec: JobSpec,
        type: MachineType,
    ): Boolean = (spec.types == null || type.name in spec.types) && type.size.canFit(spec.need)

    /**
     * The allowed types that suit the job best. A task that needs no accelerators gets types without them if one of
     * those can hold it: best fit alone would fill accelerator machines with tasks that block gangs.
     */
    fun preferredTypes(
        spec: JobSpec,
        types: Collection<MachineType>,
    ): List<MachineType> {
        val allowed = types.filter { typeAllowed(spec, it) }
        if (spec.need.accelerators > 0) return allowed
        val withoutAccelerators = allowed.filter { it.size.accelerators <= 0 }
        return withoutAccelerators.ifEmpty { allowed }
    }

    fun machineAllowed(
        spec: JobSpec,
        machine: Machine,
    ): Boolean {
        val type = machine.type ?: return false
        return typeAllowed(spec, type) && (spec.zone == null || spec.zone == machine.zone) && (spec.spot || !machine.spot)
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
        val spec = job.spec
        if (limit <= 0) return emptyList()
        if (!spec.oneZone) return fill(job, machines, limit, preference)
        val currentZone =
            job.liveAttempts.values
                .firstOrNull()
                ?.machine
                ?.zone
        if (currentZone != null) return fill(job, machines.filter { it.zone == currentZone }, limit, preference)
        return machines
            .groupBy { it.zone }
            .values
            .map { fill(job, it, limit, preference) }
            .maxByOrNull { placements -> placements.sumOf { it.count } } ?: emptyList()
    }

    /** Places tasks without the one-zone constraint, but within the zone limits of a spread job. */
    private fun fill(
        job: Job,
        machines: List<Machine>,
        limit: Int,
        preference: PlacementPreference,
    ): List<Placement> {
        val spec = job.spec
        val spread = spec.spread
        val perZone = HashMap<String, Int>()
        if (spread) for (attempt in job.liveAttempts.values) perZone.merge(attempt.machine.zone, 1, Int::plus)
        // The zone of a machine that is known from log records only is unknown (""): its tasks count against every zone.
        val inUnknownZone = if (spread) perZone.remove("") ?: 0 else 0
        val zoneLimit = if (spread) (spec.tasks + 1) / 2 - inUnknownZone else Int.MAX_VALUE
        val placements = ArrayList<Placement>()
        var missing = limit
        // Placing tasks on one machine does not change the rank of the others, so the machines are sorted only once.
        for (machine in ranked(spec, machines, preference)) {
            if (missing <= 0) break
            val leftInZone = zoneLimit - (perZone[machine.zone] ?: 0)
            val count = minOf(missing, machine.free.slots(spec.need), leftInZone)
            if (count <= 0) continue
            perZone.merge(machine.zone, count, Int::plus)
            placements.add(Placement(machine, count))
            missing -= count
        }
        return if (job.isGang && missing > 0) emptyList() else placements
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
