package dewwing.control.core.sharing

import dewwing.control.core.intent.WriteBatch
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.MachineId

/**
 * The machine claims of one shard, kept by the shard's owner. A claim is written in the same transaction as its rental
 * record and removed [RETENTION] after the last of its machines is gone.
 */
class ShardClaims {
    private class Claim(
        val machines: MutableSet<MachineId>,
        var emptySince: Instant? = null,
    )

    private val claims = LinkedHashMap<String, Claim>()
    private val claimKeys = HashMap<MachineId, String>()

    fun restore(
        key: String,
        claim: MachineClaim,
    ) {
        claim.machines?.let { add(key, it) }
    }

    private fun add(
        key: String,
        machines: List<MachineId>,
    ) {
        claims[key] = Claim(machines.toMutableSet(), emptySince = if (machines.isEmpty()) Instant.DISTANT_PAST else null)
        for (machine in machines) claimKeys[machine] = key
    }

    /**
     * Adds the claim of the rental at [rentalKey] to the [batch] that writes the rental record or the cloud's answer to it;
     * [machines] is null while the answer is not known.
     */
    fun recordRental(
        batch: WriteBatch,
        rentalKey: String,
        machines: List<MachineId>?,
    ) {
        val key = SharingKeys.claimForRental(rentalKey) ?: return
        val claim = MachineClaim(machines)
        if (claim.isPending) batch.createUnconditionally(key, claim.toValue()) else batch.put(key, claim.toValue())
        if (machines != null) batch.onApplied { add(key, machines) }
    }

    /** Number of changes that [recordRental] or [recordRefusal] adds to a batch for the rental at [rentalKey]. */
    fun changeCount(rentalKey: String): Int = if (SharingKeys.claimForRental(rentalKey) == null) 0 else 1

    /** Removes the claim of a rental that the cloud has refused. */
    fun recordRefusal(
        batch: WriteBatch,
        rentalKey: String,
    ) {
        SharingKeys.claimForRental(rentalKey)?.let(batch::remove)
    }

    fun onMachineGone(
        machine: MachineId,
        now: Instant,
    ) {
        val key = claimKeys.remove(machine) ?: return
        val claim = claims[key] ?: return
        claim.machines.remove(machine)
        if (claim.machines.isEmpty()) claim.emptySince = now
    }

    /** Keys of the claims whose machines have all been gone for so long that no delayed report of theirs can still arrive. */
    fun expiredKeys(now: Instant): List<String> =
        claims.entries.filter { (_, claim) -> claim.emptySince?.let { now - it > RETENTION } == true }.map { it.key }

    fun onRemoved(key: String) {
        claims.remove(key)
    }

    private companion object {
        /** Without its claim, a machine whose report arrives late would be assigned to [ShardId.FIRST] as a new one. */
        val RETENTION = Duration(600_000)
    }
}
