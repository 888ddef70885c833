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
    private val key = requireNotNull(SharingKeys.claimForRental(RecordKeys(ShardId(3)).rental(Term(7), 1)))

    private fun locate(ms: Long) = directory.findShard(machine, Instant(ms))

    @Test
    fun `a rental's claim lies beside its record's shard, term and number`() {
        assertEquals("claim/003/000000007/000000001", key)
        assertEquals(ShardId(3), SharingKeys.shardOfClaim(key))
        assertNull(SharingKeys.claimForRental(RecordKeys.SINGLE_LEADER.rental(Term(7), 1)))
    }

    @Test
    fun `a machine that a claim names belongs to that shard`() {
        directory.onClaim(key, MachineClaim(listOf(machine)))
        assertEquals(ShardLookup.Resolved(ShardId(3)), locate(0))
    }

    /** Guards a machine taken by the first shard while its rental's answer is still on its way to another one. */
    @Test
    fun `an unclaimed machine is nobody's until all claims were read after it was heard of, and none lacks its answer`() {
        directory.markCurrentAsOf(Instant(90))
        assertEquals(ShardLookup.Unresolved, locate(100))
        directory.markCurrentAsOf(Instant(100))
        assertEquals(ShardLookup.Unresolved, locate(150), "the reading was asked for too early")
        directory.onClaim(key, MachineClaim(null))
        directory.markCurrentAsOf(Instant(200))
        assertEquals(ShardLookup.Unresolved, locate(300), "the open rental may have brought it")
        directory.onClaim(key, MachineClaim(listOf(MachineId("m-2"))))
        assertEquals(ShardLookup.Resolved(ShardId.FIRST), locate(400))
    }

    @Test
    fun `the open rental's answer names it after all`() {
        directory.onClaim(key, MachineClaim(null))
        locate(100)
        directory.markCurrentAsOf(Instant(200))
        directory.onClaim(key, MachineClaim(listOf(machine)))
        assertEquals(ShardLookup.Resolved(ShardId(3)), locate(300))
    }

    @Test
    fun `a rental that came to nothing does not keep others waiting`() {
        directory.onClaim(key, MachineClaim(null))
        locate(100)
        directory.markCurrentAsOf(Instant(200))
        directory.onClaim(key, null)
        assertEquals(ShardLookup.Resolved(ShardId.FIRST), locate(300))
    }

    @Test
    fun `a directory that reads everything anew forgets nothing it should know`() {
        directory.onClaim(key, MachineClaim(null))
        directory.clear()
        directory.onClaim(key, MachineClaim(listOf(machine)))
        assertEquals(ShardId(3), directory.claimingShard(machine))
        directory.onClaim(key, null)
        assertNull(directory.claimingShard(machine))
    }
}
