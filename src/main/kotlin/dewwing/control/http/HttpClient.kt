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

/** A complete response, whatever its status. */
class HttpClientResponse(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int?,
)

/** HTTP/1.1 client for one address. It keeps connections open between calls and does not pipeline requests. */
class HttpClient(
    selector: SelectorManager,
    private val endpoint: Endpoint,
    maxIdleConnections: Int,
    private val maxResponseBytes: Int = 16 * 1024 * 1024,
) {
    private val connectionPool = ConnectionPool(selector, endpoint, maxIdleConnections)

    suspend fun call(
        method: String,
        target: String,
        body: ByteArray?,
        timeoutMs: Long,
    ): HttpClientResponse =
        try {
            connectionPool.exchange("$method $target", timeoutMs) { exchange(it, method, target, body) }
        } catch (e: ParserException) {
            throw NoResponseException("$method $target: malformed HTTP response: ${e.message}")
        }

    fun closeIdleConnections() = connectionPool.closeIdle()

    private suspend fun exchange(
        connection: Connection,
        method: String,
        target: String,
        body: ByteArray?,
    ): HttpClientResponse {
        val head =
            StringBuilder(128)
                .append(method)
                .append(' ')
                .append(target)
                .append(" HTTP/1.1\r\nHost: ")
                .append(endpoint)
                .append("\r\n")
        if (body != null) {
            head.append("Content-Type: ").append(HttpResponse.CONTENT_TYPE_MSGPACK).append("\r\n")
            head.append("Content-Length: ").append(body.size).append("\r\n")
        }
        head.append("\r\n")
        connection.output.writeFully(HttpServer.joinHeadAndBody(head, body ?: EMPTY_BODY))
        connection.output.flush()
        val response =
            parseResponse(connection.input) ?: throw NoResponseException("$method $target: connection closed before the response")
        try {
            val contentLength =
                response.headers["Content-Length"]
                    ?.toString()
                    ?.trim()
                    ?.toIntOrNull()
            val closeRequested = response.headers["Connection"]?.toString()?.equals("close", ignoreCase = true) == true
            if (contentLength != null && contentLength > maxResponseBytes) {
                throw NoResponseException("$method $target: response body of $contentLength bytes exceeds $maxResponseBytes bytes")
            }
            val responseBody =
                when {
                    contentLength != null -> ByteArray(contentLength).also { if (contentLength > 0) connection.input.readFully(it) }
                    response.headers["Transfer-Encoding"] != null -> readChunked(connection.input)
                    response.status == 204 -> EMPTY_BODY
                    else -> connection.input.readRemaining().readByteArray()
                }
            if (closeRequested) connection.socket.close()
            return HttpClientResponse(
                response.status,
                responseBody,
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
        val body = java.io.ByteArrayOutputStream()
        while (true) {
            val line = input.readLineStrict() ?: throw NoResponseException("no chunk size line within $MAX_LINE_LENGTH characters")
            val chunkSize = line.substringBefore(';').trim().toIntOrNull(16) ?: throw NoResponseException("invalid chunk size: $line")
            if (body.size() + chunkSize > maxResponseBytes) {
                throw NoResponseException("chunked response body exceeds $maxResponseBytes bytes")
            }
            val chunk = ByteArray(chunkSize)
            if (chunkSize > 0) input.readFully(chunk)
            body.write(chunk)
            input.readLineStrict()
            if (chunkSize == 0) return body.toByteArray()
        }
    }

    /** Reads a line up to its line feed; null if there is none within [MAX_LINE_LENGTH] characters. */
    private suspend fun ByteReadChannel.readLineStrict(): String? {
        val line = StringBuilder()
        val nextByte = ByteArray(1)
        while (line.length < MAX_LINE_LENGTH) {
            readFully(nextByte)
            val char = nextByte[0].toInt().toChar()
            if (char == '\n') return line.trimEnd('\r').toString()
            line.append(char)
        }
        return null
    }

    companion object {
        private const val MAX_LINE_LENGTH = 256
        private val EMPTY_BODY = ByteArray(0)
    }
}
