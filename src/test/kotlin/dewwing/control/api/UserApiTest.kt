package dewwing.control.api

import dewwing.control.core.JobCounts
import dewwing.control.core.SharedRateLimiter
import dewwing.control.core.TokenBucket
import dewwing.control.core.intent.JobRecord
import dewwing.control.core.quota.Quota
import dewwing.control.core.sharing.ShardId
import dewwing.control.http.HttpClient
import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpResponse
import dewwing.control.http.HttpServer
import dewwing.control.http.ServerLimits
import dewwing.control.state.StateClient
import dewwing.protocol.Endpoint
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobStage
import dewwing.protocol.MachineType
import dewwing.protocol.Pack
import dewwing.protocol.Resources
import dewwing.protocol.Revision
import dewwing.protocol.Team
import dewwing.protocol.Wire
import io.ktor.network.selector.ActorSelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.ServerSocket

/** Submit, query and cancel against a stand-in of the state service on loopback. */
class UserApiTest {
    private class Host(
        override var machineTypes: Collection<MachineType>,
    ) : ApiHost {
        override var stateReachableOnlyViaPeer = false
        var relayAnswer: HttpResponse? = null
        var relays = 0

        override suspend fun relay(request: HttpRequest): HttpResponse? {
            relays++
            return relayAnswer
        }

        val confirmedCancellations = ArrayList<Pair<JobRef, Revision>>()

        override fun onCancellationConfirmed(
            job: JobRef,
            revision: Revision,
        ) {
            confirmedCancellations.add(job to revision)
        }

        override suspend fun jobCounts(
            ref: JobRef,
            shard: ShardId?,
        ): JobCounts? = null

        var destination = JobDestination(null)

        override fun destinationOf(ref: JobRef) = destination

        /** Time that the test lets pass at once. */
        var skippedMs = 0L

        override fun now() = Instant(System.nanoTime() / 1_000_000 + skippedMs)

        override fun wallClockMs() = 1_000L
    }

    private val type = MachineType("k", Resources(8.0, 0.0, 64.0), 10.0, 1.0, 1.0, 0.5, 10.0, listOf("a"))

    private fun job(
        id: String = "job-1",
        vararg change: Pair<String, Any?>,
    ) = linkedMapOf<String, Any?>(
        "ref" to id,
        "flock" to "c",
        "roost" to "t",
        "shape" to "sweep",
        "urgency" to "high",
        "drops" to 3,
        "cores" to 2.0,
        "accelerators" to 0.0,
        "memoryGb" to 4.0,
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
    ).apply { putAll(change) }

    private fun withApi(
        requests: Double = 10_000.0,
        block: suspend (UserApi, StateStandIn, Host) -> Unit,
    ) = runBlocking {
        val port = ServerSocket(0).use { it.localPort }
        val endpoint = Endpoint("127.0.0.1", port)
        ActorSelectorManager(Dispatchers.IO).use { selector ->
            val standIn = StateStandIn()
            val bound = CompletableDeferred<Unit>()
            val limits = ServerLimits(50, Wire.MAX_BODY_BYTES, 5_000, 5_000, 5_000, 5_000)
            val server = launch { HttpServer(selector, endpoint, limits, { bound.complete(Unit) }, standIn::answer).run() }
            bound.await()
            val host = Host(listOf(type))
            val clock = { host.now() }
            val plenty = TokenBucket(10_000.0, 10_000.0)
            val http = HttpClient(selector, endpoint, 2)
            val state = StateClient(http, http, plenty, clock) { _, _ -> }
            val api =
                UserApi(
                    state = state,
                    quota = Quota(listOf(Team("t", 0.0, 16.0, 0.0, null))),
                    host = host,
                    changeRateLimiter = SharedRateLimiter(0.001, 2.0),
                    queryRateLimit = QueryRateLimit(perSecond = 0.001, burst = requests) { 1.0 },
                    maxConditions = MAX_CONDITIONS,
                    maxValueBytes = 4_000,
                )
            launch { api.run() }
            block(api, standIn, host)
            server.cancel()
            coroutineContext.cancelChildren()
        }
    }

