package dewwing.control.peer

import dewwing.control.http.ConnectionPool
import dewwing.protocol.Endpoint
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import okio.Buffer
import org.slf4j.LoggerFactory
import java.io.IOException

private suspend fun ByteWriteChannel.writeFrame(body: Buffer) {
    val framed = Buffer().writeInt(body.size.toInt())
    framed.writeAll(body)
    writeFully(framed.readByteArray())
    flush()
}

private suspend fun ByteReadChannel.readFrame(): Buffer {
    val size = readInt()
    if (size < 0 || size > PeerCodec.MAX_FRAME) throw IOException("invalid length of a peer frame: $size bytes")
    val bytes = ByteArray(size)
    readFully(bytes)
    return Buffer().write(bytes)
}

/** Sends requests to one peer, one at a time per connection; connections are reused. */
class PeerClient(
    selector: SelectorManager,
    endpoint: Endpoint,
) {
    private val connections = ConnectionPool(selector, endpoint, MAX_IDLE_CONNECTIONS)

    suspend fun ask(
        request: PeerRequest,
        timeoutMs: Long,
    ): PeerResponse =
        connections.exchange("peer", timeoutMs) { connection ->
            connection.output.writeFrame(PeerCodec.encode(request))
            PeerCodec.decodeResponse(connection.input.readFrame())
        }

    companion object {
        private const val MAX_IDLE_CONNECTIONS = 4
    }
}

/** Serves requests from peers. */
class PeerServer(
    private val selector: SelectorManager,
    private val endpoint: Endpoint,
    private val handler: suspend (PeerRequest) -> PeerResponse,
) {
    private val log = LoggerFactory.getLogger("peer")
    private var openConnections = 0

    suspend fun run(): Unit =
        coroutineScope {
            while (true) {
                val server =
                    try {
                        aSocket(selector).tcp().bind(endpoint.host, endpoint.port) { reuseAddress = true }
                    } catch (e: IOException) {
                        log.warn("cannot listen for peers on {}: {}", endpoint, e.message)
                        delay(RETRY_DELAY_MS)
                        continue
                    }
                server.use {
                    while (true) {
                        val socket =
                            try {
                                it.accept()
                            } catch (e: IOException) {
                                log.warn("cannot accept a connection from a peer: {}", e.message)
                                delay(RETRY_DELAY_MS)
                                continue
                            }
                        if (openConnections >= MAX_CONNECTIONS) {
                            socket.close()
                            continue
                        }
                        openConnections++
                        launch {
                            try {
                                serve(socket)
                            } finally {
                                openConnections--
                                socket.close()
                            }
                        }
                    }
                }
            }
        }

    private suspend fun serve(socket: Socket) {
        try {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            while (true) {
                // Peers send a heartbeat every 0.5 s to 1.5 s, so a connection without requests for this long is dead or unused.
                val frame = withTimeoutOrNull(IDLE_TIMEOUT_MS) { input.readFrame() } ?: return
                val response = handler(PeerCodec.decodeRequest(frame))
                withTimeoutOrNull(WRITE_TIMEOUT_MS) { output.writeFrame(PeerCodec.encode(response)) } ?: return
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            log.debug("connection from a peer ended: {}", e.message)
        } catch (e: IllegalStateException) {
            log.debug("connection from a peer failed: {}", e.message)
        }
    }

    companion object {
        private const val RETRY_DELAY_MS = 200L
        private const val IDLE_TIMEOUT_MS = 60_000L
        private const val WRITE_TIMEOUT_MS = 2_000L
        private const val MAX_CONNECTIONS = 64
    }
}
