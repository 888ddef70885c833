package dewwing.control.core.sharing

import dewwing.control.core.intent.WriteBatch
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.MachineId

/**
 * The claims of one shard's owner: written with the records of its rentals, removed once their machines are long gone.
 */
class ClaimBook {
    private class Entry(
        val machines: MutableSet<MachineId>,
        var emptySince: Instant? = null,
    )

    private val entries = LinkedHashMap<String, Entry>()
    private val byMachine = HashMap<MachineId, String>()

    fun restore(
        key: String,
        claim: MachineClaim,
    ) {
        claim.machines?.let { note(key, it) }
    }

    private fun note(
        key: String,
        machines: List<MachineId>,
    ) {
        entries[key] = Entry(machines.toMutableSet(), emptySince = if (machines.isEmpty()) Instant.DISTANT_PAST else null)
        for (machine in machines) byMachine[machine] = key
    }

    /** The rental at [rentKey] is being logged, or its answer: its claim goes with it. */
    fun addTo(
        batch: WriteBatch,
        rentKey: String,
        rented: List<MachineId>?,
    ) {
        val key = SharingKeys.claimOf(rentKey) ?: return
        val claim = MachineClaim(rented)
        if (claim.isPending) batch.createUnconditionally(key, claim.toValue()) else batch.put(key, claim.toValue())
        if (rented != null) batch.onApplied { note(key, rented) }
    }

    /** The rental came to nothing. */
    fun refused(
        batch: WriteBatch,
        rentKey: String,
    ) {
        SharingKeys.claimOf(rentKey)?.let(batch::remove)
    }

    fun machineGone(
        machine: MachineId,
        now: Instant,
    ) {
        val key = byMachine.remove(machine) ?: return
        val entry = entries[key] ?: return
        entry.machines.remove(machine)
        if (entry.machines.isEmpty()) entry.emptySince = now
    }

    /** Claims of machines that are all gone, and have been for so long that no copy of a report of theirs is under way. */
    fun toRemove(now: Instant): List<String> =
        entries.entries.filter { (_, entry) -> entry.emptySince?.let { now - it > KEEP } == true }.map { it.key }

    fun removed(key: String) {
        entries.remove(key)
    }

    private companion object {
        /** A late report of a machine without a claim would bring it to [ShardId.FIRST] as a new one. */
        val KEEP = Duration(600_000)
    }
}
