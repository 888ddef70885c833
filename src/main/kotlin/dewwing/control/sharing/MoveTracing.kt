package dewwing.control.sharing

import dewwing.control.core.sharing.ShardId
import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.context.Context

/**
 * Spans of one side of a shard's move: one for the whole, one for each of its phases, which follow each other.
 *
 * Both sides name the shard and the plan's number, by which their traces are found together.
 */
class MoveTracing(
    private val tracer: Tracer,
) {
    /** An open move. */
    inner class Move internal constructor(
        private val whole: Span,
    ) {
        private var phase: Span? = null

        fun phase(name: String) {
            phase?.end()
            phase =
                tracer
                    .spanBuilder(name)
                    .setParent(Context.root().with(whole))
                    .startSpan()
        }

        fun end() {
            phase?.end()
            whole.end()
        }

        fun fail(reason: String) {
            phase?.end()
            whole.setStatus(StatusCode.ERROR, reason)
            whole.end()
        }
    }

    fun begin(
        name: String,
        shard: ShardId,
        plan: Long,
        peer: String,
    ): Move =
        Move(
            tracer
                .spanBuilder(name)
                .setNoParent()
                .setAttribute(SHARD, shard.index.toLong())
                .setAttribute(PLAN, plan)
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
