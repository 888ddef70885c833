package dewwing.control.sharing

import dewwing.control.core.sharing.PlannerPolicy
import dewwing.protocol.Duration
import dewwing.protocol.Settings

/** Operators' settings of sharing; without them a single leader does all the work. */
data class SharingOptions(
    /** Number of shards; decided by the controller that switches sharing on, and kept until it is off again. */
    val shards: Int,
    val planner: PlannerPolicy = PlannerPolicy(),
    /** How long an owner waits for its logged starts to show before it hands a shard over. */
    val settleWithin: Duration = Duration(3_000),
) {
    /** What is wrong with them under these [settings], naming the flag; null if nothing is. */
    fun problem(settings: Settings): String? {
        val controllers = settings.peers.size + 1
        return when {
            shards < controllers -> "--shards must be at least $controllers, the number of controllers"
            shards > MAX_SHARDS -> "--shards must be at most $MAX_SHARDS"
            settleWithin.ms > settings.workers.leaseDuration.ms / 2 -> "--shard-settle must be at most half of workers.lease_s"
            planner.moveDeadline <= settleWithin -> "--shard-move-deadline must be longer than --shard-settle"
            else -> null
        }
    }

    companion object {
        /** Every controller reads three small records of each shard several times a second. */
        const val MAX_SHARDS = 100
    }
}
