package dewwing.control.app

import dewwing.control.api.FakeStateService
import dewwing.control.core.LaunchFixture
import dewwing.control.core.TokenBucket
import dewwing.control.core.intent.Keys
import dewwing.control.state.withLoopbackState
import dewwing.protocol.Instant
import dewwing.protocol.JobRef
import dewwing.protocol.MachineId
import dewwing.protocol.Revision
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Checks of launches against a state service on loopback. */
class LaunchVerifierTest {
    private val stateService = FakeStateService().also { it.entries[TERM.first] = null to TERM.second.value }
    private val changedKeys = ArrayList<String>()

    private fun withVerifier(
        fixture: LaunchFixture,
        block: suspend (LaunchVerifier) -> Unit,
    ): Unit =
        withLoopbackState(stateService::handle) { state ->
            val clock = { Instant(System.nanoTime() / 1_000_000) }
            val budget = TokenBucket(100.0, 1.0)
            val verifier = LaunchVerifier(fixture.scheduler, state, listOf(TERM), budget, MAX_CONDITIONS, clock) { changedKeys += it }
            launch { verifier.run() }
            block(verifier)
        }

    private fun submit(
        fixture: LaunchFixture,
        number: Int,
        tasks: Int,
    ) {
        stateService.entries[Keys.job(fixture.submit(number, tasks))] = null to fixture.revisionOf(number).value
    }

    private suspend fun verifyAll(
        verifier: LaunchVerifier,
        machines: List<MachineId>,
    ) = coroutineScope { for (machine in machines) launch { verifier.verify(machine) } }

    /** Guards against a request for each report: at 4,000 machines they would exceed the rate of the state service. */
    @Test
    fun `reports of thousands of machines that arrive together share a few checks`() {
        val fixture = LaunchFixture(MACHINES)
        for (number in 1..JOBS) submit(fixture, number, MACHINES / JOBS)
        fixture.place()
        fixture.machines.forEach(fixture::report)
        withVerifier(fixture) { verifier ->
            verifyAll(verifier, fixture.machines)
            assertEquals(MACHINES, fixture.machines.sumOf { fixture.launches(it).size })
            assertTrue(stateService.requestCount <= MAX_CHECKS, "${stateService.requestCount} requests")
        }
    }

    /** Guards against one cancelled job that withholds the launches of all others: the service may name one changed record only. */
    @Test
    fun `cancelled jobs among those that are checked together withhold their own launches only`() {
        val fixture = LaunchFixture(8)
        for (number in 1..8) submit(fixture, number, tasks = 1)
        fixture.place()
        fixture.machines.forEach(fixture::report)
        val cancelled = listOf(2, 5).map { Keys.job(JobRef("job-$it")) }
        for (key in cancelled) stateService.entries[key] = null to CANCELLED_AT
        stateService.reportsOneFailedKey = true
        withVerifier(fixture) { verifier ->
            verifyAll(verifier, fixture.machines)
            val launched = fixture.machines.flatMap(fixture::launches).map { Keys.job(it.task.job) }
            assertEquals(6, launched.size)
            assertTrue(launched.none { it in cancelled })
        }
        assertEquals(cancelled.toSet(), changedKeys.toSet())
    }

    /** Guards against launches by a leader that has a successor, and by one that the state service refuses. */
    @Test
    fun `nothing is launched once the term has ended or while the state service does not answer`() {
        val fixture = LaunchFixture(1)
        submit(fixture, 1, tasks = 1)
        fixture.place()
        val machine = fixture.machines.single()
        withVerifier(fixture) { verifier ->
            fixture.report(machine)
            stateService.isDown = true
            verifier.verify(machine)
            assertTrue(fixture.launches(machine).isEmpty())
            stateService.isDown = false
            stateService.entries[TERM.first] = null to TERM.second.value + 1
            fixture.report(machine)
            verifier.verify(machine)
            assertTrue(fixture.launches(machine).isEmpty())
        }
        assertEquals(listOf(TERM.first), changedKeys)
    }

    private companion object {
        val TERM = Keys.TERM to Revision(50)
        const val MACHINES = 4_000
        const val JOBS = 40
        const val MAX_CONDITIONS = 32
        const val MAX_CHECKS = 4
        const val CANCELLED_AT = 5_000L
    }
}
