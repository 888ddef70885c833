package dewwing.control.core

import dewwing.protocol.Instant
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SharedRateLimiterTest {
    private fun SharedRateLimiter.granted(
        fromMs: Long,
        seconds: Int,
    ): Int = (0 until seconds * 100).count { tryTake(Instant(fromMs + it * 10L)) }

    /** Guards against refused submissions when they arrive unevenly at the controllers (incident inc-9373: one in five was refused). */
    @Test
    fun `a controller may exceed its share until the service rejects a request, and again after the back-off`() {
        val limiter = SharedRateLimiter(2.0, 1.0)
        assertEquals(601, limiter.granted(0, 100), "a burst of three, then six per second")
        limiter.onRateLimited(Instant(100_000))
        val grantedDuringBackoff = limiter.granted(100_000, 10)
        assertEquals(2 * 10, grantedDuringBackoff, "only its share")
        assertEquals(61, limiter.granted(110_000, 10), "the boost again, with its burst")
    }
}
