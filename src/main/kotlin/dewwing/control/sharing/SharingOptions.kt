package dewwing.control.sharing

import dewwing.control.core.sharing.PlannerPolicy
import dewwing.protocol.Duration
import dewwing.protocol.Settings

/** Options of sharding; a controller without them runs without shards, under a single leader. */
data class SharingOptions(
    /** Number of shards. The controller that enables sharding decides it; it stays in force until sharding is disabled. */
    val shards: Int,
    val planner: PlannerPolicy = PlannerPolicy(),
    /** How long a draining shard waits until its logged starts are reported by their machines. */
    val startConfirmTimeout: Duration = Duration(3_000),
) {
    /** Why the options are not valid under [settings], with the name of the flag; null if they are valid. */
    fun validationError(settings: Settings): String? {
        val controllers = settings.peers.size + 1
        return when {
            shards < controllers -> "--shards must be at least $controllers, the number of controllers"
            shards > MAX_SHARDS -> "--shards must be at most $MAX_SHARDS"
            startConfirmTimeout.ms > settings.workers.leaseDuration.ms / 2 -> "--shard-settle must be at most half of workers.lease_s"
            planner.moveDeadline <= startConfirmTimeout -> "--shard-move-deadline must be longer than --shard-settle"
            else -> null
        }
    }

    companion object {
        /** Every controller reads three small records of each shard several times a second. */
        const val MAX_SHARDS = 100
    }
}
