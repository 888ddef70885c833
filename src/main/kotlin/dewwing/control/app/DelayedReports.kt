package dewwing.control.app

import dewwing.protocol.MachineId
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Reports whose answers are delayed, by machine, in the order of their arrival. Confined to the controller's thread. */
class DelayedReports {
    private val waiting = LinkedHashMap<MachineId, CompletableDeferred<Unit>>()

    val machines: Set<MachineId> get() = waiting.keys

    /** Waits until the report of [machine] is resumed, or replaced by a newer one, or [timeoutMs] have passed. */
    suspend fun await(
        machine: MachineId,
        timeoutMs: Long,
    ) {
        val resumed = CompletableDeferred<Unit>()
        waiting.put(machine, resumed)?.complete(Unit)
        try {
            withTimeoutOrNull(timeoutMs) { resumed.await() }
        } finally {
            waiting.remove(machine, resumed)
        }
    }

    /** Resumes the reports of the machines for which [condition] holds. They stay in [machines] until they have run. */
    fun resumeIf(condition: (MachineId) -> Boolean) {
        for ((machine, resumed) in waiting) if (!resumed.isCompleted && condition(machine)) resumed.complete(Unit)
    }
}
