package dewwing.control.api

import dewwing.control.core.TokenBucket
import dewwing.control.http.HttpClient
import dewwing.control.state.StateClient
import dewwing.protocol.Endpoint
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.Revision
import io.ktor.network.selector.ActorSelectorManager
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Which queries the queue takes; nothing is served here, so a read that was taken stays open. */
class JobReaderTest {
    private fun withReader(block: suspend (ask: (Int) -> Deferred<JobSnapshot?>, JobReader) -> Unit) =
        runBlocking {
            ActorSelectorManager(Dispatchers.IO).use { selector ->
                val http = HttpClient(selector, Endpoint("127.0.0.1", 1), 1)
                val clock = { Instant(0) }
                val state = StateClient(http, http, TokenBucket(1.0, 1.0), clock) { _, _ -> }
                // Three requests at once and ten a second: three more within the 300 ms that a job may wait.
                val reader = JobReader(state, QueryRateLimit(10.0, 3.0) { 1.0 }, batchSize = 4, clock) { _, _, _ -> }
                block({ n -> async(start = CoroutineStart.UNDISPATCHED) { reader.read(JobRef("job-$n")) } }, reader)
                coroutineContext.cancelChildren()
            }
        }

    private suspend fun Deferred<JobSnapshot?>.refused() = isCompleted && await() == null

    @Test
    fun `no more is queued than the rate serves soon, and a repeat of a queued question is no new one`() =
        withReader { ask, _ ->
            val first = (1..6).map(ask)
            assertTrue(first.none { it.isCompleted })
            assertTrue(ask(7).refused())
            assertFalse(ask(6).isCompleted)
        }

    /** Guards against a job about which nobody is answered for long while others are. */
    @Test
    fun `a job that was refused is taken before jobs that were not`() =
        withReader { ask, _ ->
            (1..6).forEach { ask(it) }
            assertTrue(ask(7).refused())
            assertFalse(ask(7).isCompleted)
            assertTrue(ask(8).refused())
        }

    @Test
    fun `jobs that were read before take a part of a request each`() =
        withReader { ask, reader ->
            for (n in 1..100) reader.updateCache(JobRef("job-$n"), JobSnapshot(null, Revision.ABSENT))
            val asked = (1..100).map(ask)
            assertEquals(6 * 4, asked.count { !it.isCompleted })
        }
}
