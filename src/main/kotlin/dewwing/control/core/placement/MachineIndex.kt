package dewwing.control.core.placement

import dewwing.control.core.WorkCounter
import dewwing.control.core.fleet.Machine
import dewwing.control.core.job.Job
import dewwing.protocol.JobSpec
import dewwing.protocol.MachineType
import dewwing.protocol.Resources
import dewwing.protocol.Urgency

/**
 * The schedulable machines in one scheduling round, grouped by type, zone and spot or on-demand.
 *
 * A job is checked only against machines that it may use and that have enough free capacity for at least one waiting
 * job. Checking every waiting job against every machine takes too much CPU in a round with a thousand machines and a
 * hundred jobs.
 */
class MachineIndex(
    machines: Collection<Machine>,
    waiting: Collection<Job>,
    private val workCounter: WorkCounter,
) {
    private class MachineGroup(
        val type: MachineType,
        val zone: String,
        val spot: Boolean,
    ) {
        val machines = ArrayList<Machine>()

        /** Machines with enough free capacity for the smallest request of any waiting job that may use this group. */
        var withCapacity: List<Machine> = emptyList()

        /** Machines with free capacity or with tasks that can be preempted, by the priority of the preempting job. */
        val preemptible = HashMap<Urgency, List<Machine>>()

        /** Machines with the fewest tasks first, for [reserve]; those before [reservedCount] have been considered. */
        val leastLoaded: List<Machine> by lazy(LazyThreadSafetyMode.NONE) { machines.sortedBy { it.attempts.size } }
        var reservedCount = 0

        fun leastLoadedUnreserved(count: Int): List<Machine> =
            leastLoaded.subList(reservedCount, minOf(leastLoaded.size, reservedCount + count))

        fun allows(spec: JobSpec): Boolean = PlacementConstraints.allowsMarket(spec, type, zone, spot)
    }

    private val groups = ArrayList<MachineGroup>()
    private val reserved = HashSet<Machine>()
    private val allWithCapacity by lazy(LazyThreadSafetyMode.NONE) { groups.flatMapTo(HashSet()) { it.withCapacity } }

    init {
        for (machine in machines) {
            val type = machine.type ?: continue
            val group =
                groups.firstOrNull { it.type.name == type.name && it.spot == machine.spot && it.zone == machine.zone }
                    ?: MachineGroup(type, machine.zone, machine.spot).also(groups::add)
            group.machines.add(machine)
        }
        workCounter.count(machines.size)
        for (group in groups) {
            var smallestNeed: Resources? = null
            for (job in waiting) {
                if (group.allows(job.spec)) smallestNeed = smallestNeed?.let { job.spec.need.componentwiseMin(it) } ?: job.spec.need
            }
            group.withCapacity = smallestNeed?.let { need -> group.machines.filter { it.free.canFit(need) } } ?: emptyList()
        }
        workCounter.count(groups.size * waiting.size)
    }

    /**
     * Machines that can hold a task of [job] now and satisfy [condition].
     *
     * @param types the machine types to consider; null for every type that the job may use
     */
    fun machinesWithCapacity(
        job: Job,
        types: Set<String>?,
        condition: (Machine) -> Boolean = { true },
    ): List<Machine> {
        val matching = ArrayList<Machine>()
        for (group in groups) {
            if ((types != null && group.type.name !in types) || !group.allows(job.spec)) continue
            workCounter.count(group.withCapacity.size)
            for (machine in group.withCapacity) {
                if (!machine.free.canFit(job.spec.need) || !isAvailable(machine, job)) continue
                if (PlacementConstraints.avoids(job, machine.id)) continue
                if (condition(machine)) matching.add(machine)
            }
        }
        return matching
    }

    /** Machines that [job] may use and that have free capacity, or tasks that could be preempted for it. */
    fun preemptionCandidates(
        job: Job,
        preemption: Preemption,
    ): List<Machine> {
        val available = ArrayList<Machine>()
        for (group in groups) {
            if (!group.allows(job.spec)) continue
            val candidates =
                group.preemptible.getOrPut(job.spec.urgency) {
                    workCounter.count(group.machines.size)
                    group.machines.filter { machine ->
                        machine in allWithCapacity ||
                            machine.attempts.values.any { preemption.isPreemptible(it, job.spec.urgency) }
                    }
                }
            workCounter.count(candidates.size)
            for (machine in candidates) {
                // The job is not placed on machines where it has failed, so capacity freed there would stay unused.
                if (isAvailable(machine, job) && !PlacementConstraints.avoids(job, machine.id)) available.add(machine)
            }
        }
        return available
    }

    /** Machines with accelerators that no gang has reserved, regardless of which jobs may use them. */
    fun unreservedWithAccelerators(): List<Machine> =
        groups.filter { it.type.size.accelerators > 0 }.flatMap { group -> group.machines.filter { it !in reserved } }

    /**
     * Reserves the least loaded machines that the gang [job] could use, so that no other job gets them later in this
     * round. A gang that must run in one zone reserves machines in one zone only: capacity split over two zones would be
     * useless to it and unavailable to other jobs. So would be machines that cannot hold the whole gang together.
     */
    fun reserve(job: Job) {
        val allowed = groups.filter { it.allows(job.spec) }
        val usable = if (job.spec.oneZone) leastLoadedZone(job, allowed) else allowed
        if (canHold(job, usable)) reserve(job, usable)
    }

    /** Whether the machines of [usable] could hold all tasks of the gang [job] if nothing else ran on them. */
    private fun canHold(
        job: Job,
        usable: List<MachineGroup>,
    ): Boolean {
        val limits = ZoneLimits(job)
        var tasks = 0
        for (group in usable) {
            val slots = minOf(group.machines.size.toLong() * group.type.size.slots(job.spec.need), job.spec.tasks.toLong()).toInt()
            val usableSlots = minOf(slots, limits.remaining(group.zone))
            limits.add(group.zone, usableSlots)
            tasks += usableSlots
        }
        return tasks >= job.spec.tasks
    }

    /** The groups of the zone in which the machines that [job] needs run the fewest tasks. */
    private fun leastLoadedZone(
        job: Job,
        allowed: List<MachineGroup>,
    ): List<MachineGroup> =
        allowed
            .groupBy { it.zone }
            .values
            .mapNotNull { zone -> blockingTasks(job, zone)?.let { zone to it } }
            .minByOrNull { it.second }
            ?.first ?: emptyList()

    /** Number of tasks on the machines that [job] would reserve in [zone]; null if the zone has too few machines. */
    private fun blockingTasks(
        job: Job,
        zone: List<MachineGroup>,
    ): Int? {
        val wanted = Resources.machinesFor(job.spec.tasks, zone.maxOf { it.type.size.slots(job.spec.need) }) ?: return null
        val taskCounts = zone.flatMap { it.leastLoadedUnreserved(wanted) }.map { it.attempts.size }
        workCounter.count(taskCounts.size)
        return if (taskCounts.size < wanted) null else taskCounts.sorted().take(wanted).sum()
    }

    private fun reserve(
        job: Job,
        allowed: List<MachineGroup>,
    ) {
        val limits = ZoneLimits(job)
        var missing = job.spec.tasks
        while (missing > 0) {
            val group =
                allowed
                    .filter { it.reservedCount < it.leastLoaded.size && limits.remaining(it.zone) > 0 }
                    .minByOrNull { it.leastLoaded[it.reservedCount].attempts.size } ?: return
            workCounter.count(1)
            val machine = group.leastLoaded[group.reservedCount++]
            if (!isAvailable(machine, job) || !reserved.add(machine)) continue
            val slots = minOf(group.type.size.slots(job.spec.need), limits.remaining(group.zone))
            limits.add(group.zone, slots)
            missing -= slots
        }
    }

    /** Whether [machine] is neither set aside for another job by preemption nor reserved by a gang in this round. */
    private fun isAvailable(
        machine: Machine,
        job: Job,
    ) = (machine.reservedFor == null || machine.reservedFor === job) && (reserved.isEmpty() || machine !in reserved)
}
