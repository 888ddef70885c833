package dewwing.control.core.sharing

import com.dynatrace.hash4j.consistent.ConsistentHashing
import com.dynatrace.hash4j.hashing.Hashing
import com.dynatrace.hash4j.random.PseudoRandomGeneratorProvider
import dewwing.protocol.JobRef

/** One part of all jobs and machines; at any moment it has at most one owner, which schedules it alone. */
@JvmInline
value class ShardId(
    val index: Int,
) : Comparable<ShardId> {
    override fun compareTo(other: ShardId): Int = index.compareTo(other.index)

    override fun toString(): String = index.toString()

    companion object {
        /** Also takes what no shard has claimed: all that ran under a single leader, and machines that nobody expected. */
        val FIRST = ShardId(0)
    }
}

/** How many shards there are, and which one a new job goes to. */
data class ShardLayout(
    val count: Int,
) {
    val all: List<ShardId> = List(count, ::ShardId)

    /** The same on every controller, and spread evenly whatever the ids look like. */
    fun shardOf(job: JobRef): ShardId {
        val hash = Hashing.xxh3_64().hashCharsToLong(job.value)
        return ShardId(ConsistentHashing.jumpHash(PseudoRandomGeneratorProvider.splitMix64_V1()).getBucket(hash, count))
    }
}

/**
 * Which of several controllers a shard falls to when nothing else decides: highest random weight, so that the shards of
 * a controller that has gone spread over all others and nobody else's move.
 */
object Rendezvous {
    fun choose(
        shard: ShardId,
        controllers: Collection<String>,
    ): String? = controllers.maxWithOrNull(compareBy<String> { weight(shard, it) }.thenBy { it })

    private fun weight(
        shard: ShardId,
        controller: String,
    ): Long = Hashing.xxh3_64().hashCharsToLong("${shard.index}/$controller")
}
