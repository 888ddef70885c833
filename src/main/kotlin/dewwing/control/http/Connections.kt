package dewwing.control.http

import dewwing.protocol.Endpoint
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** No answer: the request may or may not have been carried out, now or later. */
class NoAnswerException(
    message: String,
) : IOException(message)

/** One open connection. */
class Connection internal constructor(
    internal val socket: Socket,
    val input: ByteReadChannel,
    val output: ByteWriteChannel,
)

/**
 * Connections to one address, kept open between exchanges; each carries one exchange at a time.
 *
 * An exchange that ends without an answer closes its connection, so that a late answer is never taken for the next
 * one's.
 */
class Connections(
    private val selector: SelectorManager,
    private val endpoint: Endpoint,
    private val maxIdle: Int,
) {
    private val idle = ArrayDeque<Connection>()

    suspend fun <T : Any> exchange(
        what: String,
        timeoutMs: Long,
        block: suspend (Connection) -> T,
    ): T {
        var used: Connection? = null
        var done = false
        try {
            val result =
                withTimeoutOrNull(timeoutMs) {
                    val c = idle.removeLastOrNull() ?: open()
                    used = c
                    block(c)
                } ?: throw NoAnswerException("$what: no answer from $endpoint in $timeoutMs ms")
            done = true
            return result
        } catch (e: IllegalStateException) {
            // Ktor reports some broken channels this way; a cancellation is one too and must pass.
            if (e is CancellationException) throw e
            throw NoAnswerException("$what: ${e.message}")
        } finally {
            used?.let { if (done && idle.size < maxIdle && !it.input.isClosedForRead) idle.addLast(it) else it.socket.close() }
        }
    }

    /** Drops what is kept for later; after a cut each kept connection would cost a timeout. */
    fun forget() {
        while (true) (idle.removeFirstOrNull() ?: break).socket.close()
    }

    private suspend fun open(): Connection {
        val socket = aSocket(selector).tcp().connect(endpoint.host, endpoint.port) { noDelay = true }
        return Connection(socket, socket.openReadChannel(), socket.openWriteChannel(autoFlush = false))
    }
}
