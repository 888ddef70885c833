package dewwing.control.core.fleet

import dewwing.control.core.CoreSettings
import dewwing.control.core.Effect
import dewwing.control.core.RentalRequest
import dewwing.control.core.WorkCounter
import dewwing.control.core.intent.Keys
import dewwing.control.core.intent.RecordKeys
import dewwing.control.core.intent.ReleaseRecord
import dewwing.control.core.intent.RentalRecord
import dewwing.control.core.job.ClassObjectives
import dewwing.control.core.job.Job
import dewwing.control.core.placement.PlacementConstraints
import dewwing.control.core.quota.Quota
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.Resources
import dewwing.protocol.Term
import org.slf4j.LoggerFactory
import kotlin.math.ceil
import kotlin.math.floor

/** Plans which machines are needed, and drives the rentals and releases that get there. */
class Fleet(
    private val settings: CoreSettings,
    private val term: Term,
    private val machines: MutableMap<MachineId, Machine>,
    private val types: Map<String, MachineType>,
    private val quota: Quota,
    private val workCounter: WorkCounter,
    private val objectives: ClassObjectives,
    /** When this leader's term started. */
    private val leaderSince: Instant,
    private val keys: RecordKeys = RecordKeys.SINGLE_LEADER,
) {
    private val log = LoggerFactory.getLogger("fleet")
    private val tunables = settings.tunables

    /** Progress of a rental; the order of the entries matters, as stages are compared. */
    private enum class RentalStage { TO_LOG, TO_REQUEST, REQUESTED, ANSWERED, ANSWER_LOGGED }

    private class Rental(
        var record: RentalRecord,
        var stage: RentalStage,
        var notBefore: Instant,
        val knownSince: Instant,
        /** Ordered by this leader, not restored from the log of an earlier one. */
        val isOwn: Boolean,
    )

    private val rentals = LinkedHashMap<String, Rental>()
    private val markets = RentalMarkets(types, ::pendingOrders)
    private val releaseCallDueAt = LinkedHashMap<MachineId, Instant>()

    /** Machines of each release record whose release the cloud has not confirmed yet. */
    private val unconfirmedReleases = LinkedHashMap<String, MutableSet<MachineId>>()
    private var nextRelease = 1L
    private val deletableRecords = LinkedHashSet<String>()

    /** Records of refused rentals that are yet to be deleted. */
    private val refusedRentals = HashSet<String>()
    private var nextRental = 1L
    private var lastPlanAt = Instant.DISTANT_PAST

    /** The cloud's list of machines has been read at least once under this leader. */
    var machinesListed = false

    /**
     * Within this time after a leader's start, every healthy machine has reported to it. It covers the longest report interval,
     * the wait for an answer from the previous leader, and detours via one or two other controllers.
     */
    private val firstReportsWithin = settings.workers.reportInterval * MAX_REPORT_INTERVAL_FACTOR + FIRST_REPORTS_MARGIN

    /** A machine that does not report, or that answers do not reach, is released after this time. */
    private val unreachableRetention = maxOf(MIN_UNREACHABLE_RETENTION, settings.workers.reportInterval * UNREACHABLE_RETENTION_REPORTS)

    // ---- events ----------------------------------------------------------------------------------------------

    fun restoreRental(
        key: String,
        record: RentalRecord,
        now: Instant,
    ) {
        val stage = if (record.rented == null) RentalStage.TO_REQUEST else RentalStage.ANSWER_LOGGED
        rentals[key] = Rental(record, stage, now, now, isOwn = false)
        record.rented?.forEach { describedMachine(it, record.request, now) }
    }

    fun onReleaseLogged(
        key: String,
        record: ReleaseRecord,
    ) {
        unconfirmedReleases[key] = LinkedHashSet(record.machines)
        for (id in record.machines) releaseCallDueAt[id] = Instant.DISTANT_PAST
    }

    fun onReleased(id: MachineId) {
        log.info("cloud confirmed the release of machine {}", id)
        releaseCallDueAt.remove(id)
        for ((key, unconfirmed) in unconfirmedReleases) if (unconfirmed.remove(id) && unconfirmed.isEmpty()) deletableRecords.add(key)
    }

    fun onMachineUp(machine: Machine) {
        log.info("machine {} came up: type {}{} in zone {}", machine.id, machine.type?.name, spotLabel(machine.spot), machine.zone)
    }

    fun onRented(
        key: String,
        rented: List<MachineId>?,
        now: Instant,
    ) {
        val rental = rentals[key] ?: return
        val request = rental.record.request
        val filled = rented != null && rented.size >= request.count
        markets.onAnswered(request.market, filled, now)
        if (rented == null) {
            log.info(
                "cloud has no capacity for {} machines of type {}{} in zone {}",
                request.count,
                request.type,
                spotLabel(request.spot),
                request.zone,
            )
            rentals.remove(key)
            deletableRecords.add(key)
            refusedRentals.add(key)
            return
        }
        log.info(
            "cloud rented out {} of {} machines of type {}{} in zone {}: {}",
            rented.size,
            request.count,
            request.type,
            spotLabel(request.spot),
            request.zone,
            rented,
        )
        rental.record = RentalRecord(request, rented)
        rental.stage = RentalStage.ANSWERED
        for (id in rented) describedMachine(id, request, now).rentedInTerm = rental.isOwn
    }

    /** The request was not answered: it is repeated with the same request id, so that the cloud does not rent twice. */
    fun onRentOutcomeUnknown(
        key: String,
        now: Instant,
    ) {
        val rental = rentals[key] ?: return
        rental.stage = RentalStage.TO_REQUEST
        rental.notBefore = now + tunables.collectorPeriod
    }

    fun onReleaseOutcomeUnknown(
        ids: List<MachineId>,
        now: Instant,
    ) {
        for (id in ids) if (id in releaseCallDueAt) releaseCallDueAt[id] = now + tunables.collectorPeriod
    }

    private fun spotLabel(spot: Boolean) = if (spot) " (spot)" else ""

    private fun describedMachine(
        id: MachineId,
        request: RentalRequest,
        now: Instant,
    ): Machine {
        val machine = machines.getOrPut(id) { Machine(id, now) }
        machine.describe(types[request.type], request.zone, request.spot)
        return machine
    }

    // ---- pending records and calls ---------------------------------------------------------------------------

    /** Records of the machines to be released, the most expensive first, each record of up to [maxBytes]. */
    fun releaseRecordsToWrite(maxBytes: Int): List<Pair<String, ReleaseRecord>> {
        val wanted = machines.values.filter { it.release == ReleaseStage.WANTED }
        if (wanted.isEmpty()) return emptyList()
        val perRecord = minOf(MAX_RELEASE_COUNT, maxOf(1, maxBytes / (wanted.maxOf { it.id.value.length } + RELEASE_ENTRY_OVERHEAD_BYTES)))
        return wanted
            .sortedByDescending { if (it.spot) it.type?.spotPrice else it.type?.price }
            .chunked(perRecord)
            .map { part -> keys.release(term, nextRelease++) to ReleaseRecord(part.map { it.id }) }
    }

    fun rentalRecordsToWrite(): List<Pair<String, RentalRecord>> =
        rentals.entries
            .filter { it.value.stage == RentalStage.TO_LOG || it.value.stage == RentalStage.ANSWERED }
            .map { it.key to it.value.record }

    fun onRentalRecordWritten(
        key: String,
        record: RentalRecord,
    ) {
        val rental = rentals[key] ?: return
        if (record.rented != null) {
            rental.stage = RentalStage.ANSWER_LOGGED
        } else if (rental.stage == RentalStage.TO_LOG) {
            rental.stage = RentalStage.TO_REQUEST
        }
    }

    /** Takes the rentals and releases that are logged and whose call is due. */
    fun takeEffects(now: Instant): List<Effect> {
        val effects = ArrayList<Effect>()
        for ((key, rental) in rentals) {
            if (rental.stage != RentalStage.TO_REQUEST || now < rental.notBefore) continue
            rental.stage = RentalStage.REQUESTED
            effects.add(Effect.Rent(key, rental.record.request))
        }
        val due = releaseCallDueAt.filterValues { it <= now }.keys.take(MAX_RELEASE_COUNT)
        if (due.isNotEmpty()) {
            for (id in due) releaseCallDueAt[id] = Instant.DISTANT_FUTURE
            effects.add(Effect.Release(due))
        }
        return effects
    }

    /** Records that may be deleted. Those of answered rentals are kept until every list of the cloud shows their machines. */
    fun recordsToDelete(now: Instant): List<String> {
        val retention = Duration(settings.cloud.listLag.ms * 2 + RECORD_RETENTION_MARGIN_MS)
        for ((key, rental) in rentals) {
            if (rental.stage == RentalStage.ANSWER_LOGGED && now - rental.knownSince > retention) deletableRecords.add(key)
        }
        return deletableRecords.toList()
    }

    fun wasRefused(rentalKey: String): Boolean = rentalKey in refusedRentals

    fun onRecordDeleted(key: String) {
        deletableRecords.remove(key)
        refusedRentals.remove(key)
        rentals.remove(key)
        unconfirmedReleases.remove(key)
    }

    // ---- planning --------------------------------------------------------------------------------------------

    /** Determines which machines are missing and which are superfluous. Orders are sent once their log record is written. */
    fun plan(
        now: Instant,
        ranked: List<Job>,
        wallNowMs: Long,
    ) {
        if (now - lastPlanAt < PLAN_INTERVAL) return
        lastPlanAt = now
        if (types.isEmpty()) return
        // Before its first list a new leader knows the types of hardly any machines and would order the whole fleet again.
        if (!machinesListed && now - leaderSince < firstReportsWithin) return
        val planned = plannedMachines(now)
        workCounter.count(machines.size + ranked.size)
        DemandCoverage(planned, types, markets, workCounter, now) { offer, count -> order(offer, count, now) }
            .cover(demand(ranked, now, wallNowMs))
        reserveStandby(planned, now)
        releaseUnneeded(now, planned)
    }

    private class Arrival(
        val at: Instant,
        val spec: JobSpec,
        val machines: Int,
    )

    /** Recent jobs whose start cannot wait for a machine to boot. */
    private val arrivals = ArrayDeque<Arrival>()

    fun onUrgentJobArrived(
        spec: JobSpec,
        now: Instant,
    ) {
        arrivals.addLast(Arrival(now, spec, minMachinesFor(spec)))
    }

    /**
     * Keeps or orders standby machines for a share of the jobs in [arrivals] that are expected within one boot time. Idle
     * machines count, and so do machines whose tasks may be preempted for these jobs. Machines that run tasks of the same
     * priority do not: when all machines run such tasks, the next job has to wait for a boot. Gangs that arrived in the first
     * minutes after a start, when this was the case, waited up to 27 s.
     */
    private fun reserveStandby(
        planned: List<PlannedMachine>,
        now: Instant,
    ) {
        while (arrivals.isNotEmpty() && now - arrivals.first().at > ARRIVAL_WINDOW) arrivals.removeFirst()
        val newest = arrivals.lastOrNull() ?: return
        val spec = newest.spec
        val preferred = PlacementConstraints.preferredTypes(spec, types.values)
        val leadS = preferred.minOfOrNull { it.bootS + fetchS(spec, it) } ?: return
        var missing = (arrivals.sumOf { it.machines } / ARRIVAL_WINDOW.seconds * leadS * STANDBY_SHARE).toInt() - STANDBY_MACHINES_SPARED
        for (standby in planned) {
            if (missing <= 0) return
            if (!PlacementConstraints.allowsMarket(spec, standby.type, standby.zone, standby.spot)) continue
            if (preferred.none { it.name == standby.type.name }) continue
            val preemptible =
                standby.machine
                    ?.attempts
                    ?.values
                    ?.filter { it.job.spec.urgency > spec.urgency && !it.job.isGang }
                    ?.fold(Resources.NONE) { sum, a -> sum + a.job.spec.need } ?: Resources.NONE
            if (!(standby.free + preemptible).canFit(spec.need)) continue
            standby.isClaimed = true
            missing--
        }
        if (missing <= 0) return
        val offer = markets.cheapest(spec, now) { missing } ?: return
        order(offer, minOf(missing, RentalMarkets.MAX_RENTAL_COUNT, markets.allowance(offer.market)), now)
    }

    private fun plannedMachines(now: Instant): MutableList<PlannedMachine> {
        val planned = ArrayList<PlannedMachine>()
        for (machine in machines.values) {
            val type = machine.type ?: continue
            if (machine.schedulable ||
                schedulableSoon(machine, type, now)
            ) {
                planned.add(PlannedMachine(type, machine.zone, machine.spot, machine.free, machine))
            }
        }
        for (rental in rentals.values) {
            if (rental.stage > RentalStage.REQUESTED) continue
            val request = rental.record.request
            val type = types[request.type] ?: continue
            repeat(request.count) { planned.add(PlannedMachine(type, request.zone, request.spot, type.size, null)) }
        }
        return planned
    }

    /** Whether the machine is not schedulable yet but should become so sooner than a machine ordered now. */
    private fun schedulableSoon(
        machine: Machine,
        type: MachineType,
        now: Instant,
    ): Boolean {
        if (machine.release != ReleaseStage.NONE || machine.listedFailed || machine.faulty || machine.reclaimAt != null) return false
        val expiredAt = machine.leaseExpiredAt
        val lostSince = machine.answersLostSince
        return when {
            // One or two more reports suffice to confirm that it knows the term, or that answers reach it again after a lost connection.
            machine.up -> lostSince == null || (expiredAt != null && now - lostSince < firstReportsWithin)

            expiredAt != null -> false

            (now - machine.rentedAt).seconds < type.bootS * SLOW_START_FACTOR + BOOT_MARGIN_S -> true

            else -> machine.lastListed != null && now - leaderSince < firstReportsWithin
        }
    }

    /**
     * Number of tasks of each job that need a slot now: all tasks of a gang, all pending tasks of a service, and for arrays as
     * many as the jobs of the class need, in ranked order, to meet the class's objectives with a safety margin.
     */
    private fun demand(
        ranked: List<Job>,
        now: Instant,
        wallNowMs: Long,
    ): List<JobDemand> {
        val wanted = ArrayList<JobDemand>()
        val arrays = LinkedHashMap<String, MutableList<Job>>()
        for (job in ranked) {
            if (!job.isOpen || job.isComplete) continue
            if (job.isSuspect && now < job.notBefore) continue
            if (job.isGang) {
                val placeable = job.liveAttempts.isEmpty() && quota.taskHeadroom(job.spec) >= job.spec.tasks
                if (placeable && job.preemptedForAt == null) wanted.add(JobDemand(job, job.spec.tasks))
            } else if (job.isSuspect) {
                if (job.liveAttempts.isEmpty()) wanted.add(JobDemand(job, 1))
            } else if (job.spec.shape == JobShape.SERVICE) {
                wanted.add(JobDemand(job, minOf(job.pending.cardinality(), quota.taskHeadroom(job.spec))))
            } else {
                arrays.getOrPut(job.spec.jobClass) { ArrayList() }.add(job)
            }
        }
        for ((jobClass, list) in arrays) {
            var extra = slotsFor(jobClass, list, wallNowMs) - list.sumOf { it.liveAttempts.size }
            for (job in list) {
                if (extra <= 0) break
                val count = minOf(extra, job.pending.cardinality(), quota.taskHeadroom(job.spec))
                if (count > 0) wanted.add(JobDemand(job, count))
                extra -= count
            }
        }
        return wanted
    }

    /** Slots needed so that the arrays in [list], all of one class, finish in time, the most urgent first. */
    private fun slotsFor(
        jobClass: String,
        list: List<Job>,
        wallNowMs: Long,
    ): Int {
        val horizon = objectives.horizonS(jobClass, list.sumOf { ClassObjectives.estimatedRunS(it.spec) } / list.size)
        var work = 0.0
        var slots = 0.0
        for ((job, leftS) in list.map { it to timeLeftS(it.spec, horizon, ageS(it, wallNowMs)) }.sortedBy { it.second }) {
            val runS = ClassObjectives.estimatedRunS(job.spec)
            val available = maxOf(runS, leftS)
            // Tasks cannot be split: a slot with time for one and a half runs serves one task.
            val share = if (job.spec.deadlineS == null) runS else available / floor(available / runS)
            work += (job.spec.tasks - job.doneCount) * share
            slots = maxOf(slots, work / available)
        }
        return ceil(slots - 1e-9).toInt()
    }

    /** Time left to run a job's tasks if machines had to be ordered now. */
    private fun timeLeftS(
        spec: JobSpec,
        horizonS: Double,
        ageS: Double,
    ): Double {
        val leadS = PlacementConstraints.preferredTypes(spec, types.values).minOfOrNull { it.bootS + fetchS(spec, it) } ?: 0.0
        val deadline = objectives.deadlineS(spec, ageS, ClassObjectives.estimatedRunS(spec) + leadS)
        return if (deadline == null) horizonS - ageS else deadline - ageS - leadS
    }

    private fun ageS(
        job: Job,
        wallNowMs: Long,
    ): Double = (wallNowMs - job.submittedAtMs) / 1000.0

    /** Least number of machines that [spec] needs to start: enough for all tasks of a gang, or for one task of any other job. */
    fun minMachinesFor(spec: JobSpec): Int {
        val tasks = if (spec.shape == JobShape.GANG) spec.tasks else 1
        val slots = PlacementConstraints.preferredTypes(spec, types.values).maxOfOrNull { it.size.slots(spec.need) } ?: return 0
        return Resources.machinesFor(tasks, slots) ?: 0
    }

    /** Time from submission by which a job that is [ageS] old has to start, according to its objectives and its deadline. */
    fun startDueS(
        spec: JobSpec,
        ageS: Double,
    ): Double = objectives.startDueS(spec, ageS, shortestFetchS(spec))

    private fun shortestFetchS(spec: JobSpec): Double =
        PlacementConstraints.preferredTypes(spec, types.values).minOfOrNull { fetchS(spec, it) } ?: 0.0

    /**
     * Whether a start that has to fetch the image would probably miss the start objective. Fetches may be a third slower, of
     * which [SLOW_FETCH_FACTOR] covers a part.
     */
    fun fetchMissesStart(spec: JobSpec): Boolean {
        val within = objectives.startS(spec.jobClass) ?: return false
        return shortestFetchS(spec) * SLOW_FETCH_FACTOR + START_OVERHEAD_S > within
    }

    /**
     * Whether the class's start objective is shorter than a slow boot, so that renting on demand cannot be relied on to meet it.
     * Boots usually take up to one and a half times as long as the type states.
     */
    fun cannotWaitForBoot(spec: JobSpec): Boolean {
        val within = objectives.startS(spec.jobClass) ?: return false
        return within < (slowStartS(spec) ?: return false)
    }

    /** Whether a machine ordered now could come too late for a job that was submitted [ageS] ago and has not started. */
    fun bootMissesStart(
        spec: JobSpec,
        ageS: Double,
    ): Boolean {
        val within = minOf(startDueS(spec, ageS), MAX_START_DUE_S)
        return within - ageS < (slowStartS(spec) ?: return false)
    }

    /** Time from ordering a machine to a running task of [spec] if the boot is slow. */
    private fun slowStartS(spec: JobSpec): Double? =
        PlacementConstraints.preferredTypes(spec, types.values).minOfOrNull { it.bootS * SLOW_BOOT_FACTOR + fetchS(spec, it) }

    fun fetchS(
        spec: JobSpec,
        type: MachineType,
    ): Double = spec.imageGb / maxOf(type.fetchGbPerS, 1e-3)

    private fun pendingOrders(market: Market): PendingOrders {
        val pending = rentals.values.filter { it.stage <= RentalStage.REQUESTED && it.record.request.market == market }
        return PendingOrders(pending.sumOf { it.record.request.count }, pending.any { it.stage > RentalStage.TO_LOG })
    }

    private fun order(
        offer: MarketOffer,
        count: Int,
        now: Instant,
    ) {
        val (type, zone, spot) = offer.market
        // Demand of one round for the same market is merged into one order, as each order costs two records and a call.
        val mergeable =
            rentals.values.firstOrNull { rental ->
                val request = rental.record.request
                rental.stage == RentalStage.TO_LOG && rental.knownSince == now && request.market == offer.market &&
                    request.count + count <= RentalMarkets.MAX_RENTAL_COUNT
            }
        if (mergeable != null) {
            mergeable.record = RentalRecord(mergeable.record.request.copy(count = mergeable.record.request.count + count), null)
            return
        }
        val number = nextRental++
        val request = RentalRequest(Keys.rentalName(term, number), type, zone, spot, count)
        rentals[keys.rental(term, number)] = Rental(RentalRecord(request, null), RentalStage.TO_LOG, now, now, isOwn = true)
        log.info("ordering {} machines of type {}{} in zone {}", count, type, spotLabel(spot), zone)
    }

    private fun releaseUnneeded(
        now: Instant,
        planned: List<PlannedMachine>,
    ) {
        val claimed = planned.filter { it.isClaimed }.mapNotNullTo(HashSet()) { it.machine?.id }
        for (machine in machines.values) {
            if (machine.release != ReleaseStage.NONE || machine.attempts.isNotEmpty()) continue
            val reason = releaseReason(machine, now, machine.id in claimed) ?: continue
            log.info("machine {} will be released: {}", machine.id, reason)
            machine.release = ReleaseStage.WANTED
        }
    }

    private fun releaseReason(
        machine: Machine,
        now: Instant,
        claimed: Boolean,
    ): String? {
        val bootS = machine.type?.bootS ?: DEFAULT_BOOT_S
        val expiredAt = machine.leaseExpiredAt
        return when {
            machine.listedFailed -> {
                "the cloud lists it as failed"
            }

            machine.faulty -> {
                "several jobs failed on it"
            }

            machine.reclaimAt != null -> {
                "the cloud provider reclaims it"
            }

            machine.answersLostSince?.let { now - it > unreachableRetention } == true -> {
                "answers do not reach it"
            }

            machine.up -> {
                if (!claimed && now - machine.idleSince > tunables.idleTimeout) "it is idle" else null
            }

            expiredAt != null -> {
                if (now - expiredAt > unreachableRetention) "its lease expired and it does not report" else null
            }

            (now - machine.rentedAt).seconds > bootS * BOOT_TIMEOUT_FACTOR + BOOT_MARGIN_S &&
                now - machine.knownSince > unreachableRetention -> {
                "it did not come up in time"
            }

            else -> {
                null
            }
        }
    }

    companion object {
        private const val MAX_RELEASE_COUNT = 100

        /** Two quotes and a comma per machine. */
        private const val RELEASE_ENTRY_OVERHEAD_BYTES = 3
        private const val RECORD_RETENTION_MARGIN_MS = 30_000L
        private val ARRIVAL_WINDOW = Duration(60_000)

        /** Less than 1, since some machines become free by themselves within a boot time. */
        private const val STANDBY_SHARE = 0.5

        /** If only about one such job arrives per boot time, a standby machine for it costs more than it saves. */
        private const val STANDBY_MACHINES_SPARED = 1
        private const val SLOW_FETCH_FACTOR = 1.2

        /** Time from acceptance to the launch plus the time from the fetched image to the report of a running task. */
        const val START_OVERHEAD_S = 2.0
        private const val SLOW_START_FACTOR = 2.0

        /** Boots usually take 0.6 to 1.5 times as long as the type states. */
        private const val SLOW_BOOT_FACTOR = 1.5

        /** Upper bound for any start objective: half of the time within which the largest jobs have to start. */
        private const val MAX_START_DUE_S = 120.0
        private const val BOOT_TIMEOUT_FACTOR = 4.0
        private const val BOOT_MARGIN_S = 10.0
        private const val DEFAULT_BOOT_S = 60.0
        private val PLAN_INTERVAL = Duration(1_000)
        private val MIN_UNREACHABLE_RETENTION = Duration(15_000)

        private const val MAX_REPORT_INTERVAL_FACTOR = 1.25
        private val FIRST_REPORTS_MARGIN = Duration(5_000)

        /** Number of report intervals that a machine gets to show that it works again. */
        private const val UNREACHABLE_RETENTION_REPORTS = 4.0
    }
}
