package dewwing.control.core.sharing

import dewwing.protocol.Instant
import dewwing.protocol.MachineId

/** Which shard the reports of a machine belong to. */
sealed interface ShardLookup {
    data class Resolved(
        val shard: ShardId,
    ) : ShardLookup

    /** A rental without an answer may have brought the machine: [ShardId.FIRST] must not take it yet. */
    data object Unresolved : ShardLookup
}

/**
 * Finds the shard that a machine belongs to from the claims in the state service.
 *
 * A rental's claim is written before the request goes to the cloud. A read of all claims that was requested after a
 * machine was first seen therefore includes the claim of the rental that brought it. If no claim names the machine then
 * and every claim has its answer, no claim ever will: the machine came from elsewhere, and [ShardId.FIRST] owns it.
 */
class MachineDirectory {
    private val claims = HashMap<String, MachineClaim>()
    private val shardByMachine = HashMap<MachineId, ShardId>()
    private var pendingClaims = 0

    /** When the newest read of all claims was requested. */
    private var currentAsOf = Instant.DISTANT_PAST

    private val firstSeenUnclaimed =
        object : LinkedHashMap<MachineId, Instant>() {
            override fun removeEldestEntry(eldest: Map.Entry<MachineId, Instant>) = size > MAX_UNCLAIMED
        }

    /** Takes the current state of the claim at [key]; null if it was removed. */
    fun onClaim(
        key: String,
        claim: MachineClaim?,
    ) {
        val shard = SharingKeys.shardOfClaim(key) ?: return
        claims.remove(key)?.let { before ->
            if (before.isPending) pendingClaims--
            before.machines?.forEach(shardByMachine::remove)
        }
        if (claim == null) return
        claims[key] = claim
        if (claim.isPending) pendingClaims++
        claim.machines?.forEach { machine ->
            shardByMachine[machine] = shard
            firstSeenUnclaimed.remove(machine)
        }
    }

    /** To be called before all claims are read again. */
    fun clear() {
        claims.clear()
        shardByMachine.clear()
        pendingClaims = 0
    }

    /** The claims passed to [onClaim] are complete up to a read that was requested at [requestedAt]. */
    fun markCurrentAsOf(requestedAt: Instant) {
        if (requestedAt > currentAsOf) currentAsOf = requestedAt
    }

    /** The shard of a machine that has been seen at [now]. */
    fun findShard(
        machine: MachineId,
        now: Instant,
    ): ShardLookup {
        shardByMachine[machine]?.let { return ShardLookup.Resolved(it) }
        val firstSeen = firstSeenUnclaimed.getOrPut(machine) { now }
        return if (pendingClaims == 0 && currentAsOf > firstSeen) ShardLookup.Resolved(ShardId.FIRST) else ShardLookup.Unresolved
    }

    /** The shard whose claim names [machine]; null also for a machine that was rented only just now. */
    fun claimingShard(machine: MachineId): ShardId? = shardByMachine[machine]

    private companion object {
        /** Only machines rented under a single leader, and a few others, have no claim. */
        const val MAX_UNCLAIMED = 50_000
    }
}
