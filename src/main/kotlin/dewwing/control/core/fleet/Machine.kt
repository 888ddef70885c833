package dewwing.control.core.fleet

import dewwing.control.core.job.Attempt
import dewwing.control.core.job.Job
import dewwing.protocol.Endpoint
import dewwing.protocol.Instant
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.ReportPosition
import dewwing.protocol.Resources
import dewwing.protocol.TaskRef

/** What is known of one machine. Its type is unknown while only a log names it. */
class Machine(
    val id: MachineId,
    val knownSince: Instant,
) {
    var type: MachineType? = null
        set(value) {
            field = value
            free = (value?.size ?: Resources.NONE) - used
        }
    var zone: String = ""
    var spot: Boolean = false
    var endpoint: Endpoint? = null

    /** Rental time as far as known, for judging slow starters. */
    var rentedAt: Instant = knownSince

    /** The newest report; late ones are told by it. */
    var position = ReportPosition(0, 0)

    /** Last time a report of this machine was answered with our term. */
    var lastAnswered: Instant = Instant.DISTANT_PAST

    /** When its newest report came. */
    var heardAt: Instant = Instant.DISTANT_PAST

    /** It reports to us and its lease runs. */
    var up = false

    /** Since when its reports come but our answers do not seem to reach it; nothing new is put there meanwhile. */
    var deafSince: Instant? = null

    /** It has shown that it knows our term: nothing sent by an older leader can reach it any more. */
    var settled = false

    /** Ordered and rented under this leader, so that no older leader can have started anything there. */
    var rentedInTerm = false

    /** The session whose lease ran out; whatever arrives from it is late. */
    var lapsedSession = -1L
    var lapsedAt: Instant? = null

    /** The cloud takes it back at about this time. */
    var noticeAt: Instant? = null

    /** A release is to be logged, is logged, or was carried out. */
    var release = ReleaseStage.NONE
    var idleSince: Instant = knownSince
    var lastListed: Instant? = null
    var listedFailed = false

    /** The job for which tasks were stopped here; nobody else may take the room. */
    var keptFor: Job? = null

    /** Jobs that failed here; a machine on which several different jobs fail is faulty. */
    val failedJobs = HashSet<String>()
    var faulty = false

    /** When it last held work that needs its accelerators, or came up for it. */
    var lastProper: Instant? = null

    val attempts = LinkedHashMap<TaskRef, Attempt>()
    var used = Resources.NONE
        private set(value) {
            field = value
            free = (type?.size ?: Resources.NONE) - value
        }

    /** What is left; kept, since each round asks it of every machine. */
    var free = Resources.NONE
        private set

    /** Images it has fetched, most recent last. */
    val images = LinkedHashSet<String>()

    /** What it is, from whoever tells first: a report, a list or the answer to a rental. */
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
        if (attempt.job.spec.need.accelerators > 0) lastProper = now
    }

    /** New work may be put here. */
    val accepts: Boolean
        get() = up && settled && type != null && noticeAt == null && release == ReleaseStage.NONE && !faulty && deafSince == null

    fun sawImage(image: String) {
        images.remove(image)
        images.add(image)
        while (images.size > MAX_IMAGES) images.remove(images.first())
    }

    companion object {
        private const val MAX_IMAGES = 64
    }
}

enum class ReleaseStage { NONE, WANTED, LOGGED, GONE }
