package dewwing.control.app

import dewwing.control.api.ApiHost
import dewwing.control.api.QueryRate
import dewwing.control.api.UserApi
import dewwing.control.cloud.CloudClient
import dewwing.control.core.CoreSettings
import dewwing.control.core.JobCounts
import dewwing.control.core.SharedRate
import dewwing.control.core.StateChange
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
import dewwing.control.http.HttpAnswer
import dewwing.control.http.HttpClient
import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpServer
import dewwing.control.http.ServerLimits
import dewwing.control.peer.PeerAnswer
import dewwing.control.peer.PeerClient
import dewwing.control.peer.PeerRequest
import dewwing.control.peer.PeerServer
import dewwing.control.peer.PeerState
import dewwing.control.state.CommitResult
import dewwing.control.state.StateClient
import dewwing.control.state.StateUnavailableException
import dewwing.control.worker.WorkerClient
import dewwing.protocol.Fields
import dewwing.protocol.HoldId
import dewwing.protocol.Incarnation
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobStage
import dewwing.protocol.MachineType
import dewwing.protocol.MalformedException
import dewwing.protocol.Pack
import dewwing.protocol.Revision
import dewwing.protocol.Settings
import dewwing.protocol.Span
import dewwing.protocol.Term
import dewwing.protocol.Wire
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException
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
) : ApiHost {
    private val log = LoggerFactory.getLogger("controller")
    private val nodes = settings.siblings.size + 1

    /** This controller's part of the state service's request rate. */
    private val requestsPerS = settings.stateLimits.requestsPerS * REQUEST_SHARE / nodes

    private val state =
        StateClient(
            http = HttpClient(selector, settings.state, maxIdle = 8),
            watches = HttpClient(selector, settings.state, maxIdle = 1),
            requests = TokenBucket(requestsPerS, requestsPerS),
            clock = ::now,
            onOutcome = { call, outcome -> metrics.called("state", call, outcome) },
        )
    private val cloud =
        CloudClient(
            http = HttpClient(selector, settings.cloud, maxIdle = 2),
            requests = TokenBucket(settings.cloudLimits.requestsPerS * CLOUD_SHARE, settings.cloudLimits.requestsPerS),
            clock = ::now,
            onOutcome = { call, outcome -> metrics.called("cloud", call, outcome) },
        )
    private val workers = WorkerClient(selector) { call, outcome -> metrics.called("worker", call, outcome) }
    private val peers = settings.siblings.associate { it.name to PeerClient(selector, it.endpoint) }
    private val heartbeats = HashMap<String, PeerHeartbeat>()
    private val leadership =
        Leadership(
            LeadershipTimes
                .of(settings.workers, options.holdTtl, Span(minOf(HEARTBEAT_AGE_MS, tunables.outageBound.ms)))
                .also(::warnOfNoRoom),
            siblings = peers.keys,
        )
    private val incarnation = Incarnation(Random.nextLong())
    private val confirmed = ConfirmedCancellations()
    private val api: UserApi
    private var types: List<MachineType> = emptyList()
    private var leaderName: String? = null

    /** When [leaderName] was last confirmed; an old name would send workers to a controller that may be gone. */
    private var leaderSeenAt = Instant.NEVER

    /** When the state service itself last named the leader to this controller. */
    private var leaderReadAt = Instant.NEVER

    /** Until then somebody whom the workers can reach is to lead. */
    private var standBackUntil = Instant.NEVER
    private var leading: Leader? = null

    /** Until then the leader is not asked for display counts, since it has just not answered. */
    private var noCountsUntil = Instant.NEVER

    override val machineTypes: Collection<MachineType> get() = types

    override fun now(): Instant = Instant(System.nanoTime() / 1_000_000)

    override fun wallMs(): Long = System.currentTimeMillis()

    init {
        val intakePerS = settings.stateLimits.writesPerS * (1 - tunables.writeShare) * INTAKE_SHARE / nodes
        api =
            UserApi(
                state = state,
                quota = Quota(settings.teams),
                host = this,
                changes = SharedRate(intakePerS, maxOf(INTAKE_BURST, intakePerS)),
                queryRate =
                    QueryRate(requestsPerS, requestsPerS) { if (leading == null) QUERY_COST else QUERY_COST_LEADING },
                maxConditions = settings.stateLimits.opsPerCommit * Wire.CONDITIONS_PER_OP,
                maxValueBytes = settings.stateLimits.valueBytes - VALUE_SLACK,
            )
        metrics.gauge("dewwing.term", "Highest term known") { leadership.highestTerm.value }
        metrics.gauge("dewwing.leading", "1 on the leader") { if (leading == null) 0 else 1 }
    }

    private fun warnOfNoRoom(times: LeadershipTimes) {
        if (times.heartbeatAge.ms < HEARTBEAT_EVERY_MS * 2) {
            log.warn(
                "workers.cancel_s leaves no room beyond workers.lease_s: an outage of the state service costs the leases of all running work",
            )
        } else if (!times.readingsSuffice) {
            log.warn("workers.cancel_s leaves little room beyond workers.lease_s: leases are renewed only while all siblings are heard")
        }
    }

    suspend fun run(): Unit =
        coroutineScope {
            val limits =
                ServerLimits(
                    connections = settings.sockets * 3 / 4,
                    maxBody = Wire.MAX_BODY,
                    firstMs = FIRST_MS,
                    idleMs = IDLE_MS,
                    requestMs = REQUEST_MS,
                    writeMs = WRITE_MS,
                )
            launch { api.run() }
            launch { HttpServer(selector, settings.serveOn, limits, handler = ::serve).run() }
            launch { PeerServer(selector, settings.peerListen, ::answerPeer).run() }
            for ((name, client) in peers) launch { exchangeHeartbeats(name, client) }
            launch { learnTypes() }
            electForEver()
        }

    // ---- serving ---------------------------------------------------------------------------------------------

    private suspend fun serve(request: HttpRequest): HttpAnswer {
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

    private fun notAllowed(method: String) = HttpAnswer(405, Pack.encode(Wire.error("use $method")), allow = method)

    /** A controller cut off from the state service and from every sibling can do nothing for a user. */
    private fun health(): HttpAnswer =
        when {
            types.isEmpty() -> HttpAnswer.error(503, "machine types are not known yet", 1)
            state.givenUp && peers.isNotEmpty() && peersHeardLately().isEmpty() -> HttpAnswer.error(503, "cut off", 1)
            else -> HttpAnswer.of(200, emptyMap<String, Any?>())
        }

    private fun scrape(): HttpAnswer {
        val scheduler = leading?.scheduler
        val text = metrics.scrape(scheduler?.queueByClass() ?: emptyMap(), scheduler?.machinesByState() ?: emptyMap())
        return HttpAnswer(200, text.toByteArray(), contentType = "text/plain; version=0.0.4")
    }

    /** A worker's report. Only a 200 with our term renews its lease, so that answer rests on our authority now. */
    private suspend fun report(request: HttpRequest): HttpAnswer {
        val report =
            try {
                Wire.report(Pack.decodeMap(request.body))
            } catch (e: MalformedException) {
                return HttpAnswer.error(400, e.message ?: "malformed")
            }
        leadership.heardTerm(report.term)
        val lead = leading
        var authority = leadership.authority(now(), state.failing)
        // Also while nothing may be answered: workers that come in vain are no sign that they cannot come.
        lead?.heardWorker()
        if (lead == null || authority == Authority.NONE) return elsewhere()
        val scheduler = lead.scheduler
        if (scheduler == null) {
            // Without the picture nobody here knows which of its tasks are cancelled.
            if (authority != Authority.FULL || !leadership.mayInherit(lead.predecessorReady)) return elsewhere()
            return HttpAnswer.of(200, Wire.reportAnswer(lead.term, emptyList()))
        }
        if (!leadership.informed(now())) return elsewhere()
        scheduler.onReport(report, now())
        if (authority == Authority.FULL) {
            lead.settle(scheduler, report.machine)
            authority = leadership.authority(now(), state.failing)
            if (leading !== lead || authority == Authority.NONE || !leadership.informed(now())) return elsewhere()
        }
        val commands = scheduler.commands(report, now(), mayStart = authority == Authority.FULL && seesCancellations())
        return HttpAnswer.of(200, Wire.reportAnswer(lead.term, commands))
    }

    /** A start logged before its job was cancelled elsewhere must not go out once that could be seen no more. */
    private fun seesCancellations() = now() - state.lastAnswered <= START_FRESH && leadership.mayStart(now())

    private fun elsewhere(): HttpAnswer = HttpAnswer.of(421, Wire.redirect(otherLeader()))

    /** The name of the leader, if it is another controller and was confirmed lately. */
    private fun otherLeader(): String? = leaderName?.takeIf { it != settings.node && now() - leaderSeenAt < LEADER_FRESH }

    private fun sawLeader(name: String?) {
        leaderName = name
        leaderSeenAt = now()
    }

    // ---- siblings --------------------------------------------------------------------------------------------

    private fun ownState(): PeerState {
        val sure = leading != null || now() - leaderReadAt < LEADER_FRESH
        return PeerState(
            reachesState = !state.failing && state.lastAnswered > Instant.NEVER,
            highestTerm = leadership.highestTerm,
            leader = leaderName?.takeIf { sure } ?: "",
            incarnation = incarnation,
        )
    }

    private suspend fun exchangeHeartbeats(
        name: String,
        client: PeerClient,
    ) {
        while (true) {
            val sent = now()
            try {
                val lead = leading
                val answer = client.ask(PeerRequest.Heartbeat(settings.node, ownState(), lead?.jobsKnown), HEARTBEAT_TIMEOUT_MS)
                if (answer is PeerAnswer.Heartbeat) onHeartbeat(name, answer, sent, lead)
            } catch (e: IOException) {
                log.debug("no heartbeat from {}: {}", name, e.message)
            }
            // The leader's outage rule rests on fresh heartbeats; for the rest, seven controllers asking each other twice a
            // second cost more processor time than all else that followers do.
            val eager = leading != null || state.failing || peers.size <= FEW_SIBLINGS
            delay(if (eager) HEARTBEAT_EVERY_MS else IDLE_HEARTBEAT_EVERY_MS)
        }
    }

    private fun onHeartbeat(
        name: String,
        answer: PeerAnswer.Heartbeat,
        sent: Instant,
        askedAs: Leader?,
    ) {
        val said = answer.heartbeat
        for (c in answer.cancellations ?: emptyList()) leading?.scheduler?.onCancelled(c.job, c.revision, now())
        // Dated when it was asked for: the sibling said it later than that, never earlier.
        val hasAllCancellations = answer.cancellations != null && askedAs === leading
        val heartbeat = PeerHeartbeat(sent, said.reachesState, said.highestTerm, said.incarnation, hasAllCancellations)
        heartbeats[name] = heartbeat
        leadership.heard(name, heartbeat, now())
        hearLeader(said)
    }

    /**
     * A user is about to be told that [job] is cancelled. A leader that the state service refuses would not see it, and
     * would keep its tasks alive in an outage.
     */
    override fun onCancellationConfirmed(
        job: JobRef,
        revision: Revision,
    ) {
        confirmed.note(Cancellation(job, revision))
        leading?.scheduler?.onCancelled(job, revision, now())
    }

    private fun hearLeader(heartbeat: PeerState) {
        val fresher = heartbeat.leader == leaderName || now() - leaderReadAt >= LEADER_FRESH || leaderName == null
        if (fresher && leading == null && heartbeat.leader.isNotEmpty() && heartbeat.leader != settings.node &&
            heartbeat.highestTerm >= leadership.highestTerm
        ) {
            sawLeader(heartbeat.leader)
        }
    }

    private suspend fun answerPeer(request: PeerRequest): PeerAnswer =
        when (request) {
            is PeerRequest.Heartbeat -> {
                leadership.heardTerm(request.heartbeat.highestTerm)
                PeerAnswer.Heartbeat(ownState(), request.jobsKnown?.let(confirmed::since))
            }

            is PeerRequest.Counts -> {
                val counts = JobRef.parse(request.ref)?.let { leading?.scheduler?.counts(it) }
                PeerAnswer.Counts(counts != null, counts?.running ?: 0, counts?.done ?: 0)
            }

            is PeerRequest.Relay -> {
                val answer = api.handle(HttpRequest(request.method, request.path, "", request.body), relayed = true)
                PeerAnswer.Relay(answer.status, answer.retryAfterS ?: 0, answer.body)
            }
        }

    private fun peersHeardLately(): Set<String> {
        val at = now()
        return heartbeats.filter { (at - it.value.at).ms < RELAY_HEARTBEAT_AGE_MS }.keys
    }

    private fun peersReachingState(): List<String> = peersHeardLately().filter { heartbeats[it]?.reachesState == true }

    override val cutOffAlone: Boolean get() = state.failing && peersReachingState().isNotEmpty()

    /** Bounded as a whole: a sibling that has stopped without ending still looks able for a while. */
    override suspend fun relay(request: HttpRequest): HttpAnswer? =
        withTimeoutOrNull(RELAY_TOTAL_MS) { peersReachingState().firstNotNullOfOrNull { relayTo(it, request) } }

    private suspend fun relayTo(
        name: String,
        request: HttpRequest,
    ): HttpAnswer? {
        try {
            val ask = PeerRequest.Relay(request.method, request.path, request.body)
            val answer = peers[name]?.ask(ask, RELAY_MS) as? PeerAnswer.Relay ?: return null
            return HttpAnswer(answer.status, answer.body, answer.retryAfterS.takeIf { it > 0 })
        } catch (e: IOException) {
            log.debug("relay by {} failed: {}", name, e.message)
            return null
        }
    }

    override suspend fun counts(ref: JobRef): JobCounts? {
        leading?.scheduler?.let { return it.counts(ref) }
        if (now() < noCountsUntil) return null
        val client = peers[leaderName ?: return null] ?: return null
        return try {
            val answer = client.ask(PeerRequest.Counts(ref.value), COUNTS_MS)
            if (answer !is PeerAnswer.Counts || !answer.known) {
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
                val stored = state.get(Keys.TYPES)?.value
                if (stored != null) learned(Wire.machineTypes(Fields(stored)))
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
                val seen = readTerm()
                if (seen.holder != null && seen.holderName != settings.node) {
                    sawLeader(seen.holderName)
                    leaderReadAt = leaderSeenAt
                } else if (seen.holder == null && now() < standBackUntil) {
                    leaderName = null
                } else if (seen.holder == null) {
                    leaderName = null
                    // Siblings see the hold end at the same moment.
                    delay(Random.nextLong(ELECTION_JITTER_MS))
                    stand(seen)?.let { lead(it) }
                } else {
                    // Left by our own earlier life, or by an election whose change came late: nobody leads under it,
                    // and nobody can be elected while it lasts.
                    leaderName = null
                    (seen.holder.value?.get("hold") as? Long)?.let { state.dropHold(HoldId(it)) }
                }
            } catch (e: IOException) {
                log.debug("state service: {}", e.message)
            } catch (e: MalformedException) {
                log.warn("state service answered nonsense: {}", e.message)
            }
            delay(ELECTION_POLL_MS)
        }
    }

    /** [ready]: whoever was elected for [term] came to have its picture; true as well when nobody ever was. */
    private class TermSeen(
        val term: Term,
        val revision: Revision,
        val holder: Wire.Entry?,
        val holderName: String?,
        val ready: Boolean,
    )

    private suspend fun readTerm(): TermSeen {
        var term = Term.NONE
        var revision = Revision.ABSENT
        var holder: Wire.Entry? = null
        var ready = Term.NONE
        // A short wait: after a cut, a read that hangs would hide for seconds that the service answers again.
        state.list(Keys.TERM, TERM_READ_MS) { entries ->
            for (e in entries) {
                if (e.key == Keys.TERM) {
                    term = Term((e.value?.get("n") as? Long) ?: 0)
                    revision = e.revision
                }
                if (e.key == Keys.HOLDER) holder = e
                if (e.key == Keys.READY) ready = Term((e.value?.get("n") as? Long) ?: 0)
            }
        }
        leadership.heardTerm(term)
        return TermSeen(term, revision, holder, holder?.value?.get("node") as? String, ready >= term)
    }

    private class Elected(
        val term: Term,
        val revision: Revision,
        val hold: HoldId,
        val holdSentAt: Instant,
        val predecessorReady: Boolean,
    )

    private suspend fun stand(seen: TermSeen): Elected? {
        val sent = now()
        val hold = state.createHold(options.holdTtl)
        val term = seen.term.next()
        val change =
            StateChange(
                conditions = listOf(Keys.TERM to seen.revision, Keys.HOLDER to Revision.ABSENT),
                puts =
                    listOf(
                        Keys.TERM to mapOf("n" to term.value, "node" to settings.node),
                        Keys.HOLDER to mapOf("n" to term.value, "node" to settings.node, "hold" to hold.value),
                    ),
            )
        val result =
            try {
                state.commit(change, hold, Keys.HOLDER)
            } catch (e: StateUnavailableException) {
                if (e.certainlyNot) return null
                // Unknown: the holder's record tells, since nobody else has our hold's number.
                val again = readTerm()
                if (again.holder?.value?.get("hold") != hold.value || again.term != term) return null
                CommitResult.Applied(again.revision)
            }
        if (result is CommitResult.Applied) return Elected(term, result.revision, hold, sent, seen.ready)
        try {
            state.dropHold(hold)
        } catch (e: IOException) {
            log.debug("hold not dropped: {}", e.message)
        }
        return null
    }

    private suspend fun lead(elected: Elected) {
        log.info("elected for term {}", elected.term)
        sawLeader(settings.node)
        leadership.elected(elected.term, elected.holdSentAt)
        val leader =
            Leader(
                term = elected.term,
                termRevision = elected.revision,
                predecessorReady = elected.predecessorReady,
                hold = elected.hold,
                leadership = leadership,
                state = state,
                cloud = cloud,
                workers = workers,
                core =
                    CoreSettings(
                        settings.teams,
                        settings.objectives,
                        settings.workers,
                        settings.stateLimits,
                        settings.cloudLimits,
                        tunables,
                        hasSiblings = peers.isNotEmpty(),
                    ),
                options = options,
                metrics = metrics,
                clock = this,
                knownTypes = { types },
                onTypes = ::learned,
                hasSiblings = peers.isNotEmpty(),
                siblingsHeard = { peersHeardLately().isNotEmpty() },
            )
        leading = leader
        try {
            leader.run()
        } finally {
            leadership.resign()
            leading = null
            leaderName = null
            if (leader.lostWorkers) standBackUntil = now() + STAND_BACK
            log.info("term {} is over", elected.term)
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
        private const val HEARTBEAT_TIMEOUT_MS = 1_000L
        private const val RELAY_HEARTBEAT_AGE_MS = 3_000L
        private const val RELAY_MS = 900L

        /** A user waits 2 s for the answer to a query. */
        private const val RELAY_TOTAL_MS = 1_800L
        private const val COUNTS_MS = 300L
        private val COUNTS_PAUSE = Span(1_000)
        private const val TYPES_RETRY_MS = 1_000L
        private val LEADER_FRESH = Span(3_000)

        /** The hold is renewed oftener than this, so silence for so long is one. */
        private val START_FRESH = Span(1_200)
        private val STAND_BACK = Span(10_000)
        private const val TERM_READ_MS = 1_000L
        private const val ELECTION_POLL_MS = 400L
        private const val ELECTION_JITTER_MS = 120L
        private const val FIRST_MS = 5_000L
        private const val IDLE_MS = 60_000L
        private const val REQUEST_MS = 10_000L
        private const val WRITE_MS = 10_000L
    }
}
