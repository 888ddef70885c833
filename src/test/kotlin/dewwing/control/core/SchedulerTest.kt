package dewwing.control.core

import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.LogRecord
import dewwing.control.core.intent.RentalRecord
import dewwing.protocol.Command
import dewwing.protocol.Duration
import dewwing.protocol.EndCause
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.JobStage
import dewwing.protocol.ListedMachine
import dewwing.protocol.ListedStage
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.Pack
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
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet

/** Drives one scheduler and a few machines step by step. */
class SchedulerTest {
    private val type = MachineType("k", Resources(8.0, 2.0, 64.0), 10.0, 1.0, 1.0, 0.5, 60.0, listOf("a"))
    private val settings = testSettings(Duration(2_000), Duration(10_000), StateLimits(200.0, 25.0, 4096, 8), mapOf("urgent" to 10.0))
    private val term = Term(5)
    private val scheduler =
        Scheduler(settings, term, Revision(50), Instant(0), 0).also {
            it.onMachineTypes(listOf(type))
            it.onMachineList(emptyList(), Instant(0))
        }
    private var nowMs = 0L
    private var seq = 0L

    private fun jobSpec(
        number: Int,
        jobClass: String,
        urgency: Urgency,
        shape: JobShape,
        need: Resources,
        checkpointS: Double = 0.0,
    ) = JobSpec(
        JobRef("job-$number"),
        jobClass,
        "t",
        shape,
        urgency,
        1,
        need,
        "i",
        1.0,
        null,
        null,
        false,
        false,
        true,
        30.0,
        checkpointS,
        2.0,
        null,
    )

    private fun submit(spec: JobSpec) =
        scheduler.onJobRecord(
            spec.ref,
            JobRecord(JobStage.QUEUED, spec, nowMs),
            Revision(
                spec.ref.value
                    .removePrefix("job-")
                    .toLong(),
            ),
            Instant(nowMs),
        )

    private fun report(
        id: String,
        vararg tasks: ReportedTask,
        highestTerm: Term = term,
        session: Long = 1,
    ): List<Command> {
        val report = Report(MachineId(id), "10.0.0.1:1", "k", "a", false, ReportPosition(session, ++seq), highestTerm, null, tasks.toList())
        scheduler.onReport(report, Instant(nowMs))
        return scheduler.answerChecked(report, Instant(nowMs))
    }

    /** Runs a scheduling round whose writes are applied immediately. */
    private fun runRound(): List<Effect> {
        nowMs += 200
        val effects = scheduler.runRound(Instant(nowMs)) { true }
        if (effects.any { it is Effect.Write }) scheduler.onWriteApplied(Revision(1_000 + nowMs), Instant(nowMs))
        return effects
    }

    /** Submits [spec] and launches it on machine m-1: a round places it, and the next report fetches the launch. */
    private fun launchOnM1(spec: JobSpec) {
        submit(spec)
        report("m-1")
        runRound()
        report("m-1")
    }

    private fun runningTask(
        number: Int,
        attempt: Step = Step(1),
    ) = ReportedTask(TaskRef(JobRef("job-$number"), 0), attempt, TaskStage.RUNNING, null, false)

    private val halfMachine = Resources(4.0, 1.0, 8.0)

