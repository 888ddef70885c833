package dewwing.control.app

import dewwing.control.core.Tunables
import dewwing.control.http.HttpClient
import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpResponse
import dewwing.control.http.HttpServer
import dewwing.control.http.ServerLimits
import dewwing.protocol.Endpoint
import dewwing.protocol.Pack
import dewwing.protocol.Settings
import dewwing.protocol.Wire
import io.ktor.network.selector.ActorSelectorManager
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.ServerSocket
import java.util.concurrent.Executors

/**
 * Runs a controller for a few seconds against stubs of the state service and the cloud on loopback, so that the build can
 * record the classes that a start needs for the class data archive. On a small machine, the CPU time of a start adds to
 * the time that a failover takes.
 */
internal object ClassDataWarmup {
    private const val DURATION_MS = 4_000L

    fun run() {
        val ports = List(4) { ServerSocket(0) }.also { all -> all.forEach { it.close() } }.map { it.localPort }
        val settings = Settings.parse(settingsText(ports))
        val selectorThread = Executors.newSingleThreadExecutor { task -> Thread(task, "selector").apply { isDaemon = true } }
        val selector = ActorSelectorManager(selectorThread.asCoroutineDispatcher())
        runBlocking {
            withTimeoutOrNull(DURATION_MS) {
                val limits = ServerLimits(100, Wire.MAX_BODY_BYTES, 5_000, 5_000, 5_000, 5_000)
                launch { HttpServer(selector, Endpoint("127.0.0.1", ports[2]), limits, handler = StateServiceStub()::respond).run() }
                launch { HttpServer(selector, Endpoint("127.0.0.1", ports[3]), limits, handler = ::respondAsCloud).run() }
                delay(100)
                launch { Controller(settings, Tunables(), ControllerOptions(), selector, Metrics()).run() }
                delay(1_500)
                sendRequests(HttpClient(selector, settings.httpListen, maxIdleConnections = 1))
            }
        }
    }

    private suspend fun sendRequests(client: HttpClient) {
        val job =
            linkedMapOf<String, Any?>(
                "ref" to "job-000001",
                "flock" to "c",
                "roost" to "t",
                "shape" to "sweep",
                "urgency" to "high",
                "drops" to 3,
                "cores" to 1.0,
                "accelerators" to 0.0,
                "memoryGb" to 1.0,
                "seed" to "i",
                "sizeGb" to 1.0,
                "perchKinds" to null,
                "meadow" to null,
                "together" to false,
                "apart" to false,
                "windfall" to true,
                "expectS" to 5.0,
                "dewS" to 0.0,
                "settleS" to 0.0,
                "dueS" to null,
            )
        var sequence = 0L

        fun report(term: Long) =
            linkedMapOf<String, Any?>(
                "perch" to "m-000001",
                "endpoint" to "127.0.0.1:1",
                "perchKind" to "k",
                "meadow" to "z",
                "windfall" to false,
                "flight" to 1,
                "beat" to ++sequence,
                "crest" to term,
                "warnS" to null,
                "drops" to emptyList<Any?>(),
            )
        val requests =
            listOf<Triple<String, String, () -> Any?>>(
                Triple("GET", Wire.HEALTH) { null },
                Triple("POST", Wire.JOBS) { job },
                Triple("POST", Wire.REPORT) { report(0) },
                Triple("GET", "${Wire.JOBS}/job-000001") { null },
                Triple("POST", Wire.REPORT) { report(1) },
                Triple("POST", Wire.REPORT) { report(1) },
                Triple("POST", "${Wire.JOBS}/job-000001/cancel") { emptyMap<String, Any?>() },
                Triple("GET", Metrics.PATH) { null },
            )
        for ((method, path, body) in requests) {
            try {
                client.call(method, path, body()?.let(Pack::encode), 1_000)
            } catch (e: IOException) {
                System.err.println("class data warm-up: request failed: ${e.message}")
            }
            delay(120)
        }
    }

    /** Implements just enough of the state service for an election and one job. */
    private class StateServiceStub {
        private var revision = 0L
        private val values = sortedMapOf<String, Pair<Any?, Long>>()

