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

/** No response was received: the request may or may not have been carried out, or may still be carried out later. */
class NoResponseException(
    message: String,
) : IOException(message)

/** An open connection with its input and output channels. */
class Connection internal constructor(
    internal val socket: Socket,
    val input: ByteReadChannel,
    val output: ByteWriteChannel,
)

/**
 * Pool of connections to one address that are kept open between exchanges. A connection carries one exchange at a time.
 *
 * An exchange that ends without a response closes its connection, so that a late response is never taken for the
 * response to the next request.
 */
class ConnectionPool(
    private val selector: SelectorManager,
    private val endpoint: Endpoint,
    private val maxIdleConnections: Int,
) {
    private val idleConnections = ArrayDeque<Connection>()

    /** Runs [block] on a connection; [operation] names the exchange in error messages. */
    suspend fun <T : Any> exchange(
        operation: String,
        timeoutMs: Long,
        block: suspend (Connection) -> T,
    ): T {
        var usedConnection: Connection? = null
        var completed = false
        try {
            val result =
                withTimeoutOrNull(timeoutMs) {
                    val connection = idleConnections.removeLastOrNull() ?: open()
                    usedConnection = connection
                    block(connection)
                } ?: throw NoResponseException("$operation: no response from $endpoint within $timeoutMs ms")
            completed = true
            return result
        } catch (e: IllegalStateException) {
            // Ktor reports some broken channels this way. CancellationException is a subclass and must be rethrown.
            if (e is CancellationException) throw e
            throw NoResponseException("$operation: connection to $endpoint failed: ${e.message}")
        } finally {
            usedConnection?.let {
                if (completed && idleConnections.size < maxIdleConnections && !it.input.isClosedForRead) {
                    idleConnections.addLast(it)
                } else {
                    it.socket.close()
                }
            }
        }
    }

    /** Closes the idle connections. After a network failure each of them would cost the next request a timeout. */
    fun closeIdle() {
        while (true) (idleConnections.removeFirstOrNull() ?: break).socket.close()
    }

    private suspend fun open(): Connection {
        val socket = aSocket(selector).tcp().connect(endpoint.host, endpoint.port) { noDelay = true }
        return Connection(socket, socket.openReadChannel(), socket.openWriteChannel(autoFlush = false))
    }
}
