package dewwing.cluster

import dewwing.control.app.Controller
import dewwing.control.app.ControllerOptions
import dewwing.control.app.Metrics
import dewwing.control.core.Tunables
import dewwing.control.http.HttpClient
import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpResponse
import dewwing.control.http.HttpServer
import dewwing.control.http.ServerLimits
import dewwing.control.sharing.MoveTracing
import dewwing.control.sharing.SharingOptions
import dewwing.protocol.Duration
import dewwing.protocol.Endpoint
import dewwing.protocol.JobRef
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.Pack
import dewwing.protocol.Resources
import dewwing.protocol.Settings
import dewwing.protocol.Urgency
import dewwing.protocol.Wire
import io.ktor.network.selector.ActorSelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import java.io.IOException
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Real controllers on loopback, each with a thread of its own, against a state service, a cloud and workers of the
 * test's own on one more thread.
 */
internal class LoopbackCluster(
    private val controllers: Int,
    private val sharing: (Int) -> SharingOptions?,
    machines: Int,
    private val teams: Map<String, Double>,
    private val tracing: MoveTracing? = null,
) : AutoCloseable {
    private class Node(
        val name: String,
        val serve: Endpoint,
        val peer: Endpoint,
        val thread: ExecutorCoroutineDispatcher,
        val metrics: Metrics = Metrics(),
    ) {
        var run: Job? = null
        var controller: Controller? = null
        var selector: ActorSelectorManager? = null
    }

    private val world = Executors.newSingleThreadExecutor { Thread(it, "stand-ins") }.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob())
    private val worldSelector = ActorSelectorManager(Dispatchers.IO)
    private val ports = openPorts(2 + controllers * 2)
    private val stateAt = Endpoint("127.0.0.1", ports[0])
    private val cloudAt = Endpoint("127.0.0.1", ports[1])
    private val nodes =
        List(controllers) { i ->
            val thread = Executors.newSingleThreadExecutor { Thread(it, "controller-$i") }.asCoroutineDispatcher()
            Node("node-$i", Endpoint("127.0.0.1", ports[2 + i * 2]), Endpoint("127.0.0.1", ports[3 + i * 2]), thread)
        }
    val ledger = TaskLedger(teams)
    val state = StateServiceStandIn()
    private val workerRuns = HashMap<String, Job>()
    val workers = LinkedHashMap<String, WorkerStandIn>()
    val cloud = CloudStandIn(machines, ::startWorker, ::stopWorker)
    private var nextJob = 1

    init {
        scope.launch(world) { serve(stateAt) { state.answer(it) } }
        scope.launch(world) { serve(cloudAt) { cloud.answer(it) } }
        scope.launch(world) {
            while (true) {
                state.expire()
                delay(LEASE_CHECK_MS)
            }
        }
    }

    private fun openPorts(count: Int): List<Int> = List(count) { ServerSocket(0) }.onEach { it.close() }.map { it.localPort }

    private suspend fun serve(
        at: Endpoint,
        handler: suspend (HttpRequest) -> HttpResponse,
    ) {
        val limits = ServerLimits(1_000, 1 shl 20, LIMIT_MS, LIMIT_MS, LIMIT_MS, LIMIT_MS)
        HttpServer(worldSelector, at, limits, handler = handler).run()
    }

    // ---- machines --------------------------------------------------------------------------------------------

    private fun startWorker(machine: CloudStandIn.Rented) {
        val worker = WorkerStandIn(worldSelector, machine, nodes.associate { it.name to it.serve }, TIMES, ledger)
        workers[machine.name] = worker
        workerRuns[machine.name] = scope.launch(world) { worker.run() }
    }

    private fun stopWorker(name: String) {
        workerRuns.remove(name)?.cancel()
    }

    /** Runs [block] where the stand-ins and the ledger live. */
    suspend fun <T> inWorld(block: suspend () -> T): T = withContext(world) { block() }

    // ---- controllers -----------------------------------------------------------------------------------------

    fun start() = nodes.indices.forEach(::start)

    fun start(node: Int) {
        val n = nodes[node]
        val selector = ActorSelectorManager(Dispatchers.IO)
        n.selector = selector
        val controller =
            Controller(
                Settings.parse(settingsOf(node)),
                Tunables(),
                ControllerOptions(stateLeaseTtl = Duration(HOLD_MS)),
                selector,
                n.metrics,
                sharing(node),
                tracing,
            )
        n.controller = controller
        n.run = scope.launch(n.thread) { controller.run() }
    }

    /** As if its process had been killed: no lease is given back. */
    suspend fun kill(node: Int) {
        nodes[node].run?.cancelAndJoin()
        nodes[node].selector?.close()
        nodes[node].run = null
    }

    /** Asks it to hand its shards over before it is stopped; false if some are left. */
    suspend fun drain(node: Int): Boolean = withContext(Dispatchers.IO) { nodes[node].controller?.drain(PATIENCE_MS) == true }

    /** Its process stops for [ms] and then goes on, unaware of it. */
    fun freeze(
        node: Int,
        ms: Long,
    ) {
        scope.launch(nodes[node].thread) { CountDownLatch(1).await(ms, TimeUnit.MILLISECONDS) }
    }

    /** Which controller owns each shard by the state service; null where none does. */
    suspend fun owners(): List<String?> =
        inWorld {
            val count = state.value("term/holder")?.countOrNull("shards")?.toInt() ?: 0
            List(count) { state.value("shards/holder/%03d".format(it))?.text("node") }
        }

    /** Tokens given out so far: each election of a shard's owner takes one. */
    suspend fun highestToken(): Long = inWorld { state.value("shards/counter")?.count("n") ?: 0 }

    suspend fun metric(
        node: Int,
        name: String,
    ): Double =
        withContext(nodes[node].thread) {
            nodes[node]
                .metrics
                .scrape(emptyMap(), emptyMap())
                .lineSequence()
                .firstOrNull { it.startsWith("$name ") }
                ?.substringAfterLast(' ')
                ?.toDouble() ?: 0.0
        }

    // ---- users -----------------------------------------------------------------------------------------------

    fun gang(
        tasks: Int,
        seconds: Double,
        team: String = teams.keys.first(),
        cores: Double = 2.0,
    ) = spec(JobShape.GANG, tasks, seconds, team, cores)

    fun array(
        tasks: Int,
        seconds: Double,
        team: String = teams.keys.first(),
    ) = spec(JobShape.ARRAY, tasks, seconds, team, 1.0)

    private fun spec(
        shape: JobShape,
        tasks: Int,
        seconds: Double,
        team: String,
        cores: Double,
    ) = JobSpec(
        JobRef("job-%06d".format(nextJob++)),
        "c",
        team,
        shape,
        Urgency.STANDARD,
        tasks,
        Resources(cores, 0.0, 1.0),
        "i",
        0.1,
        null,
        null,
        oneZone = false,
        spread = false,
        spot = false,
        estimateS = seconds,
        checkpointS = 0.0,
        saveS = 0.0,
        deadlineS = null,
    )

    /** Submits at one controller after another until the job is accepted. */
    suspend fun submit(
        spec: JobSpec,
        first: Int = 0,
    ) {
        inWorld { ledger.accepted(spec) }
        val body = Pack.encode(Wire.encodeJobSpec(spec))
        var node = first
        until("$spec is accepted") {
            val status = call(node++ % controllers, "POST", Wire.JOBS, body)?.status
            status == 200 || status == 201
        }
    }

    suspend fun cancel(
        spec: JobSpec,
        node: Int,
    ) = until("${spec.ref} is cancelled") { call(node, "POST", "${Wire.JOBS}/${spec.ref}/cancel", EMPTY)?.status == 200 }

    suspend fun stageOf(
        spec: JobSpec,
        node: Int,
    ): String? =
        call(node, "GET", "${Wire.JOBS}/${spec.ref}", null)
            ?.takeIf { it.status == 200 }
            ?.let { Pack.decodeMap(it.body).text("stage") }

    suspend fun call(
        node: Int,
        method: String,
        path: String,
        body: ByteArray?,
    ) = try {
        HttpClient(worldSelector, nodes[node].serve, maxIdleConnections = 0).call(method, path, body, CALL_MS)
    } catch (e: IOException) {
        null
    }

    /** Waits for a condition, however long the machine takes for it, within reason. */
    suspend fun until(
        what: String,
        withinMs: Long = PATIENCE_MS,
        condition: suspend () -> Boolean,
    ) {
        try {
            withTimeout(withinMs) { while (!condition()) delay(POLL_MS) }
        } catch (e: kotlinx.coroutines.TimeoutCancellationException) {
            throw AssertionError("not within $withinMs ms: $what", e)
        }
    }

    suspend fun allDone(jobs: List<JobSpec>): Boolean = jobs.withIndex().all { (i, job) -> stageOf(job, i % controllers) == "done" }

    private fun settingsOf(node: Int): String {
        val siblings = nodes.filterIndexed { i, _ -> i != node }
        val siblingText = siblings.joinToString { """{"node_name":"${it.name}","site":"a","endpoint":"${it.peer}"}""" }
        val teamText =
            teams.entries.joinToString { (name, cores) ->
                """{"name":"$name","cpus":${cores / 2},"cpus_max":$cores,"gpus":0,"gpus_max":0}"""
            }
        val n = nodes[node]
        return """{"node_name":"${n.name}","site":"a","serve_on":"${n.serve}","peer_listen":"${n.peer}","siblings":[$siblingText],
            "endpoints":{"cloud":"$cloudAt","state":"$stateAt"},
            "facts":{"initial_size":0,"zones":["a"],"teams":[$teamText],"objectives":[],
            "workers":{"report_s":${TIMES.reportMs / 1000.0},"lease_s":${TIMES.leaseMs / 1000.0},"gang_wait_s":${TIMES.gangWaitMs / 1000.0},
            "gang_peer_s":3,"cancel_s":25},
            "state":{"rps":600,"write_rps":200,"value_kb":4,"txn_ops":8},"cloud":{"rps":40,"list_lag_s":1},
            "machine_limits":{"core_share":1,"memory_mb":500,"sockets":2000},"time_bound_ms":25}}"""
    }

    override fun close() {
        scope.coroutineContext[Job]?.cancel()
        for (n in nodes) n.thread.close()
        for (n in nodes) n.selector?.close()
        worldSelector.close()
        world.close()
    }

    companion object {
        val TIMES = WorkerStandIn.WorkerTimes(reportMs = 500, leaseMs = 8_000, gangWaitMs = 10_000)
        private const val HOLD_MS = 1_500L
        private const val LEASE_CHECK_MS = 50L
        private const val LIMIT_MS = 70_000L
        private const val CALL_MS = 3_000L
        private const val POLL_MS = 50L

        /** Only a test that fails waits so long. */
        private const val PATIENCE_MS = 90_000L
        private val EMPTY = Pack.encode(emptyMap<String, Any?>())
    }
}
