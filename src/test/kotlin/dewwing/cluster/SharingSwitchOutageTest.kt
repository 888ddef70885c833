package dewwing.cluster

import dewwing.control.sharing.SharingOptions
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** An outage of the state service that begins while the work passes from a single leader to the owners of shards. */
class SharingSwitchOutageTest {
    /** Guards against work without a leader throughout an outage: the single leader stopped before a shard's owner was elected. */
    @Test
    fun `an outage that begins when sharing is enabled stops no running task`() =
        outageWhenSharingIsEnabled(LoopbackCluster.WORKER_TIMES.leaseDurationMs + 2_000, gangSeconds = 20.0)

    /** Guards against an owner that knows cancellations from its own reading only: it may renew leases for 8 s after that. */
    @Test
    fun `an outage of several leases that begins when sharing is enabled stops no running task`() =
        outageWhenSharingIsEnabled(LoopbackCluster.WORKER_TIMES.leaseDurationMs * 3, gangSeconds = 35.0)

    private fun outageWhenSharingIsEnabled(
        outageMs: Long,
        gangSeconds: Double,
    ): Unit =
        runBlocking {
            var enabledOn = setOf(0, 1)
            val options = SharingOptions(SHARDS)
            LoopbackCluster(CONTROLLERS, {
                if (it in
                    enabledOn
                ) {
                    options
                } else {
                    null
                }
            }, machineCount = 30, mapOf("audio" to 60.0)).use { cluster ->
                cluster.start()
                val job = cluster.gang(4, gangSeconds, cores = 1.0)
                cluster.submit(job)
                cluster.awaitCondition("all tasks run") { cluster.onFakesThread { cluster.taskTracker.runningTaskCount == job.tasks } }
                cluster.onFakesThread {
                    cluster.stateService.afterChange = {
                        if (cluster.stateService.value("term/holder")?.countOrNull("shards") != null) {
                            cluster.stateService.isDown = true
                            cluster.stateService.afterChange = {}
                        }
                    }
                }
                enabledOn = setOf(0, 1, 2)
                cluster.kill(2)
                cluster.start(2)
                cluster.awaitCondition("the outage begins") { cluster.onFakesThread { cluster.stateService.isDown } }
                delay(outageMs)
                cluster.onFakesThread { cluster.stateService.isDown = false }
                cluster.awaitCondition("the job is done") { cluster.stageOf(job, 0) == "done" }
                cluster.onFakesThread { assertEquals(0, cluster.taskTracker.stoppedTaskCount, "tasks stopped") }
            }
        }

    private companion object {
        const val CONTROLLERS = 3
        const val SHARDS = 6
    }
}
