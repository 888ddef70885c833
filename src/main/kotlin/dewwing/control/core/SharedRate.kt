package dewwing.control.core

import dewwing.protocol.Instant
import dewwing.protocol.Span

/**
 * One controller's part of a rate that several controllers use.
 *
 * An equal part is always granted. Load does not arrive in equal parts, so a controller may take [BOOST] times its part
 * on top as long as the service that owns the rate refuses nothing; after a refusal it keeps to its part for a while.
 */
class SharedRate(
    partPerSecond: Double,
    burst: Double,
) {
    private val part = TokenBucket(partPerSecond, burst)
    private val extra = TokenBucket(partPerSecond * BOOST, burst * BOOST)
    private var noExtraUntil = Instant.NEVER

    fun tryTake(now: Instant): Boolean = part.tryTake(now, 1.0) || (now >= noExtraUntil && extra.tryTake(now, 1.0))

    /** The service has refused a request for its rate. */
    fun refused(now: Instant) {
        noExtraUntil = now + BACKOFF
    }

    private companion object {
        const val BOOST = 2.0
        val BACKOFF = Span(10_000)
    }
}
