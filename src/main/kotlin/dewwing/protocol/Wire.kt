package dewwing.protocol

/**
 * Encodes and decodes the messages exchanged with users, workers, the cloud and the state service. This is the only place that
 * uses the field names and values of these protocols; the rest of the code uses the usual terms.
 */
object Wire {
    const val MAX_BODY_BYTES = 64 * 1024
    const val MAX_TASKS_PER_JOB = 100_000L
    private const val MAX_TEXT_LENGTH = 200

    const val JOBS = "/api/jobs"
    const val HEALTH = "/up"
    const val REPORT = "/hello"
    const val COMMANDS = "/do"
    const val MACHINE_TYPES = "/flavors"
    const val MACHINES = "/rentals"
    const val RELEASE = "/rentals/release"
    const val STORE = "/store"
    const val COMMIT = "/commit"
    const val STATE_LEASES = "/holds"
    const val WATCH = "/follow"

    private val shapesByName = mapOf("sweep" to JobShape.ARRAY, "group" to JobShape.GANG, "service" to JobShape.SERVICE)
    private val shapeNames = shapesByName.entries.associate { (name, shape) -> shape to name }
    private val urgenciesByName = Urgency.entries.associateBy { it.name.lowercase() }
    private val stagesByName = JobStage.entries.associateBy { it.name.lowercase() }
    private val taskStagesByName =
        mapOf(
            "pulling" to TaskStage.FETCHING,
            "waiting" to TaskStage.WAITING,
            "running" to TaskStage.RUNNING,
            "saving" to TaskStage.SAVING,
            "ended" to TaskStage.ENDED,
        )
    private val endCausesByName =
        mapOf(
            "done" to EndCause.DONE,
            "halted" to EndCause.STOPPED,
            "peers" to EndCause.PEERS,
            "incomplete" to EndCause.INCOMPLETE,
            "error" to EndCause.ERROR,
            "no_room" to EndCause.NO_ROOM,
            "in_use" to EndCause.IN_USE,
            "no_such" to EndCause.UNKNOWN_JOB,
        )
    private val listedStagesByName =
        mapOf(
            "starting" to ListedStage.STARTING,
            "running" to ListedStage.RUNNING,
            "failed" to ListedStage.FAILED,
        )

    fun stageName(stage: JobStage): String = stage.name.lowercase()

    fun parseStage(name: String): JobStage? = stagesByName[name]

    /** The job ID of a submission, read before the other fields are checked, so that a retry for a known job is always recognized. */
    fun submittedJobRef(body: Fields): JobRef? = (body.raw["ref"] as? String)?.let { JobRef.parse(it) }

    fun decodeJobSpec(fields: Fields): JobSpec {
        val ref = submittedJobRef(fields) ?: fields.invalid("ref", "a job id such as job-000412")
        val tasks = fields.count("drops")
        if (tasks !in 1..MAX_TASKS_PER_JOB) fields.invalid("drops", "from 1 to $MAX_TASKS_PER_JOB")
        val types = fields.textListOrNull("perchKinds")
        if (types != null && types.isEmpty()) fields.invalid("perchKinds", "null or a list that is not empty")
        return JobSpec(
            ref = ref,
            jobClass = fields.shortText("flock"),
            team = fields.shortText("roost"),
            shape = shapesByName[fields.text("shape")] ?: fields.invalid("shape", "sweep, group or service"),
            urgency = urgenciesByName[fields.text("urgency")] ?: fields.invalid("urgency", "production, high, standard or low"),
            tasks = tasks.toInt(),
            need = Resources(fields.amount("cores"), fields.amount("accelerators"), fields.amount("memoryGb")),
            image = fields.shortText("seed"),
            imageGb = fields.amount("sizeGb"),
            types = types?.onEach { if (it.length > MAX_TEXT_LENGTH) fields.invalid("perchKinds", "a list of short text") },
            zone = fields.textOrNull("meadow")?.also { if (it.length > MAX_TEXT_LENGTH) fields.invalid("meadow", "shorter") },
            oneZone = fields.flag("together"),
            spread = fields.flag("apart"),
            spot = fields.flag("windfall"),
            estimateS = fields.amount("expectS"),
            checkpointS = fields.amount("dewS"),
            saveS = fields.amount("settleS"),
            deadlineS = fields.amountOrNull("dueS"),
        )
    }

    private fun Fields.shortText(name: String): String {
        val text = text(name)
        if (text.isEmpty() || text.length > MAX_TEXT_LENGTH) invalid(name, "text of 1 to $MAX_TEXT_LENGTH characters")
        return text
    }

