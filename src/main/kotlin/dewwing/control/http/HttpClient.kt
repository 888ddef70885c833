package dewwing.control.http

import dewwing.protocol.Endpoint
import io.ktor.http.cio.ParserException
import io.ktor.http.cio.parseResponse
import io.ktor.network.selector.SelectorManager
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.writeFully
import kotlinx.io.readByteArray

/** What came back, whatever the status. */
class HttpResult(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int?,
)

/** HTTP/1.1 client for one address, keeping connections open between calls and never pipelining. */
class HttpClient(
    selector: SelectorManager,
    private val endpoint: Endpoint,
    maxIdle: Int,
    private val maxResponse: Int = 16 * 1024 * 1024,
) {
    private val connections = Connections(selector, endpoint, maxIdle)

    suspend fun call(
        method: String,
        target: String,
        body: ByteArray?,
        timeoutMs: Long,
    ): HttpResult =
        try {
            connections.exchange("$method $target", timeoutMs) { exchange(it, method, target, body) }
        } catch (e: ParserException) {
            throw NoAnswerException("$method $target: ${e.message}")
        }

    fun forgetConnections() = connections.forget()

    private suspend fun exchange(
        c: Connection,
        method: String,
        target: String,
        body: ByteArray?,
    ): HttpResult {
        val head =
            StringBuilder(128)
                .append(method)
                .append(' ')
                .append(target)
                .append(" HTTP/1.1\r\nHost: ")
                .append(endpoint)
                .append("\r\n")
        if (body != null) {
            head.append("Content-Type: ").append(HttpAnswer.MSGPACK).append("\r\n")
            head.append("Content-Length: ").append(body.size).append("\r\n")
        }
        head.append("\r\n")
        c.output.writeFully(HttpServer.joined(head, body ?: EMPTY))
        c.output.flush()
        val response = parseResponse(c.input) ?: throw NoAnswerException("$method $target: connection closed")
        try {
            val length =
                response.headers["Content-Length"]
                    ?.toString()
                    ?.trim()
                    ?.toIntOrNull()
            val close = response.headers["Connection"]?.toString()?.equals("close", ignoreCase = true) == true
            if (length != null && length > maxResponse) throw NoAnswerException("$method $target: answer too large")
            val bytes =
                when {
                    length != null -> ByteArray(length).also { if (length > 0) c.input.readFully(it) }
                    response.headers["Transfer-Encoding"] != null -> readChunked(c.input)
                    response.status == 204 -> EMPTY
                    else -> c.input.readRemaining().readByteArray()
                }
            if (close) c.socket.close()
            return HttpResult(
                response.status,
                bytes,
                response.headers["Retry-After"]
                    ?.toString()
                    ?.trim()
                    ?.toIntOrNull(),
            )
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
