package dewwing.control.sharing

import dewwing.control.app.ObservedTerm
import dewwing.control.core.StateChange
import dewwing.control.core.intent.Keys
import dewwing.control.core.sharing.ShardLayout
import dewwing.control.core.sharing.SharingKeys
import dewwing.control.core.sharing.SharingMarker
import dewwing.control.state.CommitResult
import dewwing.control.state.StateClient
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.Revision
import dewwing.protocol.Term
import dewwing.protocol.Wire
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/**
 * Enables and disables sharding, that is, changes between a single leader and shards with their own owners.
 *
 * Sharding is enabled by the single leader only, which replaces its holder record with the marker. It is disabled by a
 * controller that runs without sharding, which removes the marker once no shard has an owner. Each change is one
 * transaction that fails if any controller was elected meanwhile, so that a single leader and shard owners never act at the
 * same time.
 */
class SharingSwitch(
    private val node: String,
    private val state: StateClient,
    private val opsPerCommit: Int,
    private val clock: () -> Instant,
) {
    private val log = LoggerFactory.getLogger("sharing")

    /**
     * Enables sharding on behalf of the single leader that was elected for [term] at [termRevision] and has paused its
     * scheduling rounds. Returns false if it is no longer the leader.
     */
    suspend fun enable(
        term: Term,
        termRevision: Revision,
        layout: ShardLayout,
    ): Boolean {
        val change =
            StateChange(
                listOf(Keys.TERM to termRevision, Keys.HOLDER to termRevision),
                listOf(
                    Keys.TERM to ObservedTerm.termValue(term, node),
                    Keys.HOLDER to SharingMarker.value(layout),
                    Keys.EVER_SHARDED to emptyMap(),
                    SharingKeys.COUNTER to ObservedTerm.termValue(term, node),
                ),
            )
        return state.commit(change) is CommitResult.Applied
    }

    /** Removes the records of an earlier period of sharding, which are not used under a single leader. */
    suspend fun removeStaleRecords(termRevision: Revision) {
        for (prefix in listOf(SharingKeys.CLAIMS, SharingKeys.ALLOTMENTS, SharingKeys.PREFIX)) {
            val keys = ArrayList<String>()
            state.list(prefix) { page -> page.mapTo(keys) { it.key } }
            for (batch in keys.chunked(opsPerCommit)) {
                state.commit(StateChange(listOf(Keys.TERM to termRevision), emptyList(), batch))
                delay(REMOVAL_PAUSE_MS)
            }
        }
    }

    private var unownedSince: Instant? = null

    /**
     * Disables sharding if no shard has had an owner for [UNOWNED_TIMEOUT]; [term] and [marker] have just been read. The
     * transaction is conditional on the counter's revision, which changes with every election.
     */
    suspend fun disableIfUnowned(
        term: Wire.Entry?,
        marker: SharingMarker,
    ) {
        val entries = ArrayList<Wire.Entry>()
        val requestedAt = clock()
        state.list(SharingKeys.PREFIX) { entries.addAll(it) }
        val snapshot = ShardSnapshot(entries, requestedAt)
        if (!snapshot.hasNoOwners) {
            if (unownedSince != null || !warnedOfOwners) {
                log.warn("shards have owners; this controller runs without sharding and cannot lead")
            }
            warnedOfOwners = true
            unownedSince = null
            return
        }
        val since = unownedSince ?: requestedAt.also { unownedSince = it }
        if (requestedAt - since < UNOWNED_TIMEOUT) return
        val highestTerm = maxOf(snapshot.highestTerm, ObservedTerm.termOf(term))
        val change =
            StateChange(
                listOf(
                    Keys.TERM to (term?.revision ?: Revision.ABSENT),
                    Keys.HOLDER to marker.revision,
                    SharingKeys.COUNTER to snapshot.counterRevision,
                ),
                listOf(Keys.TERM to ObservedTerm.termValue(highestTerm, node)),
                listOf(Keys.HOLDER),
            )
        if (state.commit(change) is CommitResult.Applied) log.info("no shard has an owner any more; sharding is disabled")
        unownedSince = null
    }

    private var warnedOfOwners = false

    private companion object {
        /** A controller with sharding takes over an unowned shard sooner than this. Worker leases must last longer. */
        val UNOWNED_TIMEOUT = Duration(3_000)
        const val REMOVAL_PAUSE_MS = 200L
    }
}
