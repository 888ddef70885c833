package dewwing.control.core

import dewwing.control.core.fleet.Fleet
import dewwing.control.core.fleet.Machine
import dewwing.control.core.fleet.ReleaseStage
import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
import dewwing.control.core.intent.LogRecord
import dewwing.control.core.intent.RecordKeys
import dewwing.control.core.intent.RejectedWrites
import dewwing.control.core.intent.ReleaseRecord
import dewwing.control.core.intent.RentalRecord
import dewwing.control.core.intent.SplitPlacement
import dewwing.control.core.intent.SplitPlacementReader
import dewwing.control.core.intent.TaskRanges
import dewwing.control.core.intent.WriteBatch
import dewwing.control.core.job.Attempt
import dewwing.control.core.job.AttemptPhase
import dewwing.control.core.job.ClassObjectives
import dewwing.control.core.job.EventNumber
import dewwing.control.core.job.Job
import dewwing.control.core.job.JobRevisionCheck
import dewwing.control.core.leadership.LeadershipTimes
import dewwing.control.core.placement.MachineIndex
import dewwing.control.core.placement.Placement
import dewwing.control.core.placement.PlacementConstraints
import dewwing.control.core.placement.PlacementPreference
import dewwing.control.core.placement.Placer
import dewwing.control.core.placement.Preemption
import dewwing.control.core.placement.PreemptionTarget
import dewwing.control.core.quota.Quota
import dewwing.control.core.sharing.MachineClaim
import dewwing.control.core.sharing.SchedulerScope
import dewwing.control.core.sharing.ShardClaims
import dewwing.control.core.sharing.TeamDemand
import dewwing.control.core.sharing.TeamResources
import dewwing.control.core.sharing.UnconfirmedStarts
import dewwing.protocol.Command
import dewwing.protocol.Duration
import dewwing.protocol.EndCause
import dewwing.protocol.Endpoint
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobSpec
import dewwing.protocol.JobStage
import dewwing.protocol.ListedMachine
import dewwing.protocol.ListedStage
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.Report
import dewwing.protocol.ReportPosition
import dewwing.protocol.ReportedTask
import dewwing.protocol.Resources
import dewwing.protocol.Revision
import dewwing.protocol.Step
import dewwing.protocol.TaskStage
import dewwing.protocol.Team
import dewwing.protocol.Term
import org.slf4j.LoggerFactory
import java.util.BitSet

/** Display counts of an open job. */
data class JobCounts(
    val stage: JobStage,
    val done: Int,
    val running: Int,
)

/**
 * The scheduling state of one leadership term. It receives events and returns effects; it has no clock and does no I/O.
 *
 * Main invariant: a task is started only when no earlier attempt of it can still be on a machine. An [Attempt] exists
 * from before its log record is written until it is *proven* gone. All that time it counts toward the machine's
 * resources, the team's quota and the zone constraints, and it is launched again only after its worker has reported its end.
 */