    @Test
    fun `a task is launched only after its log record is written, and each attempt only once`() {
        submit(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        report("m-1")
        nowMs += 200
        val write = scheduler.runRound(Instant(nowMs)) { true }.filterIsInstance<Effect.Write>().single()
        assertTrue(write.change.puts.any { it.first.startsWith("log/job-1/") })
        assertTrue(write.change.conditions.any { it.first == "term" } && write.change.conditions.any { it.first == "job/job-1" })
        assertTrue(report("m-1").none { it is Command.Launch })
        scheduler.onWriteApplied(Revision(99), Instant(nowMs))
        assertEquals(1, report("m-1").count { it is Command.Launch })
        assertTrue(report("m-1", runningTask(1)).isEmpty())
    }

    private fun gangTask(
        launch: Command.Launch,
        stage: TaskStage,
        cause: EndCause? = null,
    ) = ReportedTask(launch.task, launch.attempt, stage, cause, false)

    /** Starts a gang of two tasks on the machines m-1 and m-2; the first waits for the second, which fetches its image. */
    private fun startGangWithSlowFetch(): Pair<Command.Launch, Command.Launch> {
        report("m-1")
        report("m-2")
        submit(jobSpec(1, "c", Urgency.STANDARD, JobShape.GANG, Resources(8.0, 2.0, 8.0)).copy(tasks = 2))
        runRound()
        val first = report("m-1").filterIsInstance<Command.Launch>().single()
        val second = report("m-2").filterIsInstance<Command.Launch>().single()
        report("m-1", gangTask(first, TaskStage.WAITING))
        report("m-2", gangTask(second, TaskStage.FETCHING))
        return first to second
    }

    private fun hasKill(effects: List<Effect>) = effects.any { it is Effect.Kill }

    /** Guards against a gang that is given up again and again, each time before its last image is there (review/5). */
    @Test
    fun `a gang task that waited in vain is launched again with the same attempt while another fetches its image`() {
        val (first, second) = startGangWithSlowFetch()
        repeat(3) {
            val answer = report("m-1", gangTask(first, TaskStage.ENDED, EndCause.INCOMPLETE))
            assertEquals(listOf(Command.Reap(first.task, first.attempt), first), answer)
            assertFalse(hasKill(runRound()))
            assertTrue(report("m-2", gangTask(second, TaskStage.FETCHING)).isEmpty())
            report("m-1", gangTask(first, TaskStage.WAITING))
        }
        // The answer with the launch may be lost: the worker then reports the end of the task once more.
        report("m-1", gangTask(first, TaskStage.ENDED, EndCause.INCOMPLETE))
        assertTrue(first in report("m-1", gangTask(first, TaskStage.ENDED, EndCause.INCOMPLETE)))
        report("m-2", gangTask(second, TaskStage.RUNNING))
        report("m-1", gangTask(first, TaskStage.RUNNING))
        assertEquals(2, scheduler.jobCounts(first.task.job)?.running)
    }

    @Test
    fun `a gang task that waited in vain ends its gang if no image is being fetched, or for too long`() {
        val (first, second) = startGangWithSlowFetch()
        var restarts = 0
        while (report("m-1", gangTask(first, TaskStage.ENDED, EndCause.INCOMPLETE)).any { it is Command.Launch }) {
            report("m-1", gangTask(first, TaskStage.WAITING))
            assertTrue(++restarts < 20)
        }
        assertTrue(hasKill(runRound()))
        assertTrue(report("m-2", gangTask(second, TaskStage.FETCHING)).any { it is Command.Kill })
    }

    @Test
    fun `a gang task that waited in vain ends its gang if all images are there`() {
        val (first, second) = startGangWithSlowFetch()
        report("m-2", gangTask(second, TaskStage.WAITING))
        assertTrue(report("m-1", gangTask(first, TaskStage.ENDED, EndCause.INCOMPLETE)).none { it is Command.Launch })
        assertTrue(hasKill(runRound()))
    }

    @Test
    fun `no task is placed on a worker that does not know the current term yet`() {
        submit(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        report("m-1", highestTerm = Term(4))
        assertTrue(runRound().none { it is Effect.Write && it.change.puts.any { p -> p.first.startsWith("log/") } })
    }

    /** Guards against new machines that stay idle until their second report. */
    @Test
    fun `a machine rented by this leader gets work in the answer to its first report`() {
        submit(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        val rent =
            generateSequence { runRound() }
                .take(20)
                .flatten()
                .filterIsInstance<Effect.Rent>()
                .first()
        scheduler.onRented(rent.key, listOf(MachineId("m-7")), Instant(nowMs))
        val first = Report(MachineId("m-7"), "10.0.0.1:1", "k", "a", true, ReportPosition(1, 1), Term.NONE, null, emptyList())
        scheduler.onReport(first, Instant(nowMs))
        assertTrue(scheduler.mayLaunchSoon(first.machine))
        runRound()
        val launch = scheduler.answerChecked(first, Instant(nowMs)).filterIsInstance<Command.Launch>().single()
        assertEquals(JobRef("job-1"), launch.task.job)
    }

    /**
     * Guards against jobs that wait for a machine that never starts, and against paying for such a machine for much more
     * than twice the time after which it is replaced.
     */
    @Test
    fun `a machine that does not start is replaced once, then released, and a machine that starts late is used`() {
        submit(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        val rentedAt = ArrayList<Long>()
        val released = HashMap<String, Long>()
        while (nowMs < 300_000) {
            for (effect in runRound()) {
                if (effect is Effect.Rent) {
                    rentedAt.add(nowMs)
                    scheduler.onRented(effect.key, List(effect.request.count) { MachineId("m-${rentedAt.size}$it") }, Instant(nowMs))
                }
                if (effect is Effect.Release) {
                    effect.machines.forEach { released[it.value] = nowMs }
                    scheduler.onReleased(effect.machines, Instant(nowMs))
                }
            }
        }
        val bootMs = (type.bootS * 1_000).toLong()
        assertEquals(3, rentedAt.size, "$rentedAt")
        for (gap in rentedAt.zipWithNext { a, b -> b - a }) assertTrue(gap in 2 * bootMs..2 * bootMs + 15_000, "$rentedAt")
        assertEquals(setOf("m-10"), released.keys)
        assertTrue(released.getValue("m-10") - rentedAt[0] in 4 * bootMs..4 * bootMs + 15_000, "$released")
        // The second machine, which is no longer counted on, starts after all.
        report("m-20")
        runRound()
        assertTrue(report("m-20").any { it is Command.Launch })
    }

    /** An earlier leader that logged a rental may also have received its machines and started tasks on them. */
    @Test
    fun `a machine rented by an earlier leader gets no task before it knows the current term`() {
        val successor = Scheduler(settings, Term(6), Revision(60), Instant(0), 0)
        successor.onMachineTypes(listOf(type))
        val order = RentalRequest("r-500001", "k", "a", true, 1)
        successor.restoreRental("rent/500001", RentalRecord(order, null), Instant(0))
        successor.finishRestore(Instant(0))
        val rent = successor.runRound(Instant(100)) { true }.filterIsInstance<Effect.Rent>().single()
        successor.onRented(rent.key, listOf(MachineId("m-7")), Instant(200))
        val waiting = jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine)
        successor.onJobRecord(waiting.ref, JobRecord(JobStage.QUEUED, waiting, 0), Revision(1), Instant(200))
        val first = Report(MachineId("m-7"), "10.0.0.1:1", "k", "a", true, ReportPosition(1, 1), Term.NONE, null, emptyList())
        successor.onReport(first, Instant(300))
        assertFalse(successor.mayLaunchSoon(first.machine))
    }

    @Test
    fun `a worker is told to discard a finished task only after its completion is logged`() {
        launchOnM1(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine).copy(tasks = 2))
        val ended = ReportedTask(TaskRef(JobRef("job-1"), 0), Step(1), TaskStage.ENDED, EndCause.DONE, false)
        val other = ReportedTask(TaskRef(JobRef("job-1"), 1), Step(1), TaskStage.RUNNING, null, false)
        assertTrue(report("m-1", ended, other).none { it is Command.Reap })
        nowMs += 3_000
        val write = runRound().filterIsInstance<Effect.Write>().single()
        assertEquals(
            listOf(0, 0),
            write.change.puts
                .single()
                .second["done"],
        )
        assertEquals(1, report("m-1", ended, other).count { it is Command.Reap })
    }

    @Test
    fun `a late report changes nothing and gets no commands`() {
        launchOnM1(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        report("m-1", runningTask(1))
        val late = Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, ReportPosition(1, 1), term, null, emptyList())
        scheduler.onReport(late, Instant(nowMs))
        assertTrue(scheduler.answerChecked(late, Instant(nowMs)).isEmpty())
        assertEquals(1, scheduler.jobCounts(JobRef("job-1"))?.running)
    }

    /** Guards against a new leader that rents a second fleet because the machines of the existing one have not reported to it yet. */
    @Test
    fun `a new leader rents nothing before it has read the machine list, and counts listed machines that have not reported yet`() {
        val leader = Scheduler(settings, term, Revision(50), Instant(0), 0).also { it.onMachineTypes(listOf(type)) }
        val job = jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine)
        leader.restoreJob(job.ref, JobRecord(JobStage.QUEUED, job, 0), Revision(1))
        leader.finishRestore(Instant(0))

        fun logsRentalAt(atMs: Long): Boolean {
            val effects = leader.runRound(Instant(atMs)) { true }
            if (effects.any { it is Effect.Write }) leader.onWriteApplied(Revision(1_000 + atMs), Instant(atMs))
            return effects.any { e -> e is Effect.Write && e.change.puts.any { it.first.startsWith("rent/") } }
        }
        assertFalse(logsRentalAt(500) || logsRentalAt(600))
        leader.onMachineList(listOf(ListedMachine(MachineId("m-1"), "k", "a", false, ListedStage.RUNNING, 500.0)), Instant(1_200))
        assertFalse(logsRentalAt(2_000) || logsRentalAt(2_100))
        // The machine has not reported in time and is no longer counted on.
        assertTrue(logsRentalAt(9_000) || logsRentalAt(9_100))
    }

    /**
     * Guards against tasks that run twice after a slow restore: reports answered meanwhile renew leases for longer than the
     * answers of earlier leaders do.
     */
    @Test
    fun `a machine answered while the state was restored may keep its tasks for a lease from then on`() {
        val leader = Scheduler(settings, term, Revision(50), Instant(0), 0).also { it.onMachineTypes(listOf(type)) }
        val job = jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine)
        leader.restoreJob(job.ref, JobRecord(JobStage.QUEUED, job, 0), Revision(1))
        leader.restoreLog(
            "log/job-1/000000007",
            LogRecord(listOf(LogRecord.Assignment(MachineId("m-9"), BitSet().apply { set(0) })), BitSet()),
        )
        leader.finishRestore(Instant(10_000))

        fun logsPlacementAt(atMs: Long): Boolean {
            val report = Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, ReportPosition(1, atMs), term, null, emptyList())
            leader.onReport(report, Instant(atMs))
            return leader.runRound(Instant(atMs)) { true }.any { e ->
                e is Effect.Write && e.change.puts.any { it.first.startsWith("log/") }
            }
        }
        assertFalse(logsPlacementAt(14_000))
        assertFalse(logsPlacementAt(20_100))
        assertTrue(logsPlacementAt(20_400))
    }

    @Test
    fun `a task that an earlier leader may have started is not started again until its machine's lease is over`() {
        val leader = Scheduler(settings, term, Revision(50), Instant(0), 0).also { it.onMachineTypes(listOf(type)) }
        val job = jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine)
        leader.restoreJob(job.ref, JobRecord(JobStage.QUEUED, job, 0), Revision(1))
        leader.restoreLog(
            "log/job-1/000000007",
            LogRecord(listOf(LogRecord.Assignment(MachineId("m-9"), BitSet().apply { set(0) })), BitSet()),
        )
        leader.finishRestore(Instant(0))

        fun reportFromM1(
            highestTerm: Term,
            sequence: Long,
        ) = leader.onReport(
            Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, ReportPosition(1, sequence), highestTerm, null, emptyList()),
            Instant(sequence * 1_000),
        )

        fun logsPlacement() =
            leader.runRound(Instant(nowMs)) { true }.any { e ->
                e is Effect.Write &&
                    e.change.puts.any { it.first.startsWith("log/") }
            }
        reportFromM1(term, 1)
        for (second in 1..12) {
            nowMs = second * 1_000L
            reportFromM1(term, second + 1L)
            assertFalse(logsPlacement(), "at $nowMs")
        }
        nowMs = 14_000
        reportFromM1(term, 20)
        // The stale leader bound and the lease with its clock drift are over: the machine that does not report has killed its tasks.
        assertTrue(logsPlacement())
    }

    @Test
    fun `a job that cannot wait for a boot preempts the lower-priority task that loses least and gets its capacity`() {
        launchOnM1(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        nowMs += 60_000
        submit(jobSpec(2, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine, checkpointS = 10.0))
        seq = 100
        report("m-1", runningTask(1))
        runRound()
        report("m-1", runningTask(1))
        report("m-1", runningTask(1), runningTask(2))
        submit(jobSpec(3, "urgent", Urgency.HIGH, JobShape.GANG, halfMachine))
        val kills = runRound().filterIsInstance<Effect.Kill>().flatMap { it.kills }
        // Job 2 can save a checkpoint; job 1 would lose a minute of work.
        assertEquals(listOf("job-2"), kills.map { it.task.job.value })
        assertEquals(2.0, kills.single().graceS)
        submit(jobSpec(4, "c", Urgency.HIGH, JobShape.ARRAY, halfMachine))
        report("m-1", runningTask(1))
        runRound()
        val launched = report("m-1", runningTask(1)).filterIsInstance<Command.Launch>()
        assertEquals(listOf("job-3"), launched.map { it.task.job.value })
    }

    private fun withGuarantee(
        guaranteed: Double,
        block: (Scheduler) -> Unit,
    ) {
        val teams = listOf(Team("t", 0.0, null, guaranteed, null), Team("guest", 0.0, null, 0.0, null))
        val teamScheduler = Scheduler(settings.copy(teams = teams), term, Revision(50), Instant(0), 0)
        teamScheduler.onMachineTypes(listOf(type))
        block(teamScheduler)
    }

    /** Returns the tasks killed on a machine filled by [otherJob], a job of another team, once [job] of team "t" waits. */
    private fun preemptedFor(
        job: JobSpec,
        otherJob: JobSpec,
        guaranteed: Double,
    ): List<TaskRef> {
        val killed = ArrayList<TaskRef>()
        withGuarantee(guaranteed) { teamScheduler ->
            fun submit(spec: JobSpec) =
                teamScheduler.onJobRecord(
                    spec.ref,
                    JobRecord(JobStage.QUEUED, spec, nowMs),
                    Revision(
                        spec.ref.value
                            .removePrefix("job-")
                            .toLong(),
                    ),
                    Instant(nowMs),
                )

            fun reportAndRunRound(vararg tasks: ReportedTask): List<Command> {
                nowMs += 500
                val report = Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, ReportPosition(1, ++seq), term, null, tasks.toList())
                teamScheduler.onReport(report, Instant(nowMs))
                val effects = teamScheduler.runRound(Instant(nowMs)) { true }
                if (effects.any { it is Effect.Write }) teamScheduler.onWriteApplied(Revision(1_000 + nowMs), Instant(nowMs))
                killed += effects.filterIsInstance<Effect.Kill>().flatMap { it.kills }.map { it.task }
                return teamScheduler.answerChecked(report, Instant(nowMs))
            }
            submit(otherJob)
            reportAndRunRound()
            reportAndRunRound()
            val otherTasks = Array(otherJob.tasks) { ReportedTask(TaskRef(otherJob.ref, it), Step(1), TaskStage.RUNNING, null, false) }
            reportAndRunRound(*otherTasks)
            submit(job)
            nowMs += 3_000
            repeat(4) { reportAndRunRound(*otherTasks) }
        }
        return killed
    }

    /** Guards against a team that does not get its guarantee because low-priority work of another team fills every machine. */
    @Test
    fun `a job within its team's guarantee preempts other teams' tasks that lose little, and no more than it needs`() {
        fun otherJob(
            urgency: Urgency,
            checkpointS: Double,
        ) = jobSpec(1, "g", urgency, JobShape.ARRAY, Resources(2.0, 0.0, 8.0), checkpointS).copy(team = "guest", tasks = 4)

        val job = jobSpec(2, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine)
        assertEquals(2, preemptedFor(job, otherJob(Urgency.LOW, 30.0), guaranteed = 2.0).toSet().size)
        assertEquals(emptyList<TaskRef>(), preemptedFor(job, otherJob(Urgency.LOW, 30.0), guaranteed = 0.0))
        assertEquals(emptyList<TaskRef>(), preemptedFor(job, otherJob(Urgency.LOW, 0.0), guaranteed = 2.0))
        assertEquals(emptyList<TaskRef>(), preemptedFor(job, otherJob(Urgency.STANDARD, 30.0), guaranteed = 2.0))
    }

    @Test
    fun `a cancelled job's tasks are killed at once and never launched`() {
        val job = jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine).copy(tasks = 2)
        launchOnM1(job)
        val second = ReportedTask(TaskRef(JobRef("job-1"), 1), Step(1), TaskStage.RUNNING, null, false)
        report("m-1", runningTask(1), second)
        scheduler.onJobRecord(job.ref, JobRecord(JobStage.ABORTED, job, 0), Revision(200), Instant(nowMs))
        val kills = scheduler.runRound(Instant(nowMs)) { true }.filterIsInstance<Effect.Kill>().flatMap { it.kills }
        assertEquals(2, kills.size)
        assertTrue(report("m-1", runningTask(1)).any { it is Command.Kill })
    }

    @Test
    fun `a write refused on its term condition ends the term`() {
        submit(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        report("m-1")
        nowMs += 200
        assertTrue(scheduler.runRound(Instant(nowMs)) { true }.any { it is Effect.Write })
        assertFalse(scheduler.onWriteRefused(listOf("term"), Instant(nowMs)))
    }

    @Test
    fun `a round ends when its time budget is used up, and the next round continues`() {
        for (number in 1..30) submit(jobSpec(number, "c", Urgency.STANDARD, JobShape.ARRAY, Resources(0.1, 0.0, 0.1)))
        report("m-1")
        val placed = HashSet<String>()
        repeat(60) {
            nowMs += 1_000
            report("m-1")
            var jobsLeft = 3
            for (effect in scheduler.runRound(Instant(nowMs)) { jobsLeft-- > 0 }) {
                if (effect !is Effect.Write) continue
                val jobs =
                    effect.change.puts
                        .map { it.first }
                        .filter { it.startsWith("log/") }
                        .map { it.substringBeforeLast('/') }
                assertTrue(jobs.size <= 3, "$jobs")
                placed.addAll(jobs)
                scheduler.onWriteApplied(Revision(1_000 + nowMs), Instant(nowMs))
            }
        }
        assertEquals(30, placed.size)
    }

    /** Sends a report with the given position, as a late duplicate has it. */
    private fun reportAt(
        id: String,
        session: Long,
        seq: Long,
        vararg tasks: ReportedTask,
    ): List<Command> {
        val report = Report(MachineId(id), "10.0.0.1:1", "k", "a", false, ReportPosition(session, seq), term, null, tasks.toList())
        scheduler.onReport(report, Instant(nowMs))
        return scheduler.answerChecked(report, Instant(nowMs))
    }

    private fun logKeysIn(effects: List<Effect>) =
        effects
            .filterIsInstance<Effect.Write>()
            .flatMap { it.change.puts }
            .map { it.first }
            .filter { it.startsWith("log/") }

    /** Guards against placing tasks again and again on a machine whose reports arrive but which receives no answers. */
    @Test
    fun `a machine that misses answers gets no more tasks until answers reach it again`() {
        submit(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        report("m-1")
        runRound()
        assertEquals(1, report("m-1").count { it is Command.Launch })
        // The launch is never reported: the answer that carried it was lost.
        nowMs += 2_000
        report("m-1")
        assertEquals(emptyList<String>(), logKeysIn(runRound()))
        // The worker returns after it has contacted other controllers: its sequence numbers have advanced there.
        nowMs += 5_000
        seq += 2
        report("m-1")
        assertEquals(emptyList<String>(), logKeysIn(runRound()))
        // One more message with the next sequence number, in time: the worker received the last answer.
        nowMs += 1_000
        report("m-1")
        assertEquals(listOf("log/job-1/000000002"), logKeysIn(runRound()))
    }

    @Test
    fun `a machine whose lease expires although it is answered counts as missing answers and is released`() {
        scheduler.onMachineTypes(listOf(type))
        report("m-1")
        nowMs += 3_000
        report("m-1")
        var released = false
        for (session in 2L..9L) {
            nowMs += 7_000
            report("m-1", session = session)
            submit(jobSpec(session.toInt(), "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
            val effects = runRound() + runRound()
            assertEquals(emptyList<String>(), logKeysIn(effects))
            released = released || effects.any { it is Effect.Release && MachineId("m-1") in it.machines }
        }
        assertTrue(released)
    }

    /** Guards against duplicates that renew a lease in the scheduler only: the worker no longer waits for their answers. */
    @Test
    fun `late duplicates of reports renew no lease, take no answer away and bring back no released machine`() {
        submit(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        report("m-1")
        runRound()
        val newest = Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, ReportPosition(1, ++seq), term, null, emptyList())
        scheduler.onReport(newest, Instant(nowMs))
        assertTrue(reportAt("m-1", 1, 1).isEmpty())
        val launches = scheduler.answerChecked(newest, Instant(nowMs))
        assertEquals(listOf("job-1"), launches.map { it.task.job.value })
        report("m-1", runningTask(1))
        // Only duplicates arrive from here on: the lease expires on time, and the task starts on another machine.
        var startedElsewhere = 0
        repeat(16) {
            nowMs += 1_000
            reportAt("m-1", 1, 1L + it % 3, runningTask(1))
            val runningTasks = if (startedElsewhere > 0) arrayOf(runningTask(1, Step(2))) else emptyArray()
            startedElsewhere += report("m-2", *runningTasks).count { it is Command.Launch }
            runRound()
        }
        assertEquals(1, startedElsewhere)
        // Duplicates from the expired session change nothing.
        reportAt("m-1", 1, 900, runningTask(1))
        assertEquals(1, scheduler.jobCounts(JobRef("job-1"))?.running)
        scheduler.onReleased(listOf(MachineId("m-1")), Instant(nowMs))
        nowMs += 300_000
        scheduler.onMachineList(emptyList(), Instant(nowMs))
        reportAt("m-1", 2, 1)
        assertEquals(null, scheduler.machinesByState()["idle"])
    }

    @Test
    fun `a late duplicate that reaches a new leader first gets no launch and does not confirm the term`() {
        submit(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        val report = Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, ReportPosition(3, 7), Term(4), null, listOf(runningTask(9)))
        scheduler.onReport(report, Instant(nowMs))
        assertTrue(scheduler.answerChecked(report, Instant(nowMs)).none { it is Command.Launch })
        assertEquals(emptyList<String>(), logKeysIn(runRound()))
        assertEquals(null, scheduler.jobCounts(JobRef("job-9")))
    }

    /** Guards against a large fleet that shrinks slowly because the write rate limits how fast idle machines are released. */
    @Test
    fun `many idle machines are released with one record and one call`() {
        for (index in 1..60) report("m-%03d".format(index))
        nowMs += 14_000
        for (index in 1..60) report("m-%03d".format(index))
        nowMs += 2_000
        for (index in 1..60) report("m-%03d".format(index))
        nowMs += 200
        scheduler.runRound(Instant(nowMs)) { true }
        val effects = scheduler.runRound(Instant(nowMs + 200)) { true } + scheduler.runRound(Instant(nowMs + 1_300)) { true }
        val puts = effects.filterIsInstance<Effect.Write>().flatMap { it.change.puts }.filter { it.first.startsWith("release/") }
        assertEquals(1, puts.size)
        assertEquals(60, (puts.single().second["machines"] as List<*>).size)
        scheduler.onWriteApplied(Revision(5_000), Instant(nowMs + 1_400))
        val released = scheduler.runRound(Instant(nowMs + 1_500)) { true }.filterIsInstance<Effect.Release>()
        assertEquals(listOf(60), released.map { it.machines.size })
    }

    /** Guards against a job that waits forever for the only machine, on which it has failed. */
    @Test
    fun `a machine on which a job has failed does not count as capacity for it`() {
        launchOnM1(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        report("m-1", ReportedTask(TaskRef(JobRef("job-1"), 0), Step(1), TaskStage.ENDED, EndCause.ERROR, false))
        var rented = false
        repeat(8) {
            nowMs += 1_000
            report("m-1")
            rented = rented || runRound().any { it is Effect.Rent }
        }
        assertTrue(rented)
    }

    /** Guards against a task that is preempted repeatedly because a task that has just restarted loses the least work. */
    @Test
    fun `a task that was preempted once is not preempted first again`() {
        launchOnM1(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        report("m-1", runningTask(1))
        nowMs += 5_000
        submit(jobSpec(2, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        report("m-1", runningTask(1))
        runRound()
        report("m-1", runningTask(1))
        report("m-1", runningTask(1), runningTask(2))

        fun jobsKilledFor(number: Int): List<String> {
            submit(jobSpec(number, "urgent", Urgency.HIGH, JobShape.GANG, halfMachine))
            return runRound().filterIsInstance<Effect.Kill>().flatMap { it.kills }.map { it.task.job.value }
        }
        // The task started last is preempted first. After its restart it is spared, although it again started last.
        assertEquals(listOf("job-2"), jobsKilledFor(3))
        report("m-1", runningTask(1), ReportedTask(TaskRef(JobRef("job-2"), 0), Step(1), TaskStage.ENDED, EndCause.STOPPED, false))
        runRound()
        report("m-1", runningTask(1))
        report("m-1", runningTask(1), runningTask(3))
        report("m-1", runningTask(1), ReportedTask(TaskRef(JobRef("job-3"), 0), Step(1), TaskStage.ENDED, EndCause.DONE, false))
        runRound()
        report("m-1", runningTask(1))
        runRound()
        report("m-1", runningTask(1))
        report("m-1", runningTask(1), runningTask(2, Step(2)))
        assertEquals(2, listOf(1, 2).sumOf { scheduler.jobCounts(JobRef("job-$it"))?.running ?: 0 })
        assertEquals(listOf("job-1"), jobsKilledFor(4))
    }

    /** Guards against urgent gangs that wait for the write rate behind older arrays of the same priority. */
    @Test
    fun `among jobs of equal priority, the one that must start sooner is placed first`() {
        submit(jobSpec(1, "c", Urgency.HIGH, JobShape.ARRAY, halfMachine).copy(tasks = 5))
        nowMs += 4_000
        submit(jobSpec(2, "urgent", Urgency.HIGH, JobShape.GANG, halfMachine))
        report("m-1")
        assertEquals("log/job-2/000000001", logKeysIn(runRound()).first())
    }

    /** Guards against jobs that cannot wait for a boot and find every machine occupied by tasks of their own priority. */
    @Test
    fun `machines are rented ahead of urgent jobs while no running task can be preempted for them`() {
        fun rentsWhileRunning(urgency: Urgency): Boolean {
            val test = SchedulerTest()
            var rented = false
            for (number in 1..4) test.submit(test.jobSpec(number, "urgent", Urgency.HIGH, JobShape.GANG, test.halfMachine))
            // One more that is cancelled immediately: it counts toward the arrival rate.
            test.submitAndCancel(test.jobSpec(7, "urgent", Urgency.HIGH, JobShape.GANG, test.halfMachine))
            for (number in 5..6) test.submit(test.jobSpec(number, "c", urgency, JobShape.ARRAY, test.halfMachine))
            repeat(5) {
                for (machine in 1..3) {
                    val jobNumbers = test.scheduler.let { _ -> test.jobNumbersByMachine["m-$machine"].orEmpty() }
                    for (command in test.report("m-$machine", *jobNumbers.map { test.runningTask(it) }.toTypedArray())) {
                        if (command is Command.Launch) {
                            test.jobNumbersByMachine
                                .getOrPut(
                                    "m-$machine",
                                ) { ArrayList() }
                                .add(
                                    command.task.job.value
                                        .removePrefix("job-")
                                        .toInt(),
                                )
                        }
                    }
                }
                val effects = test.runRound()
                if (test.jobNumbersByMachine.values.sumOf { it.size } == 6) rented = rented || effects.any { it is Effect.Rent }
                test.nowMs += 1_000
            }
            assertEquals(6, test.jobNumbersByMachine.values.sumOf { it.size })
            return rented
        }
        assertTrue(rentsWhileRunning(Urgency.HIGH))
        assertFalse(rentsWhileRunning(Urgency.STANDARD))
    }

    private val jobNumbersByMachine = HashMap<String, MutableList<Int>>()

    private fun submitAndCancel(spec: JobSpec) {
        submit(spec)
        scheduler.onJobRecord(spec.ref, JobRecord(JobStage.ABORTED, spec, nowMs), Revision(900), Instant(nowMs))
    }

    /** Guards against a leader whose watch hangs or is refused while a peer controller confirms a cancellation to the user. */
    @Test
    fun `a cancellation learned from a peer kills running tasks and withholds logged launches`() {
        launchOnM1(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        report("m-1", runningTask(1))
        submit(jobSpec(2, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        runRound()
        scheduler.onCancelled(JobRef("job-1"), Revision(700), Instant(nowMs))
        scheduler.onCancelled(JobRef("job-2"), Revision(701), Instant(nowMs))
        scheduler.onCancelled(JobRef("job-9"), Revision(702), Instant(nowMs))
        assertEquals(listOf(Command.Kill(TaskRef(JobRef("job-1"), 0), Step(1), 0.0)), report("m-1", runningTask(1)))
        // An older job record that the watch delivers later changes nothing.
        submit(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        assertEquals(emptyList<String>(), logKeysIn(runRound()))
    }

    /** A store of keys and their revisions that checks the conditions of changes. */
    private class Store {
        val revisions = HashMap<String, Long>()
        var revision = 100L

        fun commit(change: StateChange): List<String> {
            val failed = change.conditions.filter { (key, expected) -> (revisions[key] ?: 0L) != expected.value }.map { it.first }
            if (failed.isNotEmpty()) return failed
            revision++
            for ((key, _) in change.puts) revisions[key] = revision
            change.removes.forEach(revisions::remove)
            return emptyList()
        }
    }

    /**
     * Guards against a copy of a write that arrives after newer writes of the same leader. With a condition on the term
     * alone it would put back the record of a rental that was refused, and a successor would request that rental again.
     */
    @Test
    fun `a delayed copy of a write that once got no answer restores nothing`() {
        val store = Store().apply { revisions["term"] = 50 }
        submit(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        store.revisions["job/job-1"] = 1
        val copies = ArrayList<StateChange>()
        var rentalRequests = 0
        repeat(40) {
            nowMs += 700
            val effects = scheduler.runRound(Instant(nowMs)) { true }
            for (effect in effects) {
                if (effect is Effect.Write) {
                    // The first copy of each write gets no answer; the repeated one is applied.
                    copies.add(effect.change)
                    scheduler.onWriteOutcomeUnknown()
                    assertEquals(emptyList<String>(), store.commit(effect.change))
                    scheduler.onWriteApplied(Revision(store.revision), Instant(nowMs))
                    assertTrue(effect.change.puts.size + effect.change.removes.size <= 8)
                }
                if (effect is Effect.Rent) {
                    rentalRequests++
                    scheduler.onRented(effect.key, null, Instant(nowMs))
                }
            }
            val revisionsBefore = store.revisions.toMap()
            for (copy in copies.dropLast(1)) assertTrue(store.commit(copy).isNotEmpty(), "${copy.puts} ${copy.removes}")
            assertEquals(revisionsBefore, store.revisions)
        }
        assertTrue(rentalRequests > 1)
        assertTrue(copies.any { copy -> copy.removes.any { it.startsWith("rent/") } })
    }

    /** Guards against a write that is considered refused although its first, unanswered copy was applied. */
    @Test
    fun `a write whose unanswered first copy was applied counts as applied`() {
        submit(jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine))
        report("m-1")
        nowMs += 200
        val change =
            scheduler
                .runRound(Instant(nowMs)) { true }
                .filterIsInstance<Effect.Write>()
                .single()
                .change
        scheduler.onWriteOutcomeUnknown()
        assertTrue(scheduler.onWriteRefused(change.conditions.map { it.first }.filter { it.startsWith("log/") }, Instant(nowMs)))
        assertEquals(1, report("m-1").count { it is Command.Launch })
        // The next write adds a fence; the write after that has a condition on the following fence.
        val fences =
            List(2) {
                submit(jobSpec(2 + it, "c", Urgency.STANDARD, JobShape.ARRAY, Resources(1.0, 0.0, 1.0)))
                nowMs += 200
                val write =
                    scheduler
                        .runRound(Instant(nowMs)) { true }
                        .filterIsInstance<Effect.Write>()
                        .single()
                        .change
                scheduler.onWriteApplied(Revision(1_000 + nowMs), Instant(nowMs))
                write.puts.count { p -> p.first.startsWith("fence/") } to
                    write.conditions.single { p -> p.first.startsWith("fence/") }.first
            }
        assertEquals(listOf(1, 0), fences.map { it.first })
        assertEquals(2, fences.map { it.second }.toSet().size)
    }

    /**
     * Guards against a team that exceeds its limit after a change of leader: a task ended on a machine whose reports had
     * stopped, while its second attempt, on another machine that does not report, may still be running.
     */
    @Test
    fun `a successor keeps counting tasks that a finished job may still have on a machine`() {
        val finishedJob = jobSpec(1, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine)
        launchOnM1(finishedJob)
        report("m-1", runningTask(1))
        report("m-2", ReportedTask(TaskRef(finishedJob.ref, 0), Step(7), TaskStage.ENDED, EndCause.DONE, false))
        nowMs += 200
        val donePut =
            scheduler.runRound(Instant(nowMs)) { true }.filterIsInstance<Effect.Write>().single().change.puts.single {
                it.first ==
                    "job/job-1"
            }

        // The record as it is read back from the state service.
        @Suppress("UNCHECKED_CAST")
        val record = JobRecord.of(Pack.decode(Pack.encode(donePut.second)) as Map<String, Any?>)
        assertEquals(JobStage.DONE, record.stage)
        val limitedSettings = settings.copy(teams = listOf(settings.teams.single().copy(coresMax = 4.0)))
        val successor = Scheduler(limitedSettings, Term(6), Revision(60), Instant(nowMs), 0)
        successor.onMachineTypes(listOf(type))
        successor.restoreJob(finishedJob.ref, record, Revision(400))
        successor.restoreLog(
            "log/job-1/000000001",
            LogRecord(listOf(LogRecord.Assignment(MachineId("m-1"), BitSet().apply { set(0) })), BitSet()),
        )
        successor.finishRestore(Instant(nowMs))
        val waitingJob = jobSpec(2, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine)
        successor.onJobRecord(waitingJob.ref, JobRecord(JobStage.QUEUED, waitingJob, nowMs), Revision(401), Instant(nowMs))

        fun reportToSuccessor(
            id: String,
            sequence: Long,
            vararg tasks: ReportedTask,
        ): List<Command> {
            val report = Report(MachineId(id), "10.0.0.1:1", "k", "a", false, ReportPosition(1, sequence), Term(6), null, tasks.toList())
            successor.onReport(report, Instant(nowMs))
            return successor.answerChecked(report, Instant(nowMs))
        }

        fun newLogKeys(): List<String> {
            nowMs += 200
            val effects = successor.runRound(Instant(nowMs)) { true }
            if (effects.any { it is Effect.Write }) successor.onWriteApplied(Revision(2_000 + nowMs), Instant(nowMs))
            return logKeysIn(effects)
        }
        reportToSuccessor("m-3", 1)
        assertEquals(emptyList<String>(), newLogKeys())
        // Once the machine reports the task, it is told to kill it; only after that does the limit leave capacity.
        assertEquals(listOf(Command.Kill(TaskRef(finishedJob.ref, 0), Step(1), 0.0)), reportToSuccessor("m-1", 900, runningTask(1)))
        assertEquals(emptyList<String>(), newLogKeys())
        reportToSuccessor("m-1", 901)
        reportToSuccessor("m-3", 2)
        assertEquals(listOf("log/job-2/000000001"), newLogKeys())
    }

    /** Fake machines that carry out all commands; tasks of [failingJobs] fail immediately after launch. */
    private inner class FakeMachines(
        count: Int,
        private val failingJobs: Set<Int>,
    ) {
        private val tasksByMachine =
            LinkedHashMap<String, LinkedHashMap<TaskRef, ReportedTask>>().apply {
                for (index in 0 until count) put("m-$index", LinkedHashMap())
            }
        var killCount = 0
        val launchCounts = HashMap<Int, Int>()

        private fun jobNumber(task: TaskRef) =
            task.job.value
                .removePrefix("job-")
                .toInt()

        fun runningTaskCount(job: Int) =
            tasksByMachine.values.sumOf { m ->
                m.values.count {
                    jobNumber(it.task) == job &&
                        it.stage == TaskStage.RUNNING
                }
            }

        fun runRounds(count: Int) =
            repeat(count) {
                nowMs += 1_000
                for ((id, tasks) in tasksByMachine) {
                    for (command in report(id, *tasks.values.toTypedArray())) {
                        when (command) {
                            is Command.Launch -> {
                                launchCounts.merge(jobNumber(command.task), 1, Int::plus)
                                tasks[command.task] =
                                    if (jobNumber(command.task) in failingJobs) {
                                        ReportedTask(command.task, command.attempt, TaskStage.ENDED, EndCause.ERROR, false)
                                    } else {
                                        ReportedTask(command.task, command.attempt, TaskStage.RUNNING, null, false)
                                    }
                            }

                            is Command.Kill -> {
                                if (tasks.remove(command.task) != null) killCount++
                            }

                            is Command.Reap -> {
                                tasks.remove(command.task)
                            }
                        }
                    }
                }
                runRound()
            }
    }

    /**
     * Guards against harm that a job failing on every machine does to other jobs: one such gang preempted eight tasks of
     * others for each of its attempts, and two such jobs caused the release of a healthy machine.
     */
    @Test
    fun `a job that fails everywhere preempts hardly any tasks, is tried one task at a time and marks no machine as faulty`() {
        val machines = FakeMachines(6, failingJobs = setOf(1, 2, 4))
        // One small task on each machine keeps it from being released as idle.
        submit(jobSpec(8, "c", Urgency.STANDARD, JobShape.ARRAY, Resources(0.5, 0.0, 40.0)).copy(tasks = 6))
        machines.runRounds(4)
        assertEquals(6, machines.runningTaskCount(8))
        // The second job fails on the same machines: if the failures counted against them, two jobs would mark them as faulty.
        for (number in 1..2) {
            submit(jobSpec(number, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine).copy(tasks = 12))
            machines.runRounds(40)
            assertTrue(machines.launchCounts.getValue(number) in 6..16, "${machines.launchCounts}")
        }
        submit(jobSpec(3, "c", Urgency.STANDARD, JobShape.ARRAY, halfMachine).copy(tasks = 6))
        machines.runRounds(5)
        assertEquals(6, machines.runningTaskCount(3), "every machine still accepts tasks")
        assertEquals(0, machines.killCount)
        // A failing gang that may preempt other tasks does so only for its first few attempts.
        submit(jobSpec(4, "urgent", Urgency.HIGH, JobShape.GANG, halfMachine))
        machines.runRounds(150)
        assertTrue(machines.killCount in 1..4, "${machines.killCount} tasks killed")
        assertTrue(machines.launchCounts.getValue(4) in 3..12, "${machines.launchCounts}")
        assertEquals(6, machines.runningTaskCount(3))
    }
}
