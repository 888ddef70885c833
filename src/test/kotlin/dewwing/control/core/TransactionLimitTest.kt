package dewwing.control.core

import dewwing.control.core.intent.Keys
import dewwing.control.core.sharing.SchedulerScope
import dewwing.control.core.sharing.ShardId
import dewwing.control.core.sharing.ShardLayout
import dewwing.control.core.sharing.SharingMarker
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.Revision
import dewwing.protocol.StateLimits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Transactions stay within the limits of the state service, and one that it rejects does not stop the scheduler. */
class TransactionLimitTest {
    private fun changeCount(change: StateChange) = change.puts.size + change.removes.size

    private fun harness(
        scope: SchedulerScope = SchedulerScope.single(SchedulerHarness.TERM_REVISION),
        capacity: Map<String, Int> = emptyMap(),
    ) = SchedulerHarness(
        cloud = SchedulerHarness.HarnessCloud(capacity),
        stateLimits = StateLimits(1e6, 1e6, 8_192, MAX_CHANGES),
        scope = scope,
    )

    private val shardScope =
        SchedulerScope.of(ShardId(1), SchedulerHarness.TERM_REVISION, SharingMarker(ShardLayout(2), Revision(40)))

    /** Starts [COMPLETED_JOBS] jobs of one task each on one machine. */
    private fun startJobs(harness: SchedulerHarness): List<JobSpec> {
        harness.addMachine("m-1")
        val jobs = List(COMPLETED_JOBS) { SchedulerHarness.job(it + 1) }
        jobs.forEach(harness::submit)
        harness.run(4.0)
        return jobs
    }

    /** Guards against a shard that stops for good: the record of a rental and its claim are two changes (review/6). */
    @Test
    fun `jobs that end while a machine is rented or refused never take a shard's transaction over the limit`() {
        for (halfSeconds in 0..MAX_OFFSET) {
            for (capacity in listOf(emptyMap(), mapOf("a" to 1, "b" to 0))) {
                val harness = harness(shardScope, capacity)
                harness.rejectsWrite = { change ->
                    assertTrue(changeCount(change) <= MAX_CHANGES, "${changeCount(change)} changes")
                    false
                }
                val jobs = startJobs(harness)
                harness.submit(SchedulerHarness.job(COMPLETED_JOBS + 1, tasks = 2, shape = JobShape.GANG, accelerators = 8))
                harness.run(halfSeconds / 2.0)
                jobs.forEach(harness::complete)
                harness.run(60.0)
                assertEquals(jobs.mapTo(HashSet()) { it.ref }, harness.doneJobs)
            }
        }
    }

    /** Guards against a scheduler that repeats a rejected transaction for ever, whatever made it too large. */
    @Test
    fun `after a rejected transaction smaller ones are written`() {
        val harness = harness()
        val jobs = startJobs(harness)
        harness.rejectsWrite = { changeCount(it) > 2 }
        jobs.forEach(harness::complete)
        harness.run(10.0)
        assertEquals(jobs.mapTo(HashSet()) { it.ref }, harness.doneJobs)
    }

    /** Guards against one record that keeps all others from being written. */
    @Test
    fun `a record that is always rejected delays no other job`() {
        val harness = harness()
        val jobs = startJobs(harness)
        val rejected = jobs.first()
        harness.rejectsWrite = { change -> change.puts.any { it.first == Keys.job(rejected.ref) } }
        jobs.forEach(harness::complete)
        harness.run(10.0)
        assertEquals(jobs.drop(1).mapTo(HashSet()) { it.ref }, harness.doneJobs)
    }

    private companion object {
        const val MAX_CHANGES = 8

        /** With a rental's record and claim they are one more than a transaction holds. */
        const val COMPLETED_JOBS = 7

        /** In half seconds: the plan of machines may order a machine in any of these rounds. */
        const val MAX_OFFSET = 20
    }
}
