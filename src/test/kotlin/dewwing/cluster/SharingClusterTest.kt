package dewwing.cluster

import dewwing.control.core.sharing.PlannerPolicy
import dewwing.control.sharing.SharingOptions
import dewwing.protocol.Duration
import dewwing.protocol.JobSpec
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Runs three real controllers with sharding enabled, under arrays and gangs of two teams. Most tests move shards all the time.
 *
 * `-Ddewwing.cluster.minutes=10` makes the first test run for at least ten minutes instead of a fixed number of rounds.
 */
class SharingClusterTest {
    private val frequentMoves =
        SharingOptions(
            SHARDS,
            PlannerPolicy(drillInterval = Duration(1_000), moveDeadline = Duration(20_000)),
            startConfirmTimeout = Duration(2_000),
        )
    private val teamLimits = mapOf("audio" to 60.0, "search" to 40.0)

    private fun cluster(sharing: SharingOptions? = frequentMoves) = LoopbackCluster(CONTROLLERS, { sharing }, machineCount = 30, teamLimits)

    private suspend fun LoopbackCluster.awaitAllShardsOwned() =
        awaitCondition("every shard has an owner") {
            shardOwners().let { it.size == SHARDS && null !in it }
        }

    private suspend fun LoopbackCluster.submitMixedJobs(round: Int): List<JobSpec> {
        val team = teamLimits.keys.elementAt(round % teamLimits.size)
        val jobs = listOf(gang(3 + round % 6, 1.5, team), array(8, 0.8, team), gang(2, 3.0, team))
        jobs.forEachIndexed { i, job -> submit(job, round + i) }
        return jobs
    }

    /** Submits gangs whose tasks take [seconds] and waits until all of them run. */
    private suspend fun LoopbackCluster.submitAndAwaitGangs(seconds: Double): List<JobSpec> {
        val jobs = List(5) { gang(4, seconds, cores = 1.0) }
        jobs.forEachIndexed { i, job -> submit(job, i) }
        awaitCondition("all tasks run") { onFakesThread { taskTracker.runningTaskCount == jobs.sumOf { it.tasks } } }
        return jobs
    }

    private suspend fun LoopbackCluster.assertInvariants() =
        onFakesThread {
            assertEquals(emptyList<String>(), taskTracker.violations)
            assertEquals(emptyList<Any>(), taskTracker.incompleteGangs())
        }

    @Test
    fun `constant shard moves stop no task, place none twice and leave no gang incomplete`(): Unit =
        runBlocking {
            cluster().use { cluster ->
                cluster.start()
                cluster.awaitAllShardsOwned()
                val minutes = System.getProperty("dewwing.cluster.minutes")?.toLong() ?: 0
                val endNanos = System.nanoTime() + minutes * 60_000_000_000
                val jobs = ArrayList<JobSpec>()
                val firstTerm = cluster.highestTerm()
                var round = 0
                while (round < ROUNDS || System.nanoTime() < endNanos) {
                    jobs.addAll(cluster.submitMixedJobs(round++))
                    delay(ROUND_DELAY_MS)
                    // Jobs beyond the team limits would only make the queue longer.
                    cluster.awaitCondition("the queue is short") {
                        cluster.onFakesThread { jobs.count { !cluster.taskTracker.isDone(it.ref) } < MAX_QUEUED_JOBS }
                    }
                }
                cluster.onFakesThread { assertEquals(emptyList<String>(), cluster.taskTracker.violations) }
                for ((i, job) in jobs.withIndex()) {
                    cluster.awaitCondition("${job.ref} is done") { cluster.stageOf(job, i % CONTROLLERS) == "done" }
                }
                val moves = cluster.highestTerm() - firstTerm
                cluster.assertInvariants()
                assertTrue(moves >= MIN_MOVES, "only $moves shard moves")
                cluster.onFakesThread {
                    assertEquals(0, cluster.taskTracker.stoppedTaskCount, "tasks stopped")
                    val gaps =
                        cluster.workers.values
                            .flatMap { it.ownerChangeGapsMs }
                            .sorted()
                    println(
                        "moves $moves, jobs ${jobs.size}, starts ${cluster.taskTracker.startedTaskCount}, machines ${cluster.workers.size}",
                    )
                    println(
                        "owner change gaps (ms): median ${gaps.percentile(0.5)}, p99 ${gaps.percentile(0.99)}, worst ${gaps.lastOrNull()}",
                    )
                }
            }
        }

