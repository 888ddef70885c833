package dewwing.control.http

import dewwing.control.core.TokenBucket
import dewwing.protocol.Instant
import kotlinx.coroutines.delay

/** Waits until the bucket holds [amount] tokens, and takes them. */
suspend fun TokenBucket.take(
    clock: () -> Instant,
    amount: Double = 1.0,
) {
    while (true) {
        val now = clock()
        if (tryTake(now, amount)) return
        delay(untilAvailable(now, amount).ms.coerceAtLeast(1))
    }
}