        suspend fun respond(request: HttpRequest): HttpResponse =
            when {
                request.path == Wire.COMMIT -> {
                    revision++
                    val body = Pack.decodeMap(request.body)
                    for (op in body.mapList("apply")) op.textOrNull("put")?.let { values[it] = op.raw["value"] to revision }
                    HttpResponse.of(200, mapOf("tide" to revision))
                }

                request.path == Wire.STATE_LEASES -> {
                    HttpResponse.of(200, mapOf("tether" to 1))
                }

                request.path.startsWith(Wire.STATE_LEASES) -> {
                    HttpResponse.of(200, emptyMap<String, Any?>())
                }

                request.path == Wire.WATCH -> {
                    delay(300)
                    val jobs =
                        values
                            .filterKeys { it.startsWith("job/") }
                            .map { (key, value) -> mapOf("put" to key, "value" to value.first, "mark" to value.second) }
                    HttpResponse.of(200, mapOf("tide" to revision, "log" to jobs))
                }

                request.path == Wire.STORE -> {
                    val prefix = request.query.substringAfter("under=").substringBefore('&')
                    val entries =
                        values
                            .filterKeys { it.startsWith(prefix) }
                            .map { (key, value) -> mapOf("path" to key, "value" to value.first, "mark" to value.second) }
                    HttpResponse.of(200, mapOf("entries" to entries, "hasNext" to false, "tide" to revision))
                }

                else -> {
                    val key = request.path.removePrefix(Wire.STORE + "/")
                    val value = values[key]
                    if (value == null) {
                        HttpResponse.of(404, mapOf("tide" to revision))
                    } else {
                        HttpResponse.of(200, mapOf("path" to key, "value" to value.first, "mark" to value.second))
                    }
                }
            }
    }

    private suspend fun respondAsCloud(request: HttpRequest): HttpResponse =
        when (request.path) {
            Wire.MACHINE_TYPES -> {
                HttpResponse.of(
                    200,
                    mapOf(
                        "perchKinds" to
                            listOf(
                                mapOf(
                                    "name" to "k",
                                    "cores" to 8.0,
                                    "accelerators" to 0.0,
                                    "memoryGb" to 32.0,
                                    "cacheGb" to 10.0,
                                    "pullGbPerS" to 1.0,
                                    "rate" to 1.0,
                                    "marketPrice" to 0.5,
                                    "readyS" to 10.0,
                                    "meadows" to listOf("z"),
                                ),
                            ),
                    ),
                )
            }

            Wire.MACHINES -> {
                if (request.method == "POST") {
                    HttpResponse.of(200, mapOf("perches" to listOf("m-000002")))
                } else {
                    HttpResponse.of(
                        200,
                        mapOf(
                            "perches" to
                                listOf(
                                    mapOf(
                                        "ref" to "m-000001",
                                        "endpoint" to "127.0.0.1:1",
                                        "perchKind" to "k",
                                        "meadow" to "z",
                                        "windfall" to false,
                                        "stage" to "running",
                                        "ageS" to 1.0,
                                    ),
                                ),
                            "hasNext" to false,
                        ),
                    )
                }
            }

            else -> {
                HttpResponse.of(200, emptyMap<String, Any?>())
            }
        }

    private fun settingsText(ports: List<Int>) =
        """
        {"node_name":"n0","site":"z","serve_on":"127.0.0.1:${ports[0]}","peer_listen":"127.0.0.1:${ports[1]}",
         "siblings":[{"node_name":"n1","site":"z","endpoint":"127.0.0.1:${ports[1]}"}],
         "endpoints":{"cloud":"127.0.0.1:${ports[3]}","state":"127.0.0.1:${ports[2]}"},
         "facts":{"teams":[{"name":"t","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}],
          "objectives":[{"kind":"wait","class":"c","within_s":5.0,"share":0.5}],
          "workers":{"report_s":1.0,"lease_s":5.0,"gang_wait_s":5.0,"gang_peer_s":2.0,"cancel_s":10.0},
          "state":{"rps":100.0,"write_rps":20.0,"value_kb":8.0,"txn_ops":8},
          "cloud":{"rps":4.0,"list_lag_s":1.0},"machine_limits":{"sockets":200}}}
        """.trimIndent()
}
