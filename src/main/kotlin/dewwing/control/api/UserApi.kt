package dewwing.control.api

import com.github.benmanes.caffeine.cache.Cache
import com.github.benmanes.caffeine.cache.Caffeine
import dewwing.control.core.JobCounts
import dewwing.control.core.SharedRateLimiter
import dewwing.control.core.StateChange
import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
import dewwing.control.core.placement.Placer
import dewwing.control.core.quota.Quota
import dewwing.control.core.sharing.ShardId
import dewwing.control.http.HttpAnswer
import dewwing.control.http.HttpRequest
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

/** The shard that a job is accepted for, null under a single leader, and what must still hold when its record is written. */
class JobDestination(
    val shard: ShardId?,
    val conditions: List<Pair<String, Revision>> = emptyList(),
)

/** What the user API needs of the controller round it. */
interface ApiHost {
    val machineTypes: Collection<MachineType>

    /** The state service refuses or does not answer this controller, while a sibling says that it reaches it. */
    val cutOffAlone: Boolean

    /** Asks a sibling that reaches the state service; null when none can be had. */
    suspend fun relay(request: HttpRequest): HttpAnswer?

    /** To be called before a user is told that [job] is cancelled; [revision] is that of its record. */
    fun onCancellationConfirmed(
        job: JobRef,
        revision: Revision,
    )

    /** Display counts, from whoever schedules the job; null when unknown. */
    suspend fun counts(
        ref: JobRef,
        shard: ShardId?,
    ): JobCounts?

    /** Where a new job goes. */
    fun destinationOf(ref: JobRef): JobDestination

    fun now(): Instant

    fun wallMs(): Long
}

/**
 * Submit, query and cancel, on any controller: the truth is the job's record in the state service, and every answer
 * rests on reading it or on changing it conditionally. Only final stages, which never change, are cached.
 */
