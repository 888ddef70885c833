package dewwing.control.sharing

import dewwing.control.app.Candidacy
import dewwing.control.app.ElectedTerm
import dewwing.control.app.Leader
import dewwing.control.app.LeaderElection
import dewwing.control.app.Metrics
import dewwing.control.app.ObservedTerm
import dewwing.control.core.Scheduler
import dewwing.control.core.intent.Keys
import dewwing.control.core.leadership.Leadership
import dewwing.control.core.leadership.LeadershipTimes
import dewwing.control.core.sharing.MachineClaim
import dewwing.control.core.sharing.MachineDirectory
import dewwing.control.core.sharing.RendezvousHash
import dewwing.control.core.sharing.SchedulerScope
import dewwing.control.core.sharing.ShardId
import dewwing.control.core.sharing.ShardLookup
import dewwing.control.core.sharing.ShardPlan
import dewwing.control.core.sharing.SharingKeys
import dewwing.control.core.sharing.SharingMarker
import dewwing.control.peer.ShardStatus
import dewwing.control.peer.SharingStatus
import dewwing.control.state.StateClient
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.MachineId
import dewwing.protocol.MalformedException
import dewwing.protocol.Revision
import dewwing.protocol.Settings
import dewwing.protocol.Wire
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException

/** Another controller that may own shards, as its last heartbeat has it. */
class SharingPeer(
    val name: String,
    val reachesState: Boolean,
    val status: SharingStatus,
) {
    /** It has seen that shards have owners of their own. */
    val isSharing: Boolean get() = status.shards.isNotEmpty()
}

/** Who answers a machine's reports. */
sealed interface ReportRoute {
    /** Whoever leads here. */
    class Owner(
        val election: LeaderElection,
    ) : ReportRoute

    /**
     * It is not known yet whose machine it is: perhaps [name] can tell. Its token says nothing about anybody's shard
     * then: taken for one of the first shard's, it would depose that shard's owner.
     */
    class Elsewhere(
        val name: String?,
    ) : ReportRoute
}

/** What [ShardedControl] needs of the controller round it. */
interface SharingHost {
    fun now(): Instant

    /** Siblings that were heard lately and may own shards. */
    fun sharingPeers(): List<SharingPeer>

    /** This controller is to be emptied: it is about to stop. */
    val isDraining: Boolean

    /** A leader for one term of a shard. */
    fun newShardLeader(
        elected: ElectedTerm,
        leadership: Leadership,
        scope: SchedulerScope,
        ownsMachine: (Scheduler, MachineId) -> Boolean,
        beforeDeciding: suspend (Scheduler) -> Unit,
    ): Leader
}

/**
 * This controller's part in the time during which shards have owners of their own: it stands for election to shards,
 * hands them over as the plan says, and makes the plan while it owns [ShardId.FIRST].
 */
