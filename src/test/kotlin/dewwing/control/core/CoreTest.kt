package dewwing.control.core

import dewwing.control.core.fleet.Machine
import dewwing.control.core.job.Attempt
import dewwing.control.core.job.AttemptPhase
import dewwing.control.core.job.Job
import dewwing.control.core.leadership.Authority
import dewwing.control.core.leadership.Cancellation
import dewwing.control.core.leadership.ConfirmedCancellations
import dewwing.control.core.leadership.Leadership
import dewwing.control.core.leadership.LeadershipTimes
import dewwing.control.core.leadership.PeerHeartbeat
import dewwing.control.core.leadership.WorkerSilenceDetector
import dewwing.control.core.placement.Placer
import dewwing.control.core.quota.Quota
import dewwing.protocol.Duration
import dewwing.protocol.Incarnation
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.Resources
import dewwing.protocol.Revision
import dewwing.protocol.Step
import dewwing.protocol.Team
import dewwing.protocol.Term
import dewwing.protocol.Urgency
import dewwing.protocol.WorkerTimes
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File
import kotlin.random.Random

class CoreTest {
    private fun at(ms: Long) = Instant(ms)

    private val leaseOf10 = WorkerTimes(Duration(2_000), Duration(10_000), Duration(30_000), Duration(6_000), Duration(30_000))

    private fun leadership() = Leadership(LeadershipTimes.of(leaseOf10, Duration(2_500), Duration(2_500)), setOf("b", "c"))

    private fun Leadership.elected(
        term: Term,
        at: Instant,
        readAt: Instant,
    ) {
        elected(term, at)
        jobsRead(readAt)
    }

    /** A heartbeat that was said and came in at [ms]. */
    private fun Leadership.hear(
        name: String,
        ms: Long,
        reaches: Boolean,
        term: Long = 3,
        life: Long = 1,
        hasAllCancellations: Boolean = true,
    ) = onHeartbeat(name, PeerHeartbeat(at(ms), reaches, Term(term), Incarnation(life), hasAllCancellations), at(ms))

    @Test
    fun `a leader acts while its hold runs, counted from when the renewal was sent`() {
        val l = leadership()
        assertEquals(Authority.NONE, l.authority(at(0), false))
        l.elected(Term(3), at(1_000))
        assertEquals(Authority.FULL, l.authority(at(3_249), false))
        assertEquals(Authority.NONE, l.authority(at(3_250), false))
        l.stateLeaseRenewed(at(3_000))
        assertEquals(Authority.FULL, l.authority(at(3_300), false))
    }

    @Test
    fun `past its hold it renews leases only while every sibling is cut from the state service too`() {
        val l = leadership()
        l.elected(Term(3), at(0), readAt = at(2_000))
        l.hear("b", 2_000, false)
        l.hear("c", 2_000, false)
        assertEquals(Authority.RENEW_ONLY, l.authority(at(2_400), true))
        l.hear("b", 3_000, true)
        assertEquals(Authority.NONE, l.authority(at(3_100), true))
        // One good heartbeat later must not restore it: somebody may have been elected in between.
        l.hear("b", 3_200, false)
        assertEquals(Authority.NONE, l.authority(at(3_300), true))
        // A renewal proves that the hold never ended.
        l.stateLeaseRenewed(at(3_300))
        assertEquals(Authority.FULL, l.authority(at(3_400), false))
    }

    @Test
    fun `a silent sibling ends the exception within the age of its heartbeat, a higher term at once`() {
        val l = leadership()
        l.elected(Term(3), at(0), readAt = at(2_200))
        l.hear("b", 2_000, false)
        l.hear("c", 2_200, false)
        assertEquals(Authority.RENEW_ONLY, l.authority(at(4_500), true))
        assertEquals(Authority.NONE, l.authority(at(4_501), true))
        val m = leadership()
        m.elected(Term(3), at(0))
        m.hear("c", 100, true, term = 4)
        assertEquals(Authority.NONE, m.authority(at(200), false))
    }

