package dewwing.cluster

import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpResponse
import dewwing.protocol.Fields
import dewwing.protocol.Pack
import dewwing.protocol.Revision
import dewwing.protocol.Wire
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.net.URLDecoder

/** In-memory state service that follows the protocol: keys, conditional transactions, leases and watches. Confined to one thread. */
internal class FakeStateService {
    private class StoredValue(
        val value: Any?,
        val revision: Long,
        val lease: Long?,
    )

    private class Change(
        val key: String,
        val value: Any?,
        val revision: Long,
        val isRemoval: Boolean,
    )

    private class Lease(
        val ttlMs: Long,
        var expiresAtMs: Long,
    )

    private val storedValues = sortedMapOf<String, StoredValue>()
    private val changes = ArrayList<Change>()
    private val leases = HashMap<Long, Lease>()
    private var nextLeaseId = 1L

    /** Revision of the newest change. Watches wait for it to increase. */
    private val revision = MutableStateFlow(0L)

    /** Simulates an outage: every request is answered with 503. When it ends, every lease gets its full TTL again. */
    var isDown = false
        set(value) {
            if (field && !value) for (lease in leases.values) lease.expiresAtMs = nowMs() + lease.ttlMs
            field = value
        }

    /** What becomes of a writing transaction whose conditions hold. */
    enum class CommitFate {
        APPLY,

        /** Not applied, and answered with 503. */
        REFUSE,

        /** Applied without an answer. */
        LOSE_RESPONSE,

        /** Not answered, and applied by [applyDeferredCommits] if its conditions still hold then. */
        DEFER,
    }

    /** Decides the fate of a writing transaction by its operations. */
    var fateOf: (operations: List<Fields>) -> CommitFate = { CommitFate.APPLY }

    /** Called before each request is carried out, and may delay it. An outage that begins meanwhile refuses the request. */
    var beforeHandling: suspend (request: HttpRequest) -> Unit = {}

    /** Called before the answer to a watch is composed, with the watched prefix, and may delay it. */
    var beforeWatchResponse: suspend (prefix: String) -> Unit = {}

    /** Called with the changed keys after each change, before it is answered. */
    var afterChange: (keys: Set<String>) -> Unit = {}
    private val deferredCommits = ArrayList<Fields>()

    /** Share of the writing transactions whose response is lost although they were applied. */
    var lostResponseRate = 0.0
    private val random = kotlin.random.Random(1)

    fun value(key: String): Fields? = (storedValues[key]?.value as? Map<*, *>)?.let(::Fields)

    fun revisionOf(key: String): Revision = Revision(storedValues[key]?.revision ?: 0L)

    fun keysUnder(prefix: String): List<String> = storedValues.tailMap(prefix).keys.takeWhile { it.startsWith(prefix) }

    suspend fun handle(request: HttpRequest): HttpResponse {
        beforeHandling(request)
        if (isDown) return HttpResponse.error(503, "outage")
        expireLeases()
        return when {
            request.path == Wire.COMMIT -> commit(Pack.decodeMap(request.body))
            request.path == Wire.WATCH -> watch(parseQuery(request))
            request.path == Wire.STORE -> list(parseQuery(request))
            request.path.startsWith(Wire.STORE + "/") -> get(request.path.removePrefix(Wire.STORE + "/"))
            request.path.startsWith(Wire.STATE_LEASES) -> handleLease(request)
            else -> HttpResponse.error(404, "no such path")
        }
    }

    private fun parseQuery(request: HttpRequest): Map<String, String> =
        request.query.split('&').associate { it.substringBefore('=') to URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }

    private fun entry(
        key: String,
        stored: StoredValue,
    ) = mapOf("path" to key, "value" to stored.value, "mark" to stored.revision)

    private fun get(key: String): HttpResponse {
        val stored = storedValues[key] ?: return HttpResponse.of(404, mapOf("tide" to revision.value))
        return HttpResponse.of(200, entry(key, stored))
    }

    private fun list(query: Map<String, String>): HttpResponse {
        val prefix = query.getValue("under")
        val limit = query["limit"]?.toInt() ?: DEFAULT_PAGE_SIZE
        val startAfter = query["since"]
        val found = keysUnder(prefix).filter { startAfter == null || it > startAfter }
        val page = found.take(limit).map { entry(it, storedValues.getValue(it)) }
        return HttpResponse.of(200, mapOf("entries" to page, "hasNext" to (found.size > limit), "tide" to revision.value))
    }

    /** Number of reads of changes that were answered without waiting for one. */
    var immediateWatchCount = 0
        private set

    private suspend fun watch(query: Map<String, String>): HttpResponse {
        val prefix = query.getValue("under")
        if (query["holdMs"] == "0") immediateWatchCount++
        val since = query.getValue("since").toLong()
        val pendingChanges = {
            val start = changes.binarySearchBy(since + 1) { it.revision }.let { if (it < 0) -it - 1 else it }
            // All changes of a transaction have the same revision, and the binary search may find any one of them.
            var first = start
            while (first > 0 && changes[first - 1].revision > since) first--
            changes.subList(first, changes.size).filter { it.key.startsWith(prefix) }
        }
        if (pendingChanges().isEmpty()) {
            withTimeoutOrNull(query["holdMs"]?.toLong() ?: 0) { revision.first { it > since && pendingChanges().isNotEmpty() } }
        }
        beforeWatchResponse(prefix)
        val changeLog =
            pendingChanges().map {
                if (it.isRemoval) {
                    mapOf("remove" to it.key, "mark" to it.revision)
                } else {
                    mapOf(
                        "put" to it.key,
                        "value" to it.value,
                        "mark" to it.revision,
                    )
                }
            }
        return HttpResponse.of(200, mapOf("tide" to revision.value, "log" to changeLog))
    }

