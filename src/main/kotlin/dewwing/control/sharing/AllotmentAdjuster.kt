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
 * Keeps one shard within its share of each team's limit, and adjusts that share to the demand.
 *
 * A reduction is applied to the scheduler before it is written to the state service, and an increase only afterwards.
 * Whatever the outcome of a write, the scheduler therefore never uses more than the record allocates to its shard.
 */
class AllotmentAdjuster(
    private val shard: ShardId,
    private val layout: ShardLayout,
    private val teams: List<Team>,
    private val scheduler: Scheduler,
    scope: SchedulerScope,
    private val state: StateClient,
    private val clock: () -> Instant,
) {
    private class StoredAllotments(
        val allotments: TeamAllotments,
        val revision: Revision,
    )

    private class Change(
        val team: Team,
        val next: Allotment,
        val stored: StoredAllotments,
    )

    private val log = LoggerFactory.getLogger("allotments")
    private val guards = scope.guards.map { it.key to it.revision }
    private val policy = AllotmentPolicy(shard)

    /**
     * Changes whose write outcomes are unknown: any one of them may still be applied until the record at [revision] changes.
     * [allocated] is the least that one of them allocates.
     */
    private class UnknownChanges(
        val revision: Revision,
        val allocated: TeamResources,
    )

    private val unknownChanges = HashMap<String, UnknownChanges>()

    private fun rememberUnknownOutcome(change: Change) {
        val earlier = unknownChanges[change.team.name]?.takeIf { it.revision == change.stored.revision }
        val allocated = componentwiseMin(earlier?.allocated, change.next.allocated)
        unknownChanges[change.team.name] = UnknownChanges(change.stored.revision, allocated)
    }

    /** The allocations that the scheduler uses now, by team. */
    private val appliedAllocations = HashMap<String, TeamResources>()

    /** Sets the scheduler's allocations from the records; to be called before the scheduler's first scheduling round. */
    suspend fun applyStored() {
        val stored = readAll()
        for (team in limitedTeams()) {
            applyAllocation(
                team,
                stored
                    .getValue(team.name)
                    .allotments.shards[shard.index]
                    .allocated,
            )
        }
    }

    /** Adapts the allocations of several teams to their demand, in one transaction. */
    suspend fun adjust() {
        val stored = readAll()
        val demands = scheduler.teamDemands(clock())
        val changes = limitedTeams().mapNotNull { nextChange(it, stored.getValue(it.name), demands.getValue(it.name)) }.take(MAX_CHANGES)
        if (changes.isEmpty()) return
        for (change in changes) applyAllocation(change.team, componentwiseMin(appliedAllocations[change.team.name], change.next.allocated))
        try {
            if (!write(changes)) return
        } catch (e: StateUnavailableException) {
            if (!e.knownNotApplied) changes.forEach(::rememberUnknownOutcome)
            throw e
        }
        for (change in changes) {
            applyAllocation(change.team, change.next.allocated)
            log.debug("shard {}: allocation of team {} is now {}", shard, change.team.name, change.next.allocated)
        }
    }

    private fun limitedTeams() = teams.filter { it.coresMax != null || it.acceleratorsMax != null }

    private fun limitOf(team: Team) =
        TeamResources(team.coresMax ?: Double.POSITIVE_INFINITY, team.acceleratorsMax ?: Double.POSITIVE_INFINITY)

    private fun nextChange(
        team: Team,
        stored: StoredAllotments,
        demand: TeamDemand,
    ): Change? {
        val before = stored.allotments.shards[shard.index]
        val unknown = unknownChanges[team.name]?.takeIf { it.revision == stored.revision }
        if (unknown == null) unknownChanges.remove(team.name)
        // The record is authoritative. While changes of unknown outcome may still lower it, the lowest applies.
        val allowed = if (unknown == null) before.allocated else componentwiseMin(before.allocated, unknown.allocated)
        if (appliedAllocations[team.name] != allowed) applyAllocation(team, allowed)
        val next = policy.next(limitOf(team), stored.allotments, demand)
        return if (next == before && unknown == null) null else Change(team, next, stored)
    }

    private fun componentwiseMin(
        first: TeamResources?,
        second: TeamResources,
    ): TeamResources =
        if (first == null) second else TeamResources(minOf(first.cores, second.cores), minOf(first.accelerators, second.accelerators))

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

    /** The allotments of every team with a limit; a limit without a record is allocated to the first shard. */
    private suspend fun readAll(): Map<String, StoredAllotments> {
        val entries = HashMap<String, Wire.Entry>()
        state.list(SharingKeys.ALLOTMENTS) { page -> for (entry in page) entries[entry.key] = entry }
        return limitedTeams().associate { team -> team.name to parse(team, entries[SharingKeys.allotment(team.name)]) }
    }

    private fun parse(
        team: Team,
        entry: Wire.Entry?,
    ): StoredAllotments {
        val value = entry?.value ?: return StoredAllotments(TeamAllotments.initial(layout, finiteLimitOf(team)), Revision.ABSENT)
        val allotments =
            try {
                TeamAllotments.of(value).takeIf { it.shards.size == layout.count }
            } catch (e: MalformedException) {
                null
            }
        // The allocations of the other shards are unknown: this shard starts nothing for the team until the record is repaired.
        if (allotments == null) log.error("allotment record of team {} is malformed; the team's tasks are not started", team.name)
        return StoredAllotments(allotments ?: TeamAllotments(layout.all.map { Allotment.NONE }), entry.revision)
    }

    private fun finiteLimitOf(team: Team) = TeamResources(team.coresMax ?: 0.0, team.acceleratorsMax ?: 0.0)

    private fun applyAllocation(
        team: Team,
        allocated: TeamResources,
    ) {
        appliedAllocations[team.name] = allocated
        scheduler.allot(
            team.copy(
                cores = guaranteeShare(team.cores, allocated.cores, team.coresMax),
                coresMax = team.coresMax?.let { allocated.cores },
                accelerators = guaranteeShare(team.accelerators, allocated.accelerators, team.acceleratorsMax),
                acceleratorsMax = team.acceleratorsMax?.let { allocated.accelerators },
            ),
        )
    }

    /** The guarantee is divided in the same proportions as the limit, or into equal shares if the team has no limit. */
    private fun guaranteeShare(
        guaranteed: Double,
        allocated: Double,
        limit: Double?,
    ): Double = if (limit == null) guaranteed / layout.count else guaranteed * allocated / limit

    companion object {
        /** Small enough to fit, with the guards, into the smallest allowed transaction. */
        private const val MAX_CHANGES = 4
        const val INTERVAL_MS = 1_000L
    }
}
