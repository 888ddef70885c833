package dewwing.control.api

import com.github.benmanes.caffeine.cache.Cache
import com.github.benmanes.caffeine.cache.Caffeine
import dewwing.control.core.JobCounts
import dewwing.control.core.SharedRateLimiter
import dewwing.control.core.StateChange
import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
import dewwing.control.core.placement.PlacementConstraints
import dewwing.control.core.quota.Quota
import dewwing.control.core.sharing.ShardId
import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpResponse
import dewwing.control.state.CommitResult
import dewwing.control.state.StateClient
import dewwing.control.state.StateUnavailableException
import dewwing.protocol.Fields
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobSpec
import dewwing.protocol.JobStage
import dewwing.protocol.MachineType
import dewwing.protocol.MalformedException
import dewwing.protocol.Pack
import dewwing.protocol.Revision
import dewwing.protocol.Wire

/** The shard of a new job, null under a single leader, and the [conditions] that must hold when its record is written. */
class JobDestination(
    val shard: ShardId?,
    val conditions: List<Pair<String, Revision>> = emptyList(),
)

/** What the user API requires from the controller that runs it. */
interface ApiHost {
    val machineTypes: Collection<MachineType>

    /** True if the state service rejects or does not respond to this controller's requests while a peer reports that it reaches it. */
    val stateReachableOnlyViaPeer: Boolean

    /** Forwards [request] to a peer that reaches the state service; null if no such peer responds. */
    suspend fun relay(request: HttpRequest): HttpResponse?

    /** Must be called before the cancellation of [job] is confirmed to a user; [revision] is the revision of its record. */
    fun onCancellationConfirmed(
        job: JobRef,
        revision: Revision,
    )

    /** Task counts for display, from the controller that schedules the job; null if unknown. */
    suspend fun jobCounts(
        ref: JobRef,
        shard: ShardId?,
    ): JobCounts?

    /** The shard for a new job and the conditions for writing its record. */
    fun destinationOf(ref: JobRef): JobDestination

    fun now(): Instant

    fun wallClockMs(): Long
}

/**
 * Handles job submissions, queries and cancellations; every controller serves them. The job's record in the state
 * service is authoritative: every response is based on reading it or on changing it conditionally. Only final stages,
 * which never change, are answered from a cache.
 */
