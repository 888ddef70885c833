package dewwing.control.state

import dewwing.control.core.StateChange
import dewwing.control.core.TokenBucket
import dewwing.control.http.HttpClient
import dewwing.control.http.HttpClientResponse
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.MalformedException
import dewwing.protocol.Pack
import dewwing.protocol.Revision
import dewwing.protocol.StateLeaseId
import dewwing.protocol.Wire
import kotlinx.coroutines.delay
import java.io.IOException
import java.net.URLEncoder

/** The state service did not carry the request out, or nobody knows whether it did. */
class StateUnavailableException(
    message: String,
    val certainlyNot: Boolean,
    /** Refused for the number of requests or changes, by a service that is up. */
    val rateLimited: Boolean = false,
) : IOException(message)

/** What became of a conditional change. */
sealed interface CommitResult {
    data class Applied(
        val revision: Revision,
    ) : CommitResult

    data class Conflict(
        val failed: List<String>,
    ) : CommitResult

    /** The lease named by a put has ended. */
    data object HoldEnded : CommitResult
}

/** Whether keys still have the revisions they are thought to have. */
sealed interface CompareResult {
    data object Unchanged : CompareResult

    /** At least these keys have changed. */
    data class Changed(
        val keys: List<String>,
    ) : CompareResult
}

/** A long poll's outcome. */
sealed interface FollowResult {
    data class Changes(
        val entries: List<Wire.Entry>,
        val revision: Revision,
    ) : FollowResult

    /** The service no longer has these changes: read the keys again. */
    data object TooOld : FollowResult
}

