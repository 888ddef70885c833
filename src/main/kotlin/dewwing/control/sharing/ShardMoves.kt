package dewwing.control.sharing

import dewwing.control.app.Leader
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
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/** What [ShardMoves] needs to know about the cluster. */
interface ClusterView {
    fun now(): Instant

    val plan: ShardPlan?

    /** Other controllers that can take over a shard now. */
    fun availablePeers(): List<String>

    /** Whether [peer] is known to take shards that are offered to it. */
    fun takesOffers(peer: String): Boolean
}

/** This controller's side of shard moves: hands its shards off according to the plan, and measures how long take-overs take. */
class ShardMoves(
    private val self: String,
    private val startConfirmTimeout: Duration,
    private val gangTimeout: Duration,
    private val view: ClusterView,
    private val metrics: Metrics,
    private val tracing: MoveTracing?,
) {
    private val log = LoggerFactory.getLogger("sharing")
    private val handOffs = HashMap<ShardId, HandOff>()
    private val traces = HashMap<ShardId, MoveTracing.MoveTrace>()
    private val offers = HashMap<ShardId, SuccessionOffer>()
    private val electedAt = HashMap<ShardId, Instant>()

    /** This controller was elected to own [shard], which it can hand off by [offer]. */
    fun onElected(
        shard: ShardId,
        offer: SuccessionOffer,
    ) {
        handOffs[shard] = HandOff(self, startConfirmTimeout, gangTimeout)
        offers[shard] = offer
        electedAt[shard] = view.now()
        startTrace(shard, MoveTracing.TAKE_OVER, self, MoveTracing.REBUILD)
    }

    /** The new owner of [shard] has rebuilt its state. */
    fun onRebuilt(shard: ShardId) {
        traces[shard]?.startPhase(MoveTracing.FIRST_REPORT)
    }

    /** The first report that a new owner answers completes the take-over. */
    fun onReportAnswered(shard: ShardId) {
        electedAt.remove(shard)?.let { metrics.recordShardTakeover(view.now() - it) } ?: return
        traces.remove(shard)?.end()
    }

    /** The term in which this controller owned [election]'s shard has ended. */
    fun onTermEnded(election: LeaderElection) {
        val shard = election.shard ?: return
        val handOff = handOffs.remove(shard) ?: return
        offers.remove(shard)
        electedAt.remove(shard)
        val trace = traces.remove(shard)
        if (handOff.phase != HandOffPhase.RELEASED) {
            trace?.fail("the term ended")
            return
        }
        trace?.end()
        metrics.countShardMove("ended")
        // Workers that report before the new owner is elected are redirected to it already.
        handOff.target?.let(election::expectLeader)
    }

    /** Hands off [election]'s shard whenever the plan names another owner; runs until cancelled. */
    suspend fun run(election: LeaderElection) {
        val shard = election.shard ?: return
        while (true) {
            delay(ADVANCE_INTERVAL_MS)
            val leader = election.localLeader
            val scheduler = leader?.scheduler ?: continue
            val handOff = handOffs[shard] ?: continue
            if (leader.hasEnded) continue
            if (handOff.phase != HandOffPhase.RELEASED) advance(shard, handOff, scheduler)
            if (handOff.phase == HandOffPhase.RELEASED) release(election, shard, leader, handOff)
        }
    }

    /** Returns when the target owns the shard, the release is withdrawn, or the term has ended. */
    private suspend fun release(
        election: LeaderElection,
        shard: ShardId,
        leader: Leader,
        handOff: HandOff,
    ) {
        val target = handOff.target ?: return
        val offer = offers[shard] ?: return
        traces[shard]?.startPhase(MoveTracing.RELEASE)
        if (awaitAnnouncement(target)) {
            leader.pauseRounds()
            if (election.localLeader === leader && canTake(shard, target)) {
                offerUntilTaken(election, shard, leader, target, offer)
            }
            leader.resumeRounds()
        } else if (canTake(shard, target)) {
            log.info("shard {}: {} takes no offers; the shard has no owner until it is elected", shard, target)
            leader.stepDown("shard $shard moves to $target")
        }
        if (election.localLeader !== leader || leader.hasEnded) return
        handOff.withdrawRelease()
        onHandOffWithdrawn(shard, handOff.failure?.name ?: "")
    }

    /** Whether [target] takes offers. A controller that has just been started may not have announced it yet. */
    private suspend fun awaitAnnouncement(target: String): Boolean =
        withTimeoutOrNull(MAX_ANNOUNCEMENT_WAIT_MS) {
            while (!view.takesOffers(target)) delay(ADVANCE_INTERVAL_MS)
            true
        } ?: false

    private fun canTake(
        shard: ShardId,
        target: String,
    ) = view.plan?.ownerOf(shard) == target && target in view.availablePeers()

    /** Offers the shard to [target]. Returns when the term has ended, or when the offer is withdrawn and cannot be taken any more. */
    private suspend fun offerUntilTaken(
        election: LeaderElection,
        shard: ShardId,
        leader: Leader,
        target: String,
        offer: SuccessionOffer,
    ) {
        log.info("shard {}: offered to {}; until it is elected, this controller only renews worker leases", shard, target)
        election.leadership.offerSuccession(view.now())
        val deadline = view.now() + MAX_OFFER_TIME
        var wanted: String? = target
        while (election.localLeader === leader && !leader.hasEnded) {
            if (view.now() >= deadline || !canTake(shard, target)) wanted = null
            val outcome = offer.update(wanted)
            if (outcome == OfferOutcome.SUPERSEDED) {
                leader.stepDown("shard $shard has another holder; it was offered to $target")
                return
            }
            if (outcome == OfferOutcome.RECORDED && wanted == null) {
                election.leadership.successionWithdrawn()
                return
            }
            delay(ADVANCE_INTERVAL_MS)
        }
    }

    private fun advance(
        shard: ShardId,
        handOff: HandOff,
        scheduler: Scheduler,
    ) {
        val before = handOff.phase
        val planned = view.plan?.ownerOf(shard)
        val mustMove = planned != null && planned != self
        val unconfirmed = if (mustMove) scheduler.unconfirmedStarts() else NONE_UNCONFIRMED
        handOff.advance(planned, mustMove && planned in view.availablePeers(), unconfirmed, view.now())
        scheduler.placementPaused = !handOff.mayPlaceTasks
        if (before == HandOffPhase.NONE && !handOff.mayPlaceTasks) onHandOffBegun(shard, handOff.target ?: "")
        if (before == HandOffPhase.DRAINING && handOff.mayPlaceTasks) {
            onHandOffWithdrawn(shard, handOff.failure?.name ?: "the plan has changed")
        }
    }

    private fun onHandOffBegun(
        shard: ShardId,
        target: String,
    ) {
        log.info("shard {}: hand-off to {} started", shard, target)
        metrics.countShardMove("begun")
        startTrace(shard, MoveTracing.HAND_OFF, target, MoveTracing.DRAIN)
    }

    private fun onHandOffWithdrawn(
        shard: ShardId,
        reason: String,
    ) {
        log.info("shard {}: hand-off withdrawn: {}", shard, reason)
        metrics.countShardMove("withdrawn")
        traces.remove(shard)?.fail(reason)
    }

    private fun startTrace(
        shard: ShardId,
        name: String,
        peer: String,
        phase: String,
    ) {
        val trace = tracing?.begin(name, shard, view.plan?.number ?: 0, peer) ?: return
        trace.startPhase(phase)
        traces.put(shard, trace)?.fail("overtaken")
    }

    private companion object {
        const val ADVANCE_INTERVAL_MS = 200L
        const val MAX_ANNOUNCEMENT_WAIT_MS = 3_000L

        /** A target reads the shard records several times a second. */
        val MAX_OFFER_TIME = Duration(5_000)
        val NONE_UNCONFIRMED = UnconfirmedStarts(0, 0)
    }
}
