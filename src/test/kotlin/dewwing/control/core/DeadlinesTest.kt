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

/** Deadlines order jobs of the same priority and determine how many machines are rented for them. */
class DeadlinesTest {
    private val objectives = ClassObjectives(listOf(Objective.Deadline("c", 1.5), Objective.Deadline("c", 1.0)))

    @Test
    fun `a job is due at its deadline, then at the next deadline objective of its class, then at the next multiple`() {
        val spec = job(1).copy(deadlineS = 100.0)
        assertEquals(100.0, objectives.deadlineS(spec, ageS = 60.0, neededS = 40.0))
        assertEquals(150.0, objectives.deadlineS(spec, ageS = 61.0, neededS = 40.0))
        assertEquals(600.0, objectives.deadlineS(spec, ageS = 500.0, neededS = 40.0))
        assertEquals(600.0, ClassObjectives(emptyList()).deadlineS(spec, ageS = 500.0, neededS = 40.0))
        assertNull(objectives.deadlineS(job(1), 0.0, 40.0))
        assertNull(objectives.deadlineS(job(1).copy(deadlineS = 0.0), 0.0, 40.0))
    }

    @Test
    fun `the time by which a job has to start is finite for any job description`() {
        val random = Random(7)
        val amounts = listOf(0.0, 1e-300, 1.0, 90.0, 1e9, 1e300, Double.MAX_VALUE)
        repeat(2_000) {
            val spec = job(1).copy(deadlineS = (amounts + null).random(random), estimateS = amounts.random(random))
            val startDueS = objectives.startDueS(spec, amounts.take(5).random(random), fetchS = 3.0)
            assertTrue(startDueS.isFinite() && startDueS in -1e12..1e12, "$spec has to start after $startDueS s")
        }
    }

    @Test
    fun `among jobs of equal priority the one with the least slack starts first, and a deadline does not raise priority`() {
        val harness = SchedulerHarness()
        harness.addMachine("m-1")
        val looseDeadline = job(1, tasks = 8).copy(deadlineS = 500.0)
        val tightDeadline = job(2, tasks = 8).copy(deadlineS = 60.0)
        val higherPriority = job(3, tasks = 2, urgency = Urgency.STANDARD)
        listOf(looseDeadline, tightDeadline, higherPriority).forEach(harness::submit)
        harness.run(4.0)
        assertEquals(listOf(2, 6, 0), listOf(higherPriority, tightDeadline, looseDeadline).map(harness::runningTaskCount))
    }

    @Test
    fun `a deadline is a finite number of at least 0, or absent`() {
        val description = Pack.decodeMap(Pack.encode(Wire.encodeJobSpec(job(1)))).raw.mapKeys { it.key as String }

        fun deadlineOf(value: Any?) = Wire.decodeJobSpec(Fields(description + ("dueS" to value))).deadlineS
        assertNull(Wire.decodeJobSpec(Fields(description - "dueS")).deadlineS)
        assertNull(deadlineOf(null))
        for (valid in listOf(0.0, 90.0, 1e300)) assertEquals(valid, deadlineOf(valid))
        for (invalid in listOf(-1.0, Double.NaN, Double.POSITIVE_INFINITY, "soon", true, emptyList<Any>())) {
            assertThrows(MalformedException::class.java, { deadlineOf(invalid) }, "$invalid")
        }
    }

    /** Guards against preemption that makes many jobs late: one stopped task delays its whole job. */
    @Test
    fun `tasks of jobs that are already late are preempted before those of jobs that can meet their deadline`() {
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
    fun `guaranteed work is placed where its image is cached if fetching the image would make its start late`() {
        fun machineOfSecondTask(imageGb: Double): Set<String> {
            val harness =
                SchedulerHarness(listOf(Team("t", 0.0, null, 100.0, null)), listOf(Objective.GuaranteedStart(5.0)))
            harness.addMachine("m-1")
            val first = job(1).copy(imageGb = imageGb, estimateS = 1_000.0)
            harness.submit(first)
            harness.run(3.0)
            harness.addMachine("m-2")
            val filler = job(2, tasks = 4).copy(image = "other", zone = "b")
            harness.addMachine("m-3", "b")
            harness.submit(filler)
            harness.run(3.0)
            val second = job(3).copy(imageGb = imageGb, estimateS = 1_000.0)
            harness.submit(second)
            harness.run(3.0)
            return harness.machinesOf(second)
        }
        // m-3 would have the least free capacity left. Fetching 4 GB takes 4 s, which with the other steps of a start exceeds 5 s.
        assertEquals(setOf("m-3"), machineOfSecondTask(imageGb = 2.0))
        assertEquals(setOf("m-1"), machineOfSecondTask(imageGb = 4.0))
    }

    @Test
    fun `all machines are rented at once for a job that cannot wait, and hardly any for one that can`() {
        fun machinesOrderedFor(deadlineS: Double?): Int {
            val harness = SchedulerHarness()
            harness.submit(job(1, tasks = 64).copy(deadlineS = deadlineS))
            harness.run(3.0)
            return harness.rentedMachineCount
        }
        // With a run time of 40 s, a boot of 30 s and a fetch of 1 s, tasks can run one after another within 2000 s but not within
        // 90 s.
        assertEquals(8, machinesOrderedFor(90.0))
        assertEquals(1, machinesOrderedFor(2_000.0))
    }
}
