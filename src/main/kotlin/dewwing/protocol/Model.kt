package dewwing.protocol

/**
 * How a job's tasks relate: independent, all running at once, or independent and running until cancelled. Services
 * are not on the protocol page, but the kit's check of real processes submits one; see docs/questions.md.
 */
enum class JobShape { ARRAY, GANG, SERVICE }

/** Priority, most urgent first, so that the ordinal sorts. */
enum class Urgency { PRODUCTION, HIGH, STANDARD, LOW }

/** Stage of a job as its user sees it. */
enum class JobStage { QUEUED, RUNNING, DONE, ABORTED }

/** What a task, or a machine, holds or offers. */
data class Resources(
    val cores: Double,
    val accelerators: Double,
    val memoryGb: Double,
) {
    operator fun plus(o: Resources) = Resources(cores + o.cores, accelerators + o.accelerators, memoryGb + o.memoryGb)

    operator fun minus(o: Resources) = Resources(cores - o.cores, accelerators - o.accelerators, memoryGb - o.memoryGb)

    operator fun times(n: Int) = Resources(cores * n, accelerators * n, memoryGb * n)

    /** The smaller of each. */
    fun least(o: Resources) = Resources(minOf(cores, o.cores), minOf(accelerators, o.accelerators), minOf(memoryGb, o.memoryGb))

    /** How many of [task] fit in here together. */
    fun slots(task: Resources): Int {
        var n = Int.MAX_VALUE
        if (task.cores > 0) n = minOf(n, ((cores + EPSILON) / task.cores).toInt())
        if (task.accelerators > 0) n = minOf(n, ((accelerators + EPSILON) / task.accelerators).toInt())
        if (task.memoryGb > 0) n = minOf(n, ((memoryGb + EPSILON) / task.memoryGb).toInt())
        return maxOf(0, n)
    }

    fun holds(task: Resources): Boolean =
        task.cores <= cores + EPSILON && task.accelerators <= accelerators + EPSILON &&
            task.memoryGb <= memoryGb + EPSILON

    companion object {
        /** Sums of decimal amounts are compared with this much slack. */
        const val EPSILON = 1e-6
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}

/** A job as its user described it. */
data class JobSpec(
    val ref: JobRef,
    val jobClass: String,
    val team: String,
    val shape: JobShape,
    val urgency: Urgency,
    val tasks: Int,
    val need: Resources,
    val image: String,
    val imageGb: Double,
    val types: List<String>?,
    val zone: String?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spot: Boolean,
    val estimateS: Double,
    val checkpointS: Double,
    val saveS: Double,
    val deadlineS: Double?,
) {
    /** What may run at once at the least: one task, or the whole gang. */
    val unit: Resources get() = if (shape == JobShape.GANG) need * tasks else need
}

/** A machine type as the cloud offers it. */
data class MachineType(
    val name: String,
    val size: Resources,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val price: Double,
    val spotPrice: Double,
    val bootS: Double,
    val zones: List<String>,
)

enum class TaskStage { FETCHING, WAITING, RUNNING, SAVING, ENDED }

enum class EndCause { DONE, STOPPED, PEERS, INCOMPLETE, ERROR, NO_ROOM, IN_USE, UNKNOWN_JOB, OTHER }

/** One task of one job. */
data class TaskRef(
    val job: JobRef,
    val index: Int,
) {
    override fun toString(): String = "${job.value}/$index"

    companion object {
        fun parse(text: String): TaskRef? {
            val slash = text.indexOf('/')
            if (slash < 0) return null
            val job = JobRef.parse(text.substring(0, slash)) ?: return null
            val index = text.substring(slash + 1).toIntOrNull()?.takeIf { it >= 0 } ?: return null
            return TaskRef(job, index)
        }
    }
}

data class ReportedTask(
    val task: TaskRef,
    val attempt: Step,
    val stage: TaskStage,
    val cause: EndCause?,
    val saved: Boolean,
)

/** A worker's report. */
data class Report(
    val machine: MachineId,
    val endpoint: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val position: Position,
    val term: Term,
    val noticeS: Double?,
    val tasks: List<ReportedTask>,
)

/** A command to a worker. */
sealed interface Command {
    val task: TaskRef
    val attempt: Step

    data class Launch(
        override val task: TaskRef,
        override val attempt: Step,
    ) : Command

    data class Kill(
        override val task: TaskRef,
        override val attempt: Step,
        val graceS: Double,
    ) : Command

    data class Reap(
        override val task: TaskRef,
        override val attempt: Step,
    ) : Command
}

/** Stage in the cloud's list of machines. */
enum class ListedStage { STARTING, RUNNING, FAILED }

data class ListedMachine(
    val id: MachineId,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val stage: ListedStage,
    val ageS: Double,
)
