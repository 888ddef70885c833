package dewwing.cluster

import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpResponse
import dewwing.protocol.Fields
import dewwing.protocol.Pack
import dewwing.protocol.Wire
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.net.URLDecoder

/** The state service, written from the protocol: keys, conditional transactions, leases and watches. One thread uses it. */
internal class StateServiceStandIn {
    private class Stored(
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

    private val keys = sortedMapOf<String, Stored>()
    private val changes = ArrayList<Change>()
    private val leases = HashMap<Long, Lease>()
    private var nextLease = 1L

    /** Revision of the newest change; watches wait for it to rise. */
    private val revision = MutableStateFlow(0L)

    /** Refuses everything with 503, as in an outage; leases then get their full time again. */
    var isDown = false
        set(value) {
            if (field && !value) for (lease in leases.values) lease.expiresAtMs = nowMs() + lease.ttlMs
            field = value
        }

    /** Of the transactions that change something, the share whose answer is lost. */
    var lostAnswers = 0.0
    private val random = kotlin.random.Random(1)

    fun value(key: String): Fields? = (keys[key]?.value as? Map<*, *>)?.let(::Fields)

    fun keysUnder(prefix: String): List<String> = keys.tailMap(prefix).keys.takeWhile { it.startsWith(prefix) }

    suspend fun answer(request: HttpRequest): HttpResponse {
        if (isDown) return HttpResponse.error(503, "outage")
        expire()
        return when {
            request.path == Wire.COMMIT -> commit(Pack.decodeMap(request.body))
            request.path == Wire.WATCH -> follow(query(request))
            request.path == Wire.STORE -> list(query(request))
            request.path.startsWith(Wire.STORE + "/") -> get(request.path.removePrefix(Wire.STORE + "/"))
            request.path.startsWith(Wire.STATE_LEASES) -> lease(request)
            else -> HttpResponse.error(404, "no such path")
        }
    }

    private fun query(request: HttpRequest): Map<String, String> =
        request.query.split('&').associate { it.substringBefore('=') to URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }

    private fun entry(
        key: String,
        stored: Stored,
    ) = mapOf("path" to key, "value" to stored.value, "mark" to stored.revision)

    private fun get(key: String): HttpResponse {
        val stored = keys[key] ?: return HttpResponse.of(404, mapOf("tide" to revision.value))
        return HttpResponse.of(200, entry(key, stored))
    }

    private fun list(query: Map<String, String>): HttpResponse {
        val prefix = query.getValue("under")
        val limit = query["limit"]?.toInt() ?: PAGE
        val from = query["since"]
        val found = keysUnder(prefix).filter { from == null || it > from }
        val page = found.take(limit).map { entry(it, keys.getValue(it)) }
        return HttpResponse.of(200, mapOf("entries" to page, "hasNext" to (found.size > limit), "tide" to revision.value))
    }

    private suspend fun follow(query: Map<String, String>): HttpResponse {
        val prefix = query.getValue("under")
        val since = query.getValue("since").toLong()
        val found = {
            val from = changes.binarySearchBy(since + 1) { it.revision }.let { if (it < 0) -it - 1 else it }
            // Equal revisions lie together; the search may have met one in their midst.
            var first = from
            while (first > 0 && changes[first - 1].revision > since) first--
            changes.subList(first, changes.size).filter { it.key.startsWith(prefix) }
        }
        if (found().isEmpty()) {
            withTimeoutOrNull(query["holdMs"]?.toLong() ?: 0) { revision.first { it > since && found().isNotEmpty() } }
        }
        val log =
            found().map {
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
        return HttpResponse.of(200, mapOf("tide" to revision.value, "log" to log))
    }

    private fun commit(body: Fields): HttpResponse {
        val failed = body.mapList("if").filter { (keys[it.text("path")]?.revision ?: 0L) != it.count("mark") }.map { it.text("path") }
        if (failed.isNotEmpty()) return HttpResponse.of(409, mapOf("failed" to failed, "tide" to revision.value))
        if ("apply" !in body.raw) return HttpResponse.of(200, mapOf("tide" to revision.value))
        val changed = body.mapList("apply")
        val tethers = changed.mapNotNull { it.raw["tether"] as? Long }
        if (tethers.any { it !in leases }) return HttpResponse.error(400, "no such lease")
        val next = revision.value + 1
        for (change in changed) {
            val put = change.textOrNull("put")
            if (put != null) put(put, change.raw["value"], next, change.raw["tether"] as? Long) else remove(change.text("remove"), next)
        }
        revision.value = next
        if (random.nextDouble() < lostAnswers) return HttpResponse.error(500, "lost")
        return HttpResponse.of(200, mapOf("tide" to next))
    }

    private fun put(
        key: String,
        value: Any?,
        at: Long,
        lease: Long?,
    ) {
        keys[key] = Stored(value, at, lease)
        changes.add(Change(key, value, at, isRemoval = false))
    }

    private fun remove(
        key: String,
        at: Long,
    ) {
        if (keys.remove(key) != null) changes.add(Change(key, null, at, isRemoval = true))
    }

    private fun lease(request: HttpRequest): HttpResponse {
        if (request.path == Wire.STATE_LEASES) {
            val ttlMs = Pack.decodeMap(request.body).count("ttlMs")
            leases[nextLease] = Lease(ttlMs, nowMs() + ttlMs)
            return HttpResponse.of(200, mapOf("tether" to nextLease++))
        }
        val id =
            request.path
                .removePrefix(Wire.STATE_LEASES + "/")
                .substringBefore('/')
                .toLong()
        val lease = leases[id] ?: return HttpResponse.error(404, "no such lease")
        if (request.method == "DELETE") end(id) else lease.expiresAtMs = nowMs() + lease.ttlMs
        return HttpResponse.of(200, emptyMap<String, Any?>())
    }

    /** Ends leases that were not renewed; to be called every so often besides, so that watches hear of it. */
    fun expire() {
        if (isDown) return
        for (id in leases.filterValues { it.expiresAtMs < nowMs() }.keys) end(id)
    }

    private fun end(id: Long) {
        leases.remove(id)
        val tied = keys.filterValues { it.lease == id }.keys.toList()
        if (tied.isEmpty()) return
        val next = revision.value + 1
        for (key in tied) remove(key, next)
        revision.value = next
    }

    private fun nowMs() = System.nanoTime() / 1_000_000

    private companion object {
        const val PAGE = 1_000
    }
}
