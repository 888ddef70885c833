package dewwing.control.core.sharing

import dewwing.protocol.Pack
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Parts of a team's limit: never above it together, never below what is used, and fair in the end. */
class AllotmentsTest {
    /** Shards that change their entries one at a time, on records as the state service keeps them. */
    private class Team(
        val limit: Double,
        count: Int,
    ) {
        val layout = ShardLayout(count)
        private val whole = TeamResources(limit, Double.POSITIVE_INFINITY)
        var record = TeamAllotments.initial(layout, TeamResources(limit, 0.0))
        val used = DoubleArray(count)
        val waiting = DoubleArray(count)
        val gang = DoubleArray(count)
        val gangSince = LongArray(count)
        var writes = 0

        fun held(shard: Int) = record.shards[shard].allocated.cores

        fun adjust(shard: Int) {
            val demand =
                TeamDemand(
                    TeamResources(used[shard], 0.0),
                    TeamResources(used[shard] + waiting[shard], 0.0),
                    TeamResources(gang[shard], 0.0),
                    gangSince[shard],
                )
            val next = AllotmentPolicy(ShardId(shard)).next(whole, record, demand)
            if (next != record.shards[shard]) writes++
            @Suppress("UNCHECKED_CAST") // What was encoded from text keys.
            val stored = Pack.decode(Pack.encode(record.with(ShardId(shard), next).toValue())) as Map<String, Any?>
            record = TeamAllotments.of(stored)
            val sum = record.shards.sumOf { it.allocated.cores }
            assertTrue(sum <= limit + 1e-6, "parts add up to $sum of $limit")
            assertTrue(held(shard) >= used[shard] - 1e-6, "shard $shard uses ${used[shard]} of ${held(shard)}")
        }

        /** Tasks start as far as the part allows. */
        fun start(shard: Int) {
            val started = minOf(waiting[shard], held(shard) - used[shard]).toInt().coerceAtLeast(0)
            used[shard] += started.toDouble()
            waiting[shard] -= started.toDouble()
        }

        fun settle(rounds: Int = 10) = repeat(rounds) { for (shard in layout.all) adjust(shard.index) }
    }

    @Test
    fun `before anybody changes it the first shard holds all, afterwards each has an equal part at hand`() {
        val team = Team(120.0, 4)
        assertEquals(listOf(120.0, 0.0, 0.0, 0.0), team.record.shards.map { it.allocated.cores })
        team.settle()
        assertEquals(listOf(30.0, 30.0, 30.0, 30.0), team.record.shards.map { it.allocated.cores })
    }

    @Test
    fun `work of the time before goes on, and its part shrinks only as it ends`() {
        val team = Team(100.0, 2)
        team.used[0] = 90.0
        team.waiting[1] = 100.0
        team.settle()
        assertEquals(90.0, team.held(0))
        assertEquals(10.0, team.held(1), 1e-6)
        team.used[0] = 20.0
        team.settle()
        assertTrue(team.held(1) >= 75.0, "${team.held(1)}")
    }

    @Test
    fun `a shard that wants little leaves the rest to those that want more`() {
        val team = Team(100.0, 3)
        team.waiting[0] = 10.0
        team.waiting[1] = 80.0
        team.waiting[2] = 80.0
        team.settle()
        assertEquals(listOf(10.0, 45.0, 45.0), team.record.shards.map { it.allocated.cores })
    }

    @Test
    fun `of two large gangs that want most of the limit the older one gets it whole`() {
        val team = Team(100.0, 3)
        team.settle()
        for (shard in 0..2) team.used[shard] = 30.0
        team.gang[1] = 80.0
        team.gangSince[1] = 2_000
        team.gang[2] = 90.0
        team.gangSince[2] = 1_000
        team.waiting[1] = 80.0
        team.waiting[2] = 90.0
        repeat(40) {
            for (shard in 0..2) if (team.used[shard] > 0) team.used[shard] -= 1.0
            team.settle(1)
        }
        assertTrue(team.held(2) >= 90.0, "the older gang's shard holds ${team.held(2)}")
        team.gang[2] = 0.0
        team.waiting[2] = 0.0
        team.settle()
        assertTrue(team.held(1) >= 80.0, "the younger one's turn: ${team.held(1)}")
    }

    @Test
    fun `nothing is written while demand stays as it is`() {
        val team = Team(100.0, 4)
        for (shard in 0..3) team.waiting[shard] = 50.0
        team.settle()
        val written = team.writes
        team.settle()
        assertEquals(written, team.writes)
    }

    @Test
    fun `whatever starts, ends and waits, the parts stay within the limit and reach whoever wants them`() {
        for (seed in 1L..100L) {
            val random = Random(seed)
            val team = Team(random.nextInt(20, 300).toDouble(), random.nextInt(1, 8))
            val shards = team.layout.count
            repeat(400) {
                val shard = random.nextInt(shards)
                when (random.nextInt(4)) {
                    0 -> team.waiting[shard] += random.nextInt(40).toDouble()
                    1 -> team.used[shard] = maxOf(0.0, team.used[shard] - random.nextInt(10))
                    2 -> team.start(shard)
                    else -> team.adjust(shard)
                }
                val used = team.used.sum()
                assertTrue(used <= team.limit + 1e-6, "seed $seed: $used of ${team.limit}")
            }
            for (shard in 0 until shards) {
                team.used[shard] = 0.0
                team.waiting[shard] = 0.0
            }
            val one = random.nextInt(shards)
            team.waiting[one] = team.limit
            team.settle()
            assertTrue(team.held(one) >= team.limit * 0.7, "seed $seed: ${team.held(one)} of ${team.limit} for the only one that wants it")
        }
    }

    @Test
    fun `max-min fair parts`() {
        fun parts(
            capacity: Double,
            vararg wanted: Double,
        ) = AllotmentPolicy.maxMinFair(capacity, wanted)
        assertArrayEquals(doubleArrayOf(2.0, 4.0, 4.0), parts(10.0, 2.0, 8.0, 10.0), 1e-9)
        assertArrayEquals(doubleArrayOf(1.0, 2.0), parts(10.0, 1.0, 2.0), 1e-9)
        assertArrayEquals(doubleArrayOf(0.0, 0.0), parts(-5.0, 1.0, 2.0), 1e-9)
    }
}
