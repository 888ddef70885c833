package dewwing.control.sharing

import dewwing.control.core.sharing.ShardId
import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.context.Context

/**
 * Traces one side of a shard's move: a root span for the move, and a child span for each of its consecutive phases.
 *
 * The two sides write separate traces. Both set the shard and the plan's number as attributes, so that they can be matched.
 */
class MoveTracing(
    private val tracer: Tracer,
) {
    /** The trace of a move in progress. */
    inner class MoveTrace internal constructor(
        private val rootSpan: Span,
    ) {
        private var phaseSpan: Span? = null

        fun startPhase(name: String) {
            phaseSpan?.end()
            phaseSpan =
                tracer
                    .spanBuilder(name)
                    .setParent(Context.root().with(rootSpan))
                    .startSpan()
        }

        fun end() {
            phaseSpan?.end()
            rootSpan.end()
        }

        fun fail(reason: String) {
            phaseSpan?.end()
            rootSpan.setStatus(StatusCode.ERROR, reason)
            rootSpan.end()
        }
    }

    fun begin(
        name: String,
        shard: ShardId,
        planNumber: Long,
        peer: String,
    ): MoveTrace =
        MoveTrace(
            tracer
                .spanBuilder(name)
                .setNoParent()
                .setAttribute(SHARD, shard.index.toLong())
                .setAttribute(PLAN, planNumber)
                .setAttribute(PEER, peer)
                .startSpan(),
        )

    companion object {
        const val HAND_OFF = "shard.hand_off"
        const val TAKE_OVER = "shard.take_over"
        const val DRAIN = "drain"
        const val RELEASE = "release"
        const val REBUILD = "rebuild"
        const val FIRST_REPORT = "first_report"
        val SHARD: AttributeKey<Long> = AttributeKey.longKey("dewwing.shard")
        val PLAN: AttributeKey<Long> = AttributeKey.longKey("dewwing.plan")
        val PEER: AttributeKey<String> = AttributeKey.stringKey("dewwing.peer")
    }
}
