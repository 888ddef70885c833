package dewwing.control.api

import com.github.benmanes.caffeine.cache.Cache
import com.github.benmanes.caffeine.cache.Caffeine
import dewwing.control.core.TokenBucket
import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
import dewwing.control.http.take
import dewwing.control.state.CompareResult
import dewwing.control.state.StateClient
import dewwing.control.state.StateUnavailableException
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobStage
import dewwing.protocol.MalformedException
import dewwing.protocol.Revision
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore

/** A job's record and its revision in the state service at one moment; [record] is null if the job does not exist. */
data class JobSnapshot(
    val record: JobRecord?,
    val revision: Revision,
)

/** Limit on the requests that queries on this controller send to the state service. */
class QueryRateLimit(
    val perSecond: Double,
    val burst: Double,
    /** Tokens that one request takes. A higher value on the leader leaves more of the rate for its own requests. */
    val tokensPerRequest: () -> Double,
)

/**
 * Reads job records for queries and combines the reads of many jobs into one request to the state service.
 *
 * Every result comes from a request that was sent after [read] was called: the result of an earlier request could
 * contradict what another controller has reported to a user in the meantime. Snapshots of jobs are cached, and one
 * compare-only transaction confirms that up to [batchSize] of them are unchanged. Only a job that is not cached or has
 * changed needs a request of its own.
 *
 * The queue is bounded by the expected waiting time. After a job has been rejected, the bound for that job is doubled
 * until it has been read, so that no job stays unanswered for long while others are served.
 *
 * Not thread-safe: all calls must come from the controller's thread.
 */
