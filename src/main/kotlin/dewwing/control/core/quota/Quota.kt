package dewwing.control.core.quota

import dewwing.control.core.job.Job
import dewwing.protocol.JobRef
import dewwing.protocol.JobShape
import dewwing.protocol.JobSpec
import dewwing.protocol.Resources
import dewwing.protocol.Team

/**
 * Limits and guarantees of teams. An attempt counts towards its team's usage from the moment its log record is being written until it
 * is known to have ended.
 */
class Quota(
    teams: List<Team>,
) {
    private val teams = teams.associateByTo(HashMap()) { it.name }
    private val used = HashMap<String, Resources>()

    fun hasTeam(team: String): Boolean = team in teams

    /** Whether the team's limit covers what must run at once: all tasks of a gang, one task of any other job. */
    fun canEverRun(spec: JobSpec): Boolean {
        val team = teams[spec.team] ?: return false
        return fits(team, spec.schedulingUnit)
    }

    /**
     * Replaces a team's limit and guarantee by this scheduler's share of them; the rest may be allotted to other schedulers.
     * A resource without a limit stays unlimited.
     */
    fun allot(share: Team) {
        if (share.name in teams) teams[share.name] = share
    }

    fun used(team: String): Resources = used[team] ?: Resources.NONE

    fun add(job: Job) {
        used[job.spec.team] = used(job.spec.team) + job.spec.need
    }

    fun remove(job: Job) {
        used[job.spec.team] = used(job.spec.team) - job.spec.need
    }

    /**
     * Resources reserved per team for the rest of a scheduling round. They belong to gangs that wait for their team's limit:
     * without a reservation, jobs of lower rank would take the headroom task by task.
     */
    private val reserved = HashMap<String, Resources>()
    private val reservedJobs = HashSet<JobRef>()

    fun reserve(spec: JobSpec) {
        if (!reservedJobs.add(spec.ref)) return
        reserved[spec.team] = (reserved[spec.team] ?: Resources.NONE) + spec.schedulingUnit
    }

    fun clearReservations() {
        reserved.clear()
        reservedJobs.clear()
    }

    /** How many more tasks of this job the team's limit allows now. */
    fun taskHeadroom(spec: JobSpec): Int {
        val team = teams[spec.team] ?: return 0
        val usage = used(spec.team) + (reserved[spec.team] ?: Resources.NONE)
        var tasks = Int.MAX_VALUE
        if (team.coresMax != null && spec.need.cores > 0) {
            tasks = minOf(tasks, ((team.coresMax - usage.cores + Resources.EPSILON) / spec.need.cores).toInt())
        }
        if (team.acceleratorsMax != null && spec.need.accelerators > 0) {
            tasks = minOf(tasks, ((team.acceleratorsMax - usage.accelerators + Resources.EPSILON) / spec.need.accelerators).toInt())
        }
        return maxOf(0, tasks)
    }

    private fun fits(
        team: Team,
        amount: Resources,
    ): Boolean =
        (team.coresMax == null || amount.cores <= team.coresMax + Resources.EPSILON) &&
            (team.acceleratorsMax == null || amount.accelerators <= team.acceleratorsMax + Resources.EPSILON)

    /**
     * Returns the jobs whose demand, added to that of the earlier jobs of the same team, lies within the team's guarantee.
     * [jobsInOrder] are unfinished jobs. If a team has guaranteed accelerators only, its use of cores does not count; if it has
     * guaranteed cores only, a job is covered as long as neither it nor an earlier job of the team uses accelerators.
     */
    fun jobsWithinGuarantee(jobsInOrder: Collection<Job>): Set<Job> {
        val demandByTeam = HashMap<String, Resources>()
        val guaranteed = HashSet<Job>()
        for (job in jobsInOrder) {
            val team = teams[job.spec.team] ?: continue
            if (team.cores <= 0 && team.accelerators <= 0) continue
            val tasksLeft = if (job.spec.shape == JobShape.GANG) job.spec.tasks else job.spec.tasks - job.doneCount
            val demand = (demandByTeam[team.name] ?: Resources.NONE) + job.spec.need * tasksLeft
            demandByTeam[team.name] = demand
            val coresCovered = team.cores <= 0 || demand.cores <= team.cores + Resources.EPSILON
            val acceleratorsCovered = demand.accelerators <= team.accelerators + Resources.EPSILON
            if (coresCovered && acceleratorsCovered) guaranteed.add(job)
        }
        return guaranteed
    }
}
