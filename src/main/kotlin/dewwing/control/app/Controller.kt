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
import dewwing.control.sharing.MoveTracing
import dewwing.control.sharing.ReportRoute
import dewwing.control.sharing.ShardedControl
import dewwing.control.sharing.SharingHost
import dewwing.control.sharing.SharingOptions
import dewwing.control.sharing.SharingPeer
import dewwing.control.sharing.SharingSwitch
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
 * One controller: serves users and workers, exchanges heartbeats with its siblings, stands for election, and leads while elected.
 *
 * Everything here runs on one thread; only the socket selector has another.
 */
class Controller(
    private val settings: Settings,
    private val tunables: Tunables,
    private val options: Options,
    private val selector: SelectorManager,
    private val metrics: Metrics,
    /** Null: a single leader does all the work. */
    private val sharing: SharingOptions? = null,
    private val tracing: MoveTracing? = null,
) : ApiHost,
    SharingHost {
    private val log = LoggerFactory.getLogger("controller")
    private val nodes = settings.peers.size + 1

    /** This controller's part of the state service's request rate. */
    private val requestsPerS = settings.stateLimits.requestsPerS * REQUEST_SHARE / nodes

    private val state =
        StateClient(
            http = HttpClient(selector, settings.stateEndpoint, maxIdleConnections = 8),
            watchHttp = HttpClient(selector, settings.stateEndpoint, maxIdleConnections = 1),
            requestBudget = TokenBucket(requestsPerS, requestsPerS),
            clock = ::now,
            onOutcome = { call, outcome -> metrics.called("state", call, outcome) },
        )
    private val cloud =
        CloudClient(
            http = HttpClient(selector, settings.cloudEndpoint, maxIdleConnections = 2),
            requestBudget = TokenBucket(settings.cloudLimits.requestsPerS * CLOUD_SHARE, settings.cloudLimits.requestsPerS),
            clock = ::now,
            onOutcome = { call, outcome -> metrics.called("cloud", call, outcome) },
        )
    private val workers = WorkerClient(selector) { call, outcome -> metrics.called("worker", call, outcome) }
    private val peers = settings.peers.associate { it.name to PeerClient(selector, it.endpoint) }
    private val heartbeats = HashMap<String, ReceivedHeartbeat>()
    private val times =
        LeadershipTimes
            .of(settings.workers, options.holdTtl, Duration(minOf(HEARTBEAT_AGE_MS, tunables.staleLeaderBound.ms)))
            .also(::warnOfNoRoom)
    private val single =
        LeaderElection(null, settings.nodeName, Leadership(times, peers.keys), state, options.holdTtl, ::now, ::newSingleLeader)

    /** Set while shards have owners of their own. */
    private var sharded: ShardedControl? = null
    private val sharingSwitch = SharingSwitch(settings.nodeName, state, settings.stateLimits.opsPerCommit, ::now)
    private val elections: List<LeaderElection> get() = sharded?.elections ?: listOf(single)
    private val leaders: List<Leader> get() = elections.mapNotNull { it.leading }
    private val incarnation = Incarnation(Random.nextLong())
    private val confirmed = ConfirmedCancellations()
    private val api: UserApi
    private var types: List<MachineType> = emptyList()

    /** Until then the leader is not asked for display counts, since it has just not answered. */
    private var noCountsUntil = Instant.DISTANT_PAST

    override val machineTypes: Collection<MachineType> get() = types

    override fun now(): Instant = Instant(System.nanoTime() / 1_000_000)

    override fun wallClockMs(): Long = System.currentTimeMillis()

    init {
        val intakePerS = settings.stateLimits.writesPerS * (1 - tunables.writeShare) * INTAKE_SHARE / nodes
        api =
            UserApi(
                state = state,
                quota = Quota(settings.teams),
                host = this,
                changeRateLimiter = SharedRateLimiter(intakePerS, maxOf(INTAKE_BURST, intakePerS)),
                queryRateLimit =
                    QueryRateLimit(requestsPerS, requestsPerS) { if (leaders.isEmpty()) QUERY_COST else QUERY_COST_LEADING },
                maxConditions = settings.stateLimits.opsPerCommit * Wire.CONDITIONS_PER_OP,
                maxValueBytes = settings.stateLimits.valueBytes - VALUE_SLACK,
            )
        metrics.gauge("dewwing.term", "Highest term known") { elections.maxOf { it.leadership.highestTerm.value } }
        metrics.gauge("dewwing.leading", "1 on the leader") { if (leaders.isEmpty()) 0 else 1 }
        metrics.gauge("dewwing.shards.owned", "Shards that this controller owns") { sharded?.elections?.count { it.leading != null } ?: 0 }
    }

    private fun warnOfNoRoom(times: LeadershipTimes) {
        if (times.maxHeartbeatAge.ms < HEARTBEAT_EVERY_MS * 2) {
            log.warn(
                "workers.cancel_s leaves no room beyond workers.lease_s: an outage of the state service costs the leases of all running work",
            )
        } else if (!times.watchesSuffice) {
            log.warn("workers.cancel_s leaves little room beyond workers.lease_s: leases are renewed only while all siblings are heard")
        }
    }

    suspend fun run(): Unit =
        coroutineScope {
            val limits =
                ServerLimits(
                    maxConnections = settings.maxSockets * 3 / 4,
                    maxBodyBytes = Wire.MAX_BODY_BYTES,
                    firstRequestTimeoutMs = FIRST_MS,
                    idleTimeoutMs = IDLE_MS,
                    requestTimeoutMs = REQUEST_MS,
                    writeTimeoutMs = WRITE_MS,
                )
            launch { api.run() }
            launch { HttpServer(selector, settings.httpListen, limits, handler = ::serve).run() }
            launch { PeerServer(selector, settings.peerListen, ::answerPeer).run() }
            for ((name, client) in peers) launch { exchangeHeartbeats(name, client) }
            launch { learnTypes() }
            if (sharing != null) launch { watchDraining() }
            electForEver()
        }

    // ---- serving ---------------------------------------------------------------------------------------------

    private suspend fun serve(request: HttpRequest): HttpResponse {
        val answer =
            when (request.path) {
                Wire.REPORT -> if (request.method == "POST") report(request) else notAllowed("POST")
                Wire.HEALTH -> if (request.method == "GET") health() else notAllowed("GET")
                Metrics.PATH -> if (request.method == "GET") scrape() else notAllowed("GET")
                else -> api.handle(request, relayed = false)
            }
        metrics.answered(knownPath(request.path), answer.status)
        return answer
    }

    /** Callers choose paths freely; a counter for each would grow without end. */
    private fun knownPath(path: String): String =
        when {
            path == Wire.REPORT || path == Wire.HEALTH || path == Metrics.PATH -> path
            path.startsWith(Wire.JOBS) -> Wire.JOBS
            else -> "other"
        }

    private fun notAllowed(method: String) = HttpResponse(405, Pack.encode(Wire.errorAnswer("use $method")), allow = method)

    /** A controller cut off from the state service and from every sibling can do nothing for a user. */
    private fun health(): HttpResponse =
        when {
            types.isEmpty() -> HttpResponse.error(503, "machine types are not known yet", 1)
            state.presumedDown && peers.isNotEmpty() && peersHeardLately().isEmpty() -> HttpResponse.error(503, "cut off", 1)
            else -> HttpResponse.of(200, emptyMap<String, Any?>())
        }

    private fun scrape(): HttpResponse {
        val schedulers = leaders.mapNotNull { it.scheduler }
        val text = metrics.scrape(summed(schedulers.map { it.queuedTasksByClass() }), summed(schedulers.map { it.machinesByState() }))
        return HttpResponse(200, text.toByteArray(), contentType = "text/plain; version=0.0.4")
    }

    private fun summed(parts: List<Map<String, Int>>): Map<String, Int> {
        val sum = LinkedHashMap<String, Int>()
        for (part in parts) for ((name, count) in part) sum.merge(name, count, Int::plus)
        return sum
    }

    /** A worker's report. Only a 200 with our term renews its lease, so that answer rests on our authority now. */
    private suspend fun report(request: HttpRequest): HttpResponse {
        val report =
            try {
                Wire.decodeReport(Pack.decodeMap(request.body))
            } catch (e: MalformedException) {
                return HttpResponse.error(400, e.message ?: "malformed")
            }
        val control = sharded ?: return report(report, single)
        val election =
            when (val route = control.routeOf(report.machine)) {
                is ReportRoute.Local -> route.election
                is ReportRoute.Redirect -> return HttpResponse.of(421, Wire.redirectAnswer(route.controller))
            }
        val answer = report(report, election)
        if (answer.status == 200) election.shard?.let(control::onReportAnswered)
        return answer
    }

    private suspend fun report(
        report: Report,
        election: LeaderElection,
    ): HttpResponse {
        val leadership = election.leadership
        leadership.observeTerm(report.term)
        val lead = election.leading
        var authority = leadership.authority(now(), state.failing)
        // Also while nothing may be answered: workers that come in vain are no sign that they cannot come.
        lead?.onWorkerReport()
        if (lead == null || authority == Authority.NONE) return elsewhere(election)
        val scheduler = lead.scheduler
        if (scheduler == null) {
            // Without the picture nobody here knows which of its tasks are cancelled.
            if (authority != Authority.FULL || !leadership.mayRenewBeforeRestore(lead.predecessorReady)) return elsewhere(election)
            return HttpResponse.of(200, Wire.reportAnswer(lead.term, emptyList()))
        }
        if (!leadership.knowsCancellations(now())) return elsewhere(election)
        scheduler.onReport(report, now())
        if (authority == Authority.FULL) {
            lead.awaitLaunchDecision(scheduler, report.machine)
            authority = leadership.authority(now(), state.failing)
            if (election.leading !== lead || authority == Authority.NONE ||
                !leadership.knowsCancellations(now())
            ) {
                return elsewhere(election)
            }
        }
        val mayStart = authority == Authority.FULL && seesCancellations(leadership)
        return HttpResponse.of(200, Wire.reportAnswer(lead.term, scheduler.takeCommands(report, now(), mayStart)))
    }

    /** A start logged before its job was cancelled elsewhere must not go out once that could be seen no more. */
    private fun seesCancellations(leadership: Leadership) = now() - state.lastAnsweredAt <= START_FRESH && leadership.mayLaunchTasks(now())

    private fun elsewhere(election: LeaderElection): HttpResponse = HttpResponse.of(421, Wire.redirectAnswer(election.otherLeader()))

    // ---- siblings --------------------------------------------------------------------------------------------

    private fun ownState(): PeerState =
        PeerState(
            reachesState = !state.failing && state.lastAnsweredAt > Instant.DISTANT_PAST,
            highestTerm = single.leadership.highestTerm,
            leader = single.leaderName?.takeIf { single.isSure } ?: "",
            incarnation = incarnation,
            sharing = if (sharing == null) null else sharded?.status() ?: SharingStatus(isDraining, emptyList()),
        )

    /** What the leaders here had read when a heartbeat was asked for. */
    private class Question(
        val jobsKnown: Map<Leader, Revision>,
    )

    private suspend fun exchangeHeartbeats(
        name: String,
        client: PeerClient,
    ) {
        HeartbeatExchange(settings.nodeName, name, client, ::now, ::ownState, ::heartbeatEveryMs).run(
            snapshot = { Question(leaders.mapNotNull { lead -> lead.jobsReadUpTo?.let { lead to it } }.toMap()) },
            jobsReadUpTo = { question -> question.jobsKnown.values.minOrNull() },
            onResponse = ::onHeartbeat,
        )
    }

    /**
     * The leader's outage rule rests on fresh heartbeats; for the rest, seven controllers asking each other twice a second
     * cost more processor time than all else that followers do.
     */
    private fun heartbeatEveryMs(): Long {
        val eager = leaders.isNotEmpty() || state.failing || peers.size <= FEW_SIBLINGS
        return if (eager) HEARTBEAT_EVERY_MS else IDLE_HEARTBEAT_EVERY_MS
    }

    private fun onHeartbeat(
        heard: ReceivedHeartbeat,
        asked: Question,
    ) {
        heartbeats[heard.peer] = heard
        for (c in heard.cancellations ?: emptyList()) for (lead in leaders) lead.scheduler?.onCancelled(c.job, c.revision, now())
        for (election in elections) hear(election, heard, asked)
    }

    private fun hear(
        election: LeaderElection,
        heard: ReceivedHeartbeat,
        asked: Question,
    ) {
        val said = heard.state
        val shard = election.shard
        val ofShard = if (shard == null) null else said.sharing?.shards?.getOrNull(shard.index)
        val highestTerm = if (shard == null) said.highestTerm else ofShard?.highestTerm ?: Term.NONE
        val hasAllCancellations = heard.cancellations != null && election.leading?.let { it in asked.jobsKnown } != false
        val heartbeat = PeerHeartbeat(heard.askedAt, said.reachesState, highestTerm, said.incarnation, hasAllCancellations)
        election.leadership.onHeartbeat(heard.peer, heartbeat, now())
        election.hearLeader(if (shard == null) said.leader else ofShard?.leader ?: "", highestTerm)
    }

    /**
     * A user is about to be told that [job] is cancelled. A leader that the state service refuses would not see it, and
     * would keep its tasks alive in an outage.
     */
    override fun onCancellationConfirmed(
        job: JobRef,
        revision: Revision,
    ) {
        confirmed.record(Cancellation(job, revision))
        for (lead in leaders) lead.scheduler?.onCancelled(job, revision, now())
    }

    private suspend fun answerPeer(request: PeerRequest): PeerResponse =
        when (request) {
            is PeerRequest.Heartbeat -> {
                heardTerms(request.state)
                // Versions that know no shards are answered in their own words.
                val own = if (request.state.sharing == null) ownState().copy(sharing = null) else ownState()
                PeerResponse.Heartbeat(own, request.jobsReadUpTo?.let(confirmed::newerThan))
            }

            is PeerRequest.JobCounts -> {
                val counts = JobRef.parse(request.ref)?.let(::ownCounts)
                PeerResponse.JobCounts(counts != null, counts?.running ?: 0, counts?.done ?: 0)
            }

            is PeerRequest.Relay -> {
                val answer = api.handle(HttpRequest(request.method, request.path, "", request.body), relayed = true)
                PeerResponse.Relay(answer.status, answer.retryAfterS ?: 0, answer.body)
            }
        }

    private fun heardTerms(heartbeat: PeerState) {
        single.leadership.observeTerm(heartbeat.highestTerm)
        val control = sharded ?: return
        val shards = heartbeat.sharing?.shards ?: return
        for ((election, status) in control.elections.zip(shards)) election.leadership.observeTerm(status.highestTerm)
    }

    private fun ownCounts(ref: JobRef): JobCounts? = leaders.firstNotNullOfOrNull { it.scheduler?.jobCounts(ref) }

    private fun peersHeardLately(): Set<String> {
        val at = now()
        return heartbeats.filter { (at - it.value.askedAt).ms < RELAY_HEARTBEAT_AGE_MS }.keys
    }

    override fun sharingPeers(): List<SharingPeer> =
        peersHeardLately().mapNotNull { name ->
            val said = heartbeats[name]?.state
            said?.sharing?.let { SharingPeer(name, said.reachesState, it) }
        }

    @Volatile
    override var isDraining = false
        private set
    private val drained = CountDownLatch(1)

    /** Lets others take this controller's shards, from any thread; false if some are left after [withinMs]. */
    fun drain(withinMs: Long): Boolean {
        isDraining = true
        return drained.await(withinMs, TimeUnit.MILLISECONDS)
    }

    private suspend fun watchDraining() {
        while (!isDraining || leaders.isNotEmpty()) delay(DRAIN_POLL_MS)
        drained.countDown()
    }

    private fun peersReachingState(): List<String> = peersHeardLately().filter { heartbeats[it]?.state?.reachesState == true }

    override val stateReachableOnlyViaPeer: Boolean get() = state.failing && peersReachingState().isNotEmpty()

    /** Bounded as a whole: a sibling that has stopped without ending still looks able for a while. */
    override suspend fun relay(request: HttpRequest): HttpResponse? =
        withTimeoutOrNull(RELAY_TOTAL_MS) { peersReachingState().firstNotNullOfOrNull { relayTo(it, request) } }

    private suspend fun relayTo(
        name: String,
        request: HttpRequest,
    ): HttpResponse? {
        try {
            val ask = PeerRequest.Relay(request.method, request.path, request.body)
            val answer = peers[name]?.ask(ask, RELAY_MS) as? PeerResponse.Relay ?: return null
            return HttpResponse(answer.status, answer.body, answer.retryAfterS.takeIf { it > 0 })
        } catch (e: IOException) {
            log.debug("relay by {} failed: {}", name, e.message)
            return null
        }
    }

    override fun destinationOf(ref: JobRef): JobDestination {
        val control = sharded ?: return JobDestination(null)
        return JobDestination(control.shardOf(ref), listOf(control.markerCondition))
    }

    override suspend fun jobCounts(
        ref: JobRef,
        shard: ShardId?,
    ): JobCounts? {
        ownCounts(ref)?.let { return it }
        if (now() < noCountsUntil) return null
        val election = sharded?.electionOf(shard ?: ShardId.FIRST) ?: single
        val client = peers[election.leaderName ?: return null] ?: return null
        return try {
            val answer = client.ask(PeerRequest.JobCounts(ref.value), COUNTS_MS)
            if (answer !is PeerResponse.JobCounts || !answer.known) {
                null
            } else {
                JobCounts(if (answer.running > 0) JobStage.RUNNING else JobStage.QUEUED, answer.done, answer.running)
            }
        } catch (e: IOException) {
            // They are for display: no further query is to wait for a leader that has just not answered.
            noCountsUntil = now() + COUNTS_PAUSE
            null
        }
    }

    // ---- machine types ---------------------------------------------------------------------------------------

    /** From the state service, so that intake survives an outage of the cloud; else from the cloud itself. */
    private suspend fun learnTypes() {
        while (types.isEmpty()) {
            try {
                val stored = state.get(Keys.MACHINE_TYPES)?.value
                if (stored != null) learned(Wire.decodeMachineTypes(Fields(stored)))
            } catch (e: IOException) {
                log.debug("no stored machine types: {}", e.message)
            } catch (e: MalformedException) {
                log.warn("stored machine types cannot be read: {}", e.message)
            }
            if (types.isEmpty()) {
                try {
                    learned(cloud.machineTypes())
                } catch (e: IOException) {
                    log.debug("no machine types from the cloud: {}", e.message)
                } catch (e: MalformedException) {
                    log.warn("the cloud's machine types cannot be read: {}", e.message)
                }
            }
            if (types.isEmpty()) delay(TYPES_RETRY_MS)
        }
    }

    internal fun learned(list: List<MachineType>) {
        if (list.isNotEmpty()) types = list
    }

    // ---- election --------------------------------------------------------------------------------------------

    private suspend fun electForEver() {
        while (true) {
            try {
                val seen = readTerms()
                val marker = seen.marker
                when {
                    marker == null -> electSingle(seen)
                    sharing == null -> sharingSwitch.disableIfUnowned(seen.term, marker)
                    else -> share(marker, sharing)
                }
            } catch (e: IOException) {
                log.debug("state service: {}", e.message)
            } catch (e: MalformedException) {
                log.warn("state service answered nonsense: {}", e.message)
            }
            delay(ELECTION_POLL_MS)
        }
    }

    /** The records that say who leads. */
    private class TermRecords(
        entries: List<Wire.Entry>,
    ) {
        private val byKey = entries.associateBy { it.key }
        val term = byKey[Keys.TERM]
        private val holder = byKey[Keys.HOLDER]
        val single = TermSeen.of(term, holder, byKey[Keys.READY])
        val marker = holder?.let { SharingMarker.of(it.value, it.revision) }

        /** Shards have had owners of their own. */
        val wasShared = Keys.EVER_SHARDED in byKey
    }

    private suspend fun readTerms(): TermRecords {
        val entries = ArrayList<Wire.Entry>()
        // A short wait: after a cut, a read that hangs would hide for seconds that the service answers again.
        state.list(Keys.TERM, TERM_READ_MS) { entries.addAll(it) }
        val records = TermRecords(entries)
        single.leadership.observeTerm(records.single.term)
        wasShared = records.wasShared
        return records
    }

    private var wasShared = false

    private suspend fun electSingle(records: TermRecords) {
        val seen = records.single
        if (seen.holder != null && seen.holderName != settings.nodeName) {
            single.readLeader(seen.holderName)
            return
        }
        if (seen.holder != null) {
            single.clearOwnHolder(seen)
            return
        }
        single.readNoLeader()
        if (single.mustStandBack) return
        val elected = single.stand(candidacy(seen)) { readTerms().single } ?: return
        coroutineScope {
            val opening = sharing?.let { launch { openSharing(elected, it) } }
            single.lead(elected)
            opening?.cancel()
        }
    }

    private fun candidacy(seen: TermSeen): Candidacy {
        val term = seen.term.next()
        return Candidacy(
            term = term,
            conditions = listOf(Keys.TERM to seen.revision, Keys.HOLDER to Revision.ABSENT),
            puts = { hold ->
                listOf(
                    Keys.TERM to TermSeen.termValue(term, settings.nodeName),
                    Keys.HOLDER to TermSeen.holderValue(term, settings.nodeName, hold),
                )
            },
            holderKey = Keys.HOLDER,
            predecessorReady = seen.ready,
        )
    }

    private fun newSingleLeader(
        election: LeaderElection,
        elected: Elected,
    ): Leader = newLeader(elected, election.leadership, SchedulerScope.single(elected.revision), coreSettings(1))

    override fun newShardLeader(
        elected: Elected,
        leadership: Leadership,
        scope: SchedulerScope,
        ownsMachine: (Scheduler, MachineId) -> Boolean,
        restoreSharingState: suspend (Scheduler) -> Unit,
    ): Leader = newLeader(elected, leadership, scope, coreSettings(sharded?.elections?.size ?: 1), ownsMachine, restoreSharingState)

    /** Of the rates, each of [schedulers] has its part. */
    private fun coreSettings(schedulers: Int) =
        CoreSettings(
            settings.teams,
            settings.objectives,
            settings.workers,
            settings.stateLimits.copy(writesPerS = settings.stateLimits.writesPerS / schedulers),
            settings.cloudLimits.copy(requestsPerS = settings.cloudLimits.requestsPerS / schedulers),
            tunables,
            hasPeers = peers.isNotEmpty(),
            writeBurst = if (schedulers == 1) 0.0 else shardBurst(),
        )

    /** A whole transaction, as long as that is within what a single leader could make at once. */
    private fun shardBurst(): Double =
        minOf(settings.stateLimits.opsPerCommit.toDouble(), settings.stateLimits.writesPerS * tunables.writeShare)

    private fun newLeader(
        elected: Elected,
        leadership: Leadership,
        scope: SchedulerScope,
        core: CoreSettings,
        ownsMachine: (Scheduler, MachineId) -> Boolean = { _, _ -> true },
        beforeDeciding: suspend (Scheduler) -> Unit = {},
    ) = Leader(
        term = elected.term,
        termRevision = elected.revision,
        scope = scope,
        predecessorReady = elected.predecessorReady,
        stateLease = elected.hold,
        leadership = leadership,
        state = state,
        cloud = cloud,
        workers = workers,
        coreSettings = core,
        options = options,
        metrics = metrics,
        clock = this,
        knownMachineTypes = { types },
        onMachineTypes = ::learned,
        hasPeers = peers.isNotEmpty(),
        anyPeerReachable = { peersHeardLately().isNotEmpty() },
        everSharded = wasShared,
        ownsMachine = ownsMachine,
        restoreSharingState = beforeDeciding,
    )

    // ---- sharing ---------------------------------------------------------------------------------------------

    private suspend fun share(
        marker: SharingMarker,
        sharing: SharingOptions,
    ) {
        if (marker.layout.count != sharing.shards) log.warn("there are {} shards until sharing is switched off", marker.layout.count)
        val control = ShardedControl(marker, settings, sharing, options.holdTtl, times, state, this, metrics, tracing)
        sharded = control
        try {
            control.run()
        } finally {
            sharded = null
        }
    }

    /** While this controller leads alone: goes over to shards once every sibling is ready for them. */
    private suspend fun openSharing(
        elected: Elected,
        sharing: SharingOptions,
    ) {
        var reason: String? = null
        var cleared = false
        while (true) {
            delay(OPEN_POLL_MS)
            val leader = single.leading ?: continue
            val obstacle = obstacleToSharing(leader)
            if (obstacle != null) {
                if (obstacle != reason) log.info("sharing waits: {}", obstacle)
                reason = obstacle
                continue
            }
            try {
                if (!cleared) sharingSwitch.removeStaleRecords(elected.revision)
                cleared = true
            } catch (e: IOException) {
                log.debug("an earlier time of sharing is not cleared away: {}", e.message)
                continue
            }
            leader.pauseRounds()
            try {
                if (sharingSwitch.enable(
                        elected.term,
                        elected.revision,
                        ShardLayout(sharing.shards),
                    )
                ) {
                    leader.stepDown("shards get owners of their own")
                }
            } catch (e: StateUnavailableException) {
                log.debug("sharing not switched on: {}", e.message)
                // It may have been, or may be later: then owners of shards would be elected while this term goes on. With
                // the lease given back the change can't be carried out any more, and the next reading tells.
                if (!e.knownNotApplied) leader.stepDown("sharing may have been switched on")
            }
            leader.resumeRounds()
        }
    }

    private fun obstacleToSharing(leader: Leader): String? {
        val scheduler = leader.scheduler ?: return "the leader has not read its records"
        val ready = sharingPeers().mapTo(HashSet()) { it.name }
        val missing = peers.keys.firstOrNull { it !in ready }
        return when {
            missing != null -> "$missing is not heard, or shares nothing"
            scheduler.hasShardJobs() -> "jobs of an earlier time of sharing are not over"
            else -> null
        }
    }

    companion object {
        private const val REQUEST_SHARE = 0.9

        /** Of the request rate, what leaves room for elections, and on the leader for its hold and its changes. */
        private const val QUERY_COST = 1.1
        private const val QUERY_COST_LEADING = 1.8
        private const val CLOUD_SHARE = 0.8
        private const val INTAKE_SHARE = 0.8
        private const val INTAKE_BURST = 6.0
        private const val VALUE_SLACK = 64
        private const val HEARTBEAT_AGE_MS = 2_500L
        private const val HEARTBEAT_EVERY_MS = 500L
        private const val IDLE_HEARTBEAT_EVERY_MS = 1_500L
        private const val FEW_SIBLINGS = 2
        private const val RELAY_HEARTBEAT_AGE_MS = 3_000L
        private const val RELAY_MS = 900L

        /** A user waits 2 s for the answer to a query. */
        private const val RELAY_TOTAL_MS = 1_800L
        private const val COUNTS_MS = 300L
        private val COUNTS_PAUSE = Duration(1_000)
        private const val TYPES_RETRY_MS = 1_000L

        /** The hold is renewed oftener than this, so silence for so long is one. */
        private val START_FRESH = Duration(1_200)
        private const val TERM_READ_MS = 1_000L
        private const val ELECTION_POLL_MS = 400L
        private const val OPEN_POLL_MS = 500L
        private const val DRAIN_POLL_MS = 100L
        private const val FIRST_MS = 5_000L
        private const val IDLE_MS = 60_000L
        private const val REQUEST_MS = 10_000L
        private const val WRITE_MS = 10_000L
    }
}
