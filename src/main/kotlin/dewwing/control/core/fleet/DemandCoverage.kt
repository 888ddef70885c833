package dewwing.control.core.fleet

import dewwing.control.core.WorkCounter
import dewwing.control.core.job.Job
import dewwing.control.core.placement.PlacementConstraints
import dewwing.control.core.placement.ZoneLimits
import dewwing.control.core.placement.Zoned
import dewwing.protocol.Instant
import dewwing.protocol.JobSpec
import dewwing.protocol.MachineType
import dewwing.protocol.Resources

/** One machine, existing or on order, whose capacity the plan of machines assigns tasks to. */
class PlannedMachine(
    val type: MachineType,
    override val zone: String,
    val spot: Boolean,
    var free: Resources,
    /** Null while it is on order. */
    val machine: Machine?,
) : Zoned {
    /** Work that waits or is expected will use the machine, so it is kept. */
    var isClaimed = false
}

/** The number of tasks of [job] that need a slot now. */
class JobDemand(
    val job: Job,
    val tasks: Int,
)

/**
 * Covers the demand of jobs, one job after another: assigns their tasks to the capacity of [machines] and orders further
 * machines for the rest, under the constraints that the placement obeys.
 */
class DemandCoverage(
    /** Existing machines and those on order; what is ordered for one job is added, since it may have capacity left for the next. */
    private val machines: MutableList<PlannedMachine>,
    types: Map<String, MachineType>,
    private val markets: RentalMarkets,
    private val workCounter: WorkCounter,
    private val now: Instant,
    private val order: (MarketOffer, count: Int) -> Unit,
) {
    private val allTypes = types.values

    /** Covers [demands], the highest-ranked job first. */
    fun cover(demands: List<JobDemand>) {
        val least = demands.map { it.job.spec.need }.reduceOrNull(Resources::componentwiseMin) ?: return
        // Most machines are full most of the time; leaving them out saves every job from examining them.
        val open = machines.filterTo(ArrayList()) { it.free.canFit(least) }
        for (demand in demands) {
            cover(demand.job, demand.tasks, open)
            open.removeIf { !it.free.canFit(least) }
        }
    }

    private fun cover(
        job: Job,
        wanted: Int,
        open: MutableList<PlannedMachine>,
    ) {
        val spec = job.spec
        val limits = ZoneLimits(job)
        val usable = usableMachines(job, open)
        if (limits.mustChooseZone) limits.bindTo(chooseZone(spec, wanted, usable) ?: return)
        var missing = wanted - assign(spec, limits, usable.asIterable(), wanted)
        var triesLeft = MAX_MARKETS_PER_JOB
        while (missing > 0 && triesLeft-- > 0) {
            val offer = markets.cheapest(spec, now) { zone -> minOf(missing, limits.remaining(zone)) } ?: return
            val ordered = orderMachines(spec, minOf(missing, limits.remaining(offer.market.zone)), offer)
            open.addAll(ordered)
            machines.addAll(ordered)
            missing -= assign(spec, limits, ordered, missing)
        }
    }

    /** Assigns up to [wanted] tasks to [candidates] in their order; returns how many it assigned. */
    private fun assign(
        spec: JobSpec,
        limits: ZoneLimits,
        candidates: Iterable<PlannedMachine>,
        wanted: Int,
    ): Int {
        val allocations = limits.allocate(candidates, wanted) { it.free.slots(spec.need) }
        for ((target, count) in allocations) {
            target.free -= spec.need * count
            target.isClaimed = true
        }
        return allocations.sumOf { it.count }
    }

    /** The machines of [open] that can hold a task of [job]. Evaluated only as far as they are needed. */
    private fun usableMachines(
        job: Job,
        open: List<PlannedMachine>,
    ): Sequence<PlannedMachine> {
        val preferred = PlacementConstraints.preferredTypes(job.spec, allTypes).mapTo(HashSet()) { it.name }
        return open.asSequence().filter {
            workCounter.count(1)
            it.free.canFit(job.spec.need) && it.type.name in preferred &&
                PlacementConstraints.allowsMarket(job.spec, it.type, it.zone, it.spot) &&
                it.machine?.let { machine -> PlacementConstraints.avoids(job, machine.id) } != true
        }
    }

    private class ZoneOption(
        val zone: String,
        val missing: Int,
        /** Price per hour of the machines still to be ordered; infinite if none can be ordered at present. */
        val missingCost: Double,
    )

    /**
     * The zone for a job that must run in one: one that has capacity for all [wanted] tasks, or else the one where the rest costs
     * least. If machines cannot be ordered in any zone at present, the one that lacks the fewest slots.
     */
    private fun chooseZone(
        spec: JobSpec,
        wanted: Int,
        usable: Sequence<PlannedMachine>,
    ): String? {
        val slotsByZone = HashMap<String, Int>()
        for (machine in usable) {
            val slots = slotsByZone.merge(machine.zone, machine.free.slots(spec.need), Int::plus) ?: 0
            if (slots >= wanted) return machine.zone
        }
        val zones = PlacementConstraints.preferredTypes(spec, allTypes).flatMapTo(LinkedHashSet()) { it.zones } + slotsByZone.keys
        return zones
            .map { zone -> zoneOption(spec, zone, wanted - (slotsByZone[zone] ?: 0)) }
            .filter { it.missing < wanted || it.missingCost < Double.MAX_VALUE }
            .minWithOrNull(compareBy({ it.missingCost }, { it.missing }))
            ?.zone
    }

    private fun zoneOption(
        spec: JobSpec,
        zone: String,
        missing: Int,
    ): ZoneOption {
        val offer = markets.cheapest(spec, now) { if (it == zone) missing else 0 }
        return ZoneOption(zone, missing, offer?.let { markets.cost(spec, missing, it) } ?: Double.MAX_VALUE)
    }

    /** Orders machines for up to [tasks] tasks. */
    private fun orderMachines(
        spec: JobSpec,
        tasks: Int,
        offer: MarketOffer,
    ): List<PlannedMachine> {
        val needed = offer.type.size.machinesFor(tasks, spec.need) ?: return emptyList()
        val count = minOf(needed, RentalMarkets.MAX_RENTAL_COUNT, markets.allowance(offer.market))
        order(offer, count)
        return List(count) { PlannedMachine(offer.type, offer.market.zone, offer.market.spot, offer.type.size, null) }
    }

    private companion object {
        const val MAX_MARKETS_PER_JOB = 6
    }
}
