package dewwing.control.core

import dewwing.protocol.Command
import dewwing.protocol.Duration
import dewwing.protocol.Endpoint
import dewwing.protocol.Instant
import dewwing.protocol.MachineId
import dewwing.protocol.Revision
import kotlin.math.ceil

/** A transaction on the state service: applied as a whole if every key in [conditions] has the given revision, else not at all. */
data class StateChange(
    val conditions: List<Pair<String, Revision>>,
    val puts: List<Pair<String, Map<String, Any?>>>,
    val removes: List<String> = emptyList(),
)

/** A request to rent machines. [requestId] is never reused, so that repeating the request does not rent machines twice. */
data class RentalRequest(
    val requestId: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val count: Int,
)

/** An I/O operation that the core requests; its result is passed back to the core as an event. */
sealed interface Effect {
    /** Must be retried until its outcome is known. */
    data class Write(
        val change: StateChange,
    ) : Effect

    data class Rent(
        val key: String,
        val request: RentalRequest,
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

/** Token bucket rate limiter; the caller supplies the clock. */
class TokenBucket(
    private val perSecond: Double,
    private val burst: Double,
) {
    private var tokens = burst
    private var refilledAt: Instant? = null

    fun available(now: Instant): Double {
        val last = refilledAt
        if (last != null && now > last) tokens = minOf(burst, tokens + (now - last).seconds * perSecond)
        if (last == null || now > last) refilledAt = now
        return tokens
    }

    fun tryTake(
        now: Instant,
        amount: Double,
    ): Boolean {
        if (available(now) < amount) return false
        tokens -= amount
        return true
    }

    fun untilAvailable(
        now: Instant,
        amount: Double,
    ): Duration {
        val missing = amount - available(now)
        return if (missing <= 0) Duration(0) else Duration(ceil(missing / perSecond * 1000).toLong())
    }
}
