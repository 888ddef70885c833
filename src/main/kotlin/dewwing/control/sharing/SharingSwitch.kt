package dewwing.control.sharing

import dewwing.control.app.ElectedTerm
import dewwing.control.app.ObservedTerm
import dewwing.control.core.StateChange
import dewwing.control.core.intent.Keys
import dewwing.control.core.leadership.CancelledJobs
import dewwing.control.core.sharing.ShardId
import dewwing.control.core.sharing.ShardLayout
import dewwing.control.core.sharing.SharingKeys
import dewwing.control.core.sharing.SharingMarker
import dewwing.control.state.CommitResult
import dewwing.control.state.StateClient
import dewwing.protocol.Duration
import dewwing.protocol.Instant
import dewwing.protocol.Revision
import dewwing.protocol.StateLeaseId
import dewwing.protocol.Term
import dewwing.protocol.Wire
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/** Sharding as the single leader has just enabled it. */
class EnabledSharding(
    val marker: SharingMarker,
    /** The term in which that controller owns [ShardId.FIRST]; null if a transaction cannot hold the election too. */
    val firstShardTerm: ElectedTerm?,
)

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
    private val stateLeaseTtl: Duration,
    private val clock: () -> Instant,
) {
    private val log = LoggerFactory.getLogger("sharing")
    private val cancelledJobsReader = CancelledJobsReader(state, clock)

    /** What the single leader needs to become the owner of [ShardId.FIRST]. */
    class Preparation(
        val cancelledJobs: CancelledJobs,
        val stateLease: StateLeaseId,
        val leaseSentAt: Instant,
    )

    suspend fun prepare(): Preparation {
        val cancelledJobs = cancelledJobsReader.read()
        val leaseSentAt = clock()
        return Preparation(cancelledJobs, state.createStateLease(stateLeaseTtl), leaseSentAt)
    }

    /**
     * Enables sharding on behalf of the single leader that was elected for [term] at [termRevision] and has paused its
     * scheduling rounds, and makes it the owner of [ShardId.FIRST], to which its jobs and machines belong. Without an owner,
     * an outage of the state service that begins now would cost all running tasks. Returns null if it is no longer the leader.
     */
    suspend fun enable(
        term: Term,
        termRevision: Revision,
        layout: ShardLayout,
        preparation: Preparation,
    ): EnabledSharding? {
        val conditions = listOf(Keys.TERM to termRevision, Keys.HOLDER to termRevision)
        val puts =
            listOf(
                Keys.TERM to ObservedTerm.termValue(term, node),
                Keys.HOLDER to SharingMarker.value(layout),
                Keys.EVER_SHARDED to emptyMap(),
            )
        val firstTerm = term.next()
        val electionPuts =
            listOf(
                SharingKeys.COUNTER to ObservedTerm.termValue(firstTerm, node),
                SharingKeys.term(ShardId.FIRST) to ObservedTerm.termValue(firstTerm, node),
                SharingKeys.holder(ShardId.FIRST) to ObservedTerm.holderValue(firstTerm, node, preparation.stateLease),
            )
        if (puts.size + electionPuts.size > opsPerCommit) {
            val change = StateChange(conditions, puts + (SharingKeys.COUNTER to ObservedTerm.termValue(term, node)))
            val result = state.commit(change) as? CommitResult.Applied ?: return null
            return EnabledSharding(SharingMarker(layout, result.revision), firstShardTerm = null)
        }
        val electionConditions = listOf(SharingKeys.term(ShardId.FIRST), SharingKeys.holder(ShardId.FIRST)).map { it to Revision.ABSENT }
        val change = StateChange(conditions + electionConditions, puts + electionPuts)
        val result =
            state.commit(change, preparation.stateLease, SharingKeys.holder(ShardId.FIRST)) as? CommitResult.Applied ?: return null
        val elected =
            ElectedTerm(
                firstTerm,
                result.revision,
                preparation.stateLease,
                preparation.leaseSentAt,
                predecessorReady = true,
                preparation.cancelledJobs,
            )
        return EnabledSharding(SharingMarker(layout, result.revision), elected)
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
