package dewwing.control.core

import dewwing.control.core.SchedulerHarness.Companion.job
import dewwing.protocol.JobShape
import dewwing.protocol.Objective
import dewwing.protocol.Team
import dewwing.protocol.Urgency
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Gangs of whole machines among small tasks, on a cloud that has no machine left (rose-hill-vision: 0.16 of the gangs
 * began within 50 s, since a machine had to become free of small tasks by chance).
 */
class WholeMachineGangsTest {
    private val twoTeams = listOf("t", "other").map { Team(it, 0.0, null, 0.0, null) }

    private fun wholeMachines(
        id: Int,
        machines: Int,
    ) = job(id, machines, JobShape.GANG, Urgency.HIGH, accelerators = 8).copy(jobClass = "gangs", oneZone = true, spot = false)

    @Test
    fun `a gang whose aim a slow boot would miss stops lower work that can save, and gets the machines`() {
        val harness = SchedulerHarness(objectives = listOf(Objective.Start("gangs", 50.0)))
        repeat(2) { harness.addMachine("m-$it") }
        val filler = job(1, tasks = 16)
        harness.submit(filler)
        harness.run(5.0)
        assertEquals(16, harness.runningTaskCount(filler))
        val gang = wholeMachines(2, 2)
        harness.submit(gang)
        // A slow boot takes 45 s and the image 1 s, so there is time for one at first.
        harness.run(3.0)
        assertEquals(emptySet<Any>(), harness.killedTasks.keys)
        harness.run(6.0)
        assertEquals(16, harness.killedTasks.size)
        assertTrue(harness.killedTasks.values.all { it >= filler.saveS }, "all of them may save")
        assertEquals(2, harness.runningTaskCount(gang))
    }

    @Test
    fun `a gang without an aim does not wait for a free machine beyond a few minutes either`() {
        val harness = SchedulerHarness()
        harness.addMachine("m-1")
        harness.submit(job(1, tasks = 8))
        harness.run(5.0)
        val gang = wholeMachines(2, 1)
        harness.submit(gang)
        harness.run(130.0)
        assertEquals(1, harness.runningTaskCount(gang))
    }

    @Test
    fun `a lower gang is stopped whole, with time to save, and only once its start counts`() {
        val harness = SchedulerHarness(twoTeams, listOf(Objective.Start("gangs", 20.0)))
        repeat(2) { harness.addMachine("m-$it") }
        val lower = job(1, 2, JobShape.GANG, Urgency.STANDARD, accelerators = 8).copy(team = "other")
        harness.submit(lower)
        harness.run(10.0)
        assertEquals(2, harness.runningTaskCount(lower))
        val gang = wholeMachines(2, 1)
        harness.submit(gang)
        harness.run(20.0)
        assertEquals(emptySet<Any>(), harness.killedTasks.keys)
        harness.run(20.0)
        assertEquals(2, harness.killedTasks.size)
        assertTrue(harness.killedTasks.values.all { it >= lower.saveS }, "the gang saves together")
        assertEquals(1, harness.runningTaskCount(gang))
    }

    @Test
    fun `a gang bound to a zone reserves machines of one zone only`() {
        val harness = SchedulerHarness()
        for (i in 0..3) harness.addMachine("m-a$i", "a")
        for (i in 0..3) harness.addMachine("m-b$i", "b")
        // Nobody makes way, being of the gang's priority: one task on each machine of zone a, eight on one of zone b.
        val spread = (0..3).map { job(10 + it, urgency = Urgency.HIGH, accelerators = 5).copy(zone = "a") }
        val full = job(20, tasks = 8, urgency = Urgency.HIGH).copy(zone = "b")
        (spread + full).forEach(harness::submit)
        harness.run(5.0)
        assertEquals(4, spread.flatMapTo(HashSet(), harness::machinesOf).size)
        val gang = wholeMachines(30, 4)
        harness.submit(gang)
        harness.run(1.0)
        val small = job(40, tasks = 40)
        harness.submit(small)
        harness.run(5.0)
        assertEquals(0, harness.runningTaskCount(gang))
        assertEquals(3, harness.machinesOf(small).count { it.startsWith("m-b") })
        assertTrue(harness.machinesOf(small).none { it.startsWith("m-a") }, "zone a is kept for the gang: ${harness.machinesOf(small)}")
    }

    @Test
    fun `a gang that its team's limit holds up lets smaller jobs pass for two minutes, then the limit is kept for it`() {
        val harness = SchedulerHarness(teams = listOf(Team("t", 0.0, null, 0.0, 16.0)))
        repeat(4) { harness.addMachine("m-$it") }
        val running = wholeMachines(1, 1).copy(spot = true)
        harness.submit(running)
        harness.run(3.0)
        val large = wholeMachines(2, 2)
        harness.submit(large)
        harness.run(2.0)
        val first = job(3, tasks = 4)
        harness.submit(first)
        harness.run(3.0)
        assertEquals(4, harness.runningTaskCount(first))
        harness.run(120.0)
        val second = job(4, tasks = 2)
        harness.submit(second)
        harness.run(3.0)
        assertEquals(0, harness.runningTaskCount(second))
    }
}