    fun encodeJobSpec(spec: JobSpec): Map<String, Any?> =
        linkedMapOf(
            "ref" to spec.ref.value,
            "flock" to spec.jobClass,
            "roost" to spec.team,
            "shape" to shapeNames.getValue(spec.shape),
            "urgency" to spec.urgency.name.lowercase(),
            "drops" to spec.tasks,
            "cores" to spec.need.cores,
            "accelerators" to spec.need.accelerators,
            "memoryGb" to spec.need.memoryGb,
            "seed" to spec.image,
            "sizeGb" to spec.imageGb,
            "perchKinds" to spec.types,
            "meadow" to spec.zone,
            "together" to spec.oneZone,
            "apart" to spec.spread,
            "windfall" to spec.spot,
            "expectS" to spec.estimateS,
            "dewS" to spec.checkpointS,
            "settleS" to spec.saveS,
            "dueS" to spec.deadlineS,
        )

    fun jobAnswer(
        ref: JobRef,
        stage: JobStage,
    ): Map<String, Any?> = linkedMapOf("ref" to ref.value, "stage" to stageName(stage))

    fun jobStatusAnswer(
        ref: JobRef,
        stage: JobStage,
        done: Int,
        running: Int,
    ): Map<String, Any?> = linkedMapOf("ref" to ref.value, "stage" to stageName(stage), "done" to done, "running" to running)

    fun decodeReport(fields: Fields): Report {
        val tasks =
            fields.mapList("drops").map { task ->
                val stage = taskStagesByName[task.text("stage")] ?: task.invalid("stage", "a task state")
                ReportedTask(
                    task = TaskRef.parse(task.text("drop")) ?: task.invalid("drop", "a task such as job-000412/3"),
                    attempt = Step(task.count("try")),
                    stage = stage,
                    cause = if (stage == TaskStage.ENDED) endCausesByName[task.textOrNull("cause") ?: ""] ?: EndCause.OTHER else null,
                    saved = task.raw["saved"] == true,
                )
            }
        return Report(
            machine = MachineId(fields.shortText("perch")),
            endpoint = fields.text("endpoint"),
            type = fields.text("perchKind"),
            zone = fields.text("meadow"),
            spot = fields.flag("windfall"),
            position = ReportPosition(fields.count("flight"), fields.count("beat")),
            term = Term(fields.count("crest")),
            noticeS = fields.amountOrNull("warnS"),
            tasks = tasks,
        )
    }

    fun reportAnswer(
        term: Term,
        commands: List<Command>,
    ): Map<String, Any?> = linkedMapOf("crest" to term.value, "calls" to commands.map(::encodeCommand))

    fun commandsBody(
        term: Term,
        session: Long,
        commands: List<Command>,
    ): Map<String, Any?> = linkedMapOf("crest" to term.value, "flight" to session, "calls" to commands.map(::encodeCommand))

    fun redirectAnswer(node: String?): Map<String, Any?> = if (node == null) emptyMap() else mapOf("nest" to node)

    private fun encodeCommand(command: Command): Map<String, Any?> =
        when (command) {
            is Command.Launch -> {
                linkedMapOf("call" to "launch", "drop" to command.task.toString(), "try" to command.attempt.value)
            }

            is Command.Kill -> {
                linkedMapOf(
                    "call" to "kill",
                    "drop" to command.task.toString(),
                    "try" to command.attempt.value,
                    "lingerS" to command.graceS,
                )
            }

            is Command.Reap -> {
                linkedMapOf("call" to "reap", "drop" to command.task.toString(), "try" to command.attempt.value)
            }
        }

    fun decodeMachineTypes(fields: Fields): List<MachineType> =
        fields.mapList("perchKinds").map { type ->
            MachineType(
                name = type.text("name"),
                size = Resources(type.amount("cores"), type.amount("accelerators"), type.amount("memoryGb")),
                cacheGb = type.amount("cacheGb"),
                fetchGbPerS = type.amount("pullGbPerS"),
                price = type.amount("rate"),
                spotPrice = type.amountOrNull("marketPrice") ?: type.amount("rate"),
                bootS = type.amount("readyS"),
                zones = type.textListOrNull("meadows") ?: emptyList(),
            )
        }

    fun encodeMachineTypes(types: List<MachineType>): Map<String, Any?> =
        mapOf(
            "perchKinds" to
                types.map {
                    linkedMapOf(
                        "name" to it.name,
                        "cores" to it.size.cores,
                        "accelerators" to it.size.accelerators,
                        "memoryGb" to it.size.memoryGb,
                        "cacheGb" to it.cacheGb,
                        "pullGbPerS" to it.fetchGbPerS,
                        "rate" to it.price,
                        "marketPrice" to it.spotPrice,
                        "readyS" to it.bootS,
                        "meadows" to it.zones,
                    )
                },
        )

