package dewwing.control.app

import dewwing.control.api.ApiHost
import dewwing.control.cloud.CloudClient
import dewwing.control.core.CoreSettings
import dewwing.control.core.Effect
import dewwing.control.core.Scheduler
import dewwing.control.core.StateChange
import dewwing.control.core.TokenBucket
import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
import dewwing.control.core.intent.LogRecord
import dewwing.control.core.intent.RecordKeys
import dewwing.control.core.intent.RecordKind
import dewwing.control.core.intent.ReleaseRecord
import dewwing.control.core.intent.RentalRecord
import dewwing.control.core.leadership.Authority
import dewwing.control.core.leadership.Cancellation
import dewwing.control.core.leadership.CancellationsBeforeRestore
import dewwing.control.core.leadership.Leadership
import dewwing.control.core.leadership.WorkerSilenceDetector
import dewwing.control.core.sharing.SchedulerScope
import dewwing.control.core.sharing.ShardId
import dewwing.control.state.CommitResult
import dewwing.control.state.StateClient
import dewwing.control.state.StateUnavailableException
import dewwing.control.state.WatchResult
import dewwing.control.worker.WorkerClient
import dewwing.protocol.Command
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.MalformedException
import dewwing.protocol.Report
import dewwing.protocol.Revision
import dewwing.protocol.StateLeaseId
import dewwing.protocol.Term
import dewwing.protocol.Wire
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException

