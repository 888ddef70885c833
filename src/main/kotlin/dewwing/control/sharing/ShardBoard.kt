package dewwing.control.sharing

import dewwing.control.app.ObservedTerm
import dewwing.control.core.sharing.ShardId
import dewwing.control.core.sharing.ShardPlan
import dewwing.control.core.sharing.SharingKeys
import dewwing.protocol.Instant
import dewwing.protocol.MalformedException
import dewwing.protocol.Revision
import dewwing.protocol.Term
import dewwing.protocol.Wire

/** Owners, tokens and plan of all shards, as one reading of the state service showed them. */
class ShardBoard(
    entries: List<Wire.Entry>,
    /** When the reading was asked for. */
    val askedAt: Instant,
) {
    private val byKey = entries.associateBy { it.key }
    private val counter = byKey[SharingKeys.COUNTER]
    private val planEntry = byKey[SharingKeys.PLAN]

    /** The highest token given out, and the revision on which the next one depends. */
    val highestToken: Term = ObservedTerm.termOf(counter)
    val counterRevision: Revision = counter?.revision ?: Revision.ABSENT

    val plan: ShardPlan? =
        try {
            planEntry?.value?.let(ShardPlan::of)
        } catch (e: MalformedException) {
            null
        }
    val planRevision: Revision = planEntry?.revision ?: Revision.ABSENT

    /** Nobody owns any shard. */
    val isAbandoned: Boolean = byKey.keys.none(SharingKeys::isHolder)

    fun term(shard: ShardId): ObservedTerm =
        ObservedTerm.of(byKey[SharingKeys.term(shard)], byKey[SharingKeys.holder(shard)], byKey[SharingKeys.ready(shard)])
}
