package dewwing.control.cloud

import dewwing.control.core.RentalRequest
import dewwing.control.core.TokenBucket
import dewwing.control.http.HttpClient
import dewwing.control.http.HttpClientResponse
import dewwing.control.http.take
import dewwing.protocol.Instant
import dewwing.protocol.ListedMachine
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.Pack
import dewwing.protocol.Wire
import java.io.IOException

/** A request to the cloud failed: it was not carried out, or its outcome is unknown. */
class CloudUnavailableException(
    message: String,
) : IOException(message)

/** Client of the cloud. Requests are delayed to stay within the cloud's request rate. */
class CloudClient(
    private val http: HttpClient,
    private val requestBudget: TokenBucket,
    private val clock: () -> Instant,
    private val onOutcome: (call: String, outcome: String) -> Unit,
) {
    suspend fun machineTypes(): List<MachineType> {
        val result = call("types", "GET", Wire.MACHINE_TYPES, null)
        if (result.status != 200) throw unavailable("types", result)
        return Wire.decodeMachineTypes(Pack.decodeMap(result.body))
    }

    /** Returns the machines rented for [request], or null if the cloud has no capacity. The request ID makes retries safe. */
    suspend fun rent(request: RentalRequest): List<MachineId>? {
        val body = Wire.rentBody(request.requestId, request.type, request.zone, request.spot, request.count)
        val result = call("rent", "POST", Wire.MACHINES, Pack.encode(body))
        if (result.status == 200) return Wire.decodeRentedMachines(Pack.decodeMap(result.body))
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

    suspend fun listMachines(): List<ListedMachine> {
        val machines = ArrayList<ListedMachine>()
        var lastId: String? = null
        while (true) {
            val sinceParameter = lastId?.let { "since=$it&" } ?: ""
            val result = call("list", "GET", "${Wire.MACHINES}?${sinceParameter}limit=$PAGE_SIZE", null)
            if (result.status != 200) throw unavailable("list", result)
            val (page, hasMore) = Wire.decodeMachineList(Pack.decodeMap(result.body))
            machines.addAll(page)
            if (!hasMore || page.isEmpty()) return machines
            lastId = page.last().id.value
        }
    }

    private suspend fun call(
        name: String,
        method: String,
        target: String,
        body: ByteArray?,
    ): HttpClientResponse {
        requestBudget.take(clock)
        try {
            val result = http.call(method, target, body, CALL_TIMEOUT_MS)
            onOutcome(name, result.status.toString())
            return result
        } catch (e: IOException) {
            onOutcome(name, "silent")
            throw CloudUnavailableException(e.message ?: "no answer from the cloud")
        }
    }

    private fun unavailable(
        name: String,
        result: HttpClientResponse,
    ) = CloudUnavailableException("$name: cloud answered ${result.status}")

    companion object {
        private const val PAGE_SIZE = 500
        private const val MIN_LIST_INTERVAL_MS = 4_000L

        /** Share of the cloud's request rate that listing machines may use; the rest is left to rentals and releases. */
        private const val LIST_RATE_SHARE = 0.25

        /** Interval between two reads of the machine list, which takes one call for every [PAGE_SIZE] machines. */
        fun listIntervalMs(
            machineCount: Int,
            requestsPerS: Double,
        ): Long {
            val pages = machineCount / PAGE_SIZE + 1
            return maxOf(MIN_LIST_INTERVAL_MS, (pages * 1_000 / (requestsPerS * LIST_RATE_SHARE)).toLong())
        }

        private const val CALL_TIMEOUT_MS = 5_000L
    }
}