    /**
     * Guards against a leader that, refused by the state service alone and then like everybody, keeps the tasks of jobs
     * alive that a sibling has told their users are cancelled.
     */
    @Test
    fun `an outage leaves a leader no authority unless every sibling tells all it told its users`() {
        fun inOutage(prepare: Leadership.() -> Unit): Authority {
            val l = leadership()
            l.hear("b", 100, true)
            l.hear("c", 100, true)
            l.elected(Term(3), at(1_000), readAt = at(1_200))
            l.prepare()
            return l.authority(at(5_000), true)
        }

        fun Leadership.heartbeats(
            b: Boolean = true,
            life: Long = 1,
        ) {
            hear("b", 4_800, false, hasAllCancellations = b, life = life)
            hear("c", 4_900, false)
        }
        assertEquals(Authority.RENEW_ONLY, inOutage { heartbeats() })
        // A list that does not fit is no heartbeat.
        assertEquals(Authority.NONE, inOutage { heartbeats(b = false) })
        // A sibling that restarted has forgotten what it told its users ...
        assertEquals(Authority.NONE, inOutage { heartbeats(life = 2) })
        // ... which a reading that was asked for later has shown.
        assertEquals(
            Authority.RENEW_ONLY,
            inOutage {
                hear("b", 1_500, true, life = 2)
                jobsRead(at(1_500))
                heartbeats(life = 2)
            },
        )
        assertEquals(
            Authority.NONE,
            inOutage {
                hear("b", 1_500, true, life = 2)
                jobsRead(at(1_499))
                heartbeats(life = 2)
            },
        )
        // A new term has to read the jobs itself.
        assertEquals(
            Authority.NONE,
            inOutage {
                elected(Term(3), at(2_000))
                heartbeats()
            },
        )
    }

    /**
     * Guards against a leader with a sibling down that is uninformed between the answers of its own quiet watches: it sent
     * its workers away until their leases ran out (check of real processes: lease of 6 s, 8 of 8 tasks run, job "queued").
     */
    @Test
    fun `quiet watches alone keep a leader informed where the settings leave two seconds`() {
        val random = Random(3)
        repeat(300) {
            val lease = random.nextLong(2_000, 25_000)
            val cancel = lease + lease / 1_000 + 1_250 + random.nextLong(2_000, 20_000)
            val times =
                LeadershipTimes.of(
                    leaseOf10.copy(leaseDuration = Duration(lease), cancellationLimit = Duration(cancel)),
                    Duration(2_500),
                    Duration(2_500),
                )
            val l = Leadership(times, setOf("b", "c"))
            l.elected(Term(3), at(0), readAt = at(0))
            var asked = 0L
            repeat(20) {
                val answered = asked + times.watchInterval.ms + random.nextLong(5, 450)
                assertTrue(
                    l.knowsCancellations(at(answered)),
                    "lease $lease ms, cancel $cancel ms, reading every ${times.watchInterval.ms} ms",
                )
                l.jobsRead(at(asked))
                asked = answered + random.nextLong(0, 50)
            }
            assertTrue(times.watchesSuffice)
        }
    }

    /** Guards against a watch that hangs while the hold is renewed, and against a leader that has not read its picture. */
    @Test
    fun `a leader whose reading of the jobs is old is informed only by the heartbeats of all its siblings`() {
        val l = leadership()
        l.elected(Term(3), at(0))
        assertFalse(l.knowsCancellations(at(10)))
        assertFalse(l.mayLaunchTasks(at(10)))
        l.jobsRead(at(1_000))
        assertTrue(l.knowsCancellations(at(9_000)))
        assertFalse(l.knowsCancellations(at(9_001)))
        l.hear("b", 900, true)
        l.hear("c", 900, true)
        l.hear("b", 9_000, true)
        assertFalse(l.knowsCancellations(at(9_001)))
        l.hear("c", 9_000, true)
        assertTrue(l.knowsCancellations(at(9_001)))
        assertFalse(l.mayLaunchTasks(at(9_001)))
        assertFalse(l.knowsCancellations(at(11_501)))
    }

