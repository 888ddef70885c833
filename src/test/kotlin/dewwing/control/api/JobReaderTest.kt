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

/** Tests which queries are queued. No read is served here, so a queued read stays pending. */
class JobReaderTest {
    private fun withReader(block: suspend (query: (Int) -> Deferred<JobSnapshot?>, JobReader) -> Unit) =
        runBlocking {
            ActorSelectorManager(Dispatchers.IO).use { selector ->
                val http = HttpClient(selector, Endpoint("127.0.0.1", 1), 1)
                val clock = { Instant(0) }
                val state = StateClient(http, http, TokenBucket(1.0, 1.0), clock) { _, _ -> }
                // A burst of three requests and ten per second: three more requests within the 300 ms that a query may wait.
                val reader = JobReader(state, QueryRateLimit(10.0, 3.0) { 1.0 }, batchSize = 4, clock) { _, _, _ -> }
                block({ n -> async(start = CoroutineStart.UNDISPATCHED) { reader.read(JobRef("job-$n")) } }, reader)
                coroutineContext.cancelChildren()
            }
        }

    private suspend fun Deferred<JobSnapshot?>.isRefused() = isCompleted && await() == null

    @Test
    fun `no more queries are queued than the rate serves in time, and a repeated query joins the queued one`() =
        withReader { query, _ ->
            val first = (1..6).map(query)
            assertTrue(first.none { it.isCompleted })
            assertTrue(query(7).isRefused())
            assertFalse(query(6).isCompleted)
        }

    /** Guards against starvation: queries for one job are refused again and again while those for other jobs are served. */
    @Test
    fun `a job whose query was refused is queued before jobs that were not refused`() =
        withReader { query, _ ->
            (1..6).forEach { query(it) }
            assertTrue(query(7).isRefused())
            assertFalse(query(7).isCompleted)
            assertTrue(query(8).isRefused())
        }

    @Test
    fun `jobs that were read before share one request per batch`() =
        withReader { query, reader ->
            for (n in 1..100) reader.updateCache(JobRef("job-$n"), JobSnapshot(null, Revision.ABSENT))
            val queries = (1..100).map(query)
            assertEquals(6 * 4, queries.count { !it.isCompleted })
        }
}
