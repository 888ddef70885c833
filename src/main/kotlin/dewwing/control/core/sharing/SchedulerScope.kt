package dewwing.control.core.sharing

import dewwing.control.core.intent.Keys
import dewwing.control.core.intent.RecordKeys
import dewwing.protocol.Revision

/** A condition on every write of a scheduler; it fails once another scheduler has taken over. */
data class WriteGuard(
    val key: String,
    val revision: Revision,
)

/** The jobs, machines and records that one scheduler is responsible for: a shard, or everything. */
class SchedulerScope private constructor(
    /** Null for a single leader, which is responsible for everything. */
    val shard: ShardId?,
    val guards: List<WriteGuard>,
    /** Key of the record with the last term whose scheduler has restored its state. */
    val readyKey: String,
) {
    val keys = RecordKeys(shard)

    /** Prefixes of the scheduler's own records; for [ShardId.FIRST] also of those that single leaders have left. */
    val recordPrefixes: List<String>
        get() = if (shard == ShardId.FIRST) RecordKeys.SINGLE_LEADER.prefixes + keys.prefixes else keys.prefixes

    /** Whether jobs of [jobShard] are in this scope; null stands for jobs without a shard, which [ShardId.FIRST] owns. */
    fun owns(jobShard: ShardId?): Boolean = shard == null || shard == (jobShard ?: ShardId.FIRST)

    companion object {
        fun single(termRevision: Revision) = SchedulerScope(null, listOf(WriteGuard(Keys.TERM, termRevision)), Keys.READY)

        /** The marker is also a guard: once it has been removed, a single leader can be elected again. */
        fun of(
            shard: ShardId,
            termRevision: Revision,
            marker: SharingMarker,
        ) = SchedulerScope(
            shard,
            listOf(WriteGuard(SharingKeys.term(shard), termRevision), WriteGuard(Keys.HOLDER, marker.revision)),
            SharingKeys.ready(shard),
        )
    }
}
