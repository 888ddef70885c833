package dewwing.control.core.fleet

import dewwing.control.core.RentalRequest
import dewwing.control.core.placement.PlacementConstraints
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.JobSpec
import dewwing.protocol.MachineType

/** Machines of one type in one zone, spot or on-demand. */
data class Market(
    val type: String,
    val zone: String,
    val spot: Boolean,
)

/** The market in which the request is made. */
val RentalRequest.market: Market get() = Market(type, zone, spot)

/** A market in which machines may be ordered now. */
class MarketOffer(
    val type: MachineType,
    val market: Market,
) {
    /** Price per machine and hour. */
    val price: Double get() = if (market.spot) type.spotPrice else type.price
}

/** Orders in one market that the cloud has not answered yet. */
class PendingOrders(
    val machines: Int,
    /** At least one of them is logged, so that its request has been or will be sent. */
    val anyLogged: Boolean,
)

/** In which markets machines may be ordered, given the cloud's refusals and the orders that are pending. */
class RentalMarkets(
    private val types: Map<String, MachineType>,
    private val pendingOrders: (Market) -> PendingOrders,
) {
    private val refusedUntil = HashMap<Market, Instant>()
    private val consecutiveRefusals = HashMap<Market, Int>()

    /** The cloud has answered an order; [filled] if it rented out all the machines. */
    fun onAnswered(
        market: Market,
        filled: Boolean,
        now: Instant,
    ) {
        if (filled) {
            consecutiveRefusals.remove(market)
            return
        }
        val count = (consecutiveRefusals[market] ?: 0) + 1
        consecutiveRefusals[market] = count
        refusedUntil[market] = now + Duration(BASE_REFUSAL_BACKOFF_MS shl minOf(count - 1, MAX_REFUSAL_BACKOFF_DOUBLINGS))
    }

    /**
     * How many more machines may be ordered in [market] on top of those on order: two full orders at a time, or one after a
     * refusal. Without this limit, six orders per second for machines that the cloud did not have used up most of the write
     * rate, which task starts need as well.
     */
    fun allowance(market: Market): Int {
        val wasRefused = market in consecutiveRefusals
        val pending = pendingOrders(market)
        if (wasRefused && pending.anyLogged) return 0
        return (if (wasRefused) MAX_RENTAL_COUNT else 2 * MAX_RENTAL_COUNT) - pending.machines
    }

    /** The open market with the lowest price per task; null if there is none. [maxTasks] is the number of tasks that a zone may take. */
    fun cheapest(
        spec: JobSpec,
        now: Instant,
        maxTasks: (zone: String) -> Int,
    ): MarketOffer? {
        var best: MarketOffer? = null
        var bestCost = Double.MAX_VALUE
        for (type in PlacementConstraints.preferredTypes(spec, types.values)) {
            for (zone in type.zones) {
                val tasks = maxTasks(zone)
                if (tasks <= 0) continue
                for (spot in SPOT_FIRST) {
                    if (!PlacementConstraints.allowsMarket(spec, type, zone, spot)) continue
                    val offer = MarketOffer(type, Market(type.name, zone, spot))
                    val cost = cost(spec, tasks, offer) / tasks
                    if (cost < bestCost && isOpen(offer.market, now)) {
                        bestCost = cost
                        best = offer
                    }
                }
            }
        }
        return best
    }

    /** Price per hour of the machines that [tasks] tasks need; infinite if they cannot hold one. */
    fun cost(
        spec: JobSpec,
        tasks: Int,
        offer: MarketOffer,
    ): Double = (offer.type.size.machinesFor(tasks, spec.need) ?: return Double.POSITIVE_INFINITY) * offer.price

    private fun isOpen(
        market: Market,
        now: Instant,
    ): Boolean = (refusedUntil[market] ?: Instant.DISTANT_PAST) <= now && allowance(market) > 0

    companion object {
        /** Number of machines in one request to the cloud. */
        const val MAX_RENTAL_COUNT = 50
        private const val BASE_REFUSAL_BACKOFF_MS = 5_000L
        private const val MAX_REFUSAL_BACKOFF_DOUBLINGS = 3
        private val SPOT_FIRST = listOf(true, false)
    }
}