    private suspend fun UserApi.post(
        path: String,
        body: Any?,
    ) = handle(HttpRequest("POST", path, "", Pack.encode(body)), relayed = true)

    private suspend fun UserApi.get(path: String) = handle(HttpRequest("GET", path, "", ByteArray(0)), relayed = true)

    private fun stage(a: HttpResponse) = Pack.decodeMap(a.body).text("stage")

    @Test
    fun `a job is accepted once, known for ever, and cancelled for good`() =
        withApi { api, _, _ ->
            assertEquals(404, api.get("/api/jobs/job-1").status)
            assertEquals(201, api.post(Wire.JOBS, job()).status)
            assertEquals(200, api.post(Wire.JOBS, job()).status)
            // A retry is judged by its id alone, whatever became of its content.
            assertEquals(200, api.post(Wire.JOBS, job("job-1", "drops" to -4)).status)
            assertEquals(200, api.post(Wire.JOBS, job("job-1", "roost" to "nobody")).status)
            assertEquals("queued", stage(api.get("/api/jobs/job-1")))
            assertEquals("aborted", stage(api.post("/api/jobs/job-1/cancel", emptyMap<String, Any?>())))
            assertEquals("aborted", stage(api.get("/api/jobs/job-1")))
            assertEquals("aborted", stage(api.post(Wire.JOBS, job())))
        }

    @Test
    fun `what is malformed, can never run or is not there is told apart`() =
        withApi { api, _, host ->
            assertEquals(400, api.handle(HttpRequest("POST", Wire.JOBS, "", byteArrayOf(1, 2)), true).status)
            assertEquals(400, api.post(Wire.JOBS, listOf(1)).status)
            assertEquals(400, api.post(Wire.JOBS, job("job-x")).status)
            assertEquals(422, api.post(Wire.JOBS, job("job-2", "roost" to "nobody")).status)
            assertEquals(422, api.post(Wire.JOBS, job("job-2", "cores" to 9.0)).status)
            assertEquals(422, api.post(Wire.JOBS, job("job-2", "shape" to "group", "drops" to 9)).status)
            assertEquals(422, api.post(Wire.JOBS, job("job-2", "meadow" to "b")).status)
            assertEquals(404, api.get("/api/jobs/none").status)
            assertEquals(404, api.get("/elsewhere").status)
            assertEquals(405, api.get(Wire.JOBS).status)
            assertEquals(404, api.post("/api/jobs/job-9/cancel", emptyMap<String, Any?>()).status)
            host.machineTypes = emptyList()
            assertEquals(503, api.post(Wire.JOBS, job("job-2")).status)
        }

