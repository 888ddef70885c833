package dewwing.control.sharing

import dewwing.control.app.Candidacy
import dewwing.control.app.ElectedTerm
import dewwing.control.app.Leader
import dewwing.control.app.LeaderElection
import dewwing.control.app.Metrics
import dewwing.control.app.ObservedTerm
import dewwing.control.core.Scheduler
import dewwing.control.core.StateChange
import dewwing.control.core.intent.Keys
import dewwing.control.core.leadership.CancelledJobs
import dewwing.control.core.leadership.Leadership
import dewwing.control.core.leadership.LeadershipTimes
import dewwing.control.core.sharing.MachineClaim
import dewwing.control.core.sharing.MachineDirectory
import dewwing.control.core.sharing.MemberRecord
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
import dewwing.protocol.Incarnation
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

/** Another controller that may own shards, as of its last heartbeat. */
class SharingPeer(
    val name: String,
    val reachesState: Boolean,
    val incarnation: Incarnation,
    val status: SharingStatus,
) {
    /** It has read that sharding is enabled. */
    val knowsShardingEnabled: Boolean get() = status.shards.isNotEmpty()
}

/** Which controller answers a machine's reports. */
sealed interface ReportRoute {
    /** This controller answers them if it leads in [election]. */
    class Local(
        val election: LeaderElection,
    ) : ReportRoute

    /**
     * The machine's shard is not known here yet; [controller] may know it. The term in its reports must not be used: it may
     * be a term of any shard, and would depose the owner of the first shard if it were taken for a term of that shard.
     */
    class Redirect(
        val controller: String?,
    ) : ReportRoute
}

/** What the single leader, which has enabled sharding, passes on to itself as the owner of [ShardId.FIRST]. */
class SingleLeaderTakeover(
    val elected: ElectedTerm,
    val leadership: Leadership,
    /** Its machines. They belong to [ShardId.FIRST], which this controller cannot read in an outage. */
    val machines: Set<MachineId>,
)

/** What [ShardedControl] needs from the controller that it is part of. */
interface SharingHost {
    fun now(): Instant

    /** Peers with a recent heartbeat that may own shards. */
    fun sharingPeers(): List<SharingPeer>

    /** This run of the controller. */
    val incarnation: Incarnation

    /** This controller is about to stop, and all its shards are to be moved away. */
    val isDraining: Boolean

    /** Creates the leader for one term of a shard. */
    fun newShardLeader(
        elected: ElectedTerm,
        leadership: Leadership,
        scope: SchedulerScope,
        ownsMachine: (Scheduler, MachineId) -> Boolean,
        restoreSharingState: suspend (Scheduler) -> Unit,
    ): Leader
}

/**
 * This controller's role while sharding is enabled: it runs for election as owner of shards, hands them off according to
 * the plan, and makes the plan while it owns [ShardId.FIRST].
 */