class ShardedControl(
    private val marker: SharingMarker,
    private val settings: Settings,
    private val options: SharingOptions,
    holdTtl: Duration,
    times: LeadershipTimes,
    private val state: StateClient,
    private val host: SharingHost,
    metrics: Metrics,
    tracing: MoveTracing?,
) : MoveView {
    private val log = LoggerFactory.getLogger("sharing")
    private val layout = marker.layout
    private val self = settings.node
    private val peerNames = settings.siblings.mapTo(HashSet()) { it.name }
    private val directory = MachineDirectory()
    private val boards = MutableStateFlow<ShardBoard?>(null)

    /** One of each shard, in their order. */
    val elections: List<LeaderElection> =
        layout.all.map { shard ->
            LeaderElection(shard, self, Leadership(times, peerNames), state, holdTtl, host::now, ::newLeader)
        }
    private val moves = ShardMoves(self, options.settleWithin, settings.workers.gangWait, this, metrics, tracing)
    private val coordinator = ShardCoordinator(layout, options.planner, self, host, state, elections) { boards.value }
    private val absentSince = HashMap<ShardId, Instant>()

    /** Conditions of what only the present time of sharing may change. */
    val markerCondition: Pair<String, Revision> = Keys.HOLDER to marker.revision

    fun shardOf(job: JobRef): ShardId = layout.shardOf(job)

    fun electionOf(shard: ShardId): LeaderElection = elections[if (shard.index < elections.size) shard.index else 0]

    /** Where the reports of [machine] belong. */
    fun routeOf(machine: MachineId): ReportRoute {
        val home = directory.findShard(machine, host.now())
        if (home is ShardLookup.Resolved) return ReportRoute.Owner(electionOf(home.shard))
        // Whoever has it in its records or rented it need not wait for what other rentals bring.
        val knowing = elections.firstOrNull { it.localLeader?.scheduler?.knowsMachine(machine) == true }
        return if (knowing != null) ReportRoute.Owner(knowing) else ReportRoute.Elsewhere(elections.first().otherLeader())
    }

    /** For the heartbeats. */
    fun status(): SharingStatus =
        SharingStatus(
            host.isDraining,
            elections.map { election ->
                val leader = election.leaderName?.takeIf { election.knowsLeaderFirstHand } ?: ""
                ShardStatus(election.leadership.highestTerm, leader, election.localLeader?.scheduler?.load() ?: 0)
            },
        )

    /** Returns when sharing is over. */
    suspend fun run(): Unit =
        coroutineScope {
            log.info("sharing is on: {} shards", layout.count)
            val work =
                launch {
                    launch { ClaimWatch(state, directory, host::now).run() }
                    launch { readBoards() }
                    launch { coordinator.run() }
                    launch { adjustAllotments() }
                    for (election in elections) {
                        launch { campaign(election) }
                        launch { moves.run(election) }
                    }
                }
            awaitEnd()
            work.cancel()
            log.info("sharing is off")
        }

    private suspend fun awaitEnd() {
        while (true) {
            delay(MARKER_POLL_MS)
            try {
                val entry = state.get(Keys.HOLDER)
                if (SharingMarker.of(entry?.value, entry?.revision ?: Revision.ABSENT) != marker) return
            } catch (e: IOException) {
                log.debug("marker not read: {}", e.message)
            }
        }
    }

    // ---- elections -------------------------------------------------------------------------------------------

    private suspend fun readBoards() {
        while (true) {
            try {
                boards.value = readBoard()
            } catch (e: IOException) {
                log.debug("shards not read: {}", e.message)
            }
            delay(BOARD_POLL_MS)
        }
    }

    private suspend fun readBoard(): ShardBoard {
        val entries = ArrayList<Wire.Entry>()
        val asked = host.now()
        state.list(SharingKeys.PREFIX, BOARD_READ_MS) { entries.addAll(it) }
        return ShardBoard(entries, asked)
    }

    private suspend fun campaign(election: LeaderElection) {
        var after = Instant.DISTANT_PAST
        while (true) {
            val board = boards.filterNotNull().first { it.askedAt > after }
            after = board.askedAt
            try {
                // A board from before the end of the own term would name this controller.
                if (consider(election, board)) after = host.now()
            } catch (e: IOException) {
                log.debug("shard {}: {}", election.shard, e.message)
            }
        }
    }

    /** True when a term was led meanwhile. */
    private suspend fun consider(
        election: LeaderElection,
        board: ShardBoard,
    ): Boolean {
        val shard = election.shard ?: return false
        val seen = board.term(shard)
        election.leadership.observeTerm(seen.term)
        if (seen.holder == null) {
            val since = absentSince.getOrPut(shard) { host.now() }
            election.onNoLeaderRead()
            if (!mayStand(election, shard, board, host.now() - since)) return false
            val elected = election.runForElection(candidacy(shard, board, seen)) { readBoard().term(shard) } ?: return false
            absentSince.remove(shard)
            election.lead(elected)
            allotments.remove(shard)
            moves.termOver(election)
            return true
        }
        absentSince.remove(shard)
        if (seen.holderName == self) election.releaseStaleOwnLease(seen) else election.onLeaderRead(seen.holderName)
        return false
    }

    /** The planned owner goes first, then the one that the shard falls to by its weight, then anybody. */
    private fun mayStand(
        election: LeaderElection,
        shard: ShardId,
        board: ShardBoard,
        absentFor: Duration,
    ): Boolean {
        if (election.mustBackOff) return false
        val others = ableOthers()
        if (host.isDraining && others.isNotEmpty()) return false
        val planned = board.plan?.ownerOf(shard)
        if (planned == self) return true
        if (planned in others) {
            planned?.let(election::expectLeader)
            return absentFor > PLANNED_WAIT
        }
        return RendezvousHash.choose(shard, others + self) == self || absentFor > PLANNED_WAIT
    }

    override fun now(): Instant = host.now()

    override val plan: ShardPlan? get() = boards.value?.plan

    override fun ableOthers(): List<String> =
        host.sharingPeers().filter { it.isSharing && it.reachesState && !it.status.draining }.map { it.name }

    /** The owner of a shard has answered a report. */
    fun reportAnswered(shard: ShardId) = moves.reportAnswered(shard)

    /** Tokens come from one counter, so that on each machine they only rise, whoever owned it before. */
    private fun candidacy(
        shard: ShardId,
        board: ShardBoard,
        seen: ObservedTerm,
    ): Candidacy {
        val term = maxOf(board.highestToken, seen.term).next()
        return Candidacy(
            term = term,
            conditions =
                listOf(
                    SharingKeys.COUNTER to board.counterRevision,
                    SharingKeys.term(shard) to seen.revision,
                    SharingKeys.holder(shard) to Revision.ABSENT,
                    markerCondition,
                ),
            puts = { hold ->
                listOf(
                    SharingKeys.COUNTER to ObservedTerm.termValue(term, self),
                    SharingKeys.term(shard) to ObservedTerm.termValue(term, self),
                    SharingKeys.holder(shard) to ObservedTerm.holderValue(term, self, hold),
                )
            },
            holderKey = SharingKeys.holder(shard),
            predecessorReady = seen.ready,
        )
    }

    private fun newLeader(
        election: LeaderElection,
        elected: ElectedTerm,
    ): Leader {
        val shard = election.shard ?: ShardId.FIRST
        val scope = SchedulerScope.of(shard, elected.revision, marker)
        moves.elected(shard)
        return host.newShardLeader(elected, election.leadership, scope, { s, machine -> owns(shard, s, machine) }) { scheduler ->
            beforeDeciding(shard, scope, scheduler)
        }
    }

    private fun owns(
        shard: ShardId,
        scheduler: Scheduler,
        machine: MachineId,
    ): Boolean {
        if (scheduler.knowsMachine(machine)) return true
        directory.claimingShard(machine)?.let { return it == shard }
        return shard == ShardId.FIRST && directory.findShard(machine, host.now()) == ShardLookup.Resolved(ShardId.FIRST)
    }

    private val allotments = HashMap<ShardId, AllotmentLoop>()

    private suspend fun beforeDeciding(
        shard: ShardId,
        scope: SchedulerScope,
        scheduler: Scheduler,
    ) {
        state.list(SharingKeys.claimsPrefix(shard)) { page -> page.forEach { restoreClaim(scheduler, it) } }
        val loop = AllotmentLoop(shard, layout, settings.teams, scheduler, scope, state, host::now)
        loop.start()
        allotments[shard] = loop
        moves.rebuilt(shard)
    }

    private fun restoreClaim(
        scheduler: Scheduler,
        entry: Wire.Entry,
    ) {
        try {
            entry.value?.let { scheduler.restoreClaim(entry.key, MachineClaim.of(it)) }
        } catch (e: MalformedException) {
            log.error("claim {} cannot be read: {}", entry.key, e.message)
        }
    }

    /** Moves each of this controller's shards' part of team limits with the demand; until cancelled. */
    private suspend fun adjustAllotments() {
        while (true) {
            delay(AllotmentLoop.EVERY_MS)
            for (election in elections) adjust(election)
        }
    }

    private suspend fun adjust(election: LeaderElection) {
        val loop = election.shard?.let { allotments[it] } ?: return
        if (election.localLeader == null) return
        try {
            loop.adjust()
        } catch (e: IOException) {
            log.debug("shard {}: allotments not adjusted: {}", election.shard, e.message)
        }
    }

    private companion object {
        const val BOARD_POLL_MS = 400L
        const val BOARD_READ_MS = 1_000L
        const val MARKER_POLL_MS = 2_000L

        /** The planned owner, or the one that the shard falls to, has this long for its election. */
        val PLANNED_WAIT = Duration(2_500)
    }
}
