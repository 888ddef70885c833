package dewwing.control.app

import dewwing.control.core.Tunables
import dewwing.control.http.HttpAnswer
import dewwing.control.http.HttpClient
import dewwing.control.http.HttpRequest
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
 * A few seconds of a controller's life against a canned state service and cloud on loopback, so that the build can
 * record the classes a start needs. Start-up processor time is failover time on a small machine.
 */
internal object ClassDataWarmup {
    private const val LENGTH_MS = 4_000L

    fun run() {
        val ports = List(4) { ServerSocket(0) }.also { all -> all.forEach { it.close() } }.map { it.localPort }
        val settings = Settings.parse(settingsText(ports))
        val thread = Executors.newSingleThreadExecutor { r -> Thread(r, "selector").apply { isDaemon = true } }
        val selector = ActorSelectorManager(thread.asCoroutineDispatcher())
        runBlocking {
            withTimeoutOrNull(LENGTH_MS) {
                val limits = ServerLimits(100, Wire.MAX_BODY, 5_000, 5_000, 5_000, 5_000)
                launch { HttpServer(selector, Endpoint("127.0.0.1", ports[2]), limits, handler = CannedState()::answer).run() }
                launch { HttpServer(selector, Endpoint("127.0.0.1", ports[3]), limits, handler = ::cloudAnswer).run() }
                delay(100)
                launch { Controller(settings, Tunables(), ControllerOptions(), selector, Metrics()).run() }
                delay(1_500)
                visit(HttpClient(selector, settings.serveOn, maxIdle = 1))
            }
        }
    }

    private suspend fun visit(client: HttpClient) {
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
        var beat = 0L

        fun report(crest: Long) =
            linkedMapOf<String, Any?>(
                "perch" to "m-000001",
                "endpoint" to "127.0.0.1:1",
                "perchKind" to "k",
                "meadow" to "z",
                "windfall" to false,
                "flight" to 1,
                "beat" to ++beat,
                "crest" to crest,
                "warnS" to null,
                "drops" to emptyList<Any?>(),
            )
        val calls =
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
        for ((method, path, body) in calls) {
            try {
                client.call(method, path, body()?.let(Pack::encode), 1_000)
            } catch (e: IOException) {
                System.err.println("rehearsal: ${e.message}")
            }
            delay(120)
        }
    }

    /** Just enough of a state service to be elected by and to keep one job in. */
    private class CannedState {
        private var tide = 0L
        private val values = sortedMapOf<String, Pair<Any?, Long>>()

        suspend fun answer(request: HttpRequest): HttpAnswer =
            when {
                request.path == Wire.COMMIT -> {
                    tide++
                    val body = Pack.decodeMap(request.body)
                    for (op in body.maps("apply")) op.textOrNull("put")?.let { values[it] = op.raw["value"] to tide }
                    HttpAnswer.of(200, mapOf("tide" to tide))
                }

                request.path == Wire.HOLDS -> {
                    HttpAnswer.of(200, mapOf("tether" to 1))
                }

                request.path.startsWith(Wire.HOLDS) -> {
                    HttpAnswer.of(200, emptyMap<String, Any?>())
                }

                request.path == Wire.FOLLOW -> {
                    delay(300)
                    val all =
                        values
                            .filterKeys { it.startsWith("job/") }
                            .map { (k, v) -> mapOf("put" to k, "value" to v.first, "mark" to v.second) }
                    HttpAnswer.of(200, mapOf("tide" to tide, "log" to all))
                }

                request.path == Wire.STORE -> {
                    val prefix = request.query.substringAfter("under=").substringBefore('&')
                    val entries =
                        values
                            .filterKeys { it.startsWith(prefix) }
                            .map { (k, v) -> mapOf("path" to k, "value" to v.first, "mark" to v.second) }
                    HttpAnswer.of(200, mapOf("entries" to entries, "hasNext" to false, "tide" to tide))
                }

                else -> {
                    val key = request.path.removePrefix(Wire.STORE + "/")
                    val value = values[key]
                    if (value == null) {
                        HttpAnswer.of(404, mapOf("tide" to tide))
                    } else {
                        HttpAnswer.of(200, mapOf("path" to key, "value" to value.first, "mark" to value.second))
                    }
                }
            }
    }

    private suspend fun cloudAnswer(request: HttpRequest): HttpAnswer =
        when (request.path) {
            Wire.TYPES -> {
                HttpAnswer.of(
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
                    HttpAnswer.of(200, mapOf("perches" to listOf("m-000002")))
                } else {
                    HttpAnswer.of(
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
                HttpAnswer.of(200, emptyMap<String, Any?>())
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
