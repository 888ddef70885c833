package dewwing.control.core.leadership

import dewwing.protocol.Duration
import dewwing.protocol.Incarnation
import dewwing.protocol.Instant
import dewwing.protocol.Term
import dewwing.protocol.WorkerTimes

/**
 * The last heartbeat of a peer controller, as of [requestedAt]. [hasAllCancellations] is set if the heartbeat contained every
 * cancellation that the peer has confirmed to users and that this leader may not have read; a heartbeat without them does
 * not count for the outage rule.
 */
data class PeerHeartbeat(
    val requestedAt: Instant,
    val reachesState: Boolean,
    val highestTerm: Term,
    val incarnation: Incarnation,
    val hasAllCancellations: Boolean,
)

/** What the leader may do at present. */
enum class Authority {
    /** Do everything that a leader does. */
    FULL,

    /**
     * Renew the leases of workers that run tasks, and start nothing: no controller can reach the state service, or a successor
     * may be elected at any moment.
     */
    RENEW_ONLY,
    NONE,
}

/** The durations that limit how long a leader may act on the last information it has received. */
data class LeadershipTimes(
    /** Lifetime of the leader's state lease. */
    val stateLeaseTtl: Duration,
    /** The leader stops relying on its state lease this long before the lease can expire. */
    val stateLeaseMargin: Duration,
    /** Maximum age of a peer's heartbeat during an outage of the state service. */
    val maxHeartbeatAge: Duration,
    /** Maximum age of the leader's last read of the jobs while it renews worker leases; see [Leadership.knowsCancellations]. */
    val maxReadAge: Duration,
    /** Whether a leader may renew worker leases before it has restored its state, if its predecessor had restored its own. */
    val mayRenewBeforeRestore: Boolean,
    /** How long a leader that has offered its term to a successor may go on renewing worker leases after the successor's election. */
    val maxSuccessionOverlap: Duration,
) {
    /**
     * How long a watch of the jobs may stay open without a change. Its answer proves the state only as of the time the
     * watch was sent, and must last until the next answer, so two intervals and a round trip must fit into [maxReadAge].
     * With a fixed interval of 4 s, a leader whose settings leave less than 8 s, and with a peer down, did not know of
     * recent cancellations for most of the time: it turned its workers away and their leases expired again and again, as
     * in versions 0.4.0 and 0.5.0.
     */
    val watchInterval: Duration
        get() = Duration(((maxReadAge.ms - WATCH_ROUND_TRIP_MS) / 2).coerceIn(MIN_WATCH_INTERVAL_MS, MAX_WATCH_INTERVAL_MS))

    /**
     * Whether watches that return without a change keep the leader up to date on cancellations, as long as the state
     * service answers them.
     */
    val watchesSuffice: Boolean get() = watchInterval.ms * 2 + WATCH_ROUND_TRIP_MS <= maxReadAge.ms

    companion object {
        /**
         * Derives the times from the settings. A leader that does not know of a cancellation may renew the worker's
         * lease once more; that last renewal plus a lease (with clock drift and timer granularity) must end within the
         * time limit for cancellations.
         *
         * A predecessor may have made its last such renewal [maxReadAge] after the cancellation, and a new leader that
         * has not restored its state may make another one within a lease of that. It may do so only if two leases and
         * [maxReadAge] fit into the time limit.
         */
        fun of(
            workers: WorkerTimes,
            stateLeaseTtl: Duration,
            maxHeartbeatAge: Duration,
        ): LeadershipTimes {
            val workerLease = leaseWithDrift(workers.leaseDuration)
            val maxAge = Duration(workers.cancellationLimit.ms - workerLease.ms - ANSWER_DELAY.ms)
            val maxReadAge = Duration(minOf(MAX_READ_AGE.ms, maxAge.ms).coerceAtLeast(0))
            return LeadershipTimes(
                stateLeaseTtl,
                Duration(STATE_LEASE_MARGIN_MS),
                maxHeartbeatAge = Duration(minOf(maxHeartbeatAge.ms, maxAge.ms).coerceAtLeast(0)),
                maxReadAge = maxReadAge,
                mayRenewBeforeRestore = workerLease.ms + maxReadAge.ms <= maxAge.ms,
                maxSuccessionOverlap = maxHeartbeatAge,
            )
        }

        /** The longest that a worker's lease may last by this process's clock, given clock drift and timer granularity. */
        fun leaseWithDrift(lease: Duration) = Duration((lease.ms * CLOCK_DRIFT_FACTOR).toLong() + TIMER_SLACK_MS)

        /** A monotonic clock may drift by 0.05%; twice that, since both clocks may be off. */
        private const val CLOCK_DRIFT_FACTOR = 1.001
        private const val TIMER_SLACK_MS = 250L
        private const val STATE_LEASE_MARGIN_MS = 250L

        /** A watch's round trip; the state service occasionally takes a few hundred milliseconds to answer. */
        private const val WATCH_ROUND_TRIP_MS = 1_000L
        private const val MIN_WATCH_INTERVAL_MS = 250L
        private const val MAX_WATCH_INTERVAL_MS = 3_000L

        /** Time from the check of the authority until the answer is sent; the process may be short of CPU time. */
        private val ANSWER_DELAY = Duration(1_000)

        /** Covers a watch that hangs until its timeout, and the answer of the next one. */
        val MAX_READ_AGE = Duration(8_000)
    }
}

