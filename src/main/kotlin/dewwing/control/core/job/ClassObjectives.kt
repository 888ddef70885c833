package dewwing.control.core.job

import dewwing.protocol.JobSpec
import dewwing.protocol.Objective
import kotlin.math.ceil

/**
 * The deployment's objectives by job class, and the times by which a single job has to start or finish to meet them.
 * All times are seconds since the job's submission.
 */
class ClassObjectives(
    objectives: List<Objective>,
) {
    private val startLimitS = shortest(objectives.filterIsInstance<Objective.Start>(), { it.jobClass }, { it.withinS })
    private val finishLimitS = shortest(objectives.filterIsInstance<Objective.Finish>(), { it.jobClass }, { it.withinS })
    private val deadlineFactors =
        objectives
            .filterIsInstance<Objective.Deadline>()
            .groupBy({ it.jobClass }, { it.factor })
            .mapValues { (_, factors) -> factors.sorted() }

    /** Time within which work covered by a team's guarantee has to start, or null without such an objective. */
    val guaranteedStartS: Double? = objectives.filterIsInstance<Objective.GuaranteedStart>().minOfOrNull { it.withinS }

    private fun <T> shortest(
        objectives: List<T>,
        jobClass: (T) -> String,
        withinS: (T) -> Double,
    ): Map<String, Double> = objectives.groupBy(jobClass).mapValues { (_, list) -> list.minOf(withinS) }

    /** The shortest start objective of the class. */
    fun startS(jobClass: String): Double? = startLimitS[jobClass]

    /**
     * Time within which the class's work should be done, with a safety margin ([HORIZON_SHARE]). A start objective is met when
     * the last task has started, so the run time is added to it: treating it as an objective for the finish would rent half as
     * many machines again as needed.
     */
    fun horizonS(
        jobClass: String,
        runS: Double,
    ): Double {
        val startAndRun = startLimitS[jobClass]?.let { it + runS }
        val within = listOfNotNull(startAndRun, finishLimitS[jobClass]).minOrNull() ?: DEFAULT_HORIZON_S
        return within * HORIZON_SHARE
    }

    /**
     * Time by which the job should be done, or null if it has no deadline. A job that can no longer meet its deadline gets the
     * next objective of its class, which is a multiple of the deadline, and after the last objective the next whole multiple.
     * It should still finish soon, but under overload it must not delay a job that can meet its deadline.
     */
    fun deadlineS(
        spec: JobSpec,
        ageS: Double,
        neededS: Double,
    ): Double? {
        val deadline = boundedDeadlineS(spec) ?: return null
        val factor = attainableFactor(spec, deadline, ageS + neededS) ?: ceil((ageS + neededS) / deadline)
        return deadline * factor
    }

    /** Whether the job has a deadline and can still meet one of its class's deadline objectives. */
    fun canMeetDeadline(
        spec: JobSpec,
        ageS: Double,
        neededS: Double,
    ): Boolean = boundedDeadlineS(spec)?.let { attainableFactor(spec, it, ageS + neededS) } != null

    private fun attainableFactor(
        spec: JobSpec,
        deadlineS: Double,
        endS: Double,
    ): Double? = (deadlineFactors[spec.jobClass] ?: DEFAULT_DEADLINE_FACTORS).firstOrNull { deadlineS * it >= endS }

    private fun boundedDeadlineS(spec: JobSpec): Double? = spec.deadlineS?.takeIf { it > 0 }?.coerceIn(1.0, MAX_DURATION_S)

    /** Time by which the job has to start; [fetchS] is the time it takes to fetch its image. */
    fun startDueS(
        spec: JobSpec,
        ageS: Double,
        fetchS: Double,
    ): Double {
        val runS = estimatedRunS(spec)
        val dueByDeadline = deadlineS(spec, ageS, runS + fetchS)?.let { it - runS - fetchS }
        val dueByClass = startLimitS[spec.jobClass] ?: if (dueByDeadline == null) horizonS(spec.jobClass, runS) else Double.MAX_VALUE
        return minOf(dueByClass, dueByDeadline ?: Double.MAX_VALUE)
    }

    companion object {
        private const val DEFAULT_HORIZON_S = 240.0
        private const val HORIZON_SHARE = 0.65
        private val DEFAULT_DEADLINE_FACTORS = listOf(1.0)

        /** Far longer than any real run; longer times in a job description would overflow later calculations. */
        private const val MAX_DURATION_S = 1e7

        /** The user's estimate of a task's run time, clamped so that calculations with it cannot overflow. */
        fun estimatedRunS(spec: JobSpec): Double = spec.estimateS.coerceIn(1.0, MAX_DURATION_S)
    }
}
