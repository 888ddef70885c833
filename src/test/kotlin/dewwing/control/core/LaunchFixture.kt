package dewwing.control.core

import dewwing.control.core.intent.JobRecord
import dewwing.protocol.Command
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.JobStage
import dewwing.protocol.MachineId
import dewwing.protocol.MachineType
import dewwing.protocol.Report
import dewwing.protocol.ReportPosition
import dewwing.protocol.Resources
import dewwing.protocol.Revision
import dewwing.protocol.StateLimits
import dewwing.protocol.Term
import dewwing.protocol.Urgency

/** A scheduler with idle machines and the jobs placed on them, one task a machine. Each step takes no time. */
internal class LaunchFixture(
    private val machineCount: Int,
) {
    val scheduler =
        Scheduler(
            testSettings(Duration(4_000), Duration(22_000), StateLimits(1e6, 1e6, 65_536, 64)),
            Term(5),
            Revision(50),
            Instant(0),
            0,
        ).also { it.onMachineTypes(listOf(TYPE)) }
    val machines = List(machineCount) { MachineId("m-%06d".format(it)) }
    private val reports = HashMap<MachineId, Report>()
    private var sequence = 0L
    private var writeRevision = 1_000_000L

    init {
        machines.forEach(::report)
    }

    fun submit(
        number: Int,
        tasks: Int,
    ): JobRef {
        val spec =
            SchedulerHarness
                .job(number, tasks, urgency = Urgency.HIGH)
                .copy(need = NEED, estimateS = 30.0, checkpointS = 0.0, saveS = 0.0)
        scheduler.onJobRecord(spec.ref, JobRecord(JobStage.QUEUED, spec, 0), revisionOf(number), Instant(0))
        return spec.ref
    }

    fun revisionOf(number: Int) = Revision(number.toLong())

    /** A round whose write is answered only by [completeWrite]. */
    fun beginRound(): List<Effect> = scheduler.runRound(Instant(0)) { true }

    fun completeWrite() = scheduler.onWriteApplied(Revision(++writeRevision), Instant(0))

    /** Places all tasks that fit. */
    fun place() {
        while (beginRound().any { it is Effect.Write }) completeWrite()
    }

    /** A new report of [machine] arrives. */
    fun report(machine: MachineId) {
        val report = Report(machine, "10.0.0.1:1", TYPE.name, "a", false, ReportPosition(1, ++sequence), Term(5), null, emptyList())
        reports[machine] = report
        scheduler.onReport(report, Instant(0))
    }

    /** The launches in the answer to the newest report of [machine]. */
    fun launches(machine: MachineId): List<Command.Launch> =
        scheduler.takeCommands(reports.getValue(machine), Instant(0), launchAllowed = true).filterIsInstance<Command.Launch>()

    private companion object {
        val NEED = Resources(8.0, 0.0, 8.0)
        val TYPE = MachineType("k", NEED, 10.0, 1.0, 1.0, 0.5, 60.0, listOf("a"))
    }
}
