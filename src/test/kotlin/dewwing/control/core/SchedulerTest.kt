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

/** One leader and one or two machines, step by step. */
class SchedulerTest {
    private val type = MachineType("k", Resources(8.0, 2.0, 64.0), 10.0, 1.0, 1.0, 0.5, 60.0, listOf("a"))
    private val settings = settingsOf(Duration(2_000), Duration(10_000), StateLimits(200.0, 25.0, 4096, 8), mapOf("urgent" to 10.0))
    private val term = Term(5)
    private val scheduler =
        Scheduler(settings, term, Revision(50), Instant(0), 0).also {
            it.onMachineTypes(listOf(type))
            it.onMachineList(emptyList(), Instant(0))
        }
    private var now = 0L
    private var seq = 0L

    private fun spec(
        id: Int,
        jobClass: String,
        urgency: Urgency,
        shape: JobShape,
        need: Resources,
        checkpointS: Double = 0.0,
    ) = JobSpec(
        JobRef("job-$id"),
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

    private fun submit(s: JobSpec) =
        scheduler.onJobRecord(
            s.ref,
            JobRecord(JobStage.QUEUED, s, now),
            Revision(
                s.ref.value
                    .removePrefix("job-")
                    .toLong(),
            ),
            Instant(now),
        )

    private fun report(
        id: String,
        vararg tasks: ReportedTask,
        crest: Term = term,
        session: Long = 1,
    ): List<Command> {
        val r = Report(MachineId(id), "10.0.0.1:1", "k", "a", false, ReportPosition(session, ++seq), crest, null, tasks.toList())
        scheduler.onReport(r, Instant(now))
        return scheduler.takeCommands(r, Instant(now), launchAllowed = true)
    }

    /** A round whose writes are applied at once. */
    private fun round(): List<Effect> {
        now += 200
        val effects = scheduler.runRound(Instant(now)) { true }
        if (effects.any { it is Effect.Write }) scheduler.onWriteApplied(Revision(1_000 + now), Instant(now))
        return effects
    }

    /** Submits [s] and brings it to the launch on machine m-1: placed in a round, handed out with the next report. */
    private fun launchOnM1(s: JobSpec) {
        submit(s)
        report("m-1")
        round()
        report("m-1")
    }

    private fun running(
        id: Int,
        attempt: Step = Step(1),
    ) = ReportedTask(TaskRef(JobRef("job-$id"), 0), attempt, TaskStage.RUNNING, null, false)

    private val half = Resources(4.0, 1.0, 8.0)

    @Test
    fun `nothing is launched before its log record is written, and each attempt once`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1")
        now += 200
        val write = scheduler.runRound(Instant(now)) { true }.filterIsInstance<Effect.Write>().single()
        assertTrue(write.change.puts.any { it.first.startsWith("log/job-1/") })
        assertTrue(write.change.conditions.any { it.first == "term" } && write.change.conditions.any { it.first == "job/job-1" })
        assertTrue(report("m-1").none { it is Command.Launch })
        scheduler.onWriteApplied(Revision(99), Instant(now))
        assertEquals(1, report("m-1").count { it is Command.Launch })
        assertTrue(report("m-1", running(1)).isEmpty())
    }

