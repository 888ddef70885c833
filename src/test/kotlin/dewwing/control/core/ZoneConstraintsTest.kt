package dewwing.control.core

import dewwing.control.core.SchedulerHarness.Companion.job
import dewwing.control.core.SchedulerHarness.HarnessCloud
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.Objective
import dewwing.protocol.Urgency
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Jobs whose tasks must share a zone or be spread over zones, on fleets that are rented and lost while they wait. */
class ZoneConstraintsTest {
    /** A gang with two tasks per machine. */
    private fun gang(
        id: Int,
        tasks: Int,
    ) = job(id, tasks, JobShape.GANG, accelerators = 4)

    /** Guards against capacity in two zones that the plan of machines counts together and the placement cannot use (review/1). */
    @Test
    fun `a gang bound to one zone runs again after it lost a machine`() {
        val harness = SchedulerHarness(cloud = HarnessCloud())
        harness.addMachine("m-taken", "b", spot = true)
        harness.addMachine("m-kept", "b", spot = true)
        harness.run(1.0)
        val gang = gang(1, 4).copy(oneZone = true)
        harness.submit(gang)
        harness.run(5.0)
        assertEquals(mapOf("b" to 4), harness.runningTasksByZone(gang))
        harness.loseMachine("m-taken")
        harness.run(MAX_WAIT_S)
        assertEquals(4, harness.runningTaskCount(gang))
        assertEquals(1, harness.runningTasksByZone(gang).size, "zones")
    }

    /** Guards against machines that are all ordered in the cheapest zone, of which a spread gang may use half (review/REPORT.md). */
    @Test
    fun `a gang that must be spread over zones starts on a fleet rented from nothing`() {
        val harness = SchedulerHarness(cloud = HarnessCloud())
        val gang = gang(1, 6).copy(spread = true)
        harness.submit(gang)
        harness.run(MAX_WAIT_S)
        assertEquals(mapOf("a" to 3, "b" to 3), harness.runningTasksByZone(gang))
    }

    /** Guards against a gang left with machines in both zones when the cloud has too few in the zone it names first. */
    @Test
    fun `a gang bound to one zone starts in the other zone if the first has too few machines`() {
        val harness = SchedulerHarness(cloud = HarnessCloud(mapOf("a" to 2)))
        val gang = gang(1, 8).copy(oneZone = true)
        harness.submit(gang)
        harness.run(MAX_WAIT_S)
        assertEquals(mapOf("b" to 8), harness.runningTasksByZone(gang))
    }

    /** Guards against an array bound to the zone of its running tasks that is counted on to use machines of another zone. */
    @Test
    fun `an array bound to one zone gets all its machines in the zone of its running tasks`() {
        val harness = SchedulerHarness(objectives = listOf(Objective.Finish("c", 45.0)), cloud = HarnessCloud())
        harness.addMachine("m-b", "b", spot = true)
        harness.run(1.0)
        val array = job(1, tasks = 8, accelerators = 4).copy(oneZone = true)
        harness.submit(array)
        harness.run(3.0)
        assertEquals(mapOf("b" to 8), harness.runningTasksByZone(array))
    }

    /** Guards against tasks stopped for a spread gang in a zone that may not hold all of it. */
    @Test
    fun `a gang that must be spread preempts only as many tasks per zone as the zone may hold`() {
        val harness = SchedulerHarness(objectives = listOf(Objective.Start("gangs", 5.0)))
        for (i in 1..4) harness.addMachine("m-a$i", "a")
        for (i in 1..2) harness.addMachine("m-b$i", "b")
        val fillers = listOf(job(1, tasks = 32).copy(zone = "a"), job(2, tasks = 16).copy(zone = "b"))
        fillers.forEach(harness::submit)
        harness.run(5.0)
        assertEquals(48, fillers.sumOf(harness::runningTaskCount))
        val gang = job(3, 4, JobShape.GANG, Urgency.HIGH, accelerators = 8).copy(jobClass = "gangs", spread = true)
        harness.submit(gang)
        harness.run(5.0)
        assertEquals(mapOf("a" to 2, "b" to 2), harness.runningTasksByZone(gang))
        assertEquals(32, harness.killedTasks.size)
    }

    private class RandomSite(
        seed: Int,
    ) {
        private val random = Random(seed)

        /** Zone "a" is short of machines in two thirds of the sites; "b" always has enough. */
        private val cloud = HarnessCloud(if (seed % 3 == 0) emptyMap() else mapOf("a" to random.nextInt(0, 4)))
        val harness = SchedulerHarness(cloud = cloud)
        val jobs = List(random.nextInt(1, 5), ::randomJob)
        private val machines =
            List(random.nextInt(0, 5)) { i -> "m-$i".also { harness.addMachine(it, if (random.nextBoolean()) "a" else "b", spot = true) } }

        private fun randomJob(number: Int): JobSpec {
            val shape = if (random.nextInt(3) == 0) JobShape.ARRAY else JobShape.GANG
            // Arrays of one class take turns on their machines, and here no task ends, so each job has a class of its own.
            val base =
                job(number + 1, random.nextInt(1, 9), shape, accelerators = random.nextInt(1, 9))
                    .copy(jobClass = "c-$number", spot = random.nextBoolean())
            return when (random.nextInt(4)) {
                0 -> base.copy(oneZone = true)

                // A spread job needs machines in both zones.
                1 -> if ("a" in cloud.capacity) base else base.copy(spread = true)

                2 -> base.copy(zone = "b")

                else -> base
            }
        }

        fun play() {
            harness.run(1.0)
            jobs.forEach(harness::submit)
            harness.run(random.nextDouble(0.0, 60.0))
            machines.filter { random.nextBoolean() }.forEach(harness::loseMachine)
            harness.run(MAX_WAIT_S)
        }
    }

    /** Guards against any constraint that the plan of machines and the placement understand differently. */
    @Test
    fun `whatever the plan counts on can be placed, on generated fleets and jobs`() {
        for (seed in 1..SITES) {
            val site = RandomSite(seed)
            site.play()
            for (job in site.jobs) {
                val zones = site.harness.runningTasksByZone(job)
                val wanted = if (job.shape == JobShape.GANG) job.tasks else 1
                assertTrue(zones.values.sum() >= wanted, "seed $seed: $job waits, ${site.harness.idleMachineCount} machines are idle")
                if (job.oneZone) assertEquals(1, zones.size, "seed $seed: zones of $job")
                if (job.spread) assertTrue(zones.values.all { it <= (job.tasks + 1) / 2 }, "seed $seed: $job runs in $zones")
            }
        }
    }

    private companion object {
        /** From the loss of a machine: no job waits for 90 s once the cloud has room for it; its lease lasts 10 s. */
        const val MAX_WAIT_S = 100.0
        const val SITES = 300
    }
}
