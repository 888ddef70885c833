package dewwing.control.http

import dewwing.protocol.Endpoint
import io.ktor.http.cio.ParserException
import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import java.io.IOException

/** What came back, whatever the status. */
class HttpResult(val status: Int, val body: ByteArray, val retryAfterS: Int?)

/** No answer: the request may or may not have been carried out, now or later. */
class NoAnswerException(message: String) : IOException(message)

/**
 * HTTP/1.1 client for one address, keeping connections open between calls and never pipelining.
 *
 * A call that gets no answer closes its connection, so that a late answer cannot be taken for the next call's.
 */
class HttpClient(
    private val selector: SelectorManager,
    private val endpoint: Endpoint,
    private val maxIdle: Int,
    private val maxResponse: Int = 16 * 1024 * 1024,
) {
    private class Connection(val socket: Socket, val input: ByteReadChannel, val output: ByteWriteChannel)

    private val idle = ArrayDeque<Connection>()

    suspend fun call(method: String, target: String, body: ByteArray?, timeoutMs: Long): HttpResult {
        var connection: Connection? = null
        var done = false
        try {
            val result = withTimeoutOrNull(timeoutMs) {
                val c = idle.removeLastOrNull() ?: connect()
                connection = c
                exchange(c, method, target, body)
            } ?: throw NoAnswerException("$method $target: no answer in $timeoutMs ms")
            done = true
            return result
        } catch (e: ParserException) {
            throw NoAnswerException("$method $target: ${e.message}")
        } catch (e: IllegalStateException) {
            // ktor reports some closed channels this way; a cancellation is one too and must pass.
            if (e is kotlinx.coroutines.CancellationException) throw e
            throw NoAnswerException("$method $target: ${e.message}")
        } finally {
            val c = connection
            if (c != null) {
                if (done && idle.size < maxIdle && !c.input.isClosedForRead) idle.addLast(c) else c.socket.close()
            }
        }
    }

    /** Drops connections kept for later; after a cut they would each cost a timeout. */
    fun forgetConnections() {
        while (true) (idle.removeFirstOrNull() ?: break).socket.close()
    }

    private suspend fun connect(): Connection {
        val socket = aSocket(selector).tcp().connect(endpoint.host, endpoint.port) { noDelay = true }
        return Connection(socket, socket.openReadChannel(), socket.openWriteChannel(autoFlush = false))
    }

    private suspend fun exchange(c: Connection, method: String, target: String, body: ByteArray?): HttpResult {
        val head = StringBuilder(128)
            .append(method).append(' ').append(target).append(" HTTP/1.1\r\nHost: ").append(endpoint).append("\r\n")
        if (body != null) {
            head.append("Content-Type: ").append(HttpAnswer.MSGPACK).append("\r\n")
            head.append("Content-Length: ").append(body.size).append("\r\n")
        }
        head.append("\r\n")
        c.output.writeFully(HttpServer.joined(head, body ?: EMPTY))
        c.output.flush()
        val response = parseResponse(c.input) ?: throw NoAnswerException("$method $target: connection closed")
        try {
            val length = response.headers["Content-Length"]?.toString()?.trim()?.toIntOrNull()
            val close = response.headers["Connection"]?.toString()?.equals("close", ignoreCase = true) == true
            if (length != null && length > maxResponse) throw NoAnswerException("$method $target: answer too large")
            val bytes = when {
                length != null -> ByteArray(length).also { if (length > 0) c.input.readFully(it) }
                response.headers["Transfer-Encoding"] != null -> readChunked(c.input)
                response.status == 204 -> EMPTY
                else -> c.input.readRemaining().readByteArray()
            }
            if (close) c.socket.close()
            return HttpResult(response.status, bytes, response.headers["Retry-After"]?.toString()?.trim()?.toIntOrNull())
        } finally {
            response.release()
        }
    }

    private suspend fun readChunked(input: ByteReadChannel): ByteArray {
        val out = java.io.ByteArrayOutputStream()
        while (true) {
            val line = input.readLineStrict() ?: throw NoAnswerException("answer cut short")
            val size = line.substringBefore(';').trim().toIntOrNull(16) ?: throw NoAnswerException("bad chunk")
            if (out.size() + size > maxResponse) throw NoAnswerException("answer too large")
            val chunk = ByteArray(size)
            if (size > 0) input.readFully(chunk)
            out.write(chunk)
            input.readLineStrict()
            if (size == 0) return out.toByteArray()
        }
    }

    private suspend fun ByteReadChannel.readLineStrict(): String? {
        val line = StringBuilder()
        val one = ByteArray(1)
        while (line.length < MAX_LINE) {
            readFully(one)
            val c = one[0].toInt().toChar()
            if (c == '\n') return line.trimEnd('\r').toString()
            line.append(c)
        }
        return null
    }

    companion object {
        private const val MAX_LINE = 256
        private val EMPTY = ByteArray(0)
    }
}
