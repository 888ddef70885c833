package dewwing.control.core.sharing

import dewwing.protocol.Duration
import dewwing.protocol.Instant
import kotlin.math.abs

/** What the coordinator knows of one shard. */
data class ShardView(
    /** The current owner according to the state service; null if there is none. */
    val owner: String?,
    /** Number of machines and running tasks, as reported by the owner. */
    val load: Double,
)

/** What the coordinator knows of one controller that can own shards. */
data class ControllerView(
    val name: String,
    /** About to be stopped: all its shards are to be moved away. */
    val draining: Boolean,
)

/** How often and how many shards are moved. */
data class PlannerPolicy(
    /** Minimum time between two moves that only balance load. */
    val moveInterval: Duration = Duration(30_000),
    /** A move that has not completed within this time is withdrawn. */
    val moveDeadline: Duration = Duration(60_000),
    /** Maximum number of moves at a time. */
    val maxMoves: Int = 1,
    /** Moves the shards in turn at this interval whatever their load, so that operators can watch moves work; null disables it. */
    val drillInterval: Duration? = null,
)

/**
 * Decides which controller is to own each shard.
 *
 * A shard stays where it is unless its owner has failed, is draining, or carries so much more load than another
 * controller that moving the shard balances the two. No new move is chosen while [PlannerPolicy.maxMoves] shards are
 * still moving, and no shard is moved to a controller that is not reachable.
 */
class ShardPlanner(
    private val layout: ShardLayout,
    private val policy: PlannerPolicy,
) {
    private var lastMoveAt = Instant.DISTANT_PAST
    private var lastDrillAt = Instant.DISTANT_PAST
    private val movingSince = HashMap<ShardId, Instant>()

    /** Number of moves that were withdrawn at their deadline or because the target was lost. */
    var withdrawnMoves = 0
        private set

    /** The next plan; equal to [plan] if nothing is to change. */
    fun next(
        plan: ShardPlan?,
        shards: List<ShardView>,
        controllers: List<ControllerView>,
        now: Instant,
    ): ShardPlan {
        val available = controllers.filter { !it.draining }.map { it.name }
        val reachable = controllers.mapTo(HashSet()) { it.name }
        val targets =
            layout.all
                .map { currentTarget(it, plan?.ownerOf(it), shards[it.index].owner, reachable, available, now) }
                .toMutableList()
        val moving = layout.all.count { isMoving(it, targets, shards) }
        if (moving < policy.maxMoves && available.isNotEmpty()) chooseMove(targets, shards, controllers, available, plan?.number ?: 0, now)
        val owners = targets.map { it ?: "" }
        return if (plan != null && plan.owners == owners) plan else ShardPlan(owners, (plan?.number ?: 0) + 1)
    }

    private fun isMoving(
        shard: ShardId,
        targets: List<String?>,
        shards: List<ShardView>,
    ): Boolean = shards[shard.index].owner.let { it == null || it != targets[shard.index] }

    /** The controller that is to own [shard] if no new move is chosen. */
    private fun currentTarget(
        shard: ShardId,
        planned: String?,
        owner: String?,
        reachable: Set<String>,
        available: List<String>,
        now: Instant,
    ): String? {
        if (owner == null) {
            movingSince.remove(shard)
            return planned?.takeIf { it in available } ?: RendezvousHash.choose(shard, available) ?: planned
        }
        if (planned == null || planned == owner) {
            movingSince.remove(shard)
            return owner
        }
        val since = movingSince.getOrPut(shard) { now }
        if (planned in reachable && now - since < policy.moveDeadline) return planned
        movingSince.remove(shard)
        withdrawnMoves++
        return owner
    }

    private fun chooseMove(
        targets: MutableList<String?>,
        shards: List<ShardView>,
        controllers: List<ControllerView>,
        available: List<String>,
        planNumber: Long,
        now: Instant,
    ) {
        val draining = controllers.filter { it.draining }.mapTo(HashSet()) { it.name }
        val loads = HashMap<String, Double>()
        for (name in available) loads[name] = 0.0
        for (shard in layout.all) targets[shard.index]?.let { loads.computeIfPresent(it) { _, sum -> sum + loadOf(shards[shard.index]) } }
        val leastLoaded = available.minWith(compareBy({ loads[it] }, { it }))
        val evacuated = layout.all.firstOrNull { targets[it.index] in draining }
        val moved =
            evacuated ?: nextDrill(planNumber, now)
                ?: rebalanceCandidate(targets, shards, loads, leastLoaded).takeIf { now - lastMoveAt >= policy.moveInterval }
                ?: return
        val target = if (targets[moved.index] != leastLoaded) leastLoaded else available.firstOrNull { it != leastLoaded } ?: return
        targets[moved.index] = target
        lastMoveAt = now
        movingSince[moved] = now
    }

    /** The next shard of a drill. The order follows the plan's number, so that a new coordinator continues where the last one was. */
    private fun nextDrill(
        planNumber: Long,
        now: Instant,
    ): ShardId? {
        val interval = policy.drillInterval ?: return null
        if (now - lastDrillAt < interval) return null
        lastDrillAt = now
        return layout.all[(planNumber % layout.count).toInt()]
    }

    /** The shard whose move from the most loaded controller to [leastLoaded] balances them best; null if no move is worth it. */
    private fun rebalanceCandidate(
        targets: List<String?>,
        shards: List<ShardView>,
        loads: Map<String, Double>,
        leastLoaded: String,
    ): ShardId? {
        val mostLoaded = loads.keys.maxWith(compareBy({ loads[it] }, { it }))
        val gap = loads.getValue(mostLoaded) - loads.getValue(leastLoaded)
        val mean = loads.values.sum() / loads.size
        if (gap <= maxOf(mean * IMBALANCE_FRACTION, MIN_IMBALANCE)) return null
        return layout.all
            .filter { targets[it.index] == mostLoaded && loadOf(shards[it.index]) < gap }
            .minByOrNull { abs(gap / 2 - loadOf(shards[it.index])) }
    }

    /** Empty shards count a little too, so that shards are spread before any load arrives. */
    private fun loadOf(shard: ShardView) = shard.load + EMPTY_SHARD_LOAD

    private companion object {
        const val EMPTY_SHARD_LOAD = 1.0

        /** A shard is moved only if two controllers differ by more than this fraction of the mean load. */
        const val IMBALANCE_FRACTION = 0.25

        /** A difference of one empty shard does not justify a move. */
        const val MIN_IMBALANCE = 1.0
    }
}