    /**
     * The arithmetic over settings: the last renewal that a leader can give without having heard of a cancellation,
     * plus a lease on a slow clock, lies within the time that a cancellation has; so does a chain of a predecessor's
     * last one and a successor's without a picture.
     */
    @Test
    fun `a lease given in ignorance runs out within the time of a cancellation, whatever the settings`() {
        val random = Random(11)
        repeat(2_000) {
            val workers =
                WorkerTimes(
                    Duration(random.nextLong(500, 6_000)),
                    Duration(random.nextLong(1_000, 60_000)),
                    Duration(1),
                    Duration(1),
                    Duration(random.nextLong(1_000, 120_000)),
                )
            val times = LeadershipTimes.of(workers, Duration(random.nextLong(1_000, 8_000)), Duration(2_500))
            val lease = workers.leaseDuration.ms * 1.0005
            if (times.maxHeartbeatAge.ms > 0) assertTrue(times.maxHeartbeatAge.ms + lease < workers.cancellationLimit.ms, "$workers")
            if (times.maxReadAge.ms > 0) assertTrue(times.maxReadAge.ms + lease < workers.cancellationLimit.ms, "$workers")
            if (times.mayRenewBeforeRestore) assertTrue(times.maxReadAge.ms + 2 * lease < workers.cancellationLimit.ms, "$workers")
        }
        val short = LeadershipTimes.of(leaseOf10, Duration(2_500), Duration(2_500))
        assertTrue(short.mayRenewBeforeRestore)
        assertEquals(Duration(2_500), short.maxHeartbeatAge)
        // Two leases of 22 s do not fit into 42 s.
        val long =
            LeadershipTimes.of(
                WorkerTimes(Duration(4_000), Duration(22_000), Duration(1), Duration(1), Duration(42_000)),
                Duration(2_500),
                Duration(2_500),
            )
        assertFalse(long.mayRenewBeforeRestore)
        assertEquals(Duration(8_000), long.maxReadAge)
        val none =
            Leadership(
                LeadershipTimes.of(leaseOf10.copy(cancellationLimit = Duration(10_000)), Duration(2_500), Duration(2_500)),
                setOf("b"),
            )
        none.hear("b", 1_000, false)
        none.elected(Term(3), at(0), readAt = at(1_000))
        none.hear("b", 2_999, false)
        assertEquals(Authority.NONE, none.authority(at(3_000), true))
    }

    @Test
    fun `told cancellations are listed from any revision on, or not at all once some were dropped`() {
        val random = Random(5)
        val confirmed = ConfirmedCancellations(limit = 20)
        val all = ArrayList<Cancellation>()
        repeat(200) {
            // Noted out of order, and again by later reads.
            val c = Cancellation(JobRef("job-$it"), Revision(it * 3L + random.nextLong(0, 30)))
            all.add(c)
            confirmed.record(c)
            confirmed.record(all[random.nextInt(all.size)])
            val known = Revision(random.nextLong(0, 700))
            val newer = all.filter { a -> a.revision > known }.toSet()
            val list = confirmed.newerThan(known)
            if (list == null) assertTrue(newer.size > 0 && all.size > 20) else assertEquals(newer, list.toSet())
        }
        assertEquals(null, confirmed.newerThan(Revision(0)))
        assertEquals(emptyList<Cancellation>(), confirmed.newerThan(Revision(700)))
    }

