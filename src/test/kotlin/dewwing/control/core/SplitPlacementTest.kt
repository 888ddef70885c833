package dewwing.control.core

import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
import dewwing.control.core.intent.LogRecord
import dewwing.control.core.intent.RecordKeys
import dewwing.protocol.Command
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.JobStage
import dewwing.protocol.MachineId
import dewwing.protocol.Pack
import dewwing.protocol.Report
import dewwing.protocol.ReportPosition
import dewwing.protocol.Resources
import dewwing.protocol.Revision
import dewwing.protocol.StateLimits
import dewwing.protocol.TaskRef
import dewwing.protocol.Term
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Gangs whose placement takes many records, on a store with the protocol's limits. */
class SplitPlacementTest {
    private val store = sortedMapOf<String, Pair<Map<String, Any?>, Long>>()
    private var tide = 100L
    private var nowMs = 0L
    private var seq = 0L
    private val launched = LinkedHashMap<TaskRef, Long>()

    private fun now() = Instant(nowMs)

    private val gang =
        SchedulerHarness
            .job(1, MACHINES, JobShape.GANG, accelerators = 8)
            .copy(need = Resources(80.0, 8.0, 400.0))

    private inner class Leader(
        val term: Long,
        writesPerS: Double = 1e6,
    ) {
        val scheduler =
            Scheduler(
                testSettings(Duration(1_000), Duration(10_000), StateLimits(1e6, writesPerS, VALUE_BYTES, OPS)),
                Term(term),
                Revision(term),
                now(),
                0,
            ).also {
                it.onMachineTypes(listOf(SchedulerHarness.EIGHT_ACCELERATOR_TYPE))
                it.onMachineList(emptyList(), now())
            }

        fun restore(): Leader {
            for ((key, value) in store) {
                if (key.startsWith(Keys.JOBS)) {
                    Keys.parseJobKey(key)?.let { scheduler.restoreJob(it, JobRecord.of(value.first), Revision(value.second)) }
                } else if (key.startsWith(Keys.LOGS)) {
                    scheduler.restoreLog(key, LogRecord.of(value.first))
                }
            }
            scheduler.finishRestore(now())
            return this
        }

        /** Passes until [condition] holds, with whatever goes on [between] them. */
        fun passUntil(
            between: () -> Unit = {},
            condition: () -> Boolean,
        ) {
            repeat(MOST_PASSES) {
                if (condition()) return
                pass()
                between()
            }
            throw AssertionError("not after $MOST_PASSES passes; records ${logKeys()}")
        }

        /** One pass; false when it had nothing to write. */
        fun pass(): Boolean {
            nowMs += 200
            val write = scheduler.runRound(now()) { true }.filterIsInstance<Effect.Write>().singleOrNull() ?: return false
            commit(write.change)
            scheduler.onWriteApplied(Revision(tide), now())
            return true
        }

        fun report(machine: Int) {
            val report =
                Report(MachineId(name(machine)), "10.0.0.1:1", "k", "a", false, ReportPosition(1, ++seq), Term(term), null, emptyList())
            scheduler.onReport(report, now())
            for (command in scheduler.takeCommands(report, now(), launchAllowed = true)) {
                if (command is Command.Launch) launched[command.task] = command.attempt.value
            }
        }

        fun reports() = (0 until MACHINES).forEach(::report)

        fun submit(spec: JobSpec) {
            val record = JobRecord(JobStage.QUEUED, spec, nowMs)
            commit(StateChange(listOf(Keys.job(spec.ref) to Revision.ABSENT), listOf(Keys.job(spec.ref) to record.toValue())))
            scheduler.onJobRecord(spec.ref, record, Revision(tide), now())
        }
    }

    private fun name(machine: Int) = "m-%06d".format(machine)

    private fun commit(change: StateChange) {
        assertTrue(change.puts.size + change.removes.size <= OPS, "${change.puts.size} puts")
        assertTrue(change.conditions.size <= OPS * 4)
        val bytes = change.puts.sumOf { it.first.length + Pack.jsonSize(it.second) } + change.conditions.sumOf { it.first.length + 20 }
        assertTrue(bytes <= TRANSACTION_BYTES, "a transaction of $bytes bytes")
        tide++
        for ((key, value) in change.puts) {
            assertTrue(Pack.jsonSize(value) <= VALUE_BYTES, "$key: ${Pack.jsonSize(value)} bytes")
            @Suppress("UNCHECKED_CAST") // What was encoded from text keys.
            val stored = Pack.decode(Pack.encode(value)) as Map<String, Any?>
            store[key] = stored to tide
        }
        for (key in change.removes) store.remove(key)
    }

