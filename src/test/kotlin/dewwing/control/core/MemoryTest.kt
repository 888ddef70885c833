package dewwing.control.core

import dewwing.control.core.intent.JobRecord
import dewwing.control.http.HttpResponse
import dewwing.control.http.HttpServer
import dewwing.control.http.ServerLimits
import dewwing.protocol.Command
import dewwing.protocol.Duration
import dewwing.protocol.Endpoint
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobStage
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.Report
import dewwing.protocol.ReportPosition
import dewwing.protocol.ReportedTask
import dewwing.protocol.Resources
import dewwing.protocol.Revision
import dewwing.protocol.StateLimits
import dewwing.protocol.TaskRef
import dewwing.protocol.TaskStage
import dewwing.protocol.Term
import io.ktor.network.selector.ActorSelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.ServerSocket
import java.net.Socket

/**
 * What a leader holds in memory for each machine and connection, counted after a full collection: 4,000 of both are to
 * fit into the heap of `deploy/service.toml`, 96 MB with 16 MB for short-lived objects, with as much again to spare.
 */
class MemoryTest {
    private fun heldBytes(): Long {
        repeat(3) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    /** A full fleet of machines with eight tasks each, and jobs in the queue. */
    private fun fullFleet(): Scheduler {
        val type = MachineType("k", Resources(8.0, 0.0, 64.0), 10.0, 1.0, 1.0, 0.5, 60.0, listOf("a"))
        val settings = settingsOf(Duration(4_000), Duration(22_000), StateLimits(1e6, 1e6, 65_536, 64))
        val scheduler = Scheduler(settings, Term(5), Revision(50), Instant(0), 0).also { it.onMachineTypes(listOf(type)) }
        var seq = 0L
        var nowMs = 0L
        val held = List(MACHINES) { LinkedHashMap<TaskRef, ReportedTask>() }

        fun reports() {
            for (i in 0 until MACHINES) {
                val tasks = held[i].values.toList()
                val report =
                    Report(MachineId("m-%06d".format(i)), "10.0.0.1:1", "k", "a", true, ReportPosition(1, ++seq), Term(5), null, tasks)
                scheduler.onReport(report, Instant(nowMs))
                for (c in scheduler.takeCommands(report, Instant(nowMs), launchAllowed = true)) {
                    if (c is Command.Launch) held[i][c.task] = ReportedTask(c.task, c.attempt, TaskStage.RUNNING, null, false)
                }
            }
        }
        reports()
        repeat(JOBS) { id ->
            val spec = SchedulerHarness.job(id, TASKS * 2 * MACHINES / JOBS).copy(need = Resources(1.0, 0.0, 1.0))
            scheduler.onJobRecord(spec.ref, JobRecord(JobStage.QUEUED, spec, 0), Revision(id + 1L), Instant(nowMs))
        }
        repeat(25) {
            nowMs += 200
            if (scheduler
                    .runRound(
                        Instant(nowMs),
                    ) { true }
                    .any { it is Effect.Write }
            ) {
                scheduler.onWriteApplied(Revision(1_000L + nowMs), Instant(nowMs))
            }
        }
        reports()
        reports()
        val running = (0 until JOBS).sumOf { scheduler.jobCounts(JobRef("job-$it"))?.running ?: 0 }
        assertTrue(running == MACHINES * TASKS, "$running tasks run")
        return scheduler
    }

    @Test
    fun `a machine with eight tasks takes a few kilobytes`() {
        val before = heldBytes()
        val scheduler = fullFleet()
        val perMachine = (heldBytes() - before) / MACHINES
        assertTrue(perMachine in 500..MOST_PER_MACHINE, "$perMachine bytes a machine")
        // The scheduler is in use until here: what it holds must not be collected before it is counted.
        assertTrue(scheduler.workCounter.itemsExamined > 0)
    }

    @Test
    fun `an open connection takes a few kilobytes`(): Unit =
        runBlocking(Dispatchers.IO) {
            val selector = ActorSelectorManager(Dispatchers.IO)
            val port = ServerSocket(0).use { it.localPort }
            val limits = ServerLimits(CONNECTIONS * 2, 65_536, WAIT_MS, WAIT_MS, WAIT_MS, WAIT_MS)
            val bound = CompletableDeferred<Unit>()
            val server =
                launch {
                    HttpServer(selector, Endpoint("127.0.0.1", port), limits, { bound.complete(Unit) }) { answer() }.run()
                }
            bound.await()
            val sockets = ArrayList<Socket>()
            repeat(WARM_UP) { sockets.add(exchange(port)) }
            val before = heldBytes()
            repeat(CONNECTIONS) { sockets.add(exchange(port)) }
            val perConnection = (heldBytes() - before) / CONNECTIONS
            for (socket in sockets) socket.close()
            server.cancelAndJoin()
            selector.close()
            assertTrue(perConnection in 500..MOST_PER_CONNECTION, "$perConnection bytes a connection")
        }

    private fun answer() = HttpResponse.of(200, emptyMap<String, Any?>())

    /** A connection that stays open after one request and its whole answer. */
    private fun exchange(port: Int): Socket {
        val socket = Socket("127.0.0.1", port)
        socket.soTimeout = WAIT_MS.toInt()
        socket.getOutputStream().write("GET /up HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".toByteArray())
        val answer = ByteArray(ANSWER_BYTES)
        var read = 0
        while (!answer.decodeToString(0, read).endsWith(ANSWER_END)) read += socket.getInputStream().read(answer, read, ANSWER_BYTES - read)
        return socket
    }

    private companion object {
        const val MACHINES = 4_000
        const val TASKS = 8
        const val JOBS = 100
        const val CONNECTIONS = 2_000
        const val WARM_UP = 50
        const val WAIT_MS = 60_000L
        const val ANSWER_BYTES = 1_024

        /** The empty map that ends the answer. */
        const val ANSWER_END = "\r\n\r\n\uFFFD"

        /** Counted: 2,384. */
        const val MOST_PER_MACHINE = 4_096L

        /** Counted, with the client's end in the same process: 4,531. */
        const val MOST_PER_CONNECTION = 8_192L
    }
}
