package dewwing.control.core.leadership

import dewwing.protocol.Incarnation
import dewwing.protocol.Instant
import dewwing.protocol.Span
import dewwing.protocol.Term
import dewwing.protocol.WorkerTimes

/**
 * What a sibling last said of itself. [hasAllCancellations] says that its heartbeat brought every cancellation it had told users of and
 * that this leader may not have read; without that it does not count for the outage rule.
 */
data class PeerHeartbeat(
    val at: Instant,
    val reachesState: Boolean,
    val highestTerm: Term,
    val incarnation: Incarnation,
    val hasAllCancellations: Boolean,
)

/** What the leader may do at a moment. */
enum class Authority {
    /** Everything. */
    FULL,

    /** Renew leases of running work, and nothing new: the state service is down for everybody. */
    RENEW_ONLY,
    NONE,
}

/** The spans that decide for how long a leader may act on what it has last heard. */
data class LeadershipTimes(
    /** Life of the hold on the state service. */
    val holdTtl: Span,
    val holdMargin: Span,
    /** How old a sibling's heartbeat may be in an outage. */
    val heartbeatAge: Span,
    /** How old the leader's reading of the jobs may be while it renews leases; see [Leadership.informed]. */
    val readingAge: Span,
    /** A leader that has not read its picture yet may renew leases if its predecessor had one. */
    val mayInherit: Boolean,
) {
    /**
     * How long a watch of the jobs may stay open without a change. Its answer proves only what was so when it was asked
     * for, and it counts until the next one's answer: two intervals and the answer's way must lie within [readingAge]. A
     * fixed 4 s left a leader with a sibling down uninformed for most of the time where the settings leave less than 8 s:
     * it turned its workers away, and their leases ran out again and again (checks of real processes, 0.4.0 and 0.5.0).
     */
    val readingEvery: Span
        get() = Span(((readingAge.ms - READING_SLACK_MS) / 2).coerceIn(SHORTEST_READING_MS, LONGEST_READING_MS))

    /** Whether quiet watches alone keep the leader informed, as long as the state service answers them. */
    val readingsSuffice: Boolean get() = readingEvery.ms * 2 + READING_SLACK_MS <= readingAge.ms

    companion object {
        /**
         * From the settings: whatever a leader has not heard of, the last renewal it gives in ignorance plus a lease
         * (with the clocks' drift and the timers' steps) must lie within the time that a cancellation has.
         *
         * A predecessor may have given its last ignorant renewal a reading's age after the cancellation, and a new
         * leader without a picture one more within a lease of that: only where two leases and a reading's age fit
         * into the time may it give that one.
         */
        fun of(
            workers: WorkerTimes,
            holdTtl: Span,
            heartbeatAge: Span,
        ): LeadershipTimes {
            val lease = leaseWithDrift(workers.lease)
            val room = Span(workers.cancel.ms - lease.ms - ANSWER.ms)
            val reading = Span(minOf(READING_AGE.ms, room.ms).coerceAtLeast(0))
            return LeadershipTimes(
                holdTtl,
                Span(HOLD_MARGIN_MS),
                heartbeatAge = Span(minOf(heartbeatAge.ms, room.ms).coerceAtLeast(0)),
                readingAge = reading,
                mayInherit = lease.ms + reading.ms <= room.ms,
            )
        }

        /** The longest that a worker's lease may last by our clock: two steady clocks drift, timers fire in steps. */
        fun leaseWithDrift(lease: Span) = Span((lease.ms * LEASE_DRIFT).toLong() + LEASE_SLACK_MS)

        /** Two steady clocks may drift apart by 0.05%; twice that, since both may be off. */
        private const val LEASE_DRIFT = 1.001
        private const val LEASE_SLACK_MS = 250L
        private const val HOLD_MARGIN_MS = 250L

        /** A watch's way there and back; the state service now and then takes a few hundred milliseconds. */
        private const val READING_SLACK_MS = 1_000L
        private const val SHORTEST_READING_MS = 250L
        private const val LONGEST_READING_MS = 3_000L

        /** From the look at the authority to the answer: the process may be short of processor time. */
        private val ANSWER = Span(1_000)

        /** A watch that hangs, its timeout and the next one's answer. */
        val READING_AGE = Span(8_000)
    }
}

