package dewwing.control.core.sharing

import dewwing.control.core.intent.Keys
import dewwing.control.core.intent.RecordKeys
import dewwing.protocol.Revision

/** A condition of every change that a scheduler makes: it fails once somebody else has taken over. */
data class WriteGuard(
    val key: String,
    val revision: Revision,
)

/** The part of all work that one scheduler is responsible for. */
class SchedulerScope private constructor(
    /** Null for a single leader, which is responsible for everything. */
    val shard: ShardId?,
    val guards: List<WriteGuard>,
    /** What says that the scheduler has read its records. */
    val readyKey: String,
) {
    val keys = RecordKeys(shard)

    /** Its own records, and for [ShardId.FIRST] also those that single leaders have left. */
    val recordPrefixes: List<String>
        get() = if (shard == ShardId.FIRST) RecordKeys.SINGLE_LEADER.prefixes + keys.prefixes else keys.prefixes

    fun owns(job: ShardId?): Boolean = shard == null || shard == (job ?: ShardId.FIRST)

    companion object {
        fun single(termRevision: Revision) = SchedulerScope(null, listOf(WriteGuard(Keys.TERM, termRevision)), Keys.READY)

        /** The marker is a guard too: once it is gone, a single leader may be elected again. */
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
