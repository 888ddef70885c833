package dewwing.world

/** A trouble that a meeting puts at a chosen moment. */
enum class Kind {
    REFUSED_ALONE,
    OUTAGE,
    CANCEL_NOW,
    CANCEL_AT_END,
    LATE_WRITES,
    WATCH_HANGS,
    DEAF,
    MUTE,
    HANG,
    CUT,
    ZONE_CUT,
    FREEZE,
    CRASH,
    ALL_CRASH,
    ROLL,
    LONE,
    DIE,
    AWAY,
}

/** [kind] begins [atMs] into the history and lasts [forMs]. */
data class Met(
    val kind: Kind,
    val atMs: Long,
    val forMs: Long,
)

/** What may go wrong, and how often. */
data class Trouble(
    val crashEveryMs: Long = 20_000,
    val loseAnswer: Double = 0.05,
    val lateCommit: Double = 0.03,
    val cutEveryMs: Long = 15_000,
    val hangEveryMs: Long = 30_000,
    val takeEveryMs: Long = 40_000,
    val errorShare: Double = 0.02,
    /** A machine's reports arrive, but neither answers nor commands reach it. */
    val deafEveryMs: Long = 45_000,
    /** Share of reports of which a copy comes again, seconds to well over a lease later. */
    val lateCopy: Double = 0.05,
    /** A controller loses the state service and its siblings, but not its workers. */
    val loneEveryMs: Long = 30_000,
    /** Least time after which a crashed controller is back. */
    val backMs: Long = 50,
    /** A third of all machines at once is cut, hangs or dies. */
    val massEveryMs: Long = NEVER,
    /** All controllers are restarted one after the other. */
    val rollEveryMs: Long = NEVER,
    /** The longest time that a new leader takes to read the state service; it answers reports meanwhile. */
    val rebuildMs: Long = 0,
    /** Share of jobs that fail on every machine until their users end them. */
    val mistaken: Double = 0.0,
) {
    companion object {
        const val NEVER = Long.MAX_VALUE / 64
    }
}
