package dewwing.control.cloud

import dewwing.control.core.RentalRequest
import dewwing.control.core.TokenBucket
import dewwing.control.http.HttpClient
import dewwing.control.http.HttpClientResponse
import dewwing.protocol.Instant
import dewwing.protocol.ListedMachine
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.Pack
import dewwing.protocol.Wire
import kotlinx.coroutines.delay
import java.io.IOException

/** The cloud did not carry the request out, or nobody knows. */
class CloudUnavailableException(
    message: String,
) : IOException(message)

/** The cloud's calls, kept within its rate by spacing them out. */
class CloudClient(
    private val http: HttpClient,
    private val requests: TokenBucket,
    private val clock: () -> Instant,
    private val onOutcome: (call: String, outcome: String) -> Unit,
) {
    suspend fun machineTypes(): List<MachineType> {
        val result = call("types", "GET", Wire.TYPES, null)
        if (result.status != 200) throw unavailable("types", result)
        return Wire.machineTypes(Pack.decodeMap(result.body))
    }

    /** The machines rented under this order's unique name; null when there is no capacity. */
    suspend fun rent(order: RentalRequest): List<MachineId>? {
        val body = Wire.rentBody(order.requestId, order.type, order.zone, order.spot, order.count)
        val result = call("rent", "POST", Wire.MACHINES, Pack.encode(body))
        if (result.status == 200) return Wire.rented(Pack.decodeMap(result.body))
        if (result.status == 503) {
            val error = Pack.decodeMap(result.body).textOrNull("error")
            if (error == "no capacity") return null
        }
        throw unavailable("rent", result)
    }

    suspend fun release(ids: List<MachineId>) {
        val result = call("release", "POST", Wire.RELEASE, Pack.encode(Wire.releaseBody(ids)))
        if (result.status != 200) throw unavailable("release", result)
    }

    suspend fun machines(): List<ListedMachine> {
        val all = ArrayList<ListedMachine>()
        var after: String? = null
        while (true) {
            val since = after?.let { "since=$it&" } ?: ""
            val result = call("list", "GET", "${Wire.MACHINES}?${since}limit=$PAGE", null)
            if (result.status != 200) throw unavailable("list", result)
            val (page, more) = Wire.machineList(Pack.decodeMap(result.body))
            all.addAll(page)
            if (!more || page.isEmpty()) return all
            after = page.last().id.value
        }
    }

    private suspend fun call(
        name: String,
        method: String,
        target: String,
        body: ByteArray?,
    ): HttpClientResponse {
        while (true) {
            val now = clock()
            if (requests.tryTake(now, 1.0)) break
            delay(requests.untilAvailable(now, 1.0).ms.coerceAtLeast(1))
        }
        try {
            val result = http.call(method, target, body, CALL_MS)
            onOutcome(name, result.status.toString())
            return result
        } catch (e: IOException) {
            onOutcome(name, "silent")
            throw CloudUnavailableException(e.message ?: "no answer")
        }
    }

    private fun unavailable(
        name: String,
        result: HttpClientResponse,
    ) = CloudUnavailableException("$name: cloud answered ${result.status}")

    companion object {
        private const val PAGE = 500
        private const val SHORTEST_LIST_PAUSE_MS = 4_000L

        /** Listing takes at most this part of the cloud's rate; rentals and releases need the rest. */
        private const val LIST_SHARE = 0.25

        /** Time between two lists of a fleet of [machines]: a large fleet's list takes many calls. */
        fun listEveryMs(
            machines: Int,
            requestsPerS: Double,
        ): Long {
            val pages = machines / PAGE + 1
            return maxOf(SHORTEST_LIST_PAUSE_MS, (pages * 1_000 / (requestsPerS * LIST_SHARE)).toLong())
        }

        private const val CALL_MS = 5_000L
    }
}
