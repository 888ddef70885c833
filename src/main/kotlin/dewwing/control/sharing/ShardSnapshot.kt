package dewwing.control.sharing

import dewwing.control.app.ObservedTerm
import dewwing.control.core.sharing.MemberRecord
import dewwing.control.core.sharing.ShardId
import dewwing.control.core.sharing.ShardPlan
import dewwing.control.core.sharing.SharingKeys
import dewwing.protocol.Instant
import dewwing.protocol.MalformedException
import dewwing.protocol.Revision
import dewwing.protocol.Term
import dewwing.protocol.Wire

/** Owners, terms and plan of all shards, as of one read of the state service. */
class ShardSnapshot(
    entries: List<Wire.Entry>,
    /** When the read was requested. */
    val requestedAt: Instant,
) {
    private val byKey = entries.associateBy { it.key }
    private val counter = byKey[SharingKeys.COUNTER]
    private val planEntry = byKey[SharingKeys.PLAN]

    /** The highest term issued so far. The election for the next one is conditional on [counterRevision]. */
    val highestTerm: Term = ObservedTerm.termOf(counter)
    val counterRevision: Revision = counter?.revision ?: Revision.ABSENT

    val plan: ShardPlan? =
        try {
            planEntry?.value?.let(ShardPlan::of)
        } catch (e: MalformedException) {
            null
        }
    val planRevision: Revision = planEntry?.revision ?: Revision.ABSENT

    /** No shard has an owner. */
    val hasNoOwners: Boolean = byKey.keys.none(SharingKeys::isHolder)

    fun member(controller: String): MemberRecord? = byKey[SharingKeys.member(controller)]?.value?.let(MemberRecord::of)

    fun term(shard: ShardId): ObservedTerm =
        ObservedTerm.of(byKey[SharingKeys.term(shard)], byKey[SharingKeys.holder(shard)], byKey[SharingKeys.ready(shard)])
}
