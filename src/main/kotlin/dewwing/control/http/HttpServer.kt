package dewwing.control.http

import dewwing.protocol.Endpoint
import dewwing.protocol.Pack
import io.ktor.http.cio.ParserException
import io.ktor.http.cio.Request
import io.ktor.http.cio.parseRequest
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException

/** A request whose body has been read completely. */
class HttpRequest(
    val method: String,
    val path: String,
    val query: String,
    val body: ByteArray,
)

/** A response to an HTTP request. [retryAfterS] tells the client after how many seconds to retry. */
class HttpResponse(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val contentType: String = CONTENT_TYPE_MSGPACK,
    val allow: String? = null,
) {
    companion object {
        const val CONTENT_TYPE_MSGPACK = "application/msgpack"

        fun of(
            status: Int,
            value: Any?,
        ): HttpResponse = HttpResponse(status, Pack.encode(value))

        fun error(
            status: Int,
            message: String,
            retryAfterS: Int? = null,
        ): HttpResponse = HttpResponse(status, Pack.encode(mapOf("error" to message)), retryAfterS)
    }
}

/** Limits that keep some clients from taking all connections, memory or time from the others. */
data class ServerLimits(
    val maxConnections: Int,
    val maxBodyBytes: Int,
    /** Time within which a new connection must start its first request, so that connections without requests cannot crowd out others. */
    val firstRequestTimeoutMs: Long,
    /** Maximum idle time of a connection between requests. */
    val idleTimeoutMs: Long,
    /** Time within which the head of a request must arrive after its first byte; applies again to its body. */
    val requestTimeoutMs: Long,
    /** Time within which a response must be written. */
    val writeTimeoutMs: Long,
)

/**
 * Minimal HTTP/1.1 server on ktor-network sockets with the parser of ktor's CIO engine. It does not use ktor's server
 * pipeline, because that would lengthen the start-up and so the failover.
 */
