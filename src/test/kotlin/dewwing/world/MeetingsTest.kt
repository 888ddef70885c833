package dewwing.world

import dewwing.protocol.JobRef
import dewwing.protocol.TaskRef
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Histories in which troubles meet: placed against each other in time, a second or so apart, since most rules break when
 * two of them do. What [HistoriesTest] scatters at random hardly ever comes so near.
 */
class MeetingsTest {
    private val little =
        Trouble(
            crashEveryMs = Trouble.NEVER,
            loseAnswer = 0.02,
            lateCommit = 0.02,
            cutEveryMs = Trouble.NEVER,
            hangEveryMs = Trouble.NEVER,
            takeEveryMs = Trouble.NEVER,
            errorShare = 0.005,
            deafEveryMs = Trouble.NEVER,
            lateCopy = 0.1,
            loneEveryMs = Trouble.NEVER,
            backMs = 1,
            rebuildMs = 600,
        )

    private fun play(
        seed: Long,
        meeting: List<Met>,
        tamper: World.Tamper = World.Tamper.NONE,
        longRuns: Boolean = true,
    ): World {
        val world = World(seed, little, tamper, cap = 40.0)
        if (longRuns) world.longRunsUntil = 90_000
        val open = world.play(30, 160_000, meeting)
        if (tamper == World.Tamper.NONE) {
            assertEquals(emptyList<String>(), world.rules.broken, "seed $seed: $meeting")
            assertEquals(emptyList<Any>(), open, "seed $seed: $meeting")
        }
        return world
    }

    /** The gap: [betweenMs] after the refusal everybody loses the state service, for longer than a cancellation has. */
    private fun gap(betweenMs: Long) =
        listOf(
            Met(Kind.REFUSED_ALONE, 60_000, 14_000),
            Met(Kind.CANCEL_NOW, 60_000 + minOf(300, betweenMs), 0),
            Met(
                Kind.OUTAGE,
                60_000 + betweenMs,
                54_000,
            ),
        )

    @Test
    fun `jobs called off while the leader alone is refused, just before an outage, are gone in time`() {
        for (seed in 1L..30L) play(seed, gap(betweenMs = 200 + seed * 80))
    }

    @Test
    fun `a leader that does not heed the heartbeats of its siblings is caught in the gap`() {
        val broken = (1L..30L).flatMap { play(it, gap(betweenMs = 200 + it * 80), World.Tamper.IGNORE_HEARTBEATS).rules.broken }
        assertTrue(broken.any { it.startsWith("ran_cancelled") }, "$broken")
    }

    private fun lasts(
        kind: Kind,
        random: Random,
    ): Long =
        when (kind) {
            Kind.OUTAGE -> random.nextLong(3_000, 45_000)
            Kind.REFUSED_ALONE, Kind.WATCH_HANGS -> random.nextLong(2_000, 30_000)
            Kind.ROLL -> random.nextLong(1_000, 15_000)
            else -> random.nextLong(2_000, 35_000)
        }

    private fun meeting(
        kinds: List<Kind>,
        random: Random,
    ): List<Met> =
        kinds.map { Met(it, 60_000 + random.nextLong(-2_500, 2_500), lasts(it, random)) } +
            Met(Kind.CANCEL_NOW, 60_000 + random.nextLong(-3_000, 6_000), 0)

    @Test
    fun `any two troubles that meet break no rule, and every job ends`() {
        for (a in Kind.entries) {
            for (b in Kind.entries) {
                if (a <=
                    b
                ) {
                    play(
                        500L + a.ordinal * 40 + b.ordinal,
                        meeting(listOf(a, b), Random(a.ordinal * 40L + b.ordinal)),
                        longRuns =
                            (a.ordinal + b.ordinal) % 2 == 0,
                    )
                }
            }
        }
    }

    @Test
    fun `three troubles that meet break no rule, and every job ends`() {
        val random = Random(77)
        for (seed in 2_000L..2_080L) play(seed, meeting(List(3) { Kind.entries.random(random) }, random), longRuns = seed % 2 == 0L)
    }

    /** Guards against sound jobs that pay for those submitted with a mistake. */
    @Test
    fun `jobs that fail on every machine end by their users, and the others are served meanwhile`() {
        for (seed in 1L..8L) {
            val world = World(seed, little.copy(mistaken = 0.3, errorShare = 0.02, crashEveryMs = 40_000), cap = 40.0)
            val open = world.play(40, 160_000)
            assertEquals(emptyList<String>(), world.rules.broken, "seed $seed")
            assertEquals(emptyList<Any>(), open, "seed $seed")
            assertEquals(emptyList<String>(), world.rules.served(), "seed $seed")
        }
    }

    @Test
    fun `ten changes of leader in two minutes break no rule, inside an outage too`() {
        for (seed in 1L..8L) {
            val changes = List(10) { Met(if (it % 3 == 0) Kind.ALL_CRASH else Kind.CRASH, 30_000 + it * 12_000L, 0) }
            play(seed, changes + Met(Kind.OUTAGE, 70_000 + seed * 1_000, 20_000) + Met(Kind.CANCEL_NOW, 65_000 + seed * 2_000, 0))
        }
    }

    /** The job is never placed, though machines stand idle and are kept. */
    @Test
    fun `a job left waiting while there is room is caught`() {
        val broken = (1L..3L).flatMap { play(it, emptyList(), World.Tamper.STARVE_BESIDE_ROOM, longRuns = false).rules.broken }
        assertTrue(broken.any { it.startsWith("waits") }, "$broken")
    }

    @Test
    fun `a start handed out long after its job's cancellation was confirmed is caught, one just after is not`() {
        val rules = Rules(emptyMap(), 35_000)
        val task = TaskRef(JobRef("job-1"), 0)
        rules.launched(task, 1_000)
        rules.cancelTold(task.job, 2_000)
        rules.launched(task, 5_000)
        assertTrue(rules.broken.none { it.startsWith("started_cancelled") })
        rules.launched(task, 5_001)
        assertTrue(rules.broken.last().startsWith("started_cancelled"))
    }
}
