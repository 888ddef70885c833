package dewwing.control.core.sharing

import dewwing.control.core.intent.RecordKeys
import dewwing.protocol.Instant
import dewwing.protocol.MachineId
import dewwing.protocol.Term
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** Which shard a machine belongs to, and when that is not yet known. */
class MachineDirectoryTest {
    private val directory = MachineDirectory()
    private val machine = MachineId("m-1")
    private val claimKey = requireNotNull(SharingKeys.claimForRental(RecordKeys(ShardId(3)).rental(Term(7), 1)))

    private fun findShardAt(ms: Long) = directory.findShard(machine, Instant(ms))

    @Test
    fun `the key of a rental's claim contains the shard, term and number of the rental record`() {
        assertEquals("claim/003/000000007/000000001", claimKey)
        assertEquals(ShardId(3), SharingKeys.shardOfClaim(claimKey))
        assertNull(SharingKeys.claimForRental(RecordKeys.SINGLE_LEADER.rental(Term(7), 1)))
    }

    @Test
    fun `a machine named by a claim belongs to the shard of the claim`() {
        directory.onClaim(claimKey, MachineClaim(listOf(machine)))
        assertEquals(ShardLookup.Resolved(ShardId(3)), findShardAt(0))
    }

    /** Guards against the first shard taking a machine while another shard still waits for the answer to the machine's rental. */
    @Test
    fun `an unclaimed machine is unresolved until all claims were read after it was first seen and none lacks its answer`() {
        directory.markCurrentAsOf(Instant(90))
        assertEquals(ShardLookup.Unresolved, findShardAt(100))
        directory.markCurrentAsOf(Instant(100))
        assertEquals(ShardLookup.Unresolved, findShardAt(150), "the read was requested too early")
        directory.onClaim(claimKey, MachineClaim(null))
        directory.markCurrentAsOf(Instant(200))
        assertEquals(ShardLookup.Unresolved, findShardAt(300), "the pending rental may have brought it")
        directory.onClaim(claimKey, MachineClaim(listOf(MachineId("m-2"))))
        assertEquals(ShardLookup.Resolved(ShardId.FIRST), findShardAt(400))
    }

    @Test
    fun `a machine named in the answer to a pending rental belongs to the rental's shard`() {
        directory.onClaim(claimKey, MachineClaim(null))
        findShardAt(100)
        directory.markCurrentAsOf(Instant(200))
        directory.onClaim(claimKey, MachineClaim(listOf(machine)))
        assertEquals(ShardLookup.Resolved(ShardId(3)), findShardAt(300))
    }

    @Test
    fun `a failed rental does not keep other machines unresolved`() {
        directory.onClaim(claimKey, MachineClaim(null))
        findShardAt(100)
        directory.markCurrentAsOf(Instant(200))
        directory.onClaim(claimKey, null)
        assertEquals(ShardLookup.Resolved(ShardId.FIRST), findShardAt(300))
    }

    @Test
    fun `a directory that is cleared and read again knows the current claims`() {
        directory.onClaim(claimKey, MachineClaim(null))
        directory.clear()
        directory.onClaim(claimKey, MachineClaim(listOf(machine)))
        assertEquals(ShardId(3), directory.claimingShard(machine))
        directory.onClaim(claimKey, null)
        assertNull(directory.claimingShard(machine))
    }
}
