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
import dewwing.control.core.placement.PlacementConstraints
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

    private val tenSecondLease = WorkerTimes(Duration(2_000), Duration(10_000), Duration(30_000), Duration(6_000), Duration(30_000))

    private fun newLeadership() = Leadership(LeadershipTimes.of(tenSecondLease, Duration(2_500), Duration(2_500)), setOf("b", "c"))

    private fun Leadership.elected(
        term: Term,
        leaseSentAt: Instant,
        readAt: Instant,
    ) {
        elected(term, leaseSentAt)
        jobsRead(readAt)
    }

    /** Receives a heartbeat that was requested and arrived at [ms]. */
    private fun Leadership.receiveHeartbeat(
        peer: String,
        ms: Long,
        reachesState: Boolean,
        term: Long = 3,
        incarnation: Long = 1,
        hasAllCancellations: Boolean = true,
    ) = onHeartbeat(peer, PeerHeartbeat(at(ms), reachesState, Term(term), Incarnation(incarnation), hasAllCancellations), at(ms))

    @Test
    fun `a leader has full authority while its state lease is valid, counted from when the renewal was sent`() {
        val leadership = newLeadership()
        assertEquals(Authority.NONE, leadership.authority(at(0), false))
        leadership.elected(Term(3), at(1_000))
        assertEquals(Authority.FULL, leadership.authority(at(3_249), false))
        assertEquals(Authority.NONE, leadership.authority(at(3_250), false))
        leadership.stateLeaseRenewed(at(3_000))
        assertEquals(Authority.FULL, leadership.authority(at(3_300), false))
    }

    @Test
    fun `after its state lease expires a leader renews worker leases only while no peer reaches the state service either`() {
        val leadership = newLeadership()
        leadership.elected(Term(3), at(0), readAt = at(2_000))
        leadership.receiveHeartbeat("b", 2_000, false)
        leadership.receiveHeartbeat("c", 2_000, false)
        assertEquals(Authority.RENEW_ONLY, leadership.authority(at(2_400), true))
        leadership.receiveHeartbeat("b", 3_000, true)
        assertEquals(Authority.NONE, leadership.authority(at(3_100), true))
        // A later heartbeat must not restore the authority: a peer may have been elected in between.
        leadership.receiveHeartbeat("b", 3_200, false)
        assertEquals(Authority.NONE, leadership.authority(at(3_300), true))
        // A renewal proves that the state lease never expired.
        leadership.stateLeaseRenewed(at(3_300))
        assertEquals(Authority.FULL, leadership.authority(at(3_400), false))
    }

    @Test
    fun `the outage rule ends at the maximum age of a silent peer's heartbeat, and all authority at once with a higher term`() {
        val leadership = newLeadership()
        leadership.elected(Term(3), at(0), readAt = at(2_200))
        leadership.receiveHeartbeat("b", 2_000, false)
        leadership.receiveHeartbeat("c", 2_200, false)
        assertEquals(Authority.RENEW_ONLY, leadership.authority(at(4_500), true))
        assertEquals(Authority.NONE, leadership.authority(at(4_501), true))
        val superseded = newLeadership()
        superseded.elected(Term(3), at(0))
        superseded.receiveHeartbeat("c", 100, true, term = 4)
        assertEquals(Authority.NONE, superseded.authority(at(200), false))
    }

    /** Guards against an owner that acts in full, or for long, beside the successor that its holder record names. */
    @Test
    fun `a leader that has offered its term only renews worker leases, while the holder record is known to name it`() {
        val leadership = newLeadership()
        leadership.elected(Term(3), at(0))
        leadership.offerSuccession(at(500))
        assertEquals(Authority.RENEW_ONLY, leadership.authority(at(600), false))
        // The state lease outlives the successor's election, so its renewal proves nothing.
        leadership.stateLeaseRenewed(at(2_000))
        assertEquals(Authority.RENEW_ONLY, leadership.authority(at(2_249), false))
        assertEquals(Authority.NONE, leadership.authority(at(2_250), false))
        leadership.holderRecordRead(at(2_300))
        assertEquals(Authority.RENEW_ONLY, leadership.authority(at(4_799), false))
        assertEquals(Authority.NONE, leadership.authority(at(4_800), false))
        leadership.holderRecordRead(at(4_900))
        leadership.observeTerm(Term(4))
        assertEquals(Authority.NONE, leadership.authority(at(4_901), false))
    }

    @Test
    fun `a withdrawn offer leaves the leader the authority of its state lease`() {
        val leadership = newLeadership()
        leadership.elected(Term(3), at(0))
        leadership.offerSuccession(at(100))
        leadership.stateLeaseRenewed(at(2_000))
        leadership.holderRecordRead(at(2_500))
        leadership.successionWithdrawn()
        assertEquals(Authority.FULL, leadership.authority(at(4_249), false))
        assertEquals(Authority.NONE, leadership.authority(at(4_250), false))
        leadership.stateLeaseRenewed(at(4_300))
        leadership.holderRecordRead(at(6_000))
        assertEquals(Authority.NONE, leadership.authority(at(6_550), false), "reads of the record count only while it is offered")
    }

    @Test
    fun `an offer outlasts an outage under the outage rule, and ends with a heartbeat that shows the successor's term`() {
        val leadership = newLeadership()
        leadership.elected(Term(3), at(0), readAt = at(2_000))
        leadership.offerSuccession(at(100))
        leadership.holderRecordRead(at(200))
        for (ms in 2_000L..8_000L step 500) {
            leadership.receiveHeartbeat("b", ms, false)
            leadership.receiveHeartbeat("c", ms, false)
            assertEquals(Authority.RENEW_ONLY, leadership.authority(at(ms), true), "at $ms ms")
        }
        leadership.receiveHeartbeat("b", 8_500, false, term = 4)
        assertEquals(Authority.NONE, leadership.authority(at(8_500), true))
    }

    /**
     * Guards against a leader that loses the state service before its peers do and, once they have lost it too, keeps
     * tasks alive although a peer has confirmed the cancellation of their jobs to users.
     */
    @Test
    fun `in an outage a leader has authority only if every peer sends all cancellations that it confirmed to users`() {
        fun inOutage(prepare: Leadership.() -> Unit): Authority {
            val leadership = newLeadership()
            leadership.receiveHeartbeat("b", 100, true)
            leadership.receiveHeartbeat("c", 100, true)
            leadership.elected(Term(3), at(1_000), readAt = at(1_200))
            leadership.prepare()
            return leadership.authority(at(5_000), true)
        }

        fun Leadership.heartbeats(
            hasAllCancellations: Boolean = true,
            incarnation: Long = 1,
        ) {
            receiveHeartbeat("b", 4_800, false, hasAllCancellations = hasAllCancellations, incarnation = incarnation)
            receiveHeartbeat("c", 4_900, false)
        }
        assertEquals(Authority.RENEW_ONLY, inOutage { heartbeats() })
        // A heartbeat whose list of cancellations is incomplete does not count.
        assertEquals(Authority.NONE, inOutage { heartbeats(hasAllCancellations = false) })
        // A peer that restarted no longer knows which cancellations it confirmed to users ...
        assertEquals(Authority.NONE, inOutage { heartbeats(incarnation = 2) })
        // ... but a read of the jobs that was requested after the restart includes them.
        assertEquals(
            Authority.RENEW_ONLY,
            inOutage {
                receiveHeartbeat("b", 1_500, true, incarnation = 2)
                jobsRead(at(1_500))
                heartbeats(incarnation = 2)
            },
        )
        assertEquals(
            Authority.NONE,
            inOutage {
                receiveHeartbeat("b", 1_500, true, incarnation = 2)
                jobsRead(at(1_499))
                heartbeats(incarnation = 2)
            },
        )
        // In a new term the leader has to read the jobs again.
        assertEquals(
            Authority.NONE,
            inOutage {
                elected(Term(3), at(2_000))
                heartbeats()
            },
        )
    }

    /**
     * Guards against a leader with a peer down that does not know of recent cancellations between the answers of its own
     * watches, and turns its workers away until their leases expire. In a check of real processes with a lease of 6 s, all
     * of a job's 8 tasks were running while the job was shown as "queued".
     */
    @Test
    fun `watches without a change keep a leader up to date on cancellations if the settings leave two seconds`() {
        val random = Random(3)
        repeat(300) {
            val leaseMs = random.nextLong(2_000, 25_000)
            val cancellationLimitMs = leaseMs + leaseMs / 1_000 + 1_250 + random.nextLong(2_000, 20_000)
            val times =
                LeadershipTimes.of(
                    tenSecondLease.copy(leaseDuration = Duration(leaseMs), cancellationLimit = Duration(cancellationLimitMs)),
                    Duration(2_500),
                    Duration(2_500),
                )
            val leadership = Leadership(times, setOf("b", "c"))
            leadership.elected(Term(3), at(0), readAt = at(0))
            var sentMs = 0L
            repeat(20) {
                val answeredMs = sentMs + times.watchInterval.ms + random.nextLong(5, 450)
                assertTrue(
                    leadership.knowsCancellations(at(answeredMs)),
                    "lease $leaseMs ms, cancellation limit $cancellationLimitMs ms, read every ${times.watchInterval.ms} ms",
                )
                leadership.jobsRead(at(sentMs))
                sentMs = answeredMs + random.nextLong(0, 50)
            }
            assertTrue(times.watchesSuffice)
        }
    }

    /** Guards against a watch that hangs while the state lease is renewed, and against a leader that has not restored its state. */
    @Test
    fun `a leader with an old read of the jobs knows cancellations only through the heartbeats of all its peers`() {
        val leadership = newLeadership()
        leadership.elected(Term(3), at(0))
        assertFalse(leadership.knowsCancellations(at(10)))
        assertFalse(leadership.mayLaunchTasks(at(10)))
        leadership.jobsRead(at(1_000))
        assertTrue(leadership.knowsCancellations(at(9_000)))
        assertFalse(leadership.knowsCancellations(at(9_001)))
        leadership.receiveHeartbeat("b", 900, true)
        leadership.receiveHeartbeat("c", 900, true)
        leadership.receiveHeartbeat("b", 9_000, true)
        assertFalse(leadership.knowsCancellations(at(9_001)))
        leadership.receiveHeartbeat("c", 9_000, true)
        assertTrue(leadership.knowsCancellations(at(9_001)))
        assertFalse(leadership.mayLaunchTasks(at(9_001)))
        assertFalse(leadership.knowsCancellations(at(11_501)))
    }

    /**
     * Checks the times derived from any settings: the last renewal that a leader can give before it learns of a
     * cancellation, plus a worker lease on a slow clock, ends within the cancellation limit. The same holds for a
     * predecessor's last renewal followed by one of a new leader that has not restored its state.
     */
    @Test
    fun `a worker lease renewed without knowledge of a cancellation expires within the cancellation limit for any settings`() {
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
            val leaseMs = workers.leaseDuration.ms * 1.0005
            if (times.maxHeartbeatAge.ms > 0) assertTrue(times.maxHeartbeatAge.ms + leaseMs < workers.cancellationLimit.ms, "$workers")
            if (times.maxReadAge.ms > 0) assertTrue(times.maxReadAge.ms + leaseMs < workers.cancellationLimit.ms, "$workers")
            if (times.mayRenewBeforeRestore) assertTrue(times.maxReadAge.ms + 2 * leaseMs < workers.cancellationLimit.ms, "$workers")
        }
        val shortLease = LeadershipTimes.of(tenSecondLease, Duration(2_500), Duration(2_500))
        assertTrue(shortLease.mayRenewBeforeRestore)
        assertEquals(Duration(2_500), shortLease.maxHeartbeatAge)
        // Two leases of 22 s do not fit into 42 s.
        val longLease =
            LeadershipTimes.of(
                WorkerTimes(Duration(4_000), Duration(22_000), Duration(1), Duration(1), Duration(42_000)),
                Duration(2_500),
                Duration(2_500),
            )
        assertFalse(longLease.mayRenewBeforeRestore)
        assertEquals(Duration(8_000), longLease.maxReadAge)
        val withoutMargin =
            Leadership(
                LeadershipTimes.of(tenSecondLease.copy(cancellationLimit = Duration(10_000)), Duration(2_500), Duration(2_500)),
                setOf("b"),
            )
        withoutMargin.receiveHeartbeat("b", 1_000, false)
        withoutMargin.elected(Term(3), at(0), readAt = at(1_000))
        withoutMargin.receiveHeartbeat("b", 2_999, false)
        assertEquals(Authority.NONE, withoutMargin.authority(at(3_000), true))
    }

    @Test
    fun `confirmed cancellations newer than any revision are listed, or no list is given once some were evicted`() {
        val random = Random(5)
        val confirmed = ConfirmedCancellations(limit = 20)
        val recorded = ArrayList<Cancellation>()
        repeat(200) {
            // Recorded out of order, and again by later reads.
            val cancellation = Cancellation(JobRef("job-$it"), Revision(it * 3L + random.nextLong(0, 30)))
            recorded.add(cancellation)
            confirmed.record(cancellation)
            confirmed.record(recorded[random.nextInt(recorded.size)])
            val knownRevision = Revision(random.nextLong(0, 700))
            val expected = recorded.filter { a -> a.revision > knownRevision }.toSet()
            val listed = confirmed.newerThan(knownRevision)
            if (listed == null) assertTrue(expected.size > 0 && recorded.size > 20) else assertEquals(expected, listed.toSet())
        }
        assertEquals(null, confirmed.newerThan(Revision(0)))
        assertEquals(emptyList<Cancellation>(), confirmed.newerThan(Revision(700)))
    }

    /**
     * Guards the leases of workers whose reports do not reach the leader but would reach a peer. A worker turns to another
     * controller 4 s after a report plus a pause of one second, so another controller has to lead by then; otherwise the
     * worker is redirected to the old leader.
     */
    @Test
    fun `a leader that no worker reaches hands over before workers turn to another controller, unless it has few machines`() {
        fun ticksUntilHandOver(
            machines: Int,
            peersHeard: Boolean,
            reportInterval: Duration = Duration(2_000),
            ticksPerReport: Int = 0,
        ): Int? {
            val detector = WorkerSilenceDetector(reportInterval, Duration(10_000))
            for (tick in 1..100) {
                if (ticksPerReport > 0 && tick % ticksPerReport == 0) detector.onWorkerReport()
                if (detector.tick(machines, peersHeard)) return tick
            }
            return null
        }
        assertEquals(13, ticksUntilHandOver(machines = 20, peersHeard = true))
        assertEquals(26, ticksUntilHandOver(machines = 20, peersHeard = false))
        assertEquals(null, ticksUntilHandOver(machines = 2, peersHeard = true))
        assertEquals(null, ticksUntilHandOver(machines = 0, peersHeard = true), "a new leader that has received no reports")
        assertEquals(null, ticksUntilHandOver(machines = 20, peersHeard = true, ticksPerReport = 8))
        for (reportMs in 1_000L..2_000L step 250) {
            val handOverTick = ticksUntilHandOver(machines = 20, peersHeard = true, reportInterval = Duration(reportMs))
            assertTrue(handOverTick != null && handOverTick * WorkerSilenceDetector.TICK_INTERVAL.ms < 4_000, "$reportMs: $handOverTick")
        }
    }

    @Test
    fun `a token bucket never grants more than its rate and burst`() {
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
        number: Int,
        zone: String = "a",
    ) = Machine(MachineId("m-$number"), at(0)).also {
        it.type = type
        it.zone = zone
    }

    private fun fill(
        machine: Machine,
        job: Job,
        tasks: IntRange,
    ) {
        for (task in tasks) machine.attach(Attempt(job, task, Step(1), machine, AttemptPhase.REPORTED))
    }

    @Test
    fun `each task is placed on the machine that it leaves with the least free capacity`() {
        val machines = List(3) { machine(it) }
        fill(machines[1], Job(spec(9), Revision(1), 0), 0..1)
        val placed = Placer.place(Job(spec(3), Revision(1), 0), machines, 3)
        assertEquals(machines[1], placed[0].target)
        assertEquals(2, placed[0].count)
        assertEquals(1, placed[1].count)
    }

    @Test
    fun `a gang is placed completely or not at all, and in one zone if it requires that`() {
        val machines = listOf(machine(0, "a"), machine(1, "b"))
        assertTrue(Placer.place(Job(spec(9, JobShape.GANG), Revision(1), 0), machines, 9).isEmpty())
        assertEquals(8, Placer.place(Job(spec(8, JobShape.GANG), Revision(1), 0), machines, 8).sumOf { it.count })
        assertTrue(Placer.place(Job(spec(8, JobShape.GANG, oneZone = true), Revision(1), 0), machines, 8).isEmpty())
        val placed = Placer.place(Job(spec(4, JobShape.GANG, oneZone = true), Revision(1), 0), machines, 4)
        assertEquals(1, placed.map { it.target.zone }.toSet().size)
    }

    @Test
    fun `a spread job has at most half of its tasks, rounded up, in a zone, counting tasks that may still run there`() {
        val machines = listOf(machine(0, "a"), machine(1, "a"), machine(2, "b"))
        val job = Job(spec(5, spread = true), Revision(1), 0)
        val sentAttempt = Attempt(job, 0, Step(1), machines[0], AttemptPhase.SENT)
        job.attach(sentAttempt)
        machines[0].attach(sentAttempt)
        val placed = Placer.place(job, machines, 4)
        val placedInA = placed.filter { it.target.zone == "a" }.sumOf { it.count }
        assertEquals(2, placedInA)
        assertEquals(2, placed.filter { it.target.zone == "b" }.sumOf { it.count })
    }

    /** Guards spread jobs through a change of leader: logged tasks may be on machines that have not reported to the new leader yet. */
    @Test
    fun `tasks on machines whose zone is unknown count in every zone`() {
        val machines = listOf(machine(0, "a"), machine(1, "b"))
        val job = Job(spec(5, spread = true), Revision(1), 0)
        val unreportedMachine = Machine(MachineId("m-9"), at(0))
        for (task in 0..1) {
            Attempt(job, task, Step(1), unreportedMachine, AttemptPhase.INHERITED).let {
                job.attach(it)
                unreportedMachine.attach(it)
            }
        }
        val placed = Placer.place(job, machines, 3)
        assertEquals(mapOf("a" to 1, "b" to 1), placed.associate { it.target.zone to it.count })
        // A job that requires one zone must not start more tasks while the zone of its first task is unknown.
        val singleZoneJob = Job(spec(5, oneZone = true), Revision(1), 0)
        singleZoneJob.attach(Attempt(singleZoneJob, 0, Step(1), unreportedMachine, AttemptPhase.INHERITED))
        assertTrue(Placer.place(singleZoneJob, machines, 4).isEmpty())
    }

    @Test
    fun `machines with accelerators are avoided for tasks without accelerators while other types suffice`() {
        val withoutAccelerators = type.copy(name = "p", size = Resources(4.0, 0.0, 32.0))
        assertEquals(listOf("p"), PlacementConstraints.preferredTypes(spec(1), listOf(type, withoutAccelerators)).map { it.name })
        assertEquals(
            listOf(
                "k",
            ),
            PlacementConstraints.preferredTypes(spec(1).copy(need = Resources(6.0, 0.0, 1.0)), listOf(type, withoutAccelerators)).map {
                it.name
            },
        )
    }

    @Test
    fun `team limits are enforced and guarantees go to the earliest jobs`() {
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

    /** The core only decides; I/O, the clock and randomness belong to the adapters around it. */
    @Test
    fun `the core uses no input or output, clock or randomness`() {
        val banned =
            Regex(
                """\b(java\.net|java\.io|java\.nio|io\.ktor|okio|kotlinx\.coroutines|System\.|Random|Thread|Clock|kotlin\.time|java\.time)\b""",
            )
        val files = File("src/main/kotlin/dewwing/control/core").walkTopDown().filter { it.extension == "kt" }.toList()
        assertTrue(files.size > 5)
        for (file in files) {
            for ((index, line) in file.readLines().withIndex()) {
                assertFalse(
                    banned.containsMatchIn(line.substringBefore("//").takeIf { !it.trim().startsWith("*") } ?: ""),
                    "${file.name}:${index + 1}: $line",
                )
            }
        }
        // Shows that the pattern matches a forbidden call.
        assertTrue(banned.containsMatchIn("val t = System.nanoTime()"))
    }
}
