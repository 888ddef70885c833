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

private suspend fun ByteWriteChannel.frame(body: Buffer) {
    val framed = Buffer().writeInt(body.size.toInt())
    framed.writeAll(body)
    writeFully(framed.readByteArray())
    flush()
}

private suspend fun ByteReadChannel.frame(): Buffer {
    val size = readInt()
    if (size < 0 || size > PeerCodec.MAX_FRAME) throw IOException("peer frame of $size bytes")
    val bytes = ByteArray(size)
    readFully(bytes)
    return Buffer().write(bytes)
}

/** Asks one sibling; one question at a time on a connection, kept for the next. */
class PeerClient(
    selector: SelectorManager,
    endpoint: Endpoint,
) {
    private val connections = ConnectionPool(selector, endpoint, MAX_IDLE)

    suspend fun ask(
        request: PeerRequest,
        timeoutMs: Long,
    ): PeerAnswer =
        connections.exchange("sibling", timeoutMs) { c ->
            c.output.frame(PeerCodec.encode(request))
            PeerCodec.decodeAnswer(c.input.frame())
        }

    companion object {
        private const val MAX_IDLE = 4
    }
}

/** Answers siblings. */
class PeerServer(
    private val selector: SelectorManager,
    private val endpoint: Endpoint,
    private val handler: suspend (PeerRequest) -> PeerAnswer,
) {
    private val log = LoggerFactory.getLogger("peer")
    private var open = 0

    suspend fun run(): Unit =
        coroutineScope {
            while (true) {
                val server =
                    try {
                        aSocket(selector).tcp().bind(endpoint.host, endpoint.port) { reuseAddress = true }
                    } catch (e: IOException) {
                        log.warn("cannot listen on {}: {}", endpoint, e.message)
                        delay(RETRY_MS)
                        continue
                    }
                server.use {
                    while (true) {
                        val socket =
                            try {
                                it.accept()
                            } catch (e: IOException) {
                                log.warn("accept failed: {}", e.message)
                                delay(RETRY_MS)
                                continue
                            }
                        if (open >= MAX_OPEN) {
                            socket.close()
                            continue
                        }
                        open++
                        launch {
                            try {
                                serve(socket)
                            } finally {
                                open--
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
                // A sibling sends a heartbeat twice a second; a silent connection is a dead one.
                val frame = withTimeoutOrNull(IDLE_MS) { input.frame() } ?: return
                val answer = handler(PeerCodec.decodeRequest(frame))
                withTimeoutOrNull(WRITE_MS) { output.frame(PeerCodec.encode(answer)) } ?: return
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            log.debug("sibling connection ended: {}", e.message)
        } catch (e: IllegalStateException) {
            log.debug("sibling connection broke: {}", e.message)
        }
    }

    companion object {
        private const val RETRY_MS = 200L
        private const val IDLE_MS = 60_000L
        private const val WRITE_MS = 2_000L
        private const val MAX_OPEN = 64
    }
}