    /** Submits jobs in [rounds] rounds, calls [injectFault] in each round, and expects all jobs to be done at the end. */
    private fun runWithFaults(
        rounds: Int,
        injectFault: suspend LoopbackCluster.(Int) -> Unit,
    ): Unit =
        runBlocking {
            cluster().use { cluster ->
                cluster.start()
                cluster.awaitAllShardsOwned()
                val jobs = ArrayList<JobSpec>()
                for (round in 0 until rounds) {
                    jobs.addAll(cluster.submitMixedJobs(round))
                    cluster.injectFault(round)
                }
                cluster.awaitCondition("all jobs are done") { cluster.allDone(jobs) }
                cluster.assertInvariants()
            }
        }

    @Test
    fun `owners that are killed during moves and restarted at once violate no invariant and lose no job`() =
        runWithFaults(rounds = 6) { round ->
            onFakesThread { stateService.lostResponseRate = 0.05 }
            kill(round % CONTROLLERS)
            delay(RESTART_DELAY_MS)
            start(round % CONTROLLERS)
            delay(ROUND_DELAY_MS)
        }

    @Test
    fun `an owner that is paused for longer than its lease and then continues violates no invariant`() =
        runWithFaults(rounds = 4) { round ->
            pause(round % CONTROLLERS, PAUSE_DURATION_MS)
            delay(ROUND_DELAY_MS * 2)
        }

    @Test
    fun `an outage of the state service that is longer than a worker lease stops no running task`(): Unit =
        runBlocking {
            cluster(SharingOptions(SHARDS)).use { cluster ->
                cluster.start()
                cluster.awaitAllShardsOwned()
                val jobs = cluster.submitAndAwaitGangs(seconds = 14.0)
                cluster.onFakesThread { cluster.stateService.isDown = true }
                delay(LoopbackCluster.WORKER_TIMES.leaseDurationMs + 2_000)
                cluster.onFakesThread { cluster.stateService.isDown = false }
                cluster.awaitCondition("all jobs are done") { cluster.allDone(jobs) }
                cluster.assertInvariants()
                cluster.onFakesThread { assertEquals(0, cluster.taskTracker.stoppedTaskCount, "tasks stopped") }
            }
        }

    @Test
    fun `jobs finish after all controllers were down for longer than a worker lease and restarted one by one`(): Unit =
        runBlocking {
            cluster().use { cluster ->
                cluster.start()
                cluster.awaitAllShardsOwned()
                val jobs = List(3) { cluster.array(6, 3.0) } + cluster.gang(5, 3.0)
                jobs.forEachIndexed { i, job -> cluster.submit(job, i) }
                cluster.awaitCondition("some tasks run") { cluster.onFakesThread { cluster.taskTracker.runningTaskCount > 0 } }
                repeat(CONTROLLERS) { cluster.kill(it) }
                cluster.awaitCondition("every worker lease has expired") {
                    cluster.onFakesThread { cluster.taskTracker.runningTaskCount == 0 }
                }
                repeat(CONTROLLERS) {
                    cluster.start(it)
                    delay(ROUND_DELAY_MS)
                }
                cluster.awaitCondition("all jobs are done") { cluster.allDone(jobs) }
                cluster.assertInvariants()
            }
        }

    @Test
    fun `a job that is cancelled through any controller while its shard moves ends on all machines`() =
        runWithFaults(rounds = 4) { round ->
            val job = array(6, 60.0)
            submit(job, round)
            awaitCondition("the job runs") { onFakesThread { taskTracker.machinesOf(job.ref).isNotEmpty() } }
            cancel(job, round % CONTROLLERS)
            awaitCondition("all tasks of the cancelled job have ended", timeoutMs = CANCEL_TIMEOUT_MS) {
                onFakesThread { taskTracker.machinesOf(job.ref).isEmpty() }
            }
            onFakesThread { taskTracker.forbidStarts(job.ref) }
            for (node in 0 until CONTROLLERS) awaitCondition("node $node reports the job as cancelled") { stageOf(job, node) == "aborted" }
        }

