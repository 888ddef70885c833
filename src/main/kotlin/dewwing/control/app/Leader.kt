package dewwing.control.app

import dewwing.control.api.ApiHost
import dewwing.control.cloud.CloudClient
import dewwing.control.core.CoreSettings
import dewwing.control.core.Effect
import dewwing.control.core.Scheduler
import dewwing.control.core.StateChange
import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
import dewwing.control.core.intent.LogRecord
import dewwing.control.core.intent.RecordKeys
import dewwing.control.core.intent.RecordKind
import dewwing.control.core.intent.ReleaseRecord
import dewwing.control.core.intent.RentalRecord
import dewwing.control.core.leadership.Authority
import dewwing.control.core.leadership.Leadership
import dewwing.control.core.leadership.WorkerSilenceDetector
import dewwing.control.core.sharing.SchedulerScope
import dewwing.control.core.sharing.ShardId
import dewwing.control.state.CommitResult
import dewwing.control.state.FollowResult
import dewwing.control.state.StateClient
import dewwing.control.state.StateUnavailableException
import dewwing.control.worker.WorkerClient
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.MalformedException
import dewwing.protocol.Revision
import dewwing.protocol.StateLeaseId
import dewwing.protocol.Term
import dewwing.protocol.Wire
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException

/** One term in office: feeds the [Scheduler] with what happens and carries out what it decides. */
class Leader(
    val term: Term,
    private val termRevision: Revision,
    private val scope: SchedulerScope,
    /** The leader before this one had read its picture. */
    val predecessorReady: Boolean,
    private val hold: StateLeaseId,
    private val leadership: Leadership,
    private val state: StateClient,
    private val cloud: CloudClient,
    private val workers: WorkerClient,
    private val core: CoreSettings,
    private val options: ControllerOptions,
    private val metrics: Metrics,
    private val clock: ApiHost,
    private val knownTypes: () -> List<MachineType>,
    private val onTypes: (List<MachineType>) -> Unit,
    /** There are siblings to hand over to. */
    private val hasSiblings: Boolean,
    /** Heartbeats of siblings arrive at all. */
    private val siblingsHeard: () -> Boolean,
    /** Shards have had owners of their own: their records are read too. */
    private val wasShared: Boolean = false,
    /** Which machines of the cloud's list are this scheduler's. */
    private val ownsMachine: (Scheduler, MachineId) -> Boolean = { _, _ -> true },
    /** Reads what the scheduler must know besides its records before it decides anything. */
    private val beforeDeciding: suspend (Scheduler) -> Unit = {},
) {
    private val log = LoggerFactory.getLogger("leader")
    private val signal = Channel<Unit>(Channel.CONFLATED)

    /** Conditions of every change under this term. */
    val guards = scope.guards.map { it.key to it.revision }

    /** One controller at a time stores the machine types: the single leader, or the owner of the first shard. */
    private val storesTypes = scope.shard == null || scope.shard == ShardId.FIRST
    private var work: Job? = null

    /** Null until the picture is rebuilt from the state service. */
    var scheduler: Scheduler? = null
        private set

    /** Every change of a job up to this revision is in the picture; null before there is one. */
    var jobsKnown: Revision? = null
        private set

    fun wake() {
        signal.trySend(Unit)
    }

    /** Reports whose answers wait, by machine. */
    private val waiters = LinkedHashMap<MachineId, CompletableDeferred<Unit>>()

    /**
     * Lets the round that a report causes be decided and logged before the report is answered, within
     * [REPORT_ANSWER_MS]: a small part of what a worker waits, and no longer than there is something to expect.
     */
    suspend fun settle(
        s: Scheduler,
        machine: MachineId,
    ) {
        wake()
        if (!s.mayLaunchSoon(machine)) return
        val ready = CompletableDeferred<Unit>()
        waiters.put(machine, ready)?.complete(Unit)
        try {
            withTimeoutOrNull(REPORT_ANSWER_MS) { ready.await() }
        } finally {
            waiters.remove(machine, ready)
        }
    }

    /** Asked here for all: resuming each waiting report to look for itself costs more than the look. */
    private fun announceWritten(s: Scheduler) {
        for ((machine, ready) in waiters) if (!s.mayLaunchSoon(machine)) ready.complete(Unit)
    }

    /** Returns when the term is over. */
    suspend fun run(): Unit =
        coroutineScope {
            val all =
                launch {
                    launch { serve() }
                    launch { renew() }
                }
            work = all
            all.join()
            // Given back at once, or nobody could be elected until it runs out.
            try {
                if (lostWorkers || handedOver) state.dropHold(hold)
            } catch (e: IOException) {
                log.debug("hold not given back: {}", e.message)
            }
        }

    private fun end(reason: String) {
        log.info("term {} ends: {}", term, reason)
        leadership.resign()
        work?.cancel()
    }

    /** The term was ended for somebody else to take over at once. */
    private var handedOver = false

    /** Ends the term and gives its lease back, so that another controller can be elected without waiting for it to run out. */
    fun handOver(reason: String) {
        handedOver = true
        end(reason)
    }

    /** Set while decisions are to stop although the term goes on. */
    private var suspended = false

    /** Nothing is decided from now on; returns once the change under way has its outcome. */
    suspend fun suspendDecisions() {
        suspended = true
        while (scheduler?.hasPendingWrite == true) delay(ROUND_MIN_MS)
    }

    fun resumeDecisions() {
        suspended = false
        wake()
    }

    private suspend fun renew() {
        while (true) {
            val sent = clock.now()
            try {
                if (!state.renewHold(hold, RENEW_TIMEOUT_MS)) {
                    end("the hold has run out")
                    return
                }
                leadership.stateLeaseRenewed(sent)
                delay(options.stateLeaseTtl.ms / 4)
            } catch (e: IOException) {
                log.debug("hold not renewed: {}", e.message)
                delay(RENEW_RETRY_MS)
            }
            if (leadership.highestTerm > term) {
                end("a later term is known")
                return
            }
        }
    }

    private val watch = WorkerSilenceDetector(core.workers.report, core.workers.lease)

    /** The term ended since the workers could not reach this controller. */
    var lostWorkers = false
        private set

    fun heardWorker() = watch.onWorkerReport()

    private suspend fun watchWorkers() {
        while (true) {
            delay(WorkerSilenceDetector.TICK_INTERVAL.ms)
            val s = scheduler ?: continue
            if (!watch.tick(s.reportingMachineCount(), siblingsHeard())) continue
            lostWorkers = true
            end("no worker reaches this controller")
            return
        }
    }

    private suspend fun serve(): Unit =
        coroutineScope {
            val since = rebuild()
            launch { markReady() }
            // A controller that runs alone has nobody whom the workers could reach instead.
            if (hasSiblings) launch { watchWorkers() }
            launch { followJobs(since) }
            launch { watchCloud() }
            decide(this)
        }

    // ---- rebuilding ------------------------------------------------------------------------------------------

    private suspend fun rebuild(): Revision {
        while (true) {
            try {
                val asked = clock.now()
                val wallOffset = clock.wallMs() - clock.now().ms
                val s = Scheduler(core, term, termRevision, clock.now(), wallOffset, scope)
                s.onMachineTypes(knownTypes())
                val since =
                    state.list(Keys.JOBS) { page ->
                        for (e in page) readJob(e) { ref, record -> s.restoreJob(ref, record, e.revision) }
                    }
                for (prefix in recordPrefixes()) {
                    state.list(prefix) { page -> for (e in page) restoreRecord(s, e) }
                }
                beforeDeciding(s)
                s.finishRestore(clock.now())
                scheduler = s
                readJobs(since, asked)
                return since
            } catch (e: IOException) {
                log.debug("not rebuilt yet: {}", e.message)
                delay(RETRY_MS)
            }
        }
    }

    /** A single leader reads the records of shards too if there ever were any. */
    private fun recordPrefixes(): List<String> =
        if (scope.shard == null && wasShared) scope.recordPrefixes + RecordKeys.SHARDS else scope.recordPrefixes

    private fun restoreRecord(
        s: Scheduler,
        entry: Wire.Entry,
    ) = read(entry) { value ->
        when (RecordKeys.kindOf(entry.key)) {
            RecordKind.LOG -> s.restoreLog(entry.key, LogRecord.of(value))
            RecordKind.RENTAL -> s.restoreRent(entry.key, RentalRecord.of(value), clock.now())
            RecordKind.RELEASE -> s.restoreRelease(entry.key, ReleaseRecord.of(entry.key, value))
            RecordKind.FENCE -> s.restoreFence(entry.key)
            null -> log.warn("record {} is of no known kind", entry.key)
        }
    }

    /** Tells a successor that whatever was cancelled before this term is known to its workers or to be killed. */
    private suspend fun markReady() {
        val change = StateChange(guards, listOf(scope.readyKey to mapOf("n" to term.value)))
        while (true) {
            try {
                state.commit(change)
                return
            } catch (e: IOException) {
                log.debug("picture not announced yet: {}", e.message)
                delay(RETRY_MS)
            }
        }
    }

    private fun readJobs(
        upTo: Revision,
        askedAt: Instant,
    ) {
        jobsKnown = upTo
        leadership.jobsRead(askedAt)
    }

    private inline fun read(
        entry: Wire.Entry,
        use: (Map<String, Any?>) -> Unit,
    ) {
        try {
            entry.value?.let(use)
        } catch (e: MalformedException) {
            log.error("record {} cannot be read: {}", entry.key, e.message)
        }
    }

    private inline fun readJob(
        entry: Wire.Entry,
        use: (JobRef, JobRecord) -> Unit,
    ) = read(entry) { value ->
        val record = JobRecord.of(value)
        if (scope.owns(record.shard)) Keys.parseJobKey(entry.key)?.let { ref -> use(ref, record) }
    }

    // ---- listening -------------------------------------------------------------------------------------------

    private suspend fun followJobs(from: Revision) {
        var since = from
        while (true) {
            try {
                val asked = clock.now()
                when (val result = state.follow(Keys.JOBS, since, leadership.times.watchInterval)) {
                    is FollowResult.Changes -> {
                        result.entries.forEach(::jobChanged)
                        since = result.revision
                    }

                    FollowResult.TooOld -> {
                        since = state.list(Keys.JOBS) { it.forEach(::jobChanged) }
                    }
                }
                readJobs(since, asked)
                wake()
            } catch (e: IOException) {
                log.debug("following jobs: {}", e.message)
                delay(RETRY_MS)
            } catch (e: MalformedException) {
                log.warn("following jobs: {}", e.message)
                delay(RETRY_MS)
            }
        }
    }

    private fun jobChanged(entry: Wire.Entry) =
        readJob(entry) { ref, record -> scheduler?.onJobRecord(ref, record, entry.revision, clock.now()) }

    private suspend fun watchCloud() {
        var typesAt = clock.now() + Duration(-TYPES_EVERY_MS)
        var stored: List<MachineType>? = null
        var listEveryMs = CloudClient.listEveryMs(0, core.cloud.requestsPerS)
        while (true) {
            try {
                if ((clock.now() - typesAt).ms >= TYPES_EVERY_MS) {
                    val types = cloud.machineTypes()
                    typesAt = clock.now()
                    onTypes(types)
                    scheduler?.onMachineTypes(types)
                    if (stored == null && storesTypes) stored = storeTypes(types)
                }
                val list = cloud.machines()
                listEveryMs = CloudClient.listEveryMs(list.size, core.cloud.requestsPerS)
                scheduler?.let { s -> s.onMachineList(list.filter { ownsMachine(s, it.id) }, clock.now()) }
            } catch (e: IOException) {
                log.info("cloud: {}", e.message)
            } catch (e: MalformedException) {
                log.warn("cloud answered nonsense: {}", e.message)
            }
            delay(listEveryMs)
        }
    }

    private suspend fun storeTypes(types: List<MachineType>): List<MachineType>? =
        try {
            // Its own revision too: a copy that comes late must not put older types back.
            val before = state.get(Keys.MACHINE_TYPES)?.revision ?: Revision.ABSENT
            val change =
                StateChange(
                    guards + (Keys.MACHINE_TYPES to before),
                    listOf(Keys.MACHINE_TYPES to Wire.machineTypesMap(types)),
                )
            if (state.commit(change) is CommitResult.Applied) types else null
        } catch (e: IOException) {
            null
        }

    // ---- deciding --------------------------------------------------------------------------------------------

    private suspend fun decide(scope: CoroutineScope) {
        while (true) {
            val s = scheduler ?: return
            if (!suspended && leadership.authority(clock.now(), state.failing) == Authority.FULL) {
                val begun = System.nanoTime()
                val until = begun + options.roundBudget.ms * 1_000_000
                val effects = s.runRound(clock.now()) { System.nanoTime() < until }
                metrics.recordRound(System.nanoTime() - begun)
                for ((jobClass, span) in s.takeWaitTimes()) metrics.recordWaitTime(jobClass, span.ms)
                for (effect in effects) scope.launch { carryOut(s, effect) }
            }
            withTimeoutOrNull(ROUND_MAX_MS) { signal.receive() }
            delay(ROUND_MIN_MS)
        }
    }

    private suspend fun carryOut(
        s: Scheduler,
        effect: Effect,
    ) {
        when (effect) {
            is Effect.Write -> {
                write(s, effect.change)
            }

            is Effect.Kill -> {
                workers.kill(effect.endpoint, term, effect.session, effect.kills)
            }

            is Effect.Rent -> {
                try {
                    s.onRented(effect.key, cloud.rent(effect.order), clock.now())
                } catch (e: IOException) {
                    log.info("rental {} unanswered: {}", effect.order.requestId, e.message)
                    s.onRentOutcomeUnknown(effect.key, clock.now())
                } catch (e: MalformedException) {
                    log.warn("rental {}: {}", effect.order.requestId, e.message)
                    s.onRentOutcomeUnknown(effect.key, clock.now())
                }
            }

            is Effect.Release -> {
                try {
                    cloud.release(effect.machines)
                    s.onReleased(effect.machines, clock.now())
                } catch (e: IOException) {
                    log.info("release of {} unanswered: {}", effect.machines, e.message)
                    s.onReleaseOutcomeUnknown(effect.machines, clock.now())
                }
            }
        }
        wake()
    }

    /** Repeats the change until its outcome is certain; a late copy of it fails on the term or on its own keys. */
    private suspend fun write(
        s: Scheduler,
        change: StateChange,
    ) {
        while (true) {
            try {
                when (val result = state.commit(change)) {
                    is CommitResult.Applied -> {
                        s.onWriteApplied(result.revision, clock.now())
                    }

                    is CommitResult.Conflict -> {
                        if (!s.onWriteRefused(result.failed, clock.now())) end("the term's key changed")
                        reread(result.failed)
                    }

                    CommitResult.HoldEnded -> {
                        end("the hold has run out")
                    }
                }
                announceWritten(s)
                return
            } catch (e: StateUnavailableException) {
                if (!e.certainlyNot) s.onWriteOutcomeUnknown()
                log.debug("change not certain: {}", e.message)
                delay(RETRY_MS)
            }
        }
    }

    /**
     * Jobs that changed under a refused change. Their watch tells as well, but while it hangs every further change that
     * touches one of them would be refused too, and all that goes with it.
     */
    private suspend fun reread(failed: List<String>) {
        for (key in failed) {
            if (!key.startsWith(Keys.JOBS)) continue
            try {
                state.get(key)?.let(::jobChanged)
            } catch (e: IOException) {
                log.debug("changed job {} not read: {}", key, e.message)
            }
        }
    }

    companion object {
        private const val REPORT_ANSWER_MS = 400L
        private const val RENEW_TIMEOUT_MS = 700L
        private const val RENEW_RETRY_MS = 150L
        private const val RETRY_MS = 250L

        private const val TYPES_EVERY_MS = 20_000L
        private const val ROUND_MIN_MS = 100L
        private const val ROUND_MAX_MS = 300L
    }
}
