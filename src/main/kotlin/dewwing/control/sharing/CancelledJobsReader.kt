package dewwing.control.sharing

import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
import dewwing.control.core.leadership.CancelledJobs
import dewwing.control.state.StateClient
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobStage
import dewwing.protocol.MalformedException
import dewwing.protocol.Wire
import org.slf4j.LoggerFactory

/** Reads which jobs are cancelled, so that a new owner of a shard can answer workers before it has restored its state. */
class CancelledJobsReader(
    private val state: StateClient,
    private val clock: () -> Instant,
) {
    private val log = LoggerFactory.getLogger("sharing")

    suspend fun read(): CancelledJobs {
        val requestedAt = clock()
        val cancelled = HashSet<JobRef>()
        val readUpTo =
            state.list(Keys.JOBS) { page ->
                for (entry in page) if (isCancelled(entry)) Keys.parseJobKey(entry.key)?.let(cancelled::add)
            }
        return CancelledJobs(readUpTo, requestedAt, cancelled)
    }

    private fun isCancelled(entry: Wire.Entry): Boolean =
        try {
            entry.value?.let(JobRecord::of)?.stage == JobStage.ABORTED
        } catch (e: MalformedException) {
            log.error("job record {} is malformed: {}", entry.key, e.message)
            false
        }
}
