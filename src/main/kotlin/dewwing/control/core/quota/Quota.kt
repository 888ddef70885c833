package dewwing.control.core.quota

import dewwing.control.core.job.Job
import dewwing.protocol.JobRef
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.Resources
import dewwing.protocol.Team

/** Team limits and guarantees. Every attempt counts from when its log record is begun until it is proven gone. */
class Quota(
    teams: List<Team>,
) {
    private val teams = teams.associateByTo(HashMap()) { it.name }
    private val used = HashMap<String, Resources>()

    fun knows(team: String): Boolean = team in teams

    /** The least that must run at once lies within the team's limit. */
    fun canEverRun(spec: JobSpec): Boolean {
        val team = teams[spec.team] ?: return false
        return fits(team, spec.schedulingUnit)
    }

    /**
     * Bounds what this scheduler may use and count as guaranteed to its part of a team's limit; another part may be with
     * others. Amounts without a limit stay as they are.
     */
    fun allot(part: Team) {
        if (part.name in teams) teams[part.name] = part
    }

    fun used(team: String): Resources = used[team] ?: Resources.NONE

    fun add(job: Job) {
        used[job.spec.team] = used(job.spec.team) + job.spec.need
    }

    fun remove(job: Job) {
        used[job.spec.team] = used(job.spec.team) - job.spec.need
    }

    /** Kept within a round for a gang that its team's limit holds up, so that lower ranks don't take it bit by bit. */
    private val held = HashMap<String, Resources>()
    private val holders = HashSet<JobRef>()

    fun hold(spec: JobSpec) {
        if (!holders.add(spec.ref)) return
        held[spec.team] = (held[spec.team] ?: Resources.NONE) + spec.schedulingUnit
    }

    fun clearHolds() {
        held.clear()
        holders.clear()
    }

    /** How many more tasks of this job the team's limit allows now. */
    fun room(spec: JobSpec): Int {
        val team = teams[spec.team] ?: return 0
        val u = used(spec.team) + (held[spec.team] ?: Resources.NONE)
        var n = Int.MAX_VALUE
        if (team.coresMax != null && spec.need.cores > 0) {
            n = minOf(n, ((team.coresMax - u.cores + Resources.EPSILON) / spec.need.cores).toInt())
        }
        if (team.acceleratorsMax != null && spec.need.accelerators > 0) {
            n = minOf(n, ((team.acceleratorsMax - u.accelerators + Resources.EPSILON) / spec.need.accelerators).toInt())
        }
        return maxOf(0, n)
    }

    private fun fits(
        team: Team,
        amount: Resources,
    ): Boolean =
        (team.coresMax == null || amount.cores <= team.coresMax + Resources.EPSILON) &&
            (team.acceleratorsMax == null || amount.accelerators <= team.acceleratorsMax + Resources.EPSILON)

    /**
     * Jobs that lie within their team's guarantee together with the team's earlier unfinished jobs; a resource of
     * which nothing is guaranteed counts only when the job uses it.
     */
    fun guaranteed(jobsInOrder: Collection<Job>): Set<Job> {
        val total = HashMap<String, Resources>()
        val inside = HashSet<Job>()
        for (job in jobsInOrder) {
            val team = teams[job.spec.team] ?: continue
            if (team.cores <= 0 && team.accelerators <= 0) continue
            val left = if (job.spec.shape == JobShape.GANG) job.spec.tasks else job.spec.tasks - job.doneCount
            val sum = (total[team.name] ?: Resources.NONE) + job.spec.need * left
            total[team.name] = sum
            val cores = team.cores <= 0 || sum.cores <= team.cores + Resources.EPSILON
            val accelerators = sum.accelerators <= team.accelerators + Resources.EPSILON
            if (cores && accelerators) inside.add(job)
        }
        return inside
    }
}
