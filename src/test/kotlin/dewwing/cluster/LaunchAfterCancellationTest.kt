package dewwing.cluster

import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
import dewwing.control.core.sharing.ShardLayout
import dewwing.control.sharing.SharingOptions
import dewwing.protocol.JobSpec
import dewwing.protocol.JobStage
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * A job is cancelled when its tasks are logged for idle machines and not launched yet. The controller that confirms it has no
 * contact with the leader, which cannot learn of it from the state service either.
 */
class LaunchAfterCancellationTest {
    /** What keeps the leader from learning of the cancellation. */
    private enum class Disruption {
        /** Watches of the jobs are not answered; all other requests to the state service are. */
        LATE_WATCH,

        /** The state service refuses every request. */
        REFUSED,
    }

    /** Cancels [job] as soon as its placement is recorded, and begins the [disruption] in the same step. */
    private class CancellationOnPlacement(
        private val cluster: LoopbackCluster,
        private val job: JobSpec,
        private val disruption: Disruption,
    ) {
        private val watchesContinue = CompletableDeferred<Unit>()
        var isCancelled = false
            private set

        init {
            cluster.stateService.beforeWatchResponse = { prefix -> if (prefix == Keys.JOBS && isCancelled) watchesContinue.await() }
            cluster.stateService.afterChange = { keys -> if (!isCancelled && keys.any(::isPlacement)) cancel() }
        }

        private fun isPlacement(key: String) = Keys.LOGS in key && "/${job.ref}/" in key

        private fun cancel() {
            isCancelled = true
            val stored = checkNotNull(cluster.stateService.value(Keys.job(job.ref)))
            val record = JobRecord.of(stored.raw.entries.associate { (field, value) -> field.toString() to value })
            cluster.stateService.replace(Keys.job(job.ref), record.copy(stage = JobStage.ABORTED).toValue())
            cluster.taskTracker.onCancellationConfirmed(job.ref)
            if (disruption == Disruption.REFUSED) cluster.stateService.isDown = true
        }

        fun endDisruption() {
            cluster.stateService.isDown = false
            watchesContinue.complete(Unit)
        }
    }

    private fun cancelAfterPlacement(
        disruption: Disruption,
        options: SharingOptions? = null,
    ): Unit =
        runBlocking {
            LoopbackCluster(CONTROLLERS, { options }, machineCount = 30, mapOf("audio" to 800.0)).use { cluster ->
                cluster.start()
                if (options != null) cluster.awaitCondition("every shard has an owner") { cluster.isOwned(options) }
                val (first, job, later) = jobsOfOneScheduler(cluster, options)
                // The machines are rented for the first job; once that is done they are idle.
                cluster.submit(first)
                cluster.awaitCondition("the first job is done") { cluster.stageOf(first, 0) == "done" }
                val cancellation = cluster.onFakesThread { CancellationOnPlacement(cluster, job, disruption) }
                cluster.submit(job)
                cluster.awaitCondition("the job is placed and cancelled") { cluster.onFakesThread { cancellation.isCancelled } }
                delay(LoopbackCluster.WORKER_TIMES.reportIntervalMs * 3)
                cluster.onFakesThread { cancellation.endDisruption() }
                cluster.submit(later)
                cluster.awaitCondition("a later job is done") { cluster.stageOf(later, 0) == "done" }
                cluster.onFakesThread { assertEquals(emptyList<String>(), cluster.taskTracker.violations) }
            }
        }

    /** Three jobs that are scheduled by the single leader, or by the owner of the same shard. */
    private fun jobsOfOneScheduler(
        cluster: LoopbackCluster,
        options: SharingOptions?,
    ): List<JobSpec> {
        val layout = options?.let { ShardLayout(it.shards) }
        val jobs = List(MAX_JOBS_TRIED) { cluster.gang(MACHINES, GANG_SECONDS, cores = 8.0) }
        return jobs.groupBy { layout?.shardOf(it.ref) }.values.maxBy { it.size }
    }

    /** Guards against starts of tasks after a user was told that their job is cancelled (review/8). */
    @Test
    fun `a leader whose watch is late starts no task of a job that was confirmed as cancelled`() =
        cancelAfterPlacement(Disruption.LATE_WATCH)

    /** Guards against the same by the owner of a shard. */
    @Test
    fun `a shard's owner whose watch is late starts no task of a job that was confirmed as cancelled`() =
        cancelAfterPlacement(Disruption.LATE_WATCH, SharingOptions(SHARDS))

    /** Guards against the same for as long as the last answer of the state service counts as new. */
    @Test
    fun `a leader that the state service refuses starts no task of a job that was confirmed as cancelled`() =
        cancelAfterPlacement(Disruption.REFUSED)

    /** Guards against the same by the owner of a shard. */
    @Test
    fun `a shard's owner that the state service refuses starts no task of a job that was confirmed as cancelled`() =
        cancelAfterPlacement(Disruption.REFUSED, SharingOptions(SHARDS))

    private companion object {
        const val CONTROLLERS = 3
        const val SHARDS = 3
        const val MACHINES = 20
        const val MAX_JOBS_TRIED = 9
        const val GANG_SECONDS = 1.0
    }
}
