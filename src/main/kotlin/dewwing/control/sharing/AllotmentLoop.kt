package dewwing.control.sharing

import dewwing.control.core.Scheduler
import dewwing.control.core.StateChange
import dewwing.control.core.sharing.Allotment
import dewwing.control.core.sharing.AllotmentPolicy
import dewwing.control.core.sharing.SchedulerScope
import dewwing.control.core.sharing.ShardId
import dewwing.control.core.sharing.ShardLayout
import dewwing.control.core.sharing.SharingKeys
import dewwing.control.core.sharing.TeamAllotments
import dewwing.control.core.sharing.TeamDemand
import dewwing.control.core.sharing.TeamResources
import dewwing.control.state.CommitResult
import dewwing.control.state.StateClient
import dewwing.control.state.StateUnavailableException
import dewwing.protocol.Instant
import dewwing.protocol.MalformedException
import dewwing.protocol.Revision
import dewwing.protocol.Team
import dewwing.protocol.Wire
import org.slf4j.LoggerFactory

/**
 * Keeps one shard within its part of each team's limit, and moves that part with the demand.
 *
 * A part is lowered in the scheduler before it is lowered in the state service, and raised after: whatever becomes of a
 * change, the scheduler never uses more than the record allows it.
 */
class AllotmentLoop(
    private val shard: ShardId,
    private val layout: ShardLayout,
    private val teams: List<Team>,
    private val scheduler: Scheduler,
    scope: SchedulerScope,
    private val state: StateClient,
    private val clock: () -> Instant,
) {
    private class Stored(
        val allotments: TeamAllotments,
        val revision: Revision,
    )

    private class Change(
        val team: Team,
        val next: Allotment,
        val stored: Stored,
    )

    private val log = LoggerFactory.getLogger("allotments")
    private val guards = scope.guards.map { it.key to it.revision }
    private val policy = AllotmentPolicy(shard)

    /** A change without an answer, which may be carried out until the record it depends on changes. */
    private class Uncertain(
        val revision: Revision,
        val held: TeamResources,
    )

    private val uncertain = HashMap<String, Uncertain>()

    /** What the scheduler is held to now. */
    private val applied = HashMap<String, TeamResources>()

    /** Holds the scheduler to what the records say; to be done before it decides anything. */
    suspend fun start() {
        val stored = read()
        for (team in limited()) {
            apply(
                team,
                stored
                    .getValue(team.name)
                    .allotments.shards[shard.index]
                    .allocated,
            )
        }
    }

    /** One adjustment, in one transaction. */
    suspend fun adjust() {
        val stored = read()
        val demands = scheduler.teamDemands(clock())
        val changes = limited().mapNotNull { change(it, stored.getValue(it.name), demands.getValue(it.name)) }.take(MAX_CHANGES)
        if (changes.isEmpty()) return
        for (change in changes) apply(change.team, least(applied[change.team.name], change.next.allocated))
        try {
            if (!write(changes)) return
        } catch (e: StateUnavailableException) {
            if (!e.knownNotApplied) {
                for (change in changes) {
                    uncertain[change.team.name] =
                        Uncertain(change.stored.revision, change.next.allocated)
                }
            }
            throw e
        }
        for (change in changes) {
            apply(change.team, change.next.allocated)
            log.debug("shard {}: team {} may use {}", shard, change.team.name, change.next.allocated)
        }
    }

    private fun limited() = teams.filter { it.coresMax != null || it.acceleratorsMax != null }

    private fun limitOf(team: Team) =
        TeamResources(team.coresMax ?: Double.POSITIVE_INFINITY, team.acceleratorsMax ?: Double.POSITIVE_INFINITY)

    private fun change(
        team: Team,
        stored: Stored,
        demand: TeamDemand,
    ): Change? {
        val before = stored.allotments.shards[shard.index]
        val pending = uncertain[team.name]?.takeIf { it.revision == stored.revision }
        if (pending == null) uncertain.remove(team.name)
        // The record is what counts, and as long as an unanswered change may still lower it, the lower of the two.
        val allowed = if (pending == null) before.allocated else least(before.allocated, pending.held)
        if (applied[team.name] != allowed) apply(team, allowed)
        val next = policy.next(limitOf(team), stored.allotments, demand)
        return if (next == before && pending == null) null else Change(team, next, stored)
    }

    private fun least(
        a: TeamResources?,
        b: TeamResources,
    ): TeamResources = if (a == null) b else TeamResources(minOf(a.cores, b.cores), minOf(a.accelerators, b.accelerators))

    private suspend fun write(changes: List<Change>): Boolean {
        val conditions = changes.map { SharingKeys.allotment(it.team.name) to it.stored.revision }
        val puts =
            changes.map {
                SharingKeys.allotment(it.team.name) to
                    it.stored.allotments
                        .with(shard, it.next)
                        .toValue()
            }
        return state.commit(StateChange(conditions + guards, puts)) is CommitResult.Applied
    }

    /** Of every limited team; what no record tells of lies with the first shard. */
    private suspend fun read(): Map<String, Stored> {
        val entries = HashMap<String, Wire.Entry>()
        state.list(SharingKeys.ALLOTMENTS) { page -> for (entry in page) entries[entry.key] = entry }
        return limited().associate { team -> team.name to stored(team, entries[SharingKeys.allotment(team.name)]) }
    }

    private fun stored(
        team: Team,
        entry: Wire.Entry?,
    ): Stored {
        val value = entry?.value ?: return Stored(TeamAllotments.initial(layout, finite(team)), Revision.ABSENT)
        val allotments =
            try {
                TeamAllotments.of(value).takeIf { it.shards.size == layout.count }
            } catch (e: MalformedException) {
                null
            }
        // Nobody can tell what others may use: nothing is started for the team here until the record is mended.
        if (allotments == null) log.error("the allotments of team {} cannot be read", team.name)
        return Stored(allotments ?: TeamAllotments(layout.all.map { Allotment.NONE }), entry.revision)
    }

    private fun finite(team: Team) = TeamResources(team.coresMax ?: 0.0, team.acceleratorsMax ?: 0.0)

    private fun apply(
        team: Team,
        held: TeamResources,
    ) {
        applied[team.name] = held
        scheduler.allot(
            team.copy(
                cores = part(team.cores, held.cores, team.coresMax),
                coresMax = team.coresMax?.let { held.cores },
                accelerators = part(team.accelerators, held.accelerators, team.acceleratorsMax),
                acceleratorsMax = team.acceleratorsMax?.let { held.accelerators },
            ),
        )
    }

    /** The guarantee is divided as the limit is; without a limit in equal parts. */
    private fun part(
        guaranteed: Double,
        held: Double,
        limit: Double?,
    ): Double = if (limit == null) guaranteed / layout.count else guaranteed * held / limit

    companion object {
        /** Few enough for the smallest transaction, with its guards. */
        private const val MAX_CHANGES = 4
        const val EVERY_MS = 1_000L
    }
}
