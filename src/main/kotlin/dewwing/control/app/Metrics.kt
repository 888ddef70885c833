package dewwing.control.app

import dewwing.protocol.Duration
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tags
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit

/** What operators can watch, on [PATH] of the serving address. */
class Metrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val queue = MultiGauge.builder("dewwing.queue.tasks").description("Tasks waiting, by class").register(registry)
    private val machines = MultiGauge.builder("dewwing.machines").description("Machines by state").register(registry)
    private val rounds = registry.timer("dewwing.round")

    fun called(
        service: String,
        call: String,
        outcome: String,
    ) = registry.counter("dewwing.calls", "service", service, "call", call, "outcome", outcome).increment()

    private val answers = HashMap<String, Array<Counter?>>()

    /** Kept at hand, since reports come at hundreds a second; [path] must be one of few, not whatever a caller sent. */
    fun answered(
        path: String,
        status: Int,
    ) {
        val byStatus = answers.getOrPut(path) { arrayOfNulls(MAX_STATUS) }
        val at = status.coerceIn(0, MAX_STATUS - 1)
        val counter =
            byStatus[at]
                ?: registry.counter("dewwing.answers", "path", path, "status", status.toString()).also { byStatus[at] = it }
        counter.increment()
    }

    fun round(nanos: Long) = rounds.record(nanos, TimeUnit.NANOSECONDS)

    fun waited(
        jobClass: String,
        ms: Long,
    ) = registry.timer("dewwing.wait", "class", jobClass).record(maxOf(0, ms), TimeUnit.MILLISECONDS)

    /** From this controller's election to own a shard to its first answer to one of the shard's machines. */
    fun shardTakenOver(span: Duration) = registry.timer("dewwing.shard.takeover").record(span.ms, TimeUnit.MILLISECONDS)

    /** A shard's move from this controller has [outcome]: begun, ended or withdrawn. */
    fun shardMove(outcome: String) = registry.counter("dewwing.shard.moves", "outcome", outcome).increment()

    fun gauge(
        name: String,
        description: String,
        value: () -> Number,
    ) {
        Gauge.builder(name, value).description(description).register(registry)
    }

    fun scrape(
        queueByClass: Map<String, Int>,
        machinesByState: Map<String, Int>,
    ): String {
        queue.register(queueByClass.map { MultiGauge.Row.of(Tags.of("class", it.key), it.value) }, true)
        machines.register(machinesByState.map { MultiGauge.Row.of(Tags.of("state", it.key), it.value) }, true)
        return registry.scrape()
    }

    companion object {
        const val PATH = "/metrics"
        private const val MAX_STATUS = 600
    }
}
