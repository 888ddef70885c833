package dewwing.control.core.job

import dewwing.protocol.JobSpec
import dewwing.protocol.Objective
import kotlin.math.ceil

/**
 * What the deployment's objectives ask of each class of jobs, and until when one job has to start or to end for that.
 * All times are seconds since the job's submission.
 */
class ClassAims(
    objectives: List<Objective>,
) {
    private val starts = shortest(objectives.filterIsInstance<Objective.Start>(), { it.jobClass }, { it.withinS })
    private val finishes = shortest(objectives.filterIsInstance<Objective.Finish>(), { it.jobClass }, { it.withinS })
    private val deadlineFactors =
        objectives
            .filterIsInstance<Objective.Deadline>()
            .groupBy({ it.jobClass }, { it.times })
            .mapValues { (_, times) -> times.sorted() }

    /** Time within which work that a team's guarantee covers is to start, if there is such an aim. */
    val guaranteedStartS: Double? = objectives.filterIsInstance<Objective.GuaranteedStart>().minOfOrNull { it.withinS }

    private fun <T> shortest(
        aims: List<T>,
        jobClass: (T) -> String,
        withinS: (T) -> Double,
    ): Map<String, Double> = aims.groupBy(jobClass).mapValues { (_, list) -> list.minOf(withinS) }

    /** The shortest time within which tasks of the class are to start, of all its aims. */
    fun startS(jobClass: String): Double? = starts[jobClass]

    /**
     * Time within which the class's work is to be done, with some to spare. An aim for starts is met once the last task
     * has begun, so its run comes on top: taken as an aim for the end it rents half as many machines again as needed.
     */
    fun horizonS(
        jobClass: String,
        runS: Double,
    ): Double {
        val start = starts[jobClass]?.let { it + runS }
        val within = listOfNotNull(start, finishes[jobClass]).minOrNull() ?: DEFAULT_HORIZON_S
        return within * HORIZON_SHARE
    }

    /**
     * Until when a job with a deadline is to be done, or null without one. A job that can no longer meet its deadline is
     * held to the next aim of its class, a multiple of the deadline, and past the last one to the next whole multiple: it
     * is still wanted soon, but where there is more work than room it must not make a job late that can be in time.
     */
    fun deadlineS(
        spec: JobSpec,
        ageS: Double,
        neededS: Double,
    ): Double? {
        val deadline = boundedDeadlineS(spec) ?: return null
        val factor = attainable(spec, deadline, ageS + neededS) ?: ceil((ageS + neededS) / deadline)
        return deadline * factor
    }

    /** Whether the job has a deadline and can still be done within one of its class's aims for it. */
    fun canMeetDeadline(
        spec: JobSpec,
        ageS: Double,
        neededS: Double,
    ): Boolean = boundedDeadlineS(spec)?.let { attainable(spec, it, ageS + neededS) } != null

    private fun attainable(
        spec: JobSpec,
        deadlineS: Double,
        endS: Double,
    ): Double? = (deadlineFactors[spec.jobClass] ?: DEADLINE_ITSELF).firstOrNull { deadlineS * it >= endS }

    private fun boundedDeadlineS(spec: JobSpec): Double? = spec.deadlineS?.takeIf { it > 0 }?.coerceIn(1.0, LONGEST_S)

    /** Until when a job is to start; [fetchS] is the time that its image takes. */
    fun startDueS(
        spec: JobSpec,
        ageS: Double,
        fetchS: Double,
    ): Double {
        val runS = runS(spec)
        val byDeadline = deadlineS(spec, ageS, runS + fetchS)?.let { it - runS - fetchS }
        val byClass = starts[spec.jobClass] ?: if (byDeadline == null) horizonS(spec.jobClass, runS) else Double.MAX_VALUE
        return minOf(byClass, byDeadline ?: Double.MAX_VALUE)
    }

    companion object {
        private const val DEFAULT_HORIZON_S = 240.0
        private const val HORIZON_SHARE = 0.65
        private val DEADLINE_ITSELF = listOf(1.0)

        /** Far beyond any real run: longer times in a description would overflow what is worked out from them. */
        private const val LONGEST_S = 1e7

        /** The owner's estimate of a task's run, within bounds that arithmetic can hold. */
        fun runS(spec: JobSpec): Double = spec.estimateS.coerceIn(1.0, LONGEST_S)
    }
}
