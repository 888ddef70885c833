package dewwing.control.peer

import dewwing.control.core.leadership.Cancellation
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.Revision
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.io.IOException

/** A peer's response to a heartbeat request. */
class ReceivedHeartbeat(
    val peer: String,
    val state: PeerState,
    /** When the heartbeat was requested; the peer produced its response later than that, never earlier. */
    val requestedAt: Instant,
    /** Cancellations confirmed to users after the revision in the request; null if none was given or the list is incomplete. */
    val cancellations: List<Cancellation>?,
)

/** Periodically exchanges heartbeats with one peer. */
class HeartbeatExchange(
    private val node: String,
    private val peer: String,
    private val client: PeerClient,
    private val clock: () -> Instant,
    private val ownState: () -> PeerState,
    private val intervalMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("heartbeat")

    /**
     * Until then heartbeats are sent without sharing status, since the peer seems to be of a version without shards: it closed
     * the connection on a heartbeat with one.
     */
    private var withoutSharingUntil = Instant.DISTANT_PAST

    /**
     * Runs until cancelled. Takes a [snapshot] before each heartbeat, sends its [jobsReadUpTo] with the heartbeat, and passes
     * it to [onResponse] together with the response.
     */
    suspend fun <S> run(
        snapshot: () -> S,
        jobsReadUpTo: (S) -> Revision?,
        onResponse: (ReceivedHeartbeat, S) -> Unit,
    ) {
        while (true) {
            val snapshotAtRequest = snapshot()
            val sentAt = clock()
            val stateSent = ownState().let { if (sentAt < withoutSharingUntil) it.copy(sharing = null) else it }
            try {
                val response = client.ask(PeerRequest.Heartbeat(node, stateSent, jobsReadUpTo(snapshotAtRequest)), TIMEOUT_MS)
                if (response is PeerResponse.Heartbeat) {
                    onResponse(ReceivedHeartbeat(peer, response.state, sentAt, response.cancellations), snapshotAtRequest)
                }
            } catch (e: IOException) {
                log.debug("no heartbeat from peer {}: {}", peer, e.message)
                if (stateSent.sharing != null && clock() - sentAt < MAX_REJECTION_TIME) {
                    withoutSharingUntil = clock() + WITHOUT_SHARING_FOR
                }
            }
            delay(intervalMs())
        }
    }

    private companion object {
        const val TIMEOUT_MS = 1_000L

        /**
         * A heartbeat that fails within this time was rejected by the peer. A later failure means that the peer does not respond,
         * which says nothing about its version.
         */
        val MAX_REJECTION_TIME = Duration(500)
        val WITHOUT_SHARING_FOR = Duration(2_000)
    }
}
