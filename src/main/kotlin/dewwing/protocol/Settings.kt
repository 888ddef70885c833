package dewwing.protocol

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull

/** A setting is missing or wrong; the message names the field. */
class BadSettingsException(
    message: String,
) : Exception(message)

/** Host and port, by IP number. */
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

data class Sibling(
    val name: String,
    val endpoint: Endpoint,
)

/** A cap of null is none; the platform writes 0 for it. */
data class Team(
    val name: String,
    val cores: Double,
    val coresMax: Double?,
    val accelerators: Double,
    val acceleratorsMax: Double?,
)

/** What users expect, as far as the scheduler acts on it; times count from submission. */
sealed interface Objective {
    /** Tasks of the class start within [withinS]. */
    data class Start(
        val jobClass: String,
        val withinS: Double,
    ) : Objective

    /** Jobs of the class are done within [withinS]. */
    data class Finish(
        val jobClass: String,
        val withinS: Double,
    ) : Objective

    /** Jobs of the class are done within [times] their own deadline. */
    data class Deadline(
        val jobClass: String,
        val times: Double,
    ) : Objective

    /** Work that its team's guarantee covers starts within [withinS]. */
    data class GuaranteedStart(
        val withinS: Double,
    ) : Objective
}

data class WorkerTimes(
    val report: Duration,
    val lease: Duration,
    val gangWait: Duration,
    val gangPeer: Duration,
    val cancel: Duration,
)

data class StateLimits(
    val requestsPerS: Double,
    val writesPerS: Double,
    val valueBytes: Int,
    val opsPerCommit: Int,
)

data class CloudLimits(
    val requestsPerS: Double,
    val listLag: Duration,
)

/** What the platform hands every controller. */
data class Settings(
    val node: String,
    val serveOn: Endpoint,
    val peerListen: Endpoint,
    val siblings: List<Sibling>,
    val cloud: Endpoint,
    val state: Endpoint,
    val teams: List<Team>,
    val objectives: List<Objective>,
    val workers: WorkerTimes,
    val stateLimits: StateLimits,
    val cloudLimits: CloudLimits,
    val sockets: Int,
) {
    companion object {
        fun parse(text: String): Settings {
            val json =
                try {
                    Json.parseToJsonElement(text)
                } catch (e: SerializationException) {
                    throw BadSettingsException("not JSON: ${e.message?.lineSequence()?.first()}")
                }
            val root = Section("", json as? JsonObject ?: throw BadSettingsException("not a JSON object"))
            val facts = root.section("facts")
            val endpoints = root.section("endpoints")
            val workers = facts.section("workers")
            val state = facts.section("state")
            val cloud = facts.section("cloud")
            val limits = facts.section("machine_limits")
            return Settings(
                node = root.text("node_name"),
                serveOn = root.endpoint("serve_on"),
                peerListen = root.endpoint("peer_listen"),
                siblings = root.sections("siblings").map { Sibling(it.text("node_name"), it.endpoint("endpoint")) },
                cloud = endpoints.endpoint("cloud"),
                state = endpoints.endpoint("state"),
                teams = facts.sections("teams").map { team(it) },
                objectives = facts.sections("objectives").mapNotNull { objective(it) },
                workers =
                    WorkerTimes(
                        report = workers.span("report_s"),
                        lease = workers.span("lease_s"),
                        gangWait = workers.span("gang_wait_s"),
                        gangPeer = workers.span("gang_peer_s"),
                        cancel = workers.span("cancel_s"),
                    ),
                stateLimits =
                    StateLimits(
                        requestsPerS = state.positive("rps"),
                        writesPerS = state.positive("write_rps"),
                        valueBytes = (state.positive("value_kb") * 1024).toInt(),
                        opsPerCommit = state.positive("txn_ops").toInt().coerceAtLeast(1),
                    ),
                cloudLimits = CloudLimits(cloud.positive("rps"), cloud.span("list_lag_s")),
                sockets = limits.positive("sockets").toInt(),
            )
        }

        private fun team(s: Section): Team =
            Team(
                name = s.text("name"),
                cores = s.notNegative("cpus"),
                coresMax = s.notNegative("cpus_max").takeIf { it > 0 },
                accelerators = s.notNegative("gpus"),
                acceleratorsMax = s.notNegative("gpus_max").takeIf { it > 0 },
            )

        /** Kinds of objective we do not know are somebody else's. */
        private fun objective(s: Section): Objective? {
            val objective =
                when (s.text("kind")) {
                    "wait" -> Objective.Start(s.text("class"), s.positive("within_s"))
                    "finished" -> Objective.Finish(s.text("class"), s.positive("within_s"))
                    "deadline" -> Objective.Deadline(s.text("class"), if (s.has("times")) s.positive("times") else 1.0)
                    "guarantee" -> Objective.GuaranteedStart(s.positive("within_s"))
                    else -> return null
                }
            s.notNegative("share")
            return objective
        }
    }

    private class Section(
        val path: String,
        val json: JsonObject,
    ) {
        private fun at(name: String) = if (path.isEmpty()) name else "$path.$name"

        private fun wrong(
            name: String,
            want: String,
        ): Nothing =
            throw BadSettingsException(
                if (json[name] == null || json[name] is JsonNull) "${at(name)} is missing" else "${at(name)} must be $want",
            )

        private fun primitive(name: String): JsonPrimitive? = json[name] as? JsonPrimitive

        fun has(name: String): Boolean = json[name] != null && json[name] !is JsonNull

        fun text(name: String): String {
            val p = primitive(name)
            if (p == null || !p.isString || p.content.isEmpty()) wrong(name, "text")
            return p.content
        }

        fun endpoint(name: String): Endpoint = Endpoint.parse(text(name)) ?: wrong(name, "an address like 10.0.0.1:8080")

        fun number(name: String): Double {
            val p = primitive(name)
            val value = if (p == null || p.isString) null else p.doubleOrNull
            if (value == null || !value.isFinite()) wrong(name, "a number")
            return value
        }

        fun positive(name: String): Double = number(name).also { if (it <= 0) wrong(name, "above 0") }

        fun notNegative(name: String): Double = number(name).also { if (it < 0) wrong(name, "0 or more") }

        fun span(name: String): Duration = Duration.ofSeconds(positive(name))

        fun section(name: String): Section = Section(at(name), json[name] as? JsonObject ?: wrong(name, "an object"))

        fun sections(name: String): List<Section> {
            val list: JsonElement = json[name] ?: wrong(name, "a list")
            return (list as? JsonArray ?: wrong(name, "a list")).mapIndexed { i, e ->
                Section("${at(name)}[$i]", e as? JsonObject ?: wrong(name, "a list of objects"))
            }
        }
    }
}