    private fun commit(body: Fields): HttpResponse {
        val failedKeys =
            body
                .mapList("if")
                .filter { (storedValues[it.text("path")]?.revision ?: 0L) != it.count("mark") }
                .map { it.text("path") }
        if (body.mapList("if").size > MAX_CHANGES * Wire.CONDITIONS_PER_OP) return HttpResponse.error(400, "too many conditions")
        if (failedKeys.isNotEmpty()) return HttpResponse.of(409, mapOf("failed" to failedKeys, "tide" to revision.value))
        if ("apply" !in body.raw) return HttpResponse.of(200, mapOf("tide" to revision.value))
        val operations = body.mapList("apply")
        if (operations.size > MAX_CHANGES) return HttpResponse.error(400, "too many changes")
        val fate = fateOf(operations)
        if (fate == CommitFate.REFUSE) return HttpResponse.error(503, "refused")
        if (fate == CommitFate.DEFER) {
            deferredCommits.add(body)
            return HttpResponse.error(500, "deferred")
        }
        val leaseIds = operations.mapNotNull { it.raw["tether"] as? Long }
        if (leaseIds.any { it !in leases }) return HttpResponse.error(400, "no such lease")
        val newRevision = revision.value + 1
        for (operation in operations) {
            val keyToPut = operation.textOrNull("put")
            if (keyToPut != null) {
                put(keyToPut, operation.raw["value"], newRevision, operation.raw["tether"] as? Long)
            } else {
                remove(operation.text("remove"), newRevision)
            }
        }
        revision.value = newRevision
        afterChange(operations.mapTo(HashSet()) { it.textOrNull("put") ?: it.text("remove") })
        if (fate == CommitFate.LOSE_RESPONSE || random.nextDouble() < lostResponseRate) return HttpResponse.error(500, "response lost")
        return HttpResponse.of(200, mapOf("tide" to newRevision))
    }

    /** Changes the value at [key], as a controller does that the others have no contact with. */
    fun replace(
        key: String,
        value: Any?,
    ) {
        val newRevision = revision.value + 1
        put(key, value, newRevision, lease = null)
        revision.value = newRevision
    }

    fun removeUnder(prefix: String) {
        val newRevision = revision.value + 1
        keysUnder(prefix).forEach { remove(it, newRevision) }
        revision.value = newRevision
    }

    /** Applies the deferred transactions whose conditions still hold. */
    fun applyDeferredCommits() {
        val commits = deferredCommits.toList()
        deferredCommits.clear()
        fateOf = { CommitFate.APPLY }
        commits.forEach(::commit)
    }

    private fun put(
        key: String,
        value: Any?,
        atRevision: Long,
        lease: Long?,
    ) {
        storedValues[key] = StoredValue(value, atRevision, lease)
        changes.add(Change(key, value, atRevision, isRemoval = false))
    }

    private fun remove(
        key: String,
        atRevision: Long,
    ) {
        if (storedValues.remove(key) != null) changes.add(Change(key, null, atRevision, isRemoval = true))
    }

    private fun handleLease(request: HttpRequest): HttpResponse {
        if (request.path == Wire.STATE_LEASES) {
            val ttlMs = Pack.decodeMap(request.body).count("ttlMs")
            leases[nextLeaseId] = Lease(ttlMs, nowMs() + ttlMs)
            return HttpResponse.of(200, mapOf("tether" to nextLeaseId++))
        }
        val id =
            request.path
                .removePrefix(Wire.STATE_LEASES + "/")
                .substringBefore('/')
                .toLong()
        val lease = leases[id] ?: return HttpResponse.error(404, "no such lease")
        if (request.method == "DELETE") endLease(id) else lease.expiresAtMs = nowMs() + lease.ttlMs
        return HttpResponse.of(200, emptyMap<String, Any?>())
    }

    /** Ends leases that were not renewed. Has to be called periodically as well, so that watches see the removed keys. */
    fun expireLeases() {
        if (isDown) return
        for (id in leases.filterValues { it.expiresAtMs < nowMs() }.keys) endLease(id)
    }

    /** Ends the lease that [key] is bound to, as if it had not been renewed in time. */
    fun endLeaseOf(key: String) {
        storedValues[key]?.lease?.let(::endLease)
    }

    private fun endLease(id: Long) {
        leases.remove(id)
        val leaseKeys = storedValues.filterValues { it.lease == id }.keys.toList()
        if (leaseKeys.isEmpty()) return
        val newRevision = revision.value + 1
        for (key in leaseKeys) remove(key, newRevision)
        revision.value = newRevision
        afterChange(leaseKeys.toSet())
    }

    private fun nowMs() = System.nanoTime() / 1_000_000

    companion object {
        private const val DEFAULT_PAGE_SIZE = 1_000

        /** Changes that one transaction may make. */
        const val MAX_CHANGES = 8
    }
}
