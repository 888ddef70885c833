package dewwing.control.core.placement

import dewwing.control.core.fleet.Machine
import dewwing.control.core.job.Job
import dewwing.protocol.JobSpec
import dewwing.protocol.MachineType
import dewwing.protocol.Resources

/** How many tasks of a job go to which machine. */
data class Placement(
    val machine: Machine,
    val count: Int,
)

/** What comes before the fullest fit when a job's machines are chosen. */
data class Preference(
    /** Ordinary machines come last for work that may use spot ones, since other work is confined to them. */
    val sparesOrdinary: Boolean = false,
    /** A machine that would fetch the image for longer than this comes after those that have it. */
    val longestFetchS: Double = Double.MAX_VALUE,
)

/** Which machines a job may use, and the fullest fit among them. */
object Placer {
    /** Share of the resource that is scarcest on the machine once [extra] is added to what it holds. */
    fun fullness(
        size: Resources,
        used: Resources,
        extra: Resources,
    ): Double {
        var full = 0.0
        if (size.cores > 0) full = maxOf(full, (used.cores + extra.cores) / size.cores)
        if (size.accelerators > 0) full = maxOf(full, (used.accelerators + extra.accelerators) / size.accelerators)
        if (size.memoryGb > 0) full = maxOf(full, (used.memoryGb + extra.memoryGb) / size.memoryGb)
        return full
    }

    fun typeAllowed(
        spec: JobSpec,
        type: MachineType,
    ): Boolean = (spec.types == null || type.name in spec.types) && type.size.canFit(spec.need)

    /**
     * Types worth using: a machine with accelerators is left to tasks that need them as long as another type can
     * hold the task. Fullest fit alone would fill accelerator machines with work that blocks the gangs.
     */
    fun usefulTypes(
        spec: JobSpec,
        types: Collection<MachineType>,
    ): List<MachineType> {
        val allowed = types.filter { typeAllowed(spec, it) }
        if (spec.need.accelerators > 0) return allowed
        val plain = allowed.filter { it.size.accelerators <= 0 }
        return plain.ifEmpty { allowed }
    }

    fun machineAllowed(
        spec: JobSpec,
        machine: Machine,
    ): Boolean {
        val type = machine.type ?: return false
        return typeAllowed(spec, type) && (spec.zone == null || spec.zone == machine.zone) && (spec.spot || !machine.spot)
    }

    /**
     * Places up to [limit] tasks of [job] (all of them or none, for a gang) on [machines], each on the machine it
     * leaves fullest. Tasks that may still be running count for the zone rules.
     */
    fun place(
        job: Job,
        machines: List<Machine>,
        limit: Int,
        preference: Preference = Preference(),
    ): List<Placement> {
        val spec = job.spec
        if (limit <= 0) return emptyList()
        if (!spec.oneZone) return fill(job, machines, limit, preference)
        val held =
            job.liveAttempts.values
                .firstOrNull()
                ?.machine
                ?.zone
        if (held != null) return fill(job, machines.filter { it.zone == held }, limit, preference)
        return machines
            .groupBy { it.zone }
            .values
            .map { fill(job, it, limit, preference) }
            .maxByOrNull { placements -> placements.sumOf { it.count } } ?: emptyList()
    }

    private fun fill(
        job: Job,
        machines: List<Machine>,
        limit: Int,
        preference: Preference,
    ): List<Placement> {
        val spec = job.spec
        val spread = spec.spread
        val perZone = HashMap<String, Int>()
        if (spread) for (a in job.liveAttempts.values) perZone.merge(a.machine.zone, 1, Int::plus)
        // Where a machine that only a log names stands is not known: its tasks may be in any zone.
        val somewhere = if (spread) perZone.remove("") ?: 0 else 0
        val zoneCap = if (spread) (spec.tasks + 1) / 2 - somewhere else Int.MAX_VALUE
        val out = ArrayList<Placement>()
        var missing = limit
        // What is put on one machine changes no other one's rank, so one ordering serves all tasks.
        for (best in ordered(spec, machines, preference)) {
            if (missing <= 0) break
            val zoneRoom = zoneCap - (perZone[best.zone] ?: 0)
            val count = minOf(missing, best.free.slots(spec.need), zoneRoom)
            if (count <= 0) continue
            perZone.merge(best.zone, count, Int::plus)
            out.add(Placement(best, count))
            missing -= count
        }
        return if (job.isGang && missing > 0) emptyList() else out
    }

    private class Candidate(
        val machine: Machine,
        val spared: Boolean,
        val ready: Boolean,
        val fullness: Long,
        val hasImage: Boolean,
    )

    /**
     * The machines that can hold a task, the one it leaves fullest first. Where the fetch of the image is a good part
     * of the run, or would make the start late, machines that have it come before that: the place is paid for while it
     * only fetches.
     */
    private fun ordered(
        spec: JobSpec,
        machines: List<Machine>,
        preference: Preference,
    ): List<Machine> {
        val fitting = ArrayList<Candidate>()
        for (m in machines) {
            val type = m.type ?: continue
            if (!m.free.canFit(spec.need)) continue
            val hasImage = spec.image in m.images
            val longestFetchS = minOf(preference.longestFetchS, spec.estimateS * FETCH_SHARE)
            val ready = hasImage || spec.imageGb < type.fetchGbPerS * longestFetchS
            val spared = preference.sparesOrdinary && spec.spot && !m.spot
            fitting.add(Candidate(m, spared, ready, Math.round(fullness(type.size, m.used, spec.need) * 100), hasImage))
        }
        fitting.sortWith(best)
        return fitting.map { it.machine }
    }

    /** Share of a run from which on its fetch counts. */
    private const val FETCH_SHARE = 0.1

    private val best: Comparator<Candidate> =
        compareBy<Candidate> { it.spared }
            .thenByDescending { it.ready }
            .thenByDescending { it.fullness }
            .thenByDescending { it.hasImage }
            .thenByDescending { it.machine.spot }
            .thenByDescending { it.machine.attempts.size }
            .thenBy { it.machine.id }
}