    /** Each field of a submission in turn: missing, of another type, out of range. None is accepted, none ends as known. */
    @Test
    fun `a submission with any field missing or wrong is malformed, and one that is known is answered by its id alone`() =
        withApi { api, standIn, _ ->
            val mayBeNull = setOf("perchKinds", "meadow", "dueS")
            val wrong =
                mapOf<String, List<Any?>>(
                    "ref" to listOf(7, "", "job-", "JOB-1", "job-1/2", "job-1 "),
                    "flock" to listOf(1, ""),
                    "roost" to listOf(false, ""),
                    "shape" to listOf("array", 1),
                    "urgency" to listOf("urgent", 2),
                    "drops" to listOf(0, -1, 100_001, 2.5, "3", true),
                    "cores" to listOf("2", -1.0, Double.NaN, Double.POSITIVE_INFINITY),
                    "accelerators" to listOf("0", -0.5),
                    "memoryGb" to listOf(true, -4),
                    "seed" to listOf(3, ""),
                    "sizeGb" to listOf("1", -1.0),
                    "perchKinds" to listOf("k", emptyList<String>(), listOf(1), listOf("k".repeat(300))),
                    "meadow" to listOf(1, "a".repeat(300)),
                    "together" to listOf("no", 0),
                    "apart" to listOf(1),
                    "windfall" to listOf("yes"),
                    "expectS" to listOf("5", -5.0, Double.NaN),
                    "dewS" to listOf(-1, "0"),
                    "settleS" to listOf(-1.0, "0"),
                    "dueS" to listOf("soon", -1.0),
                )
            assertEquals(job().keys, wrong.keys)
            for ((name, values) in wrong) {
                if (name !in mayBeNull) assertEquals(400, api.post(Wire.JOBS, job("job-9").apply { remove(name) }).status, "$name missing")
                for (value in values) {
                    val answer = api.post(Wire.JOBS, job("job-9", name to value))
                    assertEquals(400, answer.status, "$name = $value")
                    if (name != "ref") assertTrue(Pack.decodeMap(answer.body).text("error").contains(name), "$name = $value")
                }
            }
            assertEquals(false, "job/job-9" in standIn.values)
            // Fields that nobody knows are ignored; null and absent are one.
            assertEquals(201, api.post(Wire.JOBS, job("job-1", "unknown" to listOf(1), "dueS" to null)).status)
            standIn.values["job/job-9"] = mapOf("stage" to "done", "at" to 1) to 80L
            for ((name, values) in wrong) {
                for (value in values) {
                    if (name != "ref") assertEquals("done", stage(api.post(Wire.JOBS, job("job-9", name to value))), "$name = $value")
                }
            }
            assertEquals("done", stage(api.post("/api/jobs/job-9/cancel", emptyMap<String, Any?>())))
        }

    /** Guards against a crowd of users that takes the requests with which the leader renews its hold. */
    @Test
    fun `more queries than the rate allows are told at once to come back, and refuse no submission`() =
        withApi(requests = 3.0) { api, _, _ ->
            val answers = List(5) { api.get("/api/jobs/job-1") }
            assertEquals(listOf(404, 404, 404, 429, 429), answers.map { it.status })
            assertTrue(answers.drop(3).all { it.retryAfterS == 1 })
            assertEquals(201, api.post(Wire.JOBS, job()).status)
            assertEquals("aborted", stage(api.post("/api/jobs/job-1/cancel", emptyMap<String, Any?>())))
        }

    @Test
    fun `an outage is told at once with a time to come back, and never as 404`() =
        withApi { api, standIn, _ ->
            assertEquals(201, api.post(Wire.JOBS, job()).status)
            standIn.failing = true
            for (a in listOf(
                api.get("/api/jobs/job-1"),
                api.get("/api/jobs/job-7"),
                api.post(Wire.JOBS, job("job-3")),
                api.post("/api/jobs/job-1/cancel", null),
            )) {
                assertEquals(503, a.status)
                assertEquals(1, a.retryAfterS)
            }
            standIn.failing = false
            assertEquals("queued", stage(api.get("/api/jobs/job-1")))
        }

    /** Guards against users who wait for a timeout each while a controller has lost the state service and its siblings. */
    @Test
    fun `once the state service has not answered for a while, users are told at once, and known ends are still told`() =
        withApi { api, standIn, host ->
            assertEquals(201, api.post(Wire.JOBS, job()).status)
            assertEquals(200, api.post("/api/jobs/job-1/cancel", emptyMap<String, Any?>()).status)
            standIn.failing = true
            assertEquals(503, api.get("/api/jobs/job-2").status)
            val asked = standIn.asked
            host.skippedMs = 2_000
            for (a in listOf(api.get("/api/jobs/job-2"), api.post(Wire.JOBS, job("job-3")))) {
                assertEquals(503, a.status)
                assertEquals(1, a.retryAfterS)
            }
            assertEquals(asked, standIn.asked)
            assertEquals("aborted", stage(api.get("/api/jobs/job-1")))
        }

