package dewwing.control.core.sharing

import com.dynatrace.hash4j.consistent.ConsistentHashing
import com.dynatrace.hash4j.hashing.Hashing
import com.dynatrace.hash4j.random.PseudoRandomGeneratorProvider
import dewwing.protocol.JobRef

/** A partition of all jobs and machines; it has at most one owner at a time, which alone schedules it. */
@JvmInline
value class ShardId(
    val index: Int,
) : Comparable<ShardId> {
    override fun compareTo(other: ShardId): Int = index.compareTo(other.index)

    override fun toString(): String = index.toString()

    companion object {
        /** Also owns what no shard has claimed: everything that ran under a single leader, and unexpected machines. */
        val FIRST = ShardId(0)
    }
}

/** The number of shards, and the assignment of new jobs to them. */
data class ShardLayout(
    val count: Int,
) {
    val all: List<ShardId> = List(count, ::ShardId)

    /** The same on every controller, and evenly distributed whatever the job ids look like. */
    fun shardOf(job: JobRef): ShardId {
        val hash = Hashing.xxh3_64().hashCharsToLong(job.value)
        return ShardId(ConsistentHashing.jumpHash(PseudoRandomGeneratorProvider.splitMix64_V1()).getBucket(hash, count))
    }
}

/**
 * Rendezvous (highest random weight) hashing: the default choice of a shard's owner. When a controller fails, its shards
 * spread over all remaining controllers, and no other shard moves.
 */
object RendezvousHash {
    fun choose(
        shard: ShardId,
        controllers: Collection<String>,
    ): String? = controllers.maxWithOrNull(compareBy<String> { weight(shard, it) }.thenBy { it })

    private fun weight(
        shard: ShardId,
        controller: String,
    ): Long = Hashing.xxh3_64().hashCharsToLong("${shard.index}/$controller")
}
