package dewwing.control.core.sharing

import dewwing.control.core.intent.Keys
import dewwing.control.core.intent.RecordKeys
import dewwing.protocol.Fields
import dewwing.protocol.MachineId
import dewwing.protocol.MalformedException
import dewwing.protocol.Revision

/** Where the state service keeps who owns which shard. */
object SharingKeys {
    /** Read whole by every controller, several times a second. */
    const val PREFIX = "shards/"

    /** The highest token that was ever given out; every election of a shard's owner takes the next one. */
    const val COUNTER = "shards/counter"
    const val PLAN = "shards/plan"
    private const val TERMS = "shards/term/"
    private const val HOLDERS = "shards/holder/"
    private const val READY = "shards/ready/"

    const val CLAIMS = "claim/"
    const val ALLOTMENTS = "allotment/"
    private const val SHARD_DIGITS = 3

    fun term(shard: ShardId): String = TERMS + name(shard)

    /** Tied to its owner's lease: its absence is what allows the next election. */
    fun holder(shard: ShardId): String = HOLDERS + name(shard)

    fun isHolder(key: String): Boolean = key.startsWith(HOLDERS)

    /** The last token of the shard whose owner had read its records. */
    fun ready(shard: ShardId): String = READY + name(shard)

    /**
     * The claim that goes with the rental recorded at [rentKey]; null for a single leader's, whose machines
     * [ShardId.FIRST] owns without one.
     */
    fun claimOf(rentKey: String): String? {
        if (!rentKey.startsWith(RecordKeys.SHARDS)) return null
        val (shard, rental) =
            rentKey.removePrefix(RecordKeys.SHARDS).split("/${Keys.RENTALS}", limit = 2).takeIf { it.size == 2 }
                ?: return null
        return "$CLAIMS$shard/$rental"
    }

    fun claimsOf(shard: ShardId): String = "$CLAIMS${name(shard)}/"

    fun shardOfClaim(key: String): ShardId? =
        key
            .removePrefix(CLAIMS)
            .substringBefore('/')
            .toIntOrNull()
            ?.let(::ShardId)

    /** Team names are the operators'; keys hold no spaces. */
    fun allotment(team: String): String =
        ALLOTMENTS + team.map { if (it in ' '..'~' && it !in " /%") it.toString() else "%" + it.code.toHexString() }.joinToString("")

    private fun name(shard: ShardId) = shard.index.toString().padStart(SHARD_DIGITS, '0')
}

/**
 * Stands in the place of a single leader's holder record while shards have owners of their own: with it no single leader
 * can be elected, whatever its version.
 */
data class SharingMarker(
    val layout: ShardLayout,
    val revision: Revision,
) {
    companion object {
        private const val SHARDS = "shards"

        /** The name tells older versions of a leader that is none of their peers. */
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

/** Which controller is to own each shard; the owner of [ShardId.FIRST] writes it, everybody follows it. */
data class ShardPlan(
    val owners: List<String>,
    /** Tells one plan from the next in logs and traces. */
    val number: Long = 0,
) {
    fun ownerOf(shard: ShardId): String? = owners.getOrNull(shard.index)?.takeIf { it.isNotEmpty() }

    fun toValue(): Map<String, Any?> = mapOf("owners" to owners, "number" to number)

    companion object {
        fun of(value: Map<String, Any?>): ShardPlan {
            val fields = Fields(value)
            return ShardPlan(fields.textsOrNull("owners") ?: throw MalformedException("owners"), fields.countOr("number", 0))
        }
    }
}

/**
 * The machines that one rental brought to a shard; null while the cloud's answer is not known. A machine is in one claim
 * at most: its name is in the answer to one request only.
 */
data class MachineClaim(
    val machines: List<MachineId>?,
) {
    val isPending: Boolean get() = machines == null

    fun toValue(): Map<String, Any?> = if (machines == null) emptyMap() else mapOf("machines" to machines.map { it.value })

    companion object {
        fun of(value: Map<String, Any?>) = MachineClaim(Fields(value).textsOrNull("machines")?.map(::MachineId))
    }
}