    @Test
    fun `a worker that has not yet seen our term is given nothing`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1", crest = Term(4))
        assertTrue(round().none { it is Effect.Write && it.change.puts.any { p -> p.first.startsWith("log/") } })
    }

    /** Guards against new machines that stand idle until their second report, as on-call saw them. */
    @Test
    fun `a machine rented by this leader gets work in the answer to its first report`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        val rent =
            generateSequence { round() }
                .take(20)
                .flatten()
                .filterIsInstance<Effect.Rent>()
                .first()
        scheduler.onRented(rent.key, listOf(MachineId("m-7")), Instant(now))
        val first = Report(MachineId("m-7"), "10.0.0.1:1", "k", "a", true, ReportPosition(1, 1), Term.NONE, null, emptyList())
        scheduler.onReport(first, Instant(now))
        assertTrue(scheduler.mayLaunchSoon(first.machine))
        round()
        val launch = scheduler.takeCommands(first, Instant(now), launchAllowed = true).filterIsInstance<Command.Launch>().single()
        assertEquals(JobRef("job-1"), launch.task.job)
    }

    /** Guards jobs that wait for a machine which never joins, and against paying for it twice as long as it takes to know. */
    @Test
    fun `a machine that does not come up is replaced once, then returned, and one that comes late is used`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        val rentedAt = ArrayList<Long>()
        val released = HashMap<String, Long>()
        while (now < 300_000) {
            for (effect in round()) {
                if (effect is Effect.Rent) {
                    rentedAt.add(now)
                    scheduler.onRented(effect.key, List(effect.request.count) { MachineId("m-${rentedAt.size}$it") }, Instant(now))
                }
                if (effect is Effect.Release) {
                    effect.machines.forEach { released[it.value] = now }
                    scheduler.onReleased(effect.machines, Instant(now))
                }
            }
        }
        val bootMs = (type.bootS * 1_000).toLong()
        assertEquals(3, rentedAt.size, "$rentedAt")
        for (gap in rentedAt.zipWithNext { a, b -> b - a }) assertTrue(gap in 2 * bootMs..2 * bootMs + 15_000, "$rentedAt")
        assertEquals(setOf("m-10"), released.keys)
        assertTrue(released.getValue("m-10") - rentedAt[0] in 4 * bootMs..4 * bootMs + 15_000, "$released")
        // The second machine, long counted out, comes after all.
        report("m-20")
        round()
        assertTrue(report("m-20").any { it is Command.Launch })
    }

    /** An order of an older leader may have been answered to that leader, which may have started tasks there. */
    @Test
    fun `a machine of an older leader's order gets nothing before it knows our term`() {
        val successor = Scheduler(settings, Term(6), Revision(60), Instant(0), 0)
        successor.onMachineTypes(listOf(type))
        val order = RentalRequest("r-500001", "k", "a", true, 1)
        successor.restoreRental("rent/500001", RentalRecord(order, null), Instant(0))
        successor.finishRestore(Instant(0))
        val rent = successor.runRound(Instant(100)) { true }.filterIsInstance<Effect.Rent>().single()
        successor.onRented(rent.key, listOf(MachineId("m-7")), Instant(200))
        val waiting = spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half)
        successor.onJobRecord(waiting.ref, JobRecord(JobStage.QUEUED, waiting, 0), Revision(1), Instant(200))
        val first = Report(MachineId("m-7"), "10.0.0.1:1", "k", "a", true, ReportPosition(1, 1), Term.NONE, null, emptyList())
        successor.onReport(first, Instant(300))
        assertFalse(successor.mayLaunchSoon(first.machine))
    }

    @Test
    fun `a finished task is forgotten by its worker only after its result is written`() {
        launchOnM1(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half).copy(tasks = 2))
        val ended = ReportedTask(TaskRef(JobRef("job-1"), 0), Step(1), TaskStage.ENDED, EndCause.DONE, false)
        val other = ReportedTask(TaskRef(JobRef("job-1"), 1), Step(1), TaskStage.RUNNING, null, false)
        assertTrue(report("m-1", ended, other).none { it is Command.Reap })
        now += 3_000
        val write = round().filterIsInstance<Effect.Write>().single()
        assertEquals(
            listOf(0, 0),
            write.change.puts
                .single()
                .second["done"],
        )
        assertEquals(1, report("m-1", ended, other).count { it is Command.Reap })
    }

    @Test
    fun `a late report says nothing and gets nothing`() {
        launchOnM1(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1", running(1))
        val late = Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, ReportPosition(1, 1), term, null, emptyList())
        scheduler.onReport(late, Instant(now))
        assertTrue(scheduler.takeCommands(late, Instant(now), true).isEmpty())
        assertEquals(1, scheduler.jobCounts(JobRef("job-1"))?.running)
    }

    /** Guards against a new leader that orders a fleet anew, since it has not yet heard the one there is. */
    @Test
    fun `a new leader orders nothing before it has read the list, and counts machines that have yet to report to it`() {
        val s = Scheduler(settings, term, Revision(50), Instant(0), 0).also { it.onMachineTypes(listOf(type)) }
        val job = spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half)
        s.restoreJob(job.ref, JobRecord(JobStage.QUEUED, job, 0), Revision(1))
        s.finishRestore(Instant(0))

        fun ordersAt(ms: Long): Boolean {
            val effects = s.runRound(Instant(ms)) { true }
            if (effects.any { it is Effect.Write }) s.onWriteApplied(Revision(1_000 + ms), Instant(ms))
            return effects.any { e -> e is Effect.Write && e.change.puts.any { it.first.startsWith("rent/") } }
        }
        assertFalse(ordersAt(500) || ordersAt(600))
        s.onMachineList(listOf(ListedMachine(MachineId("m-1"), "k", "a", false, ListedStage.RUNNING, 500.0)), Instant(1_200))
        assertFalse(ordersAt(2_000) || ordersAt(2_100))
        // It has not reported in time: it cannot be counted on any more.
        assertTrue(ordersAt(9_000) || ordersAt(9_100))
    }

    /** Guards against a slow rebuild: reports answered meanwhile keep leases alive longer than older leaders' answers. */
    @Test
    fun `a machine answered while the picture was rebuilt keeps its tasks for a lease from then`() {
        val s = Scheduler(settings, term, Revision(50), Instant(0), 0).also { it.onMachineTypes(listOf(type)) }
        val job = spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half)
        s.restoreJob(job.ref, JobRecord(JobStage.QUEUED, job, 0), Revision(1))
        s.restoreLog("log/job-1/000000007", LogRecord(listOf(LogRecord.Assignment(MachineId("m-9"), BitSet().apply { set(0) })), BitSet()))
        s.finishRestore(Instant(10_000))

        fun placesAt(ms: Long): Boolean {
            val r = Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, ReportPosition(1, ms), term, null, emptyList())
            s.onReport(r, Instant(ms))
            return s.runRound(Instant(ms)) { true }.any { e -> e is Effect.Write && e.change.puts.any { it.first.startsWith("log/") } }
        }
        assertFalse(placesAt(14_000))
        assertFalse(placesAt(20_100))
        assertTrue(placesAt(20_400))
    }

    @Test
    fun `what an older leader may have started is not started again until the worker answers to us without it`() {
        val s = Scheduler(settings, term, Revision(50), Instant(0), 0).also { it.onMachineTypes(listOf(type)) }
        val job = spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half)
        s.restoreJob(job.ref, JobRecord(JobStage.QUEUED, job, 0), Revision(1))
        s.restoreLog("log/job-1/000000007", LogRecord(listOf(LogRecord.Assignment(MachineId("m-9"), BitSet().apply { set(0) })), BitSet()))
        s.finishRestore(Instant(0))

        fun tell(
            crest: Term,
            n: Long,
        ) = s.onReport(
            Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, ReportPosition(1, n), crest, null, emptyList()),
            Instant(n * 1_000),
        )

        fun places() = s.runRound(Instant(now)) { true }.any { e -> e is Effect.Write && e.change.puts.any { it.first.startsWith("log/") } }
        tell(term, 1)
        for (t in 1..12) {
            now = t * 1_000L
            tell(term, t + 1L)
            assertFalse(places(), "at $now")
        }
        now = 14_000
        tell(term, 20)
        // The older leader's bound, the lease and its drift are over: the silent machine has killed what it had.
        assertTrue(places())
    }

    @Test
    fun `a job that cannot wait for a boot stops the cheapest work of lower priority and gets the room`() {
        launchOnM1(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        now += 60_000
        submit(spec(2, "c", Urgency.STANDARD, JobShape.ARRAY, half, checkpointS = 10.0))
        seq = 100
        report("m-1", running(1))
        round()
        report("m-1", running(1))
        report("m-1", running(1), running(2))
        submit(spec(3, "urgent", Urgency.HIGH, JobShape.GANG, half))
        val kills = round().filterIsInstance<Effect.Kill>().flatMap { it.kills }
        // Job 2 can save; job 1 would lose a minute.
        assertEquals(listOf("job-2"), kills.map { it.task.job.value })
        assertEquals(2.0, kills.single().graceS)
        submit(spec(4, "c", Urgency.HIGH, JobShape.ARRAY, half))
        report("m-1", running(1))
        round()
        val launched = report("m-1", running(1)).filterIsInstance<Command.Launch>()
        assertEquals(listOf("job-3"), launched.map { it.task.job.value })
    }

    private fun withGuarantee(
        guaranteed: Double,
        block: (Scheduler) -> Unit,
    ) {
        val teams = listOf(Team("t", 0.0, null, guaranteed, null), Team("guest", 0.0, null, 0.0, null))
        val s = Scheduler(settings.copy(teams = teams), term, Revision(50), Instant(0), 0)
        s.onMachineTypes(listOf(type))
        block(s)
    }

    /** Tasks killed on a machine that a guest's work fills once [job] of team "t" waits there. */
    private fun stoppedFor(
        job: JobSpec,
        guest: JobSpec,
        guaranteed: Double,
    ): List<TaskRef> {
        val killed = ArrayList<TaskRef>()
        withGuarantee(guaranteed) { s ->
            fun submit(j: JobSpec) =
                s.onJobRecord(
                    j.ref,
                    JobRecord(JobStage.QUEUED, j, now),
                    Revision(
                        j.ref.value
                            .removePrefix("job-")
                            .toLong(),
                    ),
                    Instant(now),
                )

            fun turn(vararg tasks: ReportedTask): List<Command> {
                now += 500
                val r = Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, ReportPosition(1, ++seq), term, null, tasks.toList())
                s.onReport(r, Instant(now))
                val effects = s.runRound(Instant(now)) { true }
                if (effects.any { it is Effect.Write }) s.onWriteApplied(Revision(1_000 + now), Instant(now))
                killed += effects.filterIsInstance<Effect.Kill>().flatMap { it.kills }.map { it.task }
                return s.takeCommands(r, Instant(now), launchAllowed = true)
            }
            submit(guest)
            turn()
            turn()
            val guests = Array(guest.tasks) { ReportedTask(TaskRef(guest.ref, it), Step(1), TaskStage.RUNNING, null, false) }
            turn(*guests)
            submit(job)
            now += 3_000
            repeat(4) { turn(*guests) }
        }
        return killed
    }

    /** Guards a team's guarantee against a guest whose idle-time work fills every machine (visitors on kuulda-cast-ops). */
    @Test
    fun `work within a guarantee takes places from guests that lose little, and no more than it needs`() {
        fun guest(
            urgency: Urgency,
            checkpointS: Double,
        ) = spec(1, "g", urgency, JobShape.ARRAY, Resources(2.0, 0.0, 8.0), checkpointS).copy(team = "guest", tasks = 4)

        val job = spec(2, "c", Urgency.STANDARD, JobShape.ARRAY, half)
        assertEquals(2, stoppedFor(job, guest(Urgency.LOW, 30.0), guaranteed = 2.0).toSet().size)
        assertEquals(emptyList<TaskRef>(), stoppedFor(job, guest(Urgency.LOW, 30.0), guaranteed = 0.0))
        assertEquals(emptyList<TaskRef>(), stoppedFor(job, guest(Urgency.LOW, 0.0), guaranteed = 2.0))
        assertEquals(emptyList<TaskRef>(), stoppedFor(job, guest(Urgency.STANDARD, 30.0), guaranteed = 2.0))
    }

    @Test
    fun `a cancelled job's tasks are killed at once and never launched`() {
        val job = spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half).copy(tasks = 2)
        launchOnM1(job)
        val second = ReportedTask(TaskRef(JobRef("job-1"), 1), Step(1), TaskStage.RUNNING, null, false)
        report("m-1", running(1), second)
        scheduler.onJobRecord(job.ref, JobRecord(JobStage.ABORTED, job, 0), Revision(200), Instant(now))
        val kills = scheduler.runRound(Instant(now)) { true }.filterIsInstance<Effect.Kill>().flatMap { it.kills }
        assertEquals(2, kills.size)
        assertTrue(report("m-1", running(1)).any { it is Command.Kill })
    }

    @Test
    fun `a change of another term's leader is refused and ends the term`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1")
        now += 200
        assertTrue(scheduler.runRound(Instant(now)) { true }.any { it is Effect.Write })
        assertFalse(scheduler.onWriteRefused(listOf("term"), Instant(now)))
    }

    @Test
    fun `a budget that is used up ends the round, and the next goes on`() {
        for (i in 1..30) submit(spec(i, "c", Urgency.STANDARD, JobShape.ARRAY, Resources(0.1, 0.0, 0.1)))
        report("m-1")
        val placed = HashSet<String>()
        repeat(60) {
            now += 1_000
            report("m-1")
            var left = 3
            for (e in scheduler.runRound(Instant(now)) { left-- > 0 }) {
                if (e !is Effect.Write) continue
                val jobs =
                    e.change.puts
                        .map { it.first }
                        .filter { it.startsWith("log/") }
                        .map { it.substringBeforeLast('/') }
                assertTrue(jobs.size <= 3, "$jobs")
                placed.addAll(jobs)
                scheduler.onWriteApplied(Revision(1_000 + now), Instant(now))
            }
        }
        assertEquals(30, placed.size)
    }

    /** A report at a position of its own choice, as a late copy has it. */
    private fun copy(
        id: String,
        session: Long,
        seq: Long,
        vararg tasks: ReportedTask,
    ): List<Command> {
        val r = Report(MachineId(id), "10.0.0.1:1", "k", "a", false, ReportPosition(session, seq), term, null, tasks.toList())
        scheduler.onReport(r, Instant(now))
        return scheduler.takeCommands(r, Instant(now), launchAllowed = true)
    }

    private fun logsIn(effects: List<Effect>) =
        effects
            .filterIsInstance<Effect.Write>()
            .flatMap { it.change.puts }
            .map { it.first }
            .filter { it.startsWith("log/") }

    /** Guards against placing on a machine for ever whose reports come while our answers do not reach it. */
    @Test
    fun `a machine that does not hear us gets nothing more until it does, and is returned if that lasts`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1")
        round()
        assertEquals(1, report("m-1").count { it is Command.Launch })
        // The launch never shows: the answer that carried it was lost.
        now += 2_000
        report("m-1")
        assertEquals(emptyList<String>(), logsIn(round()))
        // It comes back after giving up on us and asking the others: its stream has gone on elsewhere.
        now += 5_000
        seq += 2
        report("m-1")
        assertEquals(emptyList<String>(), logsIn(round()))
        // One more message, next in its stream and in time: it heard our answer.
        now += 1_000
        report("m-1")
        assertEquals(listOf("log/job-1/000000002"), logsIn(round()))
    }

    @Test
    fun `a machine whose lease runs out though it is answered does not hear us and is returned`() {
        scheduler.onMachineTypes(listOf(type))
        report("m-1")
        now += 3_000
        report("m-1")
        var returned = false
        for (session in 2L..9L) {
            now += 7_000
            report("m-1", session = session)
            submit(spec(session.toInt(), "c", Urgency.STANDARD, JobShape.ARRAY, half))
            val effects = round() + round()
            assertEquals(emptyList<String>(), logsIn(effects))
            returned = returned || effects.any { it is Effect.Release && MachineId("m-1") in it.machines }
        }
        assertTrue(returned)
    }

    /** Guards against copies that renew a lease in our books: the worker dropped their answers long ago. */
    @Test
    fun `late copies renew no lease, take no answer away and bring no returned machine back`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1")
        round()
        val newest = Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, ReportPosition(1, ++seq), term, null, emptyList())
        scheduler.onReport(newest, Instant(now))
        assertTrue(copy("m-1", 1, 1).isEmpty())
        val launches = scheduler.takeCommands(newest, Instant(now), launchAllowed = true)
        assertEquals(listOf("job-1"), launches.map { it.task.job.value })
        report("m-1", running(1))
        // Only copies from now on: the lease lapses on time, and the task starts elsewhere.
        var startedElsewhere = 0
        repeat(16) {
            now += 1_000
            copy("m-1", 1, 1L + it % 3, running(1))
            val held = if (startedElsewhere > 0) arrayOf(running(1, Step(2))) else emptyArray()
            startedElsewhere += report("m-2", *held).count { it is Command.Launch }
            round()
        }
        assertEquals(1, startedElsewhere)
        // Copies of the lapsed session bring nothing back.
        copy("m-1", 1, 900, running(1))
        assertEquals(1, scheduler.jobCounts(JobRef("job-1"))?.running)
        scheduler.onReleased(listOf(MachineId("m-1")), Instant(now))
        now += 300_000
        scheduler.onMachineList(emptyList(), Instant(now))
        copy("m-1", 2, 1)
        assertEquals(null, scheduler.machinesByState()["idle"])
    }

    @Test
    fun `a late copy that reaches a new leader first gives no start and settles nothing`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        val r = Report(MachineId("m-1"), "10.0.0.1:1", "k", "a", false, ReportPosition(3, 7), Term(4), null, listOf(running(9)))
        scheduler.onReport(r, Instant(now))
        assertTrue(scheduler.takeCommands(r, Instant(now), launchAllowed = true).none { it is Command.Launch })
        assertEquals(emptyList<String>(), logsIn(round()))
        assertEquals(null, scheduler.jobCounts(JobRef("job-9")))
    }

    /** Guards against the change rate deciding how fast a fleet shrinks (steady day of kestrel-crashdesk-grown). */
    @Test
    fun `many idle machines are returned with one record and one call`() {
        for (i in 1..60) report("m-%03d".format(i))
        now += 14_000
        for (i in 1..60) report("m-%03d".format(i))
        now += 2_000
        for (i in 1..60) report("m-%03d".format(i))
        now += 200
        scheduler.runRound(Instant(now)) { true }
        val write = scheduler.runRound(Instant(now + 200)) { true } + scheduler.runRound(Instant(now + 1_300)) { true }
        val puts = write.filterIsInstance<Effect.Write>().flatMap { it.change.puts }.filter { it.first.startsWith("release/") }
        assertEquals(1, puts.size)
        assertEquals(60, (puts.single().second["machines"] as List<*>).size)
        scheduler.onWriteApplied(Revision(5_000), Instant(now + 1_400))
        val released = scheduler.runRound(Instant(now + 1_500)) { true }.filterIsInstance<Effect.Release>()
        assertEquals(listOf(60), released.map { it.machines.size })
    }

    /** Guards against a job that waits for ever for the one machine on which it has failed. */
    @Test
    fun `a machine on which a job has failed does not count as room for it`() {
        launchOnM1(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1", ReportedTask(TaskRef(JobRef("job-1"), 0), Step(1), TaskStage.ENDED, EndCause.ERROR, false))
        var rented = false
        repeat(8) {
            now += 1_000
            report("m-1")
            rented = rented || round().any { it is Effect.Rent }
        }
        assertTrue(rented)
    }

    /** Guards against a task that is stopped time after time, since one that has just begun again loses the least. */
    @Test
    fun `a task that has made way once is not the first to be stopped again`() {
        launchOnM1(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1", running(1))
        now += 5_000
        submit(spec(2, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1", running(1))
        round()
        report("m-1", running(1))
        report("m-1", running(1), running(2))

        fun victims(id: Int): List<String> {
            submit(spec(id, "urgent", Urgency.HIGH, JobShape.GANG, half))
            return round().filterIsInstance<Effect.Kill>().flatMap { it.kills }.map { it.task.job.value }
        }
        // The youngest makes way first; run again, it is spared, though it is the youngest once more.
        assertEquals(listOf("job-2"), victims(3))
        report("m-1", running(1), ReportedTask(TaskRef(JobRef("job-2"), 0), Step(1), TaskStage.ENDED, EndCause.STOPPED, false))
        round()
        report("m-1", running(1))
        report("m-1", running(1), running(3))
        report("m-1", running(1), ReportedTask(TaskRef(JobRef("job-3"), 0), Step(1), TaskStage.ENDED, EndCause.DONE, false))
        round()
        report("m-1", running(1))
        round()
        report("m-1", running(1))
        report("m-1", running(1), running(2, Step(2)))
        assertEquals(2, listOf(1, 2).sumOf { scheduler.jobCounts(JobRef("job-$it"))?.running ?: 0 })
        assertEquals(listOf("job-1"), victims(4))
    }

    /** Guards against urgent gangs that wait for the change rate behind older arrays of their own priority. */
    @Test
    fun `of equal priority, what is to start sooner is placed first`() {
        submit(spec(1, "c", Urgency.HIGH, JobShape.ARRAY, half).copy(tasks = 5))
        now += 4_000
        submit(spec(2, "urgent", Urgency.HIGH, JobShape.GANG, half))
        report("m-1")
        assertEquals("log/job-2/000000001", logsIn(round()).first())
    }

    /** Guards against jobs that cannot wait for a boot finding every machine held by work of their own priority. */
    @Test
    fun `machines are rented ahead of urgent jobs while nothing that runs would make way for them`() {
        fun rentsWhileRunning(urgency: Urgency): Boolean {
            val s = SchedulerTest()
            var rented = false
            for (id in 1..4) s.submit(s.spec(id, "urgent", Urgency.HIGH, JobShape.GANG, s.half))
            // One more, over at once: it counts for the rate.
            s.cancelled(s.spec(7, "urgent", Urgency.HIGH, JobShape.GANG, s.half))
            for (id in 5..6) s.submit(s.spec(id, "c", urgency, JobShape.ARRAY, s.half))
            repeat(5) {
                for (m in 1..3) {
                    val held = s.scheduler.let { _ -> s.onMachine["m-$m"].orEmpty() }
                    for (c in s.report("m-$m", *held.map { s.running(it) }.toTypedArray())) {
                        if (c is Command.Launch) {
                            s.onMachine
                                .getOrPut(
                                    "m-$m",
                                ) { ArrayList() }
                                .add(
                                    c.task.job.value
                                        .removePrefix("job-")
                                        .toInt(),
                                )
                        }
                    }
                }
                val effects = s.round()
                if (s.onMachine.values.sumOf { it.size } == 6) rented = rented || effects.any { it is Effect.Rent }
                s.now += 1_000
            }
            assertEquals(6, s.onMachine.values.sumOf { it.size })
            return rented
        }
        assertTrue(rentsWhileRunning(Urgency.HIGH))
        assertFalse(rentsWhileRunning(Urgency.STANDARD))
    }

    private val onMachine = HashMap<String, MutableList<Int>>()

    private fun cancelled(s: JobSpec) {
        submit(s)
        scheduler.onJobRecord(s.ref, JobRecord(JobStage.ABORTED, s, now), Revision(900), Instant(now))
    }

    /** Guards against a leader whose watch hangs or is refused while a sibling tells users that their job is cancelled. */
    @Test
    fun `a cancellation heard of elsewhere kills what runs and keeps back what was logged`() {
        launchOnM1(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1", running(1))
        submit(spec(2, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        round()
        scheduler.onCancelled(JobRef("job-1"), Revision(700), Instant(now))
        scheduler.onCancelled(JobRef("job-2"), Revision(701), Instant(now))
        scheduler.onCancelled(JobRef("job-9"), Revision(702), Instant(now))
        assertEquals(listOf(Command.Kill(TaskRef(JobRef("job-1"), 0), Step(1), 0.0)), report("m-1", running(1)))
        // What the watch still brings of before changes nothing.
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        assertEquals(emptyList<String>(), logsIn(round()))
    }

    /** A store that knows keys and revisions, for changes whose copies come late. */
    private class Store {
        val keys = HashMap<String, Long>()
        var tide = 100L

        fun carryOut(c: StateChange): List<String> {
            val failed = c.conditions.filter { (k, r) -> (keys[k] ?: 0L) != r.value }.map { it.first }
            if (failed.isNotEmpty()) return failed
            tide++
            for ((k, _) in c.puts) keys[k] = tide
            c.removes.forEach(keys::remove)
            return emptyList()
        }
    }

    /**
     * Guards against a copy of a change that comes after newer ones of the same leader: a condition on the term alone
     * would let it put back the record of a rental that was refused, which a successor would order again.
     */
    @Test
    fun `a late copy of a change that went unanswered once puts nothing back`() {
        val store = Store().apply { keys["term"] = 50 }
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        store.keys["job/job-1"] = 1
        val copies = ArrayList<StateChange>()
        var asked = 0
        repeat(40) {
            now += 700
            val effects = scheduler.runRound(Instant(now)) { true }
            for (e in effects) {
                if (e is Effect.Write) {
                    // Each first copy stays silent; the repeat is carried out.
                    copies.add(e.change)
                    scheduler.onWriteOutcomeUnknown()
                    assertEquals(emptyList<String>(), store.carryOut(e.change))
                    scheduler.onWriteApplied(Revision(store.tide), Instant(now))
                    assertTrue(e.change.puts.size + e.change.removes.size <= 8)
                }
                if (e is Effect.Rent) {
                    asked++
                    scheduler.onRented(e.key, null, Instant(now))
                }
            }
            val before = store.keys.toMap()
            for (c in copies.dropLast(1)) assertTrue(store.carryOut(c).isNotEmpty(), "${c.puts} ${c.removes}")
            assertEquals(before, store.keys)
        }
        assertTrue(asked > 1)
        assertTrue(copies.any { c -> c.removes.any { it.startsWith("rent/") } })
    }

    /** Guards against a change taken for refused although its first, unanswered copy was carried out. */
    @Test
    fun `a change whose first copy was carried out counts as written`() {
        submit(spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half))
        report("m-1")
        now += 200
        val change =
            scheduler
                .runRound(Instant(now)) { true }
                .filterIsInstance<Effect.Write>()
                .single()
                .change
        scheduler.onWriteOutcomeUnknown()
        assertTrue(scheduler.onWriteRefused(change.conditions.map { it.first }.filter { it.startsWith("log/") }, Instant(now)))
        assertEquals(1, report("m-1").count { it is Command.Launch })
        // The fence goes up with the next change, and the one after that stands on the next.
        val fences =
            List(2) {
                submit(spec(2 + it, "c", Urgency.STANDARD, JobShape.ARRAY, Resources(1.0, 0.0, 1.0)))
                now += 200
                val c =
                    scheduler
                        .runRound(Instant(now)) { true }
                        .filterIsInstance<Effect.Write>()
                        .single()
                        .change
                scheduler.onWriteApplied(Revision(1_000 + now), Instant(now))
                c.puts.count { p -> p.first.startsWith("fence/") } to c.conditions.single { p -> p.first.startsWith("fence/") }.first
            }
        assertEquals(listOf(1, 0), fences.map { it.first })
        assertEquals(2, fences.map { it.second }.toSet().size)
    }

    /**
     * Guards a team's limit across a change of leader: a task that ended on a machine long unheard had been started anew
     * on another, which cannot be asked.
     */
    @Test
    fun `a successor goes on counting what a finished job may still have on a machine`() {
        val wide = spec(1, "c", Urgency.STANDARD, JobShape.ARRAY, half)
        launchOnM1(wide)
        report("m-1", running(1))
        report("m-2", ReportedTask(TaskRef(wide.ref, 0), Step(7), TaskStage.ENDED, EndCause.DONE, false))
        now += 200
        val done =
            scheduler.runRound(Instant(now)) { true }.filterIsInstance<Effect.Write>().single().change.puts.single {
                it.first ==
                    "job/job-1"
            }

        // As it comes back from the state service.
        @Suppress("UNCHECKED_CAST")
        val record = JobRecord.of(Pack.decode(Pack.encode(done.second)) as Map<String, Any?>)
        assertEquals(JobStage.DONE, record.stage)
        val tight = settings.copy(teams = listOf(settings.teams.single().copy(coresMax = 4.0)))
        val next = Scheduler(tight, Term(6), Revision(60), Instant(now), 0)
        next.onMachineTypes(listOf(type))
        next.restoreJob(wide.ref, record, Revision(400))
        next.restoreLog(
            "log/job-1/000000001",
            LogRecord(listOf(LogRecord.Assignment(MachineId("m-1"), BitSet().apply { set(0) })), BitSet()),
        )
        next.finishRestore(Instant(now))
        val other = spec(2, "c", Urgency.STANDARD, JobShape.ARRAY, half)
        next.onJobRecord(other.ref, JobRecord(JobStage.QUEUED, other, now), Revision(401), Instant(now))

        fun ask(
            id: String,
            beat: Long,
            vararg tasks: ReportedTask,
        ): List<Command> {
            val r = Report(MachineId(id), "10.0.0.1:1", "k", "a", false, ReportPosition(1, beat), Term(6), null, tasks.toList())
            next.onReport(r, Instant(now))
            return next.takeCommands(r, Instant(now), launchAllowed = true)
        }

        fun logged(): List<String> {
            now += 200
            val effects = next.runRound(Instant(now)) { true }
            if (effects.any { it is Effect.Write }) next.onWriteApplied(Revision(2_000 + now), Instant(now))
            return logsIn(effects)
        }
        ask("m-3", 1)
        assertEquals(emptyList<String>(), logged())
        // Heard of at last, it is told to end; only then is there room under the limit.
        assertEquals(listOf(Command.Kill(TaskRef(wide.ref, 0), Step(1), 0.0)), ask("m-1", 900, running(1)))
        assertEquals(emptyList<String>(), logged())
        ask("m-1", 901)
        ask("m-3", 2)
        assertEquals(listOf("log/job-2/000000001"), logged())
    }

    /** Machines that do as they are told; starts of [mistaken] jobs fail at once. */
    private inner class Machines(
        count: Int,
        private val mistaken: Set<Int>,
    ) {
        private val held =
            LinkedHashMap<String, LinkedHashMap<TaskRef, ReportedTask>>().apply {
                for (i in 0 until count) put("m-$i", LinkedHashMap())
            }
        var kills = 0
        val starts = HashMap<Int, Int>()

        private fun number(task: TaskRef) =
            task.job.value
                .removePrefix("job-")
                .toInt()

        fun running(job: Int) = held.values.sumOf { m -> m.values.count { number(it.task) == job && it.stage == TaskStage.RUNNING } }

        fun turns(n: Int) =
            repeat(n) {
                now += 1_000
                for ((id, tasks) in held) {
                    for (c in report(id, *tasks.values.toTypedArray())) {
                        when (c) {
                            is Command.Launch -> {
                                starts.merge(number(c.task), 1, Int::plus)
                                tasks[c.task] =
                                    if (number(c.task) in mistaken) {
                                        ReportedTask(c.task, c.attempt, TaskStage.ENDED, EndCause.ERROR, false)
                                    } else {
                                        ReportedTask(c.task, c.attempt, TaskStage.RUNNING, null, false)
                                    }
                            }

                            is Command.Kill -> {
                                if (tasks.remove(c.task) != null) kills++
                            }

                            is Command.Reap -> {
                                tasks.remove(c.task)
                            }
                        }
                    }
                }
                round()
            }
    }

    /**
     * Guards what others pay for jobs that fail on every machine (incident inc-de13 of kuulda-cast-ops): one mistaken gang
     * stopped eight tasks of others for each of its tries, and two such jobs had a sound machine returned.
     */
    @Test
    fun `a job that fails everywhere makes no room, is tried one task at a time and condemns no machine`() {
        val machines = Machines(6, mistaken = setOf(1, 2, 4))
        // One small task on each machine keeps it from being returned.
        submit(spec(8, "c", Urgency.STANDARD, JobShape.ARRAY, Resources(0.5, 0.0, 40.0)).copy(tasks = 6))
        machines.turns(4)
        assertEquals(6, machines.running(8))
        // The second meets the same machines: blamed on them, two failed jobs would make them faulty.
        for (id in 1..2) {
            submit(spec(id, "c", Urgency.STANDARD, JobShape.ARRAY, half).copy(tasks = 12))
            machines.turns(40)
            assertTrue(machines.starts.getValue(id) in 6..16, "${machines.starts}")
        }
        submit(spec(3, "c", Urgency.STANDARD, JobShape.ARRAY, half).copy(tasks = 6))
        machines.turns(5)
        assertEquals(6, machines.running(3), "every machine still takes work")
        assertEquals(0, machines.kills)
        // A mistaken gang that may stop others' work does so for its first few tries only.
        submit(spec(4, "urgent", Urgency.HIGH, JobShape.GANG, half))
        machines.turns(150)
        assertTrue(machines.kills in 1..4, "${machines.kills} tasks stopped")
        assertTrue(machines.starts.getValue(4) in 3..12, "${machines.starts}")
        assertEquals(6, machines.running(3))
    }
}
