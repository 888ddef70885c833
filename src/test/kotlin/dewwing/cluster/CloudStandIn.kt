package dewwing.cluster

import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpResponse
import dewwing.protocol.Pack
import dewwing.protocol.Wire

/** The cloud, written from the protocol: machines of one type that boot at once. One thread uses it. */
internal class CloudStandIn(
    private val capacity: Int,
    private val start: (Rented) -> Unit,
    private val stop: (String) -> Unit,
) {
    class Rented(
        val name: String,
        val port: Int,
        val zone: String,
        val spot: Boolean,
    )

    private val machines = LinkedHashMap<String, Rented>()
    private val answered = HashMap<String, List<String>>()
    private var next = 1

    val names: Set<String> get() = machines.keys

    /** A machine that nobody rented through a controller. */
    fun startUnasked(
        port: Int,
        zone: String,
    ): Rented = rent(port, zone, spot = false)

    fun answer(request: HttpRequest): HttpResponse =
        when (request.path) {
            Wire.MACHINE_TYPES -> HttpResponse.of(200, mapOf("perchKinds" to listOf(TYPE)))
            Wire.RELEASE -> release(request)
            else -> if (request.method == "POST") rentals(request) else list()
        }

    private fun rentals(request: HttpRequest): HttpResponse {
        val body = Pack.decodeMap(request.body)
        val ask = body.text("ask")
        val before = answered[ask]
        if (before != null) return HttpResponse.of(200, mapOf("perches" to before))
        val count = minOf(body.count("count").toInt(), capacity - machines.size)
        if (count <= 0) return HttpResponse.error(503, "no capacity")
        val rented = List(count) { rent(0, body.text("meadow"), body.flag("windfall")) }
        answered[ask] = rented.map { it.name }
        return HttpResponse.of(200, mapOf("perches" to rented.map { it.name }))
    }

    private fun rent(
        port: Int,
        zone: String,
        spot: Boolean,
    ): Rented {
        val machine = Rented("m-%06d".format(next++), port, zone, spot)
        machines[machine.name] = machine
        start(machine)
        return machine
    }

    private fun release(request: HttpRequest): HttpResponse {
        for (name in Pack.decodeMap(request.body).textListOrNull("perches") ?: emptyList()) {
            if (machines.remove(name) != null) stop(name)
        }
        return HttpResponse.of(200, emptyMap<String, Any?>())
    }

    private fun list(): HttpResponse {
        val listed =
            machines.values.map {
                mapOf(
                    "ref" to it.name,
                    "endpoint" to "127.0.0.1:1",
                    "perchKind" to TYPE_NAME,
                    "meadow" to it.zone,
                    "windfall" to it.spot,
                    "stage" to "running",
                    "ageS" to 1.0,
                )
            }
        return HttpResponse.of(200, mapOf("perches" to listed, "hasNext" to false))
    }

    companion object {
        const val TYPE_NAME = "node"
        const val CORES = 8.0
        private val TYPE =
            mapOf(
                "name" to TYPE_NAME,
                "cores" to CORES,
                "accelerators" to 0.0,
                "memoryGb" to 64.0,
                "cacheGb" to 10.0,
                "pullGbPerS" to 10.0,
                "rate" to 1.0,
                "marketPrice" to 0.5,
                "readyS" to 1.0,
                "meadows" to listOf("a"),
            )
    }
}
