package dewwing.control.core

import dewwing.protocol.Instant
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SharedRateTest {
    private fun SharedRateLimiter.granted(
        from: Long,
        seconds: Int,
    ): Int = (0 until seconds * 100).count { tryTake(Instant(from + it * 10L)) }

    /** Guards submissions that come unevenly to the controllers (incident inc-9373: one in five was refused once). */
    @Test
    fun `a controller may take more than its part until the service refuses something, and again some time later`() {
        val rate = SharedRateLimiter(2.0, 1.0)
        assertEquals(601, rate.granted(0, 100), "three at once, then six a second")
        rate.onRateLimited(Instant(100_000))
        val backedOff = rate.granted(100_000, 10)
        assertEquals(2 * 10, backedOff, "its part alone")
        assertEquals(61, rate.granted(110_000, 10), "the extra again, with its burst")
    }
}
