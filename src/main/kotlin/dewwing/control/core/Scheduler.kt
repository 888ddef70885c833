package dewwing.control.core

import dewwing.control.core.fleet.Fleet
import dewwing.control.core.fleet.Machine
import dewwing.control.core.fleet.ReleaseStage
import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
import dewwing.control.core.intent.LogRecord
import dewwing.control.core.intent.RecordKeys
import dewwing.control.core.intent.ReleaseRecord
import dewwing.control.core.intent.RentalRecord
import dewwing.control.core.intent.SplitPlacement
import dewwing.control.core.intent.SplitPlacementReader
import dewwing.control.core.intent.TaskRanges
import dewwing.control.core.intent.WriteBatch
import dewwing.control.core.job.Attempt
import dewwing.control.core.job.AttemptPhase
import dewwing.control.core.job.ClassAims
import dewwing.control.core.job.Job
import dewwing.control.core.leadership.LeadershipTimes
import dewwing.control.core.placement.MachineIndex
import dewwing.control.core.placement.Placement
import dewwing.control.core.placement.PlacementPreference
import dewwing.control.core.placement.Placer
import dewwing.control.core.placement.Preemption
import dewwing.control.core.placement.PreemptionTarget
import dewwing.control.core.quota.Quota
import dewwing.control.core.sharing.ClaimBook
import dewwing.control.core.sharing.MachineClaim
import dewwing.control.core.sharing.SchedulerScope
import dewwing.control.core.sharing.TeamAmount
import dewwing.control.core.sharing.TeamDemand
import dewwing.control.core.sharing.Unsettled
import dewwing.protocol.Command
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
import dewwing.protocol.Position
import dewwing.protocol.Report
import dewwing.protocol.ReportedTask
import dewwing.protocol.Resources
import dewwing.protocol.Revision
import dewwing.protocol.Span
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
 * The leader's mind for one term: events in, effects out, no clock and no input or output of its own.
 *
 * One rule carries the rest: a task may be started only when no earlier start of it can be on a machine. An
 * [Attempt] exists from before its log record is written until it is *proven* gone, holds its place in the machine,
 * the team's limit and the zone rules all that time, and is launched at most once.
 */
