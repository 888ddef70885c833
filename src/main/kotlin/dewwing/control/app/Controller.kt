package dewwing.control.app

import dewwing.control.api.ApiHost
import dewwing.control.api.JobDestination
import dewwing.control.api.QueryRateLimit
import dewwing.control.api.UserApi
import dewwing.control.cloud.CloudClient
import dewwing.control.core.CoreSettings
import dewwing.control.core.JobCounts
import dewwing.control.core.Scheduler
import dewwing.control.core.SharedRateLimiter
import dewwing.control.core.TokenBucket
import dewwing.control.core.Tunables
import dewwing.control.core.intent.Keys
import dewwing.control.core.leadership.Authority
import dewwing.control.core.leadership.Cancellation
import dewwing.control.core.leadership.CancellationsBeforeRestore
import dewwing.control.core.leadership.ConfirmedCancellations
import dewwing.control.core.leadership.Leadership
import dewwing.control.core.leadership.LeadershipTimes
import dewwing.control.core.leadership.PeerHeartbeat
import dewwing.control.core.quota.Quota
import dewwing.control.core.sharing.SchedulerScope
import dewwing.control.core.sharing.ShardId
import dewwing.control.core.sharing.ShardLayout
import dewwing.control.core.sharing.SharingMarker
import dewwing.control.http.HttpClient
import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpResponse
import dewwing.control.http.HttpServer
import dewwing.control.http.ServerLimits
import dewwing.control.peer.HeartbeatExchange
import dewwing.control.peer.PeerClient
import dewwing.control.peer.PeerRequest
import dewwing.control.peer.PeerResponse
import dewwing.control.peer.PeerServer
import dewwing.control.peer.PeerState
import dewwing.control.peer.ReceivedHeartbeat
import dewwing.control.peer.SharingStatus
import dewwing.control.sharing.EnabledSharding
import dewwing.control.sharing.MoveTracing
import dewwing.control.sharing.ReportRoute
import dewwing.control.sharing.ShardedControl
import dewwing.control.sharing.SharingHost
import dewwing.control.sharing.SharingOptions
import dewwing.control.sharing.SharingPeer
import dewwing.control.sharing.SharingSwitch
import dewwing.control.sharing.SingleLeaderTakeover
import dewwing.control.state.StateClient
import dewwing.control.state.StateUnavailableException
import dewwing.control.worker.WorkerClient
import dewwing.protocol.Duration
import dewwing.protocol.Fields
import dewwing.protocol.Incarnation
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobStage
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.MalformedException
import dewwing.protocol.Pack
import dewwing.protocol.Report
import dewwing.protocol.Revision
import dewwing.protocol.Settings
import dewwing.protocol.Term
import dewwing.protocol.Wire
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * One controller: serves users and workers, exchanges heartbeats with its peers, runs for election, and leads while elected.
 *
 * Everything runs on one thread; only the socket selector has a thread of its own.
 */
