package dewwing.control.api

import com.github.benmanes.caffeine.cache.Cache
import com.github.benmanes.caffeine.cache.Caffeine
import dewwing.control.core.TokenBucket
import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
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
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore

/** What the state service holds for a job at some moment; [record] is null when there is no such job. */
data class JobReading(
    val record: JobRecord?,
    val revision: Revision,
)

/** The request rate that queries may use on this controller. */
class QueryRate(
    val perSecond: Double,
    val burst: Double,
    /** Requests that one read counts as; the leader keeps more of the rate for its own work. */
    val cost: () -> Double,
)

/**
 * Reads jobs for queries, many jobs to one request of the state service.
 *
 * Every result rests on a request that was sent after [read] was called: an older one could contradict what another
 * controller has told a user in the meantime. The revisions of jobs that were read before are kept, and one comparing
 * transaction proves up to [batchSize] of them unchanged. Only a job that is new here or has changed costs a request
 * of its own.
 *
 * The queue is bounded by the time it takes to serve. A job that was refused gets twice that room until it has been
 * answered, so that no job goes unanswered for long while others are served.
 *
 * Not thread-safe: everything runs on the controller's thread.
 */
class JobReader(
    private val state: StateClient,
    private val rate: QueryRate,
    private val batchSize: Int,
    private val clock: () -> Instant,
    /** Called with each record that was read from the state service. */
    private val onRecord: (JobRef, JobRecord, Revision) -> Unit,
) {
    private val requests = TokenBucket(rate.perSecond, rate.burst)
    private val queue = LinkedHashMap<JobRef, Queued>()
    private val arrived = Channel<Unit>(Channel.CONFLATED)
    private val known: Cache<String, JobReading> =
        Caffeine
            .newBuilder()
            .maximumSize(KNOWN_KEPT)
            .executor(Runnable::run)
            .build()
    private val refused: Cache<String, Boolean> =
        Caffeine
            .newBuilder()
            .maximumSize(REFUSED_KEPT)
            .executor(Runnable::run)
            .build()

    private class Queued(
        val isKnown: Boolean,
        val result: CompletableDeferred<JobReading> = CompletableDeferred(),
    )

    /** Queued jobs that need a request of their own. */
    private var unknownQueued = 0

    /**
     * The job as the state service holds it now, or null when the queue is full.
     *
     * @throws StateUnavailableException when the state service does not answer
     */
    suspend fun read(job: JobRef): JobReading? {
        val queued = queue[job] ?: enqueue(job) ?: return null
        val reading = queued.result.await()
        refused.invalidate(job.value)
        return reading
    }

    /** Remembers what this controller has just read or written itself. */
    fun learned(
        job: JobRef,
        reading: JobReading,
    ) = known.put(job.value, reading)

    private fun enqueue(job: JobRef): Queued? {
        val isKnown = known.getIfPresent(job.value) != null
        val maxWait = if (refused.getIfPresent(job.value) == null) MAX_WAIT else MAX_WAIT_IF_REFUSED
        if (expectedWait(isKnown) > maxWait) {
            refused.put(job.value, true)
            return null
        }
        val queued = Queued(isKnown)
        queue[job] = queued
        if (!isKnown) unknownQueued++
        arrived.trySend(Unit)
        return queued
    }

    /** Time until the request rate allows what is queued and one more job. */
    private fun expectedWait(isKnown: Boolean): Duration {
        val unknown = unknownQueued + if (isKnown) 0 else 1
        val batches = (queue.size - unknownQueued + batchSize) / batchSize
        val needed = (unknown + if (isKnown) batches else 0) * rate.cost()
        return requests.untilAvailable(clock(), needed)
    }

    /** Serves the queue until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            val slots = Semaphore(MAX_IN_FLIGHT)
            while (true) {
                arrived.receive()
                while (queue.isNotEmpty()) {
                    slots.acquire()
                    awaitRequest()
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

    private class Waiting(
        val job: JobRef,
        val known: JobReading?,
        val result: CompletableDeferred<JobReading>,
    )

    /** The first job of the queue if it has to be read by itself, else as many known ones as one transaction compares. */
    private fun takeBatch(): List<Waiting> {
        val batch = ArrayList<Waiting>()
        val entries = queue.entries.iterator()
        while (entries.hasNext() && batch.size < batchSize) {
            val (job, queued) = entries.next()
            val knownReading = known.getIfPresent(job.value)
            if (knownReading == null && batch.isNotEmpty()) continue
            batch.add(Waiting(job, knownReading, queued.result))
            entries.remove()
            if (!queued.isKnown) unknownQueued--
            if (knownReading == null) break
        }
        return batch
    }

    /** The first request of a batch is already paid for. */
    private suspend fun serve(batch: List<Waiting>) {
        try {
            var left = batch
            while (left.size > 1) {
                left = compare(left)
                if (left.isNotEmpty()) awaitRequest()
            }
            left.singleOrNull()?.let { it.result.complete(readOne(it.job)) }
        } catch (e: StateUnavailableException) {
            for (waiting in batch) waiting.result.completeExceptionally(e)
        } finally {
            // Whoever still waits must not wait for ever for a batch that was cancelled.
            val ended = StateUnavailableException("the reading has ended", knownNotApplied = false)
            for (waiting in batch) waiting.result.completeExceptionally(ended)
        }
    }

    /** Answers those of [batch] that are proven unchanged and those that changed; returns the rest. */
    private suspend fun compare(batch: List<Waiting>): List<Waiting> {
        val conditions = batch.map { Keys.job(it.job) to (it.known?.revision ?: Revision.ABSENT) }
        val failed =
            when (val result = state.compare(conditions)) {
                CompareResult.Unchanged -> emptySet()
                is CompareResult.Changed -> result.keys.toSet()
            }
        if (failed.isEmpty()) {
            for (waiting in batch) waiting.known?.let { waiting.result.complete(it) }
            return emptyList()
        }
        // The service need not name every key that failed, so the others are compared once more.
        val (named, others) = batch.partition { Keys.job(it.job) in failed }
        val (changed, rest) = if (named.isEmpty()) batch to emptyList() else named to others
        for (waiting in changed) {
            awaitRequest()
            waiting.result.complete(readOne(waiting.job))
        }
        return rest
    }

    private suspend fun readOne(job: JobRef): JobReading {
        val reading = readRecord(state, job)
        reading.record?.let { onRecord(job, it, reading.revision) }
        learned(job, reading)
        return reading
    }

    private suspend fun awaitRequest() {
        while (!requests.tryTake(clock(), rate.cost())) {
            delay(requests.untilAvailable(clock(), rate.cost()).ms.coerceAtLeast(1))
        }
    }

    companion object {
        private val MAX_WAIT = Duration(300)
        private val MAX_WAIT_IF_REFUSED = Duration(600)
        private const val MAX_IN_FLIGHT = 4
        private const val KNOWN_KEPT = 2_000L
        private const val REFUSED_KEPT = 5_000L

        /** The job's record as the state service holds it now. */
        suspend fun readRecord(
            state: StateClient,
            job: JobRef,
        ): JobReading {
            val entry = state.get(Keys.job(job)) ?: return JobReading(null, Revision.ABSENT)
            val value = entry.value ?: return JobReading(null, Revision.ABSENT)
            try {
                return JobReading(JobRecord.of(value), entry.revision)
            } catch (e: MalformedException) {
                // The job is known, whatever happened to its record: neither 404 nor an end of this process.
                throw StateUnavailableException("record of $job cannot be read: ${e.message}", knownNotApplied = false)
            }
        }
    }
}
