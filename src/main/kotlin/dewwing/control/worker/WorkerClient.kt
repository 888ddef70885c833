package dewwing.control.worker

import dewwing.control.http.HttpClient
import dewwing.protocol.Command
import dewwing.protocol.Endpoint
import dewwing.protocol.Pack
import dewwing.protocol.Term
import dewwing.protocol.Wire
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import java.io.IOException

/**
 * Sends commands to workers directly, without waiting for their next reports. Only kill commands are sent this way, because a
 * launch command that arrives late could restart an attempt that has already been reaped.
 */
class WorkerClient(
    private val selector: SelectorManager,
    private val onOutcome: (call: String, outcome: String) -> Unit,
) {
    private val concurrentCalls = Semaphore(MAX_CONCURRENT_CALLS)
    private var pendingSends = 0

    suspend fun kill(
        endpoint: Endpoint,
        term: Term,
        session: Long,
        kills: List<Command.Kill>,
    ) {
        // Limits the sockets and the memory in use when many machines stop answering at the same time.
        if (pendingSends >= MAX_PENDING_SENDS) {
            onOutcome("do", "dropped")
            return
        }
        pendingSends++
        try {
            concurrentCalls.withPermit { send(endpoint, term, session, kills) }
        } finally {
            pendingSends--
        }
    }

    private suspend fun send(
        endpoint: Endpoint,
        term: Term,
        session: Long,
        kills: List<Command.Kill>,
    ) {
        val client = HttpClient(selector, endpoint, maxIdleConnections = 0)
        try {
            val body = Pack.encode(Wire.commandsBody(term, session, kills))
            val result = client.call("POST", Wire.COMMANDS, body, CALL_TIMEOUT_MS)
            onOutcome("do", result.status.toString())
        } catch (e: IOException) {
            // The answer to the worker's next report repeats these kill commands.
            onOutcome("do", "silent")
        }
    }

    companion object {
        private const val CALL_TIMEOUT_MS = 3_000L
        private const val MAX_CONCURRENT_CALLS = 64
        private const val MAX_PENDING_SENDS = 2_000
    }
}
