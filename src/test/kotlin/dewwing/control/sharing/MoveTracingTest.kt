package dewwing.control.sharing

import dewwing.control.core.sharing.ShardId
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.sdk.testing.exporter.InMemorySpanExporter
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Spans of a move: one for the whole, one a phase under it. */
class MoveTracingTest {
    private val exporter = InMemorySpanExporter.create()
    private val tracing =
        MoveTracing(
            SdkTracerProvider
                .builder()
                .addSpanProcessor(SimpleSpanProcessor.create(exporter))
                .build()
                .get("test"),
        )

    @Test
    fun `phases follow each other under the move that names shard, plan and peer`() {
        val move = tracing.begin(MoveTracing.HAND_OFF, ShardId(4), 17, "node-2")
        move.startPhase(MoveTracing.DRAIN)
        move.startPhase(MoveTracing.RELEASE)
        move.end()
        val spans = exporter.finishedSpanItems
        assertEquals(listOf(MoveTracing.DRAIN, MoveTracing.RELEASE, MoveTracing.HAND_OFF), spans.map { it.name })
        val whole = spans.last()
        assertEquals(setOf(whole.spanId), spans.dropLast(1).map { it.parentSpanId }.toSet())
        assertEquals(4L, whole.attributes.get(MoveTracing.SHARD))
        assertEquals(17L, whole.attributes.get(MoveTracing.PLAN))
        assertEquals("node-2", whole.attributes.get(MoveTracing.PEER))
    }

    @Test
    fun `a move that is withdrawn says why`() {
        val move = tracing.begin(MoveTracing.HAND_OFF, ShardId(0), 1, "b")
        move.startPhase(MoveTracing.DRAIN)
        move.fail("GANG_INCOMPLETE")
        val whole = exporter.finishedSpanItems.last()
        assertEquals(StatusCode.ERROR, whole.status.statusCode)
        assertEquals("GANG_INCOMPLETE", whole.status.description)
    }
}