    fun rentBody(
        requestId: String,
        type: String,
        zone: String,
        spot: Boolean,
        count: Int,
    ): Map<String, Any?> =
        linkedMapOf(
            "ask" to requestId,
            "perchKind" to type,
            "meadow" to zone,
            "windfall" to spot,
            "count" to count,
        )

    fun decodeRentedMachines(fields: Fields): List<MachineId> =
        (fields.textListOrNull("perches") ?: fields.invalid("perches", "a list")).map(::MachineId)

    fun releaseBody(ids: List<MachineId>): Map<String, Any?> = mapOf("perches" to ids.map { it.value })

    fun decodeMachineList(fields: Fields): Pair<List<ListedMachine>, Boolean> {
        val machines =
            fields.mapList("perches").map { machine ->
                ListedMachine(
                    id = MachineId(machine.text("ref")),
                    type = machine.text("perchKind"),
                    zone = machine.text("meadow"),
                    spot = machine.flag("windfall"),
                    stage = listedStagesByName[machine.text("stage")] ?: machine.invalid("stage", "starting, running or failed"),
                    ageS = machine.amount("ageS"),
                )
            }
        return machines to (fields.raw["hasNext"] == true)
    }

    /** An entry of the state service. A null value means that the key was removed. */
    data class Entry(
        val key: String,
        val value: Map<String, Any?>?,
        val revision: Revision,
    )

    fun decodeEntry(fields: Fields): Entry = Entry(fields.text("path"), fields.mapValueOrNull("value"), Revision(fields.count("mark")))

    fun decodePage(fields: Fields): Triple<List<Entry>, Boolean, Revision> =
        Triple(fields.mapList("entries").map(::decodeEntry), fields.raw["hasNext"] == true, Revision(fields.count("tide")))

    fun decodeRevision(fields: Fields): Revision = Revision(fields.count("tide"))

    fun decodeFailedKeys(fields: Fields): List<String> = fields.textListOrNull("failed") ?: emptyList()

    fun decodeChanges(fields: Fields): Pair<List<Entry>, Revision> {
        val entries =
            fields.mapList("log").map { change ->
                val putKey = change.textOrNull("put")
                if (putKey != null) {
                    Entry(putKey, change.mapValueOrNull("value"), Revision(change.count("mark")))
                } else {
                    Entry(change.text("remove"), null, Revision(change.count("mark")))
                }
            }
        return entries to decodeRevision(fields)
    }

    fun stateLeaseBody(ttl: Duration): Map<String, Any?> = mapOf("ttlMs" to ttl.ms)

    fun decodeStateLeaseId(fields: Fields): StateLeaseId = StateLeaseId(fields.count("tether"))

    @Suppress("UNCHECKED_CAST") // Pack rejects maps with keys that are not text.
    private fun Fields.mapValueOrNull(name: String): Map<String, Any?>? = raw[name] as? Map<String, Any?>

    /** Number of conditions that the state service allows in a transaction for each operation that it allows there. */
    const val CONDITIONS_PER_OP = 4

    /** So many conditions on job records with the longest ids fit into [MAX_BODY_BYTES]. */
    const val MAX_JOB_CONDITIONS = 500

    /** Body of a transaction that compares revisions and changes nothing. */
    fun compareBody(conditions: List<Pair<String, Revision>>): Map<String, Any?> = mapOf("if" to encodeConditions(conditions))

    private fun encodeConditions(conditions: List<Pair<String, Revision>>) =
        conditions.map { (key, revision) -> linkedMapOf("path" to key, "mark" to revision.value) }

    fun commitBody(
        conditions: List<Pair<String, Revision>>,
        puts: List<Triple<String, Map<String, Any?>, StateLeaseId?>>,
        removes: List<String>,
    ): Map<String, Any?> {
        val ops = ArrayList<Map<String, Any?>>(puts.size + removes.size)
        for ((key, value, lease) in puts) {
            val op = linkedMapOf<String, Any?>("put" to key, "value" to value)
            if (lease != null) op["tether"] = lease.value
            ops.add(op)
        }
        for (key in removes) ops.add(mapOf("remove" to key))
        return linkedMapOf(
            "if" to encodeConditions(conditions),
            "apply" to ops,
        )
    }

    fun errorAnswer(message: String): Map<String, Any?> = mapOf("error" to message)
}
