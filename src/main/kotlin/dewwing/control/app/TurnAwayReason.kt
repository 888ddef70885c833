package dewwing.control.app

/** Why a controller does not renew the lease of a worker that reports to it. */
enum class TurnAwayReason {
    /** Another controller leads, or none. */
    NOT_LEADING,

    /** This controller leads, but another one may have been elected. */
    NO_AUTHORITY,

    /** This controller was elected and has not restored its state. */
    NOT_RESTORED,

    /** This controller may not know of recent cancellations. */
    CANCELLATIONS_UNKNOWN,
}
