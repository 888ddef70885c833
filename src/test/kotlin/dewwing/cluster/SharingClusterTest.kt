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
 * Three real controllers that share a fleet and move shards all the time, under arrays and gangs of two teams.
 *
 * `-Ddewwing.cluster.minutes=10` lets the first test go on for ten minutes instead of some moves.
 */
class SharingClusterTest {
    private val drilled =
        SharingOptions(
            SHARDS,
            PlannerPolicy(drillInterval = Duration(1_000), moveDeadline = Duration(20_000)),
            startConfirmTimeout = Duration(2_000),
        )
    private val teams = mapOf("audio" to 60.0, "search" to 40.0)

    private fun cluster(sharing: SharingOptions? = drilled) = LoopbackCluster(CONTROLLERS, { sharing }, machines = 30, teams)

    private suspend fun LoopbackCluster.shared() = until("every shard has an owner") { owners().let { it.size == SHARDS && null !in it } }

    private suspend fun LoopbackCluster.submitSome(round: Int): List<JobSpec> {
        val team = teams.keys.elementAt(round % teams.size)
        val jobs = listOf(gang(3 + round % 6, 1.5, team), array(8, 0.8, team), gang(2, 3.0, team))
        jobs.forEachIndexed { i, job -> submit(job, round + i) }
        return jobs
    }

    /** Gangs all of whose tasks run, for [seconds]. */
    private suspend fun LoopbackCluster.runningGangs(seconds: Double): List<JobSpec> {
        val jobs = List(5) { gang(4, seconds, cores = 1.0) }
        jobs.forEachIndexed { i, job -> submit(job, i) }
        until("all tasks run") { inWorld { ledger.running == jobs.sumOf { it.tasks } } }
        return jobs
    }

    private suspend fun LoopbackCluster.assertSound() =
        inWorld {
            assertEquals(emptyList<String>(), ledger.broken)
            assertEquals(emptyList<Any>(), ledger.splitGangs())
        }

    @Test
    fun `shards move all the time and no task is stopped, placed twice or left without its gang`(): Unit =
        runBlocking {
            cluster().use { cluster ->
                cluster.start()
                cluster.shared()
                val minutes = System.getProperty("dewwing.cluster.minutes")?.toLong() ?: 0
                val until = System.nanoTime() + minutes * 60_000_000_000
                val jobs = ArrayList<JobSpec>()
                val firstToken = cluster.highestToken()
                var round = 0
                while (round < ROUNDS || System.nanoTime() < until) {
                    jobs.addAll(cluster.submitSome(round++))
                    delay(ROUND_MS)
                    // More than the teams' limits can carry would only show how long a queue gets.
                    cluster.until(
                        "the queue is short",
                    ) { cluster.inWorld { jobs.count { !cluster.ledger.isDone(it.ref) } < LONGEST_QUEUE } }
                }
                cluster.inWorld { assertEquals(emptyList<String>(), cluster.ledger.broken) }
                for ((i, job) in jobs.withIndex()) cluster.until("${job.ref} is done") { cluster.stageOf(job, i % CONTROLLERS) == "done" }
                val moves = cluster.highestToken() - firstToken
                cluster.assertSound()
                assertTrue(moves >= LEAST_MOVES, "only $moves moves")
                cluster.inWorld {
                    assertEquals(0, cluster.ledger.stopped, "tasks stopped")
                    val gaps =
                        cluster.workers.values
                            .flatMap { it.ownerGapsMs }
                            .sorted()
                    println("moves $moves, jobs ${jobs.size}, starts ${cluster.ledger.started}, machines ${cluster.workers.size}")
                    println("ms between answers of two owners: median ${gaps.at(0.5)}, p99 ${gaps.at(0.99)}, worst ${gaps.lastOrNull()}")
                }
            }
        }

    /** Submits work for [rounds], with [trouble] in each of them, and expects all of it to be done. */
    private fun underTrouble(
        rounds: Int,
        trouble: suspend LoopbackCluster.(Int) -> Unit,
    ): Unit =
        runBlocking {
            cluster().use { cluster ->
                cluster.start()
                cluster.shared()
                val jobs = ArrayList<JobSpec>()
                for (round in 0 until rounds) {
                    jobs.addAll(cluster.submitSome(round))
                    cluster.trouble(round)
                }
                cluster.until("all jobs are done") { cluster.allDone(jobs) }
                cluster.assertSound()
            }
        }

    @Test
    fun `owners that are killed in the midst of moves and return at once break no rule and lose no job`() =
        underTrouble(rounds = 6) { round ->
            inWorld { state.lostAnswers = 0.05 }
            kill(round % CONTROLLERS)
            delay(RETURN_MS)
            start(round % CONTROLLERS)
            delay(ROUND_MS)
        }

    @Test
    fun `an owner that is frozen past its lease and wakes up does no harm`() =
        underTrouble(rounds = 4) { round ->
            freeze(round % CONTROLLERS, FREEZE_MS)
            delay(ROUND_MS * 2)
        }

