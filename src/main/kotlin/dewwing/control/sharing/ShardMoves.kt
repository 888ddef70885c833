package dewwing.control.sharing

import dewwing.control.app.LeaderElection
import dewwing.control.app.Metrics
import dewwing.control.core.Scheduler
import dewwing.control.core.sharing.HandOff
import dewwing.control.core.sharing.HandOffPhase
import dewwing.control.core.sharing.ShardId
import dewwing.control.core.sharing.ShardPlan
import dewwing.control.core.sharing.UnconfirmedStarts
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/** What [ShardMoves] needs to know of the others. */
interface MoveView {
    fun now(): Instant

    val plan: ShardPlan?

    /** Other controllers that could take a shard now. */
    fun ableOthers(): List<String>
}

/** This controller's side of moves: hands its shards over as the plan says, and tells how long taking one over takes. */
class ShardMoves(
    private val self: String,
    private val settleWithin: Duration,
    private val gangWithin: Duration,
    private val view: MoveView,
    private val metrics: Metrics,
    private val tracing: MoveTracing?,
) {
    private val log = LoggerFactory.getLogger("sharing")
    private val handOffs = HashMap<ShardId, HandOff>()
    private val traces = HashMap<ShardId, MoveTracing.Move>()
    private val takenAt = HashMap<ShardId, Instant>()

    /** This controller was elected to own [shard]. */
    fun elected(shard: ShardId) {
        handOffs[shard] = HandOff(self, settleWithin, gangWithin)
        takenAt[shard] = view.now()
        trace(shard, MoveTracing.TAKE_OVER, self, MoveTracing.REBUILD)
    }

    fun rebuilt(shard: ShardId) {
        traces[shard]?.phase(MoveTracing.FIRST_REPORT)
    }

    /** The first answer of a new owner ends the take-over. */
    fun reportAnswered(shard: ShardId) {
        takenAt.remove(shard)?.let { metrics.recordShardTakeover(view.now() - it) } ?: return
        traces.remove(shard)?.end()
    }

    /** The term in which this controller owned [election]'s shard is over. */
    fun termOver(election: LeaderElection) {
        val shard = election.shard ?: return
        val handOff = handOffs.remove(shard) ?: return
        takenAt.remove(shard)
        val trace = traces.remove(shard)
        if (handOff.phase != HandOffPhase.RELEASED) {
            trace?.fail("the term ended")
            return
        }
        trace?.end()
        metrics.countShardMove("ended")
        // Workers that ask before it is elected are to go there already.
        handOff.target?.let(election::expectLeader)
    }

    /** Hands [election]'s shard over whenever the plan says so; until cancelled. */
    suspend fun run(election: LeaderElection) {
        val shard = election.shard ?: return
        while (true) {
            delay(TICK_MS)
            val leader = election.localLeader
            val scheduler = leader?.scheduler ?: continue
            val handOff = handOffs[shard] ?: continue
            if (handOff.phase == HandOffPhase.RELEASED) continue
            advance(shard, handOff, scheduler)
            if (handOff.phase != HandOffPhase.RELEASED) continue
            traces[shard]?.phase(MoveTracing.RELEASE)
            leader.handOver("shard $shard moves to ${handOff.target}")
        }
    }

    private fun advance(
        shard: ShardId,
        handOff: HandOff,
        scheduler: Scheduler,
    ) {
        val before = handOff.phase
        val planned = view.plan?.ownerOf(shard)
        val isToMove = planned != null && planned != self
        val unsettled = if (isToMove) scheduler.unconfirmedStarts() else SETTLED
        handOff.advance(planned, isToMove && planned in view.ableOthers(), unsettled, view.now())
        scheduler.placementPaused = !handOff.mayStart
        if (before == HandOffPhase.NONE && !handOff.mayStart) began(shard, handOff.target ?: "")
        if (before == HandOffPhase.DRAINING && handOff.mayStart) withdrawn(shard, handOff.failure?.name ?: "the plan has changed")
    }

    private fun began(
        shard: ShardId,
        target: String,
    ) {
        log.info("shard {}: hand-over to {} begins", shard, target)
        metrics.countShardMove("begun")
        trace(shard, MoveTracing.HAND_OFF, target, MoveTracing.DRAIN)
    }

    private fun withdrawn(
        shard: ShardId,
        reason: String,
    ) {
        log.info("shard {}: its hand-over is withdrawn: {}", shard, reason)
        metrics.countShardMove("withdrawn")
        traces.remove(shard)?.fail(reason)
    }

    private fun trace(
        shard: ShardId,
        name: String,
        peer: String,
        phase: String,
    ) {
        val move = tracing?.begin(name, shard, view.plan?.number ?: 0, peer) ?: return
        move.phase(phase)
        traces.put(shard, move)?.fail("overtaken")
    }

    private companion object {
        const val TICK_MS = 200L
        val SETTLED = UnconfirmedStarts(0, 0)
    }
}
