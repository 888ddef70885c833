package dewwing.control.core.fleet

import dewwing.control.core.job.Attempt
import dewwing.control.core.job.EventNumber
import dewwing.control.core.job.Job
import dewwing.control.core.placement.Zoned
import dewwing.protocol.Endpoint
import dewwing.protocol.Instant
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.ReportPosition
import dewwing.protocol.Resources
import dewwing.protocol.TaskRef

/** Known state of one machine. The type is null as long as the machine is known from log records only. */
class Machine(
    val id: MachineId,
    val knownSince: Instant,
) : Zoned {
    var type: MachineType? = null
        set(value) {
            field = value
            free = (value?.size ?: Resources.NONE) - used
        }
    override var zone: String = ""
    var spot: Boolean = false
    var endpoint: Endpoint? = null

    /** When it was rented, as far as known; shows whether its boot takes too long. */
    var rentedAt: Instant = knownSince

    /** Position of the newest report; reports that arrive late are detected by it. */
    var position = ReportPosition(0, 0)

    /** When a report of this machine was last answered with the current term. */
    var lastAnsweredAt: Instant = Instant.DISTANT_PAST

    /** When its newest report arrived. */
    var lastReportAt: Instant = Instant.DISTANT_PAST

    /** The arrival of its newest report, in the order of the scheduler's events. */
    var lastReportEvent = EventNumber.NONE

    /** It reports to this leader and its lease has not expired. */
    var up = false

    /** Since when its reports arrive while the answers seem not to reach it; meanwhile no new tasks are placed there. */
    var answersLostSince: Instant? = null

    /** It has shown that it knows the current term, so orders of older leaders can no longer reach it. */
    var confirmedTerm = false

    /** It was ordered and rented by this leader, so no older leader can have started a task there. */
    var rentedInTerm = false

    /** Session whose lease has expired; reports of this session are late and ignored. */
    var expiredSession = -1L
    var leaseExpiredAt: Instant? = null

    /** Approximate time at which the cloud provider reclaims it. */
    var reclaimAt: Instant? = null

    /** Progress of its return to the cloud provider. */
    var release = ReleaseStage.NONE
    var idleSince: Instant = knownSince
    var lastListed: Instant? = null
    var listedFailed = false

    /** Job for which tasks were preempted here; no other job may use the freed capacity. */
    var reservedFor: Job? = null

    /** Jobs that failed here; a machine on which several different jobs failed is considered faulty. */
    val failedJobs = HashSet<String>()
    var faulty = false

    /** When it last held tasks that need its accelerators, or when it came up. */
    var lastAcceleratorWorkAt: Instant? = null

    val attempts = LinkedHashMap<TaskRef, Attempt>()
    var used = Resources.NONE
        private set(value) {
            field = value
            free = (type?.size ?: Resources.NONE) - value
        }

    /** Unused resources; stored, because each scheduling round reads them for every machine. */
    var free = Resources.NONE
        private set

    /** Images it has fetched, most recently used last. */
    val images = LinkedHashSet<String>()

    /**
     * Sets type, zone and whether it is a spot machine from the first source that has the type: a report, the cloud's list or
     * the answer to a rental. Later calls change nothing.
     */
    fun describe(
        type: MachineType?,
        zone: String,
        spot: Boolean,
    ) {
        if (this.type != null) return
        this.type = type
        this.zone = zone
        this.spot = spot
    }

    fun attach(attempt: Attempt) {
        attempts[attempt.ref] = attempt
        used += attempt.job.spec.need
    }

    fun detach(
        attempt: Attempt,
        now: Instant,
    ) {
        if (attempts[attempt.ref] !== attempt) return
        attempts.remove(attempt.ref)
        used = if (attempts.isEmpty()) Resources.NONE else used - attempt.job.spec.need
        if (attempts.isEmpty()) idleSince = now
        if (attempt.job.spec.need.accelerators > 0) lastAcceleratorWorkAt = now
    }

    /** New tasks may be placed here. */
    val schedulable: Boolean
        get() =
            up && confirmedTerm && type != null && reclaimAt == null && release == ReleaseStage.NONE && !faulty &&
                answersLostSince == null

    fun recordImage(image: String) {
        images.remove(image)
        images.add(image)
        while (images.size > MAX_IMAGES) images.remove(images.first())
    }

    companion object {
        private const val MAX_IMAGES = 64
    }
}

enum class ReleaseStage {
    NONE,

    /** The release record is yet to be written. */
    WANTED,

    /** The release record is written; the cloud has not confirmed the release. */
    LOGGED,

    /** The cloud has confirmed the release. */
    GONE,
}
