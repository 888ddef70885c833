package dewwing.control.peer

import dewwing.control.core.leadership.Cancellation
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.Revision
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.io.IOException

/** A sibling's answer to a heartbeat. */
class HeardHeartbeat(
    val sibling: String,
    val state: PeerState,
    /** When it was asked for: the sibling said it later than that, never earlier. */
    val askedAt: Instant,
    /** Cancellations told to users after the revision that was named; null when that list is not complete. */
    val cancellations: List<Cancellation>?,
)

/** Asks one sibling again and again how it is. */
class HeartbeatExchange(
    private val node: String,
    private val sibling: String,
    private val client: PeerClient,
    private val clock: () -> Instant,
    private val ownState: () -> PeerState,
    private val everyMs: () -> Long,
) {
    private val log = LoggerFactory.getLogger("heartbeat")

    /** The sibling's version knows no shards, as far as can be told: it broke off when it was asked about them. */
    private var plainUntil = Instant.DISTANT_PAST

    /** Until cancelled. [question] is asked before each heartbeat; its revision goes out, and it comes back with the answer. */
    suspend fun <Q> run(
        question: () -> Q,
        jobsKnown: (Q) -> Revision?,
        onAnswer: (HeardHeartbeat, Q) -> Unit,
    ) {
        while (true) {
            val asked = question()
            val sent = clock()
            val said = ownState().let { if (sent < plainUntil) it.copy(sharing = null) else it }
            try {
                val answer = client.ask(PeerRequest.Heartbeat(node, said, jobsKnown(asked)), TIMEOUT_MS)
                if (answer is PeerAnswer.Heartbeat) onAnswer(HeardHeartbeat(sibling, answer.heartbeat, sent, answer.cancellations), asked)
            } catch (e: IOException) {
                log.debug("no heartbeat from {}: {}", sibling, e.message)
                if (said.sharing != null && clock() - sent < BROKEN_OFF) plainUntil = clock() + PLAIN_FOR
            }
            delay(everyMs())
        }
    }

    private companion object {
        const val TIMEOUT_MS = 1_000L

        /** A silent sibling is one that does not answer, not one that does not understand. */
        val BROKEN_OFF = Duration(500)
        val PLAIN_FOR = Duration(2_000)
    }
}
