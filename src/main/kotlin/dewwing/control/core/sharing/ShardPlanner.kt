package dewwing.control.core.sharing

import dewwing.protocol.Duration
import dewwing.protocol.Instant
import kotlin.math.abs

/** What the coordinator knows of one shard. */
data class ShardView(
    /** Its present owner, as the state service names it; null while it has none. */
    val owner: String?,
    /** Machines and running tasks, as its owner counts them. */
    val load: Double,
)

/** What the coordinator knows of one controller that may own shards. */
data class ControllerView(
    val name: String,
    /** To be emptied: it is about to be stopped. */
    val draining: Boolean,
)

/** How eagerly shards are moved. */
data class PlannerPolicy(
    /** Least time between two moves that only even out load. */
    val moveInterval: Duration = Duration(30_000),
    /** A move that has not come about by then is withdrawn. */
    val moveDeadline: Duration = Duration(60_000),
    val maxMoves: Int = 1,
    /** Moves a shard in turn whatever the load, so that operators can watch it work; null: never. */
    val drillInterval: Duration? = null,
)

/**
 * Decides which controller is to own each shard.
 *
 * A shard stays where it is unless its owner is gone, is to be emptied, or carries so much more than another that
 * moving the shard evens that out. No shard is moved while the plan before is still being carried out, and none to a
 * controller that is not heard.
 */
class ShardPlanner(
    private val layout: ShardLayout,
    private val policy: PlannerPolicy,
) {
    private var lastMoveAt = Instant.DISTANT_PAST
    private var lastDrillAt = Instant.DISTANT_PAST
    private val movingSince = HashMap<ShardId, Instant>()

    /** Moves that were withdrawn, for the metrics. */
    var withdrawn = 0
        private set

    /** The next plan; equal to [plan] if nothing is to change. */
    fun next(
        plan: ShardPlan?,
        shards: List<ShardView>,
        controllers: List<ControllerView>,
        now: Instant,
    ): ShardPlan {
        val able = controllers.filter { !it.draining }.map { it.name }
        val heard = controllers.mapTo(HashSet()) { it.name }
        val targets = layout.all.map { target(it, plan?.ownerOf(it), shards[it.index].owner, heard, able, now) }.toMutableList()
        val moving = layout.all.count { isMoving(it, targets, shards) }
        if (moving < policy.maxMoves && able.isNotEmpty()) chooseMove(targets, shards, controllers, able, plan?.number ?: 0, now)
        val owners = targets.map { it ?: "" }
        return if (plan != null && plan.owners == owners) plan else ShardPlan(owners, (plan?.number ?: 0) + 1)
    }

    private fun isMoving(
        shard: ShardId,
        targets: List<String?>,
        shards: List<ShardView>,
    ): Boolean = shards[shard.index].owner.let { it == null || it != targets[shard.index] }

    /** Where [shard] is to be if nothing new is decided. */
    private fun target(
        shard: ShardId,
        planned: String?,
        owner: String?,
        heard: Set<String>,
        able: List<String>,
        now: Instant,
    ): String? {
        if (owner == null) {
            movingSince.remove(shard)
            return planned?.takeIf { it in able } ?: Rendezvous.choose(shard, able) ?: planned
        }
        if (planned == null || planned == owner) {
            movingSince.remove(shard)
            return owner
        }
        val since = movingSince.getOrPut(shard) { now }
        if (planned in heard && now - since < policy.moveDeadline) return planned
        movingSince.remove(shard)
        withdrawn++
        return owner
    }

    private fun chooseMove(
        targets: MutableList<String?>,
        shards: List<ShardView>,
        controllers: List<ControllerView>,
        able: List<String>,
        planNumber: Long,
        now: Instant,
    ) {
        val drained = controllers.filter { it.draining }.mapTo(HashSet()) { it.name }
        val load = HashMap<String, Double>()
        for (name in able) load[name] = 0.0
        for (shard in layout.all) targets[shard.index]?.let { load.computeIfPresent(it) { _, sum -> sum + weight(shards[shard.index]) } }
        val lightest = able.minWith(compareBy({ load[it] }, { it }))
        val emptied = layout.all.firstOrNull { targets[it.index] in drained }
        val moved =
            emptied ?: drilled(planNumber, now)
                ?: evened(targets, shards, load, lightest).takeIf { now - lastMoveAt >= policy.moveInterval }
                ?: return
        val to = if (targets[moved.index] != lightest) lightest else able.firstOrNull { it != lightest } ?: return
        targets[moved.index] = to
        lastMoveAt = now
        movingSince[moved] = now
    }

    /** In turn, by the plan's number: a coordinator that has just taken over goes on where the last one was. */
    private fun drilled(
        planNumber: Long,
        now: Instant,
    ): ShardId? {
        val interval = policy.drillInterval ?: return null
        if (now - lastDrillAt < interval) return null
        lastDrillAt = now
        return layout.all[(planNumber % layout.count).toInt()]
    }

    /** The shard whose move from the fullest controller to [lightest] evens out most, if that is worth a move at all. */
    private fun evened(
        targets: List<String?>,
        shards: List<ShardView>,
        load: Map<String, Double>,
        lightest: String,
    ): ShardId? {
        val fullest = load.keys.maxWith(compareBy({ load[it] }, { it }))
        val gap = load.getValue(fullest) - load.getValue(lightest)
        val mean = load.values.sum() / load.size
        if (gap <= maxOf(mean * UNEVEN_SHARE, UNEVEN_LEAST)) return null
        return layout.all
            .filter { targets[it.index] == fullest && weight(shards[it.index]) < gap }
            .minByOrNull { abs(gap / 2 - weight(shards[it.index])) }
    }

    /** An empty shard counts a little, so that they are spread before any load comes. */
    private fun weight(shard: ShardView) = shard.load + EMPTY_SHARD

    private companion object {
        const val EMPTY_SHARD = 1.0

        /** Of the mean load, what one controller must carry more than another before a shard is moved. */
        const val UNEVEN_SHARE = 0.25

        /** One empty shard more is no reason. */
        const val UNEVEN_LEAST = 1.0
    }
}
