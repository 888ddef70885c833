package dewwing.control.core.intent

import dewwing.control.core.StateChange
import dewwing.protocol.Pack
import dewwing.protocol.Revision

/**
 * Builder for one transaction of the state service: its conditions, its changes, and callbacks for its outcome.
 *
 * The state service limits the changes and the bytes of a transaction; [isFull] tells when to stop adding records.
 *
 * @param maxChanges number of changes after which no further record is added
 * @param maxTransactionChanges number of changes that the state service accepts; records that belong together may take the
 *   batch beyond [maxChanges] and up to this limit
 */
class WriteBatch(
    private val maxChanges: Int,
    private val maxTransactionChanges: Int = maxChanges,
) {
    private val conditions = LinkedHashMap<String, Revision>()
    private val puts = ArrayList<Pair<String, Map<String, Any?>>>()
    private val removes = ArrayList<String>()
    private val appliedCallbacks = ArrayList<(Revision) -> Unit>()
    private val refusedCallbacks = ArrayList<() -> Unit>()

    /** Keys that only this transaction can create: if one of them exists, the transaction has been applied. */
    private val createdKeys = HashSet<String>()
    private var bytes = 0

    val changeCount: Int get() = puts.size + removes.size
    val isEmpty: Boolean get() = changeCount == 0

    /** Bytes still available for records. */
    val bytesLeft: Int get() = MAX_BYTES - bytes

    /**
     * Whether no further record should be added.
     *
     * @param limit bound on the changes if it is lower than the limit of the transaction
     */
    fun isFull(limit: Int = maxChanges): Boolean = changeCount >= minOf(limit, maxChanges) || bytesLeft < MIN_BYTES_LEFT

    /** Whether [changes] changes that belong together fit into the transaction. */
    fun hasRoomFor(changes: Int): Boolean = changeCount + changes <= maxTransactionChanges

    fun hasCondition(key: String): Boolean = key in conditions

    /** Keys whose revisions are conditions of the transaction. */
    val conditionKeys: Set<String> get() = conditions.keys

    /** Keys that the transaction writes or removes. */
    val changedKeys: Set<String> get() = puts.mapTo(LinkedHashSet()) { it.first } + removes

    /** Adds the condition that [key] is at [revision]; [Revision.ABSENT] means that it does not exist. */
    fun requireRevision(
        key: String,
        revision: Revision,
    ) {
        if (conditions.put(key, revision) == null) bytes += key.length + CONDITION_BYTES
    }

    fun put(
        key: String,
        value: Map<String, Any?>,
    ) {
        puts.add(key to value)
        bytes += key.length + Pack.jsonSize(value) + CHANGE_BYTES
    }

    /** Writes a new key, on condition that it does not exist. */
    fun create(
        key: String,
        value: Map<String, Any?>,
    ) {
        requireRevision(key, Revision.ABSENT)
        createUnconditionally(key, value)
    }

    /** Writes a new key whose absence is already implied by another condition. */
    fun createUnconditionally(
        key: String,
        value: Map<String, Any?>,
    ) {
        createdKeys.add(key)
        put(key, value)
    }

    fun remove(key: String) {
        removes.add(key)
        bytes += key.length + CHANGE_BYTES
    }

    fun onApplied(callback: (Revision) -> Unit) {
        appliedCallbacks.add(callback)
    }

    fun onRefused(callback: () -> Unit) {
        refusedCallbacks.add(callback)
    }

    fun toChange() = StateChange(conditions.toList(), puts, removes)

    /** Runs the callbacks for a transaction that was applied at [revision]. */
    fun notifyApplied(revision: Revision) {
        for (callback in appliedCallbacks) callback(revision)
    }

    /**
     * Runs the callbacks for a transaction whose conditions on the keys [failed] did not hold. If only this transaction can
     * have created one of those keys, an earlier attempt that got no answer was applied; its revision is not known.
     */
    fun notifyRefused(failed: List<String>) {
        if (failed.any { it in createdKeys }) {
            notifyApplied(Revision(0))
        } else {
            notifyNotApplied()
        }
    }

    /** Runs the callbacks for a transaction that was not and will not be applied. */
    fun notifyNotApplied() {
        for (callback in refusedCallbacks) callback()
    }

    companion object {
        /** The state service accepts 64 KiB; the remainder is for the encoding around the records. */
        private const val MAX_BYTES = 60 * 1024

        /** A larger record might never fit into a transaction that already holds others. */
        const val MAX_RECORD_BYTES = 48 * 1024

        /** With fewer bytes left than this, the next record is put into the next transaction. */
        private const val MIN_BYTES_LEFT = 2 * 1024
        private const val CONDITION_BYTES = 32
        private const val CHANGE_BYTES = 32
    }
}
