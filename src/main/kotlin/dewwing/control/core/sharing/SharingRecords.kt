package dewwing.control.core.sharing

import dewwing.control.core.intent.Keys
import dewwing.control.core.intent.RecordKeys
import dewwing.protocol.Fields
import dewwing.protocol.Incarnation
import dewwing.protocol.MachineId
import dewwing.protocol.MalformedException
import dewwing.protocol.Revision

/** Keys of the state service for shard ownership, machine claims and allotments. */
object SharingKeys {
    /** Every controller reads all entries under this prefix several times a second. */
    const val PREFIX = "shards/"

    /** The highest term issued so far; every election of a shard's owner takes the next one. */
    const val COUNTER = "shards/counter"
    const val PLAN = "shards/plan"
    private const val TERMS = "shards/term/"
    private const val HOLDERS = "shards/holder/"
    private const val READY = "shards/ready/"

    private const val MEMBERS = "shards/member/"

    const val CLAIMS = "claim/"
    const val ALLOTMENTS = "allotment/"
    private const val SHARD_DIGITS = 3

    fun term(shard: ShardId): String = TERMS + name(shard)

    /** Bound to the owner's state lease: the next election is possible once this entry is absent. */
    fun holder(shard: ShardId): String = HOLDERS + name(shard)

    fun isHolder(key: String): Boolean = key.startsWith(HOLDERS)

    /** The shard's last term whose owner has restored its state. */
    fun ready(shard: ShardId): String = READY + name(shard)

    /** Which run of [controller] takes shards that are offered to it; versions that do not know of offers have no such record. */
    fun member(controller: String): String = MEMBERS + escape(controller)

    /**
     * Key of the claim that goes with the rental record at [rentalKey]; null for a rental of a single leader, whose machines
     * belong to [ShardId.FIRST] without a claim.
     */
    fun claimForRental(rentalKey: String): String? {
        if (!rentalKey.startsWith(RecordKeys.SHARDS)) return null
        val (shard, rental) =
            rentalKey.removePrefix(RecordKeys.SHARDS).split("/${Keys.RENTALS}", limit = 2).takeIf { it.size == 2 }
                ?: return null
        return "$CLAIMS$shard/$rental"
    }

    fun claimsPrefix(shard: ShardId): String = "$CLAIMS${name(shard)}/"

    fun shardOfClaim(key: String): ShardId? =
        key
            .removePrefix(CLAIMS)
            .substringBefore('/')
            .toIntOrNull()
            ?.let(::ShardId)

    fun allotment(team: String): String = ALLOTMENTS + escape(team)

    /** Operators choose names freely, but keys cannot hold spaces; such characters are escaped. */
    private fun escape(text: String): String =
        text.map { if (it in ' '..'~' && it !in " /%") it.toString() else "%" + it.code.toHexString() }.joinToString("")

    private fun name(shard: ShardId) = shard.index.toString().padStart(SHARD_DIGITS, '0')
}

/**
 * Replaces a single leader's holder record while shards have their own owners. As long as it exists, no single leader of
 * any version can be elected.
 */
data class SharingMarker(
    val layout: ShardLayout,
    val revision: Revision,
) {
    companion object {
        private const val SHARDS = "shards"

        /** The empty node name keeps controllers of older versions from taking the holder for one of their peers. */
        fun value(layout: ShardLayout): Map<String, Any?> = mapOf("node" to "", SHARDS to layout.count)

        /** Null for the holder record of a single leader. */
        fun of(
            value: Map<String, Any?>?,
            revision: Revision,
        ): SharingMarker? {
            val count = (value?.get(SHARDS) as? Long)?.toInt()?.takeIf { it > 0 } ?: return null
            return SharingMarker(ShardLayout(count), revision)
        }
    }
}

/** Announces that the [incarnation] of a controller takes shards that are offered to it. */
data class MemberRecord(
    val incarnation: Incarnation,
) {
    fun toValue(): Map<String, Any?> = mapOf(INCARNATION to incarnation.value)

    companion object {
        private const val INCARNATION = "incarnation"

        fun of(value: Map<String, Any?>): MemberRecord? = (value[INCARNATION] as? Long)?.let { MemberRecord(Incarnation(it)) }
    }
}

/** The planned owner of each shard; written by the owner of [ShardId.FIRST] and followed by all controllers. */
data class ShardPlan(
    val owners: List<String>,
    /** Identifies the plan in logs and traces. */
    val number: Long = 0,
) {
    /** Null if no owner is planned. */
    fun ownerOf(shard: ShardId): String? = owners.getOrNull(shard.index)?.takeIf { it.isNotEmpty() }

    fun toValue(): Map<String, Any?> = mapOf("owners" to owners, "number" to number)

    companion object {
        fun of(value: Map<String, Any?>): ShardPlan {
            val fields = Fields(value)
            return ShardPlan(fields.textListOrNull("owners") ?: throw MalformedException("owners"), fields.countOr("number", 0))
        }
    }
}

/**
 * The machines that one rental brought to a shard; null while the cloud's answer is not known. A machine is in at most one
 * claim, because its name occurs in the answer to one request only.
 */
data class MachineClaim(
    val machines: List<MachineId>?,
) {
    val isPending: Boolean get() = machines == null

    fun toValue(): Map<String, Any?> = if (machines == null) emptyMap() else mapOf("machines" to machines.map { it.value })

    companion object {
        fun of(value: Map<String, Any?>) = MachineClaim(Fields(value).textListOrNull("machines")?.map(::MachineId))
    }
}
