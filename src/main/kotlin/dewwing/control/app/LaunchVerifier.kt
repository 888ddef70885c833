package dewwing.control.app

import dewwing.control.core.Scheduler
import dewwing.control.core.TokenBucket
import dewwing.control.core.intent.Keys
import dewwing.control.http.take
import dewwing.control.state.CompareResult
import dewwing.control.state.StateClient
import dewwing.control.state.StateUnavailableException
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.MachineId
import dewwing.protocol.Revision
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import org.slf4j.LoggerFactory

/**
 * Checks with the state service that jobs are not cancelled, before their tasks are launched in the answer to a report.
 *
 * A check must be newer than the report that it is for. As in etcd's ReadIndex, reports wait for the next request, and one
 * request serves all that wait when it is sent: a transaction without changes that compares the revisions of the jobs' records.
 * Without an answer nothing is launched; the machine's next report asks again.
 */
class LaunchVerifier(
    private val scheduler: Scheduler,
    private val state: StateClient,
    /** Conditions that hold as long as the leader's term lasts. */
    private val guards: List<Pair<String, Revision>>,
    /** Limits the checks of all leaders of this controller together; they take nothing of its other requests. */
    private val requestBudget: TokenBucket,
    /** Maximum number of conditions in one transaction of the state service. */
    maxConditions: Int,
    private val clock: () -> Instant,
    /** Called with the keys of records that have changed: those of jobs, or one of the guards. */
    private val onChanged: suspend (List<String>) -> Unit,
) {
    private val log = LoggerFactory.getLogger("launches")
    private val maxJobs = maxConditions - guards.size
    private val delayedReports = DelayedReports()
    private val checkRequests = Channel<Unit>(Channel.CONFLATED)

    /** Waits until the launches on [machine] are checked, or cannot be in time for the answer to its report. */
    suspend fun verify(machine: MachineId) {
        if (scheduler.jobsToCheckBeforeLaunch(machine).isEmpty()) return
        checkRequests.trySend(Unit)
        delayedReports.await(machine, MAX_WAIT_MS)
    }

    /** Checks the launches that reports wait for; runs until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            val slots = Semaphore(MAX_IN_FLIGHT)
            val inFlight = HashSet<MachineId>()
            for (request in checkRequests) {
                slots.acquire()
                requestBudget.take(clock)
                val batch = takeBatch(inFlight)
                if (batch.hasMore) checkRequests.trySend(Unit)
                inFlight.addAll(batch.machines)
                launch {
                    val changedKeys =
                        try {
                            check(batch.jobs)
                        } finally {
                            inFlight.removeAll(batch.machines)
                            delayedReports.resumeIf { it in batch.machines }
                            slots.release()
                        }
                    if (changedKeys.isNotEmpty()) onChanged(changedKeys)
                }
            }
        }

    private class Batch(
        val machines: Set<MachineId>,
        val jobs: Set<JobRef>,
        /** Further reports wait. */
        val hasMore: Boolean,
    )

    /** Takes the reports that wait longest, with as many jobs as one request can compare; a single report may have more. */
    private fun takeBatch(inFlight: Set<MachineId>): Batch {
        val machines = LinkedHashSet<MachineId>()
        val jobs = LinkedHashSet<JobRef>()
        delayedReports.resumeIf { scheduler.jobsToCheckBeforeLaunch(it).isEmpty() }
        for (machine in delayedReports.machines) {
            if (machine in inFlight) continue
            val machineJobs = scheduler.jobsToCheckBeforeLaunch(machine)
            if (machineJobs.isEmpty()) continue
            if (machines.isNotEmpty() && (jobs + machineJobs).size > maxJobs) return Batch(machines, jobs, hasMore = true)
            machines.add(machine)
            jobs.addAll(machineJobs)
        }
        return Batch(machines, jobs.take(maxJobs).toSet(), hasMore = false)
    }

    /** Returns the keys of the records that have changed. */
    private suspend fun check(jobs: Set<JobRef>): List<String> {
        val changedKeys = ArrayList<String>()
        try {
            var remaining = compare(jobs, changedKeys)
            while (remaining.isNotEmpty()) {
                requestBudget.take(clock)
                remaining = compare(remaining, changedKeys)
            }
        } catch (e: StateUnavailableException) {
            log.debug("launches of {} jobs are not checked: {}", jobs.size, e.message)
        }
        return changedKeys
    }

    /** Returns the jobs to compare again: the state service may name only some of the [changedKeys], and decides on none of the others. */
    private suspend fun compare(
        jobs: Set<JobRef>,
        changedKeys: MutableList<String>,
    ): Set<JobRef> {
        val check = scheduler.startRevisionCheck(jobs)
        if (check.revisions.isEmpty()) return emptySet()
        val conditions = guards + check.revisions.map { (ref, revision) -> Keys.job(ref) to revision }
        when (val result = state.compare(conditions, budget = null)) {
            CompareResult.Unchanged -> {
                scheduler.onRevisionsUnchanged(check)
                return emptySet()
            }

            is CompareResult.Changed -> {
                changedKeys.addAll(result.keys)
                val termHasEnded = guards.any { (key, _) -> key in result.keys }
                val unnamed = check.revisions.keys.filterTo(LinkedHashSet()) { Keys.job(it) !in result.keys }
                return if (termHasEnded || unnamed.size == check.revisions.size) emptySet() else unnamed
            }
        }
    }

    private companion object {
        /** With the time that a report waits for placements, well below the 4 s after which a worker drops an answer. */
        const val MAX_WAIT_MS = 2_000L

        /** A request that the state service answers late does not hold up the reports that arrive meanwhile. */
        const val MAX_IN_FLIGHT = 4
    }
}
