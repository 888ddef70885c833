package dewwing.control.sharing

import dewwing.cluster.FakeStateService
import dewwing.cluster.FakeStateService.CommitFate
import dewwing.control.core.SchedulerHarness
import dewwing.control.core.intent.Keys
import dewwing.control.core.sharing.SchedulerScope
import dewwing.control.core.sharing.ShardId
import dewwing.control.core.sharing.ShardLayout
import dewwing.control.core.sharing.SharingKeys
import dewwing.control.core.sharing.SharingMarker
import dewwing.control.state.StateClient
import dewwing.control.state.StateUnavailableException
import dewwing.control.state.withLoopbackState
import dewwing.protocol.Instant
import dewwing.protocol.JobSpec
import dewwing.protocol.Revision
import dewwing.protocol.Team
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Two shards that share a team's limit, while answers of the state service are lost and transactions are applied late. */
class AllotmentAdjusterTest {
    private val layout = ShardLayout(2)
    private val team = Team("t", 0.0, null, 0.0, LIMIT.toDouble())

    /** One shard with a machine that holds the whole limit. */
    private inner class Shard(
        index: Int,
        service: FakeStateService,
        state: StateClient,
        marker: SharingMarker,
    ) {
        private val id = ShardId(index)
        private val scope: SchedulerScope
        private val jobs = ArrayList<JobSpec>()
        private val harness: SchedulerHarness
        private val adjuster: AllotmentAdjuster
        private var nextJob = 1 + index * JOBS_PER_SHARD

        init {
            service.replace(SharingKeys.term(id), mapOf("n" to 1L))
            scope = SchedulerScope.of(id, service.revisionOf(SharingKeys.term(id)), marker)
            harness = SchedulerHarness(teams = listOf(team), scope = scope)
            harness.addMachine("m-$index")
            adjuster = AllotmentAdjuster(id, layout, listOf(team), harness.scheduler, scope, state) { Instant(0) }
        }

        val runningTasks: Int get() = jobs.sumOf(harness::runningTaskCount)

        val hasWaitingTasks: Boolean get() =
            harness.scheduler
                .queuedTasksByClass()
                .values
                .any { it > 0 }

        suspend fun start() = adjuster.applyStored()

        fun submit(tasks: Int) {
            val job = SchedulerHarness.job(nextJob++, tasks)
            jobs.add(job)
            harness.submit(job)
        }

        fun run() = harness.run(5.0)

        fun completeJobs() = jobs.forEach(harness::complete)

        suspend fun adjust() {
            try {
                adjuster.adjust()
            } catch (e: StateUnavailableException) {
                // The outcome of the change is unknown, as the test intends.
            }
        }
    }

    private fun withShards(test: suspend (FakeStateService, List<Shard>) -> Unit) {
        val service = FakeStateService()
        service.replace(Keys.HOLDER, SharingMarker.value(layout))
        val marker = SharingMarker(layout, service.revisionOf(Keys.HOLDER))
        withLoopbackState(service::handle) { state ->
            val shards = layout.all.map { Shard(it.index, service, state, marker) }
            shards.forEach { it.start() }
            test(service, shards)
        }
    }

    /** Guards against use above a team's limit after several changes of a shard's part that are applied late (review/4). */
    @Test
    fun `of several changes without an answer the lowest counts until the record changes`() =
        withShards { service, (first, second) ->
            first.submit(LIMIT)
            first.run()
            assertEquals(LIMIT, first.runningTasks)
            second.submit(LIMIT)
            second.adjust()
            first.completeJobs()
            first.run()
            service.fateOf = { CommitFate.DEFER }
            first.adjust()
            first.submit(LIMIT)
            first.adjust()
            first.adjust()
            first.run()
            service.applyDeferredCommits()
            repeat(2) { second.adjust() }
            second.run()
            assertTrue(first.runningTasks + second.runningTasks <= LIMIT, "${first.runningTasks} and ${second.runningTasks} tasks")
            assertTrue(second.runningTasks > 0)
        }

    /** Guards against the same in any order of starts, ends and late transactions. */
    @Test
    fun `whatever is lost or late, the shards never use more than the limit together`() {
        for (seed in 1L..SEEDS) {
            val random = Random(seed)
            withShards { service, shards ->
                val fates = listOf(CommitFate.DEFER, CommitFate.LOSE_RESPONSE, CommitFate.APPLY)
                var fate = CommitFate.APPLY
                var shard = shards.first()
                repeat(STEPS) { step ->
                    // One shard and fate for several steps, so that several changes are made on the same revision.
                    if (random.nextInt(STEPS_PER_FATE) == 0) {
                        fate = fates.random(random)
                        shard = shards.random(random)
                    }
                    service.fateOf = { fate }
                    when (random.nextInt(8)) {
                        0 -> if (!shard.hasWaitingTasks) shard.submit(random.nextInt(1, LIMIT + 1))
                        1 -> shard.completeJobs()
                        2 -> service.applyDeferredCommits()
                        else -> shard.adjust()
                    }
                    shard.run()
                    val used = shards.sumOf { it.runningTasks }
                    assertTrue(used <= LIMIT, "seed $seed, step $step: $used tasks")
                }
            }
        }
    }

    private companion object {
        const val LIMIT = 8
        const val JOBS_PER_SHARD = 1_000
        const val SEEDS = 30L
        const val STEPS = 150
        const val STEPS_PER_FATE = 10
    }
}