    private fun logKeys() = store.keys.filter { it.startsWith(Keys.LOGS) }

    private fun stepRecords() = logKeys().filter { RecordKeys.parseLogKey(it)?.part == null }

    @Test
    fun `a gang of 1,500 machines is placed whole where a record holds 140`() {
        val leader = Leader(5)
        leader.reports()
        leader.submit(gang)
        leader.passUntil({
            leader.reports()
            if (stepRecords().isEmpty()) assertEquals(0, launched.size, "started before its placement was logged whole")
        }) { stepRecords().isNotEmpty() }
        assertTrue(logKeys().size > OPS, "the test is to need several transactions: ${logKeys().size} records")
        leader.reports()
        assertEquals(MACHINES, launched.size)
        assertEquals(setOf(1L), launched.values.toSet())
    }

    @Test
    fun `a successor takes a placement whole once its last record is written`() {
        val first = Leader(5)
        first.reports()
        first.submit(gang)
        first.passUntil { stepRecords().isNotEmpty() }
        val second = Leader(6).restore()
        second.submit(SchedulerHarness.job(2))
        // Every place is taken by tasks that the first leader may have started.
        repeat(20) { second.pass() }
        assertEquals(0, store.keys.count { it.startsWith("log/job-2/") })
        assertEquals(0, second.scheduler.jobCounts(gang.ref)?.running)
        assertEquals(1, stepRecords().size, "the gang must not be placed a second time")
    }

    @Test
    fun `a leader that ends between the records leaves nothing that counts`() {
        val first = Leader(5, writesPerS = 4.0)
        first.reports()
        first.submit(gang)
        first.passUntil { logKeys().size >= 3 }
        assertEquals(emptyList<String>(), stepRecords())
        val second = Leader(6).restore()
        second.reports()
        second.passUntil { stepRecords().isNotEmpty() }
        assertEquals(listOf("log/job-1/000000002"), stepRecords(), "the step of the abandoned parts is not used again")
        second.reports()
        assertEquals(setOf(2L), launched.values.toSet())
        // The abandoned parts are cleared away.
        nowMs += 200_000
        repeat(50) { second.pass() }
        assertEquals(emptyList<String>(), logKeys().filter { "/000000001" in it.substringAfter("job-1") && "000000002" !in it })
    }

    @Test
    fun `a gang that is cancelled between its records starts nowhere and leaves nothing`() {
        val leader = Leader(5, writesPerS = 4.0)
        leader.reports()
        leader.submit(gang)
        leader.passUntil { logKeys().size >= 3 }
        leader.scheduler.onCancelled(gang.ref, Revision(++tide), now())
        repeat(30) {
            leader.pass()
            leader.reports()
        }
        assertEquals(0, launched.size)
        assertEquals(emptyList<String>(), stepRecords())
        nowMs += 200_000
        repeat(100) { leader.pass() }
        assertEquals(emptyList<String>(), logKeys())
    }

    @Test
    fun `a gang that loses a machine between its records is placed anew as a whole`() {
        val leader = Leader(5, writesPerS = 4.0)
        leader.reports()
        leader.submit(gang.copy(tasks = MACHINES - 1))
        leader.passUntil { logKeys().size >= 3 }
        nowMs += 9_000
        (1 until MACHINES).forEach(leader::report)
        nowMs += 3_000
        leader.passUntil({ (1 until MACHINES).forEach(leader::report) }) { stepRecords().isNotEmpty() }
        (1 until MACHINES).forEach(leader::report)
        assertEquals(MACHINES - 1, launched.size)
        assertEquals(setOf(2L), launched.values.toSet())
    }

    @Test
    fun `a step's record without one of its parts is not taken for a placement`() {
        val first = Leader(5)
        first.reports()
        first.submit(gang)
        first.passUntil { stepRecords().isNotEmpty() }
        store.remove(RecordKeys.SINGLE_LEADER.logPart(JobRef("job-1"), dewwing.protocol.Step(1), 3))
        val second = Leader(6).restore()
        assertEquals(0, second.scheduler.jobCounts(gang.ref)?.running)
        second.reports()
        second.passUntil { stepRecords().size >= 2 }
        assertTrue("log/job-1/000000002" in stepRecords())
    }

    private companion object {
        const val MACHINES = 1_500
        const val VALUE_BYTES = 4_096
        const val OPS = 8
        const val MOST_PASSES = 1_000
        const val TRANSACTION_BYTES = 64 * 1024
    }
}
