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
 * Goes over from a single leader to shards with owners of their own, and back.
 *
 * Over: the single leader, and nobody else, replaces its holder record by the marker. Back: a controller that shares
 * nothing removes the marker once no shard has an owner. Both are one transaction that fails if anybody was elected
 * meanwhile, so that single leaders and owners of shards never act at the same time.
 */
class SharingSwitch(
    private val node: String,
    private val state: StateClient,
    private val opsPerCommit: Int,
    private val clock: () -> Instant,
) {
    private val log = LoggerFactory.getLogger("sharing")

    /**
     * Switches sharing on in the name of the single leader elected for [term] at [revision], which decides nothing any
     * more. False if it is not the leader any longer.
     */
    suspend fun open(
        term: Term,
        revision: Revision,
        layout: ShardLayout,
    ): Boolean {
        val change =
            StateChange(
                listOf(Keys.TERM to revision, Keys.HOLDER to revision),
                listOf(
                    Keys.TERM to ObservedTerm.termValue(term, node),
                    Keys.HOLDER to SharingMarker.value(layout),
                    Keys.EVER_SHARDED to emptyMap(),
                    SharingKeys.COUNTER to ObservedTerm.termValue(term, node),
                ),
            )
        return state.commit(change) is CommitResult.Applied
    }

    /** Removes what an earlier time of sharing has left; nobody uses it under a single leader. */
    suspend fun clear(revision: Revision) {
        for (prefix in listOf(SharingKeys.CLAIMS, SharingKeys.ALLOTMENTS, SharingKeys.PREFIX)) {
            val keys = ArrayList<String>()
            state.list(prefix) { page -> page.mapTo(keys) { it.key } }
            for (some in keys.chunked(opsPerCommit)) {
                state.commit(StateChange(listOf(Keys.TERM to revision), emptyList(), some))
                delay(CLEAR_PAUSE_MS)
            }
        }
    }

    private var abandonedSince: Instant? = null

    /**
     * Switches sharing off if no shard has had an owner for [ABANDONED_FOR]; [term] and [marker] are as just read. The
     * counter is a condition: any election would have changed it.
     */
    suspend fun closeIfAbandoned(
        term: Wire.Entry?,
        marker: SharingMarker,
    ) {
        val entries = ArrayList<Wire.Entry>()
        val asked = clock()
        state.list(SharingKeys.PREFIX) { entries.addAll(it) }
        val board = ShardBoard(entries, asked)
        if (!board.isAbandoned) {
            if (abandonedSince != null || !warned) log.warn("shards have owners: this controller, which shares nothing, leads nothing")
            warned = true
            abandonedSince = null
            return
        }
        val since = abandonedSince ?: asked.also { abandonedSince = it }
        if (asked - since < ABANDONED_FOR) return
        val highest = maxOf(board.highestToken, ObservedTerm.termOf(term))
        val change =
            StateChange(
                listOf(
                    Keys.TERM to (term?.revision ?: Revision.ABSENT),
                    Keys.HOLDER to marker.revision,
                    SharingKeys.COUNTER to board.counterRevision,
                ),
                listOf(Keys.TERM to ObservedTerm.termValue(highest, node)),
                listOf(Keys.HOLDER),
            )
        if (state.commit(change) is CommitResult.Applied) log.info("no shard has an owner any more: sharing is switched off")
        abandonedSince = null
    }

    private var warned = false

    private companion object {
        /** Any controller that shares takes a shard without an owner sooner; workers' leases must outlast it. */
        val ABANDONED_FOR = Duration(3_000)
        const val CLEAR_PAUSE_MS = 200L
    }
}
