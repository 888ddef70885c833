package dewwing.control.core.sharing

import dewwing.protocol.Fields
import dewwing.protocol.MalformedException
import kotlin.math.abs

/** An amount of what team limits bound. */
data class TeamAmount(
    val cores: Double,
    val accelerators: Double,
) {
    companion object {
        val NONE = TeamAmount(0.0, 0.0)
    }
}

/** One shard's part of a team's limit, and what it would do with more. */
data class Allotment(
    /** It never uses more than this. */
    val held: TeamAmount,
    /** What its tasks and its waiting jobs would use together. */
    val wanted: TeamAmount,
    /** What one gang needs at once that has waited for long; counts before everybody's fair part. */
    val reserved: TeamAmount = TeamAmount.NONE,
    /** Time of day since which the gang has waited. */
    val reservedSinceMs: Long = 0,
) {
    companion object {
        val NONE = Allotment(TeamAmount.NONE, TeamAmount.NONE)
    }
}

/** How a team's limit is divided among the shards; changed by their owners, one compare-and-set at a time. */
data class TeamAllotments(
    val shards: List<Allotment>,
) {
    fun with(
        shard: ShardId,
        allotment: Allotment,
    ) = TeamAllotments(shards.mapIndexed { i, before -> if (i == shard.index) allotment else before })

    fun toValue(): Map<String, Any?> = mapOf("shards" to shards.map(::listOfAmounts))

    private fun listOfAmounts(a: Allotment): List<Any> =
        listOf(
            a.held.cores,
            a.held.accelerators,
            a.wanted.cores,
            a.wanted.accelerators,
            a.reserved.cores,
            a.reserved.accelerators,
            a.reservedSinceMs,
        )

    companion object {
        private const val NUMBERS = 7

        /** Before anybody has changed it, all of the limit is where the work of a single leader goes on. */
        fun initial(
            layout: ShardLayout,
            limit: TeamAmount,
        ) = TeamAllotments(layout.all.map { if (it == ShardId.FIRST) Allotment(limit, TeamAmount.NONE) else Allotment.NONE })

        fun of(value: Map<String, Any?>): TeamAllotments {
            val lists = Fields(value).raw["shards"] as? List<*> ?: throw MalformedException("shards")
            return TeamAllotments(lists.map(::allotment))
        }

        private fun allotment(value: Any?): Allotment {
            val numbers = (value as? List<*>)?.map { it as? Number ?: throw MalformedException("shards") }
            if (numbers?.size != NUMBERS) throw MalformedException("shards")

            fun amount(at: Int) = TeamAmount(numbers[at].toDouble(), numbers[at + 1].toDouble())
            return Allotment(amount(0), amount(2), amount(4), numbers[6].toLong())
        }
    }
}

/** What a shard's owner knows of one team's work there. */
data class TeamDemand(
    /** By tasks that may be on machines. */
    val used: TeamAmount,
    /** By those and by all waiting tasks. */
    val wanted: TeamAmount,
    val reserved: TeamAmount = TeamAmount.NONE,
    val reservedSinceMs: Long = 0,
)

/**
 * Divides a team's limit among the shards.
 *
 * Each owner changes its own entry alone. It raises what it holds by no more than nobody holds, and lowers it no further
 * than its use, so that the parts never add up to more than the limit and none falls below its shard's use. Towards
 * what they move is the same for all: each shard's max-min fair part of what is wanted, the surplus in equal parts, and
 * before both the whole need of the gang that has waited longest.
 */
class AllotmentPolicy(
    private val shard: ShardId,
) {
    /** What this shard's entry should be; the same as it is where a change is not worth a write. */
    fun next(
        limit: TeamAmount,
        current: TeamAllotments,
        demand: TeamDemand,
    ): Allotment {
        val before = current.shards[shard.index]
        val stated =
            before.copy(wanted = demand.wanted, reserved = demand.reserved, reservedSinceMs = demand.reservedSinceMs)
        val entries = current.with(shard, stated).shards
        val held =
            TeamAmount(
                heldNext(limit.cores, entries, demand.used.cores) { it.cores },
                heldNext(limit.accelerators, entries, demand.used.accelerators) { it.accelerators },
            )
        val next = stated.copy(held = held)
        return if (worthWriting(limit, before, next)) next else before
    }

    private fun heldNext(
        limit: Double,
        entries: List<Allotment>,
        used: Double,
        amount: (TeamAmount) -> Double,
    ): Double {
        val held = amount(entries[shard.index].held)
        if (limit.isInfinite()) return 0.0
        val target = fairPart(limit, entries, amount)
        val unheld = limit - entries.sumOf { amount(it.held) }
        return if (target > held) minOf(target, held + maxOf(0.0, unheld)) else minOf(held, maxOf(used, target))
    }

    private fun fairPart(
        limit: Double,
        entries: List<Allotment>,
        amount: (TeamAmount) -> Double,
    ): Double {
        val wanted = DoubleArray(entries.size) { minOf(amount(entries[it].wanted), limit) }
        val longest = entries.indices.filter { amount(entries[it].reserved) > 0 }.minByOrNull { entries[it].reservedSinceMs }
        val reserved = if (longest == null) 0.0 else minOf(amount(entries[longest].reserved), limit)
        if (longest != null) wanted[longest] = maxOf(0.0, wanted[longest] - reserved)
        val parts = maxMinFair(limit - reserved, wanted)
        val surplus = maxOf(0.0, limit - reserved - parts.sum())
        return parts[shard.index] + surplus / entries.size + if (longest == shard.index) reserved else 0.0
    }

    /** Hysteresis: a new want that what is held covers, or a small step, can wait for a larger one. */
    private fun worthWriting(
        limit: TeamAmount,
        before: Allotment,
        next: Allotment,
    ): Boolean {
        if (before.reserved != next.reserved) return true
        return listOf<(TeamAmount) -> Double>({ it.cores }, { it.accelerators }).any { amount ->
            val whole = amount(limit)
            if (whole.isInfinite() || whole <= 0) return@any false
            val step = whole * LEAST_STEP
            val short = amount(next.wanted) > amount(before.held)
            val moved = abs(amount(next.held) - amount(before.held))
            val restated = abs(amount(next.wanted) - amount(before.wanted))
            moved >= step || (moved > 0 && short) || restated >= step
        }
    }

    companion object {
        private const val LEAST_STEP = 0.05

        /** The largest smallest part: whoever wants less than an equal part gets it all, the rest is divided again. */
        fun maxMinFair(
            capacity: Double,
            wanted: DoubleArray,
        ): DoubleArray {
            val parts = DoubleArray(wanted.size)
            var left = maxOf(0.0, capacity)
            val order = wanted.indices.sortedBy { wanted[it] }
            for ((served, i) in order.withIndex()) {
                parts[i] = minOf(wanted[i], left / (order.size - served))
                left -= parts[i]
            }
            return parts
        }
    }
}
