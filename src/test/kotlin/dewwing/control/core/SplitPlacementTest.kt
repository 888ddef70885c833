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

/** Gangs whose placement needs many log records, on a store that enforces the state service's limits. */
class SplitPlacementTest {
    private val store = sortedMapOf<String, Pair<Map<String, Any?>, Long>>()
    private var revision = 100L
    private var nowMs = 0L
    private var sequence = 0L
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
                testSettings(Duration(1_000), Duration(10_000), StateLimits(1e6, writesPerS, MAX_VALUE_BYTES, MAX_TRANSACTION_OPS)),
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

        /** Runs scheduling rounds until [condition] holds, and calls [afterRound] after each. */
        fun runUntil(
            afterRound: () -> Unit = {},
            condition: () -> Boolean,
        ) {
            repeat(MAX_ROUNDS) {
                if (condition()) return
                runRound()
                afterRound()
            }
            throw AssertionError("condition not met after $MAX_ROUNDS scheduling rounds; log records: ${logKeys()}")
        }

        /** Runs one scheduling round and commits its write; false if there was nothing to write. */
        fun runRound(): Boolean {
            nowMs += 200
            val write = scheduler.runRound(now()) { true }.filterIsInstance<Effect.Write>().singleOrNull() ?: return false
            commit(write.change)
            scheduler.onWriteApplied(Revision(revision), now())
            return true
        }

        fun report(machine: Int) {
            val report =
                Report(
                    MachineId(machineId(machine)),
                    "10.0.0.1:1",
                    "k",
                    "a",
                    false,
                    ReportPosition(1, ++sequence),
                    Term(term),
                    null,
                    emptyList(),
                )
            scheduler.onReport(report, now())
            for (command in scheduler.answerChecked(report, now())) {
                if (command is Command.Launch) launched[command.task] = command.attempt.value
            }
        }

        fun reportAll() = (0 until MACHINES).forEach(::report)