class JobReader(
    private val state: StateClient,
    private val rateLimit: QueryRateLimit,
    private val batchSize: Int,
    private val clock: () -> Instant,
    /** Called with each record read from the state service. */
    private val onRecord: (JobRef, JobRecord, Revision) -> Unit,
) {
    private val requestTokens = TokenBucket(rateLimit.perSecond, rateLimit.burst)
    private val queue = LinkedHashMap<JobRef, QueuedRead>()
    private val queueSignal = Channel<Unit>(Channel.CONFLATED)
    private val snapshots: Cache<String, JobSnapshot> =
        Caffeine
            .newBuilder()
            .maximumSize(MAX_CACHED_SNAPSHOTS)
            .executor(Runnable::run)
            .build()
    private val rejectedJobs: Cache<String, Boolean> =
        Caffeine
            .newBuilder()
            .maximumSize(MAX_REJECTED_JOBS)
            .executor(Runnable::run)
            .build()

    private class QueuedRead(
        val wasCached: Boolean,
        val result: CompletableDeferred<JobSnapshot> = CompletableDeferred(),
    )

    /** Number of queued jobs that are not cached and so need a request of their own. */
    private var uncachedQueued = 0

    /**
     * Returns the job's current state in the state service, or null if the expected wait is too long.
     *
     * @throws StateUnavailableException if the state service does not respond
     */
    suspend fun read(job: JobRef): JobSnapshot? {
        val queued = queue[job] ?: enqueue(job) ?: return null
        val snapshot = queued.result.await()
        rejectedJobs.invalidate(job.value)
        return snapshot
    }

    /** Caches the result of a read or write that this controller has just made. */
    fun updateCache(
        job: JobRef,
        snapshot: JobSnapshot,
    ) = snapshots.put(job.value, snapshot)

    private fun enqueue(job: JobRef): QueuedRead? {
        val isCached = snapshots.getIfPresent(job.value) != null
        val maxWait = if (rejectedJobs.getIfPresent(job.value) == null) MAX_WAIT else MAX_WAIT_AFTER_REJECTION
        if (expectedWait(isCached) > maxWait) {
            rejectedJobs.put(job.value, true)
            return null
        }
        val queued = QueuedRead(isCached)
        queue[job] = queued
        if (!isCached) uncachedQueued++
        queueSignal.trySend(Unit)
        return queued
    }

    /** Time until the rate limit allows the requests for the queued jobs and for one more job. */
    private fun expectedWait(isCached: Boolean): Duration {
        val uncached = uncachedQueued + if (isCached) 0 else 1
        val batches = (queue.size - uncachedQueued + batchSize) / batchSize
        val tokensNeeded = (uncached + if (isCached) batches else 0) * rateLimit.tokensPerRequest()
        return requestTokens.untilAvailable(clock(), tokensNeeded)
    }

    /** Processes the queue until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            val slots = Semaphore(MAX_IN_FLIGHT)
            while (true) {
                queueSignal.receive()
                while (queue.isNotEmpty()) {
                    slots.acquire()
                    awaitRequestTokens()
                    val batch = takeBatch()
                    launch {
                        try {
                            serve(batch)
                        } finally {
                            slots.release()
                        }
                    }
                }
            }
        }

    private class PendingRead(
        val job: JobRef,
        val cached: JobSnapshot?,
        val result: CompletableDeferred<JobSnapshot>,
    )

    /** Takes the first queued job alone if it is not cached, otherwise as many cached jobs as one transaction can compare. */
    private fun takeBatch(): List<PendingRead> {
        val batch = ArrayList<PendingRead>()
        val entries = queue.entries.iterator()
        while (entries.hasNext() && batch.size < batchSize) {
            val (job, queued) = entries.next()
            val cached = snapshots.getIfPresent(job.value)
            if (cached == null && batch.isNotEmpty()) continue
            batch.add(PendingRead(job, cached, queued.result))
            entries.remove()
            if (!queued.wasCached) uncachedQueued--
            if (cached == null) break
        }
        return batch
    }

    /** The caller has already taken the tokens for the first request of [batch]. */
    private suspend fun serve(batch: List<PendingRead>) {
        try {
            var remaining = batch
            while (remaining.size > 1) {
                remaining = compare(remaining)
                if (remaining.isNotEmpty()) awaitRequestTokens()
            }
            remaining.singleOrNull()?.let { it.result.complete(readOne(it.job)) }
        } catch (e: StateUnavailableException) {
            for (pending in batch) pending.result.completeExceptionally(e)
        } finally {
            // After a cancellation, callers that are still waiting would otherwise wait forever.
            val cancelled = StateUnavailableException("the read of the job record was cancelled", knownNotApplied = false)
            for (pending in batch) pending.result.completeExceptionally(cancelled)
        }
    }

    /** Completes the reads of [batch] whose jobs are confirmed unchanged or known to have changed; returns the others. */
    private suspend fun compare(batch: List<PendingRead>): List<PendingRead> {
        val conditions = batch.map { Keys.job(it.job) to (it.cached?.revision ?: Revision.ABSENT) }
        val failedKeys =
            when (val result = state.compare(conditions)) {
                CompareResult.Unchanged -> emptySet()
                is CompareResult.Changed -> result.keys.toSet()
            }
        if (failedKeys.isEmpty()) {
            for (pending in batch) pending.cached?.let { pending.result.complete(it) }
            return emptyList()
        }
        // The state service may name only some of the failed keys, so the other keys have to be compared again.
        val (namedAsChanged, others) = batch.partition { Keys.job(it.job) in failedKeys }
        val (changed, rest) = if (namedAsChanged.isEmpty()) batch to emptyList() else namedAsChanged to others
        for (pending in changed) {
            awaitRequestTokens()
            pending.result.complete(readOne(pending.job))
        }
        return rest
    }

    private suspend fun readOne(job: JobRef): JobSnapshot {
        val snapshot = readRecord(state, job)
        snapshot.record?.let { onRecord(job, it, snapshot.revision) }
        updateCache(job, snapshot)
        return snapshot
    }

    private suspend fun awaitRequestTokens() = requestTokens.take(clock, rateLimit.tokensPerRequest())

    companion object {
        private val MAX_WAIT = Duration(300)
        private val MAX_WAIT_AFTER_REJECTION = Duration(600)
        private const val MAX_IN_FLIGHT = 4
        private const val MAX_CACHED_SNAPSHOTS = 2_000L
        private const val MAX_REJECTED_JOBS = 5_000L

        /** Reads the job's current record from the state service. */
        suspend fun readRecord(
            state: StateClient,
            job: JobRef,
        ): JobSnapshot {
            val entry = state.get(Keys.job(job)) ?: return JobSnapshot(null, Revision.ABSENT)
            val value = entry.value ?: return JobSnapshot(null, Revision.ABSENT)
            try {
                return JobSnapshot(JobRecord.of(value), entry.revision)
            } catch (e: MalformedException) {
                // A record exists, so the response must not be 404; and one unreadable record must not end the process.
                throw StateUnavailableException("the record of $job cannot be decoded: ${e.message}", knownNotApplied = false)
            }
        }
    }
}