/** The state service's calls, kept within this controller's share of its rates. */
class StateClient(
    private val http: HttpClient,
    private val watches: HttpClient,
    private val requests: TokenBucket,
    private val clock: () -> Instant,
    private val onOutcome: (call: String, outcome: String) -> Unit,
) {
    /** When the service last answered anything but 503; the leader's outage rule rests on it. */
    var lastAnswered: Instant = Instant.DISTANT_PAST
        private set

    /** True while the newest finished request was refused or went unanswered. */
    var failing: Boolean = false
        private set
    private var failingSince: Instant = Instant.DISTANT_PAST

    /** Failing for so long that the next request would most likely fail too: better to say so at once. */
    val givenUp: Boolean get() = failing && clock() - failingSince > GIVE_UP

    suspend fun get(key: String): Wire.Entry? {
        val result = call("get", "GET", "${Wire.STORE}/$key", null, READ_MS)
        return when (result.status) {
            200 -> decoded("get") { Wire.entry(Pack.decodeMap(result.body)) }
            404 -> null
            else -> throw unavailable("get", result)
        }
    }

    /** Every key with [prefix]; also a revision no newer than what was read, to follow on from. */
    suspend fun list(
        prefix: String,
        timeoutMs: Long = LIST_MS,
        onPage: (List<Wire.Entry>) -> Unit,
    ): Revision {
        var after: String? = null
        var first: Revision? = null
        while (true) {
            val since = after?.let { "&since=" + escape(it) } ?: ""
            val result = call("list", "GET", "${Wire.STORE}?under=${escape(prefix)}$since&limit=$PAGE", null, timeoutMs)
            if (result.status != 200) throw unavailable("list", result)
            val (entries, more, revision) = decoded("list") { Wire.page(Pack.decodeMap(result.body)) }
            if (first == null) first = revision
            onPage(entries)
            if (!more || entries.isEmpty()) return first
            after = entries.last().key
        }
    }

    suspend fun commit(
        change: StateChange,
        hold: StateLeaseId? = null,
        holdKey: String? = null,
    ): CommitResult {
        val body =
            Wire.commitBody(
                change.conditions,
                change.puts.map { (key, value) -> Triple(key, value, hold.takeIf { key == holdKey }) },
                change.removes,
            )
        val result = call("commit", "POST", Wire.COMMIT, Pack.encode(body), WRITE_MS)
        return when (result.status) {
            200 -> CommitResult.Applied(decoded("commit") { Wire.tide(Pack.decodeMap(result.body)) })
            409 -> CommitResult.Conflict(decoded("commit") { Wire.failedKeys(Pack.decodeMap(result.body)) })
            400 -> if (hold != null) CommitResult.HoldEnded else throw unavailable("commit", result)
            else -> throw unavailable("commit", result)
        }
    }

    /** Compares the revisions of many keys in one request and changes nothing. */
    suspend fun compare(conditions: List<Pair<String, Revision>>): CompareResult {
        val result = call("compare", "POST", Wire.COMMIT, Pack.encode(Wire.compareBody(conditions)), READ_MS)
        return when (result.status) {
            200 -> CompareResult.Unchanged
            409 -> CompareResult.Changed(decoded("compare") { Wire.failedKeys(Pack.decodeMap(result.body)) })
            else -> throw unavailable("compare", result)
        }
    }

    suspend fun createHold(ttl: Duration): StateLeaseId {
        val result = call("hold", "POST", Wire.HOLDS, Pack.encode(Wire.holdBody(ttl)), HOLD_MS)
        if (result.status != 200) throw unavailable("hold", result)
        return decoded("hold") { Wire.holdId(Pack.decodeMap(result.body)) }
    }

    /** False when the hold has ended. */
    suspend fun renewHold(
        hold: StateLeaseId,
        timeoutMs: Long,
    ): Boolean {
        val result = call("renew", "POST", "${Wire.HOLDS}/${hold.value}/renew", EMPTY_MAP, timeoutMs)
        return when (result.status) {
            200 -> true
            404 -> false
            else -> throw unavailable("renew", result)
        }
    }

    suspend fun dropHold(hold: StateLeaseId) {
        call("drop", "DELETE", "${Wire.HOLDS}/${hold.value}", null, HOLD_MS)
    }

    suspend fun follow(
        prefix: String,
        since: Revision,
        hold: Duration,
    ): FollowResult {
        requests.take()
        val target = "${Wire.FOLLOW}?under=${escape(prefix)}&since=${since.value}&holdMs=${hold.ms}"
        val result =
            try {
                watches.call("GET", target, null, hold.ms + WATCH_GRACE_MS)
            } catch (e: IOException) {
                onOutcome("follow", "silent")
                throw e
            }
        return when (result.status) {
            200 -> {
                decoded("follow") {
                    val (entries, revision) = Wire.followed(Pack.decodeMap(result.body))
                    FollowResult.Changes(entries, revision)
                }
            }

            410 -> {
                FollowResult.TooOld
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
        ms: Long,
    ): HttpClientResponse {
        requests.take()
        val result =
            try {
                http.call(method, target, body, ms)
            } catch (e: IOException) {
                failed()
                onOutcome(name, "silent")
                http.closeIdleConnections()
                throw StateUnavailableException(e.message ?: "no answer", certainlyNot = false)
            }
        onOutcome(name, result.status.toString())
        if (result.status == 503) {
            failed()
        } else {
            failing = false
            lastAnswered = clock()
        }
        return result
    }

    private fun failed() {
        if (!failing) failingSince = clock()
        failing = true
    }

    private fun unavailable(
        name: String,
        result: HttpClientResponse,
    ): StateUnavailableException {
        val rateLimited = result.status == 429
        val not = rateLimited || result.status == 503 || result.status == 400
        return StateUnavailableException("$name: state service answered ${result.status}", certainlyNot = not, rateLimited)
    }

    private inline fun <T> decoded(
        name: String,
        block: () -> T,
    ): T =
        try {
            block()
        } catch (e: MalformedException) {
            throw StateUnavailableException("$name: ${e.message}", certainlyNot = false)
        }

    private suspend fun TokenBucket.take() {
        while (true) {
            val now = clock()
            if (tryTake(now, 1.0)) return
            delay(untilAvailable(now, 1.0).ms.coerceAtLeast(1))
        }
    }

    private fun escape(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("%2F", "/")

    companion object {
        private val GIVE_UP = Duration(700)
        private const val PAGE = 500
        private const val READ_MS = 1_500L
        private const val LIST_MS = 4_000L
        private const val WRITE_MS = 2_000L
        private const val HOLD_MS = 1_000L
        private const val WATCH_GRACE_MS = 2_000L
        private val EMPTY_MAP = Pack.encode(emptyMap<String, Any?>())
    }
}