class HttpServer(
    private val selector: SelectorManager,
    private val endpoint: Endpoint,
    private val limits: ServerLimits,
    private val onBound: () -> Unit = {},
    private val handler: suspend (HttpRequest) -> HttpResponse,
) {
    private val log = LoggerFactory.getLogger("http")
    private var openConnections = 0

    suspend fun run(): Unit =
        coroutineScope {
            val serverSocket = bind()
            onBound()
            serverSocket.use {
                while (isActive) {
                    val socket =
                        try {
                            serverSocket.accept()
                        } catch (e: IOException) {
                            log.warn("HTTP server could not accept a connection: {}", e.message)
                            delay(ACCEPT_RETRY_DELAY_MS)
                            continue
                        }
                    // Closing the connection at once lets the load balancer try another controller; an accepted one would go unserved.
                    if (openConnections >= limits.maxConnections) {
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

    /** Retries until the address is free: after an immediate restart, sockets of the previous process may still use it. */
    private suspend fun bind(): ServerSocket {
        while (true) {
            try {
                return aSocket(selector).tcp().bind(endpoint.host, endpoint.port) {
                    reuseAddress = true
                    backlogSize = BACKLOG
                }
            } catch (e: IOException) {
                log.warn("HTTP server cannot listen on {}: {}", endpoint, e.message)
                delay(BIND_RETRY_DELAY_MS)
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        try {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            var idleTimeoutMs = limits.firstRequestTimeoutMs
            while (exchange(input, output, idleTimeoutMs)) idleTimeoutMs = limits.idleTimeoutMs
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            log.debug("HTTP connection ended: {}", e.message)
        } catch (e: ParserException) {
            log.debug("HTTP connection closed, the request is not valid HTTP: {}", e.message)
        } catch (e: IllegalStateException) {
            log.debug("HTTP connection closed after a channel failure: {}", e.message)
        }
    }

    /** Reads one request and writes the response; false if the connection must be closed. */
    private suspend fun exchange(
        input: ByteReadChannel,
        output: ByteWriteChannel,
        idleTimeoutMs: Long,
    ): Boolean {
        val hasRequest = withTimeoutOrNull(idleTimeoutMs) { input.awaitContent(1) } ?: return false
        if (!hasRequest) return false
        val head = withTimeoutOrNull(limits.requestTimeoutMs) { parseRequest(input) } ?: return false
        try {
            return respond(head, input, output)
        } finally {
            head.release()
        }
    }

    private suspend fun respond(
        head: Request,
        input: ByteReadChannel,
        output: ByteWriteChannel,
    ): Boolean {
        val uri = head.uri.toString()
        val queryStart = uri.indexOf('?')
        val path = if (queryStart < 0) uri else uri.substring(0, queryStart)
        val query = if (queryStart < 0) "" else uri.substring(queryStart + 1)
        val method = head.method.value
        val contentLengthText = head.headers["Content-Length"]?.toString()
        val isChunked = head.headers["Transfer-Encoding"] != null
        val contentLength = contentLengthText?.trim()?.toLongOrNull() ?: if (contentLengthText == null) 0L else -1L
        // The connection must be closed if the body is not read, since the start of the next request would be unknown.
        val rejection =
            when {
                isChunked -> HttpResponse.error(411, "send Content-Length")
                contentLength < 0 -> HttpResponse.error(400, "bad Content-Length")
                contentLength > limits.maxBodyBytes -> HttpResponse.error(413, "body over ${limits.maxBodyBytes} bytes")
                else -> null
            }
        if (rejection != null) {
            write(output, rejection, close = true)
            return false
        }
        if (head.headers["Expect"] != null && contentLength > 0) {
            output.writeFully(CONTINUE_RESPONSE)
            output.flush()
        }
        val closeRequested = head.headers["Connection"]?.toString()?.equals("close", ignoreCase = true) == true
        val body = ByteArray(contentLength.toInt())
        if (body.isNotEmpty()) {
            withTimeoutOrNull(limits.requestTimeoutMs) { input.readFully(body) } ?: return false
        }
        val response =
            try {
                handler(HttpRequest(method, path, query, body))
            } catch (e: IOException) {
                log.warn("HTTP request {} {} failed with an I/O error: {}", method, path, e.message)
                HttpResponse.error(503, "try again", 1)
            } catch (e: CancellationException) {
                throw e
            } catch (e: RuntimeException) {
                // An error in the handling of one request must not end the process, which serves all other requests.
                log.error("HTTP request {} {} failed with an unexpected exception", method, path, e)
                HttpResponse.error(503, "try again", 1)
            }
        return write(output, response, closeRequested) && !closeRequested
    }

    private suspend fun write(
        output: ByteWriteChannel,
        response: HttpResponse,
        close: Boolean,
    ): Boolean {
        val head =
            StringBuilder(160)
                .append("HTTP/1.1 ")
                .append(response.status)
                .append(' ')
                .append(reasonPhrase(response.status))
                .append("\r\n")
                .append("Content-Type: ")
                .append(response.contentType)
                .append("\r\n")
                .append("Content-Length: ")
                .append(response.body.size)
                .append("\r\n")
        response.retryAfterS?.let { head.append("Retry-After: ").append(it).append("\r\n") }
        response.allow?.let { head.append("Allow: ").append(it).append("\r\n") }
        if (close) head.append("Connection: close\r\n")
        head.append("\r\n")
        val bytes = joinHeadAndBody(head, response.body)
        return withTimeoutOrNull(limits.writeTimeoutMs) {
            output.writeFully(bytes)
            output.flush()
            true
        } ?: false
    }

    companion object {
        private const val BACKLOG = 2_048
        private const val ACCEPT_RETRY_DELAY_MS = 100L
        private const val BIND_RETRY_DELAY_MS = 200L
        private val CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray()

        /** Joins head and body, so that they are sent in a single write and, if they fit, in one packet. */
        internal fun joinHeadAndBody(
            head: CharSequence,
            body: ByteArray,
        ): ByteArray {
            val bytes = ByteArray(head.length + body.size)
            for (i in head.indices) bytes[i] = head[i].code.toByte()
            body.copyInto(bytes, head.length)
            return bytes
        }

        private fun reasonPhrase(status: Int): String =
            when (status) {
                200 -> "OK"
                201 -> "Created"
                400 -> "Bad Request"
                404 -> "Not Found"
                405 -> "Method Not Allowed"
                411 -> "Length Required"
                413 -> "Content Too Large"
                421 -> "Misdirected Request"
                422 -> "Unprocessable Content"
                429 -> "Too Many Requests"
                503 -> "Service Unavailable"
                else -> "Status"
            }
    }
}
