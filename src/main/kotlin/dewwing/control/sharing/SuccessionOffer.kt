package dewwing.control.sharing

import dewwing.control.app.ElectedTerm
import dewwing.control.app.ObservedTerm
import dewwing.control.core.StateChange
import dewwing.control.core.leadership.Leadership
import dewwing.control.core.sharing.ShardId
import dewwing.control.core.sharing.SharingKeys
import dewwing.control.state.CommitResult
import dewwing.control.state.StateClient
import dewwing.protocol.Instant
import org.slf4j.LoggerFactory
import java.io.IOException

/** What one attempt to update a [SuccessionOffer] has shown. */
enum class OfferOutcome {
    /** The holder record names the wanted successor, or none if none is wanted. */
    RECORDED,

    /** The holder record is no longer that of this term: the successor was elected, or the state lease has expired. */
    SUPERSEDED,

    /** The request failed or had no answer. The record may name a successor, and a write may still be applied late. */
    UNKNOWN,
}

/**
 * A shard owner's offer of its shard to a successor, which is part of the shard's holder record.
 *
 * The successor's election replaces the holder record, on condition that it is still the one with the offer. The shard
 * therefore has an owner at every moment, whenever an outage of the state service begins. Each update of the record is
 * conditional on its revision and changes it, so that a delayed write of an offer, or an election based on one, fails once the
 * offer is withdrawn.
 */
class SuccessionOffer(
    shard: ShardId,
    private val owner: String,
    private val elected: ElectedTerm,
    private val leadership: Leadership,
    private val state: StateClient,
    private val clock: () -> Instant,
) {
    private val log = LoggerFactory.getLogger("sharing")
    private val key = SharingKeys.holder(shard)

    /**
     * Reads the holder record and makes it name [successor], or nobody if that is null. [Leadership.offerSuccession] must have
     * been called before.
     */
    suspend fun update(successor: String?): OfferOutcome {
        try {
            val requestedAt = clock()
            val holder = state.get(key)
            if (holder == null || ObservedTerm.leaseOf(holder) != elected.stateLease) return OfferOutcome.SUPERSEDED
            leadership.holderRecordRead(requestedAt)
            if (successor != null && ObservedTerm.successorOf(holder) == successor) return OfferOutcome.RECORDED
            // A withdrawal is written even if no successor is recorded: a delayed write might still record one.
            val value = ObservedTerm.holderValue(elected.term, owner, elected.stateLease, successor)
            val change = StateChange(listOf(key to holder.revision), listOf(key to value))
            return when (state.commit(change, elected.stateLease, key)) {
                is CommitResult.Applied -> OfferOutcome.RECORDED
                is CommitResult.Conflict, CommitResult.Rejected -> OfferOutcome.UNKNOWN
                CommitResult.StateLeaseEnded -> OfferOutcome.SUPERSEDED
            }
        } catch (e: IOException) {
            log.debug("could not update the offer in {}: {}", key, e.message)
            return OfferOutcome.UNKNOWN
        }
    }
}
