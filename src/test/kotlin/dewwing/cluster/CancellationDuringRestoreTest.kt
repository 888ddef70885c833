package dewwing.cluster

import dewwing.control.core.intent.Keys
import dewwing.control.core.sharing.ShardLayout
import dewwing.control.core.sharing.SharingKeys
import dewwing.control.http.HttpRequest
import dewwing.control.sharing.SharingOptions
import dewwing.protocol.JobSpec
import dewwing.protocol.Pack
import dewwing.protocol.Wire
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.URLDecoder

/**
 * Jobs that are cancelled while the next leader restores its state, after it has read the jobs. An outage begins before it reads
 * them again, so that only the confirmation itself can tell it.
 */
class CancellationDuringRestoreTest {
    /** Holds a restore at its read of the records under [heldPrefix], and begins an outage once the leader reports it finished. */
    private class InterruptedRestore(
        private val stateService: FakeStateService,
        private val heldPrefix: String,
        private val readyKey: String,
    ) {
        val isHeld = CompletableDeferred<Unit>()
        val mayContinue = CompletableDeferred<Unit>()
        val outage = CompletableDeferred<Unit>()

        init {
            stateService.beforeHandling = ::intercept
        }

        private suspend fun intercept(request: HttpRequest) {
            when {
                request.path == Wire.STORE && prefixOf(request) == heldPrefix -> {
                    isHeld.complete(Unit)
                    mayContinue.await()
                }

                request.path == Wire.WATCH && mayContinue.isCompleted && prefixOf(request) == Keys.JOBS -> {
                    outage.await()
                }

                request.path == Wire.COMMIT && isHeld.isCompleted && puts(request, readyKey) -> {
                    stateService.isDown = true
                    outage.complete(Unit)
                }
            }
        }

        private fun prefixOf(request: HttpRequest) =
            URLDecoder.decode(request.query.substringAfter("under=").substringBefore('&'), Charsets.UTF_8)

        private fun puts(
            request: HttpRequest,
            key: String,
        ) = Pack.decodeMap(request.body).let { body -> "apply" in body.raw && body.mapList("apply").any { it.textOrNull("put") == key } }
    }

    /** Records of one leadership, of the single leader or of the owner of a shard. */
    private class LeadershipKeys(
        val holder: String,
        val ready: String,
        /** Read during a restore after the jobs. */
        val readAfterJobs: String,
    )

    private enum class ConfirmedBy { LEADER, PEER }

    private fun cancelDuringRestore(
        options: SharingOptions?,
        confirmedBy: ConfirmedBy,
        keysFor: (JobSpec) -> LeadershipKeys,
    ): Unit =
        runBlocking {
            LoopbackCluster(CONTROLLERS, { options }, machineCount = 30, mapOf("audio" to 60.0)).use { cluster ->
                cluster.start()
                val job = cluster.gang(4, GANG_SECONDS, cores = 8.0)
                val keys = keysFor(job)
                if (options != null) cluster.awaitCondition("every shard has an owner") { cluster.isOwned(options) }
                cluster.submit(job)
                cluster.awaitCondition("all tasks run") { cluster.onFakesThread { cluster.taskTracker.runningTaskCount == job.tasks } }
                val restore =
                    cluster.onFakesThread {
                        InterruptedRestore(cluster.stateService, keys.readAfterJobs, keys.ready).also {
                            cluster.stateService.endLeaseOf(keys.holder)
                        }
                    }
                withTimeout(STEP_TIMEOUT_MS) { restore.isHeld.await() }
                val leader = cluster.onFakesThread { cluster.stateService.value(keys.holder)?.text("node") }
                val node = (0 until CONTROLLERS).first { ("node-$it" == leader) == (confirmedBy == ConfirmedBy.LEADER) }
                cluster.cancel(job, node)
                restore.mayContinue.complete(Unit)
                withTimeout(STEP_TIMEOUT_MS) { restore.outage.await() }
                cluster.awaitCondition("all tasks of the cancelled job have ended", CANCELLATION_LIMIT_MS) {
                    cluster.onFakesThread { cluster.taskTracker.machinesOf(job.ref).isEmpty() }
                }
                cluster.onFakesThread { assertEquals(emptyList<String>(), cluster.taskTracker.violations) }
            }
        }

    private val singleLeader = LeadershipKeys(Keys.HOLDER, Keys.READY, Keys.LOGS)

    /** Guards against tasks of a cancelled job that run through an outage: the leader that told the user forgot it (review/2). */
    @Test
    fun `a job that its next leader cancels while it restores its state ends within the limit, in an outage too`() =
        cancelDuringRestore(null, ConfirmedBy.LEADER) { singleLeader }

    /** Guards against a cancellation confirmed by a peer that no heartbeat tells to a leader which was restoring its state. */
    @Test
    fun `a job that a peer cancels while the next leader restores its state ends within the limit, in an outage too`() =
        cancelDuringRestore(null, ConfirmedBy.PEER) { singleLeader }

    /** Guards against the same of the next owner of a shard, elected without an offer. */
    @Test
    fun `a job that its shard's next owner cancels while it restores its state ends within the limit, in an outage too`() =
        cancelDuringRestore(SharingOptions(SHARDS), ConfirmedBy.LEADER) { job ->
            val shard = ShardLayout(SHARDS).shardOf(job.ref)
            LeadershipKeys(SharingKeys.holder(shard), SharingKeys.ready(shard), SharingKeys.claimsPrefix(shard))
        }

    private companion object {
        const val CONTROLLERS = 3
        const val SHARDS = 4
        const val GANG_SECONDS = 60.0
        const val STEP_TIMEOUT_MS = 30_000L

        /** The cluster's `cancel_s`. */
        const val CANCELLATION_LIMIT_MS = 25_000L
    }
}
