package dewwing.control.app

import dewwing.control.core.StateChange
import dewwing.control.core.leadership.CancelledJobs
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
 * The current term of one leadership, that of the single leader or of a shard's owner, as read from the state service.
 * [ready] is set if the leader elected for [term] has restored its state, or if no leader was ever elected.
 */
class ObservedTerm(
    val term: Term,
    val revision: Revision,
    val holder: Wire.Entry?,
    val ready: Boolean,
) {
    val holderName: String? = holder?.value?.get(NODE_FIELD) as? String

    val holderLease: StateLeaseId? = holder?.let(::leaseOf)

    /** The controller that the holder lets replace it. */
    val successor: String? = holder?.let(::successorOf)

    companion object {
        private const val TERM_FIELD = "n"
        private const val NODE_FIELD = "node"
        private const val LEASE_FIELD = "hold"
        private const val SUCCESSOR_FIELD = "successor"

        fun leaseOf(holder: Wire.Entry): StateLeaseId? = (holder.value?.get(LEASE_FIELD) as? Long)?.let(::StateLeaseId)

        fun successorOf(holder: Wire.Entry): String? = holder.value?.get(SUCCESSOR_FIELD) as? String

        fun termOf(entry: Wire.Entry?): Term = Term((entry?.value?.get(TERM_FIELD) as? Long) ?: 0)

        fun of(
            term: Wire.Entry?,
            holder: Wire.Entry?,
            ready: Wire.Entry?,
        ): ObservedTerm = ObservedTerm(termOf(term), term?.revision ?: Revision.ABSENT, holder, termOf(ready) >= termOf(term))

        fun termValue(
            term: Term,
            node: String,
        ): Map<String, Any?> = mapOf(TERM_FIELD to term.value, NODE_FIELD to node)

        fun holderValue(
            term: Term,
            node: String,
            stateLease: StateLeaseId,
            successor: String? = null,
        ): Map<String, Any?> {
            val value = linkedMapOf<String, Any?>(TERM_FIELD to term.value, NODE_FIELD to node, LEASE_FIELD to stateLease.value)
            if (successor != null) value[SUCCESSOR_FIELD] = successor
            return value
        }
    }
}

/** A won election: the term, the state lease that backs it, and when the request for that lease was sent. */
class ElectedTerm(
    val term: Term,
    val revision: Revision,
    val stateLease: StateLeaseId,
    val leaseSentAt: Instant,
    val predecessorReady: Boolean,
    val cancelledJobs: CancelledJobs?,
)

/** The transaction that a candidate commits to the state service to be elected. */
class Candidacy(
    val term: Term,
    val conditions: List<Pair<String, Revision>>,
    /** The records to write under the given state lease; [holderKey] is among them. */
    val puts: (StateLeaseId) -> List<Pair<String, Map<String, Any?>>>,
    val holderKey: String,
    val predecessorReady: Boolean,
    /** What the candidate has read of the jobs before the transaction; null if it reads them only once it is elected. */
    val cancelledJobs: CancelledJobs? = null,
)

/**
 * One leadership that this controller may hold, that of the single leader ([shard] is null) or of a shard's owner: runs
 * elections, tracks the last known leader, and runs this controller's own terms.
 */
