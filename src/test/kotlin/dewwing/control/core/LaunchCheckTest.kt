package dewwing.control.core

import dewwing.protocol.Instant
import dewwing.protocol.Revision
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tasks are launched only on proof, newer than the report that is answered, that their job is not cancelled (review/8). */
class LaunchCheckTest {
    private val fixture = LaunchFixture(1)
    private val scheduler = fixture.scheduler
    private val machine = fixture.machines.single()

    /** Guards against launches of a job that was cancelled after its placement, before the machine sent its report. */
    @Test
    fun `a task that was placed before the report arrived is launched only after a check of its job`() {
        val job = fixture.submit(1, tasks = 1)
        fixture.place()
        fixture.report(machine)
        assertEquals(setOf(job), scheduler.jobsToCheckBeforeLaunch(machine))
        val check = scheduler.startRevisionCheck(listOf(job))
        assertEquals(mapOf(job to fixture.revisionOf(1)), check.revisions)
        assertTrue(fixture.launches(machine).isEmpty())
        fixture.report(machine)
        scheduler.onRevisionsUnchanged(scheduler.startRevisionCheck(listOf(job)))
        assertEquals(emptySet<Any>(), scheduler.jobsToCheckBeforeLaunch(machine))
        assertEquals(1, fixture.launches(machine).size)
    }

    /** Guards against a slow state service: the answer may be new and the check older than the report. */
    @Test
    fun `the answer to a check that was requested before the report arrived launches nothing`() {
        val job = fixture.submit(1, tasks = 1)
        fixture.place()
        fixture.report(machine)
        val check = scheduler.startRevisionCheck(listOf(job))
        fixture.report(machine)
        scheduler.onRevisionsUnchanged(check)
        assertTrue(fixture.launches(machine).isEmpty())
    }

    /** The placement is conditional on the job's record, so its success is a check too; it must be as new as any other. */
    @Test
    fun `a placement that is written after the report arrived needs no check, an earlier one does`() {
        fixture.submit(1, tasks = 1)
        assertTrue(fixture.beginRound().any { it is Effect.Write })
        fixture.report(machine)
        fixture.completeWrite()
        assertTrue(fixture.launches(machine).isEmpty())

        val other = LaunchFixture(1)
        other.submit(1, tasks = 1)
        other.report(other.machines.single())
        other.place()
        assertEquals(1, other.launches(other.machines.single()).size)
    }

    /** Guards against a check that outlives what is known: its answer must not launch a job that was cancelled meanwhile. */
    @Test
    fun `a cancellation that arrives during a check withholds the launch`() {
        val job = fixture.submit(1, tasks = 1)
        fixture.place()
        fixture.report(machine)
        val check = scheduler.startRevisionCheck(listOf(job))
        scheduler.onCancelled(job, Revision(900), Instant(0))
        scheduler.onRevisionsUnchanged(check)
        assertTrue(fixture.launches(machine).isEmpty())
    }
}
