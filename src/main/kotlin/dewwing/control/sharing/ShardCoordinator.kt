package dewwing.control.sharing

import dewwing.control.app.LeaderElection
import dewwing.control.core.StateChange
import dewwing.control.core.sharing.ControllerView
import dewwing.control.core.sharing.PlannerPolicy
import dewwing.control.core.sharing.ShardId
import dewwing.control.core.sharing.ShardLayout
import dewwing.control.core.sharing.ShardPlanner
import dewwing.control.core.sharing.ShardView
import dewwing.control.core.sharing.SharingKeys
import dewwing.control.state.StateClient
import dewwing.protocol.Revision
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.io.IOException

/** Decides where all shards are to be, while this controller owns the first of them. */
class ShardCoordinator(
    private val layout: ShardLayout,
    private val policy: PlannerPolicy,
    private val self: String,
    private val host: SharingHost,
    private val state: StateClient,
    private val elections: List<LeaderElection>,
    private val board: () -> ShardBoard?,
) {
    private val log = LoggerFactory.getLogger("sharing")

    /** Until cancelled. */
    suspend fun run() {
        var planner: ShardPlanner? = null
        while (true) {
            delay(PLAN_EVERY_MS)
            val leader = elections.first().localLeader
            if (leader?.scheduler == null) {
                planner = null
                continue
            }
            val current = planner ?: ShardPlanner(layout, policy).also { planner = it }
            try {
                plan(current, leader.guards)
            } catch (e: IOException) {
                log.debug("plan not written: {}", e.message)
            }
        }
    }

    private suspend fun plan(
        planner: ShardPlanner,
        guards: List<Pair<String, Revision>>,
    ) {
        val board = board() ?: return
        val peers = host.sharingPeers().filter { it.isSharing }
        val controllers =
            peers.filter { it.reachesState }.map { ControllerView(it.name, it.status.draining) } + ControllerView(self, host.isDraining)
        val shards = layout.all.map { shard -> board.term(shard).holderName.let { ShardView(it, load(shard, it, peers)) } }
        val next = planner.next(board.plan, shards, controllers, host.now())
        if (next == board.plan) return
        log.info("plan {}: {}", next.number, next.owners)
        state.commit(StateChange(guards + (SharingKeys.PLAN to board.planRevision), listOf(SharingKeys.PLAN to next.toValue())))
    }

    private fun load(
        shard: ShardId,
        owner: String?,
        peers: List<SharingPeer>,
    ): Double {
        val own = elections[shard.index].localLeader?.scheduler?.load()
        val told =
            peers
                .firstOrNull { it.name == owner }
                ?.status
                ?.shards
                ?.getOrNull(shard.index)
                ?.load
        return (own ?: told ?: 0).toDouble()
    }

    private companion object {
        const val PLAN_EVERY_MS = 1_000L
    }
}
