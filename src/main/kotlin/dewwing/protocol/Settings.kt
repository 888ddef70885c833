package dewwing.protocol

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull

/** A setting is missing or invalid; the message names it. */
class InvalidSettingsException(
    message: String,
) : Exception(message)

/** IP address and port. */
data class Endpoint(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"

    companion object {
        fun parse(text: String): Endpoint? {
            val colon = text.lastIndexOf(':')
            if (colon <= 0) return null
            val port = text.substring(colon + 1).toIntOrNull()?.takeIf { it in 1..65535 } ?: return null
            return Endpoint(text.substring(0, colon), port)
        }
    }
}

/** Another controller of the deployment. */
data class PeerController(
    val name: String,
    val endpoint: Endpoint,
)

/** A team's guaranteed resources and its limits. A null limit means unlimited; the settings file has 0 for that. */
data class Team(
    val name: String,
    val cores: Double,
    val coresMax: Double?,
    val accelerators: Double,
    val acceleratorsMax: Double?,
)

/** A service-level objective that the scheduler takes into account. Times are counted from a job's submission. */
sealed interface Objective {
    /** Tasks of the class start within [withinS]. */
    data class Start(
        val jobClass: String,
        val withinS: Double,
    ) : Objective

    /** Jobs of the class finish within [withinS]. */
    data class Finish(
        val jobClass: String,
        val withinS: Double,
    ) : Objective

    /** Jobs of the class finish within [factor] times their own deadline. */
    data class Deadline(
        val jobClass: String,
        val factor: Double,
    ) : Objective

    /** Work that is within its team's guarantee starts within [withinS]. */
    data class GuaranteedStart(
        val withinS: Double,
    ) : Objective
}

/** Intervals and timeouts of the workers. */
data class WorkerTimes(
    val reportInterval: Duration,
    val leaseDuration: Duration,
    val gangTimeout: Duration,
    val gangPeerTimeout: Duration,
    val cancellationLimit: Duration,
)

/** Limits of the state service. */
data class StateLimits(
    val requestsPerS: Double,
    val writesPerS: Double,
    val valueBytes: Int,
    val opsPerCommit: Int,
) {
    /** Maximum number of conditions of one transaction that compares the records of jobs. */
    val maxConditions: Int get() = minOf(opsPerCommit * Wire.CONDITIONS_PER_OP, Wire.MAX_JOB_CONDITIONS)
}

/** Limits of the cloud's API. */
data class CloudLimits(
    val requestsPerS: Double,
    /** How far the list of machines may lag behind the actual state. */
    val listLag: Duration,
)

