package dewwing.world

import dewwing.control.core.CoreSettings
import dewwing.control.core.Effect
import dewwing.control.core.RentalRequest
import dewwing.control.core.Scheduler
import dewwing.control.core.StateChange
import dewwing.control.core.Tunables
import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
import dewwing.control.core.intent.LogRecord
import dewwing.control.core.intent.ReleaseRecord
import dewwing.control.core.intent.RentalRecord
import dewwing.control.core.leadership.Authority
import dewwing.control.core.leadership.Cancellation
import dewwing.control.core.leadership.ConfirmedCancellations
import dewwing.control.core.leadership.Leadership
import dewwing.control.core.leadership.LeadershipTimes
import dewwing.control.core.leadership.PeerHeartbeat
import dewwing.protocol.CloudLimits
import dewwing.protocol.Command
import dewwing.protocol.Duration
import dewwing.protocol.EndCause
import dewwing.protocol.Incarnation
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.JobStage
import dewwing.protocol.ListedMachine
import dewwing.protocol.ListedStage
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.Objective
import dewwing.protocol.Report
import dewwing.protocol.ReportPosition
import dewwing.protocol.ReportedTask
import dewwing.protocol.Resources
import dewwing.protocol.Revision
import dewwing.protocol.StateLimits
import dewwing.protocol.Step
import dewwing.protocol.TaskRef
import dewwing.protocol.TaskStage
import dewwing.protocol.Team
import dewwing.protocol.Term
import dewwing.protocol.Urgency
import dewwing.protocol.WorkerTimes
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Simulates the state service, the cloud, the workers and the controllers with their restarts in virtual time; all but the
 * leadership, the heartbeats and the scheduler is modelled after the protocol.
 *
 * The same seed gives the same run. A controller may crash between any two effects; answers get lost, commits are delayed,
 * workers are disconnected, hang, let their leases expire and start new sessions. [defect] breaks the system on purpose, to
 * show that the rules detect it.
 */
