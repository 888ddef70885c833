package dewwing.control.sharing

import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/** Writes ended spans to the log, so that shard moves can be traced without a trace collector. */
class LogSpanExporter : SpanExporter {
    private val log = LoggerFactory.getLogger("trace")

    override fun export(spans: Collection<SpanData>): CompletableResultCode {
        for (span in spans) log.info("{}", describe(span))
        return CompletableResultCode.ofSuccess()
    }

    private fun describe(span: SpanData): String {
        val durationMs = TimeUnit.NANOSECONDS.toMillis(span.endEpochNanos - span.startEpochNanos)
        val attributes =
            span.attributes
                .asMap()
                .entries
                .map { (key, value) -> "${key.key}=$value" }
        val parent = if (span.parentSpanContext.isValid) listOf("parent=${span.parentSpanId}") else emptyList()
        val failure = listOf(span.status.description).filter { it.isNotEmpty() }.map { "failed=$it" }
        return (
            listOf(
                span.name,
                "$durationMs ms",
                "trace=${span.traceId}",
                "span=${span.spanId}",
            ) + parent + attributes + failure
        ).joinToString(" ")
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    companion object {
        /** Tracing whose spans are written to the log. */
        fun createTracing(): MoveTracing {
            val provider = SdkTracerProvider.builder().addSpanProcessor(SimpleSpanProcessor.create(LogSpanExporter())).build()
            return MoveTracing(provider.get("dewwing"))
        }
    }
}
