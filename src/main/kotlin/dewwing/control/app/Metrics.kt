package dewwing.control.app

import dewwing.protocol.Duration
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tags
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.TimeUnit

/** The metrics of this controller, served to operators at [PATH] in the Prometheus text format. */
class Metrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val queuedTasks = MultiGauge.builder("dewwing.queue.tasks").description("Tasks waiting, by class").register(registry)
    private val machines = MultiGauge.builder("dewwing.machines").description("Machines by state").register(registry)
    private val roundTimer = registry.timer("dewwing.round")

    /** A call to another [service] has ended with [outcome]. */
    fun countCall(
        service: String,
        call: String,
        outcome: String,
    ) = registry.counter("dewwing.calls", "service", service, "call", call, "outcome", outcome).increment()

    private val answerCounters = HashMap<String, Array<Counter?>>()

    /**
     * Counters are cached here instead of being looked up in the registry, since hundreds of worker reports arrive per
     * second. [path] must come from a small fixed set, never directly from a caller.
     */
    fun countAnswer(
        path: String,
        status: Int,
    ) {
        val countersByStatus = answerCounters.getOrPut(path) { arrayOfNulls(STATUS_CODE_LIMIT) }
        val index = status.coerceIn(0, STATUS_CODE_LIMIT - 1)
        val counter =
            countersByStatus[index]
                ?: registry.counter("dewwing.answers", "path", path, "status", status.toString()).also { countersByStatus[index] = it }
        counter.increment()
    }

    private val turnedAwayCounters =
        TurnAwayReason.entries.map { registry.counter("dewwing.reports.turned.away", "reason", it.name.lowercase()) }

    /** A worker's report was answered without renewing its lease. */
    fun countReportTurnedAway(reason: TurnAwayReason) = turnedAwayCounters[reason.ordinal].increment()

    fun recordRound(nanos: Long) = roundTimer.record(nanos, TimeUnit.NANOSECONDS)

    fun recordWaitTime(
        jobClass: String,
        ms: Long,
    ) = registry.timer("dewwing.wait", "class", jobClass).record(maxOf(0, ms), TimeUnit.MILLISECONDS)

    /** [elapsed] is the time from this controller's election as a shard's owner to its first answer to a report for that shard. */
    fun recordShardTakeover(elapsed: Duration) = registry.timer("dewwing.shard.takeover").record(elapsed.ms, TimeUnit.MILLISECONDS)

    /** The hand-off of a shard by this controller was begun, ended or withdrawn, as [outcome] says. */
    fun countShardMove(outcome: String) = registry.counter("dewwing.shard.moves", "outcome", outcome).increment()

    fun registerGauge(
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
        queuedTasks.register(queueByClass.map { MultiGauge.Row.of(Tags.of("class", it.key), it.value) }, true)
        machines.register(machinesByState.map { MultiGauge.Row.of(Tags.of("state", it.key), it.value) }, true)
        return registry.scrape()
    }

    companion object {
        const val PATH = "/metrics"
        private const val STATUS_CODE_LIMIT = 600
    }
}