    /** Guards against one bad record that ends the process or makes a job look as if nobody had submitted it. */
    @Test
    fun `an unreadable record is no 404 and blocks no other job`() =
        withApi { api, standIn, _ ->
            assertEquals(201, api.post(Wire.JOBS, job()).status)
            standIn.values["job/job-2"] = mapOf("stage" to 7) to 99L
            assertEquals(503, api.get("/api/jobs/job-2").status)
            assertEquals(503, api.post(Wire.JOBS, job("job-2")).status)
            assertEquals("queued", stage(api.get("/api/jobs/job-1")))
        }

    @Test
    fun `a controller that alone is refused turns to a sibling first, and a relayed request never travels on`() =
        withApi { api, standIn, host ->
            standIn.failing = true
            host.stateReachableOnlyViaPeer = true
            host.relayAnswer = HttpResponse.of(201, emptyMap<String, Any?>())
            val request = HttpRequest("POST", Wire.JOBS, "", Pack.encode(job()))
            assertEquals(201, api.handle(request, relayed = false).status)
            assertEquals(503, api.handle(request, relayed = true).status)
            assertEquals(1, host.relays)
        }

    @Test
    fun `a lost answer to an accepted submission still ends in an acceptance`() =
        withApi { api, standIn, _ ->
            standIn.loseNext = true
            assertEquals(200, api.post(Wire.JOBS, job()).status)
            assertEquals("queued", stage(api.get("/api/jobs/job-1")))
        }

    /**
     * Guards against a leader that never hears of a cancellation: whoever tells a user of it, on whatever request, has
     * to pass it on, also when the change was made elsewhere or its answer was lost.
     */
    @Test
    fun `whoever tells a user that a job is cancelled passes that on first, with the revision of its record`() =
        withApi { api, standIn, host ->
            val ref = JobRef("job-1")
            assertEquals(201, api.post(Wire.JOBS, job()).status)
            api.get("/api/jobs/job-1")
            assertEquals(emptyList<Any>(), host.confirmedCancellations)
            // Carried out, but its answer is lost: the user's repeat finds the job cancelled.
            standIn.loseNext = true
            assertEquals(503, api.post("/api/jobs/job-1/cancel", emptyMap<String, Any?>()).status)
            assertEquals(emptyList<Any>(), host.confirmedCancellations)
            assertEquals("aborted", stage(api.post("/api/jobs/job-1/cancel", emptyMap<String, Any?>())))
            assertEquals(listOf(ref to Revision(2)), host.confirmedCancellations)
            assertEquals(201, api.post(Wire.JOBS, job("job-2")).status)
            assertEquals("aborted", stage(api.post("/api/jobs/job-2/cancel", emptyMap<String, Any?>())))
            assertEquals(JobRef("job-2") to Revision(4), host.confirmedCancellations.last())
            // Cancelled by way of another controller: a question and a repeated submission tell it as well.
            for ((id, ask) in listOf<Pair<String, suspend () -> HttpResponse>>(
                "job-3" to { api.get("/api/jobs/job-3") },
                "job-4" to { api.post(Wire.JOBS, job("job-4")) },
            )) {
                standIn.values["job/$id"] = mapOf("stage" to "aborted", "at" to 1) to 70L
                assertEquals("aborted", stage(ask()))
                assertEquals(JobRef(id) to Revision(70), host.confirmedCancellations.last())
            }
            // A job that is done was not cancelled.
            standIn.values["job/job-5"] = mapOf("stage" to "done", "at" to 1) to 71L
            assertEquals("done", stage(api.post("/api/jobs/job-5/cancel", emptyMap<String, Any?>())))
            assertEquals(4, host.confirmedCancellations.size)
        }