class UserApi(
    private val state: StateClient,
    private val quota: Quota,
    private val host: ApiHost,
    private val changeRateLimiter: SharedRateLimiter,
    /** Separate from the rate of the leader's requests, so that many queries cannot make it lose its state lease. */
    queryRateLimit: QueryRateLimit,
    /** Maximum number of conditions in one transaction of the state service. */
    maxConditions: Int,
    private val maxValueBytes: Int,
) {
    private val reader = JobReader(state, queryRateLimit, maxConditions, host::now, ::onRecordRead)
    private val finalStages: Cache<String, JobStage> =
        Caffeine
            .newBuilder()
            .maximumSize(MAX_CACHED_FINAL_STAGES)
            .executor(Runnable::run)
            .build()
    private var queriesInFlight = 0
    private var changesInFlight = 0

    /** Processes queued queries until cancelled. */
    suspend fun run(): Unit = reader.run()

    suspend fun handle(
        request: HttpRequest,
        relayed: Boolean,
    ): HttpResponse {
        val path = request.path
        if (path == Wire.JOBS) {
            if (request.method != "POST") return methodNotAllowed("POST")
            return withChangeLimit(request, relayed) { submit(request.body) }
        }
        val rest = path.removePrefix(Wire.JOBS + "/")
        if (rest == path) return HttpResponse.error(404, "no such path")
        if (rest.endsWith(CANCEL_SUFFIX)) {
            val ref = JobRef.parse(rest.removeSuffix(CANCEL_SUFFIX)) ?: return HttpResponse.error(404, "no such job")
            if (request.method != "POST") return methodNotAllowed("POST")
            return withChangeLimit(request, relayed) { cancel(ref) }
        }
        if ('/' in rest) return HttpResponse.error(404, "no such path")
        val ref = JobRef.parse(rest) ?: return HttpResponse.error(404, "no such job")
        if (request.method != "GET") return methodNotAllowed("GET")
        finalStages.getIfPresent(ref.value)?.let { return HttpResponse.of(200, Wire.jobStatusAnswer(ref, it, 0, 0)) }
        return withQueryLimit(request, relayed) { query(ref) }
    }

    private fun methodNotAllowed(method: String) = HttpResponse(405, Pack.encode(Wire.errorAnswer("use $method")), allow = method)

    /** Submissions and cancellations have their own limit, so that queries cannot crowd them out. */
    private suspend fun withChangeLimit(
        request: HttpRequest,
        relayed: Boolean,
        block: suspend () -> HttpResponse,
    ): HttpResponse {
        if (changesInFlight >= MAX_CHANGES_IN_FLIGHT) return busy()
        changesInFlight++
        try {
            return runOrRelay(request, relayed, block)
        } finally {
            changesInFlight--
        }
    }

    private suspend fun withQueryLimit(
        request: HttpRequest,
        relayed: Boolean,
        block: suspend () -> HttpResponse,
    ): HttpResponse {
        if (queriesInFlight >= MAX_QUERIES_IN_FLIGHT) return busy()
        queriesInFlight++
        try {
            return runOrRelay(request, relayed, block)
        } finally {
            queriesInFlight--
        }
    }

    private fun tooManyRequests() = HttpResponse.error(429, "too many", RETRY_AFTER_S)

    private fun busy() = HttpResponse.error(503, "busy", RETRY_AFTER_S)

    /** Runs [block], or relays the request to a peer if this controller gets no service from the state service. */
    private suspend fun runOrRelay(
        request: HttpRequest,
        relayed: Boolean,
        block: suspend () -> HttpResponse,
    ): HttpResponse =
        try {
            // The last request to the state service failed, so trying again would make the user wait for a timeout first.
            val relayedResponse = if (!relayed && host.stateReachableOnlyViaPeer) host.relay(request) else null
            when {
                relayedResponse != null -> relayedResponse

                // No other peer can serve the request, and another request would probably only make the user wait for its timeout.
                state.presumedDown -> stateServiceUnreachable()

                else -> block()
            }
        } catch (e: StateUnavailableException) {
            when {
                e.rateLimited -> tooManyRequests().also { changeRateLimiter.onRateLimited(host.now()) }
                relayed -> stateServiceUnreachable()
                else -> host.relay(request) ?: stateServiceUnreachable()
            }
        }

    private fun stateServiceUnreachable() = HttpResponse.error(503, "the state service cannot be reached", RETRY_AFTER_S)

    private suspend fun submit(body: ByteArray): HttpResponse {
        val fields: Fields
        try {
            fields = Pack.decodeMap(body)
        } catch (e: MalformedException) {
            return HttpResponse.error(400, e.message ?: "malformed")
        }
        val spec =
            try {
                Wire.decodeJobSpec(fields)
            } catch (e: MalformedException) {
                return existingStageOr(Wire.submittedJobRef(fields), HttpResponse.error(400, e.message ?: "malformed"))
            }
        if (host.machineTypes.isEmpty()) {
            return existingStageOr(spec.ref, HttpResponse.error(503, "machine types are not known yet", RETRY_AFTER_S))
        }
        val rejection = unsatisfiableReason(spec)
        if (rejection != null) return existingStageOr(spec.ref, HttpResponse.error(422, rejection))
        val destination = host.destinationOf(spec.ref)
        val record = JobRecord(JobStage.QUEUED, spec, host.wallClockMs(), destination.shard)
        val value = record.toValue()
        if (Pack.jsonSize(value) > maxValueBytes) {
            return existingStageOr(spec.ref, HttpResponse.error(400, "the description is too long"))
        }
        if (!changeRateLimiter.tryTake(host.now())) return existingStageOr(spec.ref, tooManyRequests())
        val conditions = listOf(Keys.job(spec.ref) to Revision.ABSENT) + destination.conditions
        val change = StateChange(conditions, listOf(Keys.job(spec.ref) to value))
        // If the response is lost, the record may or may not exist; repeating the same conditional change shows which.
        val result =
            try {
                state.commit(change)
            } catch (e: StateUnavailableException) {
                if (e.knownNotApplied) throw e
                state.commit(change)
            }
        return when (result) {
            is CommitResult.Applied -> {
                reader.updateCache(spec.ref, JobSnapshot(record, result.revision))
                HttpResponse.of(201, Wire.jobAnswer(spec.ref, JobStage.QUEUED))
            }

            else -> {
                existingStageOr(spec.ref, HttpResponse.error(503, "try again", RETRY_AFTER_S))
            }
        }
    }

    /** Responds with the job's stage if the job exists, even if this submission is invalid; otherwise returns [response]. */
    private suspend fun existingStageOr(
        ref: JobRef?,
        response: HttpResponse,
    ): HttpResponse {
        if (ref == null) return response
        val stage = readJob(ref).record?.stage ?: return response
        return HttpResponse.of(200, Wire.jobAnswer(ref, stage))
    }

    private fun unsatisfiableReason(spec: JobSpec): String? =
        when {
            !quota.hasTeam(spec.team) -> "unknown team ${spec.team}"
            host.machineTypes.none { canHost(spec, it) } -> "no allowed machine type can hold a task"
            !quota.canEverRun(spec) -> "more than the team's limit"
            else -> null
        }

    private fun canHost(
        spec: JobSpec,
        type: MachineType,
    ): Boolean = PlacementConstraints.allowsType(spec, type) && (spec.zone == null || spec.zone in type.zones)

    private suspend fun readJob(ref: JobRef): JobSnapshot {
        val snapshot = JobReader.readRecord(state, ref)
        snapshot.record?.let { onRecordRead(ref, it, snapshot.revision) }
        return snapshot
    }

    private fun onRecordRead(
        ref: JobRef,
        record: JobRecord,
        revision: Revision,
    ) {
        if (record.stage == JobStage.ABORTED) host.onCancellationConfirmed(ref, revision)
        if (record.isFinal) finalStages.put(ref.value, record.stage)
    }

    private suspend fun query(ref: JobRef): HttpResponse {
        val snapshot = reader.read(ref) ?: return tooManyRequests()
        val record = snapshot.record ?: return HttpResponse.error(404, "no such job")
        val stage = record.stage
        if (stage == JobStage.DONE || stage == JobStage.ABORTED) {
            return HttpResponse.of(200, Wire.jobStatusAnswer(ref, stage, 0, 0))
        }
        val counts = host.jobCounts(ref, record.shard)
        // The leader may not have seen the record just read, so it supplies the counts and no stage beyond "running".
        return HttpResponse.of(200, Wire.jobStatusAnswer(ref, counts?.stage ?: stage, counts?.done ?: 0, counts?.running ?: 0))
    }

    private suspend fun cancel(ref: JobRef): HttpResponse {
        repeat(MAX_CANCEL_ATTEMPTS) {
            val (currentRecord, revision) = readJob(ref)
            val record = currentRecord ?: return HttpResponse.error(404, "no such job")
            if (record.isFinal) return HttpResponse.of(200, Wire.jobAnswer(ref, record.stage))
            if (!changeRateLimiter.tryTake(host.now())) return tooManyRequests()
            val value = record.copy(stage = JobStage.ABORTED).toValue()
            val change = StateChange(listOf(Keys.job(ref) to revision), listOf(Keys.job(ref) to value))
            val result = state.commit(change)
            if (result is CommitResult.Applied) {
                host.onCancellationConfirmed(ref, result.revision)
                finalStages.put(ref.value, JobStage.ABORTED)
                return HttpResponse.of(200, Wire.jobAnswer(ref, JobStage.ABORTED))
            }
        }
        return HttpResponse.error(503, "try again", RETRY_AFTER_S)
    }

    companion object {
        private const val CANCEL_SUFFIX = "/cancel"
        private const val MAX_CANCEL_ATTEMPTS = 3
        private const val RETRY_AFTER_S = 1
        private const val MAX_QUERIES_IN_FLIGHT = 200
        private const val MAX_CHANGES_IN_FLIGHT = 100
        private const val MAX_CACHED_FINAL_STAGES = 20_000L
    }
}
