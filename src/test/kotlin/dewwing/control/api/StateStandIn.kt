package dewwing.control.api

import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpResponse
import dewwing.protocol.Pack
import dewwing.protocol.Wire

/** The state service's keys and conditional changes, as the protocol has them. */
internal class StateStandIn {
    val values = HashMap<String, Pair<Any?, Long>>()
    var tide = 0L

    /** Makes it answer 503. */
    var failing = false

    /** Carries the next change out but breaks its answer. */
    var loseNext = false

    /** Names one failed key of a refused transaction at most. */
    var namesOneFailedKey = false

    /** Requests so far. */
    var asked = 0

    fun answer(r: HttpRequest): HttpResponse {
        asked++
        if (failing) return HttpResponse.error(503, "outage")
        if (r.path == Wire.COMMIT) return commit(r)
        val key = r.path.removePrefix(Wire.STORE + "/")
        val value = values[key] ?: return HttpResponse.of(404, mapOf("tide" to tide))
        return HttpResponse.of(200, mapOf("path" to key, "value" to value.first, "mark" to value.second))
    }

    private fun commit(r: HttpRequest): HttpResponse {
        val body = Pack.decodeMap(r.body)
        val failed = body.mapList("if").filter { (values[it.text("path")]?.second ?: 0L) != it.count("mark") }.map { it.text("path") }
        if (failed.isNotEmpty()) {
            return HttpResponse.of(409, mapOf("failed" to if (namesOneFailedKey) failed.take(1) else failed, "tide" to tide))
        }
        if ("apply" in body.raw) {
            tide++
            for (op in body.mapList("apply")) values[op.text("put")] = op.raw["value"] to tide
        }
        if (loseNext) {
            loseNext = false
            return HttpResponse.error(500, "lost")
        }
        return HttpResponse.of(200, mapOf("tide" to tide))
    }
}
