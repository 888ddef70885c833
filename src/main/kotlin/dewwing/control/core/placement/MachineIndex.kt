package dewwing.control.core.placement

import dewwing.control.core.WorkCounter
import dewwing.control.core.fleet.Machine
import dewwing.control.core.job.Job
import dewwing.protocol.JobSpec
import dewwing.protocol.MachineType
import dewwing.protocol.Resources
import dewwing.protocol.Urgency

/**
 * The machines of one round that take new work, by type, zone and kind: a job looks only at those it may use, and at
 * none that is too full for any job that waits. Without it every waiting job looked at every machine in every round,
 * which at a thousand machines and a hundred jobs is more than a small processor share holds.
 */
class MachineIndex(
    machines: Collection<Machine>,
    waiting: Collection<Job>,
    private val workCounter: WorkCounter,
) {
    private class Group(
        val type: MachineType,
        val zone: String,
        val spot: Boolean,
    ) {
        val all = ArrayList<Machine>()
        var roomy: List<Machine> = emptyList()
        val stoppable = HashMap<Urgency, List<Machine>>()

        /** Nearest to free first, for [reserve]; those before [reservedTo] are spoken for. */
        val nearestFree: List<Machine> by lazy(LazyThreadSafetyMode.NONE) { all.sortedBy { it.attempts.size } }
        var reservedTo = 0

        fun nearestUnreserved(count: Int): List<Machine> = nearestFree.subList(reservedTo, minOf(nearestFree.size, reservedTo + count))

        fun allows(spec: JobSpec): Boolean =
            Placer.typeAllowed(spec, type) && (spec.zone == null || spec.zone == zone) && (spec.spot || !spot)
    }

    private val groups = ArrayList<Group>()
    private val reserved = HashSet<Machine>()
    private val roomySet by lazy(LazyThreadSafetyMode.NONE) { groups.flatMapTo(HashSet()) { it.roomy } }

    init {
        for (m in machines) {
            val type = m.type ?: continue
            val group =
                groups.firstOrNull { it.type.name == type.name && it.spot == m.spot && it.zone == m.zone }
                    ?: Group(type, m.zone, m.spot).also(groups::add)
            group.all.add(m)
        }
        workCounter.count(machines.size)
        for (group in groups) {
            var least: Resources? = null
            for (job in waiting) if (group.allows(job.spec)) least = least?.let { job.spec.need.componentwiseMin(it) } ?: job.spec.need
            group.roomy = least?.let { need -> group.all.filter { it.free.canFit(need) } } ?: emptyList()
        }
        workCounter.count(groups.size * waiting.size)
    }

    /** Machines of [types], or of any type that [job] may use, that can hold one of its tasks now. */
    fun roomFor(
        job: Job,
        types: Set<String>?,
        also: (Machine) -> Boolean = { true },
    ): List<Machine> {
        val out = ArrayList<Machine>()
        for (group in groups) {
            if ((types != null && group.type.name !in types) || !group.allows(job.spec)) continue
            workCounter.count(group.roomy.size)
            for (m in group.roomy) {
                if (!m.free.canFit(job.spec.need) || !open(m, job) ||
                    (job.avoidedMachines.isNotEmpty() && m.id.value in job.avoidedMachines)
                ) {
                    continue
                }
                if (also(m)) out.add(m)
            }
        }
        return out
    }

    /** Machines that [job] may use where it finds room, or tasks that may be stopped for it. */
    fun stoppableFor(
        job: Job,
        preemption: Preemption,
    ): List<Machine> {
        val out = ArrayList<Machine>()
        for (group in groups) {
            if (!group.allows(job.spec)) continue
            val some =
                group.stoppable.getOrPut(job.spec.urgency) {
                    workCounter.count(group.all.size)
                    group.all.filter { m -> m in roomySet || m.attempts.values.any { preemption.mightStop(it, job.spec.urgency) } }
                }
            workCounter.count(some.size)
            // Room kept where the job has failed before would be used by nobody: it is not placed there.
            for (m in some) if (open(m, job) && m.id.value !in job.avoidedMachines) out.add(m)
        }
        return out
    }

    /** Those with accelerators, whoever may use them. */
    fun withAccelerators(): List<Machine> =
        groups.filter { it.type.size.accelerators > 0 }.flatMap { g -> g.all.filter { it !in reserved } }

    /**
     * Keeps the machines nearest to free that [job], a gang, would take from every job asked about later in this round. A
     * gang bound to one zone reserves in one zone only: room in two zones would be of no use to it and be lost to others.
     */
    fun reserve(job: Job) {
        val allowed = groups.filter { it.allows(job.spec) }
        if (job.spec.oneZone) reserve(job, nearestZone(job, allowed)) else reserve(job, allowed)
    }

    /** The groups of the zone where [job] would find its room with the fewest other tasks in the way. */
    private fun nearestZone(
        job: Job,
        allowed: List<Group>,
    ): List<Group> =
        allowed
            .groupBy { it.zone }
            .values
            .mapNotNull { zone -> tasksInTheWay(job, zone)?.let { zone to it } }
            .minByOrNull { it.second }
            ?.first ?: emptyList()

    /** Tasks on the machines that [job] would reserve in [zone]; null where there are too few machines. */
    private fun tasksInTheWay(
        job: Job,
        zone: List<Group>,
    ): Int? {
        val slots = zone.maxOf { it.type.size.slots(job.spec.need) }
        if (slots == 0) return null
        val wanted = (job.spec.tasks + slots - 1) / slots
        val nearest = zone.flatMap { it.nearestUnreserved(wanted) }.map { it.attempts.size }
        workCounter.count(nearest.size)
        return if (nearest.size < wanted) null else nearest.sorted().take(wanted).sum()
    }

    private fun reserve(
        job: Job,
        allowed: List<Group>,
    ) {
        var missing = job.spec.tasks
        while (missing > 0) {
            val group =
                allowed
                    .filter { it.reservedTo < it.nearestFree.size }
                    .minByOrNull { it.nearestFree[it.reservedTo].attempts.size } ?: return
            workCounter.count(1)
            val m = group.nearestFree[group.reservedTo++]
            if (!open(m, job) || !reserved.add(m)) continue
            missing -= group.type.size.slots(job.spec.need)
        }
    }

    private fun open(
        m: Machine,
        job: Job,
    ) = (m.reservedFor == null || m.reservedFor === job) && (reserved.isEmpty() || m !in reserved)
}