/** Contents of the settings file that the platform gives to each controller. */
data class Settings(
    val nodeName: String,
    val httpListen: Endpoint,
    val peerListen: Endpoint,
    val peers: List<PeerController>,
    val cloudEndpoint: Endpoint,
    val stateEndpoint: Endpoint,
    val teams: List<Team>,
    val objectives: List<Objective>,
    val workers: WorkerTimes,
    val stateLimits: StateLimits,
    val cloudLimits: CloudLimits,
    val maxSockets: Int,
) {
    companion object {
        fun parse(text: String): Settings {
            val json =
                try {
                    Json.parseToJsonElement(text)
                } catch (e: SerializationException) {
                    throw InvalidSettingsException("not JSON: ${e.message?.lineSequence()?.first()}")
                }
            val root = Section("", json as? JsonObject ?: throw InvalidSettingsException("not a JSON object"))
            val facts = root.section("facts")
            val endpoints = root.section("endpoints")
            val workers = facts.section("workers")
            val state = facts.section("state")
            val cloud = facts.section("cloud")
            val limits = facts.section("machine_limits")
            return Settings(
                nodeName = root.text("node_name"),
                httpListen = root.endpoint("serve_on"),
                peerListen = root.endpoint("peer_listen"),
                peers = root.sections("siblings").map { PeerController(it.text("node_name"), it.endpoint("endpoint")) },
                cloudEndpoint = endpoints.endpoint("cloud"),
                stateEndpoint = endpoints.endpoint("state"),
                teams = facts.sections("teams").map { parseTeam(it) },
                objectives = facts.sections("objectives").mapNotNull { parseObjective(it) },
                workers =
                    WorkerTimes(
                        reportInterval = workers.duration("report_s"),
                        leaseDuration = workers.duration("lease_s"),
                        gangTimeout = workers.duration("gang_wait_s"),
                        gangPeerTimeout = workers.duration("gang_peer_s"),
                        cancellationLimit = workers.duration("cancel_s"),
                    ),
                stateLimits =
                    StateLimits(
                        requestsPerS = state.positive("rps"),
                        writesPerS = state.positive("write_rps"),
                        valueBytes = (state.positive("value_kb") * 1024).toInt(),
                        opsPerCommit = state.positive("txn_ops").toInt().coerceAtLeast(1),
                    ),
                cloudLimits = CloudLimits(cloud.positive("rps"), cloud.duration("list_lag_s")),
                maxSockets = limits.positive("sockets").toInt(),
            )
        }

        private fun parseTeam(section: Section): Team =
            Team(
                name = section.text("name"),
                cores = section.nonNegative("cpus"),
                coresMax = section.nonNegative("cpus_max").takeIf { it > 0 },
                accelerators = section.nonNegative("gpus"),
                acceleratorsMax = section.nonNegative("gpus_max").takeIf { it > 0 },
            )

        /** Returns null for kinds of objectives that the scheduler does not act on. */
        private fun parseObjective(section: Section): Objective? {
            val objective =
                when (section.text("kind")) {
                    "wait" -> Objective.Start(section.text("class"), section.positive("within_s"))
                    "finished" -> Objective.Finish(section.text("class"), section.positive("within_s"))
                    "deadline" -> Objective.Deadline(section.text("class"), if (section.isSet("times")) section.positive("times") else 1.0)
                    "guarantee" -> Objective.GuaranteedStart(section.positive("within_s"))
                    else -> return null
                }
            section.nonNegative("share")
            return objective
        }
    }

    /** A JSON object at [path] of the settings file, with checked access to its fields. */
    private class Section(
        val path: String,
        val json: JsonObject,
    ) {
        private fun pathOf(name: String) = if (path.isEmpty()) name else "$path.$name"

        private fun invalid(
            name: String,
            expected: String,
        ): Nothing =
            throw InvalidSettingsException(
                if (json[name] == null || json[name] is JsonNull) "${pathOf(name)} is missing" else "${pathOf(name)} must be $expected",
            )

        private fun primitive(name: String): JsonPrimitive? = json[name] as? JsonPrimitive

        fun isSet(name: String): Boolean = json[name] != null && json[name] !is JsonNull

        fun text(name: String): String {
            val field = primitive(name)
            if (field == null || !field.isString || field.content.isEmpty()) invalid(name, "text")
            return field.content
        }

        fun endpoint(name: String): Endpoint = Endpoint.parse(text(name)) ?: invalid(name, "an address like 10.0.0.1:8080")

        fun number(name: String): Double {
            val field = primitive(name)
            val value = if (field == null || field.isString) null else field.doubleOrNull
            if (value == null || !value.isFinite()) invalid(name, "a number")
            return value
        }

        fun positive(name: String): Double = number(name).also { if (it <= 0) invalid(name, "above 0") }

        fun nonNegative(name: String): Double = number(name).also { if (it < 0) invalid(name, "0 or more") }

        fun duration(name: String): Duration = Duration.ofSeconds(positive(name))

        fun section(name: String): Section = Section(pathOf(name), json[name] as? JsonObject ?: invalid(name, "an object"))

        fun sections(name: String): List<Section> {
            val list: JsonElement = json[name] ?: invalid(name, "a list")
            return (list as? JsonArray ?: invalid(name, "a list")).mapIndexed { index, element ->
                Section("${pathOf(name)}[$index]", element as? JsonObject ?: invalid(name, "a list of objects"))
            }
        }
    }
}