class UserApi(
    private val state: StateClient,
    private val quota: Quota,
    private val host: ApiHost,
    private val changes: SharedRateLimiter,
    /** Kept apart from the leader's requests: a crowd of users must not cost it its hold. */
    queryRate: QueryRate,
    /** Conditions that one transaction of the state service may have. */
    maxConditions: Int,
    private val maxValueBytes: Int,
) {
    private val reader = JobReader(state, queryRate, maxConditions, host::now, ::recordRead)
    private val finals: Cache<String, JobStage> =
        Caffeine
            .newBuilder()
            .maximumSize(FINALS_KEPT)
            .executor(Runnable::run)
            .build()
    private var queriesInFlight = 0
    private var changesInFlight = 0

    /** Serves queries until cancelled. */
    suspend fun run(): Unit = reader.run()

    suspend fun handle(
        request: HttpRequest,
        relayed: Boolean,
    ): HttpAnswer {
        val path = request.path
        if (path == Wire.JOBS) {
            if (request.method != "POST") return notAllowed("POST")
            return guardedChange(request, relayed) { submit(request.body) }
        }
        val rest = path.removePrefix(Wire.JOBS + "/")
        if (rest == path) return HttpAnswer.error(404, "no such path")
        if (rest.endsWith(CANCEL)) {
            val ref = JobRef.parse(rest.removeSuffix(CANCEL)) ?: return HttpAnswer.error(404, "no such job")
            if (request.method != "POST") return notAllowed("POST")
            return guardedChange(request, relayed) { cancel(ref) }
        }
        if ('/' in rest) return HttpAnswer.error(404, "no such path")
        val ref = JobRef.parse(rest) ?: return HttpAnswer.error(404, "no such job")
        if (request.method != "GET") return notAllowed("GET")
        finals.getIfPresent(ref.value)?.let { return HttpAnswer.of(200, Wire.jobStatusAnswer(ref, it, 0, 0)) }
        return guardedQuery(request, relayed) { query(ref) }
    }

    private fun notAllowed(method: String) = HttpAnswer(405, Pack.encode(Wire.errorAnswer("use $method")), allow = method)

    /** Submissions and cancellations have room of their own, whatever the number of queries. */
    private suspend fun guardedChange(
        request: HttpRequest,
        relayed: Boolean,
        block: suspend () -> HttpAnswer,
    ): HttpAnswer {
        if (changesInFlight >= MAX_CHANGES_IN_FLIGHT) return busy()
        changesInFlight++
        try {
            return orRelayed(request, relayed, block)
        } finally {
            changesInFlight--
        }
    }

    private suspend fun guardedQuery(
        request: HttpRequest,
        relayed: Boolean,
        block: suspend () -> HttpAnswer,
    ): HttpAnswer {
        if (queriesInFlight >= MAX_QUERIES_IN_FLIGHT) return busy()
        queriesInFlight++
        try {
            return orRelayed(request, relayed, block)
        } finally {
            queriesInFlight--
        }
    }

    private fun tooMany() = HttpAnswer.error(429, "too many", RETRY_S)

    private fun busy() = HttpAnswer.error(503, "busy", RETRY_S)

    /** Turns to a sibling when only this controller is refused by the state service. */
    private suspend fun orRelayed(
        request: HttpRequest,
        relayed: Boolean,
        block: suspend () -> HttpAnswer,
    ): HttpAnswer =
        try {
            // Trying what has just failed would cost the user its timeout first.
            val other = if (!relayed && host.cutOffAlone) host.relay(request) else null
            when {
                other != null -> other

                // Nobody else to ask, and waiting once more for what does not answer would only cost the user time.
                state.presumedDown -> unreachable()

                else -> block()
            }
        } catch (e: StateUnavailableException) {
            when {
                e.rateLimited -> tooMany().also { changes.onRateLimited(host.now()) }
                relayed -> unreachable()
                else -> host.relay(request) ?: unreachable()
            }
        }

    private fun unreachable() = HttpAnswer.error(503, "the state service cannot be reached", RETRY_S)

    private suspend fun submit(body: ByteArray): HttpAnswer {
        val fields: Fields
        try {
            fields = Pack.decodeMap(body)
        } catch (e: MalformedException) {
            return HttpAnswer.error(400, e.message ?: "malformed")
        }
        val spec =
            try {
                Wire.decodeJobSpec(fields)
            } catch (e: MalformedException) {
                return knownOr(Wire.submittedJobRef(fields), HttpAnswer.error(400, e.message ?: "malformed"))
            }
        if (host.machineTypes.isEmpty()) {
            return knownOr(spec.ref, HttpAnswer.error(503, "machine types are not known yet", RETRY_S))
        }
        val never = cannotEverRun(spec)
        if (never != null) return knownOr(spec.ref, HttpAnswer.error(422, never))
        val destination = host.destinationOf(spec.ref)
        val record = JobRecord(JobStage.QUEUED, spec, host.wallMs(), destination.shard)
        val value = record.toValue()
        if (Pack.jsonSize(value) > maxValueBytes) {
            return knownOr(spec.ref, HttpAnswer.error(400, "the description is too long"))
        }
        if (!changes.tryTake(host.now())) return knownOr(spec.ref, tooMany())
        val conditions = listOf(Keys.job(spec.ref) to Revision.ABSENT) + destination.conditions
        val change = StateChange(conditions, listOf(Keys.job(spec.ref) to value))
        // Without an answer the record may exist or not: the same conditional change again tells.
        val result =
            try {
                state.commit(change)
            } catch (e: StateUnavailableException) {
                if (e.knownNotApplied) throw e
                state.commit(change)
            }
        return when (result) {
            is CommitResult.Applied -> {
                reader.learned(spec.ref, JobReading(record, result.revision))
                HttpAnswer.of(201, Wire.jobAnswer(spec.ref, JobStage.QUEUED))
            }

            else -> {
                knownOr(spec.ref, HttpAnswer.error(503, "try again", RETRY_S))
            }
        }
    }

    /** The job's state if it was accepted before, whatever this request looks like; else [answer]. */
    private suspend fun knownOr(
        ref: JobRef?,
        answer: HttpAnswer,
    ): HttpAnswer {
        if (ref == null) return answer
        val stage = read(ref).record?.stage ?: return answer
        return HttpAnswer.of(200, Wire.jobAnswer(ref, stage))
    }

    private fun cannotEverRun(spec: JobSpec): String? =
        when {
            !quota.hasTeam(spec.team) -> "unknown team ${spec.team}"
            host.machineTypes.none { fits(spec, it) } -> "no allowed machine type can hold a task"
            !quota.canEverRun(spec) -> "more than the team's limit"
            else -> null
        }

    private fun fits(
        spec: JobSpec,
        type: MachineType,
    ): Boolean = Placer.typeAllowed(spec, type) && (spec.zone == null || spec.zone in type.zones)

    private suspend fun read(ref: JobRef): JobReading {
        val reading = JobReader.readRecord(state, ref)
        reading.record?.let { recordRead(ref, it, reading.revision) }
        return reading
    }

    private fun recordRead(
        ref: JobRef,
        record: JobRecord,
        revision: Revision,
    ) {
        if (record.stage == JobStage.ABORTED) host.onCancellationConfirmed(ref, revision)
        if (record.isFinal) finals.put(ref.value, record.stage)
    }

    private suspend fun query(ref: JobRef): HttpAnswer {
        val reading = reader.read(ref) ?: return tooMany()
        val record = reading.record ?: return HttpAnswer.error(404, "no such job")
        val stage = record.stage
        if (stage == JobStage.DONE || stage == JobStage.ABORTED) {
            return HttpAnswer.of(200, Wire.jobStatusAnswer(ref, stage, 0, 0))
        }
        val counts = host.counts(ref, record.shard)
        // The leader may be behind the record just read, so only its counts are used, never a stage past running.
        return HttpAnswer.of(200, Wire.jobStatusAnswer(ref, counts?.stage ?: stage, counts?.done ?: 0, counts?.running ?: 0))
    }

    private suspend fun cancel(ref: JobRef): HttpAnswer {
        repeat(CANCEL_TRIES) {
            val (found, revision) = read(ref)
            val record = found ?: return HttpAnswer.error(404, "no such job")
            if (record.isFinal) return HttpAnswer.of(200, Wire.jobAnswer(ref, record.stage))
            if (!changes.tryTake(host.now())) return tooMany()
            val value = record.copy(stage = JobStage.ABORTED).toValue()
            val change = StateChange(listOf(Keys.job(ref) to revision), listOf(Keys.job(ref) to value))
            val result = state.commit(change)
            if (result is CommitResult.Applied) {
                host.onCancellationConfirmed(ref, result.revision)
                finals.put(ref.value, JobStage.ABORTED)
                return HttpAnswer.of(200, Wire.jobAnswer(ref, JobStage.ABORTED))
            }
        }
        return HttpAnswer.error(503, "try again", RETRY_S)
    }

    companion object {
        private const val CANCEL = "/cancel"
        private const val CANCEL_TRIES = 3
        private const val RETRY_S = 1
        private const val MAX_QUERIES_IN_FLIGHT = 200
        private const val MAX_CHANGES_IN_FLIGHT = 100
        private const val FINALS_KEPT = 20_000L
    }
}