class Simulation(
    seed: Long,
    private val faultProfile: FaultProfile,
    private val defect: Defect = Defect.NONE,
    /** Limit of the team's cores; together with [arrayTasksBound] it determines how many machines are rented. */
    private val teamCoreLimit: Double = 24.0,
    /** Exclusive upper bound of the number of tasks of an array job. */
    private val arrayTasksBound: Int = 12,
    /** Maximum size of one record; with a small value the placements of most gangs take several records. */
    private val maxValueBytes: Int = 4096,
    private val maxOpsPerTransaction: Int = 8,
    private val maxGangTasks: Int = 4,
) {
    enum class Defect {
        NONE,
        SKIP_LOG_RESTORE,
        EXPIRE_LEASES_EARLY,
        IGNORE_CANCELLATIONS,
        IGNORE_TEAM_LIMIT,
        REPORT_DONE_EARLY,
        IGNORE_MACHINE_CONSTRAINTS,
        NEVER_ANSWER_USERS,
        STARVE_LARGE_JOBS,
        LEAD_WITHOUT_STATE_SERVICE,
        FORGET_EARLY_RENEWALS,
        IGNORE_HEARTBEATS,
        STARVE_WITH_FREE_CAPACITY,
        SKIP_LAUNCH_CHECK,
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    var now = 0L
        private set

    private val team = Team("t", 0.0, teamCoreLimit, 0.0, null)
    private val workerTimes =
        WorkerTimes(Duration(2_000), Duration(WORKER_LEASE_MS), Duration(30_000), Duration(6_000), Duration(CANCELLATION_LIMIT_MS))
    private val machineTypes =
        listOf(
            MachineType("big", Resources(8.0, 0.0, 64.0), 10.0, 1.0, 1.0, 0.4, 5.0, listOf("a", "b")),
            MachineType("small", Resources(2.0, 0.0, 16.0), 10.0, 1.0, 0.3, 0.1, 3.0, listOf("a", "b")),
        )
    val rules = RuleChecker(mapOf("t" to teamCoreLimit), CANCELLATION_LIMIT_MS)

    // ---- state service ----
    private val store = sortedMapOf<String, Pair<Map<String, Any?>, Long>>()
    private var storeRevision = 0L

    private fun commit(change: StateChange): List<String>? {
        check(change.puts.size + change.removes.size <= maxOpsPerTransaction) {
            "transaction with ${change.puts.size + change.removes.size} changes"
        }
        val failedKeys = change.conditions.filter { (key, r) -> (store[key]?.second ?: 0L) != r.value }.map { it.first }
        if (failedKeys.isNotEmpty()) return failedKeys
        storeRevision++
        for ((key, value) in change.puts) {
            val storedValue = wireRoundTrip(value)
            if (key.startsWith(Keys.LOGS) && LogRecord.of(storedValue).partCount > 0) splitPlacements++
            store[key] = storedValue to storeRevision
            if (key.startsWith(Keys.JOBS)) {
                jobChanges.add(storeRevision to key)
                JobRecord.of(storedValue).let { if (it.isFinal) Keys.parseJobKey(key)?.let { ref -> rules.onStageTold(ref, it.stage) } }
            }
        }
        for (key in change.removes) store.remove(key)
        return null
    }

    /** Number of placements written in several records so far. */
    var splitPlacements = 0
        private set

    /** Revision and key of each change of a job, in order; the watches read them. */
    private val jobChanges = ArrayList<Pair<Long, String>>()

    /** Until then the state service answers no controller. */
    private var outageUntil = 0L

    private fun stateServiceAnswers(controller: Controller) =
        now >= outageUntil && now >= controller.stateRefusesUntil && now >= controller.isolatedUntil

    /** After an outage of the state service, every state lease has its full lifetime again. */
    private fun startOutage(durationMs: Long) {
        outageUntil = maxOf(outageUntil, now + durationMs)
        after(durationMs) { if (now >= outageUntil && stateLeaseUntil > now - durationMs) stateLeaseUntil = now + STATE_LEASE_MS }
        if (stateLeaseUntil > now) stateLeaseUntil = maxOf(stateLeaseUntil, outageUntil + 1)
    }

    /** Whether the injected defect hides this job from the scheduler. */
    private fun isStarved(record: JobRecord) =
        (defect == Defect.STARVE_LARGE_JOBS || defect == Defect.STARVE_WITH_FREE_CAPACITY) && (record.spec?.tasks ?: 0) > 8

    // ---- workers ----
    private inner class WorkerTask(
        val ref: TaskRef,
        val attempt: Step,
    ) {
        var stage = TaskStage.FETCHING
        var cause: EndCause? = null
        var executing = false
        var alive = true
    }

    private inner class Worker(
        val id: MachineId,
        val type: MachineType,
        val zone: String,
        val spot: Boolean,
    ) {
        val tasks = LinkedHashMap<TaskRef, WorkerTask>()
        var session = 1L
        var sequence = 0L
        var highestTerm = 0L
        var leaseRenewedAt = now
        var targetController = random.nextInt(CONTROLLERS)
        var terminated = false
        var hungUntil = 0L
        var disconnectedUntil = 0L
        var answersLostUntil = 0L

        /** Until then the worker opens no connection to any controller, while direct commands reach it. */
        var reportsBlockedUntil = 0L

        private fun isPartitionedFrom(controller: Int) =
            now < zonePartitionUntil && (zone == PARTITIONED_ZONE) != (controller == PARTITIONED_CONTROLLER)

        fun endTask(
            task: WorkerTask,
            cause: EndCause,
        ) {
            if (task.stage == TaskStage.ENDED) return
            task.stage = TaskStage.ENDED
            task.cause = cause
            if (task.executing) rules.onTaskLeft(task.ref, id)
            task.executing = false
        }

        fun checkLease() {
            if (now - leaseRenewedAt <= WORKER_LEASE_MS) return
            for (task in tasks.values) {
                task.alive = false
                if (task.executing) rules.onTaskLeft(task.ref, id)
                task.executing = false
            }
            tasks.clear()
            session++
            leaseRenewedAt = now
        }

        /** [reportSentAt]: when the report was sent whose answer contains the command; irrelevant for direct commands. */
        fun execute(
            command: Command,
            reportSentAt: Long = now,
        ) {
            val existing = tasks[command.task]
            when (command) {
                is Command.Launch -> {
                    if (existing != null && existing.attempt == command.attempt) return
                    rules.onLaunchReceived(command.task, reportSentAt, now)
                    val launched = WorkerTask(command.task, command.attempt)
                    val spec = specs[command.task.job]
                    if (existing != null || spec == null) {
                        if (existing == null) tasks[command.task] = launched.also { endTask(it, EndCause.UNKNOWN_JOB) }
                        return
                    }
                    tasks[command.task] = launched
                    after(random.nextLong(200, 3_000)) { startTask(launched, spec) }
                }

                is Command.Kill -> {
                    if (existing != null && existing.attempt == command.attempt) endTask(existing, EndCause.STOPPED)
                }

                is Command.Reap -> {
                    if (existing != null && existing.attempt == command.attempt && existing.stage == TaskStage.ENDED) {
                        tasks.remove(command.task)
                    }
                }
            }
        }

        /** Whether [task] can proceed now. On a hanging machine [retry] runs when the machine resumes. */
        private fun canProceed(
            task: WorkerTask,
            retry: () -> Unit,
        ): Boolean {
            if (!task.alive || task.stage == TaskStage.ENDED || terminated) return false
            if (hungUntil > now) {
                after(hungUntil - now + 1, retry)
                return false
            }
            checkLease()
            return task.alive
        }

        private fun startTask(
            task: WorkerTask,
            spec: JobSpec,
        ) {
            if (!canProceed(task) { startTask(task, spec) }) return
            task.stage = TaskStage.RUNNING
            task.executing = true
            rules.onTaskStarted(task.ref, id, type.name, zone, spot, now)
            val durationMs =
                if (task.ref.job in failingJobs) {
                    random.nextLong(200, 2_000)
                } else if (now < longTasksUntil) {
                    random.nextLong(60_000, 110_000)
                } else if (defect == Defect.IGNORE_CANCELLATIONS || defect == Defect.FORGET_EARLY_RENEWALS ||
                    random.nextInt(12) == 0
                ) {
                    random.nextLong(40_000, 60_000)
                } else {
                    random.nextLong(500, 9_000)
                }
            after(durationMs) { finishTask(task, spec) }
        }

        private fun finishTask(
            task: WorkerTask,
            spec: JobSpec,
        ) {
            if (!canProceed(task) { finishTask(task, spec) }) return
            if (task.ref.job in failingJobs || random.nextDouble() < faultProfile.taskErrorRate) {
                endTask(task, EndCause.ERROR)
                return
            }
            if (spec.shape == JobShape.GANG) {
                val gangPeers =
                    workers.values.flatMap { peerWorker ->
                        peerWorker.tasks.values
                            .filter {
                                it.ref.job == task.ref.job && it.attempt == task.attempt &&
                                    it.executing
                            }.map { peerWorker to it }
                    }
                if (gangPeers.size < spec.tasks) {
                    endTask(task, EndCause.PEERS)
                    return
                }
                for ((peerWorker, peerTask) in gangPeers) {
                    rules.onTaskCompleted(peerTask.ref)
                    peerWorker.endTask(peerTask, EndCause.DONE)
                }
                return
            }
            rules.onTaskCompleted(task.ref)
            endTask(task, EndCause.DONE)
            if (now < cancelOnCompletionUntil && rules.isComplete(task.ref.job)) cancel(task.ref.job)
        }

        fun terminate() {
            terminated = true
            for (task in tasks.values) if (task.executing) rules.onTaskLeft(task.ref, id)
            tasks.clear()
        }

        fun sendReport() {
            if (terminated) return
            val nextReportMs = random.nextLong(1_500, 2_500)
            if (hungUntil > now) {
                after(hungUntil - now + 1) { sendReport() }
                return
            }
            checkLease()
            sequence++
            val report =
                Report(
                    id,
                    "10.0.0.1:1",
                    type.name,
                    zone,
                    spot,
                    ReportPosition(session, sequence),
                    Term(highestTerm),
                    null,
                    tasks.values.map { ReportedTask(it.ref, it.attempt, it.stage, it.cause, false) },
                )
            val sentAt = now
            val sentInSession = session
            if (random.nextDouble() < faultProfile.lateDuplicateRate) {
                after(random.nextLong(2_000, 30_000)) { controllers.forEach { it.answerReport(report) {} } }
            }
            if (answersLostUntil > now) {
                // The report arrives but its answer is lost: the worker times out after 4 s and tries another controller.
                after(random.nextLong(1, 30)) { controllers[targetController].answerReport(report) {} }
                after(5_000) {
                    targetController = (targetController + 1) % CONTROLLERS
                    sendReport()
                }
                return
            }
            if (reportsBlockedUntil > now || isPartitionedFrom(targetController)) {
                targetController = (targetController + 1) % CONTROLLERS
                after(1_000) { sendReport() }
                return
            }
            if (disconnectedUntil > now) {
                // The report is held back and may arrive late, after the worker has given up on it.
                if (random.nextBoolean()) after(random.nextLong(5_000, 40_000)) { controllers[targetController].answerReport(report) {} }
                after(4_000) { sendReport() }
                targetController = random.nextInt(CONTROLLERS)
                return
            }
            after(random.nextLong(1, 30)) {
                controllers[targetController].answerReport(report) { answer ->
                    val lost = random.nextDouble() < faultProfile.answerLossRate
                    after(random.nextLong(1, 30)) deliver@{
                        if (terminated || lost || answer == null) {
                            if (answer == null) targetController = random.nextInt(CONTROLLERS)
                            return@deliver
                        }
                        if (hungUntil > now || sentInSession != session || answer.first < highestTerm) return@deliver
                        highestTerm = answer.first
                        leaseRenewedAt = maxOf(leaseRenewedAt, sentAt)
                        for (command in answer.second) execute(command, sentAt)
                    }
                    after(nextReportMs) { sendReport() }
                }
            }
        }
    }

    private val workers = LinkedHashMap<MachineId, Worker>()
    private val specs = HashMap<JobRef, JobSpec>()

    // ---- cloud ----
    private var nextMachineNumber = 0
    private val rentalsByRequestId = HashMap<String, List<MachineId>>()

    private fun rent(request: RentalRequest): List<MachineId>? =
        rentalsByRequestId[request.requestId] ?: run {
            if (random.nextInt(8) == 0) return null
            val type = machineTypes.first { it.name == request.type }
            val machineIds = List(request.count) { MachineId("m-%06d".format(nextMachineNumber++)) }
            for (id in machineIds) {
                val worker = Worker(id, type, request.zone, request.spot)
                workers[id] = worker
                rules.machineZones[id] = request.zone
                after(random.nextLong(1_000, 8_000)) {
                    worker.leaseRenewedAt = now
                    worker.sendReport()
                }
            }
            rentalsByRequestId[request.requestId] = machineIds
            machineIds
        }

    // ---- controllers ----

    /** Index of the controller that holds the state lease, as the elections see it; -1 for none. */
    private var leaseHolder = -1
    private var stateLeaseUntil = 0L

    /** The last term whose leader had restored its state. */
    private var restoredTerm = 0L

    /** One controller with the real [Leadership], heartbeats and [Scheduler]; the code around them is modelled after the protocol. */
    private inner class Controller(
        val index: Int,
    ) {
        var scheduler: Scheduler? = null
        var term = 0L
        var incarnationNumber = 0
        var isUp = true

        /** Until then it reaches neither the state service nor a peer. */
        var isolatedUntil = 0L

        /** Until then the state service refuses this controller alone. */
        var stateRefusesUntil = 0L

        /** Until then its watch of the jobs hangs, while all other requests are answered. */
        var watchStalledUntil = 0L

        /** Until then the process is paused. */
        var pausedUntil = 0L
        private var leadership = newLeadership()
        private var confirmedCancellations = ConfirmedCancellations()
        private var incarnationId = Incarnation(random.nextLong())

        /** Elected, but its state is not restored yet. */
        private var restoring = false
        private var predecessorRestored = false

        /** This controller has read every change of a job up to this revision. */
        private var jobsReadUpTo: Revision? = null

        private fun newLeadership() =
            Leadership(
                LeadershipTimes.of(workerTimes, Duration(STATE_LEASE_MS), Duration(2_500)),
                (0 until CONTROLLERS).filter { it != index }.map { "$it" }.toSet(),
            )

        private val isLeader get() = scheduler != null || restoring
        val isResponsive get() = isUp && now >= pausedUntil

        /**
         * Answers a worker's report: [respond] is called once, at once or later, with the term and the commands, or with null if
         * this controller does not answer.
         */
        fun answerReport(
            report: Report,
            respond: (Pair<Long, List<Command>>?) -> Unit,
        ) {
            if (!isResponsive) return respond(null)
            if (defect != Defect.LEAD_WITHOUT_STATE_SERVICE) leadership.observeTerm(report.term)
            val authority = currentAuthority()
            if (!isLeader || authority == Authority.NONE) return respond(null)
            val activeScheduler =
                scheduler ?: return respond(
                    (term to emptyList<Command>()).takeIf {
                        defect == Defect.FORGET_EARLY_RENEWALS ||
                            (authority == Authority.FULL && leadership.mayRenewBeforeRestore(predecessorRestored))
                    },
                )
            if (!knowsCancellations()) return respond(null)
            activeScheduler.onReport(report, instant())
            checkLaunches(activeScheduler, report.machine) { respond(commandsFor(report, activeScheduler)) }
        }

        private fun currentAuthority(): Authority =
            if (defect == Defect.LEAD_WITHOUT_STATE_SERVICE && isLeader) {
                Authority.FULL
            } else {
                leadership.authority(instant(), !stateServiceAnswers(this))
            }

        private fun knowsCancellations() =
            defect == Defect.LEAD_WITHOUT_STATE_SERVICE || defect == Defect.IGNORE_HEARTBEATS || leadership.knowsCancellations(instant())

        private fun commandsFor(
            report: Report,
            activeScheduler: Scheduler,
        ): Pair<Long, List<Command>>? {
            if (!isResponsive || scheduler !== activeScheduler) return null
            val authority = currentAuthority()
            if (authority == Authority.NONE || !knowsCancellations()) return null
            val readRecently = leadership.mayLaunchTasks(instant()) || defect == Defect.LEAD_WITHOUT_STATE_SERVICE
            val commands = activeScheduler.takeCommands(report, instant(), authority == Authority.FULL && readRecently)
            return term to if (defect == Defect.IGNORE_CANCELLATIONS) commands.filter { it !is Command.Kill } else commands
        }

        /** Compares the jobs to launch on [machine] with the records in the state service, which may be slow, and then calls [proceed]. */
        private fun checkLaunches(
            activeScheduler: Scheduler,
            machine: MachineId,
            proceed: () -> Unit,
        ) {
            val jobs = activeScheduler.jobsToCheckBeforeLaunch(machine)
            if (jobs.isEmpty()) return proceed()
            val check = activeScheduler.startRevisionCheck(jobs)
            if (defect == Defect.SKIP_LAUNCH_CHECK || defect == Defect.LEAD_WITHOUT_STATE_SERVICE) {
                activeScheduler.onRevisionsUnchanged(check)
                return proceed()
            }
            val maxDelayMs = if (random.nextInt(SLOW_CHECK_ODDS) == 0) MAX_SLOW_CHECK_MS else MAX_CHECK_MS
            after(random.nextLong(1, maxDelayMs)) {
                val unchanged =
                    stateServiceAnswers(this) && check.revisions.all { (ref, revision) -> store[Keys.job(ref)]?.second == revision.value }
                after(random.nextLong(1, maxDelayMs)) {
                    if (unchanged) activeScheduler.onRevisionsUnchanged(check)
                    proceed()
                }
            }
        }

        fun runLoop(ownIncarnation: Int) {
            if (ownIncarnation != incarnationNumber) return
            if (isResponsive) runOnce(ownIncarnation)
            after(random.nextLong(150, 400)) { runLoop(ownIncarnation) }
        }

        private fun runOnce(ownIncarnation: Int) {
            val stateReached = stateServiceAnswers(this)
            if (stateReached && isLeader) {
                if (leaseHolder != index || stateLeaseUntil <= now || leadership.highestTerm.value > term) return resign()
                if (random.nextDouble() < 0.97) {
                    stateLeaseUntil = now + STATE_LEASE_MS
                    leadership.stateLeaseRenewed(instant())
                }
            } else if (stateReached && stateLeaseUntil <= now) {
                elect(ownIncarnation)
            } else if (stateReached && leaseHolder == index) {
                stateLeaseUntil = now
            }
            val activeScheduler = scheduler ?: return
            if (leadership.authority(instant(), !stateReached) == Authority.FULL) {
                for (effect in activeScheduler.runRound(instant()) { true }) performEffect(effect, ownIncarnation)
            }
        }

        private fun resign() {
            scheduler = null
            restoring = false
            jobsReadUpTo = null
            leadership.resign()
        }

        fun watchJobs(ownIncarnation: Int) {
            if (ownIncarnation != incarnationNumber) return
            after(random.nextLong(20, 150)) { watchJobs(ownIncarnation) }
            val activeScheduler = scheduler ?: return
            val since = jobsReadUpTo ?: return
            if (!isResponsive || !stateServiceAnswers(this) || now < watchStalledUntil) return
            for ((revision, key) in jobChanges.filter { it.first > since.value }) {
                val (value, currentRevision) = store.getValue(key)
                if (currentRevision != revision) continue
                val record = JobRecord.of(value)
                if (!isStarved(
                        record,
                    )
                ) {
                    activeScheduler.onJobRecord(Keys.parseJobKey(key) ?: continue, record, Revision(revision), instant())
                }
            }
            onJobsRead(Revision(storeRevision), now)
        }

        private fun onJobsRead(
            upTo: Revision,
            askedAt: Long,
        ) {
            jobsReadUpTo = upTo
            leadership.jobsRead(Instant(askedAt))
        }

        /** Requests a heartbeat from each peer about twice a second, as the production code does. */
        fun exchangeHeartbeats(ownIncarnation: Int) {
            if (ownIncarnation != incarnationNumber) return
            after(random.nextLong(400, 700)) { exchangeHeartbeats(ownIncarnation) }
            if (!isResponsive || now < isolatedUntil) return
            for (peer in controllers) {
                if (peer === this) continue
                val sentAt = now
                val requestTerm = term.takeIf { isLeader }
                val readUpTo = jobsReadUpTo
                after(random.nextLong(1, 40)) {
                    if (!peer.isResponsive || now < peer.isolatedUntil) return@after
                    peer.leadership.observeTerm(leadership.highestTerm)
                    val cancellations =
                        if (defect == Defect.IGNORE_HEARTBEATS) {
                            emptyList()
                        } else {
                            readUpTo?.let { peer.confirmedCancellations.newerThan(it) }
                        }
                    val peerReachesState = stateServiceAnswers(peer)
                    val peerHighestTerm = peer.leadership.highestTerm
                    val peerIncarnation = peer.incarnationId
                    after(random.nextLong(1, 40)) {
                        if (incarnationNumber != ownIncarnation || !isResponsive || now < isolatedUntil) return@after
                        for (cancellation in cancellations ?: emptyList()) {
                            scheduler?.onCancelled(cancellation.job, cancellation.revision, instant())
                        }
                        val hasAllCancellations = cancellations != null && requestTerm == term.takeIf { isLeader }
                        leadership.onHeartbeat(
                            "${peer.index}",
                            PeerHeartbeat(Instant(sentAt), peerReachesState, peerHighestTerm, peerIncarnation, hasAllCancellations),
                            instant(),
                        )
                    }
                }
            }
        }

        private fun elect(ownIncarnation: Int) {
            val storedTerm = store[Keys.TERM]
            val previousTerm = (storedTerm?.first?.get("n") as? Long) ?: 0L
            val newTerm = previousTerm + 1
            commit(StateChange(listOf(Keys.TERM to Revision(storedTerm?.second ?: 0L)), listOf(Keys.TERM to mapOf("n" to newTerm))))
            leaseHolder = index
            stateLeaseUntil = now + STATE_LEASE_MS
            term = newTerm
            predecessorRestored = restoredTerm >= previousTerm
            leadership.elected(Term(newTerm), instant())
            val enforcedLimit = if (defect == Defect.IGNORE_TEAM_LIMIT) null else teamCoreLimit
            val effectiveLease = if (defect == Defect.EXPIRE_LEASES_EARLY) Duration(2_000) else workerTimes.leaseDuration
            val coreSettings =
                CoreSettings(
                    listOf(team.copy(coresMax = enforcedLimit)),
                    listOf(Objective.Start("c", 10.0)),
                    workerTimes.copy(leaseDuration = effectiveLease),
                    StateLimits(200.0, 25.0, maxValueBytes, maxOpsPerTransaction),
                    CloudLimits(4.0, Duration(3_000)),
                    if (defect == Defect.STARVE_WITH_FREE_CAPACITY) Tunables(idleTimeout = Duration(FaultProfile.NEVER_MS)) else Tunables(),
                )
            val newScheduler = Scheduler(coreSettings, Term(newTerm), Revision(store.getValue(Keys.TERM).second), instant(), 0)
            newScheduler.onMachineTypes(machineTypes)
            restoring = true
            restoreAfterDelay(newScheduler, ownIncarnation, instant())
        }

        /** Restoring the state takes up to [FaultProfile.maxRestoreMs], and waits while the state service does not answer. */
        private fun restoreAfterDelay(
            newScheduler: Scheduler,
            ownIncarnation: Int,
            electedAt: Instant,
        ) {
            after(random.nextLong(0, maxOf(faultProfile.maxRestoreMs, 20))) {
                if (incarnationNumber != ownIncarnation || !restoring || term != newScheduler.term.value) return@after
                if (!isResponsive || !stateServiceAnswers(this)) return@after restoreAfterDelay(newScheduler, ownIncarnation, electedAt)
                restoring = false
                restore(newScheduler, if (defect == Defect.FORGET_EARLY_RENEWALS) electedAt else instant())
                onJobsRead(Revision(storeRevision), now)
                restoredTerm = term
            }
        }

        private fun restore(
            newScheduler: Scheduler,
            restoredAt: Instant,
        ) {
            for ((key, entry) in store) {
                when {
                    key.startsWith(Keys.JOBS) -> {
                        val record = JobRecord.of(entry.first)
                        if (isStarved(record)) continue
                        val restoredRecord =
                            if (defect == Defect.IGNORE_MACHINE_CONSTRAINTS) {
                                record.copy(spec = record.spec?.copy(types = null, spot = true))
                            } else {
                                record
                            }
                        Keys.parseJobKey(key)?.let { newScheduler.restoreJob(it, restoredRecord, Revision(entry.second)) }
                    }

                    key.startsWith(Keys.LOGS) -> {
                        if (defect != Defect.SKIP_LOG_RESTORE) newScheduler.restoreLog(key, LogRecord.of(wireRoundTrip(entry.first)))
                    }

                    key.startsWith(Keys.RENTALS) -> {
                        newScheduler.restoreRental(key, RentalRecord.of(wireRoundTrip(entry.first)), instant())
                    }

                    key.startsWith(Keys.RELEASES) -> {
                        newScheduler.restoreRelease(key, ReleaseRecord.of(key, wireRoundTrip(entry.first)))
                    }

                    key.startsWith(Keys.FENCES) -> {
                        newScheduler.restoreFence(key)
                    }
                }
            }
            newScheduler.finishRestore(restoredAt)
            scheduler = newScheduler
        }

        private fun performEffect(
            effect: Effect,
            ownIncarnation: Int,
        ) {
            val activeScheduler = scheduler ?: return

            fun deliverAnswer(deliver: () -> Unit) =
                after(random.nextLong(2, 200)) {
                    if (incarnationNumber == ownIncarnation && scheduler === activeScheduler) deliver()
                }
            when (effect) {
                is Effect.Write -> {
                    write(activeScheduler, effect.change, ownIncarnation)
                }

                is Effect.Kill -> {
                    after(random.nextLong(1, 2_000)) {
                        val worker = workers[effect.machine]
                        if (worker != null && !worker.terminated && worker.hungUntil <= now && worker.disconnectedUntil <= now &&
                            worker.answersLostUntil <= now &&
                            worker.highestTerm <= term &&
                            worker.session == effect.session &&
                            defect != Defect.IGNORE_CANCELLATIONS
                        ) {
                            worker.highestTerm = term
                            worker.sequence++
                            effect.kills.forEach(worker::execute)
                        }
                    }
                }

                is Effect.Rent -> {
                    val machineIds = rent(effect.request)
                    if (random.nextDouble() < faultProfile.answerLossRate) {
                        deliverAnswer { activeScheduler.onRentOutcomeUnknown(effect.key, instant()) }
                    } else {
                        deliverAnswer { activeScheduler.onRented(effect.key, machineIds, instant()) }
                    }
                }

                is Effect.Release -> {
                    effect.machines.forEach { workers[it]?.terminate() }
                    if (random.nextDouble() < faultProfile.answerLossRate) {
                        deliverAnswer { activeScheduler.onReleaseOutcomeUnknown(effect.machines, instant()) }
                    } else {
                        deliverAnswer { activeScheduler.onReleased(effect.machines, instant()) }
                    }
                }
            }
        }

        private fun write(
            activeScheduler: Scheduler,
            change: StateChange,
            ownIncarnation: Int,
        ) {
            if (incarnationNumber != ownIncarnation || scheduler !== activeScheduler) return
            if (!isResponsive || !stateServiceAnswers(this)) {
                after(300) { write(activeScheduler, change, ownIncarnation) }
                return
            }
            val lost = random.nextDouble() < faultProfile.answerLossRate
            val late = random.nextDouble() < if (now < delayedWritesUntil) 0.4 else faultProfile.delayedCommitRate
            if (late) after(random.nextLong(1_000, 30_000)) { commit(change) }
            val failedKeys = if (late) null else commit(change)
            after(random.nextLong(4, 100)) {
                if (incarnationNumber != ownIncarnation || scheduler !== activeScheduler) return@after
                when {
                    lost || late -> {
                        activeScheduler.onWriteOutcomeUnknown()
                        after(300) { write(activeScheduler, change, ownIncarnation) }
                    }

                    failedKeys == null -> {
                        activeScheduler.onWriteApplied(Revision(storeRevision), instant())
                    }

                    !activeScheduler.onWriteRefused(failedKeys, instant()) -> {
                        resign()
                    }
                }
            }
        }

        fun crash(restartAfterMs: Long = random.nextLong(faultProfile.minRestartMs, 4_000)) {
            incarnationNumber++
            resign()
            isUp = false
            // The cancellations that it confirmed to users are kept in memory only.
            leadership = newLeadership()
            confirmedCancellations = ConfirmedCancellations()
            incarnationId = Incarnation(random.nextLong())
            val ownIncarnation = incarnationNumber
            after(restartAfterMs) {
                if (incarnationNumber != ownIncarnation) return@after
                isUp = true
                runLoop(ownIncarnation)
                watchJobs(ownIncarnation)
                exchangeHeartbeats(ownIncarnation)
            }
        }

        /** The stage that a user who asks for [ref] is told; null for status 503. A cancellation is passed on to the scheduler first. */
        fun readStage(ref: JobRef): JobStage? {
            if (!isResponsive || !stateServiceAnswers(this)) return null
            val (value, revision) = store[Keys.job(ref)] ?: return null
            val stage = JobRecord.of(value).stage
            if (stage == JobStage.ABORTED) onCancellationConfirmed(ref, Revision(revision))
            return stage
        }

        /** A user cancels [ref]. The answer may be lost after the change, or the change may be applied late without an answer. */
        fun cancel(ref: JobRef): JobStage? {
            val stage = readStage(ref) ?: return null
            if (stage == JobStage.ABORTED || stage == JobStage.DONE) return stage
            val (value, revision) = store.getValue(Keys.job(ref))
            val change =
                StateChange(
                    listOf(Keys.job(ref) to Revision(revision)),
                    listOf(Keys.job(ref) to JobRecord.of(wireRoundTrip(value)).copy(stage = JobStage.ABORTED).toValue()),
                )
            if (random.nextDouble() < faultProfile.delayedCommitRate) {
                after(random.nextLong(1_000, 12_000)) { commit(change) }
                return null
            }
            if (commit(change) != null || random.nextDouble() < faultProfile.answerLossRate) return null
            onCancellationConfirmed(ref, Revision(storeRevision))
            return JobStage.ABORTED
        }

        private fun onCancellationConfirmed(
            ref: JobRef,
            revision: Revision,
        ) {
            confirmedCancellations.record(Cancellation(ref, revision))
            scheduler?.onCancelled(ref, revision, instant())
        }
    }

    /** Until then zone [PARTITIONED_ZONE] with its workers and controller [PARTITIONED_CONTROLLER] is partitioned from all others. */
    private var zonePartitionUntil = 0L

    /** Until then a user cancels each job at the moment when its last task completes. */
    private var cancelOnCompletionUntil = 0L

    /** Tasks that start before then run for a minute or more. */
    var longTasksUntil = 0L

    /** The controller that leads under the state lease, or a random one if there is none. */
    private fun leaderOrAny() = controllers.firstOrNull { it.scheduler != null && it.index == leaseHolder } ?: controllers.random(random)

    private fun inject(fault: ScheduledFault) {
        val until = now + fault.durationMs

        fun sample(divisor: Int) =
            workers.values
                .filter { !it.terminated }
                .shuffled(random)
                .let { it.take(maxOf(1, it.size / divisor)) }
        when (fault.kind) {
            FaultKind.LEADER_REFUSED_BY_STATE -> {
                leaderOrAny().stateRefusesUntil = until
            }

            FaultKind.STATE_OUTAGE -> {
                startOutage(fault.durationMs)
            }

            FaultKind.CANCEL_JOBS -> {
                submitted
                    .filter { !rules.isComplete(it) }
                    .shuffled(random)
                    .take(8)
                    .forEach { ref -> after(random.nextLong(0, 200)) { cancel(ref) } }
            }

            FaultKind.CANCEL_ON_COMPLETION -> {
                cancelOnCompletionUntil = until
            }

            FaultKind.DELAYED_WRITES -> {
                delayedWritesUntil = until
            }

            FaultKind.WATCH_STALLED -> {
                leaderOrAny().watchStalledUntil = until
            }

            FaultKind.ANSWERS_LOST -> {
                sample(3).forEach { it.answersLostUntil = until }
            }

            FaultKind.REPORTS_BLOCKED -> {
                sample(3).forEach { it.reportsBlockedUntil = until }
            }

            FaultKind.WORKERS_HANG -> {
                sample(3).forEach { it.hungUntil = until }
            }

            FaultKind.WORKERS_DISCONNECTED -> {
                sample(3).forEach { it.disconnectedUntil = until }
            }

            FaultKind.ZONE_PARTITION -> {
                zonePartitionUntil = until
                controllers[PARTITIONED_CONTROLLER].isolatedUntil = until
            }

            FaultKind.LEADER_PAUSED -> {
                leaderOrAny().pausedUntil = until
            }

            FaultKind.LEADER_CRASH -> {
                leaderOrAny().crash()
            }

            FaultKind.ALL_CONTROLLERS_CRASH -> {
                controllers.forEach { it.crash() }
            }

            FaultKind.ROLLING_RESTART -> {
                controllers.forEachIndexed { i, c -> after(i * fault.durationMs / CONTROLLERS) { c.crash() } }
            }

            FaultKind.LEADER_ISOLATED -> {
                leaderOrAny().isolatedUntil = until
            }

            FaultKind.MACHINES_DIE -> {
                sample(4).forEach { it.terminate() }
            }

            // Longer than a worker lease: the first controller is back 2 s after it, the others later.
            FaultKind.ALL_CONTROLLERS_DOWN -> {
                controllers.forEachIndexed { i, c -> c.crash(restartAfterMs = WORKER_LEASE_MS + 2_000L + i * 1_500L) }
            }
        }
    }

    /** Since when each machine has had free capacity for a task of each job. */
    private val freeCapacitySince = HashMap<Pair<JobRef, MachineId>, Long>()

    /**
     * Whether a task of [ref] waits although a suitable machine has had free capacity for [TASK_TURNOVER_MS] and the team is
     * below its limit. A shorter time would not show a fault: with a long queue, every machine has free capacity for a moment
     * between the end of a task and the start of the next, a report and a scheduling round later, and at any moment some
     * machine does.
     */
    private fun waitsWithFreeCapacity(ref: JobRef): Boolean {
        val withCapacity = machinesWithFreeCapacity(ref)
        for (machineId in workers.keys) if (machineId !in withCapacity) freeCapacitySince.remove(ref to machineId)
        return withCapacity.any { now - freeCapacitySince.getOrPut(ref to it) { now } >= TASK_TURNOVER_MS }
    }

    /** Cores of the tasks on [machines] that have not ended. */
    private fun launchedCores(machines: List<Worker>): Double =
        machines.flatMap { it.tasks.values }.filter { it.stage != TaskStage.ENDED }.sumOf { specs[it.ref.job]?.need?.cores ?: 0.0 }

    private fun machinesWithFreeCapacity(ref: JobRef): Set<MachineId> {
        val spec = specs.getValue(ref)
        if (spec.shape == JobShape.GANG ||
            store[Keys.job(ref)]?.let { JobRecord.of(wireRoundTrip(it.first)).isFinal } != false
        ) {
            return emptySet()
        }
        val runningMachines = workers.values.filter { !it.terminated }
        val activeTasks = runningMachines.flatMap { w -> w.tasks.values.filter { it.stage != TaskStage.ENDED && it.ref.job == ref } }
        if ((0 until spec.tasks).all { i -> rules.isDone(TaskRef(ref, i)) || activeTasks.any { it.ref.index == i } }) return emptySet()
        // A task counts from its launch: while it fetches its image it is not in use yet, but another start could pass the limit.
        if (launchedCores(runningMachines) + spec.need.cores > teamCoreLimit) return emptySet()
        val zones = activeTasks.mapNotNull { h -> runningMachines.firstOrNull { h in it.tasks.values }?.zone }.toSet()
        // Faults of single machines may last beyond the end of fault injection.
        return runningMachines
            .filter { maxOf(it.answersLostUntil, it.disconnectedUntil, it.hungUntil, it.reportsBlockedUntil) <= now }
            .filter { w ->
                val coresUsed = launchedCores(listOf(w))
                (spec.types == null || w.type.name in spec.types) && (spec.zone == null || spec.zone == w.zone) && (!w.spot || spec.spot) &&
                    (!spec.oneZone || zones.isEmpty() || w.zone in zones) && w.type.size.cores - coresUsed >= spec.need.cores
            }.mapTo(HashSet()) { it.id }
    }

    /** Until then many of the leader's writes go unanswered and are applied late. */
    private var delayedWritesUntil = 0L

    private val controllers = List(CONTROLLERS) { Controller(it) }

    /** Encodes and decodes [value], so that it has the types that a client reads. */
    private fun wireRoundTrip(value: Map<String, Any?>): Map<String, Any?> {
        @Suppress("UNCHECKED_CAST")
        return dewwing.protocol.Pack.decode(dewwing.protocol.Pack.encode(value)) as Map<String, Any?>
    }

    // ---- users ----
    private val submitted = ArrayList<JobRef>()
    private val failingJobs = HashSet<JobRef>()

    private fun submit(number: Int) {
        val isGang = random.nextInt(4) == 0
        val spec =
            JobSpec(
                JobRef("job-%06d".format(number)),
                if (isGang) "gangs" else "c",
                "t",
                if (isGang) JobShape.GANG else JobShape.ARRAY,
                Urgency.entries.random(random),
                if (isGang) random.nextInt(1, maxGangTasks + 1) else random.nextInt(1, arrayTasksBound),
                Resources(random.nextInt(1, 3).toDouble(), 0.0, 1.0),
                "i${random.nextInt(3)}",
                1.0,
                if (random.nextInt(3) == 0) listOf("big") else null,
                if (random.nextInt(4) == 0) "a" else null,
                random.nextInt(3) == 0,
                false,
                random.nextBoolean(),
                5.0,
                0.0,
                0.0,
                null,
            )
        if (spec.schedulingUnit.cores > teamCoreLimit) return
        specs[spec.ref] = spec
        rules.onJobAccepted(spec, now)
        submitted.add(spec.ref)
        val record = JobRecord(if (defect == Defect.REPORT_DONE_EARLY && number == 3) JobStage.DONE else JobStage.QUEUED, spec, now)
        commit(StateChange(listOf(Keys.job(spec.ref) to Revision.ABSENT), listOf(Keys.job(spec.ref) to record.toValue())))
        if (faultProfile.failingJobRate > 0 && random.nextDouble() < faultProfile.failingJobRate) {
            failingJobs.add(spec.ref)
            after(random.nextLong(60_000, 200_000)) { cancel(spec.ref) }
            return
        }
        if (random.nextInt(5) == 0) after(random.nextLong(10, 15_000)) { cancel(spec.ref) }
    }

    /** Cancels [ref] through any controller, and repeats it until the answer is a final stage. */
    private fun cancel(ref: JobRef) {
        when (controllers.random(random).cancel(ref)) {
            JobStage.ABORTED -> rules.onCancellationTold(ref, now)
            JobStage.DONE -> rules.onStageTold(ref, JobStage.DONE)
            else -> after(random.nextLong(1_000, 1_500)) { cancel(ref) }
        }
    }

    // ---- running ----
    private fun instant() = Instant(now)

    private fun after(
        delayMs: Long,
        action: () -> Unit,
    ) {
        events.add(now + delayMs to action)
    }

    private fun every(
        intervalMs: Long,
        action: () -> Unit,
    ) {
        after(random.nextLong(intervalMs / 2, intervalMs * 3 / 2)) {
            action()
            every(intervalMs, action)
        }
    }

    private fun advanceTo(untilMs: Long) {
        while (events.isNotEmpty() && events.peek().first <= untilMs) {
            val (time, action) = events.poll()
            now = time
            action()
        }
        now = untilMs
    }

    /** Submits [jobs] jobs and injects faults for [lengthMs], then runs on without new faults; returns the jobs that are not final. */
    fun simulate(
        jobs: Int,
        lengthMs: Long,
        scheduledFaults: List<ScheduledFault> = emptyList(),
    ): List<JobRef> {
        for (fault in scheduledFaults) after(fault.startMs) { inject(fault) }
        controllers.forEach { c ->
            after(random.nextLong(0, 500)) {
                c.runLoop(0)
                c.watchJobs(0)
                c.exchangeHeartbeats(0)
            }
        }
        for (number in 0 until jobs) after(random.nextLong(0, lengthMs / 2)) { submit(number) }
        var faultsActive = true

        fun runningWorkers() = workers.values.filter { !it.terminated }
        every(faultProfile.crashIntervalMs) { if (faultsActive) controllers.random(random).crash() }
        every(faultProfile.crashIntervalMs * 4) { if (faultsActive) controllers.forEach { it.crash() } }
        every(faultProfile.disconnectIntervalMs) {
            if (faultsActive) {
                runningWorkers().randomOrNull(random)?.let { it.disconnectedUntil = now + random.nextLong(1_000, 25_000) }
            }
        }
        every(faultProfile.hangIntervalMs) {
            if (faultsActive) {
                runningWorkers().randomOrNull(random)?.let { it.hungUntil = now + random.nextLong(1_000, 25_000) }
            }
        }
        every(faultProfile.answersLostIntervalMs) {
            if (faultsActive) {
                runningWorkers().randomOrNull(random)?.let { it.answersLostUntil = now + random.nextLong(5_000, 60_000) }
            }
        }
        every(faultProfile.isolationIntervalMs) {
            if (faultsActive) {
                controllers.random(random).let { it.isolatedUntil = now + random.nextLong(1_000, 25_000) }
            }
        }
        every(faultProfile.machineLossIntervalMs) { if (faultsActive) runningWorkers().randomOrNull(random)?.terminate() }
        every(faultProfile.massFailureIntervalMs) {
            if (!faultsActive) return@every
            val until = now + random.nextLong(5_000, 50_000)
            val failureKind = random.nextInt(3)
            for (worker in runningWorkers().shuffled(random).take(runningWorkers().size / 3)) {
                when (failureKind) {
                    0 -> worker.disconnectedUntil = until
                    1 -> worker.hungUntil = until
                    else -> worker.terminate()
                }
            }
        }
        every(faultProfile.rollingRestartIntervalMs) {
            if (faultsActive) {
                controllers.forEachIndexed { i, c -> after(i * 4_000L) { c.crash() } }
            }
        }
        every(100) {
            maxMachines = maxOf(maxMachines, runningWorkers().size)
            runningWorkers().forEach { it.checkLease() }
        }
        every(1_000) {
            rules.checkCancelledTasks(now)
            if (!faultsActive) for (ref in submitted) rules.onWaitObserved(ref, waitsWithFreeCapacity(ref), now)
        }
        every(4_000) {
            val machines =
                workers.values.filter { !it.terminated }.map {
                    ListedMachine(it.id, it.type.name, it.zone, it.spot, ListedStage.RUNNING, 10.0)
                }
            after(3_000) { controllers.forEach { it.scheduler?.onMachineList(machines, instant()) } }
        }
        every(5_000) {
            val controller = controllers.random(random)
            for (ref in submitted) {
                val stage = if (defect == Defect.NEVER_ANSWER_USERS) null else controller.readStage(ref)
                rules.onStatusRequested(ref, stage != null, now, if (faultsActive) Long.MAX_VALUE else lengthMs)
                if (stage == JobStage.ABORTED) {
                    rules.onCancellationTold(ref, now)
                } else if (stage != null) {
                    rules.onStageTold(ref, stage)
                }
            }
        }
        advanceTo(lengthMs)
        faultsActive = false
        advanceTo(lengthMs + RECOVERY_MS)
        return submitted.filter { ref -> store[Keys.job(ref)]?.let { !JobRecord.of(wireRoundTrip(it.first)).isFinal } ?: true }
    }

    /** The highest number of machines at the same time. */
    var maxMachines = 0
        private set

    /** Number of stored keys under [prefix], to test that old records are removed. */
    fun keyCount(prefix: String): Int = store.keys.count { it.startsWith(prefix) }

    companion object {
        const val WORKER_LEASE_MS = 10_000L
        const val CANCELLATION_LIMIT_MS = 35_000L
        private const val STATE_LEASE_MS = 2_500L
        private const val CONTROLLERS = 3
        private const val TASK_TURNOVER_MS = 10_000L
        private const val PARTITIONED_ZONE = "a"
        private const val PARTITIONED_CONTROLLER = 0
        private const val RECOVERY_MS = 400_000L

        /** Each way of a check of launches takes up to [MAX_CHECK_MS], and one check in [SLOW_CHECK_ODDS] up to [MAX_SLOW_CHECK_MS]. */
        private const val MAX_CHECK_MS = 10L
        private const val MAX_SLOW_CHECK_MS = 700L
        private const val SLOW_CHECK_ODDS = 10
    }
}
