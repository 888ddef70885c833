package dewwing.control.core.sharing

import dewwing.protocol.Pack
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Shares of a team's limit: together never above the limit, never below what is used, and fair after some adjustments. */
class AllotmentsTest {
    /** Shards that change their entries one at a time, on records as the state service stores them. */
    private class Team(
        val limit: Double,
        count: Int,
    ) {
        val layout = ShardLayout(count)
        private val teamLimit = TeamResources(limit, Double.POSITIVE_INFINITY)
        var record = TeamAllotments.initial(layout, TeamResources(limit, 0.0))
        val used = DoubleArray(count)
        val waiting = DoubleArray(count)
        val reserved = DoubleArray(count)
        val reservedSinceMs = LongArray(count)

        /** Cores of one task, by shard; 0 if tasks of any size may start. */
        val taskSize = DoubleArray(count)
        val waitingSinceMs = LongArray(count)
        var writes = 0

        fun allocated(shard: Int) = record.shards[shard].allocated.cores

        fun adjust(shard: Int) {
            val demand =
                TeamDemand(
                    TeamResources(used[shard], 0.0),
                    TeamResources(used[shard] + waiting[shard], 0.0),
                    TeamResources(reserved[shard], 0.0),
                    reservedSinceMs[shard],
                    if (waiting[shard] > 0) TeamResources(taskSize[shard], 0.0) else TeamResources.NONE,
                    waitingSinceMs[shard],
                )
            val next = AllotmentPolicy(ShardId(shard)).next(teamLimit, record, demand)
            if (next != record.shards[shard]) writes++
            @Suppress("UNCHECKED_CAST") // The keys were text when the value was encoded.
            val stored = Pack.decode(Pack.encode(record.with(ShardId(shard), next).toValue())) as Map<String, Any?>
            record = TeamAllotments.of(stored)
            val sum = record.shards.sumOf { it.allocated.cores }
            assertTrue(sum <= limit + 1e-6, "shares add up to $sum of $limit")
            assertTrue(allocated(shard) >= used[shard] - 1e-6, "shard $shard uses ${used[shard]} of ${allocated(shard)}")
        }

        /** Starts as many waiting tasks as the share allows. */
        fun startTasks(shard: Int) {
            val started = minOf(waiting[shard], allocated(shard) - used[shard]).toInt().coerceAtLeast(0)
            used[shard] += started.toDouble()
            waiting[shard] -= started.toDouble()
        }

        /** Starts as many waiting tasks of the shard's size as the share allows; returns whether any was started. */
        fun startWholeTasks(shard: Int): Boolean {
            val tasks = (minOf(waiting[shard], allocated(shard) - used[shard] + 1e-6) / taskSize[shard]).toInt()
            if (tasks <= 0) return false
            used[shard] += tasks * taskSize[shard]
            waiting[shard] -= tasks * taskSize[shard]
            return true
        }

        fun adjustAll(rounds: Int = 10) = repeat(rounds) { for (shard in layout.all) adjust(shard.index) }
    }

    @Test
    fun `initially the first shard has the whole limit, and after adjustment every shard has an equal share`() {
        val team = Team(120.0, 4)
        assertEquals(listOf(120.0, 0.0, 0.0, 0.0), team.record.shards.map { it.allocated.cores })
        team.adjustAll()
        assertEquals(listOf(30.0, 30.0, 30.0, 30.0), team.record.shards.map { it.allocated.cores })
    }

    @Test
    fun `tasks from before sharding continue, and the share of their shard shrinks only as they end`() {
        val team = Team(100.0, 2)
        team.used[0] = 90.0
        team.waiting[1] = 100.0
        team.adjustAll()
        assertEquals(90.0, team.allocated(0))
        assertEquals(10.0, team.allocated(1), 1e-6)
        team.used[0] = 20.0
        team.adjustAll()
        assertTrue(team.allocated(1) >= 75.0, "${team.allocated(1)}")
    }

    @Test
    fun `a shard that requests little leaves the rest to shards that request more`() {
        val team = Team(100.0, 3)
        team.waiting[0] = 10.0
        team.waiting[1] = 80.0
        team.waiting[2] = 80.0
        team.adjustAll()
        assertEquals(listOf(10.0, 45.0, 45.0), team.record.shards.map { it.allocated.cores })
    }

    @Test
    fun `of two gangs that each need most of the limit the older one gets all it needs`() {
        val team = Team(100.0, 3)
        team.adjustAll()
        for (shard in 0..2) team.used[shard] = 30.0
        team.reserved[1] = 80.0
        team.reservedSinceMs[1] = 2_000
        team.reserved[2] = 90.0
        team.reservedSinceMs[2] = 1_000
        team.waiting[1] = 80.0
        team.waiting[2] = 90.0
        repeat(40) {
            for (shard in 0..2) if (team.used[shard] > 0) team.used[shard] -= 1.0
            team.adjustAll(1)
        }
        assertTrue(team.allocated(2) >= 90.0, "the older gang's shard has ${team.allocated(2)}")
        team.reserved[2] = 0.0
        team.waiting[2] = 0.0
        team.adjustAll()
        assertTrue(team.allocated(1) >= 80.0, "the younger gang's shard has ${team.allocated(1)} afterwards")
    }

