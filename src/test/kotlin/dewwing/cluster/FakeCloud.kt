package dewwing.cluster

import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpResponse
import dewwing.protocol.Pack
import dewwing.protocol.Wire

/** In-memory cloud that follows the protocol: machines of one type that boot at once. Confined to one thread. */
internal class FakeCloud(
    private val capacity: Int,
    private val onStart: (RentedMachine) -> Unit,
    private val onStop: (String) -> Unit,
) {
    class RentedMachine(
        val name: String,
        val port: Int,
        val zone: String,
        val spot: Boolean,
    )

    private val machines = LinkedHashMap<String, RentedMachine>()
    private val machinesByRequest = HashMap<String, List<String>>()
    private var nextNumber = 1

    val machineNames: Set<String> get() = machines.keys

    /** Starts a machine that no controller has requested. */
    fun startUnrequested(
        port: Int,
        zone: String,
    ): RentedMachine = addMachine(port, zone, spot = false)

    fun handle(request: HttpRequest): HttpResponse =
        when (request.path) {
            Wire.MACHINE_TYPES -> HttpResponse.of(200, mapOf("perchKinds" to listOf(TYPE)))
            Wire.RELEASE -> releaseMachines(request)
            else -> if (request.method == "POST") rentMachines(request) else listMachines()
        }

    private fun rentMachines(request: HttpRequest): HttpResponse {
        val body = Pack.decodeMap(request.body)
        val requestId = body.text("ask")
        val previous = machinesByRequest[requestId]
        if (previous != null) return HttpResponse.of(200, mapOf("perches" to previous))
        val count = minOf(body.count("count").toInt(), capacity - machines.size)
        if (count <= 0) return HttpResponse.error(503, "no capacity")
        val rented = List(count) { addMachine(0, body.text("meadow"), body.flag("windfall")) }
        machinesByRequest[requestId] = rented.map { it.name }
        return HttpResponse.of(200, mapOf("perches" to rented.map { it.name }))
    }

    private fun addMachine(
        port: Int,
        zone: String,
        spot: Boolean,
    ): RentedMachine {
        val machine = RentedMachine("m-%06d".format(nextNumber++), port, zone, spot)
        machines[machine.name] = machine
        onStart(machine)
        return machine
    }

    private fun releaseMachines(request: HttpRequest): HttpResponse {
        for (name in Pack.decodeMap(request.body).textListOrNull("perches") ?: emptyList()) {
            if (machines.remove(name) != null) onStop(name)
        }
        return HttpResponse.of(200, emptyMap<String, Any?>())
    }

    private fun listMachines(): HttpResponse {
        val entries =
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
        return HttpResponse.of(200, mapOf("perches" to entries, "hasNext" to false))
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
