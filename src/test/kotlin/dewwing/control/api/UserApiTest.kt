package dewwing.control.api

import dewwing.control.core.JobCounts
import dewwing.control.core.SharedRateLimiter
import dewwing.control.core.intent.JobRecord
import dewwing.control.core.quota.Quota
import dewwing.control.core.sharing.ShardId
import dewwing.control.http.HttpClient
import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpResponse
import dewwing.control.http.HttpServer
import dewwing.control.http.ServerLimits
import dewwing.control.state.withLoopbackState
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
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.ServerSocket

/** Submits, queries and cancels jobs against a fake state service on loopback. */
class UserApiTest {
    private class Host(
        override var machineTypes: Collection<MachineType>,
    ) : ApiHost {
        override var stateReachableOnlyViaPeer = false
        var relayResponse: HttpResponse? = null
        var relayCount = 0

        override suspend fun relay(request: HttpRequest): HttpResponse? {
            relayCount++
            return relayResponse
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

        /** Time by which the test has advanced the clock. */
        var skippedMs = 0L

        override fun now() = Instant(System.nanoTime() / 1_000_000 + skippedMs)

        override fun wallClockMs() = 1_000L
    }

    private val machineType = MachineType("k", Resources(8.0, 0.0, 64.0), 10.0, 1.0, 1.0, 0.5, 10.0, listOf("a"))

    private fun job(
        id: String = "job-1",
        vararg changes: Pair<String, Any?>,
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
    ).apply { putAll(changes) }

    private fun withApi(
        queryBurst: Double = 10_000.0,
        block: suspend (UserApi, FakeStateService, Host) -> Unit,
    ) {
        val stateService = FakeStateService()
        val host = Host(listOf(machineType))
        withLoopbackState(stateService::handle, host::now) { state ->
            val api =
                UserApi(
                    state = state,
                    quota = Quota(listOf(Team("t", 0.0, 16.0, 0.0, null))),
                    host = host,
                    changeRateLimiter = SharedRateLimiter(0.001, 2.0),
                    queryRateLimit = QueryRateLimit(perSecond = 0.001, burst = queryBurst) { 1.0 },
                    maxConditions = MAX_CONDITIONS,
                    maxValueBytes = 4_000,
                )
            launch { api.run() }
            block(api, stateService, host)
        }
    }

    private suspend fun UserApi.post(
        path: String,
        body: Any?,
    ) = handle(HttpRequest("POST", path, "", Pack.encode(body)), relayed = true)

    private suspend fun UserApi.get(path: String) = handle(HttpRequest("GET", path, "", ByteArray(0)), relayed = true)

    private fun stageOf(response: HttpResponse) = Pack.decodeMap(response.body).text("stage")

    @Test
    fun `a job is accepted once, stays known, and stays cancelled`() =
        withApi { api, _, _ ->
            assertEquals(404, api.get("/api/jobs/job-1").status)
            assertEquals(201, api.post(Wire.JOBS, job()).status)
            assertEquals(200, api.post(Wire.JOBS, job()).status)
            // A retry is recognised by its id alone, even if its other fields differ.
            assertEquals(200, api.post(Wire.JOBS, job("job-1", "drops" to -4)).status)
            assertEquals(200, api.post(Wire.JOBS, job("job-1", "roost" to "nobody")).status)
            assertEquals("queued", stageOf(api.get("/api/jobs/job-1")))
            assertEquals("aborted", stageOf(api.post("/api/jobs/job-1/cancel", emptyMap<String, Any?>())))
            assertEquals("aborted", stageOf(api.get("/api/jobs/job-1")))
            assertEquals("aborted", stageOf(api.post(Wire.JOBS, job())))
        }

    @Test
    fun `malformed, unschedulable and unknown requests get different statuses`() =
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

    /** Each field in turn is missing, of the wrong type or out of range: no such submission may be accepted or stored. */
    @Test
    fun `a submission with a missing or invalid field is malformed, and a known job is recognised by its id alone`() =
        withApi { api, stateService, _ ->
            val mayBeNull = setOf("perchKinds", "meadow", "dueS")
            val invalidValues =
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
            assertEquals(job().keys, invalidValues.keys)
            for ((name, values) in invalidValues) {
                if (name !in mayBeNull) assertEquals(400, api.post(Wire.JOBS, job("job-9").apply { remove(name) }).status, "$name missing")
                for (value in values) {
                    val response = api.post(Wire.JOBS, job("job-9", name to value))
                    assertEquals(400, response.status, "$name = $value")
                    if (name != "ref") assertTrue(Pack.decodeMap(response.body).text("error").contains(name), "$name = $value")
                }
            }
            assertEquals(false, "job/job-9" in stateService.entries)
            // Unknown fields are ignored, and null is the same as absent.
            assertEquals(201, api.post(Wire.JOBS, job("job-1", "unknown" to listOf(1), "dueS" to null)).status)
            stateService.entries["job/job-9"] = mapOf("stage" to "done", "at" to 1) to 80L
            for ((name, values) in invalidValues) {
                for (value in values) {
                    if (name != "ref") assertEquals("done", stageOf(api.post(Wire.JOBS, job("job-9", name to value))), "$name = $value")
                }
            }
            assertEquals("done", stageOf(api.post("/api/jobs/job-9/cancel", emptyMap<String, Any?>())))
        }

    /** Guards against a flood of queries that uses up the requests with which the leader renews its state lease. */
    @Test
    fun `queries over the rate limit get 429 with Retry-After at once and block no submission`() =
        withApi(queryBurst = 3.0) { api, _, _ ->
            val responses = List(5) { api.get("/api/jobs/job-1") }
            assertEquals(listOf(404, 404, 404, 429, 429), responses.map { it.status })
            assertTrue(responses.drop(3).all { it.retryAfterS == 1 })
            assertEquals(201, api.post(Wire.JOBS, job()).status)
            assertEquals("aborted", stageOf(api.post("/api/jobs/job-1/cancel", emptyMap<String, Any?>())))
        }

    @Test
    fun `an outage of the state service is answered at once with 503 and Retry-After, never with 404`() =
        withApi { api, stateService, _ ->
            assertEquals(201, api.post(Wire.JOBS, job()).status)
            stateService.isDown = true
            for (response in listOf(
                api.get("/api/jobs/job-1"),
                api.get("/api/jobs/job-7"),
                api.post(Wire.JOBS, job("job-3")),
                api.post("/api/jobs/job-1/cancel", null),
            )) {
                assertEquals(503, response.status)
                assertEquals(1, response.retryAfterS)
            }
            stateService.isDown = false
            assertEquals("queued", stageOf(api.get("/api/jobs/job-1")))
        }

    /** Guards against requests that each wait for a timeout while the controller reaches neither the state service nor its peers. */
    @Test
    fun `after a while without the state service requests fail fast, and known final stages are still reported`() =
        withApi { api, stateService, host ->
            assertEquals(201, api.post(Wire.JOBS, job()).status)
            assertEquals(200, api.post("/api/jobs/job-1/cancel", emptyMap<String, Any?>()).status)
            stateService.isDown = true
            assertEquals(503, api.get("/api/jobs/job-2").status)
            val requestCount = stateService.requestCount
            host.skippedMs = 2_000
            for (response in listOf(api.get("/api/jobs/job-2"), api.post(Wire.JOBS, job("job-3")))) {
                assertEquals(503, response.status)
                assertEquals(1, response.retryAfterS)
            }
            assertEquals(requestCount, stateService.requestCount)
            assertEquals("aborted", stageOf(api.get("/api/jobs/job-1")))
        }

    /** Guards against a malformed record that ends the process or makes the job look as if it had never been submitted. */
    @Test
    fun `an unreadable record gives 503 instead of 404 and blocks no other job`() =
        withApi { api, stateService, _ ->
            assertEquals(201, api.post(Wire.JOBS, job()).status)
            stateService.entries["job/job-2"] = mapOf("stage" to 7) to 99L
            assertEquals(503, api.get("/api/jobs/job-2").status)
            assertEquals(503, api.post(Wire.JOBS, job("job-2")).status)
            assertEquals("queued", stageOf(api.get("/api/jobs/job-1")))
        }

    @Test
    fun `a controller that reaches the state service only via a peer relays requests, and a relayed request is not relayed again`() =
        withApi { api, stateService, host ->
            stateService.isDown = true
            host.stateReachableOnlyViaPeer = true
            host.relayResponse = HttpResponse.of(201, emptyMap<String, Any?>())
            val request = HttpRequest("POST", Wire.JOBS, "", Pack.encode(job()))
            assertEquals(201, api.handle(request, relayed = false).status)
            assertEquals(503, api.handle(request, relayed = true).status)
            assertEquals(1, host.relayCount)
        }

    @Test
    fun `a submission is accepted even if the response to its write is lost`() =
        withApi { api, stateService, _ ->
            stateService.loseNextResponse = true
            assertEquals(200, api.post(Wire.JOBS, job()).status)
            assertEquals("queued", stageOf(api.get("/api/jobs/job-1")))
        }

    /**
     * Guards against a leader that never learns of a cancellation: a controller that reports one to a user, in the response
     * to any request, has to pass it on, also when another controller made the change or its response was lost.
     */
    @Test
    fun `a cancellation is passed on with its revision before any response reports it to a user`() =
        withApi { api, stateService, host ->
            val ref = JobRef("job-1")
            assertEquals(201, api.post(Wire.JOBS, job()).status)
            api.get("/api/jobs/job-1")
            assertEquals(emptyList<Any>(), host.confirmedCancellations)
            // The cancellation is applied but its response is lost: the user's retry finds the job cancelled.
            stateService.loseNextResponse = true
            assertEquals(503, api.post("/api/jobs/job-1/cancel", emptyMap<String, Any?>()).status)
            assertEquals(emptyList<Any>(), host.confirmedCancellations)
            assertEquals("aborted", stageOf(api.post("/api/jobs/job-1/cancel", emptyMap<String, Any?>())))
            assertEquals(listOf(ref to Revision(2)), host.confirmedCancellations)
            assertEquals(201, api.post(Wire.JOBS, job("job-2")).status)
            assertEquals("aborted", stageOf(api.post("/api/jobs/job-2/cancel", emptyMap<String, Any?>())))
            assertEquals(JobRef("job-2") to Revision(4), host.confirmedCancellations.last())
            // Cancelled through another controller: a query and a repeated submission report it as well.
            for ((id, sendRequest) in listOf<Pair<String, suspend () -> HttpResponse>>(
                "job-3" to { api.get("/api/jobs/job-3") },
                "job-4" to { api.post(Wire.JOBS, job("job-4")) },
            )) {
                stateService.entries["job/$id"] = mapOf("stage" to "aborted", "at" to 1) to 70L
                assertEquals("aborted", stageOf(sendRequest()))
                assertEquals(JobRef(id) to Revision(70), host.confirmedCancellations.last())
            }
            // A job that is done was not cancelled.
            stateService.entries["job/job-5"] = mapOf("stage" to "done", "at" to 1) to 71L
            assertEquals("done", stageOf(api.post("/api/jobs/job-5/cancel", emptyMap<String, Any?>())))
            assertEquals(4, host.confirmedCancellations.size)
        }

    @Test
    fun `submissions over the change rate get 429, but known jobs are still recognised`() =
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

    private fun FakeStateService.putJob(
        id: String,
        stage: String = "queued",
    ) {
        val record = JobRecord(JobStage.QUEUED, Wire.decodeJobSpec(Pack.decodeMap(Pack.encode(job(id)))), 1_000).toValue()
        entries["job/$id"] = (record + ("stage" to stage)) to ++revision
    }

    private suspend fun UserApi.getAll(ids: List<String>) = coroutineScope { ids.map { id -> async { get("/api/jobs/$id") } }.awaitAll() }

    /** Guards against a rise in queries that gets them refused or uses up the request rate of other operations. */
    @Test
    fun `concurrent queries share requests and each gets the current state`() =
        withApi { api, stateService, host ->
            val ids = List(40) { "job-${it + 1}" }
            for (id in ids) stateService.putJob(id)
            assertTrue(api.getAll(ids).all { stageOf(it) == "queued" })
            val requestCountBefore = stateService.requestCount
            val responses = api.getAll(List(4) { ids }.flatten() + "job-999")
            assertEquals(List(160) { 200 } + 404, responses.map { it.status })
            assertTrue(stateService.requestCount - requestCountBefore <= 10, "${stateService.requestCount - requestCountBefore} requests")
            // Later changes are reported, whether or not the state service names every key that failed.
            for (onlyOneKey in listOf(false, true)) {
                stateService.reportsOneFailedKey = onlyOneKey
                val cancelled = if (onlyOneKey) listOf("job-3", "job-4", "job-999") else listOf("job-1", "job-2")
                for (id in cancelled) stateService.putJob(id, "aborted")
                val responsesById = (ids + "job-999").zip(api.getAll(ids + "job-999"))
                for (id in cancelled) assertEquals("aborted", stageOf(responsesById.single { it.first == id }.second))
                assertEquals(if (onlyOneKey) 36 else 38, responsesById.count { it.second.status == 200 && stageOf(it.second) == "queued" })
                assertTrue(host.confirmedCancellations.map { it.first.value }.containsAll(cancelled))
            }
        }

    /** Guards against a flood of queries that uses up the capacity for submissions and cancellations. */
    @Test
    fun `queries over the rate limit do not affect submissions and cancellations`() =
        withApi(queryBurst = 1.0) { api, stateService, _ ->
            stateService.putJob("job-1")
            val responses = api.getAll(List(300) { "job-${it + 1}" })
            assertEquals(1, responses.count { it.status == 200 })
            assertTrue(responses.filter { it.status != 200 }.all { it.status in setOf(429, 503) && it.retryAfterS == 1 })
            assertEquals(201, api.post(Wire.JOBS, job("job-500")).status)
            assertEquals("aborted", stageOf(api.post("/api/jobs/job-1/cancel", emptyMap<String, Any?>())))
        }

    private companion object {
        const val MAX_CONDITIONS = 32
    }
}
