package dewwing.control.core

import dewwing.protocol.Command
import dewwing.protocol.Endpoint
import dewwing.protocol.Instant
import dewwing.protocol.MachineId
import dewwing.protocol.Revision
import dewwing.protocol.Span
import kotlin.math.ceil

/** A conditional change of the state service, all or nothing. */
data class StateChange(
    val conditions: List<Pair<String, Revision>>,
    val puts: List<Pair<String, Map<String, Any?>>>,
    val removes: List<String> = emptyList(),
)

/** One request for machines; [ask] is unique for ever, so that a replay rents nothing twice. */
data class RentOrder(
    val ask: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val count: Int,
)

/** What the core wants done outside; results come back as events. */
sealed interface Effect {
    /** To be repeated until its outcome is certain. */
    data class Write(
        val change: StateChange,
    ) : Effect

    data class Rent(
        val key: String,
        val order: RentOrder,
    ) : Effect

    data class Release(
        val machines: List<MachineId>,
    ) : Effect

    data class Kill(
        val machine: MachineId,
        val endpoint: Endpoint,
        val session: Long,
        val kills: List<Command.Kill>,
    ) : Effect
}

/** A rate with bursts, on whatever clock its caller has. */
class TokenBucket(
    private val perSecond: Double,
    private val burst: Double,
) {
    private var level = burst
    private var at: Instant? = null

    fun available(now: Instant): Double {
        val last = at
        if (last != null && now > last) level = minOf(burst, level + (now - last).seconds * perSecond)
        if (last == null || now > last) at = now
        return level
    }

    fun tryTake(
        now: Instant,
        amount: Double,
    ): Boolean {
        if (available(now) < amount) return false
        level -= amount
        return true
    }

    fun untilAvailable(
        now: Instant,
        amount: Double,
    ): Span {
        val missing = amount - available(now)
        return if (missing <= 0) Span(0) else Span(ceil(missing / perSecond * 1000).toLong())
    }
}
