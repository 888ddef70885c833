package dewwing.control.state

import dewwing.control.core.StateChange
import dewwing.control.core.TokenBucket
import dewwing.control.http.HttpClient
import dewwing.control.http.HttpClientResponse
import dewwing.control.http.take
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.MalformedException
import dewwing.protocol.Pack
import dewwing.protocol.Revision
import dewwing.protocol.StateLeaseId
import dewwing.protocol.Wire
import java.io.IOException
import java.net.URLEncoder

/** A request to the state service failed: it was not carried out, or its outcome is unknown. */
class StateUnavailableException(
    message: String,
    /** Whether the service certainly did not carry out the request; if false, it may have. */
    val knownNotApplied: Boolean,
    /** Whether the service is up but refused the request because a limit on requests or writes was exceeded. */
    val rateLimited: Boolean = false,
) : IOException(message)

/** Outcome of a conditional transaction. */
sealed interface CommitResult {
    data class Applied(
        val revision: Revision,
    ) : CommitResult

    data class Conflict(
        val failedKeys: List<String>,
    ) : CommitResult

    /** The state lease that a put refers to has expired or been revoked. */
    data object StateLeaseEnded : CommitResult

    /** The transaction is malformed or exceeds a limit of the service, which will reject it again if it is repeated unchanged. */
    data object Rejected : CommitResult
}

/** Result of comparing the revisions of keys with the expected ones. */
sealed interface CompareResult {
    data object Unchanged : CompareResult

    /** [keys] have changed; others may have changed too. */
    data class Changed(
        val keys: List<String>,
    ) : CompareResult
}

/** Outcome of one long poll for changes. */
sealed interface WatchResult {
    data class Changes(
        val entries: List<Wire.Entry>,
        val revision: Revision,
    ) : WatchResult

    /** The service no longer keeps the changes since the given revision; the keys must be listed again. */
    data object RevisionTooOld : WatchResult
}

