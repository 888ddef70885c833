package dewwing.control.core.sharing

import dewwing.protocol.Duration
import dewwing.protocol.Instant
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** The present owner's side of a move, event by event. */
class HandOffTest {
    private val handOff = HandOff("a", startConfirmTimeout = Duration(3_000), gangTimeout = Duration(20_000))
    private val settled = UnconfirmedStarts(0, 0)

    private fun at(
        ms: Long,
        planned: String?,
        unsettled: UnconfirmedStarts = settled,
        able: Boolean = true,
    ) = handOff.advance(planned, able, unsettled, Instant(ms))

    @Test
    fun `a shard without starts under way is released at once`() {
        assertEquals(HandOffPhase.NONE, at(0, "a"))
        assertEquals(HandOffPhase.RELEASED, at(200, "b"))
        assertEquals("b", handOff.target)
    }

    @Test
    fun `starts under way are waited for, but not longer than the settle time`() {
        assertEquals(HandOffPhase.DRAINING, at(0, "b", UnconfirmedStarts(3, 0)))
        assertFalse(handOff.mayPlaceTasks)
        assertEquals(HandOffPhase.DRAINING, at(2_900, "b", UnconfirmedStarts(1, 0)))
        assertEquals(HandOffPhase.RELEASED, at(3_000, "b", UnconfirmedStarts(1, 0)))
    }

    @Test
    fun `a half-placed gang holds the shard back until it is whole`() {
        at(0, "b", UnconfirmedStarts(2, 1))
        assertEquals(HandOffPhase.DRAINING, at(10_000, "b", UnconfirmedStarts(2, 1)))
        assertEquals(HandOffPhase.RELEASED, at(10_200, "b", settled))
    }

    @Test
    fun `a gang that does not get whole withdraws the move, once`() {
        at(0, "b", UnconfirmedStarts(2, 1))
        assertEquals(HandOffPhase.NONE, at(20_000, "b", UnconfirmedStarts(2, 1)))
        assertEquals(HandOffFailure.GANG_INCOMPLETE, handOff.failure)
        assertTrue(handOff.mayPlaceTasks)
        assertEquals(HandOffPhase.NONE, at(20_200, "b", settled), "the same plan must not start the move again")
        assertEquals(HandOffPhase.RELEASED, at(20_400, "c", settled), "another one may")
    }

    @Test
    fun `the plan calls a move off, and two moves that cross end where the last plan says`() {
        at(0, "b", UnconfirmedStarts(1, 0))
        assertEquals(HandOffPhase.NONE, at(200, "a", UnconfirmedStarts(1, 0)))
        assertTrue(handOff.mayPlaceTasks)
        assertNull(handOff.failure)
        at(400, "b", UnconfirmedStarts(1, 0))
        assertEquals(HandOffPhase.DRAINING, at(3_300, "c", UnconfirmedStarts(1, 0)), "another target has its own time")
        assertEquals(HandOffPhase.RELEASED, at(6_400, "c", UnconfirmedStarts(1, 0)))
        assertEquals("c", handOff.target)
    }

    @Test
    fun `a target that is lost ends the move, and one that never was able does not begin it`() {
        assertEquals(HandOffPhase.NONE, at(0, "b", able = false))
        at(200, "b", UnconfirmedStarts(1, 0))
        assertEquals(HandOffPhase.NONE, at(400, "b", UnconfirmedStarts(1, 0), able = false))
        assertEquals(HandOffFailure.TARGET_LOST, handOff.failure)
    }

    @Test
    fun `whatever happens, work is started only while the shard is not being moved, and it is released to an able target only`() {
        for (seed in 1L..200L) {
            val random = Random(seed)
            val handOff = HandOff("a", Duration(3_000), Duration(20_000))
            var ms = 0L
            var released = false
            repeat(200) {
                ms += random.nextLong(50, 2_000)
                val planned = listOf("a", "b", "c", null).random(random)
                val able = random.nextInt(4) > 0
                val unsettled = UnconfirmedStarts(random.nextInt(3), random.nextInt(2))
                val before = handOff.phase
                val phase = handOff.advance(planned, able, unsettled, Instant(ms))
                assertEquals(phase == HandOffPhase.NONE, handOff.mayPlaceTasks, "seed $seed")
                if (phase == HandOffPhase.RELEASED && before != HandOffPhase.RELEASED) {
                    assertTrue(able && planned != null && planned != "a", "seed $seed: released to $planned")
                    assertEquals(planned, handOff.target)
                }
                assertTrue(!released || phase == HandOffPhase.RELEASED, "seed $seed: taken back")
                released = phase == HandOffPhase.RELEASED
            }
        }
    }
}
