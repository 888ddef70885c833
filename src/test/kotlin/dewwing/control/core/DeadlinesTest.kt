package dewwing.control.core

import dewwing.control.core.SchedulerHarness.Companion.job
import dewwing.control.core.job.ClassAims
import dewwing.protocol.Objective
import dewwing.protocol.Urgency
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Deadlines order work within its priority and decide for how much of it machines are rented. */
class DeadlinesTest {
    private val aims = ClassAims(listOf(Objective.Deadline("c", 1.5), Objective.Deadline("c", 1.0)))

    @Test
    fun `a job is held to its deadline, then to the next aim of its class, then to the next multiple`() {
        val spec = job(1).copy(deadlineS = 100.0)
        assertEquals(100.0, aims.deadlineS(spec, ageS = 60.0, neededS = 40.0))
        assertEquals(150.0, aims.deadlineS(spec, ageS = 61.0, neededS = 40.0))
        assertEquals(600.0, aims.deadlineS(spec, ageS = 500.0, neededS = 40.0))
        assertEquals(600.0, ClassAims(emptyList()).deadlineS(spec, ageS = 500.0, neededS = 40.0))
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
        assertEquals(listOf(2, 6, 0), listOf(urgent, pressing, relaxed).map(harness::running))
    }

    @Test
    fun `machines are rented at once for a job that can't wait, and hardly any for one that can`() {
        fun orderedFor(deadlineS: Double?): Int {
            val harness = SchedulerHarness()
            harness.submit(job(1, tasks = 64).copy(deadlineS = deadlineS))
            harness.run(3.0)
            return harness.ordered
        }
        // 40 s of run, 30 s of boot and 1 s of fetch leave time for one run after another in 2000 s, but not in 90 s.
        assertEquals(8, orderedFor(90.0))
        assertEquals(1, orderedFor(2_000.0))
    }
}