    /**
     * Guards the leases of workers that only the leader cannot hear: they turn elsewhere 4 s and a second's pause after a
     * report, so that somebody else has to lead by then, and must not be sent back.
     */
    @Test
    fun `a leader that no worker reaches hands over before they turn elsewhere, one that few have left does not`() {
        fun ticksUntil(
            machines: Int,
            siblings: Boolean,
            report: Duration = Duration(2_000),
            reportEvery: Int = 0,
        ): Int? {
            val watch = WorkerSilenceDetector(report, Duration(10_000))
            for (n in 1..100) {
                if (reportEvery > 0 && n % reportEvery == 0) watch.onWorkerReport()
                if (watch.tick(machines, siblings)) return n
            }
            return null
        }
        assertEquals(13, ticksUntil(machines = 20, siblings = true))
        assertEquals(26, ticksUntil(machines = 20, siblings = false))
        assertEquals(null, ticksUntil(machines = 2, siblings = true))
        assertEquals(null, ticksUntil(machines = 0, siblings = true), "a new leader that has heard nobody")
        assertEquals(null, ticksUntil(machines = 20, siblings = true, reportEvery = 8))
        for (reportMs in 1_000L..2_000L step 250) {
            val handsOverAt = ticksUntil(machines = 20, siblings = true, report = Duration(reportMs))
            assertTrue(handsOverAt != null && handsOverAt * WorkerSilenceDetector.TICK_INTERVAL.ms < 4_000, "$reportMs: $handsOverAt")
        }
    }

    @Test
    fun `a token bucket never gives more than its rate and burst`() {
        val random = Random(7)
        val bucket = TokenBucket(10.0, 5.0)
        var now = 0L
        var taken = 0
        while (now < 60_000) {
            now += random.nextLong(1, 200)
            while (bucket.tryTake(at(now), 1.0)) taken++
        }
        assertTrue(taken <= 5 + 600 + 1, "$taken")
        assertTrue(taken > 500, "$taken")
    }

    private val type = MachineType("k", Resources(8.0, 2.0, 64.0), 10.0, 1.0, 1.0, 0.5, 10.0, listOf("a", "b"))

    private fun spec(
        tasks: Int,
        shape: JobShape = JobShape.ARRAY,
        oneZone: Boolean = false,
        spread: Boolean = false,
    ) = JobSpec(
        JobRef("job-1"),
        "c",
        "t",
        shape,
        Urgency.HIGH,
        tasks,
        Resources(2.0, 0.0, 4.0),
        "i",
        1.0,
        null,
        null,
        oneZone,
        spread,
        true,
        10.0,
        0.0,
        0.0,
        null,
    )

    private fun machine(
        n: Int,
        zone: String = "a",
    ) = Machine(MachineId("m-$n"), at(0)).also {
        it.type = type
        it.zone = zone
    }

    private fun fill(
        m: Machine,
        job: Job,
        tasks: IntRange,
    ) {
        for (t in tasks) m.attach(Attempt(job, t, Step(1), m, AttemptPhase.REPORTED))
    }

    @Test
    fun `each task goes to the machine it leaves fullest`() {
        val machines = List(3) { machine(it) }
        fill(machines[1], Job(spec(9), Revision(1), 0), 0..1)
        val placed = Placer.place(Job(spec(3), Revision(1), 0), machines, 3)
        assertEquals(machines[1], placed[0].machine)
        assertEquals(2, placed[0].count)
        assertEquals(1, placed[1].count)
    }

    @Test
    fun `a gang is placed whole or not at all, in one zone when it must be`() {
        val machines = listOf(machine(0, "a"), machine(1, "b"))
        assertTrue(Placer.place(Job(spec(9, JobShape.GANG), Revision(1), 0), machines, 9).isEmpty())
        assertEquals(8, Placer.place(Job(spec(8, JobShape.GANG), Revision(1), 0), machines, 8).sumOf { it.count })
        assertTrue(Placer.place(Job(spec(8, JobShape.GANG, oneZone = true), Revision(1), 0), machines, 8).isEmpty())
        val placed = Placer.place(Job(spec(4, JobShape.GANG, oneZone = true), Revision(1), 0), machines, 4)
        assertEquals(1, placed.map { it.machine.zone }.toSet().size)
    }

