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
 * Gangs that need whole machines while small tasks occupy them and the cloud has no machine left. Guards against gangs
 * that start only when machines become free of small tasks by chance: then 0.16 of the gangs started within 50 s.
 */
class WholeMachineGangsTest {
    private val twoTeams = listOf("t", "other").map { Team(it, 0.0, null, 0.0, null) }

    private fun wholeMachineGang(
        id: Int,
        machines: Int,
    ) = job(id, machines, JobShape.GANG, Urgency.HIGH, accelerators = 8).copy(jobClass = "gangs", oneZone = true, spot = false)

    @Test
    fun `a gang that a slow boot would start too late preempts lower-priority work that can save, and gets the machines`() {
        val harness = SchedulerHarness(objectives = listOf(Objective.Start("gangs", 50.0)))
        repeat(2) { harness.addMachine("m-$it") }
        val filler = job(1, tasks = 16)
        harness.submit(filler)
        harness.run(5.0)
        assertEquals(16, harness.runningTaskCount(filler))
        val gang = wholeMachineGang(2, 2)
        harness.submit(gang)
        // A slow boot takes 45 s and fetching the image 1 s, so at first a boot would still be in time.
        harness.run(3.0)
        assertEquals(emptySet<Any>(), harness.killedTasks.keys)
        harness.run(6.0)
        assertEquals(16, harness.killedTasks.size)
        assertTrue(harness.killedTasks.values.all { it >= filler.saveS }, "every stopped task gets time to save")
        assertEquals(2, harness.runningTaskCount(gang))
    }

    /** Guards against empty machines that are kept for a gang larger than the cloud (review/7). */
    @Test
    fun `a gang that all machines together cannot hold leaves them to other jobs`() {
        val cloud = SchedulerHarness.HarnessCloud(mapOf("a" to 0, "b" to 0))
        val harness = SchedulerHarness(twoTeams, cloud = cloud)
        repeat(6) { harness.addMachine("m-$it") }
        harness.submit(job(1, 8, JobShape.GANG, Urgency.HIGH, accelerators = 8).copy(team = "other"))
        harness.run(5.0)
        val array = job(2, tasks = 2)
        harness.submit(array)
        harness.run(10.0)
        assertEquals(2, harness.runningTaskCount(array))
    }

    /** The machines of a gang that they can hold are kept for it, also while other tasks still run there. */
    @Test
    fun `a gang that all machines together can hold gets them before jobs of lower rank`() {
        val harness = SchedulerHarness(cloud = SchedulerHarness.HarnessCloud(mapOf("a" to 0, "b" to 0)))
        repeat(2) { harness.addMachine("m-$it") }
        val running = job(1, tasks = 1).copy(urgency = Urgency.HIGH)
        harness.submit(running)
        harness.run(5.0)
        val gang = job(2, 2, JobShape.GANG, Urgency.HIGH, accelerators = 8)
        harness.submit(gang)
        harness.run(1.0)
        val array = job(3, tasks = 8)
        harness.submit(array)
        harness.run(5.0)
        assertEquals(0, harness.runningTaskCount(array))
        harness.complete(running)
        harness.run(10.0)
        assertEquals(2, harness.runningTaskCount(gang))
    }

    @Test
    fun `a gang without an objective does not wait longer than a few minutes for a free machine either`() {
        val harness = SchedulerHarness()
        harness.addMachine("m-1")
        harness.submit(job(1, tasks = 8))
        harness.run(5.0)
        val gang = wholeMachineGang(2, 1)
        harness.submit(gang)
        harness.run(130.0)
        assertEquals(1, harness.runningTaskCount(gang))
    }

    @Test
    fun `a gang of lower priority is preempted completely, with time to save, and only after its minimum run time`() {
        val harness = SchedulerHarness(twoTeams, listOf(Objective.Start("gangs", 20.0)))
        repeat(2) { harness.addMachine("m-$it") }
        val lowerGang = job(1, 2, JobShape.GANG, Urgency.STANDARD, accelerators = 8).copy(team = "other")
        harness.submit(lowerGang)
        harness.run(10.0)
        assertEquals(2, harness.runningTaskCount(lowerGang))
        val gang = wholeMachineGang(2, 1)
        harness.submit(gang)
        harness.run(20.0)
        assertEquals(emptySet<Any>(), harness.killedTasks.keys)
        harness.run(20.0)
        assertEquals(2, harness.killedTasks.size)
        assertTrue(harness.killedTasks.values.all { it >= lowerGang.saveS }, "all tasks of the gang get time to save")
        assertEquals(1, harness.runningTaskCount(gang))
    }

    @Test
    fun `a gang that requires one zone reserves machines of one zone only`() {
        val harness = SchedulerHarness()
        for (i in 0..3) harness.addMachine("m-a$i", "a")
        for (i in 0..3) harness.addMachine("m-b$i", "b")
        // These tasks have the gang's priority, so none is preempted: one on each machine of zone a, eight on one machine of zone b.
        val onePerMachine = (0..3).map { job(10 + it, urgency = Urgency.HIGH, accelerators = 5).copy(zone = "a") }
        val fillsOneMachine = job(20, tasks = 8, urgency = Urgency.HIGH).copy(zone = "b")
        (onePerMachine + fillsOneMachine).forEach(harness::submit)
        harness.run(5.0)
        assertEquals(4, onePerMachine.flatMapTo(HashSet(), harness::machinesOf).size)
        val gang = wholeMachineGang(30, 4)
        harness.submit(gang)
        harness.run(1.0)
        val smallTasks = job(40, tasks = 40)
        harness.submit(smallTasks)
        harness.run(5.0)
        assertEquals(0, harness.runningTaskCount(gang))
        assertEquals(3, harness.machinesOf(smallTasks).count { it.startsWith("m-b") })
        assertTrue(harness.machinesOf(smallTasks).none { it.startsWith("m-a") }, "zone a is reserved: ${harness.machinesOf(smallTasks)}")
    }

    @Test
    fun `a gang blocked by its team's limit lets smaller jobs pass for two minutes, then the limit is reserved for it`() {
        val harness = SchedulerHarness(teams = listOf(Team("t", 0.0, null, 0.0, 16.0)))
        repeat(4) { harness.addMachine("m-$it") }
        val runningGang = wholeMachineGang(1, 1).copy(spot = true)
        harness.submit(runningGang)
        harness.run(3.0)
        val largeGang = wholeMachineGang(2, 2)
        harness.submit(largeGang)
        harness.run(2.0)
        val earlyJob = job(3, tasks = 4)
        harness.submit(earlyJob)
        harness.run(3.0)
        assertEquals(4, harness.runningTaskCount(earlyJob))
        harness.run(120.0)
        val lateJob = job(4, tasks = 2)
        harness.submit(lateJob)
        harness.run(3.0)
        assertEquals(0, harness.runningTaskCount(lateJob))
    }
}
