package dewwing.control.core.sharing

import dewwing.protocol.Duration
import dewwing.protocol.Instant

/** What is under way in a shard that a successor would have to find out. */
data class Unsettled(
    /** Starts that are logged but not yet seen on their machines. */
    val tasks: Int,
    /** Gangs of which some members are seen and others are not. */
    val partialGangs: Int,
) {
    val isSettled: Boolean get() = tasks == 0 && partialGangs == 0
}

/** How far the move of a shard to another controller has come at its present owner. */
enum class HandOffPhase {
    /** Not to be moved. */
    NONE,

    /** Starts nothing new and waits for what has been started to show; everything else goes on. */
    DRAINING,

    /** Gives its lease back: the next owner may be elected. */
    RELEASED,
}

/** Why a move was given up. */
enum class HandOffFailure { TARGET_LOST, GANG_INCOMPLETE }

/**
 * The present owner's side of a shard's move.
 *
 * The plan names another owner: the shard drains, then its lease is given back. Nothing is lost if either side ends
 * meanwhile, since the next owner takes over as after any failure; draining only spares gangs that are half started a
 * restart. A gang that stays incomplete for [gangWithin] withdraws the move; other starts are waited for [settleWithin].
 */
class HandOff(
    private val self: String,
    private val settleWithin: Duration,
    private val gangWithin: Duration,
) {
    var phase = HandOffPhase.NONE
        private set
    var target: String? = null
        private set
    var since: Instant = Instant.DISTANT_PAST
        private set

    /** Set when a move was just given up; the plan's next change clears it. */
    var failure: HandOffFailure? = null
        private set
    private var failedTarget: String? = null

    /** Whether new work may be started. */
    val mayStart: Boolean get() = phase == HandOffPhase.NONE

    /** [planned] is to own the shard; [targetAble] says that it is heard and reaches the state service. */
    fun advance(
        planned: String?,
        targetAble: Boolean,
        unsettled: Unsettled,
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
        if (!targetAble) {
            if (phase == HandOffPhase.DRAINING) fail(HandOffFailure.TARGET_LOST, planned)
            return phase
        }
        if (phase == HandOffPhase.NONE || target != planned) begin(planned, now)
        val waited = now - since
        when {
            unsettled.isSettled -> phase = HandOffPhase.RELEASED
            unsettled.partialGangs > 0 && waited >= gangWithin -> fail(HandOffFailure.GANG_INCOMPLETE, planned)
            unsettled.partialGangs == 0 && waited >= settleWithin -> phase = HandOffPhase.RELEASED
        }
        return phase
    }

    private fun begin(
        planned: String,
        now: Instant,
    ) {
        phase = HandOffPhase.DRAINING
        target = planned
        since = now
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
        since = Instant.DISTANT_PAST
    }
}
