package dewwing.protocol

/**
 * How a job's tasks run: independently, all at the same time, or independently until the job is cancelled. The protocol
 * page does not describe services, but the platform's test of real processes submits one; see docs/questions.md.
 */
enum class JobShape { ARRAY, GANG, SERVICE }

/** Priority of a job. The most urgent comes first: sorting relies on the ordinal. */
enum class Urgency { PRODUCTION, HIGH, STANDARD, LOW }

/** Stage of a job as reported to its user. */
enum class JobStage { QUEUED, RUNNING, DONE, ABORTED }

/** Resources that a task needs or a machine provides. */
data class Resources(
    val cores: Double,
    val accelerators: Double,
    val memoryGb: Double,
) {
    operator fun plus(other: Resources) = Resources(cores + other.cores, accelerators + other.accelerators, memoryGb + other.memoryGb)

    operator fun minus(other: Resources) = Resources(cores - other.cores, accelerators - other.accelerators, memoryGb - other.memoryGb)

    operator fun times(factor: Int) = Resources(cores * factor, accelerators * factor, memoryGb * factor)

    /** The smaller amount of each resource. */
    fun componentwiseMin(other: Resources) =
        Resources(minOf(cores, other.cores), minOf(accelerators, other.accelerators), minOf(memoryGb, other.memoryGb))

    /** How many tasks that each need [task] fit into these resources together. */
    fun slots(task: Resources): Int {
        var count = Int.MAX_VALUE
        if (task.cores > 0) count = minOf(count, ((cores + EPSILON) / task.cores).toInt())
        if (task.accelerators > 0) count = minOf(count, ((accelerators + EPSILON) / task.accelerators).toInt())
        if (task.memoryGb > 0) count = minOf(count, ((memoryGb + EPSILON) / task.memoryGb).toInt())
        return maxOf(0, count)
    }

    /** How many machines of this size [tasks] tasks need that each need [task]; null if a machine cannot hold one. */
    fun machinesFor(
        tasks: Int,
        task: Resources,
    ): Int? = machinesFor(tasks, slots(task))

    fun canFit(task: Resources): Boolean =
        task.cores <= cores + EPSILON && task.accelerators <= accelerators + EPSILON &&
            task.memoryGb <= memoryGb + EPSILON

    companion object {
        /** How many machines with [slots] slots each [tasks] tasks need; null if a machine has none. */
        fun machinesFor(
            tasks: Int,
            slots: Int,
        ): Int? = if (slots <= 0) null else ((tasks.toLong() + slots - 1) / slots).toInt()

        /** Tolerance for comparing sums of decimal amounts, which carry rounding errors. */
        const val EPSILON = 1e-6
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}

/** A job's description, as submitted by its user. */
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
    /** The smallest amount that can be scheduled at once: one task, or the whole gang. */
    val schedulingUnit: Resources get() = if (shape == JobShape.GANG) need * tasks else need
}

/** A machine type that the cloud offers. */
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

/** A worker's periodic report of itself and its tasks. */
data class Report(
    val machine: MachineId,
    val endpoint: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val position: ReportPosition,
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

/** Stage of a machine in the cloud's list. */
enum class ListedStage { STARTING, RUNNING, FAILED }

data class ListedMachine(
    val id: MachineId,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val stage: ListedStage,
    val ageS: Double,
)
