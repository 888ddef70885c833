package dewwing.control.core.sharing

import dewwing.protocol.Duration
import dewwing.protocol.Instant

/** Work in progress in a shard whose outcome a new owner would have to find out. */
data class UnconfirmedStarts(
    /** Starts that are logged but not yet reported by their machines. */
    val tasks: Int,
    /** Gangs of which some members are reported and others are not. */
    val partialGangs: Int,
) {
    val isEmpty: Boolean get() = tasks == 0 && partialGangs == 0
}

/** Progress of a shard's move to another controller, as seen by its current owner. */
enum class HandOffPhase {
    /** The shard is not to be moved. */
    NONE,

    /** The owner places no new tasks and waits for the tasks already placed to be reported; everything else continues. */
    DRAINING,

    /**
     * The owner offers the shard to the target, which is elected in its place; to a target of an older version, it releases its
     * state lease instead.
     */
    RELEASED,
}

/** Why a move was withdrawn. */
enum class HandOffFailure { TARGET_LOST, GANG_INCOMPLETE, OFFER_NOT_TAKEN }

/**
 * The current owner's side of a shard's move.
 *
 * When the plan names another owner, the shard drains and is then released to it. If either side fails meanwhile,
 * nothing is lost: the next owner takes over as after any failure. Draining only saves partly started gangs from a
 * restart. A gang that is still incomplete after [gangTimeout] withdraws the move. If there is no incomplete gang, the
 * shard is released after [startConfirmTimeout] even if some starts have not been reported.
 */
class HandOff(
    private val self: String,
    private val startConfirmTimeout: Duration,
    private val gangTimeout: Duration,
) {
    var phase = HandOffPhase.NONE
        private set
    var target: String? = null
        private set
    var drainingSince: Instant = Instant.DISTANT_PAST
        private set

    /** Set when a move has been withdrawn; cleared when the plan names a different owner. */
    var failure: HandOffFailure? = null
        private set
    private var failedTarget: String? = null

    /** Whether new tasks may be placed; tasks whose placement is logged are launched in every phase. */
    val mayPlaceTasks: Boolean get() = phase == HandOffPhase.NONE

    /**
     * [planned] is the owner that the plan names; [targetAvailable] says whether it is reachable and in contact with the
     * state service.
     */
    fun advance(
        planned: String?,
        targetAvailable: Boolean,
        unconfirmed: UnconfirmedStarts,
        now: Instant,
    ): HandOffPhase {
        if (phase == HandOffPhase.RELEASED) return phase
        if (planned != failedTarget) {
            failure = null
            failedTarget = null
        }
        if (planned == null || planned == self || planned == failedTarget) {
            reset()
            return phase
        }
        if (!targetAvailable) {
            if (phase == HandOffPhase.DRAINING) fail(HandOffFailure.TARGET_LOST, planned)
            return phase
        }
        if (phase == HandOffPhase.NONE || target != planned) begin(planned, now)
        val elapsed = now - drainingSince
        when {
            unconfirmed.isEmpty -> phase = HandOffPhase.RELEASED
            unconfirmed.partialGangs > 0 && elapsed >= gangTimeout -> fail(HandOffFailure.GANG_INCOMPLETE, planned)
            unconfirmed.partialGangs == 0 && elapsed >= startConfirmTimeout -> phase = HandOffPhase.RELEASED
        }
        return phase
    }

    /** The target has not taken the released shard, and can no longer take it. */
    fun withdrawRelease() {
        target?.let { fail(HandOffFailure.OFFER_NOT_TAKEN, it) }
    }

    private fun begin(
        planned: String,
        now: Instant,
    ) {
        phase = HandOffPhase.DRAINING
        target = planned
        drainingSince = now
    }

    private fun fail(
        reason: HandOffFailure,
        planned: String,
    ) {
        reset()
        failure = reason
        failedTarget = planned
    }

    private fun reset() {
        phase = HandOffPhase.NONE
        target = null
        drainingSince = Instant.DISTANT_PAST
    }
}
