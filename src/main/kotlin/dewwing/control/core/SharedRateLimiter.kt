package dewwing.control.core

import dewwing.protocol.Duration
import dewwing.protocol.Instant

/**
 * One controller's share of a rate limit that applies to several controllers together.
 *
 * Each controller is always granted an equal share. Load is not spread evenly, so a controller may use up to [BOOST]
 * times its share in addition while the rate-limited service rejects no request; after a rejection the controller keeps
 * to its share for [BACKOFF].
 */
class SharedRateLimiter(
    sharePerSecond: Double,
    burst: Double,
) {
    private val share = TokenBucket(sharePerSecond, burst)
    private val boost = TokenBucket(sharePerSecond * BOOST, burst * BOOST)
    private var noBoostUntil = Instant.DISTANT_PAST

    fun tryTake(now: Instant): Boolean = share.tryTake(now, 1.0) || (now >= noBoostUntil && boost.tryTake(now, 1.0))

    /** The service has rejected a request because of its rate limit. */
    fun onRateLimited(now: Instant) {
        noBoostUntil = now + BACKOFF
    }

    private companion object {
        const val BOOST = 2.0
        val BACKOFF = Duration(10_000)
    }
}