class Scheduler(
    private val settings: CoreSettings,
    val term: Term,
    termRevision: Revision,
    private val startedAt: Instant,
    /** Wall-clock time minus monotonic time; used only to compute the age of jobs. */
    private val wallClockOffsetMs: Long,
    private val scope: SchedulerScope = SchedulerScope.single(termRevision),
) {
    private val log = LoggerFactory.getLogger("scheduler")
    private val tunables = settings.tunables
    private val jobs = LinkedHashMap<JobRef, Job>()
    private val closedJobs = ArrayDeque<Job>()
    private val closedJobRefs = HashSet<JobRef>()

    /** Contains every open job with unplaced tasks. Jobs that no longer qualify are removed in the next round. */
    private val waitingJobs = LinkedHashSet<Job>()

    /** Counts the machines, jobs and tasks examined; see [WorkCounter]. */
    val workCounter = WorkCounter()
    private val machines = LinkedHashMap<MachineId, Machine>()
    private val types = LinkedHashMap<String, MachineType>()
    private val quota = Quota(settings.teams)
    private val writeBudget =
        TokenBucket(
            settings.state.writesPerS * tunables.writeShare,
            maxOf(1.0, settings.state.writesPerS * tunables.writeShare, settings.writeBurst),
        )
    private var orphanLogKeys = ArrayList<String>()
    private var splitPlacementReader = SplitPlacementReader()

    /** Gang placements that span several records, not all of them written yet. */
    private val splitPlacements = ArrayList<SplitPlacement>()
    private val gcQueue = ArrayDeque<Pair<Instant, String>>()
    private var pendingBatch: WriteBatch? = null

    /** The composition of [pendingBatch], which is sent later than that. */
    private var pendingBatchEvent = EventNumber.NONE
    private val effects = ArrayList<Effect>()
    private val classObjectives = ClassObjectives(settings.objectives)
    private val fleet = Fleet(settings, term, machines, types, quota, workCounter, classObjectives, startedAt, scope.keys)
    private val claims = scope.shard?.let { ShardClaims() }
    private val preemption = Preemption(quota, fleet::fetchS, ::canMeetDeadline)

    /**
     * Until this time a worker's lease may have been renewed by answers that are not recorded here: those of earlier
     * leaders, and those that this leader sent before its state was restored.
     */
    private var unrecordedRenewalsUntil = startedAt + tunables.staleLeaderBound
    private val leaseDuration = LeadershipTimes.leaseWithDrift(settings.workers.leaseDuration)

    /** A worker that has not reported for this long gets no new tasks. */
    private val reportTimeout = settings.workers.reportInterval * REPORT_INTERVAL_FACTOR + Duration(REPORT_TIMEOUT_MARGIN_MS)

    /**
     * A worker whose next message arrives within this time has received the last answer. A worker that misses an answer
     * waits 4 s, pauses for 1 s and then turns to another controller, so its next message does not arrive here at all; with
     * a single controller it cannot arrive sooner than that. With several controllers the window also covers the report
     * interval: a fixed 4 s classified half of all healthy workers with a 4 s report interval as not receiving answers, and
     * machines that had just recovered from a network partition were released.
     */
    private val answerReceiptWindow =
        if (settings.hasPeers) {
            maxOf(
                ANSWER_TIMEOUT,
                settings.workers.reportInterval * REPORT_INTERVAL_FACTOR + Duration(ANSWER_RECEIPT_MARGIN_MS),
            )
        } else {
            ANSWER_TIMEOUT
        }

    private var cachedRanking: List<Job>? = null

    /** Open jobs covered by their team's guarantee, as of the last ranking. */
    private var guaranteedJobs: Set<Job> = emptySet()
    private var resumeAfterJob: JobRef? = null

    // ---- restoring from the state service -----------------------------------------------------------------------

    fun restoreJob(
        ref: JobRef,
        record: JobRecord,
        revision: Revision,
    ) {
        // A finished job keeps its spec while its tasks may still be on machines; they hold resources until proven gone.
        val spec = record.spec ?: return
        val job = Job(spec, revision, record.submittedAtMs, record.shard)
        if (record.isFinal) {
            job.finalStage = record.stage
            job.finalAt = startedAt
        }
        jobs[ref] = job
        if (job.isOpen) waitingJobs.add(job)
        updateStandbyMachines(spec)
    }

    /** Log records must be passed in key order: the last assignment of a task takes effect. */
    fun restoreLog(
        key: String,
        record: LogRecord,
    ) {
        val logKey = RecordKeys.parseLogKey(key) ?: return
        val job = jobs[logKey.job]
        if (job == null) {
            orphanLogKeys.add(key)
            return
        }
        // Also for a part whose step record is missing: its key is already in use.
        job.nextStep = maxOf(job.nextStep, logKey.step.value + 1)
        if (logKey.part != null) {
            splitPlacementReader.addPart(key, logKey, record)?.let { restorePlacement(job, logKey.step, it) }
            return
        }
        job.logSteps.add(logKey.step)
        if (record.partCount > 0) {
            job.logParts[logKey.step] = record.partCount
            splitPlacementReader.expectParts(logKey, record.partCount)
        }
        restorePlacement(job, logKey.step, record.assignments)
        restoreDone(job, record.done)
    }

    private fun restorePlacement(
        job: Job,
        step: Step,
        assignments: List<LogRecord.Assignment>,
    ) {
        for (assignment in assignments) {
            val machine = machines.getOrPut(assignment.machine) { Machine(assignment.machine, startedAt) }
            var task = assignment.tasks.nextSetBit(0)
            while (task in 0 until job.spec.tasks) {
                job.liveAttempts.get(task)?.let { removeAttempt(it, startedAt) }
                if (!job.done[task]) addAttempt(Attempt(job, task, step, machine, AttemptPhase.INHERITED))
                task = assignment.tasks.nextSetBit(task + 1)
            }
        }
    }

    private fun restoreDone(
        job: Job,
        done: BitSet,
    ) {
        var task = done.nextSetBit(0)
        while (task >= 0) {
            job.liveAttempts
                .get(task)
                ?.takeIf { !job.isGang }
                ?.let { removeAttempt(it, startedAt) }
            task = done.nextSetBit(task + 1)
        }
        job.restoreDone(done)
    }

    fun restoreRental(
        key: String,
        record: RentalRecord,
        now: Instant,
    ) = fleet.restoreRental(key, record, now)

    fun restoreRelease(
        key: String,
        record: ReleaseRecord,
    ) {
        for (id in record.machines) machines.getOrPut(id) { Machine(id, startedAt) }.release = ReleaseStage.LOGGED
        fleet.onReleaseLogged(key, record)
    }

    /** Restores the machines that were rented for this shard. */
    fun restoreClaim(
        key: String,
        claim: MachineClaim,
    ) {
        claims?.restore(key, claim)
        for (id in claim.machines ?: return) machines.getOrPut(id) { Machine(id, startedAt) }
    }

    /** Fences of earlier terms are obsolete: writes of those terms already fail on the term condition. */
    fun restoreFence(key: String) {
        if (RecordKeys.parseFenceTerm(key)?.let { it < term } == true) gcQueue.addFirst(startedAt to key)
    }

    fun finishRestore(now: Instant) {
        // Reports are answered while the state is being restored. With a slow state service this can last longer than
        // the answers of earlier leaders count, so a lease renewed just before now would be considered expired too early.
        unrecordedRenewalsUntil = maxOf(unrecordedRenewalsUntil, now)
        for (key in orphanLogKeys + splitPlacementReader.orphanKeys) gcQueue.addLast((now + tunables.logRetention) to key)
        for (step in splitPlacementReader.incompleteSteps()) {
            log.error(
                "step {} of job {} cannot be restored: a record of its split placement is missing",
                step.step,
                step.job,
            )
        }
        orphanLogKeys = ArrayList()
        splitPlacementReader = SplitPlacementReader()
        for (job in jobs.values.filter { !it.isOpen }) {
            for (attempt in job.liveAttempts.values) killAttempt(attempt, 0.0)
            close(job, now)
        }
        val inherited = machines.values.sumOf { it.attempts.size }
        log.info("term {}: restored {} open jobs and {} tasks that may be running", term, jobs.size, inherited)
    }

    // ---- events -------------------------------------------------------------------------------------------------

    fun onMachineTypes(machineTypes: List<MachineType>) {
        types.clear()
        for (type in machineTypes) types[type.name] = type
        for (machine in machines.values) machine.type?.let { machine.type = types[it.name] ?: it }
    }

    /** A job's record changed. This scheduler's own writes are also reported here. */
    fun onJobRecord(
        ref: JobRef,
        record: JobRecord,
        revision: Revision,
        now: Instant,
    ) {
        val job = jobs[ref]
        if (job == null) {
            val spec = record.spec ?: return
            if (record.isFinal || ref in closedJobRefs) return
            val newJob = Job(spec, revision, record.submittedAtMs, record.shard)
            jobs[ref] = newJob
            waitingJobs.add(newJob)
            updateStandbyMachines(spec)
            recordUrgentArrival(spec, now)
            cachedRanking = null
            log.info("job {} accepted: class {}, {} tasks, team {}", ref, spec.jobClass, spec.tasks, spec.team)
            return
        }
        if (revision < job.revision) return
        job.revision = revision
        if (record.isFinal && job.isOpen) finish(job, record.stage, now)
    }

    /**
     * A cancellation that did not arrive through the watch on job records. The watch may hang or be refused while another
     * controller has already confirmed the cancellation to the user.
     */
    fun onCancelled(
        ref: JobRef,
        revision: Revision,
        now: Instant,
    ) {
        val job = jobs[ref] ?: return
        job.revision = maxOf(job.revision, revision)
        finish(job, JobStage.ABORTED, now)
    }

    private fun finish(
        job: Job,
        stage: JobStage,
        now: Instant,
    ) {
        job.finalStage = stage
        job.finalAt = now
        log.info("job {} {}", job.ref, if (stage == JobStage.DONE) "done" else "cancelled")
        for (attempt in job.liveAttempts.values.toList()) {
            if (attempt.neverSent) removeAttempt(attempt, now) else killAttempt(attempt, 0.0)
        }
        close(job, now)
    }

    private fun close(
        job: Job,
        now: Instant,
    ) {
        jobs.remove(job.ref)
        waitingJobs.remove(job)
        closedJobs.addLast(job)
        closedJobRefs.add(job.ref)
        cachedRanking = null
        for (key in logKeys(job)) gcQueue.addLast((now + tunables.logRetention) to key)
    }

    /** The step record comes before its parts, because parts without a step record are ignored. */
    private fun logKeys(job: Job): List<String> =
        job.logSteps.flatMap { step ->
            val parts = 0 until (job.logParts[step] ?: 0)
            listOf(job.keys.log(job.ref, step)) + parts.map { job.keys.logPart(job.ref, step, it) }
        }

    /**
     * Processes a worker's report. [takeCommands] returns the answer and may be called a little later, once the placements
     * that the report made possible are logged: a launch that misses this answer leaves the machine idle until the next report.
     */
    fun onReport(
        report: Report,
        now: Instant,
    ) {
        val known = machines[report.machine]
        // A late duplicate carries no new information, and its sender no longer waits for the answer. It must not change
        // the recorded lease, the commands pending for the newest report, or a machine that was removed or released.
        if (known == null && removedMachinePositions[report.machine]?.let { report.position <= it } == true) return
        if (known != null && (known.release == ReleaseStage.GONE || report.position <= known.position)) return
        if (known != null && report.position.session <= known.expiredSession) return
        pendingCommands.remove(report.machine)
        val machine =
            known ?: Machine(report.machine, now).also {
                machines[it.id] = it
                log.info("machine {} registered by its first report: type {} in zone {}", report.machine, report.type, report.zone)
            }
        updateAnswerReceipt(machine, report, now)
        machine.describe(types[report.type], report.zone, report.spot)
        if (!machine.up) {
            machine.idleSince = now
            machine.lastAcceleratorWorkAt = now
            fleet.onMachineUp(machine)
        }
        val sameSession = report.position.session == machine.position.session
        machine.position = report.position
        machine.endpoint = Endpoint.parse(report.endpoint)
        machine.lastAnsweredAt = now
        machine.lastReportAt = now
        machine.lastReportEvent = nextEvent()
        machine.up = true
        if (!sameSession) machine.images.clear()
        // A report with the current term was sent when the worker knew that term, so it rejects answers of earlier leaders.
        // A machine rented in this term is safe from its first report: it knows no leader yet, and no earlier leader could
        // act when it was rented. Waiting for its second report would leave it idle for one report interval.
        machine.confirmedTerm = report.term >= term || (machine.rentedInTerm && machine.leaseExpiredAt == null && report.term == Term.NONE)
        machine.reclaimAt = report.noticeS?.let { now + Duration.ofSeconds(it) }
        val commands = ArrayList<Command>()
        readTasks(machine, report, now, commands)
        if (machine.reclaimAt != null) drainMachine(machine, now)
        pendingCommands[machine.id] = commands
    }

    /**
     * Position of the newest message of each removed machine. A duplicate of one of its reports may arrive long after
     * the machine is gone; registering the machine again would place tasks on a machine that does not exist.
     */
    private val removedMachinePositions =
        object : LinkedHashMap<MachineId, ReportPosition>() {
            override fun removeEldestEntry(eldest: Map.Entry<MachineId, ReportPosition>) = size > MAX_REMOVED_MACHINES
        }

    /**
     * Detects machines whose reports arrive but which do not receive the answers. A machine that receives them sends the
     * next message of its session within [answerReceiptWindow]. A machine whose session ends although it was answered in
     * time, or that never carries out a launch, has not received them.
     */
    private fun updateAnswerReceipt(
        machine: Machine,
        report: Report,
        now: Instant,
    ) {
        if (!machine.up) {
            // Its lease had expired: one more report must first show that answers reach it.
            if (machine.leaseExpiredAt != null) machine.answersLostSince = now
            return
        }
        val isNextInSession = report.position.session == machine.position.session && report.position.seq == machine.position.seq + 1
        if (isNextInSession && now - machine.lastReportAt < answerReceiptWindow) {
            if (machine.answersLostSince != null) log.info("machine {} receives answers again", machine.id)
            machine.answersLostSince = null
        } else if (report.position.session > machine.position.session) {
            markAnswersLost(machine, now, "its lease expired although its reports were answered")
        }
    }

    private fun markAnswersLost(
        machine: Machine,
        now: Instant,
        evidence: String,
    ) {
        if (machine.answersLostSince != null) return
        log.info("machine {} does not receive answers: {}", machine.id, evidence)
        machine.answersLostSince = now
        for (attempt in machine.attempts.values.toList()) if (attempt.phase == AttemptPhase.READY) handleLostAttempt(attempt, now)
    }

    /** Commands that result from a machine's newest report (reaps, kills of unknown tasks), kept until its answer is sent. */
    private val pendingCommands = HashMap<MachineId, ArrayList<Command>>()

    /** Whether no launch for this machine is ready but one may be soon, so that it is worth delaying the answer to its report. */
    fun mayLaunchSoon(id: MachineId): Boolean {
        val machine = machines[id] ?: return false
        if (!machine.schedulable) return false
        if (machine.attempts.values.any { it.phase == AttemptPhase.LOGGING }) return true
        if (machine.attempts.values.any { it.phase == AttemptPhase.READY }) return false
        workCounter.count(minOf(waitingJobs.size, MAX_WAITING_JOBS_CHECKED))
        return waitingJobs
            .asSequence()
            .take(MAX_WAITING_JOBS_CHECKED)
            .any { !it.pending.isEmpty && machine.free.canFit(it.spec.need) && PlacementConstraints.allowsMachine(it, machine) }
    }

    private var lastEvent = EventNumber.NONE

    private fun nextEvent(): EventNumber = lastEvent.next().also { lastEvent = it }

    /** Whether the state service has shown the attempt's job to be open since the newest report of its machine arrived. */
    private fun isShownOpen(attempt: Attempt) = attempt.job.openAsOf > attempt.machine.lastReportEvent

    /**
     * Jobs that are to be checked before [takeCommands] can launch their tasks on the machine [id]. The job may have been
     * cancelled since its record was last read here, and its user may have been told so before the machine sent its report.
     */
    fun jobsToCheckBeforeLaunch(id: MachineId): Set<JobRef> {
        val machine = machines[id] ?: return emptySet()
        if (!machine.schedulable) return emptySet()
        return machine.attempts.values
            .filter { it.phase == AttemptPhase.READY && it.job.isOpen && !isShownOpen(it) }
            .mapTo(LinkedHashSet()) { it.job.ref }
    }

    /** A check of the open ones of [refs], to be requested from the state service now. */
    fun startRevisionCheck(refs: Collection<JobRef>): JobRevisionCheck {
        val revisions = LinkedHashMap<JobRef, Revision>()
        for (ref in refs) jobs[ref]?.let { revisions[ref] = it.revision }
        return JobRevisionCheck(nextEvent(), revisions)
    }

    /** The state service has answered that no record compared by [check] has changed. */
    fun onRevisionsUnchanged(check: JobRevisionCheck) {
        for (ref in check.revisions.keys) jobs[ref]?.confirmOpen(check.startedAt)
    }

    /**
     * Returns the answer to [report]; empty if a newer report of the machine has arrived since, or if [report] itself was late.
     * Tasks are launched only if the state service has shown their jobs to be open after the report arrived.
     */
    fun takeCommands(
        report: Report,
        now: Instant,
        launchAllowed: Boolean,
    ): List<Command> {
        val machine = machines[report.machine] ?: return emptyList()
        if (machine.position != report.position) return emptyList()
        val commands = pendingCommands.remove(machine.id) ?: return emptyList()
        for (attempt in machine.attempts.values) {
            val grace = attempt.killGraceS ?: continue
            if (!attempt.neverSent && commands.size < MAX_COMMANDS_PER_MESSAGE) {
                commands.add(Command.Kill(attempt.ref, attempt.step, grace))
            }
        }
        if (launchAllowed && machine.schedulable) launchReady(machine, report, now, commands)
        return commands
    }

    private fun readTasks(
        machine: Machine,
        report: Report,
        now: Instant,
        commands: MutableList<Command>,
    ) {
        val listed = HashSet<Pair<Any, Step>>(report.tasks.size * 2)
        workCounter.count(report.tasks.size + machine.attempts.size)
        for (reported in report.tasks) {
            listed.add(reported.task to reported.attempt)
            val known = machine.attempts[reported.task]?.takeIf { it.step == reported.attempt }
            if (reported.stage == TaskStage.ENDED) {
                handleEndedTask(machine, reported, known, now, commands)
            } else {
                handleActiveTask(machine, reported, known, now, commands)
            }
        }
        for (attempt in machine.attempts.values.toList()) {
            if ((attempt.ref to attempt.step) in listed) continue
            val gone =
                when (attempt.phase) {
                    AttemptPhase.LOGGING, AttemptPhase.READY -> false

                    // Only a report newer than the one whose answer carried the launch can prove that the task is absent.
                    AttemptPhase.SENT -> attempt.launchReport?.let { it < report.position } ?: true

                    AttemptPhase.REPORTED -> true

                    AttemptPhase.INHERITED -> machine.confirmedTerm
                }
            if (gone) {
                log.debug("task {} attempt {} is no longer on machine {}", attempt.ref, attempt.step, machine.id)
                val launchLost = attempt.phase == AttemptPhase.SENT && attempt.killGraceS == null
                handleLostAttempt(attempt, now)
                if (launchLost) markAnswersLost(machine, now, "a launch command was not carried out")
            }
        }
    }

    private fun handleActiveTask(
        machine: Machine,
        reported: ReportedTask,
        known: Attempt?,
        now: Instant,
        commands: MutableList<Command>,
    ) {
        val job = jobs[reported.task.job]
        var attempt = known
        if (attempt == null) {
            if (job != null && !job.isGang && reported.task.index < job.spec.tasks && job.pending[reported.task.index] &&
                machine.attempts[reported.task] == null
            ) {
                // The task is on the machine regardless of the records: adopt this as the task's only attempt.
                attempt = Attempt(job, reported.task.index, reported.attempt, machine, AttemptPhase.REPORTED)
                job.nextStep = maxOf(job.nextStep, reported.attempt.value + 1)
                addAttempt(attempt)
            } else {
                commands.add(Command.Kill(reported.task, reported.attempt, 0.0))
                return
            }
        }
        attempt.phase = AttemptPhase.REPORTED
        attempt.stage = reported.stage
        if (reported.stage != TaskStage.FETCHING) machine.recordImage(attempt.job.spec.image)
        if (reported.stage == TaskStage.RUNNING && attempt.runningSince == null) {
            attempt.runningSince = now
            if (waitTimes.size < MAX_WAIT_TIMES) {
                waitTimes.add(attempt.job.spec.jobClass to Duration(now.ms + wallClockOffsetMs - attempt.job.submittedAtMs))
            }
        }
    }

    private fun handleEndedTask(
        machine: Machine,
        reported: ReportedTask,
        known: Attempt?,
        now: Instant,
        commands: MutableList<Command>,
    ) {
        val job = jobs[reported.task.job]
        val index = reported.task.index
        if (reported.cause == EndCause.DONE && job != null && index < job.spec.tasks) {
            if (job.isGang) for (i in 0 until job.spec.tasks) job.markDone(i, now) else job.markDone(index, now)
        }
        if (known != null) {
            when (reported.cause) {
                EndCause.DONE -> {
                    removeAttempt(known, now)
                }

                EndCause.ERROR -> {
                    log.info("task {} failed on machine {}", known.ref, machine.id)
                    recordFailure(machine, known.job, now)
                    handleLostAttempt(known, now)
                }

                EndCause.INCOMPLETE -> {
                    if (mayRejoinGang(known)) rejoinGang(known) else handleRefusedTask(known, EndCause.INCOMPLETE, now)
                }

                EndCause.NO_ROOM, EndCause.IN_USE, EndCause.UNKNOWN_JOB -> {
                    handleRefusedTask(known, reported.cause, now)
                }

                else -> {
                    handleLostAttempt(known, now)
                }
            }
        }
        // A finished task stays on the worker until its completion is logged; only then may the worker discard it.
        val resultUnwritten = reported.cause == EndCause.DONE && job != null && index < job.spec.tasks && !job.doneLogged[index]
        if (!resultUnwritten && commands.size < MAX_COMMANDS_PER_MESSAGE) commands.add(Command.Reap(reported.task, reported.attempt))
    }

    private fun handleRefusedTask(
        attempt: Attempt,
        cause: EndCause,
        now: Instant,
    ) {
        log.info("task {} refused by machine {}: {}", attempt.ref, attempt.machine.id, cause)
        attempt.job.recordFailure(now)
        handleLostAttempt(attempt, now)
    }

    /**
     * Whether other tasks of the gang of [attempt], which has ended because they were not there in time, still fetch their
     * images. A new attempt of the whole gang would give these fetches up, and could go on like that for ever.
     */
    private fun mayRejoinGang(attempt: Attempt): Boolean {
        val job = attempt.job
        if (!job.isGang || !job.isOpen || attempt.killGraceS != null || !attempt.machine.schedulable) return false
        val others = job.liveAttempts.values.filter { it !== attempt }
        return others.size == job.spec.tasks - 1 &&
            others.all { it.step == attempt.step && it.killGraceS == null && it.runningSince == null } &&
            others.any { it.stage == TaskStage.FETCHING } &&
            attempt.rejoinCount < MAX_GANG_REJOINS
    }

    /** The ended task is discarded by its worker and launched there again with the same attempt number, which completes the gang. */
    private fun rejoinGang(attempt: Attempt) {
        attempt.rejoinCount++
        attempt.phase = AttemptPhase.READY
        attempt.stage = null
        attempt.launchReport = null
        log.info("task {} waits again for tasks of its gang that fetch their images ({} times)", attempt.ref, attempt.rejoinCount)
    }

    private fun launchReady(
        machine: Machine,
        report: Report,
        now: Instant,
        commands: MutableList<Command>,
    ) {
        for (attempt in machine.attempts.values.toList()) {
            if (attempt.phase != AttemptPhase.READY) continue
            if (!attempt.job.isOpen || attempt.killGraceS != null) {
                removeAttempt(attempt, now)
                continue
            }
            if (!isShownOpen(attempt)) continue
            if (commands.size >= MAX_COMMANDS_PER_MESSAGE) return
            attempt.phase = AttemptPhase.SENT
            attempt.launchReport = report.position
            commands.add(Command.Launch(attempt.ref, attempt.step))
        }
    }

    /** Failures of several jobs on one machine mark the machine as faulty; failures on several machines mark the job as suspect. */
    private fun recordFailure(
        machine: Machine,
        job: Job,
        now: Instant,
    ) {
        job.recordFailure(now)
        job.recordFailureOn(machine.id.value)
        if (job.isSuspect) {
            clearMachineFailures(job)
        } else if (job.failedMachineCount <= Job.MAX_FAULTY_MACHINES) {
            machine.failedJobs.add(job.ref.value)
        }
        if (machine.failedJobs.size >= FAULTY_MACHINE_FAILED_JOBS && !machine.faulty) {
            log.info("machine {} marked as faulty: {} jobs failed on it", machine.id, machine.failedJobs.size)
            machine.faulty = true
        }
    }

    /**
     * Removes a suspect job from the failure records of machines, since the job itself is at fault. Otherwise two such jobs
     * would mark every machine that both ran on as faulty.
     */
    private fun clearMachineFailures(job: Job) {
        for (machine in machines.values) {
            if (!machine.failedJobs.remove(job.ref.value) || !machine.faulty ||
                machine.failedJobs.size >= FAULTY_MACHINE_FAILED_JOBS
            ) {
                continue
            }
            log.info("machine {} no longer marked as faulty: job {} fails on every machine", machine.id, job.ref)
            machine.faulty = false
        }
    }

    /** The cloud is reclaiming the machine: tasks with checkpoints save and stop now, the others run on as long as they can. */
    private fun drainMachine(
        machine: Machine,
        now: Instant,
    ) {
        val remaining = (machine.reclaimAt ?: return) - now
        for (attempt in machine.attempts.values.toList()) {
            if (attempt.neverSent) {
                removeAttempt(attempt, now)
                continue
            }
            val spec = attempt.job.spec
            if (spec.checkpointS > 0 && attempt.killGraceS == null && attempt.stage == TaskStage.RUNNING) {
                killAttempt(attempt, minOf(maxOf(spec.saveS, remaining.seconds - 1.0), maxOf(spec.saveS, remaining.seconds)))
            }
        }
    }

    fun onMachineList(
        listedMachines: List<ListedMachine>,
        now: Instant,
    ) {
        fleet.machinesListed = true
        for (entry in listedMachines) {
            val machine =
                machines.getOrPut(entry.id) {
                    Machine(entry.id, now).also { it.rentedAt = Instant(now.ms - (entry.ageS * 1000).toLong()) }
                }
            machine.describe(types[entry.type], entry.zone, entry.spot)
            machine.lastListed = now
            machine.listedFailed = entry.stage == ListedStage.FAILED
        }
        for (machine in machines.values.toList()) {
            val stale =
                now - (machine.lastListed ?: machine.knownSince) > Duration(settings.cloud.listLag.ms * 3 + MACHINE_REMOVAL_DELAY_MS)
            if (stale && !machine.up && machine.attempts.isEmpty() && machine.release != ReleaseStage.LOGGED) {
                machines.remove(machine.id)
                claims?.onMachineGone(machine.id, now)
                removedMachinePositions[machine.id] =
                    if (machine.release ==
                        ReleaseStage.GONE
                    ) {
                        MAX_POSITION
                    } else {
                        maxOf(machine.position, ReportPosition(machine.expiredSession, Long.MAX_VALUE))
                    }
            }
        }
    }

    /** [rented] is null if there was no capacity. If the outcome is unknown, [onRentOutcomeUnknown] is called instead. */
    fun onRented(
        key: String,
        rented: List<MachineId>?,
        now: Instant,
    ) = fleet.onRented(key, rented, now)

    fun onRentOutcomeUnknown(
        key: String,
        now: Instant,
    ) = fleet.onRentOutcomeUnknown(key, now)

    fun onReleaseOutcomeUnknown(
        ids: List<MachineId>,
        now: Instant,
    ) = fleet.onReleaseOutcomeUnknown(ids, now)

    /** The cloud confirmed the release: the machines and all tasks on them are gone. */
    fun onReleased(
        ids: List<MachineId>,
        now: Instant,
    ) {
        for (id in ids) {
            val machine = machines[id] ?: continue
            machine.release = ReleaseStage.GONE
            machine.up = false
            for (attempt in machine.attempts.values.toList()) handleLostAttempt(attempt, now)
            fleet.onReleased(id)
        }
    }

    // ---- attempts -----------------------------------------------------------------------------------------------

    private fun addAttempt(attempt: Attempt) {
        attempt.job.attach(attempt)
        attempt.machine.attach(attempt)
        quota.add(attempt.job)
    }

    private fun removeAttempt(
        attempt: Attempt,
        now: Instant,
    ) {
        if (attempt.machine.attempts[attempt.ref] !== attempt) return
        attempt.machine.detach(attempt, now)
        attempt.job.detach(attempt)
        if (attempt.job.isOpen && !attempt.job.pending.isEmpty) waitingJobs.add(attempt.job)
        quota.remove(attempt.job)
    }

    /** The attempt ended without finishing its task. A gang that loses a task is restarted once all its attempts are gone. */
    private fun handleLostAttempt(
        attempt: Attempt,
        now: Instant,
    ) {
        removeAttempt(attempt, now)
        val job = attempt.job
        if (!job.isGang || !job.isOpen || job.isComplete) return
        for (other in job.liveAttempts.values.toList()) if (other.neverSent) removeAttempt(other, now) else killAttempt(other, 0.0)
    }

    private fun killAttempt(
        attempt: Attempt,
        graceS: Double,
    ) {
        val currentGraceS = attempt.killGraceS
        if (currentGraceS != null && currentGraceS <= graceS) return
        attempt.killGraceS = graceS
        val endpoint = attempt.machine.endpoint ?: return
        if (!attempt.machine.up || attempt.neverSent) return
        effects.add(
            Effect.Kill(
                attempt.machine.id,
                endpoint,
                attempt.machine.position.session,
                listOf(Command.Kill(attempt.ref, attempt.step, graceS)),
            ),
        )
    }

    /**
     * Withdraws launches that wait for the next report of a machine that stopped reporting or takes no new tasks, for
     * instance because it is faulty. They were never sent, so no proof is needed that they are gone. Otherwise the tasks
     * would wait until the lease expires or, on a machine that still reports, forever.
     */
    private fun withdrawUnsentLaunches(now: Instant) {
        workCounter.count(machines.size)
        for (machine in machines.values) {
            if ((machine.schedulable && now - machine.lastReportAt <= reportTimeout) ||
                machine.attempts.values.none { it.phase == AttemptPhase.READY }
            ) {
                continue
            }
            for (attempt in machine.attempts.values.toList()) if (attempt.phase == AttemptPhase.READY) handleLostAttempt(attempt, now)
        }
    }

    /** Expires leases: a worker that received no answer for the lease's duration has killed all its tasks. */
    private fun expireLeases(now: Instant) {
        workCounter.count(machines.size)
        for (machine in machines.values) {
            if (!machine.up && machine.attempts.isEmpty()) continue
            val answered = maxOf(machine.lastAnsweredAt, unrecordedRenewalsUntil)
            var deadline = answered + leaseDuration
            val relaunch = startedAt + tunables.relaunchWait
            if (machine.lastAnsweredAt == Instant.DISTANT_PAST && relaunch > deadline) deadline = relaunch
            if (now <= deadline) continue
            log.info("machine {} stopped reporting: its lease expired with {} tasks on it", machine.id, machine.attempts.size)
            machine.up = false
            machine.confirmedTerm = false
            machine.expiredSession = machine.position.session
            machine.leaseExpiredAt = now
            machine.images.clear()
            for (attempt in machine.attempts.values.toList()) handleLostAttempt(attempt, now)
        }
    }

    // ---- scheduling rounds --------------------------------------------------------------------------------------

    /** Runs one scheduling round within the caller's time budget [hasTimeLeft]. Returns the effects for the caller to carry out. */
    fun runRound(
        now: Instant,
        hasTimeLeft: () -> Boolean,
    ): List<Effect> {
        expireLeases(now)
        withdrawUnsentLaunches(now)
        if (pendingBatch == null) composeBatch(now, hasTimeLeft)
        effects.addAll(fleet.takeEffects(now))
        val pendingEffects = mergeKills(effects)
        effects.clear()
        return pendingEffects
    }

    /** Merges the kills for each machine into one message; otherwise cancelling an array would open a connection per task. */
    private fun mergeKills(effects: List<Effect>): List<Effect> {
        val merged = effects.filterTo(ArrayList()) { it !is Effect.Kill }
        val kills = effects.filterIsInstance<Effect.Kill>().groupBy { Triple(it.machine, it.endpoint, it.session) }
        for ((target, parts) in kills) {
            for (chunk in parts.flatMap { it.kills }.chunked(MAX_COMMANDS_PER_MESSAGE)) {
                merged.add(Effect.Kill(target.first, target.second, target.third, chunk))
            }
        }
        return merged
    }

    private fun composeBatch(
        now: Instant,
        hasTimeLeft: () -> Boolean,
    ) {
        val maxChanges = minOf(rejectedWrites.batchLimit, writeBudget.available(now).toInt())
        if (maxChanges <= 0) return
        val batch = WriteBatch(maxChanges, settings.state.opsPerCommit)
        val fence = scope.keys.fence(term, nextFence)
        if (writeOutcomeUnknown) addFence(batch, fence)
        for (job in jobs.values) {
            if (batch.isFull()) break
            if (job.isComplete && !isPostponed(job, now)) addJobCompletion(batch, job, now)
        }
        // Fleet records name many machines each, so a share of the batch is enough; the rest is for the jobs that users wait for.
        addFleetWrites(batch, minOf(maxChanges, batch.changeCount + maxOf(1, maxChanges / FLEET_WRITE_DIVISOR)), now)
        addSplitPlacements(batch, now)
        if (!placementPaused) {
            quota.clearReservations()
            placeJobs(batch, now, hasTimeLeft)
            quota.clearReservations()
            fleet.plan(now, rankJobs(now), now.ms + wallClockOffsetMs)
        }
        for (job in jobs.values) {
            if (batch.isFull()) break
            val since = job.doneUnloggedSince ?: continue
            val isWritten = batch.hasCondition(Keys.job(job.ref)) || isPostponed(job, now)
            if (now - since >= COMPLETION_LOG_DELAY && !job.isComplete && !isWritten) {
                addStepRecord(batch, job, emptyList(), now)
            }
        }
        collectGarbage(batch, maxChanges, now)
        if (batch.isEmpty) return
        for (guard in scope.guards) batch.requireRevision(guard.key, guard.revision)
        batch.requireRevision(fence, Revision.ABSENT)
        // The claim written with a rental may take the batch beyond the available budget.
        writeBudget.tryTake(now, minOf(batch.changeCount.toDouble(), writeBudget.available(now)))
        pendingBatch = batch
        pendingBatchEvent = nextEvent()
        effects.add(Effect.Write(batch.toChange()))
    }

    private val rejectedWrites = RejectedWrites(settings.state.opsPerCommit)

    /** Whether the state service has lately rejected a record of [job]. */
    private fun isPostponed(
        job: Job,
        now: Instant,
    ) = rejectedWrites.isPostponed(Keys.job(job.ref), now)

    private var nextFence = 1L

    /** A write got no answer, so a copy of it may still be in flight. */
    private var writeOutcomeUnknown = false

    /**
     * The outcome of the pending write is unknown and the write will be repeated. Its first copy may be applied after newer
     * writes, and with a condition on the term alone it would put back entries that those removed.
     */
    fun onWriteOutcomeUnknown() {
        writeOutcomeUnknown = true
    }

    /** Adds a fence: once this batch is applied, all delayed copies of earlier writes fail. */
    private fun addFence(
        batch: WriteBatch,
        fence: String,
    ) {
        writeOutcomeUnknown = false
        batch.createUnconditionally(fence, emptyMap())
        batch.onApplied { nextFence++ }
        batch.onRefused { writeOutcomeUnknown = true }
    }

    private fun addJobCompletion(
        batch: WriteBatch,
        job: Job,
        now: Instant,
    ) {
        // A task that finished on a machine whose lease had expired may have been started again meanwhile. The next leader
        // must keep counting that attempt until it is gone, so the spec is kept. The tasks of a gang end together.
        val value =
            JobRecord(
                JobStage.DONE,
                job.spec.takeIf { !job.isGang && job.liveAttempts.isNotEmpty() },
                job.submittedAtMs,
                job.shard,
            ).toValue()
        batch.requireRevision(Keys.job(job.ref), job.revision)
        batch.put(Keys.job(job.ref), value)
        batch.onApplied { revision ->
            job.revision = revision
            if (job.isOpen) finish(job, JobStage.DONE, now)
        }
    }

    private fun addFleetWrites(
        batch: WriteBatch,
        maxChanges: Int,
        now: Instant,
    ) {
        for ((key, record) in fleet.releaseRecordsToWrite(settings.state.valueBytes - RECORD_MARGIN_BYTES)) {
            if (batch.isFull(maxChanges)) break
            batch.create(key, record.toValue())
            batch.onApplied {
                for (id in record.machines) machines[id]?.release = ReleaseStage.LOGGED
                fleet.onReleaseLogged(key, record)
            }
        }
        for ((key, record) in fleet.rentalRecordsToWrite()) {
            if (batch.isFull(maxChanges) || !batch.hasRoomFor(1 + claimChanges(key))) break
            if (rejectedWrites.isPostponed(key, now)) continue
            if (record.rented == null) batch.create(key, record.toValue()) else batch.put(key, record.toValue())
            claims?.recordRental(batch, key, record.rented)
            batch.onApplied { fleet.onRentalRecordWritten(key, record) }
        }
    }

    /** Changes for the claim of the rental at [rentalKey], which are made in the same transaction as those of the rental's record. */
    private fun claimChanges(rentalKey: String) = claims?.changeCount(rentalKey) ?: 0

    /** Places jobs in rank order, resuming after the last job that the previous round examined if it ran out of time. */
    private fun placeJobs(
        batch: WriteBatch,
        now: Instant,
        hasTimeLeft: () -> Boolean,
    ) {
        val ranking = rankJobs(now)
        val firstIndex = resumeAfterJob?.let { ref -> ranking.indexOfFirst { it.ref == ref } + 1 } ?: 0
        resumeAfterJob = null
        releaseReservations(now)
        waitingJobs.removeIf { it.pending.isEmpty || !it.isOpen || it.isComplete }
        workCounter.count(ranking.size)
        if (waitingJobs.isEmpty()) return
        val availableMachines = machines.values.filter { it.schedulable && now - it.lastReportAt <= reportTimeout }
        workCounter.count(machines.size)
        val machineIndex = MachineIndex(availableMachines, waitingJobs, workCounter)
        onDemandIsScarce = ranking.any { it.isGang && !it.spec.spot }
        for (i in firstIndex until ranking.size) {
            val job = ranking[i]
            if (batch.isFull()) return
            if (!hasTimeLeft()) {
                resumeAfterJob = ranking.getOrNull(i - 1)?.ref
                return
            }
            if (job !in waitingJobs || now < job.notBefore || isPostponed(job, now)) continue
            if (batch.hasCondition(Keys.job(job.ref))) continue
            val urgent = needsPreemption(job, now)
            var placements = emptyList<Placement>()
            if (urgent && fleet.fetchMissesStart(job.spec)) {
                // Fetching the image would make the job late: try machines that have it first, with preemption if necessary.
                placements = choosePlacements(job, machineIndex, now) { job.spec.image in it.images }
                if (placements.isEmpty() &&
                    preemptFor(job, machineIndex.preemptionCandidates(job, preemption).filter { job.spec.image in it.images }, now)
                ) {
                    continue
                }
            }
            if (placements.isEmpty()) placements = choosePlacements(job, machineIndex, now)
            if (placements.isEmpty()) {
                if (urgent) {
                    preemptFor(job, machineIndex.preemptionCandidates(job, preemption), now)
                } else if (mayPreemptForGuarantee(job, now)) {
                    preemptForGuarantee(job, machineIndex.preemptionCandidates(job, preemption), now)
                }
                if (mayReserve(job)) machineIndex.reserve(job)
                continue
            }
            addStepRecord(batch, job, placements, now)
        }
        placeOverflow(batch, ranking, machineIndex, now)
    }

    /**
     * Places tasks without accelerators on accelerator machines left idle in this round once the job has waited for a good
     * part of its class's objective, since these machines are paid for anyway. It does not delay their release: a machine
     * takes such tasks only for [OVERFLOW_WINDOW] after its last accelerator task. Enough idle machines are left free for
     * the next job that cannot wait for a boot: such a job cannot preempt work of its own priority, so it would have to wait
     * until overflow tasks end. Without this reserve, gangs waited for overflow tasks of their own priority.
     */
    private fun placeOverflow(
        batch: WriteBatch,
        ranking: List<Job>,
        machineIndex: MachineIndex,
        now: Instant,
    ) {
        val overdueJobs =
            ranking.filter { job ->
                job in waitingJobs && !job.isGang && !job.isSuspect && job.spec.need.accelerators <= 0 && now >= job.notBefore &&
                    ageS(job, now) >=
                    classObjectives.horizonS(job.spec.jobClass, ClassObjectives.estimatedRunS(job.spec)) * OVERFLOW_MIN_WAIT_SHARE
            }
        if (overdueJobs.isEmpty()) return
        val idle =
            machineIndex.unreservedWithAccelerators().filter { machine ->
                val lastWorkAt = machine.lastAcceleratorWorkAt
                machine.reservedFor == null && machine.attempts.values.none { it.job.spec.need.accelerators > 0 } &&
                    lastWorkAt != null && now - lastWorkAt < OVERFLOW_WINDOW
            }
        if (idle.isEmpty()) return
        // Spot machines are used first, so that the on-demand ones, which every job may use, are left free.
        val (empty, partlyUsed) = idle.partition { it.attempts.isEmpty() }
        val candidates = partlyUsed + empty.sortedBy { !it.spot }.dropLast(standbyMachineCount)
        for (job in overdueJobs) {
            if (batch.isFull()) return
            if (batch.hasCondition(Keys.job(job.ref)) || isPostponed(job, now)) continue
            val limit = minOf(job.pending.cardinality(), quota.taskHeadroom(job.spec), MAX_TASKS_PER_STEP)
            val placements =
                Placer.place(
                    job,
                    candidates.filter { PlacementConstraints.allowsMachine(job, it) },
                    limit,
                )
            if (placements.isNotEmpty()) addStepRecord(batch, job, placements, now)
        }
    }

    /** There are open gangs that may only use on-demand machines; other gangs avoid those where they can. */
    private var onDemandIsScarce = false

    /** Number of machines needed by the largest job seen so far that cannot wait for a machine to boot. */
    private var standbyMachineCount = 0

    private fun updateStandbyMachines(spec: JobSpec) {
        if (spec.need.accelerators > 0 && fleet.cannotWaitForBoot(spec)) {
            standbyMachineCount = maxOf(standbyMachineCount, fleet.minMachinesFor(spec))
        }
    }

    private fun recordUrgentArrival(
        spec: JobSpec,
        now: Instant,
    ) {
        if (fleet.cannotWaitForBoot(spec)) fleet.onUrgentJobArrived(spec, now)
    }

    /** Whether [job] has a deadline and can still meet one of its class's deadline objectives if its tasks keep running. */
    private fun canMeetDeadline(
        job: Job,
        now: Instant,
    ): Boolean = classObjectives.canMeetDeadline(job.spec, ageS(job, now), ClassObjectives.estimatedRunS(job.spec))

    private fun ageS(
        job: Job,
        now: Instant,
    ): Double = (now.ms + wallClockOffsetMs - job.submittedAtMs) / 1000.0

    /**
     * Whether [job] should preempt other tasks instead of waiting for a new machine: its class's start objective is shorter
     * than a boot, or it is a gang that has waited so long that a boot would make it late. When the cloud has no capacity, a
     * gang of whole machines would otherwise wait until the small tasks on each of them happen to end at the same time.
     */
    private fun needsPreemption(
        job: Job,
        now: Instant,
    ): Boolean {
        if (job.preemptedForAt != null || job.liveAttempts.isNotEmpty() || job.isSuspect) return false
        if (now - job.preemptionSearchedAt < PREEMPTION_SEARCH_INTERVAL) return false
        return fleet.cannotWaitForBoot(job.spec) || (job.isGang && fleet.bootMissesStart(job.spec, ageS(job, now)))
    }

    /** Whether machines are reserved for this gang, so that lower-ranked jobs do not take the ones it is about to get. */
    private fun mayReserve(job: Job): Boolean =
        job.isGang && job.liveAttempts.isEmpty() && !job.isSuspect && quota.taskHeadroom(job.spec) >= job.spec.tasks

    private fun releaseReservations(now: Instant) {
        for (machine in machines.values) {
            val job = machine.reservedFor ?: continue
            if (machine.schedulable && job.isOpen && (awaitsPreemptedCapacity(job, now) || awaitsGuaranteedCapacity(job, now))) continue
            machine.reservedFor = null
        }
        // Also if all machines reserved for the job are gone: while this time is set, no other capacity is freed or rented for the job.
        for (job in waitingJobs) if (!awaitsPreemptedCapacity(job, now)) job.preemptedForAt = null
    }

    private fun awaitsPreemptedCapacity(
        job: Job,
        now: Instant,
    ): Boolean {
        val since = job.preemptedForAt ?: return false
        return job.liveAttempts.isEmpty() && now - since < PREEMPTED_CAPACITY_RESERVATION
    }

    private fun awaitsGuaranteedCapacity(
        job: Job,
        now: Instant,
    ): Boolean = !job.pending.isEmpty && now - job.guaranteePreemptedAt < GUARANTEE_PREEMPTION_INTERVAL

    /** Stops the tasks that [Preemption] chose for [job] and reserves their machines for it; false if no capacity can be freed. */
    private fun preemptFor(
        job: Job,
        allowed: List<Machine>,
        now: Instant,
    ): Boolean {
        workCounter.count(allowed.size)
        job.preemptionSearchedAt = now
        val targets = preemption.plan(job, allowed, now)
        if (targets.isEmpty()) return false
        job.preemptedForAt = now
        for (target in targets) target.machine.reservedFor = job
        stopVictims(job, targets, now)
        return true
    }

    private fun stopAttempt(
        attempt: Attempt,
        now: Instant,
    ) {
        if (attempt.killGraceS != null) return
        attempt.job.preemptionCounts.addTo(attempt.task, 1)
        if (attempt.neverSent) {
            removeAttempt(attempt, now)
        } else {
            killAttempt(attempt, if (attempt.job.spec.checkpointS > 0) attempt.job.spec.saveS else 0.0)
        }
    }

    private fun stopVictims(
        job: Job,
        targets: List<PreemptionTarget>,
        now: Instant,
    ) {
        for (attempt in targets.flatMap { it.victims }) {
            // A partial gang cannot run, so the whole gang saves and stops together.
            val stopped =
                if (attempt.job.isGang) {
                    attempt.job.liveAttempts.values
                        .toList()
                } else {
                    listOf(attempt)
                }
            for (part in stopped) stopAttempt(part, now)
        }
        log.info(
            "preempted for job {}: {} lower-priority tasks stopped on machines {}",
            job.ref,
            targets.sumOf { it.victims.size },
            targets.map { it.machine.id },
        )
    }

    /**
     * Whether [job], an array covered by its team's guarantee, may preempt lower-priority tasks. Stopped tasks need a few
     * seconds to save and exit, so more are stopped only after [GUARANTEE_PREEMPTION_INTERVAL].
     */
    private fun mayPreemptForGuarantee(
        job: Job,
        now: Instant,
    ): Boolean =
        !job.isGang && !job.isSuspect && !job.spec.oneZone && !job.spec.spread && job in guaranteedJobs &&
            now - job.guaranteePreemptedAt >= GUARANTEE_PREEMPTION_INTERVAL

    private fun preemptForGuarantee(
        job: Job,
        allowed: List<Machine>,
        now: Instant,
    ) {
        workCounter.count(allowed.size)
        val wanted = minOf(job.pending.cardinality(), quota.taskHeadroom(job.spec))
        val targets = preemption.planForGuarantee(job.spec, wanted, allowed, now)
        if (targets.isEmpty()) return
        job.guaranteePreemptedAt = now
        for (target in targets) target.machine.reservedFor = job
        stopVictims(job, targets, now)
    }

    private fun choosePlacements(
        job: Job,
        machineIndex: MachineIndex,
        now: Instant,
        machineFilter: (Machine) -> Boolean = { true },
    ): List<Placement> {
        if (job.isGang && job.liveAttempts.isNotEmpty()) return emptyList()
        val pending = if (job.isGang) job.spec.tasks else job.pending.cardinality()
        var limit = minOf(pending, quota.taskHeadroom(job.spec), if (job.isGang) pending else MAX_TASKS_PER_STEP)
        if (job.isGang && limit < job.spec.tasks) limit = 0
        if (job.isSuspect && !job.isGang) limit = minOf(limit, 1 - job.liveAttempts.size)
        if (limit <= 0) {
            if (job.isGang && !job.isSuspect && ageS(job, now) >= QUOTA_RESERVATION_AFTER_S) quota.reserve(job.spec)
            updateWaitReason(job, "free quota of its team")
            return emptyList()
        }
        val useful = PlacementConstraints.preferredTypes(job.spec, types.values).mapTo(HashSet()) { it.name }
        val placements = Placer.place(job, machineIndex.machinesWithCapacity(job, useful, machineFilter), limit, preferenceOf(job))
        if (placements.isEmpty()) updateWaitReason(job, "a machine with enough free capacity")
        return placements
    }

    /**
     * While gangs that need on-demand machines are open, gangs that may use spot machines avoid the on-demand ones. Arrays
     * need no such preference, since they can be preempted.
     */
    private fun preferenceOf(job: Job) = PlacementPreference(onDemandIsScarce && job.isGang, longestFetchS(job) ?: Double.MAX_VALUE)

    /** The longest image fetch with which [job] still meets the start objectives of its class and its team's guarantee. */
    private fun longestFetchS(job: Job): Double? {
        val guaranteed = classObjectives.guaranteedStartS?.takeIf { job in guaranteedJobs }
        return listOfNotNull(classObjectives.startS(job.spec.jobClass), guaranteed).minOrNull()?.let { it - Fleet.START_OVERHEAD_S }
    }

    private fun updateWaitReason(
        job: Job,
        reason: String,
    ) {
        if (job.waitReason == reason) return
        job.waitReason = reason
        log.info("job {} is waiting for {}", job.ref, reason)
    }

    /** Adds the record of one step: the placements and the finished tasks not yet logged, as far as they fit into one record. */
    private fun addStepRecord(
        batch: WriteBatch,
        job: Job,
        placements: List<Placement>,
        now: Instant,
    ) {
        val assignments = assignTasks(job, placements)
        val bytes = assignments.sumOf { it.recordBytes }
        // A gang that does not fit into this transaction waits for the next one; a gang too large for one record is split.
        if (job.isGang && bytes in (batch.bytesLeft - RECORD_MARGIN_BYTES + 1)..recordBytes) return
        if (job.isGang && bytes > recordBytes) {
            startSplitPlacement(job, assignments)
            addSplitPlacements(batch, now)
            return
        }
        var bytesLeft = minOf(recordBytes, batch.bytesLeft - RECORD_MARGIN_BYTES)
        val fittingAssignments =
            assignments.takeWhile { assignment ->
                (assignment.recordBytes <= bytesLeft).also { fits -> if (fits) bytesLeft -= assignment.recordBytes }
            }
        val step = job.takeStep()
        val attempts = createAttempts(job, step, fittingAssignments)
        val done = TaskRanges.lowestFitting(job.doneUnlogged(), bytesLeft)
        val key = job.keys.log(job.ref, step)
        batch.requireRevision(Keys.job(job.ref), job.revision)
        batch.create(key, LogRecord(fittingAssignments.map { LogRecord.Assignment(it.machine.id, it.tasks) }, done).toValue())
        batch.onApplied {
            job.logSteps.add(step)
            if (!job.isOpen) gcQueue.addLast((now + tunables.logRetention) to key)
            job.doneLogged.or(done)
            job.doneUnloggedSince = if (job.doneUnlogged().isEmpty) null else now
            onPlacementLogged(job, step, attempts)
        }
        batch.onRefused { for (attempt in attempts) if (attempt.neverSent) removeAttempt(attempt, now) }
    }

    /**
     * Set while this shard is being handed off to another owner: nothing new is placed or rented. Logged placements are still
     * launched, so that the next owner does not find partly started gangs.
     */
    var placementPaused = false

    private val recordBytes = minOf(settings.state.valueBytes - RECORD_MARGIN_BYTES, WriteBatch.MAX_RECORD_BYTES)

    /** The tasks assigned to one machine. */
    private class MachineAssignment(
        val machine: Machine,
        val tasks: BitSet,
    ) {
        val recordBytes = machine.id.value.length + ASSIGNMENT_OVERHEAD_BYTES + TaskRanges.encodedSize(tasks)
    }

    /** Assigns the pending tasks of [job], lowest index first, to the chosen machines. */
    private fun assignTasks(
        job: Job,
        placements: List<Placement>,
    ): List<MachineAssignment> {
        var nextTask = job.pending.nextSetBit(0)
        return placements.map { placement ->
            val tasks = BitSet()
            var count = placement.count
            while (count > 0 && nextTask >= 0) {
                tasks.set(nextTask)
                nextTask = job.pending.nextSetBit(nextTask + 1)
                count--
            }
            MachineAssignment(placement.target, tasks)
        }
    }

    /** Creates the attempts of one step; from here on they hold resources and quota. */
    private fun createAttempts(
        job: Job,
        step: Step,
        assignments: List<MachineAssignment>,
    ): List<Attempt> {
        val attempts = ArrayList<Attempt>()
        for (assignment in assignments) {
            for (task in assignment.tasks.stream()) attempts.add(Attempt(job, task, step, assignment.machine, AttemptPhase.LOGGING))
        }
        for (attempt in attempts) addAttempt(attempt)
        if (attempts.isNotEmpty()) {
            job.waitReason = null
            job.preemptedForAt = null
        }
        return attempts
    }

    private fun onPlacementLogged(
        job: Job,
        step: Step,
        attempts: List<Attempt>,
    ) {
        for (attempt in attempts) if (attempt.phase == AttemptPhase.LOGGING) attempt.phase = AttemptPhase.READY
        if (attempts.isNotEmpty()) log.info("job {} step {}: {} tasks placed", job.ref, step, attempts.size)
    }

    /** Starts the placement of a gang that needs several records. Its attempts hold their resources while these are written. */
    private fun startSplitPlacement(
        job: Job,
        assignments: List<MachineAssignment>,
    ) {
        val step = job.takeStep()
        val parts = ArrayList<ArrayList<LogRecord.Assignment>>()
        var bytesLeft = 0
        for (assignment in assignments) {
            if (parts.isEmpty() || assignment.recordBytes > bytesLeft) {
                parts.add(ArrayList())
                bytesLeft = recordBytes
            }
            bytesLeft -= assignment.recordBytes
            parts.last().add(LogRecord.Assignment(assignment.machine.id, assignment.tasks))
        }
        val attempts = createAttempts(job, step, assignments)
        log.info("job {} step {}: placement takes {} records", job.ref, step, parts.size)
        splitPlacements.add(SplitPlacement(job, step, attempts, parts.map { LogRecord(it, BitSet()) }))
    }

    /** Adds records of split placements that did not fit into the last transaction; abandons placements that lost a task. */
    private fun addSplitPlacements(
        batch: WriteBatch,
        now: Instant,
    ) {
        val invalid = splitPlacements.filter { !it.isStillValid }
        splitPlacements.removeAll(invalid)
        for (placement in invalid) {
            for (key in placement.writtenPartKeys()) gcQueue.addLast((now + tunables.logRetention) to key)
            for (attempt in placement.attempts) if (attempt.neverSent) removeAttempt(attempt, now)
        }
        for (placement in splitPlacements) {
            if (placement.isStepRecordWritten || batch.hasCondition(Keys.job(placement.job.ref)) ||
                isPostponed(placement.job, now)
            ) {
                continue
            }
            placement.addTo(batch)
            if (placement.isStepRecordWritten) batch.onApplied { onSplitPlacementLogged(placement, now) }
        }
    }

    private fun onSplitPlacementLogged(
        placement: SplitPlacement,
        now: Instant,
    ) {
        val job = placement.job
        splitPlacements.remove(placement)
        job.logSteps.add(placement.step)
        job.logParts[placement.step] = placement.parts.size
        if (!job.isOpen) {
            gcQueue.addLast((now + tunables.logRetention) to job.keys.log(job.ref, placement.step))
            for (key in placement.writtenPartKeys()) gcQueue.addLast((now + tunables.logRetention) to key)
        }
        onPlacementLogged(job, placement.step, placement.attempts)
    }

    private fun collectGarbage(
        batch: WriteBatch,
        maxChanges: Int,
        now: Instant,
    ) {
        // Log records are removed only with write capacity that job intake and placement leave unused.
        if (!batch.isEmpty && writeBudget.available(now) < maxChanges + 1) return
        while (!batch.isFull()) {
            val (due, key) = gcQueue.firstOrNull() ?: break
            if (due > now) break
            gcQueue.removeFirst()
            batch.remove(key)
            batch.onRefused { gcQueue.addFirst(due to key) }
        }
        for (key in fleet.recordsToDelete(now)) {
            if (batch.isFull() || !batch.hasRoomFor(1 + claimChanges(key))) break
            batch.remove(key)
            if (fleet.wasRefused(key)) claims?.recordRefusal(batch, key)
            batch.onApplied { fleet.onRecordDeleted(key) }
        }
        for (key in claims?.expiredKeys(now) ?: emptyList()) {
            if (batch.isFull()) break
            batch.remove(key)
            batch.onApplied { claims?.onRemoved(key) }
        }
        while (closedJobs.isNotEmpty() && now - (closedJobs.first().finalAt ?: now) > tunables.logRetention &&
            closedJobs.first().liveAttempts.isEmpty()
        ) {
            closedJobRefs.remove(closedJobs.removeFirst().ref)
        }
    }

    /** A write is in flight and its outcome is not known yet. */
    val hasPendingWrite: Boolean get() = pendingBatch != null

    fun onWriteApplied(
        revision: Revision,
        now: Instant,
    ) {
        val finishedBatch = pendingBatch ?: return
        pendingBatch = null
        rejectedWrites.onApplied()
        confirmOpenJobs(finishedBatch)
        finishedBatch.notifyApplied(revision)
    }

    /** The conditions on the jobs' records held when [batch] was applied, so no job among them had been cancelled. */
    private fun confirmOpenJobs(batch: WriteBatch) {
        for (key in batch.conditionKeys) Keys.parseJobKey(key)?.let { jobs[it] }?.confirmOpen(pendingBatchEvent)
    }

    /**
     * The pending write was refused because the conditions on the [failed] keys did not hold. Returns false if this term is
     * over. A failed key that only this write can have created means that an earlier, unanswered copy of it was applied.
     */
    fun onWriteRefused(
        failed: List<String>,
        now: Instant,
    ): Boolean {
        val finishedBatch = pendingBatch ?: return true
        pendingBatch = null
        if (scope.guards.any { it.key in failed }) return false
        finishedBatch.notifyRefused(failed)
        return true
    }

    /** The state service has rejected the pending write as malformed or too large, so it must not be sent again unchanged. */
    fun onWriteRejected(now: Instant) {
        val rejectedBatch = pendingBatch ?: return
        pendingBatch = null
        val postponed = rejectedWrites.onRejected(rejectedBatch, now)
        if (postponed.isEmpty()) {
            log.warn("the state service rejects a transaction of {} changes; smaller ones are tried", rejectedBatch.changeCount)
        } else {
            log.error("the state service rejects the records {}; they are postponed", postponed)
        }
        rejectedBatch.notifyNotApplied()
    }

    /** When [cachedRanking] was computed. It expires because waiting changes the order. */
    private var rankingComputedAt = Instant.DISTANT_PAST

    /**
     * Orders open jobs: those covered by a guarantee first, then by priority, then by the latest start time that their class's
     * objective or their own deadline allows. Ordered by age alone, gangs that must start within seconds would wait for the
     * write rate behind every older array.
     *
     * A job that has waited for [STARVATION_WAIT] without any start precedes all others, together with the older jobs of its
     * class. Otherwise large jobs of low rank would never start during a long burst. The older jobs are included because
     * overtaking them would only make all of them late.
     */
    private fun rankJobs(now: Instant): List<Job> {
        cachedRanking?.let { if (now - rankingComputedAt < RANKING_INTERVAL) return it }
        val bySubmission = jobs.values.sortedWith(compareBy({ it.submittedAtMs }, { it.ref.value }))
        val guaranteed = quota.jobsWithinGuarantee(bySubmission.filterNot { it.isSuspect })
        guaranteedJobs = guaranteed
        val starvingSince = HashMap<String, Long>()
        for (job in bySubmission) {
            if (job.liveAttempts.isEmpty() && job.doneCount == 0 && !job.isSuspect &&
                now.ms + wallClockOffsetMs - job.submittedAtMs > STARVATION_WAIT.ms
            ) {
                starvingSince[job.spec.jobClass] = job.submittedAtMs
            }
        }
        val starving = bySubmission.filterTo(HashSet()) { it.submittedAtMs <= (starvingSince[it.spec.jobClass] ?: Long.MIN_VALUE) }
        val order =
            bySubmission.sortedWith(
                compareBy(
                    { if (it in starving) 0 else 1 },
                    { if (it in guaranteed) 0 else 1 },
                    { it.spec.urgency.ordinal },
                    { it.submittedAtMs + (fleet.startDueS(it.spec, ageS(it, now)) * 1000).toLong() },
                ),
            )
        cachedRanking = order
        rankingComputedAt = now
        return order
    }

    /** Attempts whose launch is not confirmed; a new owner of the shard would have to find out their outcome. */
    fun unconfirmedStarts(): UnconfirmedStarts {
        workCounter.count(jobs.size)
        var tasks = 0
        var partialGangs = 0
        for (job in jobs.values) {
            val unconfirmed = job.liveAttempts.values.count { it.killGraceS == null && (it.neverSent || it.phase == AttemptPhase.SENT) }
            tasks += unconfirmed
            if (job.isGang && unconfirmed in 1 until job.spec.tasks) partialGangs++
        }
        return UnconfirmedStarts(tasks, partialGangs)
    }

    /**
     * Whether jobs accepted for a shard are open or may still have tasks on machines. Under a single leader this is the case
     * only after sharding was disabled.
     */
    fun hasShardJobs(): Boolean =
        jobs.values.any { it.shard != null } || closedJobs.any { it.shard != null && it.liveAttempts.isNotEmpty() }

    fun knowsMachine(machine: MachineId): Boolean = machine in machines

    fun machineIds(): Set<MachineId> = machines.keys.toSet()

    /** Number of reporting machines and their tasks, as a measure of this scheduler's load. */
    fun load(): Int = machines.values.sumOf { if (it.up) 1 + it.attempts.size else 0 }

    /** Sets this scheduler's allotment of a team's limit and guarantee. */
    fun allot(allotment: Team) = quota.allot(allotment)

    /** What each team uses in this scheduler, and what it would use without its limit. */
    fun teamDemands(now: Instant): Map<String, TeamDemand> {
        val waiting = jobs.values.filter { it.isOpen && !it.pending.isEmpty && !it.isSuspect }.groupBy { it.spec.team }
        return settings.teams.associate { team -> team.name to teamDemand(team.name, waiting[team.name] ?: emptyList(), now) }
    }

    private fun teamDemand(
        team: String,
        waiting: List<Job>,
        now: Instant,
    ): TeamDemand {
        val used = quota.used(team)
        val requested = waiting.fold(used) { sum, job -> sum + job.spec.need * job.pending.cardinality() }
        val starvingGang =
            waiting
                .filter { it.isGang && it.liveAttempts.isEmpty() && ageS(it, now) >= FULL_ALLOTMENT_REQUEST_AFTER_S }
                .minByOrNull { it.submittedAtMs }
        val reserved = starvingGang?.let { amount(it.spec.schedulingUnit) } ?: TeamResources.NONE
        val oldestArray = waiting.filter { !it.isGang }.minByOrNull { it.submittedAtMs }
        return TeamDemand(
            used = amount(used),
            requested = amount(requested),
            reserved = reserved,
            reservedSinceMs = starvingGang?.submittedAtMs ?: 0,
            nextTask = oldestArray?.let { amount(it.spec.need) } ?: TeamResources.NONE,
            nextTaskSinceMs = oldestArray?.submittedAtMs ?: 0,
        )
    }

    private fun amount(resources: Resources) = TeamResources(resources.cores, resources.accelerators)

    /** Number of machines whose leases are running according to this scheduler. */
    fun reportingMachineCount(): Int = machines.values.count { it.up }

    // ---- status -------------------------------------------------------------------------------------------------

    fun jobCounts(ref: JobRef): JobCounts? {
        val job = jobs[ref] ?: return null
        val running = job.runningCount()
        return JobCounts(if (running > 0) JobStage.RUNNING else JobStage.QUEUED, job.doneCount, running)
    }

    private val waitTimes = ArrayList<Pair<String, Duration>>()

    /** Returns and clears the recorded times from a job's submission until a task of it was first seen running, by job class. */
    fun takeWaitTimes(): List<Pair<String, Duration>> = waitTimes.toList().also { waitTimes.clear() }

    fun queuedTasksByClass(): Map<String, Int> =
        jobs.values.groupBy { it.spec.jobClass }.mapValues { (_, jobs) -> jobs.sumOf { it.pending.cardinality() } }

    fun machinesByState(): Map<String, Int> =
        machines.values
            .groupingBy {
                when {
                    it.release == ReleaseStage.GONE -> "gone"
                    it.release != ReleaseStage.NONE -> "releasing"
                    it.up && it.answersLostSince != null -> "deaf"
                    it.up && it.attempts.isEmpty() -> "idle"
                    it.up -> "busy"
                    it.leaseExpiredAt != null -> "silent"
                    else -> "starting"
                }
            }.eachCount()

    companion object {
        /** A worker waits this long for an answer before it contacts another controller. */
        private val ANSWER_TIMEOUT = Duration(4_000)

        /** After every message that a machine can send: all reports of a released machine are late. */
        private val MAX_POSITION = ReportPosition(Long.MAX_VALUE, Long.MAX_VALUE)

        /** The time between two reports varies by up to a quarter of the interval. */
        private const val REPORT_INTERVAL_FACTOR = 1.25
        private const val REPORT_TIMEOUT_MARGIN_MS = 1_500L
        private const val ANSWER_RECEIPT_MARGIN_MS = 500L
        private const val MAX_COMMANDS_PER_MESSAGE = 400
        private const val MAX_WAIT_TIMES = 10_000
        private const val MAX_WAITING_JOBS_CHECKED = 200

        /** Far more machines than can be removed while duplicates of their reports may still be in flight. */
        private const val MAX_REMOVED_MACHINES = 10_000
        private const val MAX_TASKS_PER_STEP = 1_000
        private const val RECORD_MARGIN_BYTES = 64

        /** Quotes, brackets and commas around a machine's name and its tasks in a record. */
        private const val ASSIGNMENT_OVERHEAD_BYTES = 10
        private const val FLEET_WRITE_DIVISOR = 4
        private val RANKING_INTERVAL = Duration(2_000)

        /** Half of the time within which the largest jobs must start. */
        private val STARVATION_WAIT = Duration(120_000)
        private const val OVERFLOW_MIN_WAIT_SHARE = 0.4
        private val OVERFLOW_WINDOW = Duration(45_000)
        private val PREEMPTED_CAPACITY_RESERVATION = Duration(15_000)

        /** The search examines every machine that the job may use, so it does not run in each round. */
        private val PREEMPTION_SEARCH_INTERVAL = Duration(500)
        private val GUARANTEE_PREEMPTION_INTERVAL = Duration(5_000)

        /**
         * A gang that does not fit into its team's quota lets smaller jobs of the team go first for this long. After that the
         * quota is reserved for the gang until it fits, which leaves half of the four minutes within which the largest jobs must
         * start. If quota were reserved from the start, one gang that needs a third of a team's limit would block all small jobs
         * ranked after it.
         */
        private const val QUOTA_RESERVATION_AFTER_S = 120.0

        /** After waiting this long, a gang that other shards' allotments may be blocking requests an allotment for all its tasks. */
        private const val FULL_ALLOTMENT_REQUEST_AFTER_S = 15.0
        private const val FAULTY_MACHINE_FAILED_JOBS = 2

        /** A gang waits this many times longer than a worker does for images that are being fetched. */
        private const val MAX_GANG_REJOINS = 5
        private const val MACHINE_REMOVAL_DELAY_MS = 60_000L
        private val COMPLETION_LOG_DELAY = Duration(2_000)
    }
}
