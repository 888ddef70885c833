package dewwing.control.core.sharing

import dewwing.protocol.Fields
import dewwing.protocol.MalformedException
import kotlin.math.abs

/** An amount of the resources to which team limits apply. */
data class TeamResources(
    val cores: Double,
    val accelerators: Double,
) {
    companion object {
        val NONE = TeamResources(0.0, 0.0)
    }
}

/** One shard's share of a team's limit, and its demand. */
data class Allotment(
    /** Upper bound of what the shard uses. */
    val allocated: TeamResources,
    /** What the shard's running tasks and waiting jobs would use together. */
    val requested: TeamResources,
    /** What one waiting job needs at once, more than the shard's fair share; it is served before the fair shares. */
    val reserved: TeamResources = TeamResources.NONE,
    /** Wall-clock time at which that job was submitted. */
    val reservedSinceMs: Long = 0,
) {
    companion object {
        val NONE = Allotment(TeamResources.NONE, TeamResources.NONE)
    }
}

/** The division of one team's limit among the shards; their owners change it by compare-and-set, one at a time. */
data class TeamAllotments(
    val shards: List<Allotment>,
) {
    fun with(
        shard: ShardId,
        allotment: Allotment,
    ) = TeamAllotments(shards.mapIndexed { i, before -> if (i == shard.index) allotment else before })

    fun toValue(): Map<String, Any?> = mapOf("shards" to shards.map(::toNumbers))

    private fun toNumbers(allotment: Allotment): List<Any> =
        listOf(
            allotment.allocated.cores,
            allotment.allocated.accelerators,
            allotment.requested.cores,
            allotment.requested.accelerators,
            allotment.reserved.cores,
            allotment.reserved.accelerators,
            allotment.reservedSinceMs,
        )

    companion object {
        private const val NUMBERS_PER_SHARD = 7

        /** Until an owner changes it, the first shard has the whole limit, since it continues the work of a single leader. */
        fun initial(
            layout: ShardLayout,
            limit: TeamResources,
        ) = TeamAllotments(layout.all.map { if (it == ShardId.FIRST) Allotment(limit, TeamResources.NONE) else Allotment.NONE })

        fun of(value: Map<String, Any?>): TeamAllotments {
            val lists = Fields(value).raw["shards"] as? List<*> ?: throw MalformedException("shards")
            return TeamAllotments(lists.map(::fromNumbers))
        }

        private fun fromNumbers(value: Any?): Allotment {
            val numbers = (value as? List<*>)?.map { it as? Number ?: throw MalformedException("shards") }
            if (numbers?.size != NUMBERS_PER_SHARD) throw MalformedException("shards")

            fun resources(at: Int) = TeamResources(numbers[at].toDouble(), numbers[at + 1].toDouble())
            return Allotment(resources(0), resources(2), resources(4), numbers[6].toLong())
        }
    }
}

/** One team's use and demand in one shard, as the shard's owner knows them. */
data class TeamDemand(
    /** Used by tasks that may be on machines. */
    val used: TeamResources,
    /** Used by those tasks and needed by all waiting ones. */
    val requested: TeamResources,
    /** What a long-waiting gang needs at once. */
    val reserved: TeamResources = TeamResources.NONE,
    /** Wall-clock time at which that gang was submitted. */
    val reservedSinceMs: Long = 0,
    /** Needed by one task of the waiting array that was submitted first. */
    val nextTask: TeamResources = TeamResources.NONE,
    /** Wall-clock time at which that array was submitted. */
    val nextTaskSinceMs: Long = 0,
)

/**
 * Divides a team's limit among the shards.
 *
 * Each owner changes only its own entry. It raises its allocation by at most what is not allocated to any shard, and
 * never lowers it below its use. The allocations therefore never add up to more than the limit, and none is below its
 * shard's use. All shards work towards the same division: reservations come first, in the order in which their jobs were
 * submitted, as far as they fit; then each shard's max-min fair share of what is requested; and the surplus is divided equally.
 *
 * A shard has a reservation for a gang that has waited long, or for one task if it uses nothing and what it can get without
 * a reservation holds none. Without the latter, more shards with waiting jobs than the limit holds tasks would all wait for ever.
 */
