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

/** A request whose body has been read whole. */
class HttpRequest(
    val method: String,
    val path: String,
    val query: String,
    val body: ByteArray,
)

/** An answer; [retryAfterS] tells the caller when to come back. */
class HttpAnswer(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val contentType: String = MSGPACK,
    val allow: String? = null,
) {
    companion object {
        const val MSGPACK = "application/msgpack"

        fun of(
            status: Int,
            value: Any?,
        ): HttpAnswer = HttpAnswer(status, Pack.encode(value))

        fun error(
            status: Int,
            message: String,
            retryAfterS: Int? = null,
        ): HttpAnswer = HttpAnswer(status, Pack.encode(mapOf("error" to message)), retryAfterS)
    }
}

/** Limits that keep one kind of caller from starving the rest. */
data class ServerLimits(
    val connections: Int,
    val maxBody: Int,
    /** How long a new connection may stay silent: those who open many and send nothing must not crowd others out. */
    val firstMs: Long,
    /** How long a connection may stay silent between requests. */
    val idleMs: Long,
    /** How long a request may take to arrive once it has begun. */
    val requestMs: Long,
    /** How long an answer may take to leave. */
    val writeMs: Long,
)

/** A small HTTP/1.1 server: ktor-network sockets, ktor's CIO parser, no pipeline (start-up time is failover time). */
class HttpServer(
    private val selector: SelectorManager,
    private val endpoint: Endpoint,
    private val limits: ServerLimits,
    private val onBound: () -> Unit = {},
    private val handler: suspend (HttpRequest) -> HttpAnswer,
) {
    private val log = LoggerFactory.getLogger("http")
    private var open = 0

    suspend fun run(): Unit =
        coroutineScope {
            val server = bind()
            onBound()
            server.use {
                while (isActive) {
                    val socket =
                        try {
                            server.accept()
                        } catch (e: IOException) {
                            log.warn("accept failed: {}", e.message)
                            delay(ACCEPT_PAUSE_MS)
                            continue
                        }
                    // Refusing at once beats an accepted connection that nobody serves: the balancer moves on.
                    if (open >= limits.connections) {
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

    /** The old process's sockets may linger when a restart comes at once. */
    private suspend fun bind(): ServerSocket {
        while (true) {
            try {
                return aSocket(selector).tcp().bind(endpoint.host, endpoint.port) {
                    reuseAddress = true
                    backlogSize = BACKLOG
                }
            } catch (e: IOException) {
                log.warn("cannot listen on {}: {}", endpoint, e.message)
                delay(BIND_PAUSE_MS)
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        try {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            var silence = limits.firstMs
            while (exchange(input, output, silence)) silence = limits.idleMs
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            log.debug("connection ended: {}", e.message)
        } catch (e: ParserException) {
            log.debug("not HTTP: {}", e.message)
        } catch (e: IllegalStateException) {
            log.debug("connection broke: {}", e.message)
        }
    }

    /** One request and its answer; false when the connection must close. */
    private suspend fun exchange(
        input: ByteReadChannel,
        output: ByteWriteChannel,
        silenceMs: Long,
    ): Boolean {
        val begun = withTimeoutOrNull(silenceMs) { input.awaitContent(1) } ?: return false
        if (!begun) return false
        val head = withTimeoutOrNull(limits.requestMs) { parseRequest(input) } ?: return false
        try {
            return answer(head, input, output)
        } finally {
            head.release()
        }
    }

    private suspend fun answer(
        head: Request,
        input: ByteReadChannel,
        output: ByteWriteChannel,
    ): Boolean {
        val uri = head.uri.toString()
        val mark = uri.indexOf('?')
        val path = if (mark < 0) uri else uri.substring(0, mark)
        val query = if (mark < 0) "" else uri.substring(mark + 1)
        val method = head.method.value
        val lengthText = head.headers["Content-Length"]?.toString()
        val chunked = head.headers["Transfer-Encoding"] != null
        val length = lengthText?.trim()?.toLongOrNull() ?: if (lengthText == null) 0L else -1L
        // A body we will not read ends the connection, since the next request could not be found in the stream.
        val refusal =
            when {
                chunked -> HttpAnswer.error(411, "send Content-Length")
                length < 0 -> HttpAnswer.error(400, "bad Content-Length")
                length > limits.maxBody -> HttpAnswer.error(413, "body over ${limits.maxBody} bytes")
                else -> null
            }
        if (refusal != null) {
            write(output, refusal, close = true)
            return false
        }
        if (head.headers["Expect"] != null && length > 0) {
            output.writeFully(CONTINUE)
            output.flush()
        }
        val close = head.headers["Connection"]?.toString()?.equals("close", ignoreCase = true) == true
        val body = ByteArray(length.toInt())
        if (body.isNotEmpty()) {
            withTimeoutOrNull(limits.requestMs) { input.readFully(body) } ?: return false
        }
        val answer =
            try {
                handler(HttpRequest(method, path, query, body))
            } catch (e: IOException) {
                log.warn("{} {} failed: {}", method, path, e.message)
                HttpAnswer.error(503, "try again", 1)
            } catch (e: CancellationException) {
                throw e
            } catch (e: RuntimeException) {
                // A fault in answering one request must not end the process, which serves all the others.
                log.error("{} {} failed", method, path, e)
                HttpAnswer.error(503, "try again", 1)
            }
        return write(output, answer, close) && !close
    }

    private suspend fun write(
        output: ByteWriteChannel,
        answer: HttpAnswer,
        close: Boolean,
    ): Boolean {
        val head =
            StringBuilder(160)
                .append("HTTP/1.1 ")
                .append(answer.status)
                .append(' ')
                .append(reason(answer.status))
                .append("\r\n")
                .append("Content-Type: ")
                .append(answer.contentType)
                .append("\r\n")
                .append("Content-Length: ")
                .append(answer.body.size)
                .append("\r\n")
        answer.retryAfterS?.let { head.append("Retry-After: ").append(it).append("\r\n") }
        answer.allow?.let { head.append("Allow: ").append(it).append("\r\n") }
        if (close) head.append("Connection: close\r\n")
        head.append("\r\n")
        val bytes = joined(head, answer.body)
        return withTimeoutOrNull(limits.writeMs) {
            output.writeFully(bytes)
            output.flush()
            true
        } ?: false
    }

    companion object {
        private const val BACKLOG = 2_048
        private const val ACCEPT_PAUSE_MS = 100L
        private const val BIND_PAUSE_MS = 200L
        private val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray()

        /** One write, one packet: head and body are sent together. */
        internal fun joined(
            head: CharSequence,
            body: ByteArray,
        ): ByteArray {
            val out = ByteArray(head.length + body.size)
            for (i in head.indices) out[i] = head[i].code.toByte()
            body.copyInto(out, head.length)
            return out
        }

        private fun reason(status: Int): String =
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