/** Client of the state service. Requests are delayed to stay within this controller's share of the service's request rate. */
class StateClient(
    private val http: HttpClient,
    private val watchHttp: HttpClient,
    private val requestBudget: TokenBucket,
    private val clock: () -> Instant,
    private val onOutcome: (call: String, outcome: String) -> Unit,
) {
    /** When the service last gave an answer other than 503. The leader's outage rule depends on it. */
    var lastAnsweredAt: Instant = Instant.DISTANT_PAST
        private set

    /** Whether the request that finished last was answered with 503 or not at all. */
    var failing: Boolean = false
        private set
    private var failingSince: Instant = Instant.DISTANT_PAST

    /** Whether requests have failed for so long that the next one would most likely fail too, so that callers should not wait for it. */
    val presumedDown: Boolean get() = failing && clock() - failingSince > PRESUMED_DOWN_AFTER

    suspend fun get(key: String): Wire.Entry? {
        val result = call("get", "GET", "${Wire.STORE}/$key", null, READ_TIMEOUT_MS)
        return when (result.status) {
            200 -> decodeAnswer("get") { Wire.decodeEntry(Pack.decodeMap(result.body)) }
            404 -> null
            else -> throw unavailable("get", result)
        }
    }

    /**
     * Reads all entries whose key starts with [prefix], page by page. Returns the revision of the first page, so that a watch
     * from it misses no change made while the later pages were read.
     */
    suspend fun list(
        prefix: String,
        timeoutMs: Long = LIST_TIMEOUT_MS,
        onPage: (List<Wire.Entry>) -> Unit,
    ): Revision {
        var lastKey: String? = null
        var firstRevision: Revision? = null
        while (true) {
            val sinceParameter = lastKey?.let { "&since=" + escape(it) } ?: ""
            val result = call("list", "GET", "${Wire.STORE}?under=${escape(prefix)}$sinceParameter&limit=$PAGE_SIZE", null, timeoutMs)
            if (result.status != 200) throw unavailable("list", result)
            val (entries, hasMore, revision) = decodeAnswer("list") { Wire.decodePage(Pack.decodeMap(result.body)) }
            if (firstRevision == null) firstRevision = revision
            onPage(entries)
            if (!hasMore || entries.isEmpty()) return firstRevision
            lastKey = entries.last().key
        }
    }

    /** Applies [change] if all its conditions hold. If [lease] is given, the entry that is put at [leasedKey] is bound to it. */
    suspend fun commit(
        change: StateChange,
        lease: StateLeaseId? = null,
        leasedKey: String? = null,
    ): CommitResult {
        val body =
            Wire.commitBody(
                change.conditions,
                change.puts.map { (key, value) -> Triple(key, value, lease.takeIf { key == leasedKey }) },
                change.removes,
            )
        val result = call("commit", "POST", Wire.COMMIT, Pack.encode(body), WRITE_TIMEOUT_MS)
        return when (result.status) {
            200 -> CommitResult.Applied(decodeAnswer("commit") { Wire.decodeRevision(Pack.decodeMap(result.body)) })
            409 -> CommitResult.Conflict(decodeAnswer("commit") { Wire.decodeFailedKeys(Pack.decodeMap(result.body)) })
            400 -> if (lease != null) CommitResult.StateLeaseEnded else CommitResult.Rejected
            else -> throw unavailable("commit", result)
        }
    }

    /**
     * Compares the revisions of many keys in one request, without changing anything. The request is taken from [budget]; null
     * if the caller has taken it from a budget of its own.
     */
    suspend fun compare(
        conditions: List<Pair<String, Revision>>,
        budget: TokenBucket? = requestBudget,
    ): CompareResult {
        val result = call("compare", "POST", Wire.COMMIT, Pack.encode(Wire.compareBody(conditions)), READ_TIMEOUT_MS, budget)
        return when (result.status) {
            200 -> CompareResult.Unchanged
            409 -> CompareResult.Changed(decodeAnswer("compare") { Wire.decodeFailedKeys(Pack.decodeMap(result.body)) })
            else -> throw unavailable("compare", result)
        }
    }

    suspend fun createStateLease(ttl: Duration): StateLeaseId {
        val result = call("hold", "POST", Wire.STATE_LEASES, Pack.encode(Wire.stateLeaseBody(ttl)), STATE_LEASE_TIMEOUT_MS)
        if (result.status != 200) throw unavailable("hold", result)
        return decodeAnswer("hold") { Wire.decodeStateLeaseId(Pack.decodeMap(result.body)) }
    }

    /** Returns false if the state lease has expired or been revoked. */
    suspend fun renewStateLease(
        lease: StateLeaseId,
        timeoutMs: Long,
    ): Boolean {
        val result = call("renew", "POST", "${Wire.STATE_LEASES}/${lease.value}/renew", EMPTY_MAP, timeoutMs)
        return when (result.status) {
            200 -> true
            404 -> false
            else -> throw unavailable("renew", result)
        }
    }

    suspend fun revokeStateLease(lease: StateLeaseId) {
        call("drop", "DELETE", "${Wire.STATE_LEASES}/${lease.value}", null, STATE_LEASE_TIMEOUT_MS)
    }

    /** Waits up to [maxWait] for changes made after revision [since] to keys that start with [prefix]. */
    suspend fun watch(
        prefix: String,
        since: Revision,
        maxWait: Duration,
    ): WatchResult {
        requestBudget.take(clock)
        val target = "${Wire.WATCH}?under=${escape(prefix)}&since=${since.value}&holdMs=${maxWait.ms}"
        val result =
            try {
                watchHttp.call("GET", target, null, maxWait.ms + WATCH_TIMEOUT_MARGIN_MS)
            } catch (e: IOException) {
                onOutcome("follow", "silent")
                throw e
            }
        return when (result.status) {
            200 -> {
                decodeAnswer("follow") {
                    val (entries, revision) = Wire.decodeChanges(Pack.decodeMap(result.body))
                    WatchResult.Changes(entries, revision)
                }
            }

            410 -> {
                WatchResult.RevisionTooOld
            }

            else -> {
                onOutcome("follow", result.status.toString())
                throw unavailable("follow", result)
            }
        }
    }

    private suspend fun call(
        name: String,
        method: String,
        target: String,
        body: ByteArray?,
        timeoutMs: Long,
        budget: TokenBucket? = requestBudget,
    ): HttpClientResponse {
        budget?.take(clock)
        val result =
            try {
                http.call(method, target, body, timeoutMs)
            } catch (e: IOException) {
                recordFailure()
                onOutcome(name, "silent")
                http.closeIdleConnections()
                throw StateUnavailableException(e.message ?: "no answer from the state service", knownNotApplied = false)
            }
        onOutcome(name, result.status.toString())
        if (result.status == 503) {
            recordFailure()
        } else {
            failing = false
            lastAnsweredAt = clock()
        }
        return result
    }

    private fun recordFailure() {
        if (!failing) failingSince = clock()
        failing = true
    }

    private fun unavailable(
        name: String,
        result: HttpClientResponse,
    ): StateUnavailableException {
        val rateLimited = result.status == 429
        val knownNotApplied = rateLimited || result.status == 503 || result.status == 400
        return StateUnavailableException("$name: state service answered ${result.status}", knownNotApplied, rateLimited)
    }

    private inline fun <T> decodeAnswer(
        name: String,
        decode: () -> T,
    ): T =
        try {
            decode()
        } catch (e: MalformedException) {
            throw StateUnavailableException("$name: malformed answer from the state service: ${e.message}", knownNotApplied = false)
        }

    private fun escape(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("%2F", "/")

    companion object {
        private val PRESUMED_DOWN_AFTER = Duration(700)
        private const val PAGE_SIZE = 500
        private const val READ_TIMEOUT_MS = 1_500L
        private const val LIST_TIMEOUT_MS = 4_000L
        private const val WRITE_TIMEOUT_MS = 2_000L
        private const val STATE_LEASE_TIMEOUT_MS = 1_000L
        private const val WATCH_TIMEOUT_MARGIN_MS = 2_000L
        private val EMPTY_MAP = Pack.encode(emptyMap<String, Any?>())
    }
}
