package dewwing.control.state

import dewwing.control.core.TokenBucket
import dewwing.control.http.HttpClient
import dewwing.control.http.HttpRequest
import dewwing.control.http.HttpResponse
import dewwing.control.http.HttpServer
import dewwing.control.http.ServerLimits
import dewwing.protocol.Endpoint
import dewwing.protocol.Instant
import dewwing.protocol.Wire
import io.ktor.network.selector.ActorSelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.net.ServerSocket

/** Runs [test] with a client of a state service on loopback whose requests [handle] answers, all on one thread. */
internal fun withLoopbackState(
    handle: suspend (HttpRequest) -> HttpResponse,
    clock: () -> Instant = { Instant(System.nanoTime() / 1_000_000) },
    test: suspend CoroutineScope.(StateClient) -> Unit,
): Unit =
    runBlocking {
        val endpoint = Endpoint("127.0.0.1", ServerSocket(0).use { it.localPort })
        ActorSelectorManager(Dispatchers.IO).use { selector ->
            val bound = CompletableDeferred<Unit>()
            val limits = ServerLimits(MAX_CONNECTIONS, Wire.MAX_BODY_BYTES, TIMEOUT_MS, TIMEOUT_MS, TIMEOUT_MS, TIMEOUT_MS)
            val server = launch { HttpServer(selector, endpoint, limits, { bound.complete(Unit) }, handle).run() }
            bound.await()
            val http = HttpClient(selector, endpoint, MAX_IDLE_CONNECTIONS)
            test(StateClient(http, http, TokenBucket(UNLIMITED, UNLIMITED), clock) { _, _ -> })
            server.cancel()
            coroutineContext.cancelChildren()
        }
    }

private const val MAX_CONNECTIONS = 50
private const val MAX_IDLE_CONNECTIONS = 4
private const val TIMEOUT_MS = 5_000L
private const val UNLIMITED = 1e6
