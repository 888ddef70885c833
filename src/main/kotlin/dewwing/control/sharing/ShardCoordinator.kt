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

/** Plans the owners of all shards while this controller owns [ShardId.FIRST]. */
class ShardCoordinator(
    private val layout: ShardLayout,
    private val policy: PlannerPolicy,
    private val self: String,
    private val host: SharingHost,
    private val state: StateClient,
    private val elections: List<LeaderElection>,
    private val latestSnapshot: () -> ShardSnapshot?,
) {
    private val log = LoggerFactory.getLogger("sharing")

    /** Runs until cancelled. */
    suspend fun run() {
        var planner: ShardPlanner? = null
        while (true) {
            delay(PLAN_INTERVAL_MS)
            val leader = elections.first().localLeader
            if (leader?.scheduler == null) {
                planner = null
                continue
            }
            val current = planner ?: ShardPlanner(layout, policy).also { planner = it }
            try {
                updatePlan(current, leader.guards)
            } catch (e: IOException) {
                log.debug("could not write the shard plan: {}", e.message)
            }
        }
    }

    private suspend fun updatePlan(
        planner: ShardPlanner,
        guards: List<Pair<String, Revision>>,
    ) {
        val snapshot = latestSnapshot() ?: return
        val peers = host.sharingPeers().filter { it.knowsShardingEnabled }
        val controllers =
            peers.filter { it.reachesState }.map { ControllerView(it.name, it.status.draining) } + ControllerView(self, host.isDraining)
        val shards = layout.all.map { shard -> snapshot.term(shard).holderName.let { ShardView(it, loadOf(shard, it, peers)) } }
        val next = planner.next(snapshot.plan, shards, controllers, host.now())
        if (next == snapshot.plan) return
        log.info("writing shard plan {} with owners {}", next.number, next.owners)
        state.commit(StateChange(guards + (SharingKeys.PLAN to snapshot.planRevision), listOf(SharingKeys.PLAN to next.toValue())))
    }

    private fun loadOf(
        shard: ShardId,
        owner: String?,
        peers: List<SharingPeer>,
    ): Double {
        val ownLoad = elections[shard.index].localLeader?.scheduler?.load()
        val reportedLoad =
            peers
                .firstOrNull { it.name == owner }
                ?.status
                ?.shards
                ?.getOrNull(shard.index)
                ?.load
        return (ownLoad ?: reportedLoad ?: 0).toDouble()
    }

    private companion object {
        const val PLAN_INTERVAL_MS = 1_000L
    }
}
