package dewwing.control.app

import dewwing.control.core.StateChange
import dewwing.control.core.leadership.Leadership
import dewwing.control.core.sharing.ShardId
import dewwing.control.state.CommitResult
import dewwing.control.state.StateClient
import dewwing.control.state.StateUnavailableException
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.Revision
import dewwing.protocol.StateLeaseId
import dewwing.protocol.Term
import dewwing.protocol.Wire
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.io.IOException
import kotlin.random.Random

/**
 * One leadership as the state service has it: the single leader's, or a shard's. [ready] says that whoever was elected
 * for [term] came to have read its records; true as well when nobody ever was.
 */
class TermSeen(
    val term: Term,
    val revision: Revision,
    val holder: Wire.Entry?,
    val ready: Boolean,
) {
    val holderName: String? = holder?.value?.get(NODE) as? String

    val holderLease: StateLeaseId? = (holder?.value?.get(HOLD) as? Long)?.let(::StateLeaseId)

    companion object {
        private const val NUMBER = "n"
        private const val NODE = "node"
        private const val HOLD = "hold"

        fun number(entry: Wire.Entry?): Term = Term((entry?.value?.get(NUMBER) as? Long) ?: 0)

        fun of(
            term: Wire.Entry?,
            holder: Wire.Entry?,
            ready: Wire.Entry?,
        ): TermSeen = TermSeen(number(term), term?.revision ?: Revision.ABSENT, holder, number(ready) >= number(term))

        fun termValue(
            term: Term,
            node: String,
        ): Map<String, Any?> = mapOf(NUMBER to term.value, NODE to node)

        fun holderValue(
            term: Term,
            node: String,
            hold: StateLeaseId,
        ): Map<String, Any?> = mapOf(NUMBER to term.value, NODE to node, HOLD to hold.value)
    }
}

/** Won an election: the lease that keeps it, and when that was last known to run. */
class Elected(
    val term: Term,
    val revision: Revision,
    val hold: StateLeaseId,
    val holdSentAt: Instant,
    val predecessorReady: Boolean,
)

/** What a candidate changes in the state service to be elected. */
class Candidacy(
    val term: Term,
    val conditions: List<Pair<String, Revision>>,
    /** [holderKey] is among them. */
    val puts: (StateLeaseId) -> List<Pair<String, Map<String, Any?>>>,
    val holderKey: String,
    val predecessorReady: Boolean,
)

/**
 * One leadership that this controller may hold: who has it as far as is known, elections, and the term in office.
 *
 * [lead] runs a term and returns when it is over.
 */
class LeaderElection(
    val shard: ShardId?,
    private val node: String,
    val leadership: Leadership,
    private val state: StateClient,
    private val holdTtl: Duration,
    private val clock: () -> Instant,
    private val newLeader: (LeaderElection, Elected) -> Leader,
) {
    private val log = LoggerFactory.getLogger("election")

    /** This controller's own term in office. */
    var leading: Leader? = null
        private set
    var leaderName: String? = null
        private set

    /** When [leaderName] was last confirmed; an old name would send workers to a controller that may be gone. */
    private var leaderSeenAt = Instant.DISTANT_PAST

    /** When the state service itself last named the leader to this controller. */
    private var leaderReadAt = Instant.DISTANT_PAST

    /** Until then somebody whom the workers can reach is to lead. */
    private var standBackUntil = Instant.DISTANT_PAST

    /** Whether this controller says who leads because it knows at first hand. */
    val isSure: Boolean get() = leading != null || clock() - leaderReadAt < LEADER_FRESH

    val mustStandBack: Boolean get() = clock() < standBackUntil

    /** The name of the leader, if it is another controller and was confirmed lately. */
    fun otherLeader(): String? = leaderName?.takeIf { it != node && clock() - leaderSeenAt < LEADER_FRESH }

    private fun sawLeader(name: String?) {
        leaderName = name
        leaderSeenAt = clock()
    }

    /** The state service names [name]. */
    fun readLeader(name: String?) {
        sawLeader(name)
        leaderReadAt = leaderSeenAt
    }

    /** Nobody leads, as far as the state service tells. */
    fun readNoLeader() {
        leaderName = null
    }

    /** The next leader, before it is one: workers that ask meanwhile are sent there. */
    fun expectLeader(name: String) = sawLeader(name)

    /** A sibling that knows at first hand names the leader. */
    fun hearLeader(
        name: String,
        highestTerm: Term,
    ) {
        val fresher = name == leaderName || clock() - leaderReadAt >= LEADER_FRESH || leaderName == null
        if (fresher && leading == null && name.isNotEmpty() && name != node && highestTerm >= leadership.highestTerm) sawLeader(name)
    }

    /** Left by our own earlier life, or by an election whose change came late: nobody leads under it, and nobody can be elected. */
    suspend fun clearOwnHolder(seen: TermSeen) {
        leaderName = null
        seen.holderLease?.let { state.revokeStateLease(it) }
    }

    /** Stands for election as [candidacy] says; null if somebody else was elected, or nobody. [reread] tells when the answer is lost. */
    suspend fun stand(
        candidacy: Candidacy,
        reread: suspend () -> TermSeen,
    ): Elected? {
        // Siblings see the hold end at the same moment.
        delay(Random.nextLong(ELECTION_JITTER_MS))
        val sent = clock()
        val hold = state.createStateLease(holdTtl)
        val change = StateChange(candidacy.conditions, candidacy.puts(hold))
        val result =
            try {
                state.commit(change, hold, candidacy.holderKey)
            } catch (e: StateUnavailableException) {
                if (e.knownNotApplied) return null
                // Unknown: the holder's record tells, since nobody else has our hold's number.
                val again = reread()
                if (again.holderLease != hold || again.term != candidacy.term) return null
                CommitResult.Applied(again.revision)
            }
        if (result is CommitResult.Applied) {
            return Elected(candidacy.term, result.revision, hold, sent, candidacy.predecessorReady)
        }
        try {
            state.revokeStateLease(hold)
        } catch (e: IOException) {
            log.debug("hold not dropped: {}", e.message)
        }
        return null
    }

    suspend fun lead(elected: Elected) {
        log.info("{}elected for term {}", prefix(), elected.term)
        sawLeader(node)
        leadership.elected(elected.term, elected.holdSentAt)
        val leader = newLeader(this, elected)
        leading = leader
        try {
            leader.run()
        } finally {
            leadership.resign()
            leading = null
            leaderName = null
            if (leader.lostWorkerContact) standBackUntil = clock() + STAND_BACK
            log.info("{}term {} is over", prefix(), elected.term)
        }
    }

    private fun prefix() = if (shard == null) "" else "shard $shard: "

    companion object {
        val LEADER_FRESH = Duration(3_000)
        private val STAND_BACK = Duration(10_000)
        private const val ELECTION_JITTER_MS = 120L
    }
}