class Controller(
    private val settings: Settings,
    private val tunables: Tunables,
    private val options: ControllerOptions,
    private val selector: SelectorManager,
    private val metrics: Metrics,
    /** Null if this controller runs without shards: a single leader schedules everything. */
    private val sharing: SharingOptions? = null,
    private val tracing: MoveTracing? = null,
) : ApiHost,
    SharingHost {
    private val log = LoggerFactory.getLogger("controller")
    private val controllerCount = settings.peers.size + 1

    /** This controller's share of the state service's request rate. */
    private val requestsPerS = settings.stateLimits.requestsPerS * STATE_REQUEST_SHARE / controllerCount

    /** Shared by all local leaders. Without sharding no other controller has any. */
    private val launchCheckBudget =
        (settings.stateLimits.requestsPerS * LAUNCH_CHECK_SHARE / if (sharing == null) 1 else controllerCount)
            .let { TokenBucket(it, maxOf(1.0, it)) }

    private val state =
        StateClient(
            http = HttpClient(selector, settings.stateEndpoint, maxIdleConnections = 8),
            watchHttp = HttpClient(selector, settings.stateEndpoint, maxIdleConnections = 1),
            requestBudget = TokenBucket(requestsPerS, requestsPerS),
            clock = ::now,
            onOutcome = { call, outcome -> metrics.countCall("state", call, outcome) },
        )
    private val cloud =
        CloudClient(
            http = HttpClient(selector, settings.cloudEndpoint, maxIdleConnections = 2),
            requestBudget = TokenBucket(settings.cloudLimits.requestsPerS * CLOUD_REQUEST_SHARE, settings.cloudLimits.requestsPerS),
            clock = ::now,
            onOutcome = { call, outcome -> metrics.countCall("cloud", call, outcome) },
        )
    private val workers = WorkerClient(selector) { call, outcome -> metrics.countCall("worker", call, outcome) }
    private val peers = settings.peers.associate { it.name to PeerClient(selector, it.endpoint) }
    private val lastHeartbeats = HashMap<String, ReceivedHeartbeat>()
    private val leadershipTimes =
        LeadershipTimes
            .of(settings.workers, options.stateLeaseTtl, Duration(minOf(MAX_HEARTBEAT_AGE_MS, tunables.staleLeaderBound.ms)))
            .also(::warnIfCancelTimeIsTight)
    private val singleElection =
        LeaderElection(
            null,
            settings.nodeName,
            Leadership(leadershipTimes, peers.keys),
            state,
            options.stateLeaseTtl,
            ::now,
            ::newSingleLeader,
        )

    /** Not null while sharding is enabled, that is, while shards have owners of their own. */
    private var shardedControl: ShardedControl? = null
    private val sharingSwitch = SharingSwitch(settings.nodeName, state, settings.stateLimits.opsPerCommit, options.stateLeaseTtl, ::now)
    private val elections: List<LeaderElection> get() = shardedControl?.elections ?: listOf(singleElection)
    private val localLeaders: List<Leader> get() = elections.mapNotNull { it.localLeader }
    override val incarnation = Incarnation(Random.nextLong())
    private val confirmedCancellations = ConfirmedCancellations()
    private val userApi: UserApi
    private var knownMachineTypes: List<MachineType> = emptyList()

    /** Until then the leader is not asked for display counts, since a request for them has just failed. */
    private var skipCountsUntil = Instant.DISTANT_PAST

    override val machineTypes: Collection<MachineType> get() = knownMachineTypes

    override fun now(): Instant = Instant(System.nanoTime() / 1_000_000)

    override fun wallClockMs(): Long = System.currentTimeMillis()

    init {
        val userWritesPerS = settings.stateLimits.writesPerS * (1 - tunables.writeShare) * USER_WRITE_SHARE / controllerCount
        userApi =
            UserApi(
                state = state,
                quota = Quota(settings.teams),
                host = this,
                changeRateLimiter = SharedRateLimiter(userWritesPerS, maxOf(USER_WRITE_BURST, userWritesPerS)),
                queryRateLimit =
                    QueryRateLimit(requestsPerS, requestsPerS) { if (localLeaders.isEmpty()) QUERY_COST else QUERY_COST_LEADING },
                maxConditions = settings.stateLimits.maxConditions,
                maxValueBytes = settings.stateLimits.valueBytes - VALUE_RESERVE_BYTES,
            )
        metrics.registerGauge("dewwing.term", "Highest term known") { elections.maxOf { it.leadership.highestTerm.value } }
        metrics.registerGauge("dewwing.leading", "1 on the leader") { if (localLeaders.isEmpty()) 0 else 1 }
        metrics.registerGauge("dewwing.shards.owned", "Shards that this controller owns") {
            shardedControl?.elections?.count { it.localLeader != null } ?: 0
        }
    }

    private fun warnIfCancelTimeIsTight(times: LeadershipTimes) {
        if (times.maxHeartbeatAge.ms < HEARTBEAT_INTERVAL_MS * 2) {
            log.warn(
                "workers.cancel_s is too close to workers.lease_s: in an outage of the state service the worker leases of all tasks expire",
            )
        } else if (!times.watchesSuffice) {
            log.warn(
                "workers.cancel_s is close to workers.lease_s: worker leases are renewed only while all peer controllers are reachable",
            )
        }
    }

    suspend fun run(): Unit =
        coroutineScope {
            val limits =
                ServerLimits(
                    maxConnections = settings.maxSockets * 3 / 4,
                    maxBodyBytes = Wire.MAX_BODY_BYTES,
                    firstRequestTimeoutMs = FIRST_REQUEST_TIMEOUT_MS,
                    idleTimeoutMs = IDLE_TIMEOUT_MS,
                    requestTimeoutMs = REQUEST_TIMEOUT_MS,
                    writeTimeoutMs = WRITE_TIMEOUT_MS,
                )
            launch { userApi.run() }
            launch { HttpServer(selector, settings.httpListen, limits, handler = ::serve).run() }
            launch { PeerServer(selector, settings.peerListen, ::answerPeer).run() }
            for ((name, client) in peers) launch { exchangeHeartbeats(name, client) }
            launch { loadMachineTypes() }
            if (sharing != null) launch { awaitDrained() }
            runElections()
        }

    // ---- serving ---------------------------------------------------------------------------------------------

    private suspend fun serve(request: HttpRequest): HttpResponse {
        val answer =
            when (request.path) {
                Wire.REPORT -> if (request.method == "POST") answerReport(request) else methodNotAllowed("POST")
                Wire.HEALTH -> if (request.method == "GET") health() else methodNotAllowed("GET")
                Metrics.PATH -> if (request.method == "GET") scrapeMetrics() else methodNotAllowed("GET")
                else -> userApi.handle(request, relayed = false)
            }
        metrics.countAnswer(metricPath(request.path), answer.status)
        return answer
    }

    /** Maps the paths that callers choose freely to a fixed set, so that the number of counters stays bounded. */
    private fun metricPath(path: String): String =
        when {
            path == Wire.REPORT || path == Wire.HEALTH || path == Metrics.PATH -> path
            path.startsWith(Wire.JOBS) -> Wire.JOBS
            else -> "other"
        }

    private fun methodNotAllowed(method: String) = HttpResponse(405, Pack.encode(Wire.errorAnswer("use $method")), allow = method)

    /** A controller that reaches neither the state service nor any peer cannot serve users, and reports itself unhealthy. */
    private fun health(): HttpResponse =
        when {
            knownMachineTypes.isEmpty() -> HttpResponse.error(503, "machine types are not known yet", 1)
            state.presumedDown && peers.isNotEmpty() && reachablePeers().isEmpty() -> HttpResponse.error(503, "cut off", 1)
            else -> HttpResponse.of(200, emptyMap<String, Any?>())
        }

    private fun scrapeMetrics(): HttpResponse {
        val schedulers = localLeaders.mapNotNull { it.scheduler }
        val text = metrics.scrape(sumByName(schedulers.map { it.queuedTasksByClass() }), sumByName(schedulers.map { it.machinesByState() }))
        return HttpResponse(200, text.toByteArray(), contentType = "text/plain; version=0.0.4")
    }

    private fun sumByName(parts: List<Map<String, Int>>): Map<String, Int> {
        val sum = LinkedHashMap<String, Int>()
        for (part in parts) for ((name, count) in part) sum.merge(name, count, Int::plus)
        return sum
    }

    /**
     * Answers a worker's report. Only an answer with status 200 and this leader's term renews the worker's lease, so it is given
     * only while the leader's authority allows it.
     */
    private suspend fun answerReport(request: HttpRequest): HttpResponse {
        val report =
            try {
                Wire.decodeReport(Pack.decodeMap(request.body))
            } catch (e: MalformedException) {
                return HttpResponse.error(400, e.message ?: "malformed")
            }
        val control = shardedControl ?: return answerReport(report, singleElection)
        val election =
            when (val route = control.routeOf(report.machine)) {
                is ReportRoute.Local -> route.election
                is ReportRoute.Redirect -> return HttpResponse.of(421, Wire.redirectAnswer(route.controller))
            }
        val answer = answerReport(report, election)
        if (answer.status == 200) election.shard?.let(control::onReportAnswered)
        return answer
    }

    private suspend fun answerReport(
        report: Report,
        election: LeaderElection,
    ): HttpResponse {
        val leadership = election.leadership
        leadership.observeTerm(report.term)
        val leader = election.localLeader
        var authority = leadership.authority(now(), state.failing)
        // Recorded even if the leader may not answer now: the report still shows that workers can reach this controller.
        leader?.onWorkerReport()
        if (leader == null) return redirect(election, TurnAwayReason.NOT_LEADING)
        if (authority == Authority.NONE) return redirect(election, TurnAwayReason.NO_AUTHORITY)
        val scheduler = leader.scheduler
        if (scheduler == null) {
            val commands = leader.commandsBeforeRestore(report, authority) ?: return redirect(election, TurnAwayReason.NOT_RESTORED)
            return HttpResponse.of(200, Wire.reportAnswer(leader.term, commands))
        }
        if (!leadership.knowsCancellations(now())) return redirect(election, TurnAwayReason.CANCELLATIONS_UNKNOWN)
        scheduler.onReport(report, now())
        if (authority == Authority.FULL) {
            leader.prepareLaunches(scheduler, report.machine)
            authority = leadership.authority(now(), state.failing)
            if (election.localLeader !== leader) return redirect(election, TurnAwayReason.NOT_LEADING)
            if (authority == Authority.NONE) return redirect(election, TurnAwayReason.NO_AUTHORITY)
            if (!leadership.knowsCancellations(now())) return redirect(election, TurnAwayReason.CANCELLATIONS_UNKNOWN)
        }
        val launchAllowed = authority == Authority.FULL && leadership.mayLaunchTasks(now())
        val commands = scheduler.takeCommands(report, now(), launchAllowed)
        return HttpResponse.of(200, Wire.reportAnswer(leader.term, commands))
    }

    private fun redirect(
        election: LeaderElection,
        reason: TurnAwayReason,
    ): HttpResponse {
        val leader = election.otherLeader()
        metrics.countReportTurnedAway(reason)
        log.debug("report turned away: {}; leader {}, shard {}", reason, leader, election.shard)
        return HttpResponse.of(421, Wire.redirectAnswer(leader))
    }

    // ---- peers -----------------------------------------------------------------------------------------------

    private fun ownState(): PeerState =
        PeerState(
            reachesState = !state.failing && state.lastAnsweredAt > Instant.DISTANT_PAST,
            highestTerm = singleElection.leadership.highestTerm,
            leader = singleElection.leaderName?.takeIf { singleElection.knowsLeaderFirstHand } ?: "",
            incarnation = incarnation,
            sharing = if (sharing == null) null else shardedControl?.status() ?: SharingStatus(isDraining, emptyList()),
        )

    /** Up to which revision the local leaders had read the jobs when a heartbeat request was sent. */
    private class HeartbeatSnapshot(
        val jobsReadUpTo: Map<Leader, Revision>,
    )

    private suspend fun exchangeHeartbeats(
        name: String,
        client: PeerClient,
    ) {
        HeartbeatExchange(settings.nodeName, name, client, ::now, ::ownState, ::heartbeatIntervalMs).run(
            snapshot = { HeartbeatSnapshot(localLeaders.mapNotNull { leader -> leader.jobsReadUpTo?.let { leader to it } }.toMap()) },
            jobsReadUpTo = { snapshot -> snapshot.jobsReadUpTo.values.minOrNull() },
            onResponse = ::onHeartbeat,
        )
    }

    /**
     * Heartbeats are frequent where the leader's outage rule depends on recent ones. Elsewhere the longer interval saves CPU
     * time: seven controllers sending each other two heartbeats per second used more of it than all other work of followers.
     */
    private fun heartbeatIntervalMs(): Long {
        val isFrequent = localLeaders.isNotEmpty() || state.failing || peers.size <= FEW_PEERS
        return if (isFrequent) HEARTBEAT_INTERVAL_MS else IDLE_HEARTBEAT_INTERVAL_MS
    }

    private fun onHeartbeat(
        received: ReceivedHeartbeat,
        snapshot: HeartbeatSnapshot,
    ) {
        lastHeartbeats[received.peer] = received
        for (cancellation in received.cancellations ?: emptyList()) {
            for (leader in localLeaders) leader.onCancelled(cancellation)
        }
        for (election in elections) updateElection(election, received, snapshot)
    }

    private fun updateElection(
        election: LeaderElection,
        received: ReceivedHeartbeat,
        snapshot: HeartbeatSnapshot,
    ) {
        val peerState = received.state
        val shard = election.shard
        val shardStatus = if (shard == null) null else peerState.sharing?.shards?.getOrNull(shard.index)
        val highestTerm = if (shard == null) peerState.highestTerm else shardStatus?.highestTerm ?: Term.NONE
        val hasAllCancellations = received.cancellations != null && election.localLeader?.let { it in snapshot.jobsReadUpTo } != false
        val heartbeat = PeerHeartbeat(received.requestedAt, peerState.reachesState, highestTerm, peerState.incarnation, hasAllCancellations)
        if (election.leadership.onHeartbeat(received.peer, heartbeat, now())) election.localLeader?.requestJobsRead()
        election.onLeaderFromPeer(if (shard == null) peerState.leader else shardStatus?.leader ?: "", highestTerm)
    }

    /**
     * The cancellation of [job] is about to be confirmed to a user. A leader that cannot reach the state service would
     * otherwise not know of it, and would keep the job's tasks running throughout the outage.
     */
    override fun onCancellationConfirmed(
        job: JobRef,
        revision: Revision,
    ) {
        val cancellation = Cancellation(job, revision)
        confirmedCancellations.record(cancellation)
        for (leader in localLeaders) leader.onCancelled(cancellation)
    }

    private suspend fun answerPeer(request: PeerRequest): PeerResponse =
        when (request) {
            is PeerRequest.Heartbeat -> {
                observeTerms(request.state)
                // Versions without shards do not understand the sharing status, so it is left out of the response to them.
                val responseState = if (request.state.sharing == null) ownState().copy(sharing = null) else ownState()
                PeerResponse.Heartbeat(responseState, request.jobsReadUpTo?.let(confirmedCancellations::newerThan))
            }

            is PeerRequest.JobCounts -> {
                val counts = JobRef.parse(request.ref)?.let(::localCounts)
                PeerResponse.JobCounts(counts != null, counts?.running ?: 0, counts?.done ?: 0)
            }

            is PeerRequest.Relay -> {
                val response = userApi.handle(HttpRequest(request.method, request.path, "", request.body), relayed = true)
                PeerResponse.Relay(response.status, response.retryAfterS ?: 0, response.body)
            }
        }

    private fun observeTerms(heartbeat: PeerState) {
        singleElection.leadership.observeTerm(heartbeat.highestTerm)
        val control = shardedControl ?: return
        val shards = heartbeat.sharing?.shards ?: return
        for ((election, status) in control.elections.zip(shards)) election.leadership.observeTerm(status.highestTerm)
    }

    private fun localCounts(ref: JobRef): JobCounts? = localLeaders.firstNotNullOfOrNull { it.scheduler?.jobCounts(ref) }

    private fun reachablePeers(): Set<String> {
        val now = now()
        return lastHeartbeats.filter { (now - it.value.requestedAt).ms < REACHABLE_HEARTBEAT_AGE_MS }.keys
    }

    override fun sharingPeers(): List<SharingPeer> =
        reachablePeers().mapNotNull { name ->
            val peerState = lastHeartbeats[name]?.state
            peerState?.sharing?.let { SharingPeer(name, peerState.reachesState, peerState.incarnation, it) }
        }

    @Volatile
    override var isDraining = false
        private set
    private val drained = CountDownLatch(1)

    /** Hands off all shards of this controller; may be called from any thread. Returns false if some remain after [timeoutMs]. */
    fun drain(timeoutMs: Long): Boolean {
        isDraining = true
        return drained.await(timeoutMs, TimeUnit.MILLISECONDS)
    }

    private suspend fun awaitDrained() {
        while (!isDraining || localLeaders.isNotEmpty()) delay(DRAIN_POLL_INTERVAL_MS)
        drained.countDown()
    }

    private fun peersReachingState(): List<String> = reachablePeers().filter { lastHeartbeats[it]?.state?.reachesState == true }

    override val stateReachableOnlyViaPeer: Boolean get() = state.failing && peersReachingState().isNotEmpty()

    /** Has a time limit for all attempts together, since a peer whose process hangs looks available for a while. */
    override suspend fun relay(request: HttpRequest): HttpResponse? =
        withTimeoutOrNull(RELAY_TIMEOUT_MS) { peersReachingState().firstNotNullOfOrNull { relayVia(it, request) } }

    private suspend fun relayVia(
        name: String,
        request: HttpRequest,
    ): HttpResponse? {
        try {
            val relayRequest = PeerRequest.Relay(request.method, request.path, request.body)
            val response = peers[name]?.ask(relayRequest, RELAY_ATTEMPT_TIMEOUT_MS) as? PeerResponse.Relay ?: return null
            return HttpResponse(response.status, response.body, response.retryAfterS.takeIf { it > 0 })
        } catch (e: IOException) {
            log.debug("relaying a user's request through peer {} failed: {}", name, e.message)
            return null
        }
    }

    override fun destinationOf(ref: JobRef): JobDestination {
        val control = shardedControl ?: return JobDestination(null)
        return JobDestination(control.shardOf(ref), listOf(control.markerCondition))
    }

    override suspend fun jobCounts(
        ref: JobRef,
        shard: ShardId?,
    ): JobCounts? {
        localCounts(ref)?.let { return it }
        if (now() < skipCountsUntil) return null
        val election = shardedControl?.electionOf(shard ?: ShardId.FIRST) ?: singleElection
        val client = peers[election.leaderName ?: return null] ?: return null
        return try {
            val response = client.ask(PeerRequest.JobCounts(ref.value), COUNTS_TIMEOUT_MS)
            if (response !is PeerResponse.JobCounts || !response.known) {
                null
            } else {
                JobCounts(if (response.running > 0) JobStage.RUNNING else JobStage.QUEUED, response.done, response.running)
            }
        } catch (e: IOException) {
            // The counts are only for display, so further queries should not wait for a leader that has just failed to answer.
            skipCountsUntil = now() + COUNTS_BACK_OFF
            null
        }
    }

    // ---- machine types ---------------------------------------------------------------------------------------

    /**
     * Loads the machine types from the state service, so that jobs can be submitted during an outage of the cloud API, or
     * else from the cloud API itself.
     */
    private suspend fun loadMachineTypes() {
        while (knownMachineTypes.isEmpty()) {
            try {
                val stored = state.get(Keys.MACHINE_TYPES)?.value
                if (stored != null) onMachineTypes(Wire.decodeMachineTypes(Fields(stored)))
            } catch (e: IOException) {
                log.debug("cannot read the machine types from the state service: {}", e.message)
            } catch (e: MalformedException) {
                log.warn("the machine types stored in the state service are malformed: {}", e.message)
            }
            if (knownMachineTypes.isEmpty()) {
                try {
                    onMachineTypes(cloud.machineTypes())
                } catch (e: IOException) {
                    log.debug("cannot read the machine types from the cloud: {}", e.message)
                } catch (e: MalformedException) {
                    log.warn("the machine types sent by the cloud are malformed: {}", e.message)
                }
            }
            if (knownMachineTypes.isEmpty()) delay(MACHINE_TYPES_RETRY_MS)
        }
    }

    internal fun onMachineTypes(types: List<MachineType>) {
        if (types.isNotEmpty()) knownMachineTypes = types
    }

    // ---- election --------------------------------------------------------------------------------------------

    private suspend fun runElections() {
        while (true) {
            try {
                val observed = readElectionRecords()
                val marker = observed.marker
                when {
                    marker == null -> {
                        electSingleLeader(observed)
                        sharing?.let { continueSharded(it) }
                    }

                    sharing == null -> {
                        sharingSwitch.disableIfUnowned(observed.term, marker)
                    }

                    else -> {
                        runSharded(marker, sharing)
                    }
                }
            } catch (e: IOException) {
                log.debug("election poll failed: {}", e.message)
            } catch (e: MalformedException) {
                log.warn("malformed answer from the state service: {}", e.message)
            }
            delay(ELECTION_POLL_INTERVAL_MS)
        }
    }

    /** The records under [Keys.TERM]: who leads, and whether sharding is enabled. */
    private class ElectionRecords(
        entries: List<Wire.Entry>,
    ) {
        private val byKey = entries.associateBy { it.key }
        val term = byKey[Keys.TERM]
        private val holder = byKey[Keys.HOLDER]
        val singleLeader = ObservedTerm.of(term, holder, byKey[Keys.READY])
        val marker = holder?.let { SharingMarker.of(it.value, it.revision) }

        /** Whether sharding has ever been enabled. */
        val everSharded = Keys.EVER_SHARDED in byKey
    }

    private suspend fun readElectionRecords(): ElectionRecords {
        val entries = ArrayList<Wire.Entry>()
        // The timeout is short: a read that hangs after a network partition would otherwise keep this controller for seconds
        // from noticing that the service answers again.
        state.list(Keys.TERM, TERM_READ_TIMEOUT_MS) { entries.addAll(it) }
        val records = ElectionRecords(entries)
        singleElection.leadership.observeTerm(records.singleLeader.term)
        everSharded = records.everSharded
        return records
    }

    private var everSharded = false

    private suspend fun electSingleLeader(records: ElectionRecords) {
        val observed = records.singleLeader
        if (observed.holder != null && observed.holderName != settings.nodeName) {
            singleElection.onLeaderRead(observed.holderName)
            return
        }
        if (observed.holder != null) {
            val elected = singleElection.resolveCandidacy(observed)
            if (elected == null) singleElection.releaseStaleOwnLease(observed) else leadAlone(elected)
            return
        }
        singleElection.onNoLeaderRead()
        if (singleElection.mustBackOff) return
        val elected = singleElection.runForElection(candidacy(observed)) { readElectionRecords().singleLeader } ?: return
        leadAlone(elected)
    }

    /** Set when this controller, as the single leader, has enabled sharding. */
    private var enabledSharding: EnabledSharding? = null

    /** The machines of the single leader that has enabled sharding. */
    private var machinesBeforeSharding: Set<MachineId> = emptySet()

    /** If this controller has just enabled sharding, it goes on without another read of the records, which might be refused. */
    private suspend fun continueSharded(sharing: SharingOptions) {
        val enabled = enabledSharding ?: return
        enabledSharding = null
        val takeover = enabled.firstShardTerm?.let { SingleLeaderTakeover(it, singleElection.leadership, machinesBeforeSharding) }
        runSharded(enabled.marker, sharing, takeover)
    }

    /** Runs the single leader's term [elected]; returns when it has ended. */
    private suspend fun leadAlone(elected: ElectedTerm): Unit =
        coroutineScope {
            enabledSharding = null
            val switching = sharing?.let { launch { switchToSharding(elected, it) } }
            singleElection.lead(elected)
            switching?.cancel()
        }

    private fun candidacy(observed: ObservedTerm): Candidacy {
        val term = observed.term.next()
        return Candidacy(
            term = term,
            conditions = listOf(Keys.TERM to observed.revision, Keys.HOLDER to Revision.ABSENT),
            puts = { stateLease ->
                listOf(
                    Keys.TERM to ObservedTerm.termValue(term, settings.nodeName),
                    Keys.HOLDER to ObservedTerm.holderValue(term, settings.nodeName, stateLease),
                )
            },
            holderKey = Keys.HOLDER,
            predecessorReady = observed.ready,
        )
    }

    private fun newSingleLeader(
        election: LeaderElection,
        elected: ElectedTerm,
    ): Leader = newLeader(elected, election.leadership, SchedulerScope.single(elected.revision), coreSettings(1))

    override fun newShardLeader(
        elected: ElectedTerm,
        leadership: Leadership,
        scope: SchedulerScope,
        ownsMachine: (Scheduler, MachineId) -> Boolean,
        restoreSharingState: suspend (Scheduler) -> Unit,
    ): Leader = newLeader(elected, leadership, scope, coreSettings(shardedControl?.elections?.size ?: 1), ownsMachine, restoreSharingState)

    /** The rate limits are divided equally among [schedulerCount] schedulers. */
    private fun coreSettings(schedulerCount: Int) =
        CoreSettings(
            settings.teams,
            settings.objectives,
            settings.workers,
            settings.stateLimits.copy(writesPerS = settings.stateLimits.writesPerS / schedulerCount),
            settings.cloudLimits.copy(requestsPerS = settings.cloudLimits.requestsPerS / schedulerCount),
            tunables,
            hasPeers = peers.isNotEmpty(),
            writeBurst = if (schedulerCount == 1) 0.0 else shardWriteBurst(),
        )

    /** The writes of one full transaction, but no more than a single leader could make at once. */
    private fun shardWriteBurst(): Double =
        minOf(settings.stateLimits.opsPerCommit.toDouble(), settings.stateLimits.writesPerS * tunables.writeShare)

    private fun newLeader(
        elected: ElectedTerm,
        leadership: Leadership,
        scope: SchedulerScope,
        coreSettings: CoreSettings,
        ownsMachine: (Scheduler, MachineId) -> Boolean = { _, _ -> true },
        restoreSharingState: suspend (Scheduler) -> Unit = {},
    ) = Leader(
        term = elected.term,
        termRevision = elected.revision,
        scope = scope,
        predecessorReady = elected.predecessorReady,
        stateLease = elected.stateLease,
        leadership = leadership,
        state = state,
        cloud = cloud,
        workers = workers,
        coreSettings = coreSettings,
        options = options,
        metrics = metrics,
        launchCheckBudget = launchCheckBudget,
        clock = this,
        knownMachineTypes = { knownMachineTypes },
        onMachineTypes = ::onMachineTypes,
        hasPeers = peers.isNotEmpty(),
        anyPeerReachable = { reachablePeers().isNotEmpty() },
        everSharded = everSharded,
        ownsMachine = ownsMachine,
        restoreSharingState = restoreSharingState,
        cancellationsBeforeRestore = cancellationsKnownAt(elected),
    )

    /**
     * What [elected] has read of the cancelled jobs, with those that this controller has confirmed since: no peer tells them, and
     * there was no leader here yet to be told. Without those, the read is not complete and must not be used.
     */
    private fun cancellationsKnownAt(elected: ElectedTerm): CancellationsBeforeRestore {
        val read = elected.cancelledJobs
        val confirmedSince = read?.let { confirmedCancellations.newerThan(it.readUpTo) }
        val known = CancellationsBeforeRestore(read.takeIf { confirmedSince != null })
        confirmedSince?.forEach(known::add)
        return known
    }

    // ---- sharding --------------------------------------------------------------------------------------------

    private suspend fun runSharded(
        marker: SharingMarker,
        sharing: SharingOptions,
        takeover: SingleLeaderTakeover? = null,
    ) {
        if (marker.layout.count != sharing.shards) {
            log.warn("keeping the {} existing shards: --shards takes effect only after sharding has been disabled", marker.layout.count)
        }
        val control =
            ShardedControl(marker, settings, sharing, options.stateLeaseTtl, leadershipTimes, state, this, metrics, tracing, takeover)
        shardedControl = control
        try {
            control.run()
        } finally {
            shardedControl = null
        }
    }

    /** Runs while this controller is the single leader: enables sharding as soon as every peer is ready for it. */
    private suspend fun switchToSharding(
        elected: ElectedTerm,
        sharing: SharingOptions,
    ) {
        var loggedObstacle: String? = null
        var staleRecordsRemoved = false
        while (true) {
            delay(SHARDING_POLL_INTERVAL_MS)
            val leader = singleElection.localLeader ?: continue
            val obstacle = obstacleToSharding(leader)
            if (obstacle != null) {
                if (obstacle != loggedObstacle) log.info("sharding is not enabled yet: {}", obstacle)
                loggedObstacle = obstacle
                continue
            }
            val preparation =
                try {
                    if (!staleRecordsRemoved) sharingSwitch.removeStaleRecords(elected.revision)
                    staleRecordsRemoved = true
                    sharingSwitch.prepare()
                } catch (e: IOException) {
                    log.debug("sharding cannot be prepared: {}", e.message)
                    continue
                }
            leader.pauseRounds()
            try {
                val enabled = sharingSwitch.enable(elected.term, elected.revision, ShardLayout(sharing.shards), preparation)
                if (enabled != null) {
                    enabledSharding = enabled
                    machinesBeforeSharding = leader.scheduler?.machineIds() ?: emptySet()
                    leader.stepDown("sharding is enabled")
                }
            } catch (e: StateUnavailableException) {
                log.debug("the transaction that enables sharding failed: {}", e.message)
                // If the outcome is unknown, the transaction may have been applied or may yet be, and shard owners would be
                // elected during this term. Releasing the state lease keeps it from being applied later, and the next read of
                // the records shows the outcome.
                if (!e.knownNotApplied) leader.stepDown("sharding may have been enabled")
            }
            leader.resumeRounds()
        }
    }

    private fun obstacleToSharding(leader: Leader): String? {
        val scheduler = leader.scheduler ?: return "the leader has not restored its state yet"
        val readyPeers = sharingPeers().mapTo(HashSet()) { it.name }
        val missingPeer = peers.keys.firstOrNull { it !in readyPeers }
        return when {
            missingPeer != null -> "$missingPeer is unreachable, or runs without shards"
            scheduler.hasShardJobs() -> "jobs of an earlier period of sharding have not finished"
            else -> null
        }
    }

    companion object {
        private const val STATE_REQUEST_SHARE = 0.9

        /** Part of the state service's request rate for the checks of launches, besides [STATE_REQUEST_SHARE]. */
        private const val LAUNCH_CHECK_SHARE = 0.05

        /**
         * Requests that one query counts as. Above 1, it leaves part of the request rate for elections and, on the leader, for
         * renewals of its state lease and its writes.
         */
        private const val QUERY_COST = 1.1
        private const val QUERY_COST_LEADING = 1.8
        private const val CLOUD_REQUEST_SHARE = 0.8
        private const val USER_WRITE_SHARE = 0.8
        private const val USER_WRITE_BURST = 6.0
        private const val VALUE_RESERVE_BYTES = 64
        private const val MAX_HEARTBEAT_AGE_MS = 2_500L
        private const val HEARTBEAT_INTERVAL_MS = 500L
        private const val IDLE_HEARTBEAT_INTERVAL_MS = 1_500L
        private const val FEW_PEERS = 2
        private const val REACHABLE_HEARTBEAT_AGE_MS = 3_000L
        private const val RELAY_ATTEMPT_TIMEOUT_MS = 900L

        /** Less than the 2 s that a user waits for the response to a query. */
        private const val RELAY_TIMEOUT_MS = 1_800L
        private const val COUNTS_TIMEOUT_MS = 300L
        private val COUNTS_BACK_OFF = Duration(1_000)
        private const val MACHINE_TYPES_RETRY_MS = 1_000L

        private const val TERM_READ_TIMEOUT_MS = 1_000L
        private const val ELECTION_POLL_INTERVAL_MS = 400L
        private const val SHARDING_POLL_INTERVAL_MS = 500L
        private const val DRAIN_POLL_INTERVAL_MS = 100L
        private const val FIRST_REQUEST_TIMEOUT_MS = 5_000L
        private const val IDLE_TIMEOUT_MS = 60_000L
        private const val REQUEST_TIMEOUT_MS = 10_000L
        private const val WRITE_TIMEOUT_MS = 10_000L
    }
}