    @Test
    fun `a drained controller hands off all its shards and stops no task`(): Unit =
        runBlocking {
            cluster(SharingOptions(SHARDS)).use { cluster ->
                cluster.start()
                cluster.awaitAllShardsOwned()
                val jobs = cluster.submitAndAwaitGangs(seconds = 8.0)
                assertTrue(cluster.drain(0), "the drained controller still owns shards")
                cluster.kill(0)
                assertTrue("node-0" !in cluster.shardOwners())
                cluster.awaitCondition("all jobs are done") {
                    jobs.withIndex().all { (i, job) -> cluster.stageOf(job, 1 + i % 2) == "done" }
                }
                cluster.assertInvariants()
                cluster.onFakesThread { assertEquals(0, cluster.taskTracker.stoppedTaskCount, "tasks stopped") }
            }
        }

    @Test
    fun `a machine that no controller requested is used or released by the first shard`(): Unit =
        runBlocking {
            cluster(SharingOptions(SHARDS)).use { cluster ->
                cluster.start()
                cluster.awaitAllShardsOwned()
                val machine = cluster.onFakesThread { cluster.cloud.startUnrequested(0, "a").name }
                cluster.awaitCondition("the machine is used or released") {
                    cluster.onFakesThread { machine !in cluster.cloud.machineNames || cluster.workers.getValue(machine).hasRunTask }
                }
                cluster.assertInvariants()
            }
        }

    @Test
    fun `a single leader works until all controllers enable sharding, and again after they disable it`(): Unit =
        runBlocking {
            var enabledOn = setOf(0, 1)
            LoopbackCluster(CONTROLLERS, { if (it in enabledOn) frequentMoves else null }, machineCount = 20, teamLimits).use { cluster ->
                cluster.start()
                val jobs = ArrayList<JobSpec>()

                suspend fun runMixedJobs() {
                    jobs.addAll(cluster.submitMixedJobs(jobs.size))
                    cluster.awaitCondition("all jobs are done") { cluster.allDone(jobs) }
                }
                runMixedJobs()
                assertEquals(
                    emptyList<String?>(),
                    cluster.shardOwners(),
                    "shards have owners although one controller has sharding disabled",
                )

                cluster.onFakesThread { cluster.stateService.lostResponseRate = 0.1 }
                enabledOn = setOf(0, 1, 2)
                val gang = cluster.gang(6, 20.0)
                cluster.submit(gang)
                // The next leader would rightly withdraw a gang that is launched only in part.
                cluster.awaitCondition("the whole gang runs") {
                    cluster.onFakesThread { cluster.taskTracker.runningTaskCount == gang.tasks }
                }
                cluster.kill(2)
                cluster.start(2)
                cluster.awaitAllShardsOwned()
                cluster.onFakesThread { cluster.stateService.lostResponseRate = 0.0 }
                runMixedJobs()

                enabledOn = emptySet()
                repeat(CONTROLLERS) {
                    cluster.kill(it)
                    cluster.start(it)
                }
                cluster.awaitCondition("sharding is disabled") { cluster.shardOwners().isEmpty() }
                runMixedJobs()
                cluster.awaitCondition("the gang is done") { cluster.stageOf(gang, 0) == "done" }
                cluster.assertInvariants()
                cluster.onFakesThread { assertEquals(0, cluster.taskTracker.stoppedTaskCount, "tasks stopped") }
            }
        }

    private fun List<Long>.percentile(share: Double): Long? = getOrNull((size * share).toInt())

    private companion object {
        const val CONTROLLERS = 3
        const val SHARDS = 6
        const val ROUNDS = 12
        const val ROUND_DELAY_MS = 700L
        const val MAX_QUEUED_JOBS = 40
        const val MIN_MOVES = 5

        /** Time from the kill of a controller to its restart. */
        const val RESTART_DELAY_MS = 100L

        /** Longer than an owner's state lease. */
        const val PAUSE_DURATION_MS = 4_000L
        const val CANCEL_TIMEOUT_MS = 25_000L
    }
}