/**
 * Whether this controller may still act as leader.
 *
 * While its hold runs it may. Past that it may only renew leases, as long as every sibling has said within the heartbeat's
 * age that it cannot reach the state service either and knows no higher term: nobody can be elected then. The chain of
 * heartbeats must not break: once it has, a sibling may have been elected and restarted unnoticed. After a successor's
 * election this authority therefore ends within the heartbeat's age.
 *
 * Renewing a lease keeps the tasks of jobs alive whose cancellation it has not heard of. So it renews only while it is
 * [informed], and gives that up early enough for a lease to run out within the time that a cancellation has.
 */
class Leadership(
    val times: LeadershipTimes,
    private val siblings: Set<String>,
) {
    var term: Term = Term.NONE
        private set
    private var holdUntil: Instant = Instant.NEVER
    private var resigned = true

    /** The chain of sibling heartbeats has broken; only a renewal, which proves that the hold still ran, mends that. */
    private var broken = false
    private val heartbeats = HashMap<String, PeerHeartbeat>()

    /** When each sibling's present incarnation was first heard of. */
    private val firstHeard = HashMap<String, Instant>()

    /** When the newest answered reading of all jobs was asked for, in this term. */
    private var readAt = Instant.NEVER

    /** Highest term heard of from anywhere. */
    var highestTerm: Term = Term.NONE
        private set

    fun heardTerm(term: Term) {
        if (term > highestTerm) highestTerm = term
    }

    /** [heartbeat] came in [now]; its cancellations have been passed on to whoever must know them. */
    fun heard(
        sibling: String,
        heartbeat: PeerHeartbeat,
        now: Instant,
    ) {
        val before = heartbeats.put(sibling, heartbeat)
        if (before == null || before.incarnation != heartbeat.incarnation) firstHeard[sibling] = now
        heardTerm(heartbeat.highestTerm)
    }

    /** Elected, under a hold whose last renewal was sent at [holdSentAt]. */
    fun elected(
        term: Term,
        holdSentAt: Instant,
    ) {
        this.term = term
        heardTerm(term)
        resigned = false
        readAt = Instant.NEVER
        renewed(holdSentAt)
    }

    /** The renewal counts from when it was sent: the service may have done it at once. */
    fun renewed(sentAt: Instant) {
        val until = sentAt + Span(times.holdTtl.ms - times.holdMargin.ms)
        if (until > holdUntil) holdUntil = until
        broken = false
    }

    /** Every change of a job that the state service knew of at [askedAt] is known here now. */
    fun readJobs(askedAt: Instant) {
        if (askedAt > readAt) readAt = askedAt
    }

    fun resign() {
        resigned = true
        holdUntil = Instant.NEVER
    }

    fun authority(
        now: Instant,
        stateFailing: Boolean,
    ): Authority {
        if (resigned || highestTerm > term) return Authority.NONE
        if (now < holdUntil) return Authority.FULL
        if (broken) return Authority.NONE
        if (stateFailing && siblings.isNotEmpty() && informedByPeers(now) && heartbeats.values.none { it.reachesState }) {
            return Authority.RENEW_ONLY
        }
        broken = true
        return Authority.NONE
    }

    /**
     * Whether every cancellation that users were told of is known here, but for those of the last moments: read from
     * the state service lately, or told by every sibling. A leader that is not must renew no lease.
     */
    fun informed(now: Instant): Boolean = now - readAt <= times.readingAge || informedByPeers(now)

    /** Whether the reading of the jobs is so new that a task may be started on it. */
    fun mayStart(now: Instant): Boolean = now - readAt <= LeadershipTimes.READING_AGE

    /** A leader that has not read its picture yet may renew leases: [predecessorReady] says that the one before had. */
    fun mayInherit(predecessorReady: Boolean): Boolean = times.mayInherit && predecessorReady

    /**
     * Every sibling has lately told all it told its users. What its earlier incarnations told must have been read: they
     * had ended before the present one was first heard, so a reading asked for after that shows it.
     */
    private fun informedByPeers(now: Instant): Boolean =
        siblings.all { name ->
            val heartbeat = heartbeats[name]
            val since = firstHeard[name]
            heartbeat != null && since != null && heartbeat.hasAllCancellations && now - heartbeat.at <= times.heartbeatAge &&
                since <= readAt
        }
}