    @Test
    fun `an outage of the state service for longer than a worker's lease costs no running work`(): Unit =
        runBlocking {
            cluster(SharingOptions(SHARDS)).use { cluster ->
                cluster.start()
                cluster.shared()
                val jobs = cluster.runningGangs(seconds = 14.0)
                cluster.inWorld { cluster.state.isDown = true }
                delay(LoopbackCluster.TIMES.leaseMs + 2_000)
                cluster.inWorld { cluster.state.isDown = false }
                cluster.until("all jobs are done") { cluster.allDone(jobs) }
                cluster.assertSound()
                cluster.inWorld { assertEquals(0, cluster.ledger.stopped, "tasks stopped") }
            }
        }

    @Test
    fun `all controllers away for longer than a lease, and back one after another`(): Unit =
        runBlocking {
            cluster().use { cluster ->
                cluster.start()
                cluster.shared()
                val jobs = List(3) { cluster.array(6, 3.0) } + cluster.gang(5, 3.0)
                jobs.forEachIndexed { i, job -> cluster.submit(job, i) }
                cluster.until("some tasks run") { cluster.inWorld { cluster.ledger.running > 0 } }
                repeat(CONTROLLERS) { cluster.kill(it) }
                cluster.until("every lease has run out") { cluster.inWorld { cluster.ledger.running == 0 } }
                repeat(CONTROLLERS) {
                    cluster.start(it)
                    delay(ROUND_MS)
                }
                cluster.until("all jobs are done") { cluster.allDone(jobs) }
                cluster.assertSound()
            }
        }

    @Test
    fun `a job that is cancelled at a third controller while its shard moves leaves its machines`() =
        underTrouble(rounds = 4) { round ->
            val job = array(6, 60.0)
            submit(job, round)
            until("it runs") { inWorld { ledger.machinesOf(job.ref).isNotEmpty() } }
            cancel(job, round % CONTROLLERS)
            until("its tasks are gone", withinMs = CANCEL_MS) { inWorld { ledger.machinesOf(job.ref).isEmpty() } }
            inWorld { ledger.mustNotStart(job.ref) }
            for (node in 0 until CONTROLLERS) until("node $node tells that it is cancelled") { stageOf(job, node) == "aborted" }
        }

    @Test
    fun `a controller that is drained hands all its shards over and stops no task`(): Unit =
        runBlocking {
            cluster(SharingOptions(SHARDS)).use { cluster ->
                cluster.start()
                cluster.shared()
                val jobs = cluster.runningGangs(seconds = 8.0)
                assertTrue(cluster.drain(0), "shards are left")
                cluster.kill(0)
                assertTrue("node-0" !in cluster.owners())
                cluster.until("all jobs are done") { jobs.withIndex().all { (i, job) -> cluster.stageOf(job, 1 + i % 2) == "done" } }
                cluster.assertSound()
                cluster.inWorld { assertEquals(0, cluster.ledger.stopped, "tasks stopped") }
            }
        }

    @Test
    fun `a machine that nobody rented is used or given back by the first shard`(): Unit =
        runBlocking {
            cluster(SharingOptions(SHARDS)).use { cluster ->
                cluster.start()
                cluster.shared()
                val machine = cluster.inWorld { cluster.cloud.startUnasked(0, "a").name }
                cluster.until("it is used or given back") {
                    cluster.inWorld { machine !in cluster.cloud.names || cluster.workers.getValue(machine).hasWorked }
                }
                cluster.assertSound()
            }
        }

    @Test
    fun `with a controller that shares nothing a single leader works, with all of them shards have owners, and back again`(): Unit =
        runBlocking {
            var shares = setOf(0, 1)
            LoopbackCluster(CONTROLLERS, { if (it in shares) drilled else null }, machines = 20, teams).use { cluster ->
                cluster.start()
                val jobs = ArrayList<JobSpec>()

                suspend fun work() {
                    jobs.addAll(cluster.submitSome(jobs.size))
                    cluster.until("all jobs are done") { cluster.allDone(jobs) }
                }
                work()
                assertEquals(emptyList<String?>(), cluster.owners(), "shares although one controller does not")

                cluster.inWorld { cluster.state.lostAnswers = 0.1 }
                shares = setOf(0, 1, 2)
                val running = cluster.gang(6, 20.0)
                cluster.submit(running)
                // Half launched, it would rightly be withdrawn whole by the next leader.
                cluster.until("the whole gang runs") { cluster.inWorld { cluster.ledger.running == running.tasks } }
                cluster.kill(2)
                cluster.start(2)
                cluster.shared()
                cluster.inWorld { cluster.state.lostAnswers = 0.0 }
                work()

                shares = emptySet()
                repeat(CONTROLLERS) {
                    cluster.kill(it)
                    cluster.start(it)
                }
                cluster.until("sharing is off") { cluster.owners().isEmpty() }
                work()
                cluster.until("the gang is done") { cluster.stageOf(running, 0) == "done" }
                cluster.assertSound()
                cluster.inWorld { assertEquals(0, cluster.ledger.stopped, "tasks stopped") }
            }
        }

    private fun List<Long>.at(share: Double): Long? = getOrNull((size * share).toInt())

    private companion object {
        const val CONTROLLERS = 3
        const val SHARDS = 6
        const val ROUNDS = 12
        const val ROUND_MS = 700L
        const val LONGEST_QUEUE = 40
        const val LEAST_MOVES = 5

        /** A process is back within a fraction of a second. */
        const val RETURN_MS = 100L

        /** Longer than an owner's lease on the state service. */
        const val FREEZE_MS = 4_000L
        const val CANCEL_MS = 25_000L
    }
}
