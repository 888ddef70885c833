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
 * Runs real controllers on loopback, each on its own thread, against a fake state service, a fake cloud and fake workers,
 * which share one more thread.
 */
internal class LoopbackCluster(
    private val controllerCount: Int,
    private val sharingOptions: (Int) -> SharingOptions?,
    machineCount: Int,
    private val teamCoreLimits: Map<String, Double>,
    private val tracing: MoveTracing? = null,
) : AutoCloseable {
    private class Node(
        val name: String,
        val httpEndpoint: Endpoint,
        val peerEndpoint: Endpoint,
        val thread: ExecutorCoroutineDispatcher,
        val metrics: Metrics = Metrics(),
    ) {
        var controllerJob: Job? = null
        var controller: Controller? = null
        var selector: ActorSelectorManager? = null
    }

    private val fakesThread = Executors.newSingleThreadExecutor { Thread(it, "fakes") }.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob())
    private val fakesSelector = ActorSelectorManager(Dispatchers.IO)
    private val ports = findFreePorts(2 + controllerCount * 2)
    private val stateEndpoint = Endpoint("127.0.0.1", ports[0])
    private val cloudEndpoint = Endpoint("127.0.0.1", ports[1])
    private val nodes =
        List(controllerCount) { i ->
            val thread = Executors.newSingleThreadExecutor { Thread(it, "controller-$i") }.asCoroutineDispatcher()
            Node("node-$i", Endpoint("127.0.0.1", ports[2 + i * 2]), Endpoint("127.0.0.1", ports[3 + i * 2]), thread)
        }
    val taskTracker = TaskTracker(teamCoreLimits)
    val stateService = FakeStateService()
    private val workerJobs = HashMap<String, Job>()
    val workers = LinkedHashMap<String, FakeWorker>()
    val cloud = FakeCloud(machineCount, ::startWorker, ::stopWorker)
    private var nextJob = 1

    init {
        scope.launch(fakesThread) { serve(stateEndpoint) { stateService.handle(it) } }
        scope.launch(fakesThread) { serve(cloudEndpoint) { cloud.handle(it) } }
        scope.launch(fakesThread) {
            while (true) {
                stateService.expireLeases()
                delay(LEASE_CHECK_INTERVAL_MS)
            }
        }
    }

    private fun findFreePorts(count: Int): List<Int> = List(count) { ServerSocket(0) }.onEach { it.close() }.map { it.localPort }

    private suspend fun serve(
        endpoint: Endpoint,
        handler: suspend (HttpRequest) -> HttpResponse,
    ) {
        val limits = ServerLimits(1_000, 1 shl 20, SERVER_TIMEOUT_MS, SERVER_TIMEOUT_MS, SERVER_TIMEOUT_MS, SERVER_TIMEOUT_MS)
        HttpServer(fakesSelector, endpoint, limits, handler = handler).run()
    }

    // ---- machines --------------------------------------------------------------------------------------------

    private fun startWorker(machine: FakeCloud.RentedMachine) {
        val worker = FakeWorker(fakesSelector, machine, nodes.associate { it.name to it.httpEndpoint }, WORKER_TIMES, taskTracker)
        workers[machine.name] = worker
        workerJobs[machine.name] = scope.launch(fakesThread) { worker.run() }
    }

    private fun stopWorker(name: String) {
        workerJobs.remove(name)?.cancel()
    }

    /** Runs [block] on the thread that owns the fakes and the task tracker. */
    suspend fun <T> onFakesThread(block: suspend () -> T): T = withContext(fakesThread) { block() }

    // ---- controllers -----------------------------------------------------------------------------------------

    fun start() = nodes.indices.forEach(::start)

    fun start(nodeIndex: Int) {
        val node = nodes[nodeIndex]
        val selector = ActorSelectorManager(Dispatchers.IO)
        node.selector = selector
        val controller =
            Controller(
                Settings.parse(settingsJson(nodeIndex)),
                Tunables(),
                ControllerOptions(stateLeaseTtl = Duration(STATE_LEASE_TTL_MS)),
                selector,
                node.metrics,
                sharingOptions(nodeIndex),
                tracing,
            )
        node.controller = controller
        node.controllerJob = scope.launch(node.thread) { controller.run() }
    }

    /** Simulates a killed process: the controller's leases are not released. */
    suspend fun kill(nodeIndex: Int) {
        nodes[nodeIndex].controllerJob?.cancelAndJoin()
        nodes[nodeIndex].selector?.close()
        nodes[nodeIndex].controllerJob = null
    }

    /** Asks the controller to hand off its shards before it is stopped. Returns false if it still owns some. */
    suspend fun drain(nodeIndex: Int): Boolean =
        withContext(Dispatchers.IO) {
            nodes[nodeIndex].controller?.drain(CONDITION_TIMEOUT_MS) == true
        }

    /** Simulates a paused process: blocks the controller's thread for [ms], after which it continues. */
    fun pause(
        nodeIndex: Int,
        ms: Long,
    ) {
        scope.launch(nodes[nodeIndex].thread) { CountDownLatch(1).await(ms, TimeUnit.MILLISECONDS) }
    }

    /** The owner of each shard according to the state service, or null for a shard without an owner. */
    suspend fun shardOwners(): List<String?> =
        onFakesThread {
            val count = stateService.value("term/holder")?.countOrNull("shards")?.toInt() ?: 0
            List(count) { stateService.value("shards/holder/%03d".format(it))?.text("node") }
        }

    /** Whether every shard has an owner. */
    suspend fun isOwned(options: SharingOptions): Boolean = shardOwners().let { it.size == options.shards && null !in it }

    /** Highest shard term so far: each election of a shard's owner takes the next one. */
    suspend fun highestTerm(): Long = onFakesThread { stateService.value("shards/counter")?.count("n") ?: 0 }

    suspend fun metric(
        nodeIndex: Int,
        name: String,
    ): Double =
        withContext(nodes[nodeIndex].thread) {
            nodes[nodeIndex]
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
        team: String = teamCoreLimits.keys.first(),
        cores: Double = 2.0,
    ) = jobSpec(JobShape.GANG, tasks, seconds, team, cores)

    fun array(
        tasks: Int,
        seconds: Double,
        team: String = teamCoreLimits.keys.first(),
    ) = jobSpec(JobShape.ARRAY, tasks, seconds, team, 1.0)

    private fun jobSpec(
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

    /** Submits the job to one controller after another until one accepts it. */
    suspend fun submit(
        spec: JobSpec,
        firstNodeIndex: Int = 0,
    ) {
        onFakesThread { taskTracker.onSubmitted(spec) }
        val body = Pack.encode(Wire.encodeJobSpec(spec))
        var nodeIndex = firstNodeIndex
        awaitCondition("$spec is accepted") {
            val status = call(nodeIndex++ % controllerCount, "POST", Wire.JOBS, body)?.status
            status == 200 || status == 201
        }
    }

    /** From the confirmation on, a start of one of the job's tasks in answer to a later report is a violation. */
    suspend fun cancel(
        spec: JobSpec,
        nodeIndex: Int,
    ) {
        awaitCondition("${spec.ref} is cancelled") { call(nodeIndex, "POST", "${Wire.JOBS}/${spec.ref}/cancel", EMPTY_BODY)?.status == 200 }
        onFakesThread { taskTracker.onCancellationConfirmed(spec.ref) }
    }

    suspend fun stageOf(
        spec: JobSpec,
        nodeIndex: Int,
    ): String? =
        call(nodeIndex, "GET", "${Wire.JOBS}/${spec.ref}", null)
            ?.takeIf { it.status == 200 }
            ?.let { Pack.decodeMap(it.body).text("stage") }

    suspend fun call(
        nodeIndex: Int,
        method: String,
        path: String,
        body: ByteArray?,
    ) = try {
        HttpClient(fakesSelector, nodes[nodeIndex].httpEndpoint, maxIdleConnections = 0).call(method, path, body, CALL_TIMEOUT_MS)
    } catch (e: IOException) {
        null
    }

    /** Waits until [condition] holds. The default timeout leaves ample time for a slow machine. */
    suspend fun awaitCondition(
        description: String,
        timeoutMs: Long = CONDITION_TIMEOUT_MS,
        condition: suspend () -> Boolean,
    ) {
        try {
            withTimeout(timeoutMs) { while (!condition()) delay(POLL_INTERVAL_MS) }
        } catch (e: kotlinx.coroutines.TimeoutCancellationException) {
            throw AssertionError("condition not met within $timeoutMs ms: $description", e)
        }
    }

    suspend fun allDone(jobs: List<JobSpec>): Boolean = jobs.withIndex().all { (i, job) -> stageOf(job, i % controllerCount) == "done" }

    private fun settingsJson(nodeIndex: Int): String {
        val peers = nodes.filterIndexed { i, _ -> i != nodeIndex }
        val peersJson = peers.joinToString { """{"node_name":"${it.name}","site":"a","endpoint":"${it.peerEndpoint}"}""" }
        val teamsJson =
            teamCoreLimits.entries.joinToString { (name, cores) ->
                """{"name":"$name","cpus":${cores / 2},"cpus_max":$cores,"gpus":0,"gpus_max":0}"""
            }
        val node = nodes[nodeIndex]
        return """{"node_name":"${node.name}","site":"a","serve_on":"${node.httpEndpoint}","peer_listen":"${node.peerEndpoint}","siblings":[$peersJson],
            "endpoints":{"cloud":"$cloudEndpoint","state":"$stateEndpoint"},
            "facts":{"initial_size":0,"zones":["a"],"teams":[$teamsJson],"objectives":[],
            "workers":{"report_s":${WORKER_TIMES.reportIntervalMs / 1000.0},"lease_s":${WORKER_TIMES.leaseDurationMs / 1000.0},"gang_wait_s":${WORKER_TIMES.gangTimeoutMs / 1000.0},
            "gang_peer_s":3,"cancel_s":25},
            "state":{"rps":600,"write_rps":200,"value_kb":4,"txn_ops":${FakeStateService.MAX_CHANGES}},"cloud":{"rps":40,"list_lag_s":1},
            "machine_limits":{"core_share":1,"memory_mb":500,"sockets":2000},"time_bound_ms":25}}"""
    }

    override fun close() {
        scope.coroutineContext[Job]?.cancel()
        for (node in nodes) node.thread.close()
        for (node in nodes) node.selector?.close()
        fakesSelector.close()
        fakesThread.close()
    }

    companion object {
        val WORKER_TIMES = FakeWorker.WorkerTimes(reportIntervalMs = 500, leaseDurationMs = 8_000, gangTimeoutMs = 10_000)
        private const val STATE_LEASE_TTL_MS = 1_500L
        private const val LEASE_CHECK_INTERVAL_MS = 50L
        private const val SERVER_TIMEOUT_MS = 70_000L
        private const val CALL_TIMEOUT_MS = 3_000L
        private const val POLL_INTERVAL_MS = 50L

        /** Long enough that only a failing test reaches it. */
        private const val CONDITION_TIMEOUT_MS = 90_000L
        private val EMPTY_BODY = Pack.encode(emptyMap<String, Any?>())
    }
}
