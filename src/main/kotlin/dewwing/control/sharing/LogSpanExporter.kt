package dewwing.control.sharing

import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/** Writes ended spans to the log, so that moves can be followed without a collector. */
class LogSpanExporter : SpanExporter {
    private val log = LoggerFactory.getLogger("trace")

    override fun export(spans: Collection<SpanData>): CompletableResultCode {
        for (span in spans) {
            val ms = TimeUnit.NANOSECONDS.toMillis(span.endEpochNanos - span.startEpochNanos)
            log.info(
                "{} {} ms trace={} parent={} {} {}",
                span.name,
                ms,
                span.traceId,
                span.parentSpanId,
                span.attributes.asMap(),
                span.status.description,
            )
        }
        return CompletableResultCode.ofSuccess()
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    companion object {
        /** A tracer whose spans go to the log. */
        fun tracing(): MoveTracing {
            val provider = SdkTracerProvider.builder().addSpanProcessor(SimpleSpanProcessor.create(LogSpanExporter())).build()
            return MoveTracing(provider.get("dewwing"))
        }
    }
}