class LeaderElection(
    val shard: ShardId?,
    private val node: String,
    val leadership: Leadership,
    private val state: StateClient,
    private val stateLeaseTtl: Duration,
    private val clock: () -> Instant,
    private val newLeader: (LeaderElection, ElectedTerm) -> Leader,
) {
    private val log = LoggerFactory.getLogger("election")

    /** Runs this controller's current term; null while this controller does not lead. */
    var localLeader: Leader? = null
        private set
    var leaderName: String? = null
        private set

    /** When [leaderName] was last confirmed. An outdated name would redirect workers to a controller that may be gone. */
    private var leaderConfirmedAt = Instant.DISTANT_PAST

    /** When this controller last read the leader's name from the state service itself. */
    private var leaderReadAt = Instant.DISTANT_PAST

    /** Until then this controller does not run for election, so that a controller that the workers can reach is elected. */
    private var backOffUntil = Instant.DISTANT_PAST

    /** Whether [leaderName] is known first-hand: this controller leads, or has recently read the name from the state service. */
    val knowsLeaderFirstHand: Boolean get() = localLeader != null || clock() - leaderReadAt < MAX_LEADER_INFO_AGE

    val mustBackOff: Boolean get() = clock() < backOffUntil

    /** The name of the leader, if it is another controller and was confirmed recently. */
    fun otherLeader(): String? = leaderName?.takeIf { it != node && clock() - leaderConfirmedAt < MAX_LEADER_INFO_AGE }

    private fun confirmLeader(name: String?) {
        leaderName = name
        leaderConfirmedAt = clock()
    }

    /** The holder record in the state service names [name] as the leader. */
    fun onLeaderRead(name: String?) {
        confirmLeader(name)
        leaderReadAt = leaderConfirmedAt
    }

    /** The state service has no holder record: there is no leader. */
    fun onNoLeaderRead() {
        leaderName = null
    }

    /** [name] is expected to be elected next; workers are redirected to it already. */
    fun expectLeader(name: String) = confirmLeader(name)

    /** A peer that knows the leader first-hand names [name]. */
    fun onLeaderFromPeer(
        name: String,
        highestTerm: Term,
    ) {
        val isNewer = name == leaderName || clock() - leaderReadAt >= MAX_LEADER_INFO_AGE || leaderName == null
        if (isNewer && localLeader == null && name.isNotEmpty() && name != node && highestTerm >= leadership.highestTerm) {
            confirmLeader(name)
        }
    }

    /** A candidacy whose transaction was not answered. */
    private class UnresolvedCandidacy(
        val candidacy: Candidacy,
        val leaseSentAt: Instant,
    )

    /** The latest of them, by state lease. Their transactions may have been applied, or may still be. */
    private val unresolvedCandidacies =
        object : LinkedHashMap<StateLeaseId, UnresolvedCandidacy>() {
            override fun removeEldestEntry(eldest: Map.Entry<StateLeaseId, UnresolvedCandidacy>) = size > MAX_UNRESOLVED_CANDIDACIES
        }

    /**
     * The election that [observed] shows to be won by a transaction whose answer was lost; null if there is none. Releasing
     * the lease of such an election instead would leave the term without a leader until the next one.
     */
    fun resolveCandidacy(observed: ObservedTerm): ElectedTerm? {
        val stateLease = observed.holderLease ?: return null
        val unresolved = unresolvedCandidacies[stateLease] ?: return null
        if (observed.term != unresolved.candidacy.term) return null
        unresolvedCandidacies.clear()
        return electedTerm(unresolved.candidacy, observed.revision, stateLease, unresolved.leaseSentAt)
    }

    private fun electedTerm(
        candidacy: Candidacy,
        revision: Revision,
        stateLease: StateLeaseId,
        leaseSentAt: Instant,
    ) = ElectedTerm(candidacy.term, revision, stateLease, leaseSentAt, candidacy.predecessorReady, candidacy.cancelledJobs)

    /**
     * Releases the state lease of a holder record that names this controller although it does not lead. An earlier
     * incarnation of this controller left the record. No controller leads under it, and none can be elected while it exists.
     */
    suspend fun releaseStaleOwnLease(observed: ObservedTerm) {
        leaderName = null
        observed.holderLease?.let { state.revokeStateLease(it) }
    }

    /**
     * Runs for election with [candidacy]; returns null if this controller was not elected. If the answer to the transaction
     * is lost, [readAgain] reads the records to find out the outcome.
     */
    suspend fun runForElection(
        candidacy: Candidacy,
        readAgain: suspend () -> ObservedTerm,
    ): ElectedTerm? {
        // Random delay, since all peers see the previous leader's lease end at the same moment.
        delay(Random.nextLong(ELECTION_JITTER_MS))
        val sentAt = clock()
        val stateLease = state.createStateLease(stateLeaseTtl)
        val change = StateChange(candidacy.conditions, candidacy.puts(stateLease))
        val result =
            try {
                state.commit(change, stateLease, candidacy.holderKey)
            } catch (e: StateUnavailableException) {
                if (e.knownNotApplied) return null
                // Outcome unknown: the holder record shows it now or later, since the id of this state lease is unique.
                unresolvedCandidacies[stateLease] = UnresolvedCandidacy(candidacy, sentAt)
                return resolveCandidacy(readAgain())
            }
        if (result is CommitResult.Applied) return electedTerm(candidacy, result.revision, stateLease, sentAt)
        try {
            state.revokeStateLease(stateLease)
        } catch (e: IOException) {
            log.debug("cannot release the state lease of a lost election: {}", e.message)
        }
        return null
    }

    /** Runs the term [elected]; returns when it has ended. */
    suspend fun lead(elected: ElectedTerm) {
        log.info("{}this controller was elected for term {}", logPrefix(), elected.term)
        confirmLeader(node)
        leadership.elected(elected.term, elected.leaseSentAt)
        val leader = newLeader(this, elected)
        localLeader = leader
        try {
            leader.run()
        } finally {
            leadership.resign()
            localLeader = null
            leaderName = null
            if (leader.lostWorkerContact) backOffUntil = clock() + BACK_OFF
            log.info("{}term {} of this controller has ended", logPrefix(), elected.term)
        }
    }

    private fun logPrefix() = if (shard == null) "" else "shard $shard: "

    companion object {
        val MAX_LEADER_INFO_AGE = Duration(3_000)
        private val BACK_OFF = Duration(10_000)
        private const val ELECTION_JITTER_MS = 120L
        private const val MAX_UNRESOLVED_CANDIDACIES = 8
    }
}
