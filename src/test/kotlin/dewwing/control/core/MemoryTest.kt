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
 * Checks the heap that a leader uses per machine and per connection, measured after a full garbage collection. 4,000
 * machines and 4,000 connections must fit into the heap set in `deploy/service.toml` (96 MB, of which 16 MB are the young
 * generation) and leave the same amount free.
 */
class MemoryTest {
    private fun usedHeapBytes(): Long {
        repeat(3) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    /** A scheduler whose machines are full, with eight tasks each, and with more tasks waiting. */
    private fun schedulerWithFullFleet(): Scheduler {
        val type = MachineType("k", Resources(8.0, 0.0, 64.0), 10.0, 1.0, 1.0, 0.5, 60.0, listOf("a"))
        val settings = testSettings(Duration(4_000), Duration(22_000), StateLimits(1e6, 1e6, 65_536, 64))
        val scheduler = Scheduler(settings, Term(5), Revision(50), Instant(0), 0).also { it.onMachineTypes(listOf(type)) }
        var seq = 0L
        var nowMs = 0L
        val runningTasks = List(MACHINES) { LinkedHashMap<TaskRef, ReportedTask>() }

        fun reportAll() {
            for (machine in 0 until MACHINES) {
                val tasks = runningTasks[machine].values.toList()
                val report =
                    Report(
                        MachineId("m-%06d".format(machine)),
                        "10.0.0.1:1",
                        "k",
                        "a",
                        true,
                        ReportPosition(1, ++seq),
                        Term(5),
                        null,
                        tasks,
                    )
                scheduler.onReport(report, Instant(nowMs))
                for (command in scheduler.answerChecked(report, Instant(nowMs))) {
                    if (command is Command.Launch) {
                        runningTasks[machine][command.task] =
                            ReportedTask(command.task, command.attempt, TaskStage.RUNNING, null, false)
                    }
                }
            }
        }
        reportAll()
        repeat(JOBS) { number ->
            val spec = SchedulerHarness.job(number, TASKS_PER_MACHINE * 2 * MACHINES / JOBS).copy(need = Resources(1.0, 0.0, 1.0))
            scheduler.onJobRecord(spec.ref, JobRecord(JobStage.QUEUED, spec, 0), Revision(number + 1L), Instant(nowMs))
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
        reportAll()
        reportAll()
        val running = (0 until JOBS).sumOf { scheduler.jobCounts(JobRef("job-$it"))?.running ?: 0 }
        assertTrue(running == MACHINES * TASKS_PER_MACHINE, "$running tasks run")
        return scheduler
    }

    @Test
    fun `a machine with eight tasks takes a few kilobytes`() {
        val usedBefore = usedHeapBytes()
        val scheduler = schedulerWithFullFleet()
        val bytesPerMachine = (usedHeapBytes() - usedBefore) / MACHINES
        assertTrue(bytesPerMachine in 500..MAX_BYTES_PER_MACHINE, "$bytesPerMachine bytes per machine")
        // Keeps the scheduler reachable until the heap has been measured, so that its memory is not collected too early.
        assertTrue(scheduler.workCounter.itemsExamined > 0)
    }

    @Test
    fun `an open connection takes a few kilobytes`(): Unit =
        runBlocking(Dispatchers.IO) {
            val selector = ActorSelectorManager(Dispatchers.IO)
            val port = ServerSocket(0).use { it.localPort }
            val limits = ServerLimits(CONNECTIONS * 2, 65_536, TIMEOUT_MS, TIMEOUT_MS, TIMEOUT_MS, TIMEOUT_MS)
            val bound = CompletableDeferred<Unit>()
            val server =
                launch {
                    HttpServer(selector, Endpoint("127.0.0.1", port), limits, { bound.complete(Unit) }) { emptyResponse() }.run()
                }
            bound.await()
            val sockets = ArrayList<Socket>()
            repeat(WARM_UP_CONNECTIONS) { sockets.add(openConnection(port)) }
            val usedBefore = usedHeapBytes()
            repeat(CONNECTIONS) { sockets.add(openConnection(port)) }
            val bytesPerConnection = (usedHeapBytes() - usedBefore) / CONNECTIONS
            for (socket in sockets) socket.close()
            server.cancelAndJoin()
            selector.close()
            assertTrue(bytesPerConnection in 500..MAX_BYTES_PER_CONNECTION, "$bytesPerConnection bytes per connection")
        }

    private fun emptyResponse() = HttpResponse.of(200, emptyMap<String, Any?>())

    /** Opens a connection, reads the whole response to one request and leaves the connection open. */
    private fun openConnection(port: Int): Socket {
        val socket = Socket("127.0.0.1", port)
        socket.soTimeout = TIMEOUT_MS.toInt()
        socket.getOutputStream().write("GET /up HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".toByteArray())
        val response = ByteArray(MAX_RESPONSE_BYTES)
        var bytesRead = 0
        while (!response.decodeToString(0, bytesRead).endsWith(RESPONSE_END)) {
            bytesRead +=
                socket.getInputStream().read(response, bytesRead, MAX_RESPONSE_BYTES - bytesRead)
        }
        return socket
    }

    private companion object {
        const val MACHINES = 4_000
        const val TASKS_PER_MACHINE = 8
        const val JOBS = 100
        const val CONNECTIONS = 2_000
        const val WARM_UP_CONNECTIONS = 50
        const val TIMEOUT_MS = 60_000L
        const val MAX_RESPONSE_BYTES = 1_024

        /** The end of the headers and the body, an empty MessagePack map: byte 0x80, which is not valid UTF-8. */
        const val RESPONSE_END = "\r\n\r\n\uFFFD"

        /** The actual use is 2,384 bytes. */
        const val MAX_BYTES_PER_MACHINE = 4_096L

        /** The actual use is 4,531 bytes, which includes the client's end of the connection in the same process. */
        const val MAX_BYTES_PER_CONNECTION = 8_192L
    }
}