        fun submit(spec: JobSpec) {
            val record = JobRecord(JobStage.QUEUED, spec, nowMs)
            commit(StateChange(listOf(Keys.job(spec.ref) to Revision.ABSENT), listOf(Keys.job(spec.ref) to record.toValue())))
            scheduler.onJobRecord(spec.ref, record, Revision(revision), now())
        }
    }

    private fun machineId(machine: Int) = "m-%06d".format(machine)

    private fun commit(change: StateChange) {
        assertTrue(change.puts.size + change.removes.size <= MAX_TRANSACTION_OPS, "${change.puts.size} puts")
        assertTrue(change.conditions.size <= MAX_TRANSACTION_OPS * 4)
        val bytes = change.puts.sumOf { it.first.length + Pack.jsonSize(it.second) } + change.conditions.sumOf { it.first.length + 20 }
        assertTrue(bytes <= MAX_TRANSACTION_BYTES, "a transaction of $bytes bytes")
        revision++
        for ((key, value) in change.puts) {
            assertTrue(Pack.jsonSize(value) <= MAX_VALUE_BYTES, "$key: ${Pack.jsonSize(value)} bytes")
            @Suppress("UNCHECKED_CAST") // The keys were text when the value was encoded.
            val stored = Pack.decode(Pack.encode(value)) as Map<String, Any?>
            store[key] = stored to revision
        }
        for (key in change.removes) store.remove(key)
    }

    private fun logKeys() = store.keys.filter { it.startsWith(Keys.LOGS) }

    private fun stepRecords() = logKeys().filter { RecordKeys.parseLogKey(it)?.part == null }

    @Test
    fun `a gang of 1,500 machines is placed completely although one log record holds 140`() {
        val leader = Leader(5)
        leader.reportAll()
        leader.submit(gang)
        leader.runUntil({
            leader.reportAll()
            if (stepRecords().isEmpty()) assertEquals(0, launched.size, "launched before its placement was logged completely")
        }) { stepRecords().isNotEmpty() }
        assertTrue(logKeys().size > MAX_TRANSACTION_OPS, "the placement must need several transactions: ${logKeys().size} records")
        leader.reportAll()
        assertEquals(MACHINES, launched.size)
        assertEquals(setOf(1L), launched.values.toSet())
    }

    @Test
    fun `a new leader takes over a complete placement once its last record is written`() {
        val first = Leader(5)
        first.reportAll()
        first.submit(gang)
        first.runUntil { stepRecords().isNotEmpty() }
        val second = Leader(6).restore()
        second.submit(SchedulerHarness.job(2))
        // All capacity is taken by tasks that the first leader may have started.
        repeat(20) { second.runRound() }
        assertEquals(0, store.keys.count { it.startsWith("log/job-2/") })
        assertEquals(0, second.scheduler.jobCounts(gang.ref)?.running)
        assertEquals(1, stepRecords().size, "the gang must not be placed a second time")
    }

    @Test
    fun `part records of a leader that ended before it wrote the step record have no effect`() {
        val first = Leader(5, writesPerS = 4.0)
        first.reportAll()
        first.submit(gang)
        first.runUntil { logKeys().size >= 3 }
        assertEquals(emptyList<String>(), stepRecords())
        val second = Leader(6).restore()
        second.reportAll()
        second.runUntil { stepRecords().isNotEmpty() }
        assertEquals(listOf("log/job-1/000000002"), stepRecords(), "the step of the abandoned part records must not be used again")
        second.reportAll()
        assertEquals(setOf(2L), launched.values.toSet())
        // The abandoned part records are removed later.
        nowMs += 200_000
        repeat(50) { second.runRound() }
        assertEquals(emptyList<String>(), logKeys().filter { "/000000001" in it.substringAfter("job-1") && "000000002" !in it })
    }

    @Test
    fun `a gang cancelled before its step record is written is never launched and leaves no records`() {
        val leader = Leader(5, writesPerS = 4.0)
        leader.reportAll()
        leader.submit(gang)
        leader.runUntil { logKeys().size >= 3 }
        leader.scheduler.onCancelled(gang.ref, Revision(++revision), now())
        repeat(30) {
            leader.runRound()
            leader.reportAll()
        }
        assertEquals(0, launched.size)
        assertEquals(emptyList<String>(), stepRecords())
        nowMs += 200_000
        repeat(100) { leader.runRound() }
        assertEquals(emptyList<String>(), logKeys())
    }

    @Test
    fun `a gang that loses a machine before its step record is written is placed again completely`() {
        val leader = Leader(5, writesPerS = 4.0)
        leader.reportAll()
        leader.submit(gang.copy(tasks = MACHINES - 1))
        leader.runUntil { logKeys().size >= 3 }
        nowMs += 9_000
        (1 until MACHINES).forEach(leader::report)
        nowMs += 3_000
        leader.runUntil({ (1 until MACHINES).forEach(leader::report) }) { stepRecords().isNotEmpty() }
        (1 until MACHINES).forEach(leader::report)
        assertEquals(MACHINES - 1, launched.size)
        assertEquals(setOf(2L), launched.values.toSet())
    }

    @Test
    fun `a step record that lacks one of its part records does not count as a placement`() {
        val first = Leader(5)
        first.reportAll()
        first.submit(gang)
        first.runUntil { stepRecords().isNotEmpty() }
        store.remove(RecordKeys.SINGLE_LEADER.logPart(JobRef("job-1"), dewwing.protocol.Step(1), 3))
        val second = Leader(6).restore()
        assertEquals(0, second.scheduler.jobCounts(gang.ref)?.running)
        second.reportAll()
        second.runUntil { stepRecords().size >= 2 }
        assertTrue("log/job-1/000000002" in stepRecords())
    }

    private companion object {
        const val MACHINES = 1_500
        const val MAX_VALUE_BYTES = 4_096
        const val MAX_TRANSACTION_OPS = 8
        const val MAX_ROUNDS = 1_000
        const val MAX_TRANSACTION_BYTES = 64 * 1024
    }
}