class AllotmentPolicy(
    private val shard: ShardId,
) {
    /** The shard's next entry; its current one if the change is too small to be worth a write. */
    fun next(
        limit: TeamResources,
        current: TeamAllotments,
        demand: TeamDemand,
    ): Allotment {
        val before = current.shards[shard.index]
        val withDemand = withReservation(limit, current, before.copy(requested = demand.requested), demand)
        val entries = current.with(shard, withDemand).shards
        val allocated =
            TeamResources(
                nextAllocated(limit.cores, entries, demand.used.cores) { it.cores },
                nextAllocated(limit.accelerators, entries, demand.used.accelerators) { it.accelerators },
            )
        val next = withDemand.copy(allocated = allocated)
        return if (isWorthWriting(limit, before, next, current.shards)) next else before
    }

    private fun withReservation(
        limit: TeamResources,
        current: TeamAllotments,
        entry: Allotment,
        demand: TeamDemand,
    ): Allotment {
        val unreserved = entry.copy(reserved = TeamResources.NONE, reservedSinceMs = 0)
        return when {
            demand.reserved != TeamResources.NONE -> entry.copy(reserved = demand.reserved, reservedSinceMs = demand.reservedSinceMs)

            holdsNoTask(
                limit,
                current.with(shard, unreserved),
                demand,
            ) -> entry.copy(reserved = demand.nextTask, reservedSinceMs = demand.nextTaskSinceMs)

            else -> unreserved
        }
    }

    /** Whether the shard uses nothing of some limited resource, and gets too little of it for the next task by [allotments]. */
    private fun holdsNoTask(
        limit: TeamResources,
        allotments: TeamAllotments,
        demand: TeamDemand,
    ): Boolean =
        RESOURCES.any { amount ->
            val whole = amount(limit)
            whole.isFinite() && amount(demand.used) <= whole * ROUNDING_FRACTION &&
                amount(demand.nextTask) > nextAllocated(whole, allotments.shards, amount(demand.used), amount) + whole * ROUNDING_FRACTION
        }

    private fun nextAllocated(
        limit: Double,
        entries: List<Allotment>,
        used: Double,
        amount: (TeamResources) -> Double,
    ): Double {
        val allocated = amount(entries[shard.index].allocated)
        if (limit.isInfinite()) return 0.0
        val target = fairShare(limit, entries, amount)
        val unallocated = limit - entries.sumOf { amount(it.allocated) }
        return if (target > allocated) {
            minOf(target, allocated + maxOf(0.0, unallocated))
        } else {
            minOf(allocated, maxOf(used, target))
        }
    }

    private fun fairShare(
        limit: Double,
        entries: List<Allotment>,
        amount: (TeamResources) -> Double,
    ): Double {
        val requested = DoubleArray(entries.size) { minOf(amount(entries[it].requested), limit) }
        val reserving = entries.indices.filter { amount(entries[it].reserved) > 0 }.sortedBy { entries[it].reservedSinceMs }
        val granted = grantReservations(limit, reserving, entries, amount)
        for (i in entries.indices) requested[i] = maxOf(0.0, requested[i] - granted[i])
        val unreserved = limit - granted.sum()
        val shares = maxMinFair(unreserved, requested)
        val surplus = maxOf(0.0, unreserved - shares.sum())
        val share = shares[shard.index] + surplus / entries.size + granted[shard.index]
        if (reserving.isEmpty()) return share
        // Shards that use more than their shares keep it, so the others have to leave more for the reservations.
        val left = limit - entries.indices.filter { it != shard.index }.sumOf { maxOf(granted[it], amount(entries[it].allocated)) }
        val precedesAll = reserving.takeWhile { it != shard.index }.all { amount(entries[it].allocated) >= granted[it] }
        return maxOf(if (precedesAll) granted[shard.index] else 0.0, minOf(share, left))
    }

    /** What each shard gets for its reservation: the oldest first, each in full or, if it does not fit into the rest, not at all. */
    private fun grantReservations(
        limit: Double,
        reserving: List<Int>,
        entries: List<Allotment>,
        amount: (TeamResources) -> Double,
    ): DoubleArray {
        val granted = DoubleArray(entries.size)
        var remaining = limit
        for (i in reserving) {
            val reserved = minOf(amount(entries[i].reserved), limit)
            if (reserved > remaining) continue
            granted[i] = reserved
            remaining -= reserved
        }
        return granted
    }

    /**
     * Hysteresis: a small change waits until it has added up to a larger one, unless a shard's requests exceed its allocation.
     * Such a shard makes its requests known and takes what it can get, and all others make theirs known and give up what they
     * do not request. Whatever the division leaves to an unmet reservation is given up.
     */
    private fun isWorthWriting(
        limit: TeamResources,
        before: Allotment,
        next: Allotment,
        recorded: List<Allotment>,
    ): Boolean {
        if (before.reserved != next.reserved) return true
        return RESOURCES.any { amount ->
            val whole = amount(limit)
            if (whole.isInfinite() || whole <= 0) return@any false
            val minChange = whole * MIN_CHANGE_FRACTION
            val raised = amount(next.allocated) - amount(before.allocated)
            val requestChange = abs(amount(next.requested) - amount(before.requested))
            if (abs(raised) >= minChange || requestChange >= minChange) return@any true
            val isShort = amount(next.requested) > amount(before.allocated)
            val isRecordedAsShort = amount(before.requested) > amount(before.allocated)
            val affectsOthers = maxOf(requestChange, -raised) > whole * ROUNDING_FRACTION
            val yieldsToReservation =
                -raised > whole * ROUNDING_FRACTION && recorded.any { it !== before && amount(it.reserved) > amount(it.allocated) }
            when {
                yieldsToReservation -> true
                isShort -> raised > 0 || !isRecordedAsShort
                affectsOthers -> recorded.any { it !== before && amount(it.requested) > amount(it.allocated) }
                else -> false
            }
        }
    }

    companion object {
        private val RESOURCES = listOf<(TeamResources) -> Double>({ it.cores }, { it.accelerators })

        /** Changes below this fraction of the team's limit are written only if some shard's allocation does not cover its requests. */
        private const val MIN_CHANGE_FRACTION = 0.05

        /** Changes below this fraction of the team's limit are rounding errors. */
        private const val ROUNDING_FRACTION = 1e-6

        /**
         * Max-min fair division of [capacity]: a request below an equal share is met in full, and what it leaves is divided
         * among the others in the same way.
         */
        fun maxMinFair(
            capacity: Double,
            requested: DoubleArray,
        ): DoubleArray {
            val shares = DoubleArray(requested.size)
            var remaining = maxOf(0.0, capacity)
            val order = requested.indices.sortedBy { requested[it] }
            for ((served, i) in order.withIndex()) {
                shares[i] = minOf(requested[i], remaining / (order.size - served))
                remaining -= shares[i]
            }
            return shares
        }
    }
}
