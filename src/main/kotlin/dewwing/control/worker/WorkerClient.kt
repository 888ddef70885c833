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

/** Sends commands straight to a worker. Only kills go this way: a late launch could restart a reaped attempt. */
class WorkerClient(
    private val selector: SelectorManager,
    private val onOutcome: (String, String) -> Unit,
) {
    private val slots = Semaphore(MAX_OPEN)
    private var asked = 0

    suspend fun kill(
        endpoint: Endpoint,
        term: Term,
        session: Long,
        kills: List<Command.Kill>,
    ) {
        // A wave of machines that do not answer must take neither sockets nor memory without end.
        if (asked >= MAX_ASKED) {
            onOutcome("do", "dropped")
            return
        }
        asked++
        try {
            slots.withPermit { send(endpoint, term, session, kills) }
        } finally {
            asked--
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
            val body = Pack.encode(Wire.doBody(term, session, kills))
            val result = client.call("POST", Wire.COMMANDS, body, CALL_MS)
            onOutcome("do", result.status.toString())
        } catch (e: IOException) {
            // The next report's answer carries the same kills.
            onOutcome("do", "silent")
        }
    }

    companion object {
        private const val CALL_MS = 3_000L
        private const val MAX_OPEN = 64
        private const val MAX_ASKED = 2_000
    }
}