    @Test
    fun `nothing is written while demand is unchanged`() {
        val team = Team(100.0, 4)
        for (shard in 0..3) team.waiting[shard] = 50.0
        team.adjustAll()
        val writesBefore = team.writes
        team.adjustAll()
        assertEquals(writesBefore, team.writes)
    }

    @Test
    fun `whatever starts, ends and waits, the shares stay within the limit and go to the shard that requests them`() {
        for (seed in 1L..100L) {
            val random = Random(seed)
            val team = Team(random.nextInt(20, 300).toDouble(), random.nextInt(1, 8))
            val shards = team.layout.count
            repeat(400) {
                val shard = random.nextInt(shards)
                when (random.nextInt(4)) {
                    0 -> team.waiting[shard] += random.nextInt(40).toDouble()
                    1 -> team.used[shard] = maxOf(0.0, team.used[shard] - random.nextInt(10))
                    2 -> team.startTasks(shard)
                    else -> team.adjust(shard)
                }
                val used = team.used.sum()
                assertTrue(used <= team.limit + 1e-6, "seed $seed: $used of ${team.limit}")
            }
            for (shard in 0 until shards) {
                team.used[shard] = 0.0
                team.waiting[shard] = 0.0
            }
            val requestingShard = random.nextInt(shards)
            team.waiting[requestingShard] = team.limit
            team.adjustAll()
            assertTrue(
                team.allocated(requestingShard) >= team.limit * 0.7,
                "seed $seed: ${team.allocated(requestingShard)} of ${team.limit} for the only shard that requests any",
            )
        }
    }

    /** Guards against work that waits for its team's limit while other shards keep shares of it that nothing uses. */
    @Test
    fun `whatever happened before, every shard gets what it requests if the limit covers all requests`() {
        for (seed in 1L..300L) {
            val random = Random(seed)
            val team = Team(random.nextInt(20, 300).toDouble(), random.nextInt(2, 8))
            repeat(random.nextInt(200)) {
                val shard = random.nextInt(team.layout.count)
                when (random.nextInt(4)) {
                    0 -> team.waiting[shard] = random.nextInt(40).toDouble()
                    1 -> team.used[shard] = maxOf(0.0, team.used[shard] - random.nextInt(10))
                    2 -> team.startTasks(shard)
                    else -> team.adjust(shard)
                }
            }
            var unrequested = team.limit - team.used.sum()
            for (shard in team.layout.all.map { it.index }) {
                team.waiting[shard] = minOf(team.waiting[shard], maxOf(0.0, unrequested))
                unrequested -= team.waiting[shard]
            }
            team.adjustAll()
            for (shard in team.layout.all.map { it.index }) {
                val requested = team.used[shard] + team.waiting[shard]
                val allocated = team.allocated(shard)
                assertTrue(allocated >= requested - 1e-6, "seed $seed: shard $shard has $allocated of $requested, limit ${team.limit}")
            }
        }
    }

    /** Guards against a team that stops for good: after a burst the share of every shard was smaller than one task (review/3). */
    @Test
    fun `with more waiting shards than the limit holds tasks, tasks start as long as the limit has room for one`() {
        for (seed in 1L..300L) {
            val random = Random(seed)
            val team = Team(random.nextInt(8, 40).toDouble(), random.nextInt(2, 14))
            val shards = team.layout.all.map { it.index }
            for (shard in shards) {
                team.taskSize[shard] = random.nextInt(1, team.limit.toInt() + 1).toDouble()
                team.waiting[shard] = team.taskSize[shard] * random.nextInt(0, 4)
                team.waitingSinceMs[shard] = random.nextLong(1, 100)
            }
            var rounds = 0
            while (shards.any { team.waiting[it] > 0 }) {
                repeat(SETTLING_ROUNDS) {
                    team.adjustAll(1)
                    shards.forEach(team::startWholeTasks)
                }
                val oldest = shards.filter { team.used[it] == 0.0 && team.waiting[it] > 0 }.minByOrNull { team.waitingSinceMs[it] }
                val room = team.limit - team.used.sum()
                assertTrue(
                    oldest == null || team.taskSize[oldest] > room,
                    "seed $seed: shard $oldest waits beside room for a task",
                )
                assertTrue(++rounds <= MAX_ROUNDS, "seed $seed: work waits for ever")
                val busy = shards.filter { team.used[it] > 0 }
                team.used[busy.random(random)] = 0.0
            }
        }
    }

    @Test
    fun `max-min fair shares`() {
        fun fairShares(
            capacity: Double,
            vararg requested: Double,
        ) = AllotmentPolicy.maxMinFair(capacity, requested)
        assertArrayEquals(doubleArrayOf(2.0, 4.0, 4.0), fairShares(10.0, 2.0, 8.0, 10.0), 1e-9)
        assertArrayEquals(doubleArrayOf(1.0, 2.0), fairShares(10.0, 1.0, 2.0), 1e-9)
        assertArrayEquals(doubleArrayOf(0.0, 0.0), fairShares(-5.0, 1.0, 2.0), 1e-9)
    }

    private companion object {
        /** In the real program a round takes a second. */
        const val SETTLING_ROUNDS = 4

        /** More than there are tasks in any case. */
        const val MAX_ROUNDS = 60
    }
}