    @Test
    fun `past its share of changes intake says 429, but knows its jobs`() =
        withApi { api, _, _ ->
            for (i in 1..6) assertEquals(201, api.post(Wire.JOBS, job("job-$i")).status)
            val refused = api.post(Wire.JOBS, job("job-7"))
            assertEquals(429, refused.status)
            assertEquals(1, refused.retryAfterS)
            assertEquals(200, api.post(Wire.JOBS, job("job-3")).status)
        }

    @Test
    fun `a body over the limit is refused without being read`() =
        runBlocking {
            val port = ServerSocket(0).use { it.localPort }
            ActorSelectorManager(Dispatchers.IO).use { selector ->
                val endpoint = Endpoint("127.0.0.1", port)
                val bound = CompletableDeferred<Unit>()
                val limits = ServerLimits(5, Wire.MAX_BODY_BYTES, 5_000, 5_000, 5_000, 5_000)
                val server =
                    launch { HttpServer(selector, endpoint, limits, { bound.complete(Unit) }) { HttpResponse.of(200, null) }.run() }
                bound.await()
                val client = HttpClient(selector, endpoint, 1)
                assertEquals(200, client.call("POST", "/", ByteArray(Wire.MAX_BODY_BYTES), 3_000).status)
                assertEquals(413, client.call("POST", "/", ByteArray(Wire.MAX_BODY_BYTES + 1), 3_000).status)
                server.cancel()
            }
        }

    private fun StateStandIn.hold(
        id: String,
        stage: String = "queued",
    ) {
        val record = JobRecord(JobStage.QUEUED, Wire.decodeJobSpec(Pack.decodeMap(Pack.encode(job(id)))), 1_000).toValue()
        values["job/$id"] = (record + ("stage" to stage)) to ++tide
    }

    private suspend fun UserApi.getAll(ids: List<String>) = coroutineScope { ids.map { id -> async { get("/api/jobs/$id") } }.awaitAll() }

    /** Guards against questions that are refused, or that cost others their rate, when users ask many times as often. */
    @Test
    fun `questions that come together share requests, and each is answered as things are now`() =
        withApi { api, standIn, host ->
            val ids = List(40) { "job-${it + 1}" }
            for (id in ids) standIn.hold(id)
            assertTrue(api.getAll(ids).all { stage(it) == "queued" })
            val before = standIn.asked
            val answers = api.getAll(List(4) { ids }.flatten() + "job-999")
            assertEquals(List(160) { 200 } + 404, answers.map { it.status })
            assertTrue(standIn.asked - before <= 10, "${standIn.asked - before} requests")
            // Whatever changed since is told, whether or not the service names each key that failed.
            for (oneKey in listOf(false, true)) {
                standIn.namesOneFailedKey = oneKey
                val changed = if (oneKey) listOf("job-3", "job-4", "job-999") else listOf("job-1", "job-2")
                for (id in changed) standIn.hold(id, "aborted")
                val told = (ids + "job-999").zip(api.getAll(ids + "job-999"))
                for (id in changed) assertEquals("aborted", stage(told.single { it.first == id }.second))
                assertEquals(if (oneKey) 36 else 38, told.count { it.second.status == 200 && stage(it.second) == "queued" })
                assertTrue(host.confirmedCancellations.map { it.first.value }.containsAll(changed))
            }
        }

    /** A crowd that asks must not take the room of those who submit or cancel. */
    @Test
    fun `questions refused for their number leave submissions and cancellations alone`() =
        withApi(requests = 1.0) { api, standIn, _ ->
            standIn.hold("job-1")
            val answers = api.getAll(List(300) { "job-${it + 1}" })
            assertEquals(1, answers.count { it.status == 200 })
            assertTrue(answers.filter { it.status != 200 }.all { it.status in setOf(429, 503) && it.retryAfterS == 1 })
            assertEquals(201, api.post(Wire.JOBS, job("job-500")).status)
            assertEquals("aborted", stage(api.post("/api/jobs/job-1/cancel", emptyMap<String, Any?>())))
        }

    private companion object {
        const val MAX_CONDITIONS = 32
    }
}