class ShardedControl(
    private val marker: SharingMarker,
    private val settings: Settings,
    private val options: SharingOptions,
    stateLeaseTtl: Duration,
    times: LeadershipTimes,
    private val state: StateClient,
    private val host: SharingHost,
    metrics: Metrics,
    tracing: MoveTracing?,
    /** Null unless this controller, as the single leader, has just enabled sharding. */
    private val takeover: SingleLeaderTakeover? = null,
) : ClusterView {
    private val log = LoggerFactory.getLogger("sharing")
    private val layout = marker.layout
    private val self = settings.nodeName
    private val peerNames = settings.peers.mapTo(HashSet()) { it.name }
    private val directory = MachineDirectory()
    private val snapshots = MutableStateFlow<ShardSnapshot?>(null)

    /** One per shard, in the order of the shards. */
    val elections: List<LeaderElection> =
        layout.all.map { shard ->
            LeaderElection(shard, self, Leadership(times, peerNames), state, stateLeaseTtl, host::now, ::newLeader)
        }
    private val moves = ShardMoves(self, options.startConfirmTimeout, settings.workers.gangTimeout, this, metrics, tracing)
    private val coordinator = ShardCoordinator(layout, options.planner, self, host, state, elections) { snapshots.value }
    private val cancelledJobsReader = CancelledJobsReader(state, host::now)
    private val unownedSince = HashMap<ShardId, Instant>()

    /** Condition of writes that must fail once the present period of sharding has ended. */
    val markerCondition: Pair<String, Revision> = Keys.HOLDER to marker.revision

    fun shardOf(job: JobRef): ShardId = layout.shardOf(job)

    fun electionOf(shard: ShardId): LeaderElection = elections[if (shard.index < elections.size) shard.index else 0]

    /** Which controller the reports of [machine] belong to. */
    fun routeOf(machine: MachineId): ReportRoute {
        val lookup = directory.findShard(machine, host.now())
        if (lookup is ShardLookup.Resolved) return ReportRoute.Local(electionOf(lookup.shard))
        // A scheduler that rented the machine or has it in its records need not wait for the answers to other rentals.
        val knowingElection =
            elections.firstOrNull { it.localLeader?.scheduler?.knowsMachine(machine) == true }
                ?: elections.first().takeIf { it.localLeader != null && takeover != null && machine in takeover.machines }
        return if (knowingElection != null) ReportRoute.Local(knowingElection) else ReportRoute.Redirect(elections.first().otherLeader())
    }

    /** Status of the shards for this controller's heartbeats. */
    fun status(): SharingStatus =
        SharingStatus(
            host.isDraining,
            elections.map { election ->
                val leader = election.leaderName?.takeIf { election.knowsLeaderFirstHand } ?: ""
                ShardStatus(election.leadership.highestTerm, leader, election.localLeader?.scheduler?.load() ?: 0)
            },
        )

    /** Returns when the present period of sharding has ended. */
    suspend fun run(): Unit =
        coroutineScope {
            log.info("sharding is enabled with {} shards", layout.count)
            val work =
                launch {
                    launch { ClaimWatch(state, directory, host::now).run() }
                    launch { pollSnapshots() }
                    launch { announceMembership() }
                    launch { coordinator.run() }
                    launch { adjustAllotments() }
                    for (election in elections) {
                        launch { campaign(election) }
                        launch { moves.run(election) }
                    }
                }
            awaitMarkerChange()
            work.cancel()
            log.info("sharding has ended: its marker was removed or replaced")
        }

    private suspend fun awaitMarkerChange() {
        while (true) {
            delay(MARKER_POLL_INTERVAL_MS)
            try {
                val entry = state.get(Keys.HOLDER)
                if (SharingMarker.of(entry?.value, entry?.revision ?: Revision.ABSENT) != marker) return
            } catch (e: IOException) {
                log.debug("could not read the sharding marker: {}", e.message)
            }
        }
    }

    // ---- elections -------------------------------------------------------------------------------------------

    private suspend fun pollSnapshots() {
        while (true) {
            try {
                snapshots.value = readSnapshot()
            } catch (e: IOException) {
                log.debug("could not read the shard records: {}", e.message)
            }
            delay(SNAPSHOT_POLL_INTERVAL_MS)
        }
    }

    private suspend fun readSnapshot(): ShardSnapshot {
        val entries = ArrayList<Wire.Entry>()
        val requestedAt = host.now()
        state.list(SharingKeys.PREFIX, SNAPSHOT_TIMEOUT_MS) { entries.addAll(it) }
        return ShardSnapshot(entries, requestedAt)
    }

    /** Announces that this controller takes shards that are offered to it. */
    private suspend fun announceMembership() {
        val record = MemberRecord(host.incarnation)
        while (true) {
            if (snapshots.filterNotNull().first().member(self) != record) {
                try {
                    state.commit(StateChange(listOf(markerCondition), listOf(SharingKeys.member(self) to record.toValue())))
                } catch (e: IOException) {
                    log.debug("could not write the member record: {}", e.message)
                }
            }
            delay(ANNOUNCEMENT_INTERVAL_MS)
        }
    }

    override fun takesOffers(peer: String): Boolean {
        val incarnation = host.sharingPeers().firstOrNull { it.name == peer }?.incarnation ?: return false
        return snapshots.value?.member(peer) == MemberRecord(incarnation)
    }

    /** The term of [ShardId.FIRST] that began when sharding was enabled. */
    private suspend fun leadFirstShard(takeover: SingleLeaderTakeover) {
        val election = elections.first()
        takeover.elected.cancelledJobs?.let { election.leadership.inheritHeartbeats(takeover.leadership, it.requestedAt) }
        try {
            lead(election, ShardId.FIRST, takeover.elected)
        } catch (e: IOException) {
            log.debug("shard {}: request to the state service failed in the term: {}", election.shard, e.message)
        }
    }

    private suspend fun campaign(election: LeaderElection) {
        var newerThan = Instant.DISTANT_PAST
        if (takeover != null && election.shard == ShardId.FIRST) {
            leadFirstShard(takeover)
            newerThan = host.now()
        }
        while (true) {
            val snapshot = snapshots.filterNotNull().first { it.requestedAt > newerThan }
            newerThan = snapshot.requestedAt
            try {
                // A snapshot requested before the end of the term would still name this controller as the owner.
                if (processSnapshot(election, snapshot)) newerThan = host.now()
            } catch (e: IOException) {
                log.debug("shard {}: request to the state service failed in the election or the term: {}", election.shard, e.message)
            }
        }
    }

    /** Runs for election if the shard has no owner or is offered to this controller; true if it has led a term. */
    private suspend fun processSnapshot(
        election: LeaderElection,
        snapshot: ShardSnapshot,
    ): Boolean {
        val shard = election.shard ?: return false
        val current = snapshot.term(shard)
        election.leadership.observeTerm(current.term)
        if (current.holder == null) {
            val since = unownedSince.getOrPut(shard) { host.now() }
            election.onNoLeaderRead()
            if (!mayRunForElection(election, shard, snapshot, host.now() - since)) return false
            return runForElection(election, shard, candidacy(shard, snapshot, current, cancelledJobs = null))
        }
        unownedSince.remove(shard)
        if (current.holderName == self) {
            val elected = election.resolveCandidacy(current)
            if (elected == null) election.releaseStaleOwnLease(current) else lead(election, shard, elected)
            return elected != null
        }
        election.onLeaderRead(current.holderName)
        if (current.successor != self || election.mustBackOff || host.isDraining) return false
        return runForElection(election, shard, candidacy(shard, snapshot, current, cancelledJobsReader.read()))
    }

    private suspend fun runForElection(
        election: LeaderElection,
        shard: ShardId,
        candidacy: Candidacy,
    ): Boolean {
        val elected = election.runForElection(candidacy) { readSnapshot().term(shard) } ?: return false
        lead(election, shard, elected)
        return true
    }

    /** Returns when the term has ended. */
    private suspend fun lead(
        election: LeaderElection,
        shard: ShardId,
        elected: ElectedTerm,
    ) {
        unownedSince.remove(shard)
        election.lead(elected)
        allotmentAdjusters.remove(shard)
        moves.onTermEnded(election)
    }

    /**
     * Whether this controller may run for election as owner of a shard that has none: the planned owner at once; without an
     * available planned owner, the controller chosen by rendezvous hashing at once; all others after
     * [PREFERRED_CANDIDATE_WAIT].
     */
    private fun mayRunForElection(
        election: LeaderElection,
        shard: ShardId,
        snapshot: ShardSnapshot,
        unownedFor: Duration,
    ): Boolean {
        if (election.mustBackOff) return false
        val peers = availablePeers()
        if (host.isDraining && peers.isNotEmpty()) return false
        val planned = snapshot.plan?.ownerOf(shard)
        if (planned == self) return true
        if (planned in peers) {
            planned?.let(election::expectLeader)
            return unownedFor > PREFERRED_CANDIDATE_WAIT
        }
        return RendezvousHash.choose(shard, peers + self) == self || unownedFor > PREFERRED_CANDIDATE_WAIT
    }

    override fun now(): Instant = host.now()

    override val plan: ShardPlan? get() = snapshots.value?.plan

    override fun availablePeers(): List<String> =
        host.sharingPeers().filter { it.knowsShardingEnabled && it.reachesState && !it.status.draining }.map { it.name }

    /** This controller has answered a report as owner of [shard]. */
    fun onReportAnswered(shard: ShardId) = moves.onReportAnswered(shard)

    /** The terms of all shards come from one counter, so that each machine sees only rising terms, whichever shard it was in before. */
    private fun candidacy(
        shard: ShardId,
        snapshot: ShardSnapshot,
        current: ObservedTerm,
        cancelledJobs: CancelledJobs?,
    ): Candidacy {
        val term = maxOf(snapshot.highestTerm, current.term).next()
        return Candidacy(
            term = term,
            conditions =
                listOf(
                    SharingKeys.COUNTER to snapshot.counterRevision,
                    SharingKeys.term(shard) to current.revision,
                    SharingKeys.holder(shard) to (current.holder?.revision ?: Revision.ABSENT),
                    markerCondition,
                ),
            puts = { lease ->
                listOf(
                    SharingKeys.COUNTER to ObservedTerm.termValue(term, self),
                    SharingKeys.term(shard) to ObservedTerm.termValue(term, self),
                    SharingKeys.holder(shard) to ObservedTerm.holderValue(term, self, lease),
                )
            },
            holderKey = SharingKeys.holder(shard),
            predecessorReady = current.ready,
            cancelledJobs = cancelledJobs,
        )
    }

    private fun newLeader(
        election: LeaderElection,
        elected: ElectedTerm,
    ): Leader {
        val shard = election.shard ?: ShardId.FIRST
        val scope = SchedulerScope.of(shard, elected.revision, marker)
        moves.onElected(shard, SuccessionOffer(shard, self, elected, election.leadership, state, host::now))
        return host.newShardLeader(elected, election.leadership, scope, { s, machine -> owns(shard, s, machine) }) { scheduler ->
            restoreSharingState(shard, scope, scheduler)
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

    private val allotmentAdjusters = HashMap<ShardId, AllotmentAdjuster>()

    /** Restores the shard's claims and allocations before the scheduler's first scheduling round. */
    private suspend fun restoreSharingState(
        shard: ShardId,
        scope: SchedulerScope,
        scheduler: Scheduler,
    ) {
        state.list(SharingKeys.claimsPrefix(shard)) { page -> page.forEach { restoreClaim(scheduler, it) } }
        val adjuster = AllotmentAdjuster(shard, layout, settings.teams, scheduler, scope, state, host::now)
        adjuster.applyStored()
        allotmentAdjusters[shard] = adjuster
        moves.onRebuilt(shard)
    }

    private fun restoreClaim(
        scheduler: Scheduler,
        entry: Wire.Entry,
    ) {
        try {
            entry.value?.let { scheduler.restoreClaim(entry.key, MachineClaim.of(it)) }
        } catch (e: MalformedException) {
            log.error("claim record {} is malformed: {}", entry.key, e.message)
        }
    }

    /** Adjusts the shares of the team limits of this controller's shards to the demand; runs until cancelled. */
    private suspend fun adjustAllotments() {
        while (true) {
            delay(AllotmentAdjuster.INTERVAL_MS)
            for (election in elections) adjustAllotmentsOf(election)
        }
    }

    private suspend fun adjustAllotmentsOf(election: LeaderElection) {
        val adjuster = election.shard?.let { allotmentAdjusters[it] } ?: return
        if (election.localLeader == null) return
        try {
            adjuster.adjust()
        } catch (e: IOException) {
            log.debug("shard {}: could not adjust the allotments: {}", election.shard, e.message)
        }
    }

    private companion object {
        const val SNAPSHOT_POLL_INTERVAL_MS = 400L
        const val SNAPSHOT_TIMEOUT_MS = 1_000L
        const val MARKER_POLL_INTERVAL_MS = 2_000L
        const val ANNOUNCEMENT_INTERVAL_MS = 1_000L

        /** How long the planned owner, or the one chosen by rendezvous hashing, has to be elected before others may run. */
        val PREFERRED_CANDIDATE_WAIT = Duration(2_500)
    }
}
