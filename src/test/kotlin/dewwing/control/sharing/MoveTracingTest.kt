package dewwing.control.sharing

import dewwing.control.core.sharing.ShardId
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.sdk.testing.exporter.InMemorySpanExporter
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Trace spans of a shard move: one for the whole move, with one child span per phase. */
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
    fun `phases are child spans of the move, which carries shard, plan and peer`() {
        val move = tracing.begin(MoveTracing.HAND_OFF, ShardId(4), 17, "node-2")
        move.startPhase(MoveTracing.DRAIN)
        move.startPhase(MoveTracing.RELEASE)
        move.end()
        val spans = exporter.finishedSpanItems
        assertEquals(listOf(MoveTracing.DRAIN, MoveTracing.RELEASE, MoveTracing.HAND_OFF), spans.map { it.name })
        val moveSpan = spans.last()
        assertEquals(setOf(moveSpan.spanId), spans.dropLast(1).map { it.parentSpanId }.toSet())
        assertEquals(4L, moveSpan.attributes.get(MoveTracing.SHARD))
        assertEquals(17L, moveSpan.attributes.get(MoveTracing.PLAN))
        assertEquals("node-2", moveSpan.attributes.get(MoveTracing.PEER))
    }

    @Test
    fun `the span of a withdrawn move has the reason as its status`() {
        val move = tracing.begin(MoveTracing.HAND_OFF, ShardId(0), 1, "b")
        move.startPhase(MoveTracing.DRAIN)
        move.fail("GANG_INCOMPLETE")
        val moveSpan = exporter.finishedSpanItems.last()
        assertEquals(StatusCode.ERROR, moveSpan.status.statusCode)
        assertEquals("GANG_INCOMPLETE", moveSpan.status.description)
    }
}