/** One term of leadership: passes events to the [Scheduler] and executes the effects of its scheduling rounds. */
class Leader(
    val term: Term,
    private val termRevision: Revision,
    private val scope: SchedulerScope,
    /** Whether the previous leader had restored its state. */
    private val predecessorReady: Boolean,
    private val stateLease: StateLeaseId,
    private val leadership: Leadership,
    private val state: StateClient,
    private val cloud: CloudClient,
    private val workers: WorkerClient,
    private val coreSettings: CoreSettings,
    private val options: ControllerOptions,
    private val metrics: Metrics,
    /** Limits the requests that check launches. */
    private val launchCheckBudget: TokenBucket,
    private val clock: ApiHost,
    private val knownMachineTypes: () -> List<MachineType>,
    private val onMachineTypes: (List<MachineType>) -> Unit,
    /** Whether the deployment has other controllers that can take over. */
    private val hasPeers: Boolean,
    /** Whether heartbeats of at least one peer arrive. */
    private val anyPeerReachable: () -> Boolean,
    /** Whether sharding has been in use at some time; the records of shards are then read too. */
    private val everSharded: Boolean = false,
    /** Whether a machine in the cloud's list belongs to this scheduler. */
    private val ownsMachine: (Scheduler, MachineId) -> Boolean = { _, _ -> true },
    /** Restores what the scheduler needs besides its own records before its first scheduling round. */
    private val restoreSharingState: suspend (Scheduler) -> Unit = {},
    /** The cancellations known at the election; applied to the scheduler once that is restored. */
    private val cancellationsBeforeRestore: CancellationsBeforeRestore = CancellationsBeforeRestore(readBeforeElection = null),
) {
    private val log = LoggerFactory.getLogger("leader")
    private val roundRequests = Channel<Unit>(Channel.CONFLATED)
    private val jobsReadRequests = Channel<Unit>(Channel.CONFLATED)

    /** Conditions of every write in this term. */
    val guards = scope.guards.map { it.key to it.revision }

    /** Only one controller at a time stores the machine types: the single leader, or the owner of the first shard. */
    private val storesMachineTypes = scope.shard == null || scope.shard == ShardId.FIRST
    private var termCoroutines: Job? = null

    /** The term has ended, although its coroutines may not have stopped yet. */
    var hasEnded = false
        private set

    /** Null until the state is restored from the state service. */
    var scheduler: Scheduler? = null
        private set

    /** Every change of a job up to this revision is known here; null before the first read of the jobs. */
    var jobsReadUpTo: Revision? = cancellationsBeforeRestore.readBeforeElection?.readUpTo
        private set

    init {
        cancellationsBeforeRestore.readBeforeElection?.let { leadership.jobsRead(it.requestedAt) }
    }

    /** A cancellation has been confirmed to a user, or is about to be. */
    fun onCancelled(cancellation: Cancellation) {
        val restored = scheduler
        if (restored == null) {
            cancellationsBeforeRestore.add(cancellation)
        } else {
            restored.onCancelled(cancellation.job, cancellation.revision, clock.now())
        }
    }

    /**
     * The commands of an answer to [report] before the state is restored: the reported tasks of cancelled jobs are ended. Null
     * if this leader may not answer yet, since it does not know all cancelled jobs.
     */
    fun commandsBeforeRestore(
        report: Report,
        authority: Authority,
    ): List<Command>? {
        val hasReadJobs = cancellationsBeforeRestore.readBeforeElection != null && leadership.knowsCancellations(clock.now())
        val mayAnswer = hasReadJobs || (authority == Authority.FULL && leadership.mayRenewBeforeRestore(predecessorReady))
        return if (mayAnswer) cancellationsBeforeRestore.killsFor(report) else null
    }

    fun requestRound() {
        roundRequests.trySend(Unit)
    }

    /** Reports that wait for placements. */
    private val delayedReports = DelayedReports()
    private var launchVerifier: LaunchVerifier? = null

    /** Waits until the tasks that are to be launched in the answer to a report of [machine] are logged, and their jobs checked. */
    suspend fun prepareLaunches(
        scheduler: Scheduler,
        machine: MachineId,
    ) {
        awaitLaunchDecision(scheduler, machine)
        launchVerifier?.verify(machine)
    }

    /**
     * Requests a scheduling round after a report of [machine] and waits until the launches that it causes are logged, so
     * that the answer to the report can contain them. Waits only while such a launch may still become ready, and at most
     * [MAX_REPORT_WAIT_MS], a small part of the worker's answer timeout.
     */
    private suspend fun awaitLaunchDecision(
        scheduler: Scheduler,
        machine: MachineId,
    ) {
        requestRound()
        if (scheduler.mayLaunchSoon(machine)) delayedReports.await(machine, MAX_REPORT_WAIT_MS)
    }

    /** Checks all delayed reports here, since resuming each of them to check for itself would cost more than the check. */
    private fun resumeDelayedReports(scheduler: Scheduler) = delayedReports.resumeIf { !scheduler.mayLaunchSoon(it) }

    /** Returns when the term has ended. */
    suspend fun run(): Unit =
        coroutineScope {
            val coroutines =
                launch {
                    launch { restoreAndSchedule() }
                    launch { renewStateLease() }
                }
            termCoroutines = coroutines
            coroutines.join()
            // The state lease is released at once; otherwise no controller could be elected until it expires.
            try {
                if (lostWorkerContact || steppedDown) state.revokeStateLease(stateLease)
            } catch (e: IOException) {
                log.debug("cannot release the state lease: {}", e.message)
            }
        }

    private fun endTerm(reason: String) {
        log.info("term {} ends: {}", term, reason)
        hasEnded = true
        leadership.resign()
        termCoroutines?.cancel()
    }

    /** The term was ended so that another controller can take over at once. */
    private var steppedDown = false

    /** Ends the term and releases the state lease, so that another controller can be elected before the lease would expire. */
    fun stepDown(reason: String) {
        steppedDown = true
        endTerm(reason)
    }

    /** While set, no scheduling rounds are run although the term continues. */
    private var roundsPaused = false

    /** Stops scheduling rounds until [resumeRounds]; returns once the outcome of a write in flight is known or the term has ended. */
    suspend fun pauseRounds() {
        roundsPaused = true
        while (!hasEnded && scheduler?.hasPendingWrite == true) delay(MIN_ROUND_INTERVAL_MS)
    }

    fun resumeRounds() {
        roundsPaused = false
        requestRound()
    }

    private suspend fun renewStateLease() {
        while (true) {
            val sentAt = clock.now()
            try {
                if (!state.renewStateLease(stateLease, RENEW_TIMEOUT_MS)) {
                    endTerm("the state lease has expired")
                    return
                }
                leadership.stateLeaseRenewed(sentAt)
                delay(options.stateLeaseTtl.ms / 4)
            } catch (e: IOException) {
                log.debug("cannot renew the state lease: {}", e.message)
                delay(RENEW_RETRY_DELAY_MS)
            }
            if (leadership.highestTerm > term) {
                endTerm("a higher term is known")
                return
            }
        }
    }

    private val silenceDetector = WorkerSilenceDetector(coreSettings.workers.reportInterval, coreSettings.workers.leaseDuration)

    /** The term ended because no worker could reach this controller. */
    var lostWorkerContact = false
        private set

    fun onWorkerReport() = silenceDetector.onWorkerReport()

    private suspend fun detectWorkerSilence() {
        while (true) {
            delay(WorkerSilenceDetector.TICK_INTERVAL.ms)
            val scheduler = scheduler ?: continue
            if (!silenceDetector.tick(scheduler.reportingMachineCount(), anyPeerReachable())) continue
            // In an outage of the state service nobody can be elected instead, and the workers may reach this leader again.
            if (state.failing) continue
            lostWorkerContact = true
            endTerm("no worker reports reach this controller")
            return
        }
    }

    private suspend fun restoreAndSchedule(): Unit =
        coroutineScope {
            val since = restoreState()
            launch { markReady() }
            // Without peers there is no other controller that the workers could reach.
            if (hasPeers) launch { detectWorkerSilence() }
            launch { watchJobs(since) }
            launch { readJobsOnRequest(since) }
            launchVerifier?.let { launch { it.run() } }
            launch { pollCloud() }
            runRounds(this)
        }

    // ---- restoring state ----------------------------------------------------------------------------------------

    private suspend fun restoreState(): Revision {
        while (true) {
            try {
                val requestedAt = clock.now()
                val wallOffsetMs = clock.wallClockMs() - clock.now().ms
                val restored = Scheduler(coreSettings, term, termRevision, clock.now(), wallOffsetMs, scope)
                restored.onMachineTypes(knownMachineTypes())
                val since =
                    state.list(Keys.JOBS) { page ->
                        for (entry in page) decodeJob(entry) { ref, record -> restored.restoreJob(ref, record, entry.revision) }
                    }
                for (prefix in recordPrefixes()) {
                    state.list(prefix) { page -> for (entry in page) restoreRecord(restored, entry) }
                }
                restoreSharingState(restored)
                restored.finishRestore(clock.now())
                startScheduling(restored)
                onJobsRead(since, requestedAt)
                return since
            } catch (e: IOException) {
                log.debug("cannot restore the state, retrying: {}", e.message)
                delay(RETRY_DELAY_MS)
            }
        }
    }

    /** From now on, cancellations go to [restored] directly. Those confirmed after its read of the jobs are applied to it first. */
    private fun startScheduling(restored: Scheduler) {
        for (cancellation in cancellationsBeforeRestore.confirmed()) {
            log.info("job {} was cancelled before the state was restored", cancellation.job)
            restored.onCancelled(cancellation.job, cancellation.revision, clock.now())
        }
        scheduler = restored
        launchVerifier =
            LaunchVerifier(restored, state, guards, launchCheckBudget, coreSettings.state.maxConditions, clock::now, ::onRecordsChanged)
    }

    private suspend fun onRecordsChanged(keys: List<String>) {
        if (guards.any { (key, _) -> key in keys }) endTerm("a check of launches failed on the condition for the term")
        rereadJobs(keys)
    }

    /** A single leader also reads the records of shards if sharding has been in use at some time. */
    private fun recordPrefixes(): List<String> =
        if (scope.shard == null && everSharded) scope.recordPrefixes + RecordKeys.SHARDS else scope.recordPrefixes

    private fun restoreRecord(
        scheduler: Scheduler,
        entry: Wire.Entry,
    ) = decode(entry) { value ->
        when (RecordKeys.kindOf(entry.key)) {
            RecordKind.LOG -> scheduler.restoreLog(entry.key, LogRecord.of(value))
            RecordKind.RENTAL -> scheduler.restoreRental(entry.key, RentalRecord.of(value), clock.now())
            RecordKind.RELEASE -> scheduler.restoreRelease(entry.key, ReleaseRecord.of(entry.key, value))
            RecordKind.FENCE -> scheduler.restoreFence(entry.key)
            null -> log.warn("record {} has an unknown kind", entry.key)
        }
    }

    /**
     * Records for a successor that this leader has restored its state: for every job that was cancelled before this term,
     * the workers know of the cancellation or this leader is about to kill the tasks.
     */
    private suspend fun markReady() {
        val change = StateChange(guards, listOf(scope.readyKey to mapOf("n" to term.value)))
        while (true) {
            try {
                state.commit(change)
                return
            } catch (e: IOException) {
                log.debug("cannot write the ready record, retrying: {}", e.message)
                delay(RETRY_DELAY_MS)
            }
        }
    }

    private fun onJobsRead(
        upTo: Revision,
        requestedAt: Instant,
    ) {
        jobsReadUpTo = upTo
        leadership.jobsRead(requestedAt)
    }

    private inline fun decode(
        entry: Wire.Entry,
        use: (Map<String, Any?>) -> Unit,
    ) {
        try {
            entry.value?.let(use)
        } catch (e: MalformedException) {
            log.error("record {} is malformed: {}", entry.key, e.message)
        }
    }

    private inline fun decodeJob(
        entry: Wire.Entry,
        use: (JobRef, JobRecord) -> Unit,
    ) = decode(entry) { value ->
        val record = JobRecord.of(value)
        if (scope.owns(record.shard)) Keys.parseJobKey(entry.key)?.let { ref -> use(ref, record) }
    }

    // ---- watches ------------------------------------------------------------------------------------------------

    private suspend fun watchJobs(startRevision: Revision) {
        var since = startRevision
        while (true) {
            try {
                val requestedAt = clock.now()
                when (val result = state.watch(Keys.JOBS, since, leadership.times.watchInterval)) {
                    is WatchResult.Changes -> {
                        result.entries.forEach(::onJobChange)
                        since = result.revision
                    }

                    WatchResult.RevisionTooOld -> {
                        since = state.list(Keys.JOBS) { it.forEach(::onJobChange) }
                    }
                }
                onJobsRead(since, requestedAt)
                requestRound()
            } catch (e: IOException) {
                log.debug("watch of the jobs failed, retrying: {}", e.message)
                delay(RETRY_DELAY_MS)
            } catch (e: MalformedException) {
                log.warn("malformed response to the watch of the jobs, retrying: {}", e.message)
                delay(RETRY_DELAY_MS)
            }
        }
    }

    /** Reads the jobs at once, beside the watch of the jobs that is open. */
    fun requestJobsRead() {
        jobsReadRequests.trySend(Unit)
    }

    /**
     * A watch is answered seconds after it was sent, and its answer proves the state only as of then. After the restart of a
     * peer, an outage in these seconds would find a leader that may not renew worker leases.
     */
    private suspend fun readJobsOnRequest(startRevision: Revision) {
        for (request in jobsReadRequests) {
            try {
                val requestedAt = clock.now()
                val result = state.watch(Keys.JOBS, jobsReadUpTo ?: startRevision, Duration(0))
                if (result !is WatchResult.Changes) continue
                result.entries.forEach(::onJobChange)
                onJobsRead(result.revision, requestedAt)
            } catch (e: IOException) {
                log.debug("read of the jobs failed, retrying: {}", e.message)
                delay(RETRY_DELAY_MS)
                requestJobsRead()
            } catch (e: MalformedException) {
                log.warn("malformed response to the read of the jobs: {}", e.message)
            }
        }
    }

    private fun onJobChange(entry: Wire.Entry) =
        decodeJob(entry) { ref, record -> scheduler?.onJobRecord(ref, record, entry.revision, clock.now()) }

    private suspend fun pollCloud() {
        var typesReadAt = clock.now() + Duration(-MACHINE_TYPES_INTERVAL_MS)
        var storedTypes: List<MachineType>? = null
        var listIntervalMs = CloudClient.listIntervalMs(0, coreSettings.cloud.requestsPerS)
        while (true) {
            try {
                if ((clock.now() - typesReadAt).ms >= MACHINE_TYPES_INTERVAL_MS) {
                    val types = cloud.machineTypes()
                    typesReadAt = clock.now()
                    onMachineTypes(types)
                    scheduler?.onMachineTypes(types)
                    if (storedTypes == null && storesMachineTypes) storedTypes = storeMachineTypes(types)
                }
                val machines = cloud.listMachines()
                listIntervalMs = CloudClient.listIntervalMs(machines.size, coreSettings.cloud.requestsPerS)
                scheduler?.let { s -> s.onMachineList(machines.filter { ownsMachine(s, it.id) }, clock.now()) }
            } catch (e: IOException) {
                log.info("cannot read machine types or machines from the cloud: {}", e.message)
            } catch (e: MalformedException) {
                log.warn("malformed response from the cloud: {}", e.message)
            }
            delay(listIntervalMs)
        }
    }

    private suspend fun storeMachineTypes(types: List<MachineType>): List<MachineType>? =
        try {
            // The revision of the key is a condition too, so that a delayed duplicate of this write cannot restore older types.
            val storedRevision = state.get(Keys.MACHINE_TYPES)?.revision ?: Revision.ABSENT
            val change =
                StateChange(
                    guards + (Keys.MACHINE_TYPES to storedRevision),
                    listOf(Keys.MACHINE_TYPES to Wire.encodeMachineTypes(types)),
                )
            if (state.commit(change) is CommitResult.Applied) types else null
        } catch (e: IOException) {
            null
        }

    // ---- scheduling ---------------------------------------------------------------------------------------------

    private suspend fun runRounds(effectScope: CoroutineScope) {
        while (true) {
            val scheduler = scheduler ?: return
            if (!roundsPaused && leadership.authority(clock.now(), state.failing) == Authority.FULL) {
                val startedAtNs = System.nanoTime()
                val deadlineNs = startedAtNs + options.roundBudget.ms * 1_000_000
                val effects = scheduler.runRound(clock.now()) { System.nanoTime() < deadlineNs }
                metrics.recordRound(System.nanoTime() - startedAtNs)
                for ((jobClass, waitTime) in scheduler.takeWaitTimes()) metrics.recordWaitTime(jobClass, waitTime.ms)
                for (effect in effects) effectScope.launch { execute(scheduler, effect) }
            }
            withTimeoutOrNull(MAX_ROUND_WAIT_MS) { roundRequests.receive() }
            delay(MIN_ROUND_INTERVAL_MS)
        }
    }

    private suspend fun execute(
        scheduler: Scheduler,
        effect: Effect,
    ) {
        when (effect) {
            is Effect.Write -> {
                commitUntilKnown(scheduler, effect.change)
            }

            is Effect.Kill -> {
                workers.kill(effect.endpoint, term, effect.session, effect.kills)
            }

            is Effect.Rent -> {
                try {
                    scheduler.onRented(effect.key, cloud.rent(effect.request), clock.now())
                } catch (e: IOException) {
                    log.info("rental request {} failed, outcome unknown: {}", effect.request.requestId, e.message)
                    scheduler.onRentOutcomeUnknown(effect.key, clock.now())
                } catch (e: MalformedException) {
                    log.warn("malformed response to rental request {}, outcome unknown: {}", effect.request.requestId, e.message)
                    scheduler.onRentOutcomeUnknown(effect.key, clock.now())
                }
            }

            is Effect.Release -> {
                try {
                    cloud.release(effect.machines)
                    scheduler.onReleased(effect.machines, clock.now())
                } catch (e: IOException) {
                    log.info("release of machines {} failed, outcome unknown: {}", effect.machines, e.message)
                    scheduler.onReleaseOutcomeUnknown(effect.machines, clock.now())
                }
            }
        }
        requestRound()
    }

    /**
     * Repeats [change] until its outcome is known. A delayed duplicate of it has no effect: the conditions on the term or on
     * its own keys fail.
     */
    private suspend fun commitUntilKnown(
        scheduler: Scheduler,
        change: StateChange,
    ) {
        while (true) {
            try {
                when (val result = state.commit(change)) {
                    is CommitResult.Applied -> {
                        scheduler.onWriteApplied(result.revision, clock.now())
                    }

                    is CommitResult.Conflict -> {
                        if (!scheduler.onWriteRefused(
                                result.failedKeys,
                                clock.now(),
                            )
                        ) {
                            endTerm("a write failed on the condition for the term")
                        }
                        rereadJobs(result.failedKeys)
                    }

                    CommitResult.StateLeaseEnded -> {
                        endTerm("the state lease has expired")
                    }

                    CommitResult.Rejected -> {
                        scheduler.onWriteRejected(clock.now())
                    }
                }
                resumeDelayedReports(scheduler)
                return
            } catch (e: StateUnavailableException) {
                if (!e.knownNotApplied) scheduler.onWriteOutcomeUnknown()
                log.debug("write failed or its outcome is unknown, retrying: {}", e.message)
                delay(RETRY_DELAY_MS)
            }
        }
    }

    /**
     * Reads the jobs again whose changes caused a write to be refused. The watch of the jobs reports these changes as well,
     * but while it hangs, every further write that touches one of the jobs would be refused too, with all else in it.
     */
    private suspend fun rereadJobs(failed: List<String>) {
        for (key in failed) {
            if (!key.startsWith(Keys.JOBS)) continue
            try {
                state.get(key)?.let(::onJobChange)
            } catch (e: IOException) {
                log.debug("cannot read job {} after a refused write: {}", key, e.message)
            }
        }
    }

    companion object {
        private const val MAX_REPORT_WAIT_MS = 400L
        private const val RENEW_TIMEOUT_MS = 700L
        private const val RENEW_RETRY_DELAY_MS = 150L
        private const val RETRY_DELAY_MS = 250L

        private const val MACHINE_TYPES_INTERVAL_MS = 20_000L
        private const val MIN_ROUND_INTERVAL_MS = 100L
        private const val MAX_ROUND_WAIT_MS = 300L
    }
}