/**
 * Decides whether this controller may still act as leader.
 *
 * It may while its state lease is valid. After that it may only renew worker leases, and only as long as every peer has
 * reported within the maximum heartbeat age that it cannot reach the state service either and knows of no higher term:
 * no other controller can be elected then. The sequence of heartbeats must not be interrupted: after a gap, a peer may have been
 * elected and restarted unnoticed. This authority therefore ends within the maximum heartbeat age after a successor's
 * election.
 *
 * A leader that has offered its term to a successor only renews worker leases, since the successor may be elected at any
 * moment. Its state lease then proves nothing; what does is a read of the holder record that still names this leader. Its
 * authority ends [LeadershipTimes.maxSuccessionOverlap] after the last such read was requested.
 *
 * Renewing a worker's lease keeps its tasks running, including those of jobs whose cancellation the leader does not know
 * of. It therefore renews leases only while it [knowsCancellations], and stops early enough for a worker's lease to expire
 * within the time limit for cancellations.
 */
class Leadership(
    val times: LeadershipTimes,
    private val peers: Set<String>,
) {
    var term: Term = Term.NONE
        private set

    /** Until then no other controller acts as leader: the state lease is valid, or a read has just shown that no successor is elected. */
    private var validUntil: Instant = Instant.DISTANT_PAST

    /** When the last answered renewal of the state lease was sent. */
    private var leaseRenewedAt: Instant = Instant.DISTANT_PAST
    private var resigned = true

    /** Whether a successor may be named in the holder record. */
    private var successionOffered = false

    /**
     * The sequence of peer heartbeats was interrupted. Only a renewal of the state lease resets this, since it proves that
     * the lease was still valid.
     */
    private var heartbeatsInterrupted = false
    private val heartbeats = HashMap<String, PeerHeartbeat>()

    /** When the first heartbeat of each peer's current incarnation arrived. */
    private val incarnationSeenAt = HashMap<String, Instant>()

    /** When the most recent answered read of all jobs in this term was sent. */
    private var jobsReadAt = Instant.DISTANT_PAST

    /** Highest term observed from any source. */
    var highestTerm: Term = Term.NONE
        private set

    fun observeTerm(term: Term) {
        if (term > highestTerm) highestTerm = term
    }

    /**
     * [heartbeat] arrived at [now]; its cancellations have already been passed on to the schedulers. Returns true if it is the
     * first one of the peer's current incarnation, which counts only after another read of the jobs.
     */
    fun onHeartbeat(
        peer: String,
        heartbeat: PeerHeartbeat,
        now: Instant,
    ): Boolean {
        val previous = heartbeats.put(peer, heartbeat)
        val isFirst = previous == null || previous.incarnation != heartbeat.incarnation
        if (isFirst) incarnationSeenAt[peer] = now
        observeTerm(heartbeat.highestTerm)
        return isFirst
    }

    /**
     * Takes over what [other], a leadership of this controller that ends, has heard from the peers. Otherwise the outage rule
     * would not hold until each peer has been heard again and the jobs have been read after that. Cancellations told by
     * heartbeats that were requested after [jobsReadAt] have reached the other leadership only, so these heartbeats do not count.
     */
    fun inheritHeartbeats(
        other: Leadership,
        jobsReadAt: Instant,
    ) {
        for ((peer, heartbeat) in other.heartbeats) {
            val isKnownHere = heartbeat.hasAllCancellations && heartbeat.requestedAt <= jobsReadAt
            heartbeats[peer] = heartbeat.copy(hasAllCancellations = isKnownHere)
        }
        incarnationSeenAt.putAll(other.incarnationSeenAt)
    }

    /** This controller was elected for [term], under a state lease whose last renewal was sent at [leaseSentAt]. */
    fun elected(
        term: Term,
        leaseSentAt: Instant,
    ) {
        this.term = term
        observeTerm(term)
        resigned = false
        successionOffered = false
        jobsReadAt = Instant.DISTANT_PAST
        leaseRenewedAt = Instant.DISTANT_PAST
        stateLeaseRenewed(leaseSentAt)
    }

    /** The lease's lifetime counts from when the renewal was sent, since the state service may have applied it at once. */
    fun stateLeaseRenewed(sentAt: Instant) {
        leaseRenewedAt = maxOf(leaseRenewedAt, sentAt)
        if (successionOffered) return
        validUntil = maxOf(validUntil, leaseRenewedAt + stateLeaseValidity)
        heartbeatsInterrupted = false
    }

    private val stateLeaseValidity = Duration(times.stateLeaseTtl.ms - times.stateLeaseMargin.ms)

    /** A successor is about to be named in the holder record. */
    fun offerSuccession(now: Instant) {
        successionOffered = true
        validUntil = minOf(validUntil, now + times.maxSuccessionOverlap)
    }

    /** A read requested at [requestedAt] has shown the holder record of this term: no successor had been elected by then. */
    fun holderRecordRead(requestedAt: Instant) {
        if (!successionOffered) return
        validUntil = maxOf(validUntil, requestedAt + times.maxSuccessionOverlap)
        heartbeatsInterrupted = false
    }

    /** No successor is named in the holder record any more, and no earlier write can name one. */
    fun successionWithdrawn() {
        successionOffered = false
        validUntil = leaseRenewedAt + stateLeaseValidity
    }

    /** This controller now knows every change of a job that the state service knew of at [requestedAt]. */
    fun jobsRead(requestedAt: Instant) {
        if (requestedAt > jobsReadAt) jobsReadAt = requestedAt
    }

    fun resign() {
        resigned = true
        successionOffered = false
        validUntil = Instant.DISTANT_PAST
    }

    fun authority(
        now: Instant,
        stateFailing: Boolean,
    ): Authority {
        if (resigned || highestTerm > term) return Authority.NONE
        if (now < validUntil) return if (successionOffered) Authority.RENEW_ONLY else Authority.FULL
        if (heartbeatsInterrupted) return Authority.NONE
        if (stateFailing && peers.isNotEmpty() && peersSentCancellations(now) && heartbeats.values.none { it.reachesState }) {
            return Authority.RENEW_ONLY
        }
        heartbeatsInterrupted = true
        return Authority.NONE
    }

    /**
     * Whether this controller knows every cancellation confirmed to users except the most recent ones, either from a
     * recent read of the state service or from the heartbeats of all peers. Otherwise it must not renew worker leases.
     */
    fun knowsCancellations(now: Instant): Boolean = now - jobsReadAt <= times.maxReadAge || peersSentCancellations(now)

    /** Whether the last read of the jobs is recent enough to start tasks based on it. */
    fun mayLaunchTasks(now: Instant): Boolean = now - jobsReadAt <= LeadershipTimes.MAX_READ_AGE

    /**
     * Whether this leader may renew worker leases before it has restored its state. [predecessorReady] says whether the
     * previous leader had restored its own.
     */
    fun mayRenewBeforeRestore(predecessorReady: Boolean): Boolean = times.mayRenewBeforeRestore && predecessorReady

    /**
     * Whether every peer has recently sent all cancellations that it confirmed to users. Those confirmed by a peer's
     * earlier incarnations must come from a read: these incarnations had ended before the first heartbeat of the
     * current one arrived, so a read sent after that includes their cancellations.
     */
    private fun peersSentCancellations(now: Instant): Boolean =
        peers.all { name ->
            val heartbeat = heartbeats[name]
            val seenAt = incarnationSeenAt[name]
            heartbeat != null && seenAt != null && heartbeat.hasAllCancellations &&
                now - heartbeat.requestedAt <= times.maxHeartbeatAge && seenAt <= jobsReadAt
        }
}
