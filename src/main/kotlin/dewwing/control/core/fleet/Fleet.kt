package dewwing.control.core.fleet

import dewwing.control.core.CoreSettings
import dewwing.control.core.Effect
import dewwing.control.core.RentOrder
import dewwing.control.core.WorkCounter
import dewwing.control.core.intent.Keys
import dewwing.control.core.intent.RecordKeys
import dewwing.control.core.intent.ReleaseRecord
import dewwing.control.core.intent.RentalRecord
import dewwing.control.core.job.ClassAims
import dewwing.control.core.job.Job
import dewwing.control.core.placement.Placer
import dewwing.control.core.quota.Quota
import dewwing.protocol.Instant
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.Resources
import dewwing.protocol.Span
import dewwing.protocol.Term
import org.slf4j.LoggerFactory
import kotlin.math.ceil
import kotlin.math.floor

/** The machines that are wanted, and the rentals and releases that lead there. */
class Fleet(
    private val settings: CoreSettings,
    private val term: Term,
    private val machines: MutableMap<MachineId, Machine>,
    private val types: Map<String, MachineType>,
    private val quota: Quota,
    private val workCounter: WorkCounter,
    private val aims: ClassAims,
    /** Start of this leader. */
    private val since: Instant,
    private val keys: RecordKeys = RecordKeys.SINGLE_LEADER,
) {
    private val log = LoggerFactory.getLogger("fleet")
    private val tunables = settings.tunables

    private enum class RentStage { TO_LOG, TO_ASK, ASKED, ANSWERED, WRITTEN }

    private class Rental(
        var record: RentalRecord,
        var stage: RentStage,
        var notBefore: Instant,
        val since: Instant,
        /** Ordered by this leader, not inherited from an older one. */
        val isOwn: Boolean,
    )

    private data class Market(
        val type: String,
        val zone: String,
        val spot: Boolean,
    )

    private val rentals = LinkedHashMap<String, Rental>()
    private val refusedUntil = HashMap<Market, Instant>()
    private val refusals = HashMap<Market, Int>()
    private val releasesLogged = LinkedHashMap<MachineId, Instant>()

    /** Machines of each release record that the cloud has not confirmed yet. */
    private val releaseRecords = LinkedHashMap<String, MutableSet<MachineId>>()
    private var nextRelease = 1L
    private val dropRecords = LinkedHashSet<String>()

    /** Records of rentals that came to nothing, until they are dropped. */
    private val refusedRentals = HashSet<String>()
    private var nextRental = 1L
    private var planAt = Instant.NEVER

    /** The cloud's list has been read under this leader. */
    var listed = false

    /**
     * Within this time of its start every sound machine has reported to a new leader: a report's longest interval, the
     * wait for an answer of the old one, and the way round by a sibling or two.
     */
    private val settlesWithin = settings.workers.report * REPORT_SPREAD + SETTLE_SLACK

    /** A machine that is silent, or does not hear us, is returned after so long. */
    private val silentKeep = maxOf(SILENT_KEEP, settings.workers.report * SILENT_REPORTS)

    // ---- events ----------------------------------------------------------------------------------------------

    fun restoreRent(
        key: String,
        record: RentalRecord,
        now: Instant,
    ) {
        val stage = if (record.rented == null) RentStage.TO_ASK else RentStage.WRITTEN
        rentals[key] = Rental(record, stage, now, now, isOwn = false)
        record.rented?.forEach { machineOf(it, record.order, now) }
    }

    fun releaseLogged(
        key: String,
        record: ReleaseRecord,
    ) {
        releaseRecords[key] = LinkedHashSet(record.machines)
        for (id in record.machines) releasesLogged[id] = Instant.NEVER
    }

    fun released(id: MachineId) {
        log.info("machine {} returned", id)
        releasesLogged.remove(id)
        for ((key, left) in releaseRecords) if (left.remove(id) && left.isEmpty()) dropRecords.add(key)
    }

    fun cameUp(machine: Machine) {
        log.info("machine {} is up: {}{} in {}", machine.id, machine.type?.name, spotLabel(machine.spot), machine.zone)
    }

    fun onRented(
        key: String,
        rented: List<MachineId>?,
        now: Instant,
    ) {
        val rental = rentals[key] ?: return
        val order = rental.record.order
        val market = Market(order.type, order.zone, order.spot)
        if (rented == null || rented.size < order.count) {
            val count = (refusals[market] ?: 0) + 1
            refusals[market] = count
            refusedUntil[market] = now + Span(FIRST_REFUSAL_MS shl minOf(count - 1, MAX_REFUSAL_SHIFT))
        } else {
            refusals.remove(market)
        }
        if (rented == null) {
            log.info("no capacity for {} {}{} in {}", order.count, order.type, spotLabel(order.spot), order.zone)
            rentals.remove(key)
            dropRecords.add(key)
            refusedRentals.add(key)
            return
        }
        log.info("rented {} of {} {}{} in {}: {}", rented.size, order.count, order.type, spotLabel(order.spot), order.zone, rented)
        rental.record = RentalRecord(order, rented)
        rental.stage = RentStage.ANSWERED
        for (id in rented) machineOf(id, order, now).rentedInTerm = rental.isOwn
    }

    /** No answer: the same order is asked again, under the same name. */
    fun onRentUnknown(
        key: String,
        now: Instant,
    ) {
        val rental = rentals[key] ?: return
        rental.stage = RentStage.TO_ASK
        rental.notBefore = now + tunables.collectorPeriod
    }

    fun onReleaseUnknown(
        ids: List<MachineId>,
        now: Instant,
    ) {
        for (id in ids) if (id in releasesLogged) releasesLogged[id] = now + tunables.collectorPeriod
    }

    private fun spotLabel(spot: Boolean) = if (spot) " (spot)" else ""

    private fun machineOf(
        id: MachineId,
        order: RentOrder,
        now: Instant,
    ): Machine {
        val machine = machines.getOrPut(id) { Machine(id, now) }
        machine.describe(types[order.type], order.zone, order.spot)
        return machine
    }

    // ---- what is to be written and done ----------------------------------------------------------------------

    /** The machines to be returned, the dearest first, in records of up to [bytes]. */
    fun releaseWrites(bytes: Int): List<Pair<String, ReleaseRecord>> {
        val wanted = machines.values.filter { it.release == ReleaseStage.WANTED }
        if (wanted.isEmpty()) return emptyList()
        val perRecord = minOf(MAX_RELEASE, maxOf(1, bytes / (wanted.maxOf { it.id.value.length } + RELEASE_ENTRY_BYTES)))
        return wanted
            .sortedByDescending { if (it.spot) it.type?.spotPrice else it.type?.price }
            .chunked(perRecord)
            .map { part -> keys.release(term, nextRelease++) to ReleaseRecord(part.map { it.id }) }
    }

    fun rentWrites(): List<Pair<String, RentalRecord>> =
        rentals.entries
            .filter { it.value.stage == RentStage.TO_LOG || it.value.stage == RentStage.ANSWERED }
            .map { it.key to it.value.record }

    fun rentWritten(
        key: String,
        record: RentalRecord,
    ) {
        val rental = rentals[key] ?: return
        if (record.rented != null) {
            rental.stage = RentStage.WRITTEN
        } else if (rental.stage == RentStage.TO_LOG) {
            rental.stage = RentStage.TO_ASK
        }
    }

    /** Logged rentals and releases whose call is due. */
    fun takeEffects(now: Instant): List<Effect> {
        val out = ArrayList<Effect>()
        for ((key, rental) in rentals) {
            if (rental.stage != RentStage.TO_ASK || now < rental.notBefore) continue
            rental.stage = RentStage.ASKED
            out.add(Effect.Rent(key, rental.record.order))
        }
        val due = releasesLogged.filterValues { it <= now }.keys.take(MAX_RELEASE)
        if (due.isNotEmpty()) {
            for (id in due) releasesLogged[id] = Instant.FOREVER
            out.add(Effect.Release(due))
        }
        return out
    }

    /** Answered rentals are kept until every list shows their machines. */
    fun recordsToDrop(now: Instant): List<String> {
        val keep = Span(settings.cloud.listLag.ms * 2 + RECORD_KEEP_MS)
        for ((key, rental) in rentals) {
            if (rental.stage == RentStage.WRITTEN && now - rental.since > keep) dropRecords.add(key)
        }
        return dropRecords.toList()
    }

    fun wasRefused(rentKey: String): Boolean = rentKey in refusedRentals

    fun recordDropped(key: String) {
        dropRecords.remove(key)
        refusedRentals.remove(key)
        rentals.remove(key)
        releaseRecords.remove(key)
    }

    // ---- wanted state ----------------------------------------------------------------------------------------

    /** Works out what is missing and what is too much; orders wait for their log record. */
    fun plan(
        now: Instant,
        ranked: List<Job>,
        wallNowMs: Long,
    ) {
        if (now - planAt < PLAN_EVERY) return
        planAt = now
        if (types.isEmpty()) return
        // Before the first list a new leader knows the types of hardly any machine, and would order a fleet anew.
        if (!listed && now - since < settlesWithin) return
        val bins = bins(now)
        workCounter.look(machines.size + ranked.size)
        val wanted = demand(ranked, now, wallNowMs)
        wanted.map { it.first.spec.need }.reduceOrNull(Resources::least)?.let { least ->
            // Most machines are full most of the time: no job needs to look at those.
            val open = bins.filterTo(ArrayList()) { it.free.holds(least) }
            for ((job, count) in wanted) {
                cover(job, count, open, bins, now)
                open.removeIf { !it.free.holds(least) }
            }
        }
        standBy(bins, now)
        retire(now, bins)
    }

    private class Arrival(
        val at: Instant,
        val spec: JobSpec,
        val machines: Int,
    )

    /** Jobs of the last while that could not wait for a boot. */
    private val arrivals = ArrayDeque<Arrival>()

    fun urgentArrived(
        spec: JobSpec,
        now: Instant,
    ) {
        arrivals.addLast(Arrival(now, spec, machinesFor(spec)))
    }

    /**
     * Sees to it that part of what will arrive of such jobs within a boot finds room: idle machines, or ones whose work
     * may be stopped for them. Machines that run work of their own priority give none, and when all do the next job
     * waits for a boot (days of kestrel-crashdesk-grown, first minutes: gangs waited up to 27 s).
     */
    private fun standBy(
        bins: MutableList<Bin>,
        now: Instant,
    ) {
        while (arrivals.isNotEmpty() && now - arrivals.first().at > ARRIVALS_KEPT) arrivals.removeFirst()
        val newest = arrivals.lastOrNull() ?: return
        val spec = newest.spec
        val useful = Placer.preferredTypes(spec, types.values)
        val boot = useful.minOfOrNull { it.bootS + fetchS(spec, it) } ?: return
        var missing = (arrivals.sumOf { it.machines } / ARRIVALS_KEPT.seconds * boot * STAND_BY_SHARE).toInt() - STAND_BY_LESS
        for (bin in bins) {
            if (missing <= 0) return
            if (!allowed(spec, useful, bin)) continue
            val yielding =
                bin.machine
                    ?.attempts
                    ?.values
                    ?.filter { it.job.spec.urgency > spec.urgency && !it.job.isGang }
                    ?.fold(Resources.NONE) { sum, a -> sum + a.job.spec.need } ?: Resources.NONE
            if (!(bin.free + yielding).holds(spec.need)) continue
            bin.claimed = true
            missing--
        }
        if (missing <= 0) return
        val (type, zone, spot) = bestMarket(spec, missing, now) ?: return
        order(type, zone, spot, minOf(missing, MAX_RENT, openTo(Market(type.name, zone, spot))), now)
    }

    private class Bin(
        val type: MachineType,
        val zone: String,
        val spot: Boolean,
        var free: Resources,
        val machine: Machine?,
    ) {
        var claimed = false
    }

    private fun bins(now: Instant): MutableList<Bin> {
        val bins = ArrayList<Bin>()
        for (m in machines.values) {
            val type = m.type ?: continue
            if (m.accepts || aboutToAccept(m, type, now)) bins.add(Bin(type, m.zone, m.spot, m.free, m))
        }
        for (r in rentals.values) {
            if (r.stage > RentStage.ASKED) continue
            val type = types[r.record.order.type] ?: continue
            repeat(r.record.order.count) {
                bins.add(Bin(type, r.record.order.zone, r.record.order.spot, type.size, null))
            }
        }
        return bins
    }

    /** Takes nothing yet, but is expected to before a machine ordered now would. */
    private fun aboutToAccept(
        m: Machine,
        type: MachineType,
        now: Instant,
    ): Boolean {
        if (m.release != ReleaseStage.NONE || m.listedFailed || m.faulty || m.noticeAt != null) return false
        val lapsed = m.lapsedAt
        val deaf = m.deafSince
        return when {
            // Has yet to learn our term, or to show after a cut that it hears us: a report or two.
            m.up -> deaf == null || (lapsed != null && now - deaf < settlesWithin)

            lapsed != null -> false

            (now - m.rentedAt).seconds < type.bootS * SLOW_START + LEEWAY_S -> true

            else -> m.lastListed != null && now - since < settlesWithin
        }
    }

    /**
     * Tasks of each job that should get a place of their own now. Gangs: all. Arrays: as many places as let the
     * class's jobs, oldest first, start in a share of the time their objectives give.
     */
    private fun demand(
        ranked: List<Job>,
        now: Instant,
        wallNowMs: Long,
    ): List<Pair<Job, Int>> {
        val out = ArrayList<Pair<Job, Int>>()
        val arrays = LinkedHashMap<String, MutableList<Job>>()
        for (job in ranked) {
            if (!job.isOpen || job.isComplete) continue
            if (job.isSuspect && now < job.notBefore) continue
            if (job.isGang) {
                val placeable = job.live.isEmpty() && quota.room(job.spec) >= job.spec.tasks
                if (placeable && job.madeRoomAt == null) out.add(job to job.spec.tasks)
            } else if (job.isSuspect) {
                if (job.live.isEmpty()) out.add(job to 1)
            } else if (job.spec.shape == JobShape.SERVICE) {
                out.add(job to minOf(job.pending.cardinality(), quota.room(job.spec)))
            } else {
                arrays.getOrPut(job.spec.jobClass) { ArrayList() }.add(job)
            }
        }
        for ((jobClass, list) in arrays) {
            var extra = placesFor(jobClass, list, wallNowMs) - list.sumOf { it.live.size }
            for (job in list) {
                if (extra <= 0) break
                val count = minOf(extra, job.pending.cardinality(), quota.room(job.spec))
                if (count > 0) out.add(job to count)
                extra -= count
            }
        }
        return out
    }

    /** Places that let the arrays in [list], all of one class, be done in time, the most pressing first. */
    private fun placesFor(
        jobClass: String,
        list: List<Job>,
        wallNowMs: Long,
    ): Int {
        val horizon = aims.horizonS(jobClass, list.sumOf { ClassAims.runS(it.spec) } / list.size)
        var work = 0.0
        var places = 0.0
        for ((job, leftS) in list.map { it to timeLeftS(it.spec, horizon, ageS(it, wallNowMs)) }.sortedBy { it.second }) {
            val runS = ClassAims.runS(job.spec)
            val available = maxOf(runS, leftS)
            // Tasks are not cut in two: a place with time for one and a half runs serves one.
            val share = if (job.spec.deadlineS == null) runS else available / floor(available / runS)
            work += (job.spec.tasks - job.doneCount) * share
            places = maxOf(places, work / available)
        }
        return ceil(places - 1e-9).toInt()
    }

    /** Time that is left for a job's work on machines that would have to be ordered now. */
    private fun timeLeftS(
        spec: JobSpec,
        horizonS: Double,
        ageS: Double,
    ): Double {
        val lead = Placer.preferredTypes(spec, types.values).minOfOrNull { it.bootS + fetchS(spec, it) } ?: 0.0
        val deadline = aims.deadlineS(spec, ageS, ClassAims.runS(spec) + lead)
        return if (deadline == null) horizonS - ageS else deadline - ageS - lead
    }

    private fun ageS(
        job: Job,
        wallNowMs: Long,
    ): Double = (wallNowMs - job.submittedAtMs) / 1000.0

    /** Machines that the least part of [spec] which must start together takes. */
    fun machinesFor(spec: JobSpec): Int {
        val tasks = if (spec.shape == JobShape.GANG) spec.tasks else 1
        val slots = Placer.preferredTypes(spec, types.values).maxOfOrNull { it.size.slots(spec.need) } ?: return 0
        return if (slots == 0) 0 else ceil(tasks / slots.toDouble()).toInt()
    }

    /** Time from submission within which a job that is [ageS] old is to start, as far as its aims and its deadline tell. */
    fun startDueS(
        spec: JobSpec,
        ageS: Double,
    ): Double = aims.startDueS(spec, ageS, shortestFetchS(spec))

    private fun shortestFetchS(spec: JobSpec): Double = Placer.preferredTypes(spec, types.values).minOfOrNull { fetchS(spec, it) } ?: 0.0

    /** A start that has to fetch the image would most likely come too late, since fetches may be a third slower. */
    fun fetchMissesStart(spec: JobSpec): Boolean {
        val within = aims.startS(spec.jobClass) ?: return false
        return shortestFetchS(spec) * SLOW_FETCH + START_STEPS_S > within
    }

    /**
     * The class is to start sooner than a machine boots: renting on demand cannot be relied on to meet its aim. Boots
     * usually take up to one and a half times as long as the type says.
     */
    fun cannotWaitForBoot(spec: JobSpec): Boolean {
        val within = aims.startS(spec.jobClass) ?: return false
        return within < (slowStartS(spec) ?: return false)
    }

    /** A machine ordered now might come too late for a job that was submitted [ageS] ago and has not started. */
    fun bootMissesStart(
        spec: JobSpec,
        ageS: Double,
    ): Boolean {
        val within = minOf(startDueS(spec, ageS), LATEST_START_S)
        return within - ageS < (slowStartS(spec) ?: return false)
    }

    /** Time from the order of a machine to a running task of [spec] if the boot is a slow one. */
    private fun slowStartS(spec: JobSpec): Double? =
        Placer.preferredTypes(spec, types.values).minOfOrNull { it.bootS * SLOW_BOOT + fetchS(spec, it) }

    fun fetchS(
        spec: JobSpec,
        type: MachineType,
    ): Double = spec.imageGb / maxOf(type.fetchGbPerS, 1e-3)

    private fun cover(
        job: Job,
        count: Int,
        open: MutableList<Bin>,
        bins: MutableList<Bin>,
        now: Instant,
    ) {
        val spec = job.spec
        var missing = count
        val useful = Placer.preferredTypes(spec, types.values)
        for (bin in open) {
            if (missing <= 0) return
            workCounter.look(1)
            if (!bin.free.holds(spec.need)) continue
            // Where the job has failed it is not placed again: counting on that machine would leave it waiting for ever.
            if (bin.machine?.id?.value in job.failedOn) continue
            if (!allowed(spec, useful, bin)) continue
            val fit = minOf(missing, bin.free.slots(spec.need))
            if (fit <= 0) continue
            bin.free -= spec.need * fit
            bin.claimed = true
            missing -= fit
        }
        var tries = MAX_MARKETS
        while (missing > 0 && tries-- > 0) {
            val (type, zone, spot) = bestMarket(spec, missing, now) ?: return
            val slots = type.size.slots(spec.need)
            val number = minOf(ceil(missing / slots.toDouble()).toInt(), MAX_RENT, openTo(Market(type.name, zone, spot)))
            order(type, zone, spot, number, now)
            repeat(number) {
                val bin = Bin(type, zone, spot, type.size, null)
                val fit = minOf(missing, slots)
                bin.free -= spec.need * fit
                missing -= fit
                open.add(bin)
                bins.add(bin)
            }
        }
    }

    /** [useful] are the types worth using for the job, worked out once for all machines. */
    private fun allowed(
        spec: JobSpec,
        useful: List<MachineType>,
        bin: Bin,
    ): Boolean = (spec.spot || !bin.spot) && (spec.zone == null || spec.zone == bin.zone) && useful.any { it.name == bin.type.name }

    private fun bestMarket(
        spec: JobSpec,
        missing: Int,
        now: Instant,
    ): Triple<MachineType, String, Boolean>? {
        var best: Triple<MachineType, String, Boolean>? = null
        var bestCost = Double.MAX_VALUE
        for (type in Placer.preferredTypes(spec, types.values)) {
            val slots = type.size.slots(spec.need)
            if (slots <= 0) continue
            val number = ceil(missing / slots.toDouble())
            for (zone in type.zones) {
                if (spec.zone != null && spec.zone != zone) continue
                for (spot in if (spec.spot) SPOT_FIRST else ORDINARY) {
                    val market = Market(type.name, zone, spot)
                    if ((refusedUntil[market] ?: Instant.NEVER) > now || openTo(market) <= 0) continue
                    val cost = number * if (spot) type.spotPrice else type.price
                    if (cost < bestCost) {
                        bestCost = cost
                        best = Triple(type, zone, spot)
                    }
                }
            }
        }
        return best
    }

    /**
     * How many machines may be ordered of [market] on top of what is on order. Two full orders at a time, and one
     * after a refusal: on the rough day of kestrel-crashdesk-grown six orders a second for machines that the cloud did
     * not have took most of the change rate, and with it the starts.
     */
    private fun openTo(market: Market): Int {
        val most = if (market in refusals) MAX_RENT else 2 * MAX_RENT
        var ordered = 0
        for (r in rentals.values) {
            val o = r.record.order
            if (r.stage <= RentStage.ASKED && o.type == market.type && o.zone == market.zone && o.spot == market.spot) {
                if (market in refusals && r.stage > RentStage.TO_LOG) return 0
                ordered += o.count
            }
        }
        return most - ordered
    }

    private fun order(
        type: MachineType,
        zone: String,
        spot: Boolean,
        count: Int,
        now: Instant,
    ) {
        // Wants of one round for the same market become one order: each costs two records and a call.
        val same =
            rentals.values.firstOrNull { r ->
                val o = r.record.order
                r.stage == RentStage.TO_LOG && r.since == now && o.type == type.name && o.zone == zone && o.spot == spot &&
                    o.count + count <= MAX_RENT
            }
        if (same != null) {
            same.record = RentalRecord(same.record.order.copy(count = same.record.order.count + count), null)
            return
        }
        val number = nextRental++
        val order = RentOrder(Keys.rentalName(term, number), type.name, zone, spot, count)
        rentals[keys.rental(term, number)] = Rental(RentalRecord(order, null), RentStage.TO_LOG, now, now, isOwn = true)
        log.info("wanted: {} {}{} in {}", count, type.name, spotLabel(spot), zone)
    }

    private fun retire(
        now: Instant,
        bins: List<Bin>,
    ) {
        val claimed = bins.filter { it.claimed }.mapNotNullTo(HashSet()) { it.machine?.id }
        for (m in machines.values) {
            if (m.release != ReleaseStage.NONE || m.attempts.isNotEmpty()) continue
            val reason = reasonToReturn(m, now, m.id in claimed) ?: continue
            log.info("machine {} is to be returned: {}", m.id, reason)
            m.release = ReleaseStage.WANTED
        }
    }

    private fun reasonToReturn(
        m: Machine,
        now: Instant,
        claimed: Boolean,
    ): String? {
        val boot = m.type?.bootS ?: DEFAULT_BOOT_S
        val lapsed = m.lapsedAt
        return when {
            m.listedFailed -> {
                "it failed"
            }

            m.faulty -> {
                "it is faulty"
            }

            m.noticeAt != null -> {
                "the cloud takes it back"
            }

            m.deafSince?.let { now - it > silentKeep } == true -> {
                "it does not hear us"
            }

            m.up -> {
                if (!claimed && now - m.idleSince > tunables.idleKeep) "it is idle" else null
            }

            lapsed != null -> {
                if (now - lapsed > silentKeep) "it is silent" else null
            }

            (now - m.rentedAt).seconds > boot * GIVE_UP_START + LEEWAY_S && now - m.knownSince > silentKeep -> {
                "it does not come up"
            }

            else -> {
                null
            }
        }
    }

    companion object {
        private const val MAX_RENT = 50
        private const val MAX_RELEASE = 100

        /** Quotes and a comma. */
        private const val RELEASE_ENTRY_BYTES = 3
        private const val MAX_MARKETS = 6
        private const val FIRST_REFUSAL_MS = 5_000L
        private const val MAX_REFUSAL_SHIFT = 3
        private const val RECORD_KEEP_MS = 30_000L
        private val ARRIVALS_KEPT = Span(60_000)

        /** Some machines come free by themselves within a boot; part of what arrives must find room. */
        private const val STAND_BY_SHARE = 0.5

        /** Where a job comes once in a boot, a machine that waits for it costs more than it brings. */
        private const val STAND_BY_LESS = 1
        private const val SLOW_FETCH = 1.2

        /** From acceptance to the launch, and from the image to the report of a running task. */
        const val START_STEPS_S = 2.0
        private const val SLOW_START = 2.0

        /** Boots usually take 0.6 to 1.5 times as long as the type says. */
        private const val SLOW_BOOT = 1.5

        /** However patient its class's aim, half of the time within which the largest jobs are to begin. */
        private const val LATEST_START_S = 120.0
        private const val GIVE_UP_START = 4.0
        private const val LEEWAY_S = 10.0
        private const val DEFAULT_BOOT_S = 60.0
        private val PLAN_EVERY = Span(1_000)
        private val SILENT_KEEP = Span(15_000)

        private const val REPORT_SPREAD = 1.25
        private val SETTLE_SLACK = Span(5_000)

        /** Reports within which a machine shows that it is sound again. */
        private const val SILENT_REPORTS = 4.0
        private val SPOT_FIRST = listOf(true, false)
        private val ORDINARY = listOf(false)
    }
}
