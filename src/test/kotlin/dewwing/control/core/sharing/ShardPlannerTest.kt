package dewwing.control.core.sharing

import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Which controller each shard is planned for, and which moves are made. */
class ShardPlannerTest {
    private val layout = ShardLayout(12)

    /** Simulated controllers; those that are up carry out moves at once. */
    private inner class SimulatedControllers(
        vararg names: String,
        policy: PlannerPolicy = PlannerPolicy(moveInterval = Duration(5_000)),
    ) {
        val up = names.toMutableSet()
        val draining = HashSet<String>()
        val owners = layout.all.map<ShardId, String?> { names.first() }.toMutableList()
        val load = DoubleArray(layout.count) { 10.0 }
        val planner = ShardPlanner(layout, policy)
        var plan: ShardPlan? = null
        var nowMs = 0L
        var moves = 0
        var carriesOutMoves = true

        fun step() {
            nowMs += 1_000
            val controllerViews = up.sorted().map { ControllerView(it, it in draining) }
            val before = plan
            val shardViews = layout.all.map { ShardView(owners[it.index], load[it.index]) }
            val next = planner.next(before, shardViews, controllerViews, Instant(nowMs))
            val moving = layout.all.count { owners[it.index] != null && next.ownerOf(it) != owners[it.index] }
            assertTrue(moving <= 1, "$moving moves at once")
            plan = next
            for (shard in layout.all) {
                val owner = owners[shard.index]
                val target = next.ownerOf(shard)
                if (owner !in up) {
                    owners[shard.index] = target?.takeIf { it in up }
                } else if (carriesOutMoves && target != owner && target in up) {
                    owners[shard.index] = target
                    moves++
                }
            }
        }

        fun run(steps: Int) = repeat(steps) { step() }

        fun loadOf(name: String) = layout.all.filter { owners[it.index] == name }.sumOf { load[it.index] }
    }

    @Test
    fun `shards that are all on one controller are spread over three, one move at a time, and then stay`() {
        val controllers = SimulatedControllers("a", "b", "c")
        controllers.run(60)
        assertEquals(
            setOf(4),
            controllers.owners
                .groupingBy { it }
                .eachCount()
                .values
                .toSet(),
        )
        val movesBefore = controllers.moves
        controllers.run(100)
        assertEquals(movesBefore, controllers.moves, "moves without a reason")
    }

    @Test
    fun `a shard with a high load ends up alone on its controller and is not moved back and forth`() {
        val controllers = SimulatedControllers("a", "b")
        controllers.load[3] = 1_000.0
        controllers.run(100)
        assertEquals(1, controllers.owners.count { it == controllers.owners[3] })
        val movesBefore = controllers.moves
        controllers.run(100)
        assertEquals(movesBefore, controllers.moves, "moving it would only move the overload")
    }

    @Test
    fun `a draining controller ends up without shards and gets shards again afterwards`() {
        val controllers = SimulatedControllers("a", "b", "c")
        controllers.run(60)
        controllers.draining.add("b")
        controllers.run(30)
        assertTrue("b" !in controllers.owners)
        controllers.draining.remove("b")
        controllers.run(60)
        assertEquals(4, controllers.owners.count { it == "b" })
    }

    @Test
    fun `shards of a failed controller go to the others, and no other shard moves`() {
        val controllers = SimulatedControllers("a", "b", "c")
        controllers.run(60)
        val ownersOfOthers = layout.all.filter { controllers.owners[it.index] != "c" }.associateWith { controllers.owners[it.index] }
        controllers.up.remove("c")
        controllers.step()
        controllers.step()
        for ((shard, owner) in ownersOfOthers) assertEquals(owner, controllers.owners[shard.index])
        assertTrue(controllers.owners.all { it == "a" || it == "b" }, "${controllers.owners}")
    }

    @Test
    fun `a move that does not complete is withdrawn after its deadline`() {
        val controllers =
            SimulatedControllers("a", "b", policy = PlannerPolicy(moveInterval = Duration(5_000), moveDeadline = Duration(10_000)))
        controllers.carriesOutMoves = false
        controllers.step()
        assertNotEquals(controllers.owners, controllers.plan?.owners)
        controllers.run(10)
        assertEquals(1, controllers.planner.withdrawnMoves)
    }

    @Test
    fun `a drill moves every shard in turn`() {
        val controllers =
            SimulatedControllers("a", "b", "c", policy = PlannerPolicy(moveInterval = Duration(1_000_000), drillInterval = Duration(1_000)))
        val movedShards = HashSet<ShardId>()
        var ownersBefore = controllers.owners.toList()
        repeat(40) {
            controllers.step()
            for (shard in layout.all) if (ownersBefore[shard.index] != controllers.owners[shard.index]) movedShards.add(shard)
            ownersBefore = controllers.owners.toList()
        }
        assertEquals(layout.all.toSet(), movedShards)
    }

    @Test
    fun `whichever controllers fail and return, every shard ends up on one that is up, and loads are balanced`() {
        for (seed in 1L..50L) {
            val random = Random(seed)
            val controllers = SimulatedControllers("a", "b", "c", "d")
            repeat(120) {
                val name = listOf("a", "b", "c", "d").random(random)
                if (random.nextInt(6) == 0 && controllers.up.size > 1) controllers.up.remove(name) else controllers.up.add(name)
                controllers.load[random.nextInt(layout.count)] = random.nextDouble(0.0, 100.0)
                controllers.step()
            }
            controllers.up.addAll(listOf("a", "b", "c", "d"))
            controllers.run(90)
            assertTrue(controllers.owners.all { it in controllers.up }, "seed $seed: ${controllers.owners}")
            val loads = controllers.up.map { controllers.loadOf(it) }
            val heaviest = controllers.load.max()
            assertTrue(loads.max() - loads.min() <= maxOf(heaviest, loads.average() * 0.5) + 4, "seed $seed: $loads")
        }
    }

    @Test
    fun `jobs are spread evenly over shards for any pattern of ids, and always in the same way`() {
        for (step in listOf(1, 7, 1_000)) {
            val counts = IntArray(layout.count)
            repeat(12_000) { counts[layout.shardOf(JobRef("job-%06d".format(it * step))).index]++ }
            assertTrue(counts.min() > 800 && counts.max() < 1_200, counts.toList().toString())
        }
        // The hash must never change: a repeated submission of a job would be sent to another shard.
        assertEquals(FIRST_JOBS_SHARDS, (0 until 6).map { layout.shardOf(JobRef("job-%06d".format(it))).index })
    }

    private companion object {
        val FIRST_JOBS_SHARDS = listOf(3, 6, 1, 7, 3, 1)
    }
}