    @Test
    fun `a spread job keeps to half a zone, counting tasks that may still be there`() {
        val machines = listOf(machine(0, "a"), machine(1, "a"), machine(2, "b"))
        val job = Job(spec(5, spread = true), Revision(1), 0)
        val held = Attempt(job, 0, Step(1), machines[0], AttemptPhase.SENT)
        job.attach(held)
        machines[0].attach(held)
        val placed = Placer.place(job, machines, 4)
        val inA = placed.filter { it.machine.zone == "a" }.sumOf { it.count }
        assertEquals(2, inA)
        assertEquals(2, placed.filter { it.machine.zone == "b" }.sumOf { it.count })
    }

    /** Guards a spread job through a change of leader: what its log names may be on machines that nobody has heard of yet. */
    @Test
    fun `tasks on machines whose zone is not known count in every zone`() {
        val machines = listOf(machine(0, "a"), machine(1, "b"))
        val job = Job(spec(5, spread = true), Revision(1), 0)
        val unheard = Machine(MachineId("m-9"), at(0))
        for (t in 0..1) {
            Attempt(job, t, Step(1), unheard, AttemptPhase.INHERITED).let {
                job.attach(it)
                unheard.attach(it)
            }
        }
        val placed = Placer.place(job, machines, 3)
        assertEquals(mapOf("a" to 1, "b" to 1), placed.associate { it.machine.zone to it.count })
        // Nor may a job that must stay in one zone begin in another.
        val together = Job(spec(5, oneZone = true), Revision(1), 0)
        together.attach(Attempt(together, 0, Step(1), unheard, AttemptPhase.INHERITED))
        assertTrue(Placer.place(together, machines, 4).isEmpty())
    }

    @Test
    fun `machines with accelerators are left to those that need them while others would do`() {
        val plain = type.copy(name = "p", size = Resources(4.0, 0.0, 32.0))
        assertEquals(listOf("p"), Placer.preferredTypes(spec(1), listOf(type, plain)).map { it.name })
        assertEquals(listOf("k"), Placer.preferredTypes(spec(1).copy(need = Resources(6.0, 0.0, 1.0)), listOf(type, plain)).map { it.name })
    }

    @Test
    fun `team limits hold and guarantees go to the earliest jobs`() {
        val quota = Quota(listOf(Team("t", 4.0, 8.0, 0.0, null)))
        val jobs = List(3) { Job(spec(1).copy(ref = JobRef("job-$it")), Revision(1), it.toLong()) }
        assertEquals(4, quota.taskHeadroom(jobs[0].spec))
        repeat(3) { quota.add(jobs[0]) }
        assertEquals(1, quota.taskHeadroom(jobs[0].spec))
        quota.remove(jobs[0])
        assertEquals(2, quota.taskHeadroom(jobs[0].spec))
        assertEquals(jobs.take(2).toSet(), quota.jobsWithinGuarantee(jobs))
        assertFalse(quota.canEverRun(spec(5, JobShape.GANG)))
        assertFalse(quota.hasTeam("x"))
    }

    /** The core decides; only the adapters round it may touch the world, the clock or chance. */
    @Test
    fun `the core has no input or output, clock or randomness`() {
        val banned =
            Regex(
                """\b(java\.net|java\.io|java\.nio|io\.ktor|okio|kotlinx\.coroutines|System\.|Random|Thread|Clock|kotlin\.time|java\.time)\b""",
            )
        val files = File("src/main/kotlin/dewwing/control/core").walkTopDown().filter { it.extension == "kt" }.toList()
        assertTrue(files.size > 5)
        for (f in files) {
            for ((n, line) in f.readLines().withIndex()) {
                assertFalse(
                    banned.containsMatchIn(line.substringBefore("//").takeIf { !it.trim().startsWith("*") } ?: ""),
                    "${f.name}:${n + 1}: $line",
                )
            }
        }
        // The check can fail:
        assertTrue(banned.containsMatchIn("val t = System.nanoTime()"))
    }
}
