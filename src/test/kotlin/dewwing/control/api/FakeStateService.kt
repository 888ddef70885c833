package dewwing.control.api

import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpResponse
import dewwing.protocol.Pack
import dewwing.protocol.Wire

/** In-memory state service that follows the protocol for reads and conditional writes of keys. */
internal class FakeStateService {
    /** Value and revision by key. */
    val entries = HashMap<String, Pair<Any?, Long>>()
    var revision = 0L

    /** Answers every request with 503. */
    var isDown = false

    /** Applies the next transaction but loses its response. */
    var loseNextResponse = false

    /** Names only the first of the failed keys when it refuses a transaction. */
    var reportsOneFailedKey = false

    /** Requests received so far. */
    var requestCount = 0

    fun handle(request: HttpRequest): HttpResponse {
        requestCount++
        if (isDown) return HttpResponse.error(503, "outage")
        if (request.path == Wire.COMMIT) return commit(request)
        val key = request.path.removePrefix(Wire.STORE + "/")
        val value = entries[key] ?: return HttpResponse.of(404, mapOf("tide" to revision))
        return HttpResponse.of(200, mapOf("path" to key, "value" to value.first, "mark" to value.second))
    }

    private fun commit(request: HttpRequest): HttpResponse {
        val body = Pack.decodeMap(request.body)
        val failedKeys = body.mapList("if").filter { (entries[it.text("path")]?.second ?: 0L) != it.count("mark") }.map { it.text("path") }
        if (failedKeys.isNotEmpty()) {
            return HttpResponse.of(409, mapOf("failed" to if (reportsOneFailedKey) failedKeys.take(1) else failedKeys, "tide" to revision))
        }
        if ("apply" in body.raw) {
            revision++
            for (operation in body.mapList("apply")) entries[operation.text("put")] = operation.raw["value"] to revision
        }
        if (loseNextResponse) {
            loseNextResponse = false
            return HttpResponse.error(500, "response lost")
        }
        return HttpResponse.of(200, mapOf("tide" to revision))
    }
}
