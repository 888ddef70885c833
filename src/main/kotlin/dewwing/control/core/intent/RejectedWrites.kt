package dewwing.control.core.intent

import dewwing.protocol.Duration
import dewwing.protocol.Instant

/**
 * What a scheduler does after the state service has rejected a transaction as malformed or too large. The same transaction
 * would be rejected again, so the following ones are smaller; a record that is rejected alone is postponed, and all others
 * are written.
 */
class RejectedWrites(
    private val maxChanges: Int,
) {
    private val postponedUntil = HashMap<String, Instant>()

    /** Maximum number of changes in the next transaction. */
    var batchLimit = maxChanges
        private set

    /** Returns the keys that are postponed; empty if a smaller transaction is to be tried. */
    fun onRejected(
        batch: WriteBatch,
        now: Instant,
    ): Set<String> {
        if (batchLimit > 1 && batch.changeCount > 1) {
            batchLimit = minOf(batchLimit, batch.changeCount) / 2
            return emptySet()
        }
        for (key in batch.conditionKeys + batch.changedKeys) postponedUntil[key] = now + POSTPONEMENT
        return batch.changedKeys
    }

    /** Larger transactions are tried again step by step. */
    fun onApplied() {
        batchLimit = minOf(maxChanges, batchLimit * 2)
    }

    /** Whether the record at [key], or a job's records if [key] is the job's, are not to be written now. */
    fun isPostponed(
        key: String,
        now: Instant,
    ): Boolean {
        val until = postponedUntil[key] ?: return false
        if (now < until) return true
        postponedUntil.remove(key)
        return false
    }

    private companion object {
        val POSTPONEMENT = Duration(60_000)
    }
}