class Scheduler(
    private val settings: CoreSettings,
    val term: Term,
    termRevision: Revision,
    private val startedAt: Instant,
    /** Time of day less steady time; used for the age of jobs only. */
    private val wallOffsetMs: Long,
    private val scope: SchedulerScope = SchedulerScope.single(termRevision),
) {
    private val log = LoggerFactory.getLogger("scheduler")
    private val tunables = settings.tunables
    private val jobs = LinkedHashMap<JobRef, Job>()
    private val closed = ArrayDeque<Job>()
    private val closedRefs = HashSet<JobRef>()

    /** Every open job with tasks that have no place; others may be among them until the next round. */
    private val waitingJobs = LinkedHashSet<Job>()

    /** What has been looked at; see [WorkCounter]. */
    val workCounter = WorkCounter()
    private val machines = LinkedHashMap<MachineId, Machine>()
    private val types = LinkedHashMap<String, MachineType>()
    private val quota = Quota(settings.teams)
    private val writes =
        TokenBucket(
            settings.state.writesPerS * tunables.writeShare,
            maxOf(1.0, settings.state.writesPerS * tunables.writeShare, settings.writeBurst),
        )
    private var orphanLogs = ArrayList<String>()
    private var splitReader = SplitPlacementReader()

    /** Placements of gangs whose records are not all written. */
    private val splitPlacements = ArrayList<SplitPlacement>()
    private val gcQueue = ArrayDeque<Pair<Instant, String>>()
    private var batch: WriteBatch? = null
    private val effects = ArrayList<Effect>()
    private val aims = ClassAims(settings.objectives)
    private val fleet = Fleet(settings, term, machines, types, quota, workCounter, aims, startedAt, scope.keys)
    private val claims = scope.shard?.let { ClaimBook() }
    private val preemption = Preemption(quota, fleet::fetchS, ::canMeetDeadline)

    /**
     * Answers that are in no book here may keep a worker's lease alive until then: those of older leaders, and our
     * own before the picture was rebuilt.
     */
    private var unrecordedRenewalsUntil = startedAt + tunables.outageBound
    private val leaseSpan = LeadershipTimes.leaseWithDrift(settings.workers.lease)

    /** A worker that has not reported for so long is not counted on for new work. */
    private val silenceSpan = settings.workers.report * REPORT_SPREAD + Span(SILENT_SLACK_MS)

    /**
     * A worker whose next message comes to us within this time has heard our last answer. One that has not turns to
     * another controller after 4 s and a second's pause, so with siblings its next message does not come here at all;
     * alone, it cannot come sooner than that. A fixed 4 s took half of all sound workers that report every 4 s for
     * deaf, and returned machines that had just come back from a cut.
     */
    private val hearsWithin =
        if (settings.hasSiblings) maxOf(ANSWER_WAIT, settings.workers.report * REPORT_SPREAD + Span(HEARING_SLACK_MS)) else ANSWER_WAIT

    private var ranked: List<Job>? = null

    /** Open jobs that their team's guarantee covers, as of the last ranking. */
    private var guaranteedJobs: Set<Job> = emptySet()
    private var resumeAfter: JobRef? = null

    // ---- rebuilding from the state service -------------------------------------------------------------------

    fun restoreJob(
        ref: JobRef,
        record: JobRecord,
        revision: Revision,
    ) {
        // Final jobs keep their description while tasks of theirs may be on machines: those count until proven gone.
        val spec = record.spec ?: return
        val job = Job(spec, revision, record.submittedAtMs, record.shard)
        if (record.isFinal) {
            job.final = record.stage
            job.finalAt = startedAt
        }
        jobs[ref] = job
        if (job.isOpen) waitingJobs.add(job)
        noteUrgent(spec)
    }

    /** Log records must come in the order of their keys: the last placement of a task is the one that counts. */
    fun restoreLog(
        key: String,
        record: LogRecord,
    ) {
        val name = RecordKeys.parseLogKey(key) ?: return
        val job = jobs[name.job]
        if (job == null) {
            orphanLogs.add(key)
            return
        }
        // Also for a part without its step's record: its key is taken.
        job.nextStep = maxOf(job.nextStep, name.step.value + 1)
        if (name.part != null) {
            splitReader.addPart(key, name, record)?.let { restorePlacement(job, name.step, it) }
            return
        }
        job.logSteps.add(name.step)
        if (record.partCount > 0) {
            job.logParts[name.step] = record.partCount
            splitReader.expectParts(name, record.partCount)
        }
        restorePlacement(job, name.step, record.assignments)
        restoreDone(job, record.done)
    }

    private fun restorePlacement(
        job: Job,
        step: Step,
        placements: List<LogRecord.Assignment>,
    ) {
        for (placed in placements) {
            val machine = machines.getOrPut(placed.machine) { Machine(placed.machine, startedAt) }
            var task = placed.tasks.nextSetBit(0)
            while (task in 0 until job.spec.tasks) {
                job.live.get(task)?.let { drop(it, startedAt) }
                if (!job.done[task]) attach(Attempt(job, task, step, machine, AttemptPhase.INHERITED))
                task = placed.tasks.nextSetBit(task + 1)
            }
        }
    }

    private fun restoreDone(
        job: Job,
        done: BitSet,
    ) {
        var task = done.nextSetBit(0)
        while (task >= 0) {
            job.live
                .get(task)
                ?.takeIf { !job.isGang }
                ?.let { drop(it, startedAt) }
            task = done.nextSetBit(task + 1)
        }
        job.restoreDone(done)
    }

    fun restoreRent(
        key: String,
        record: RentalRecord,
        now: Instant,
    ) = fleet.restoreRent(key, record, now)

    fun restoreRelease(
        key: String,
        record: ReleaseRecord,
    ) {
        for (id in record.machines) machines.getOrPut(id) { Machine(id, startedAt) }.release = ReleaseStage.LOGGED
        fleet.releaseLogged(key, record)
    }

    /** Machines that a rental brought to this shard. */
    fun restoreClaim(
        key: String,
        claim: MachineClaim,
    ) {
        claims?.restore(key, claim)
        for (id in claim.machines ?: return) machines.getOrPut(id) { Machine(id, startedAt) }
    }

    /** Fences of earlier terms guard nothing any more: their changes fail on the term. */
    fun restoreFence(key: String) {
        if (RecordKeys.parseFenceTerm(key)?.let { it < term } == true) gcQueue.addFirst(startedAt to key)
    }

    fun restored(now: Instant) {
        // Reports are answered while the picture is rebuilt. With a slow state service that takes longer than older
        // leaders' answers count, and a worker answered last thing before would have been given up too early.
        unrecordedRenewalsUntil = maxOf(unrecordedRenewalsUntil, now)
        for (key in orphanLogs + splitReader.orphanKeys) gcQueue.addLast((now + tunables.logLife) to key)
        for (step in splitReader.incompleteSteps()) log.error("step {} of {} lacks a part of its placement", step.step, step.job)
        orphanLogs = ArrayList()
        splitReader = SplitPlacementReader()
        for (job in jobs.values.filter { !it.isOpen }) {
            for (a in job.live.values) kill(a, 0.0)
            close(job, now)
        }
        val inherited = machines.values.sumOf { it.attempts.size }
        log.info("term {}: rebuilt {} open jobs, {} possible tasks", term, jobs.size, inherited)
    }

    // ---- events ----------------------------------------------------------------------------------------------

    fun onTypes(list: List<MachineType>) {
        types.clear()
        for (t in list) types[t.name] = t
        for (m in machines.values) m.type?.let { m.type = types[it.name] ?: it }
    }

    /** A job's key changed; our own changes come by here too. */
    fun onJobEntry(
        ref: JobRef,
        record: JobRecord,
        revision: Revision,
        now: Instant,
    ) {
        val job = jobs[ref]
        if (job == null) {
            val spec = record.spec ?: return
            if (record.isFinal || ref in closedRefs) return
            val new = Job(spec, revision, record.submittedAtMs, record.shard)
            jobs[ref] = new
            waitingJobs.add(new)
            noteUrgent(spec)
            noteArrival(spec, now)
            ranked = null
            log.info("job {} accepted: class {}, {} tasks, team {}", ref, spec.jobClass, spec.tasks, spec.team)
            return
        }
        if (revision < job.revision) return
        job.revision = revision
        if (record.isFinal && job.isOpen) finish(job, record.stage, now)
    }

    /** Known from another way than the job's watch, which may hang or be refused while users are told elsewhere. */
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
        job.final = stage
        job.finalAt = now
        log.info("job {} {}", job.ref, if (stage == JobStage.DONE) "done" else "cancelled")
        for (attempt in job.live.values.toList()) {
            if (attempt.neverSent) drop(attempt, now) else kill(attempt, 0.0)
        }
        close(job, now)
    }

    private fun close(
        job: Job,
        now: Instant,
    ) {
        jobs.remove(job.ref)
        waitingJobs.remove(job)
        closed.addLast(job)
        closedRefs.add(job.ref)
        ranked = null
        for (key in logKeys(job)) gcQueue.addLast((now + tunables.logLife) to key)
    }

    /** The step's record goes before its parts: without it they mean nothing. */
    private fun logKeys(job: Job): List<String> =
        job.logSteps.flatMap { step ->
            val parts = 0 until (job.logParts[step] ?: 0)
            listOf(job.keys.log(job.ref, step)) + parts.map { job.keys.logPart(job.ref, step, it) }
        }

    /**
     * A worker's report. Its answer is [commands], which may be asked for a little later, once what the report made
     * possible is decided and logged: a launch that has to wait for the next report leaves the machine idle till then.
     */
    fun onReport(
        report: Report,
        now: Instant,
    ) {
        val known = machines[report.machine]
        // A late copy says nothing new, and its sender dropped the answer long ago. It must touch nothing: not the
        // lease in our books, not what the newest report is still to be told, not a machine given up or returned.
        if (known == null && forgotten[report.machine]?.let { report.position <= it } == true) return
        if (known != null && (known.release == ReleaseStage.GONE || report.position <= known.position)) return
        if (known != null && report.position.session <= known.lapsedSession) return
        pendingCommands.remove(report.machine)
        val m =
            known ?: Machine(report.machine, now).also {
                machines[it.id] = it
                log.info("machine {} adopted: {} in {}", report.machine, report.type, report.zone)
            }
        judgeHearing(m, report, now)
        m.describe(types[report.type], report.zone, report.spot)
        if (!m.up) {
            m.idleSince = now
            m.lastProper = now
            fleet.cameUp(m)
        }
        val sameSession = report.position.session == m.position.session
        m.position = report.position
        m.endpoint = Endpoint.parse(report.endpoint)
        m.lastAnswered = now
        m.heardAt = now
        m.up = true
        if (!sameSession) m.images.clear()
        // A report that carries our term was sent after the worker learned it: older leaders' answers are void now.
        // A new machine of our own is as good from its first report on: it has heard of no leader, and no older one could
        // act any more when it was rented. Waiting for its second report left it idle for a report's interval.
        m.settled = report.term >= term || (m.rentedInTerm && m.lapsedAt == null && report.term == Term.NONE)
        m.noticeAt = report.noticeS?.let { now + Span.ofSeconds(it) }
        val commands = ArrayList<Command>()
        readTasks(m, report, now, commands)
        if (m.noticeAt != null) drain(m, now)
        pendingCommands[m.id] = commands
    }

    /**
     * Newest message of every machine that was dropped from the books. A copy of one of its reports may still come
     * when the machine is long gone: adopting it again would put work on a ghost.
     */
    private val forgotten =
        object : LinkedHashMap<MachineId, Position>() {
            override fun removeEldestEntry(eldest: Map.Entry<MachineId, Position>) = size > MAX_FORGOTTEN
        }

    /**
     * Tells machines whose reports arrive while our answers do not reach them. One whose answers arrive comes back
     * with the very next message of its stream within the time it waits for an answer; one whose session ends though
     * we answered in time, or that never shows a launch, has not heard us.
     */
    private fun judgeHearing(
        m: Machine,
        report: Report,
        now: Instant,
    ) {
        if (!m.up) {
            // Back after a lapse: it shows first that answers reach it, which takes one report.
            if (m.lapsedAt != null) m.deafSince = now
            return
        }
        val next = report.position.session == m.position.session && report.position.seq == m.position.seq + 1
        if (next && now - m.heardAt < hearsWithin) {
            if (m.deafSince != null) log.info("machine {} hears us again", m.id)
            m.deafSince = null
        } else if (report.position.session > m.position.session) {
            deaf(m, now, "its lease ran out though it was answered")
        }
    }

    private fun deaf(
        m: Machine,
        now: Instant,
        sign: String,
    ) {
        if (m.deafSince != null) return
        log.info("machine {} does not hear us: {}", m.id, sign)
        m.deafSince = now
        for (a in m.attempts.values.toList()) if (a.phase == AttemptPhase.READY) lost(a, now)
    }

    /** Reaps and strays found by a machine's newest report, until its answer takes them. */
    private val pendingCommands = HashMap<MachineId, ArrayList<Command>>()

    /** Whether the answer to this machine's report may soon hold a launch that it cannot hold yet. */
    fun worthWaiting(machine: MachineId): Boolean {
        val m = machines[machine] ?: return false
        if (!m.accepts) return false
        if (m.attempts.values.any { it.phase == AttemptPhase.LOGGING }) return true
        if (m.attempts.values.any { it.phase == AttemptPhase.READY }) return false
        workCounter.look(minOf(waitingJobs.size, MAX_WAITING_LOOKS))
        return waitingJobs
            .asSequence()
            .take(MAX_WAITING_LOOKS)
            .any { !it.pending.isEmpty && m.free.holds(it.spec.need) && Placer.machineAllowed(it.spec, m) }
    }

    /** The answer to [report]; nothing if a newer one of its sender has come since, or it was late itself. */
    fun commands(
        report: Report,
        now: Instant,
        mayStart: Boolean,
    ): List<Command> {
        val m = machines[report.machine] ?: return emptyList()
        if (m.position != report.position) return emptyList()
        val commands = pendingCommands.remove(m.id) ?: return emptyList()
        for (a in m.attempts.values) {
            val grace = a.killGraceS ?: continue
            if (!a.neverSent && commands.size < MAX_COMMANDS) {
                commands.add(Command.Kill(a.ref, a.number, grace))
            }
        }
        if (mayStart && m.accepts) launch(m, report, now, commands)
        return commands
    }

    private fun readTasks(
        m: Machine,
        report: Report,
        now: Instant,
        commands: MutableList<Command>,
    ) {
        val listed = HashSet<Pair<Any, Step>>(report.tasks.size * 2)
        workCounter.look(report.tasks.size + m.attempts.size)
        for (t in report.tasks) {
            listed.add(t.task to t.attempt)
            val known = m.attempts[t.task]?.takeIf { it.number == t.attempt }
            if (t.stage == TaskStage.ENDED) ended(m, t, known, now, commands) else present(m, t, known, now, commands)
        }
        for (a in m.attempts.values.toList()) {
            if ((a.ref to a.number) in listed) continue
            val gone =
                when (a.phase) {
                    AttemptPhase.LOGGING, AttemptPhase.READY -> false

                    // Only a report made after the one whose answer carried the launch can miss it for good.
                    AttemptPhase.SENT -> a.sentIn?.let { it < report.position } ?: true

                    AttemptPhase.SEEN -> true

                    AttemptPhase.INHERITED -> m.settled
                }
            if (gone) {
                log.debug("task {} try {} is not on {} any more", a.ref, a.number, m.id)
                val unheard = a.phase == AttemptPhase.SENT && a.killGraceS == null
                lost(a, now)
                if (unheard) deaf(m, now, "a launch never took effect")
            }
        }
    }

    private fun present(
        m: Machine,
        t: ReportedTask,
        known: Attempt?,
        now: Instant,
        commands: MutableList<Command>,
    ) {
        val job = jobs[t.task.job]
        var a = known
        if (a == null) {
            if (job != null && !job.isGang && t.task.index < job.spec.tasks && job.pending[t.task.index] &&
                m.attempts[t.task] == null
            ) {
                // It is there, whatever our records say: take it as the task's one start.
                a = Attempt(job, t.task.index, t.attempt, m, AttemptPhase.SEEN)
                job.nextStep = maxOf(job.nextStep, t.attempt.value + 1)
                attach(a)
            } else {
                commands.add(Command.Kill(t.task, t.attempt, 0.0))
                return
            }
        }
        a.phase = AttemptPhase.SEEN
        a.stage = t.stage
        if (t.stage != TaskStage.FETCHING) m.sawImage(a.job.spec.image)
        if (t.stage == TaskStage.RUNNING && a.runningSince == null) {
            a.runningSince = now
            if (waits.size < MAX_WAITS) {
                waits.add(a.job.spec.jobClass to Span(now.ms + wallOffsetMs - a.job.submittedAtMs))
            }
        }
    }

    private fun ended(
        m: Machine,
        t: ReportedTask,
        known: Attempt?,
        now: Instant,
        commands: MutableList<Command>,
    ) {
        val job = jobs[t.task.job]
        val index = t.task.index
        if (t.cause == EndCause.DONE && job != null && index < job.spec.tasks) {
            if (job.isGang) for (i in 0 until job.spec.tasks) job.markDone(i, now) else job.markDone(index, now)
        }
        if (known != null) {
            when (t.cause) {
                EndCause.DONE -> {
                    drop(known, now)
                }

                EndCause.ERROR -> {
                    log.info("task {} failed on {}", known.ref, m.id)
                    blame(m, known.job, now)
                    lost(known, now)
                }

                EndCause.NO_ROOM, EndCause.IN_USE, EndCause.UNKNOWN_JOB, EndCause.INCOMPLETE -> {
                    log.info("task {} refused by {}: {}", known.ref, m.id, t.cause)
                    known.job.failed(now)
                    lost(known, now)
                }

                else -> {
                    lost(known, now)
                }
            }
        }
        // What finished stays on the worker until its result is written: only then may it be forgotten.
        val unwritten = t.cause == EndCause.DONE && job != null && index < job.spec.tasks && !job.doneLogged[index]
        if (!unwritten && commands.size < MAX_COMMANDS) commands.add(Command.Reap(t.task, t.attempt))
    }

    private fun launch(
        m: Machine,
        report: Report,
        now: Instant,
        commands: MutableList<Command>,
    ) {
        for (a in m.attempts.values.toList()) {
            if (a.phase != AttemptPhase.READY) continue
            if (!a.job.isOpen || a.killGraceS != null) {
                drop(a, now)
                continue
            }
            if (commands.size >= MAX_COMMANDS) return
            a.phase = AttemptPhase.SENT
            a.sentIn = report.position
            commands.add(Command.Launch(a.ref, a.number))
        }
    }

    /** Errors of many jobs mark the machine, errors on many machines mark the job. */
    private fun blame(
        m: Machine,
        job: Job,
        now: Instant,
    ) {
        job.failed(now)
        job.failedOn(m.id.value)
        if (job.isSuspect) {
            acquit(job)
        } else if (job.machinesFailed <= Job.SOUND_JOB_MACHINES) {
            m.failedJobs.add(job.ref.value)
        }
        if (m.failedJobs.size >= FAULTY_AFTER_JOBS && !m.faulty) {
            log.info("machine {} is taken for faulty: {} jobs failed on it", m.id, m.failedJobs.size)
            m.faulty = true
        }
    }

    /** The machines were blamed for what is the job's own fault; two such jobs would condemn every machine both met. */
    private fun acquit(job: Job) {
        for (m in machines.values) {
            if (!m.failedJobs.remove(job.ref.value) || !m.faulty || m.failedJobs.size >= FAULTY_AFTER_JOBS) continue
            log.info("machine {} is not taken for faulty any more: job {} fails everywhere", m.id, job.ref)
            m.faulty = false
        }
    }

    /** The cloud takes the machine back: what can save does so now, the rest runs on as long as it can. */
    private fun drain(
        m: Machine,
        now: Instant,
    ) {
        val left = (m.noticeAt ?: return) - now
        for (a in m.attempts.values.toList()) {
            if (a.neverSent) {
                drop(a, now)
                continue
            }
            val spec = a.job.spec
            if (spec.checkpointS > 0 && a.killGraceS == null && a.stage == TaskStage.RUNNING) {
                kill(a, minOf(maxOf(spec.saveS, left.seconds - 1.0), maxOf(spec.saveS, left.seconds)))
            }
        }
    }

    fun onList(
        list: List<ListedMachine>,
        now: Instant,
    ) {
        fleet.listed = true
        for (l in list) {
            val m =
                machines.getOrPut(l.id) {
                    Machine(l.id, now).also { it.rentedAt = Instant(now.ms - (l.ageS * 1000).toLong()) }
                }
            m.describe(types[l.type], l.zone, l.spot)
            m.lastListed = now
            m.listedFailed = l.stage == ListedStage.FAILED
        }
        for (m in machines.values.toList()) {
            val stale = now - (m.lastListed ?: m.knownSince) > Span(settings.cloud.listLag.ms * 3 + FORGET_MS)
            if (stale && !m.up && m.attempts.isEmpty() && m.release != ReleaseStage.LOGGED) {
                machines.remove(m.id)
                claims?.machineGone(m.id, now)
                forgotten[m.id] =
                    if (m.release == ReleaseStage.GONE) LAST_POSITION else maxOf(m.position, Position(m.lapsedSession, Long.MAX_VALUE))
            }
        }
    }

    /** [rented] is null when there was no capacity; no call at all when the outcome is unknown. */
    fun onRented(
        key: String,
        rented: List<MachineId>?,
        now: Instant,
    ) = fleet.onRented(key, rented, now)

    fun onRentUnknown(
        key: String,
        now: Instant,
    ) = fleet.onRentUnknown(key, now)

    fun onReleaseUnknown(
        ids: List<MachineId>,
        now: Instant,
    ) = fleet.onReleaseUnknown(ids, now)

    /** The cloud confirmed: the machines and everything on them are gone. */
    fun onReleased(
        ids: List<MachineId>,
        now: Instant,
    ) {
        for (id in ids) {
            val m = machines[id] ?: continue
            m.release = ReleaseStage.GONE
            m.up = false
            for (a in m.attempts.values.toList()) lost(a, now)
            fleet.released(id)
        }
    }

    // ---- attempts --------------------------------------------------------------------------------------------

    private fun attach(a: Attempt) {
        a.job.attach(a)
        a.machine.attach(a)
        quota.add(a.job)
    }

    private fun drop(
        a: Attempt,
        now: Instant,
    ) {
        if (a.machine.attempts[a.ref] !== a) return
        a.machine.detach(a, now)
        a.job.detach(a)
        if (a.job.isOpen && !a.job.pending.isEmpty) waitingJobs.add(a.job)
        quota.remove(a.job)
    }

    /** Gone without having finished. A gang that lost one is started anew once all of it is gone. */
    private fun lost(
        a: Attempt,
        now: Instant,
    ) {
        drop(a, now)
        val job = a.job
        if (!job.isGang || !job.isOpen || job.isComplete) return
        for (other in job.live.values.toList()) if (other.neverSent) drop(other, now) else kill(other, 0.0)
    }

    private fun kill(
        a: Attempt,
        graceS: Double,
    ) {
        val before = a.killGraceS
        if (before != null && before <= graceS) return
        a.killGraceS = graceS
        val endpoint = a.machine.endpoint ?: return
        if (!a.machine.up || a.neverSent) return
        effects.add(
            Effect.Kill(a.machine.id, endpoint, a.machine.position.session, listOf(Command.Kill(a.ref, a.number, graceS))),
        )
    }

    /**
     * What was to be launched by the next report of a machine goes elsewhere once that machine has fallen silent or
     * takes nothing new, for instance since it was found faulty: it was never sent, so it needs no proof. Left there it
     * would wait for the lease to lapse or, on a machine that goes on reporting, for ever.
     */
    private fun takeBackUnsent(now: Instant) {
        workCounter.look(machines.size)
        for (m in machines.values) {
            if ((m.accepts && now - m.heardAt <= silenceSpan) || m.attempts.values.none { it.phase == AttemptPhase.READY }) continue
            for (a in m.attempts.values.toList()) if (a.phase == AttemptPhase.READY) lost(a, now)
        }
    }

    /** Lets leases run out: without an answer from us since then, the worker has killed everything it had. */
    private fun lapse(now: Instant) {
        workCounter.look(machines.size)
        for (m in machines.values) {
            if (!m.up && m.attempts.isEmpty()) continue
            val answered = maxOf(m.lastAnswered, unrecordedRenewalsUntil)
            var deadline = answered + leaseSpan
            val relaunch = startedAt + tunables.relaunchWait
            if (m.lastAnswered == Instant.NEVER && relaunch > deadline) deadline = relaunch
            if (now <= deadline) continue
            log.info("machine {} is silent: its lease has run out with {} tasks", m.id, m.attempts.size)
            m.up = false
            m.settled = false
            m.lapsedSession = m.position.session
            m.lapsedAt = now
            m.images.clear()
            for (a in m.attempts.values.toList()) lost(a, now)
        }
    }

    // ---- rounds ----------------------------------------------------------------------------------------------

    /** One decision round; [mayGoOn] is the caller's time budget. Returns what is to be done outside. */
    fun round(
        now: Instant,
        mayGoOn: () -> Boolean,
    ): List<Effect> {
        lapse(now)
        takeBackUnsent(now)
        if (batch == null) compose(now, mayGoOn)
        effects.addAll(fleet.takeEffects(now))
        val out = joined(effects)
        effects.clear()
        return out
    }

    /** Kills of one machine go in one message: a cancelled array would open a connection for each of its tasks. */
    private fun joined(effects: List<Effect>): List<Effect> {
        val out = effects.filterTo(ArrayList()) { it !is Effect.Kill }
        val kills = effects.filterIsInstance<Effect.Kill>().groupBy { Triple(it.machine, it.endpoint, it.session) }
        for ((to, parts) in kills) {
            for (some in parts.flatMap { it.kills }.chunked(MAX_COMMANDS)) out.add(Effect.Kill(to.first, to.second, to.third, some))
        }
        return out
    }

    private fun compose(
        now: Instant,
        mayGoOn: () -> Boolean,
    ) {
        val room = minOf(settings.state.opsPerCommit, writes.available(now).toInt())
        if (room <= 0) return
        val batch = WriteBatch(room)
        val fence = scope.keys.fence(term, nextFence)
        if (uncertain) raiseFence(batch, fence)
        for (job in jobs.values) {
            if (batch.isFull()) break
            if (job.isComplete) closeDone(batch, job, now)
        }
        // A share for the fleet, whose records name many machines each; the rest for what people wait for.
        addFleetWrites(batch, minOf(room, batch.changeCount + maxOf(1, room / FLEET_SHARE)), now)
        addSplitPlacements(batch, now)
        if (!startsPaused) {
            quota.clearHolds()
            placeAll(batch, now, mayGoOn)
            quota.clearHolds()
            fleet.plan(now, ranking(now), now.ms + wallOffsetMs)
        }
        for (job in jobs.values) {
            if (batch.isFull()) break
            val since = job.unloggedSince ?: continue
            if (now - since >= DONE_LOG_DELAY && !job.isComplete && !batch.hasCondition(Keys.job(job.ref))) {
                logStep(batch, job, emptyList(), now)
            }
        }
        collectGarbage(batch, room, now)
        if (batch.isEmpty) return
        for (guard in scope.guards) batch.requireRevision(guard.key, guard.revision)
        batch.requireRevision(fence, Revision.ABSENT)
        // A rental's claim comes on top of what there was room for.
        writes.tryTake(now, minOf(batch.changeCount.toDouble(), writes.available(now)))
        this.batch = batch
        effects.add(Effect.Write(batch.toChange()))
    }

    private var nextFence = 1L

    /** A change went without an answer before it was certain: a copy of it may still be under way. */
    private var uncertain = false

    /**
     * The outcome of the change being written is not known and it will be repeated. Its first copy may be carried out
     * after newer changes, and a condition on the term alone would let it put back what those removed.
     */
    fun onUncertain() {
        uncertain = true
    }

    /** From when this change is carried out, every copy of an earlier one fails. */
    private fun raiseFence(
        batch: WriteBatch,
        fence: String,
    ) {
        uncertain = false
        batch.createUnconditionally(fence, emptyMap())
        batch.onApplied { nextFence++ }
        batch.onRefused { uncertain = true }
    }

    private fun closeDone(
        batch: WriteBatch,
        job: Job,
        now: Instant,
    ) {
        // A task that ended on a machine long unheard may have been started anew meanwhile: a successor must go on
        // counting that start until it is gone. A gang's tasks end together.
        val value =
            JobRecord(
                JobStage.DONE,
                job.spec.takeIf { !job.isGang && job.live.isNotEmpty() },
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
        room: Int,
        now: Instant,
    ) {
        for ((key, record) in fleet.releaseWrites(settings.state.valueBytes - RECORD_SLACK)) {
            if (batch.isFull(room)) break
            batch.create(key, record.toValue())
            batch.onApplied {
                for (id in record.machines) machines[id]?.release = ReleaseStage.LOGGED
                fleet.releaseLogged(key, record)
            }
        }
        for ((key, record) in fleet.rentWrites()) {
            if (batch.isFull(room)) break
            if (record.rented == null) batch.create(key, record.toValue()) else batch.put(key, record.toValue())
            claims?.addTo(batch, key, record.rented)
            batch.onApplied { fleet.rentWritten(key, record) }
        }
    }

    /** Places jobs in rank order, going on after the job where the last round's budget ended. */
    private fun placeAll(
        batch: WriteBatch,
        now: Instant,
        mayGoOn: () -> Boolean,
    ) {
        val order = ranking(now)
        val from = resumeAfter?.let { ref -> order.indexOfFirst { it.ref == ref } + 1 } ?: 0
        resumeAfter = null
        releaseKept(now)
        waitingJobs.removeIf { it.pending.isEmpty || !it.isOpen || it.isComplete }
        workCounter.look(order.size)
        if (waitingJobs.isEmpty()) return
        val takers = machines.values.filter { it.accepts && now - it.heardAt <= silenceSpan }
        workCounter.look(machines.size)
        val machineIndex = MachineIndex(takers, waitingJobs, workCounter)
        ordinaryIsScarce = order.any { it.isGang && !it.spec.spot }
        for (i in from until order.size) {
            val job = order[i]
            if (batch.isFull()) return
            if (!mayGoOn()) {
                resumeAfter = order.getOrNull(i - 1)?.ref
                return
            }
            if (job !in waitingJobs || now < job.notBefore) continue
            if (batch.hasCondition(Keys.job(job.ref))) continue
            val urgent = needsRoomNow(job, now)
            var placements = emptyList<Placement>()
            if (urgent && fleet.fetchMissesStart(job.spec)) {
                // Fetching its image alone would make it late: machines that have it come first, made free if need be.
                placements = choose(job, machineIndex, now) { job.spec.image in it.images }
                if (placements.isEmpty() &&
                    makeRoom(job, machineIndex.preemptionCandidates(job, preemption).filter { job.spec.image in it.images }, now)
                ) {
                    continue
                }
            }
            if (placements.isEmpty()) placements = choose(job, machineIndex, now)
            if (placements.isEmpty()) {
                if (urgent) {
                    makeRoom(job, machineIndex.preemptionCandidates(job, preemption), now)
                } else if (wantsGuaranteedRoom(job, now)) {
                    makeGuaranteedRoom(job, machineIndex.preemptionCandidates(job, preemption), now)
                }
                if (mayReserve(job)) machineIndex.reserve(job)
                continue
            }
            logStep(batch, job, placements, now)
        }
        placeOverflow(batch, order, machineIndex, now)
    }

    /**
     * Plain work that has waited for a good part of what its class allows may use accelerator machines that nobody
     * else wanted this round: they are paid for. It does not keep them from being returned, since a machine takes it
     * only for a while after its last proper task. Enough idle ones for the next jobs that cannot wait for a boot are
     * left alone: such a job cannot stop work of its own priority, so that on the rough day of kestrel-crashdesk-grown
     * gangs waited for the overflow to end.
     */
    private fun placeOverflow(
        batch: WriteBatch,
        order: List<Job>,
        machineIndex: MachineIndex,
        now: Instant,
    ) {
        val late =
            order.filter { job ->
                job in waitingJobs && !job.isGang && !job.isSuspect && job.spec.need.accelerators <= 0 && now >= job.notBefore &&
                    ageS(job, now) >=
                    aims.horizonS(job.spec.jobClass, ClassAims.runS(job.spec)) * OVERFLOW_AFTER
            }
        if (late.isEmpty()) return
        val idle =
            machineIndex.unreservedWithAccelerators().filter { m ->
                val lastProper = m.lastProper
                m.keptFor == null && m.attempts.values.none { it.job.spec.need.accelerators > 0 } &&
                    lastProper != null && now - lastProper < OVERFLOW_KEEP
            }
        if (idle.isEmpty()) return
        // Cheap ones come first, and so the dear ones, which every job may use, are what is left.
        val (empty, begun) = idle.partition { it.attempts.isEmpty() }
        val open = begun + empty.sortedBy { !it.spot }.dropLast(standingRoom)
        for (job in late) {
            if (batch.isFull()) return
            if (batch.hasCondition(Keys.job(job.ref))) continue
            val limit = minOf(job.pending.cardinality(), quota.room(job.spec), MAX_TASKS_PER_STEP)
            val placements = Placer.place(job, open.filter { Placer.machineAllowed(job.spec, it) && it.id.value !in job.failedOn }, limit)
            if (placements.isNotEmpty()) logStep(batch, job, placements, now)
        }
    }

    /** Gangs are open that may use ordinary machines only: other gangs leave those to them where they can. */
    private var ordinaryIsScarce = false

    /** Machines that the largest job seen so far which cannot wait for a boot would take. */
    private var standingRoom = 0

    private fun noteUrgent(spec: JobSpec) {
        if (spec.need.accelerators > 0 && fleet.cannotWaitForBoot(spec)) {
            standingRoom = maxOf(standingRoom, fleet.machinesFor(spec))
        }
    }

    private fun noteArrival(
        spec: JobSpec,
        now: Instant,
    ) {
        if (fleet.cannotWaitForBoot(spec)) fleet.urgentArrived(spec, now)
    }

    /** Whether [job] has a deadline and can still meet one of its class's aims for it if its tasks go on. */
    private fun canMeetDeadline(
        job: Job,
        now: Instant,
    ): Boolean = aims.canMeetDeadline(job.spec, ageS(job, now), ClassAims.runS(job.spec))

    private fun ageS(
        job: Job,
        now: Instant,
    ): Double = (now.ms + wallOffsetMs - job.submittedAtMs) / 1000.0

    /**
     * Whether other work is to be stopped for [job] rather than a machine waited for: its class's aim is shorter than a
     * boot, or it is a gang that has waited so long that a boot would make it late. Where the cloud has no machines
     * left, a gang of whole machines would otherwise wait until the small tasks on one of them happen to end together.
     */
    private fun needsRoomNow(
        job: Job,
        now: Instant,
    ): Boolean {
        if (job.madeRoomAt != null || job.live.isNotEmpty() || job.isSuspect) return false
        if (now - job.roomSoughtAt < SEEK_ROOM_EVERY) return false
        return fleet.cannotWaitForBoot(job.spec) || (job.isGang && fleet.bootMissesStart(job.spec, ageS(job, now)))
    }

    /** Lower ranks must not take the machines that this gang is next to get. */
    private fun mayReserve(job: Job): Boolean = job.isGang && job.live.isEmpty() && !job.isSuspect && quota.room(job.spec) >= job.spec.tasks

    private fun releaseKept(now: Instant) {
        for (m in machines.values) {
            val job = m.keptFor ?: continue
            if (m.accepts && job.isOpen && (awaitsUrgentRoom(job, now) || awaitsGuaranteedRoom(job, now))) continue
            m.keptFor = null
        }
        // Also when every machine whose room was kept is gone by now: until then the job has no claim on other room.
        for (job in waitingJobs) if (!awaitsUrgentRoom(job, now)) job.madeRoomAt = null
    }

    private fun awaitsUrgentRoom(
        job: Job,
        now: Instant,
    ): Boolean {
        val since = job.madeRoomAt ?: return false
        return job.live.isEmpty() && now - since < KEEP_ROOM
    }

    private fun awaitsGuaranteedRoom(
        job: Job,
        now: Instant,
    ): Boolean = !job.pending.isEmpty && now - job.guaranteedRoomAt < GUARANTEED_ROOM_EVERY

    /** Stops what [Preemption] chose for [job] and keeps the room for it; false when no room can be made. */
    private fun makeRoom(
        job: Job,
        allowed: List<Machine>,
        now: Instant,
    ): Boolean {
        workCounter.look(allowed.size)
        job.roomSoughtAt = now
        val best = preemption.plan(job, allowed, now)
        if (best.isEmpty()) return false
        job.madeRoomAt = now
        for (room in best) room.machine.keptFor = job
        stopVictims(job, best, now)
        return true
    }

    private fun stop(
        a: Attempt,
        now: Instant,
    ) {
        if (a.killGraceS != null) return
        a.job.madeWay.addTo(a.task, 1)
        if (a.neverSent) drop(a, now) else kill(a, if (a.job.spec.checkpointS > 0) a.job.spec.saveS else 0.0)
    }

    private fun stopVictims(
        job: Job,
        rooms: List<PreemptionTarget>,
        now: Instant,
    ) {
        for (a in rooms.flatMap { it.victims }) {
            // Half a gang is worth nothing: all of it stops, and saves together.
            val stopped =
                if (a.job.isGang) {
                    a.job.live.values
                        .toList()
                } else {
                    listOf(a)
                }
            for (part in stopped) stop(part, now)
        }
        log.info("job {} makes room: {} tasks stopped on {}", job.ref, rooms.sumOf { it.victims.size }, rooms.map { it.machine.id })
    }

    /**
     * An array that its team's guarantee covers need not wait for other teams' work of lower priority. What was stopped
     * needs a few seconds to save and to leave; more is stopped only once that has had its time.
     */
    private fun wantsGuaranteedRoom(
        job: Job,
        now: Instant,
    ): Boolean =
        !job.isGang && !job.isSuspect && !job.spec.oneZone && !job.spec.spread && job in guaranteedJobs &&
            now - job.guaranteedRoomAt >= GUARANTEED_ROOM_EVERY

    private fun makeGuaranteedRoom(
        job: Job,
        allowed: List<Machine>,
        now: Instant,
    ) {
        workCounter.look(allowed.size)
        val wanted = minOf(job.pending.cardinality(), quota.room(job.spec))
        val rooms = preemption.planForGuarantee(job.spec, wanted, allowed, now)
        if (rooms.isEmpty()) return
        job.guaranteedRoomAt = now
        for (room in rooms) room.machine.keptFor = job
        stopVictims(job, rooms, now)
    }

    private fun choose(
        job: Job,
        machineIndex: MachineIndex,
        now: Instant,
        also: (Machine) -> Boolean = { true },
    ): List<Placement> {
        if (job.isGang && job.live.isNotEmpty()) return emptyList()
        val pending = if (job.isGang) job.spec.tasks else job.pending.cardinality()
        var limit = minOf(pending, quota.room(job.spec), if (job.isGang) pending else MAX_TASKS_PER_STEP)
        if (job.isGang && limit < job.spec.tasks) limit = 0
        if (job.isSuspect && !job.isGang) limit = minOf(limit, 1 - job.live.size)
        if (limit <= 0) {
            if (job.isGang && !job.isSuspect && ageS(job, now) >= HOLD_LIMIT_AFTER_S) quota.hold(job.spec)
            wait(job, "its team's limit")
            return emptyList()
        }
        val useful = Placer.preferredTypes(job.spec, types.values).mapTo(HashSet()) { it.name }
        val placements = Placer.place(job, machineIndex.machinesWithCapacity(job, useful, also), limit, preferenceOf(job))
        if (placements.isEmpty()) wait(job, "a machine with room")
        return placements
    }

    /** Arrays make way for the gangs that need ordinary machines; a gang that may use spot ones had better stay away. */
    private fun preferenceOf(job: Job) = PlacementPreference(ordinaryIsScarce && job.isGang, longestFetchS(job) ?: Double.MAX_VALUE)

    /** The longest fetch with which [job] would still start as its class's aim and its team's guarantee ask. */
    private fun longestFetchS(job: Job): Double? {
        val guaranteed = aims.guaranteedStartS?.takeIf { job in guaranteedJobs }
        return listOfNotNull(aims.startS(job.spec.jobClass), guaranteed).minOrNull()?.let { it - Fleet.START_STEPS_S }
    }

    private fun wait(
        job: Job,
        reason: String,
    ) {
        if (job.waitReason == reason) return
        job.waitReason = reason
        log.info("job {} waits for {}", job.ref, reason)
    }

    /** One step: the placements and the finished tasks not yet recorded, as far as one record holds them. */
    private fun logStep(
        batch: WriteBatch,
        job: Job,
        placements: List<Placement>,
        now: Instant,
    ) {
        val whole = assign(job, placements)
        val bytes = whole.sumOf { it.recordBytes }
        // What does not fit into this transaction goes into the next one; a gang too large for any record is split.
        if (job.isGang && bytes in (batch.bytesLeft - RECORD_SLACK + 1)..recordBytes) return
        if (job.isGang && bytes > recordBytes) {
            splitStep(job, whole)
            addSplitPlacements(batch, now)
            return
        }
        var left = minOf(recordBytes, batch.bytesLeft - RECORD_SLACK)
        val placed = whole.takeWhile { part -> (part.recordBytes <= left).also { fits -> if (fits) left -= part.recordBytes } }
        val step = job.takeStep()
        val attempts = begin(job, step, placed)
        val done = TaskRanges.lowestFitting(job.unlogged(), left)
        val key = job.keys.log(job.ref, step)
        batch.requireRevision(Keys.job(job.ref), job.revision)
        batch.create(key, LogRecord(placed.map { LogRecord.Assignment(it.machine.id, it.tasks) }, done).toValue())
        batch.onApplied {
            job.logSteps.add(step)
            if (!job.isOpen) gcQueue.addLast((now + tunables.logLife) to key)
            job.doneLogged.or(done)
            job.unloggedSince = if (job.unlogged().isEmpty) null else now
            placementLogged(job, step, attempts)
        }
        batch.onRefused { for (attempt in attempts) if (attempt.neverSent) drop(attempt, now) }
    }

    /**
     * While this shard is handed to another owner: nothing new is placed or ordered. What is logged is still launched, so
     * that the next owner finds no gang half started.
     */
    var startsPaused = false

    private val recordBytes = minOf(settings.state.valueBytes - RECORD_SLACK, WriteBatch.MAX_RECORD_BYTES)

    /** Tasks that one machine is to get. */
    private class Assigned(
        val machine: Machine,
        val tasks: BitSet,
    ) {
        val recordBytes = machine.id.value.length + PLACED_BYTES + TaskRanges.encodedSize(tasks)
    }

    /** Gives the waiting tasks of [job], lowest first, to the machines chosen for them. */
    private fun assign(
        job: Job,
        placements: List<Placement>,
    ): List<Assigned> {
        var next = job.pending.nextSetBit(0)
        return placements.map { placement ->
            val tasks = BitSet()
            var count = placement.count
            while (count > 0 && next >= 0) {
                tasks.set(next)
                next = job.pending.nextSetBit(next + 1)
                count--
            }
            Assigned(placement.machine, tasks)
        }
    }

    /** The attempts of one step; from here on they hold their places. */
    private fun begin(
        job: Job,
        step: Step,
        assigned: List<Assigned>,
    ): List<Attempt> {
        val attempts = ArrayList<Attempt>()
        for (part in assigned) {
            for (task in part.tasks.stream()) attempts.add(Attempt(job, task, step, part.machine, AttemptPhase.LOGGING))
        }
        for (attempt in attempts) attach(attempt)
        if (attempts.isNotEmpty()) {
            job.waitReason = null
            job.madeRoomAt = null
        }
        return attempts
    }

    private fun placementLogged(
        job: Job,
        step: Step,
        attempts: List<Attempt>,
    ) {
        for (attempt in attempts) if (attempt.phase == AttemptPhase.LOGGING) attempt.phase = AttemptPhase.READY
        if (attempts.isNotEmpty()) log.info("job {} step {}: {} tasks placed", job.ref, step, attempts.size)
    }

    /** A gang whose placement takes several records: it holds its places until the last of them is written. */
    private fun splitStep(
        job: Job,
        assigned: List<Assigned>,
    ) {
        val step = job.takeStep()
        val parts = ArrayList<ArrayList<LogRecord.Assignment>>()
        var left = 0
        for (part in assigned) {
            if (parts.isEmpty() || part.recordBytes > left) {
                parts.add(ArrayList())
                left = recordBytes
            }
            left -= part.recordBytes
            parts.last().add(LogRecord.Assignment(part.machine.id, part.tasks))
        }
        val attempts = begin(job, step, assigned)
        log.info("job {} step {}: placement takes {} records", job.ref, step, parts.size)
        splitPlacements.add(SplitPlacement(job, step, attempts, parts.map { LogRecord(it, BitSet()) }))
    }

    /** Goes on with placements whose records did not fit into the last transaction; gives up those that lost a task. */
    private fun addSplitPlacements(
        batch: WriteBatch,
        now: Instant,
    ) {
        val unwanted = splitPlacements.filter { !it.isStillValid }
        splitPlacements.removeAll(unwanted)
        for (placement in unwanted) {
            for (key in placement.writtenPartKeys()) gcQueue.addLast((now + tunables.logLife) to key)
            for (attempt in placement.attempts) if (attempt.neverSent) drop(attempt, now)
        }
        for (placement in splitPlacements) {
            if (placement.isStepRecordWritten || batch.hasCondition(Keys.job(placement.job.ref))) continue
            placement.addTo(batch)
            if (placement.isStepRecordWritten) batch.onApplied { splitPlacementLogged(placement, now) }
        }
    }

    private fun splitPlacementLogged(
        placement: SplitPlacement,
        now: Instant,
    ) {
        val job = placement.job
        splitPlacements.remove(placement)
        job.logSteps.add(placement.step)
        job.logParts[placement.step] = placement.parts.size
        if (!job.isOpen) {
            gcQueue.addLast((now + tunables.logLife) to job.keys.log(job.ref, placement.step))
            for (key in placement.writtenPartKeys()) gcQueue.addLast((now + tunables.logLife) to key)
        }
        placementLogged(job, placement.step, placement.attempts)
    }

    private fun collectGarbage(
        batch: WriteBatch,
        room: Int,
        now: Instant,
    ) {
        // Logs are dropped with what intake and placement leave over.
        if (!batch.isEmpty && writes.available(now) < room + 1) return
        while (!batch.isFull()) {
            val (due, key) = gcQueue.firstOrNull() ?: break
            if (due > now) break
            gcQueue.removeFirst()
            batch.remove(key)
            batch.onRefused { gcQueue.addFirst(due to key) }
        }
        for (key in fleet.recordsToDrop(now)) {
            if (batch.isFull()) break
            batch.remove(key)
            if (fleet.wasRefused(key)) claims?.refused(batch, key)
            batch.onApplied { fleet.recordDropped(key) }
        }
        for (key in claims?.toRemove(now) ?: emptyList()) {
            if (batch.isFull()) break
            batch.remove(key)
            batch.onApplied { claims?.removed(key) }
        }
        while (closed.isNotEmpty() && now - (closed.first().finalAt ?: now) > tunables.logLife &&
            closed.first().live.isEmpty()
        ) {
            closedRefs.remove(closed.removeFirst().ref)
        }
    }

    /** A change is under way whose outcome is not known. */
    val isWriting: Boolean get() = batch != null

    fun onWritten(
        revision: Revision,
        now: Instant,
    ) {
        val written = batch ?: return
        batch = null
        written.notifyApplied(revision)
    }

    /**
     * Refused on [failed] keys. False when our term is over. A failed key that only this change can have created
     * means that an earlier, unanswered copy of it was applied.
     */
    fun onRefused(
        failed: List<String>,
        now: Instant,
    ): Boolean {
        val written = batch ?: return true
        batch = null
        if (scope.guards.any { it.key in failed }) return false
        written.notifyRefused(failed)
        return true
    }

    /** When [ranked] was worked out; waiting changes the order too. */
    private var rankedAt = Instant.NEVER

    /**
     * Guaranteed jobs first, then by priority, then by when they are to start at the latest, by their class's aim or their own deadline.
     * By age alone, gangs that are to start within seconds wait for the change rate behind every older array. A class
     * of which a job has waited for [AGED] without a single start goes before all others with that job and what is
     * older of it, or large jobs of low rank would never begin in a long burst; the older ones go along, since passing
     * them would only make all of them late.
     */
    private fun ranking(now: Instant): List<Job> {
        ranked?.let { if (now - rankedAt < RANK_EVERY) return it }
        val inOrder = jobs.values.sortedWith(compareBy({ it.submittedAtMs }, { it.ref.value }))
        val guaranteed = quota.guaranteed(inOrder.filterNot { it.isSuspect })
        guaranteedJobs = guaranteed
        val overdue = HashMap<String, Long>()
        for (job in inOrder) {
            if (job.live.isEmpty() && job.doneCount == 0 && !job.isSuspect && now.ms + wallOffsetMs - job.submittedAtMs > AGED.ms) {
                overdue[job.spec.jobClass] = job.submittedAtMs
            }
        }
        val aged = inOrder.filterTo(HashSet()) { it.submittedAtMs <= (overdue[it.spec.jobClass] ?: Long.MIN_VALUE) }
        val order =
            inOrder.sortedWith(
                compareBy(
                    { if (it in aged) 0 else 1 },
                    { if (it in guaranteed) 0 else 1 },
                    { it.spec.urgency.ordinal },
                    { it.submittedAtMs + (fleet.startDueS(it.spec, ageS(it, now)) * 1000).toLong() },
                ),
            )
        ranked = order
        rankedAt = now
        return order
    }

    /** Starts whose outcome a successor would have to find out. */
    fun unsettled(): Unsettled {
        workCounter.look(jobs.size)
        var tasks = 0
        var partialGangs = 0
        for (job in jobs.values) {
            val unseen = job.live.values.count { it.killGraceS == null && (it.neverSent || it.phase == AttemptPhase.SENT) }
            tasks += unseen
            if (job.isGang && unseen in 1 until job.spec.tasks) partialGangs++
        }
        return Unsettled(tasks, partialGangs)
    }

    /** Jobs of shards are open, or tasks of theirs may be on machines; only a single leader after a time of sharing has such. */
    fun hasShardJobs(): Boolean = jobs.values.any { it.shard != null } || closed.any { it.shard != null && it.live.isNotEmpty() }

    fun knows(machine: MachineId): Boolean = machine in machines

    /** Machines and tasks that make work for this scheduler. */
    fun load(): Int = machines.values.sumOf { if (it.up) 1 + it.attempts.size else 0 }

    /** This scheduler's part of a team's limit and guarantee. */
    fun allot(part: Team) = quota.allot(part)

    /** What each team uses here, and would use if its limit allowed. */
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
        val wanted = waiting.fold(used) { sum, job -> sum + job.spec.need * job.pending.cardinality() }
        val starved =
            waiting
                .filter { it.isGang && it.live.isEmpty() && ageS(it, now) >= RESERVE_AFTER_S }
                .minByOrNull { it.submittedAtMs }
        val reserved = starved?.let { amount(it.spec.unit) } ?: TeamAmount.NONE
        return TeamDemand(amount(used), amount(wanted), reserved, starved?.submittedAtMs ?: 0)
    }

    private fun amount(resources: Resources) = TeamAmount(resources.cores, resources.accelerators)

    /** Machines whose leases run by our books. */
    fun reportingMachines(): Int = machines.values.count { it.up }

    // ---- looking in ------------------------------------------------------------------------------------------

    fun counts(ref: JobRef): JobCounts? {
        val job = jobs[ref] ?: return null
        val running = job.runningCount()
        return JobCounts(if (running > 0) JobStage.RUNNING else JobStage.QUEUED, job.doneCount, running)
    }

    private val waits = ArrayList<Pair<String, Span>>()

    /** Waits from submission to the first sight of a running task, by class, since this was last asked. */
    fun takeWaits(): List<Pair<String, Span>> = waits.toList().also { waits.clear() }

    fun queueByClass(): Map<String, Int> =
        jobs.values.groupBy { it.spec.jobClass }.mapValues { (_, l) -> l.sumOf { it.pending.cardinality() } }

    fun machinesByState(): Map<String, Int> =
        machines.values
            .groupingBy {
                when {
                    it.release == ReleaseStage.GONE -> "gone"
                    it.release != ReleaseStage.NONE -> "releasing"
                    it.up && it.deafSince != null -> "deaf"
                    it.up && it.attempts.isEmpty() -> "idle"
                    it.up -> "busy"
                    it.lapsedAt != null -> "silent"
                    else -> "starting"
                }
            }.eachCount()

    companion object {
        /** A worker waits this long for an answer before it turns to another controller. */
        private val ANSWER_WAIT = Span(4_000)

        /** Past every message a machine can send: it was returned and will say nothing new. */
        private val LAST_POSITION = Position(Long.MAX_VALUE, Long.MAX_VALUE)

        /** A report comes every interval, give or take a quarter. */
        private const val REPORT_SPREAD = 1.25
        private const val SILENT_SLACK_MS = 1_500L
        private const val HEARING_SLACK_MS = 500L
        private const val MAX_COMMANDS = 400
        private const val MAX_WAITS = 10_000
        private const val MAX_WAITING_LOOKS = 200

        /** Far more than a fleet can lose while copies of its reports may still be under way. */
        private const val MAX_FORGOTTEN = 10_000
        private const val MAX_TASKS_PER_STEP = 1_000
        private const val RECORD_SLACK = 64

        /** Quotes, brackets and commas round a machine's name and tasks in a record. */
        private const val PLACED_BYTES = 10
        private const val FLEET_SHARE = 4
        private val RANK_EVERY = Span(2_000)

        /** Half of the time within which the largest jobs are to begin. */
        private val AGED = Span(120_000)
        private const val OVERFLOW_AFTER = 0.4
        private val OVERFLOW_KEEP = Span(45_000)
        private val KEEP_ROOM = Span(15_000)

        /** The search for room looks at every machine a job may use, so it is not repeated in each round. */
        private val SEEK_ROOM_EVERY = Span(500)
        private val GUARANTEED_ROOM_EVERY = Span(5_000)

        /**
         * A gang that its team's limit holds up lets smaller jobs of the team pass for so long; then the limit is kept for
         * it until it fits, which leaves half of the four minutes within which the largest jobs are to begin. Kept from the
         * first moment, one gang of a third of a team's limit held up all the small ones behind it (rose-hill-vision).
         */
        private const val HOLD_LIMIT_AFTER_S = 120.0

        /** A gang that other shards' parts of its team's limit may be holding up asks for its whole need after so long. */
        private const val RESERVE_AFTER_S = 15.0
        private const val FAULTY_AFTER_JOBS = 2
        private const val FORGET_MS = 60_000L
        private val DONE_LOG_DELAY = Span(2_000)
    }
}
