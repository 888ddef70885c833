package dewwing.control.core

import dewwing.control.core.SchedulerHarness.Companion.job
import dewwing.control.core.job.ClassObjectives
import dewwing.protocol.Fields
import dewwing.protocol.JobShape
import dewwing.protocol.MalformedException
import dewwing.protocol.Objective
import dewwing.protocol.Pack
import dewwing.protocol.Team
import dewwing.protocol.Urgency
import dewwing.protocol.Wire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Deadlines order work within its priority and decide for how much of it machines are rented. */
class DeadlinesTest {
    private val aims = ClassObjectives(listOf(Objective.Deadline("c", 1.5), Objective.Deadline("c", 1.0)))

    @Test
    fun `a job is held to its deadline, then to the next aim of its class, then to the next multiple`() {
        val spec = job(1).copy(deadlineS = 100.0)
        assertEquals(100.0, aims.deadlineS(spec, ageS = 60.0, neededS = 40.0))
        assertEquals(150.0, aims.deadlineS(spec, ageS = 61.0, neededS = 40.0))
        assertEquals(600.0, aims.deadlineS(spec, ageS = 500.0, neededS = 40.0))
        assertEquals(600.0, ClassObjectives(emptyList()).deadlineS(spec, ageS = 500.0, neededS = 40.0))
        assertNull(aims.deadlineS(job(1), 0.0, 40.0))
        assertNull(aims.deadlineS(job(1).copy(deadlineS = 0.0), 0.0, 40.0))
    }

    @Test
    fun `the time by which a job is to start is finite whatever its description says`() {
        val random = Random(7)
        val amounts = listOf(0.0, 1e-300, 1.0, 90.0, 1e9, 1e300, Double.MAX_VALUE)
        repeat(2_000) {
            val spec = job(1).copy(deadlineS = (amounts + null).random(random), estimateS = amounts.random(random))
            val dueS = aims.startDueS(spec, amounts.take(5).random(random), fetchS = 3.0)
            assertTrue(dueS.isFinite() && dueS in -1e12..1e12, "$spec is due after $dueS s")
        }
    }

    @Test
    fun `of equal priority the job with the least slack starts first, and a deadline raises no priority`() {
        val harness = SchedulerHarness()
        harness.addMachine("m-1")
        val relaxed = job(1, tasks = 8).copy(deadlineS = 500.0)
        val pressing = job(2, tasks = 8).copy(deadlineS = 60.0)
        val urgent = job(3, tasks = 2, urgency = Urgency.STANDARD)
        listOf(relaxed, pressing, urgent).forEach(harness::submit)
        harness.run(4.0)
        assertEquals(listOf(2, 6, 0), listOf(urgent, pressing, relaxed).map(harness::runningTaskCount))
    }

    @Test
    fun `a deadline is a number not below 0 or none at all`() {
        val description = Pack.decodeMap(Pack.encode(Wire.encodeJobSpec(job(1)))).raw.mapKeys { it.key as String }

        fun deadlineOf(value: Any?) = Wire.decodeJobSpec(Fields(description + ("dueS" to value))).deadlineS
        assertNull(Wire.decodeJobSpec(Fields(description - "dueS")).deadlineS)
        assertNull(deadlineOf(null))
        for (good in listOf(0.0, 90.0, 1e300)) assertEquals(good, deadlineOf(good))
        for (bad in listOf(-1.0, Double.NaN, Double.POSITIVE_INFINITY, "soon", true, emptyList<Any>())) {
            assertThrows(MalformedException::class.java, { deadlineOf(bad) }, "$bad")
        }
    }

    /** Guards against damage spread over many jobs: one stopped task makes its whole job late. */
    @Test
    fun `tasks of jobs that are late already make way before those of jobs that can be in time`() {
        val harness = SchedulerHarness(objectives = listOf(Objective.Start("gangs", 20.0)))
        repeat(2) { harness.addMachine("m-$it") }
        val late = job(1, tasks = 8).copy(deadlineS = 10.0)
        harness.submit(late)
        harness.run(3.0)
        val inTime = job(2, tasks = 8).copy(deadlineS = 500.0)
        harness.submit(inTime)
        harness.run(3.0)
        assertEquals(listOf(8, 8), listOf(late, inTime).map(harness::runningTaskCount))
        harness.submit(job(3, 1, JobShape.GANG, Urgency.HIGH, accelerators = 8).copy(jobClass = "gangs"))
        harness.run(2.0)
        assertEquals(setOf(late.ref), harness.killedTasks.keys.mapTo(HashSet()) { it.job })
    }

    @Test
    fun `work within a guarantee goes where its image is when a fetch would make its start late`() {
        fun machineOfSecondTask(fetchGb: Double): Set<String> {
            val harness =
                SchedulerHarness(listOf(Team("t", 0.0, null, 100.0, null)), listOf(Objective.GuaranteedStart(5.0)))
            harness.addMachine("m-1")
            val first = job(1).copy(imageGb = fetchGb, estimateS = 1_000.0)
            harness.submit(first)
            harness.run(3.0)
            harness.addMachine("m-2")
            val fullest = job(2, tasks = 4).copy(image = "other", zone = "b")
            harness.addMachine("m-3", "b")
            harness.submit(fullest)
            harness.run(3.0)
            val second = job(3).copy(imageGb = fetchGb, estimateS = 1_000.0)
            harness.submit(second)
            harness.run(3.0)
            return harness.machinesOf(second)
        }
        // The machine left fullest is m-3; 4 GB take 4 s, which with the steps of a start is over 5 s.
        assertEquals(setOf("m-3"), machineOfSecondTask(fetchGb = 2.0))
        assertEquals(setOf("m-1"), machineOfSecondTask(fetchGb = 4.0))
    }

    @Test
    fun `machines are rented at once for a job that can't wait, and hardly any for one that can`() {
        fun orderedFor(deadlineS: Double?): Int {
            val harness = SchedulerHarness()
            harness.submit(job(1, tasks = 64).copy(deadlineS = deadlineS))
            harness.run(3.0)
            return harness.rentedMachineCount
        }
        // 40 s of run, 30 s of boot and 1 s of fetch leave time for one run after another in 2000 s, but not in 90 s.
        assertEquals(8, orderedFor(90.0))
        assertEquals(1, orderedFor(2_000.0))
    }
}
