package dewwing.control.core.sharing

import dewwing.protocol.Instant
import dewwing.protocol.MachineId

/** Where a machine's reports belong. */
sealed interface MachineHome {
    data class Known(
        val shard: ShardId,
    ) : MachineHome

    /** A rental without an answer may have brought it: [ShardId.FIRST] must not take it yet. */
    data object Undecided : MachineHome
}

/**
 * Tells from the claims in the state service which shard a machine belongs to.
 *
 * A rental's claim is written before the cloud is asked, so a reading of all claims that was asked for after a machine
 * was first heard of shows the rental that brought it. If no claim names the machine then and none is without an answer,
 * none ever will: it came from elsewhere, and [ShardId.FIRST] owns it.
 */
class MachineDirectory {
    private val claims = HashMap<String, MachineClaim>()
    private val claimed = HashMap<MachineId, ShardId>()
    private var pending = 0

    /** When the newest reading of all claims was asked for. */
    private var readAt = Instant.DISTANT_PAST

    private val firstHeard =
        object : LinkedHashMap<MachineId, Instant>() {
            override fun removeEldestEntry(eldest: Map.Entry<MachineId, Instant>) = size > MAX_UNCLAIMED
        }

    /** A claim as it is now; null when it was removed. */
    fun onClaim(
        key: String,
        claim: MachineClaim?,
    ) {
        val shard = SharingKeys.shardOfClaim(key) ?: return
        claims.remove(key)?.let { before ->
            if (before.isPending) pending--
            before.machines?.forEach(claimed::remove)
        }
        if (claim == null) return
        claims[key] = claim
        if (claim.isPending) pending++
        claim.machines?.forEach { machine ->
            claimed[machine] = shard
            firstHeard.remove(machine)
        }
    }

    /** All claims are about to be read anew. */
    fun clear() {
        claims.clear()
        claimed.clear()
        pending = 0
    }

    fun readUpTo(askedAt: Instant) {
        if (askedAt > readAt) readAt = askedAt
    }

    /** Of a machine that was heard of [now]. */
    fun locate(
        machine: MachineId,
        now: Instant,
    ): MachineHome {
        claimed[machine]?.let { return MachineHome.Known(it) }
        val heard = firstHeard.getOrPut(machine) { now }
        return if (pending == 0 && readAt > heard) MachineHome.Known(ShardId.FIRST) else MachineHome.Undecided
    }

    /** Whether any claim names it; says nothing about a machine that was just rented. */
    fun claimant(machine: MachineId): ShardId? = claimed[machine]

    private companion object {
        /** Machines without a claim: those of the time under a single leader, and few others. */
        const val MAX_UNCLAIMED = 50_000
    }
}
