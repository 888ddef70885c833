package dewwing.protocol

/** The only place that knows the words of the wire; everything past it uses the field's ordinary terms. */
object Wire {
    const val MAX_BODY = 64 * 1024
    const val MAX_TASKS = 100_000L
    private const val MAX_TEXT = 200

    const val JOBS = "/api/jobs"
    const val HEALTH = "/up"
    const val REPORT = "/hello"
    const val COMMANDS = "/do"
    const val TYPES = "/flavors"
    const val MACHINES = "/rentals"
    const val RELEASE = "/rentals/release"
    const val STORE = "/store"
    const val COMMIT = "/commit"
    const val HOLDS = "/holds"
    const val FOLLOW = "/follow"

    private val shapes = mapOf("sweep" to JobShape.ARRAY, "group" to JobShape.GANG, "service" to JobShape.SERVICE)
    private val shapeWords = shapes.entries.associate { (word, shape) -> shape to word }
    private val urgencies = Urgency.entries.associateBy { it.name.lowercase() }
    private val stages = JobStage.entries.associateBy { it.name.lowercase() }
    private val taskStages =
        mapOf(
            "pulling" to TaskStage.FETCHING,
            "waiting" to TaskStage.WAITING,
            "running" to TaskStage.RUNNING,
            "saving" to TaskStage.SAVING,
            "ended" to TaskStage.ENDED,
        )
    private val causes =
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
    private val listed =
        mapOf(
            "starting" to ListedStage.STARTING,
            "running" to ListedStage.RUNNING,
            "failed" to ListedStage.FAILED,
        )

    fun stageWord(stage: JobStage): String = stage.name.lowercase()

    fun stageOf(word: String): JobStage? = stages[word]

    /** The id of a submission, so that a retry of a known job can be recognised before its content is judged. */
    fun submissionRef(body: Fields): JobRef? = (body.raw["ref"] as? String)?.let { JobRef.parse(it) }

    fun jobSpec(f: Fields): JobSpec {
        val ref = submissionRef(f) ?: f.wrong("ref", "a job id such as job-000412")
        val tasks = f.count("drops")
        if (tasks !in 1..MAX_TASKS) f.wrong("drops", "from 1 to $MAX_TASKS")
        val types = f.textsOrNull("perchKinds")
        if (types != null && types.isEmpty()) f.wrong("perchKinds", "null or a list that is not empty")
        return JobSpec(
            ref = ref,
            jobClass = f.short("flock"),
            team = f.short("roost"),
            shape = shapes[f.text("shape")] ?: f.wrong("shape", "sweep, group or service"),
            urgency = urgencies[f.text("urgency")] ?: f.wrong("urgency", "production, high, standard or low"),
            tasks = tasks.toInt(),
            need = Resources(f.amount("cores"), f.amount("accelerators"), f.amount("memoryGb")),
            image = f.short("seed"),
            imageGb = f.amount("sizeGb"),
            types = types?.onEach { if (it.length > MAX_TEXT) f.wrong("perchKinds", "a list of short text") },
            zone = f.textOrNull("meadow")?.also { if (it.length > MAX_TEXT) f.wrong("meadow", "shorter") },
            oneZone = f.flag("together"),
            spread = f.flag("apart"),
            spot = f.flag("windfall"),
            estimateS = f.amount("expectS"),
            checkpointS = f.amount("dewS"),
            saveS = f.amount("settleS"),
            deadlineS = f.amountOrNull("dueS"),
        )
    }

    private fun Fields.short(name: String): String {
        val text = text(name)
        if (text.isEmpty() || text.length > MAX_TEXT) wrong(name, "text of 1 to $MAX_TEXT characters")
        return text
    }

    fun jobSpecMap(s: JobSpec): Map<String, Any?> =
        linkedMapOf(
            "ref" to s.ref.value,
            "flock" to s.jobClass,
            "roost" to s.team,
            "shape" to shapeWords.getValue(s.shape),
            "urgency" to s.urgency.name.lowercase(),
            "drops" to s.tasks,
            "cores" to s.need.cores,
            "accelerators" to s.need.accelerators,
            "memoryGb" to s.need.memoryGb,
            "seed" to s.image,
            "sizeGb" to s.imageGb,
            "perchKinds" to s.types,
            "meadow" to s.zone,
            "together" to s.oneZone,
            "apart" to s.spread,
            "windfall" to s.spot,
            "expectS" to s.estimateS,
            "dewS" to s.checkpointS,
            "settleS" to s.saveS,
            "dueS" to s.deadlineS,
        )

    fun jobAnswer(
        ref: JobRef,
        stage: JobStage,
    ): Map<String, Any?> = linkedMapOf("ref" to ref.value, "stage" to stageWord(stage))

    fun queryAnswer(
        ref: JobRef,
        stage: JobStage,
        done: Int,
        running: Int,
    ): Map<String, Any?> = linkedMapOf("ref" to ref.value, "stage" to stageWord(stage), "done" to done, "running" to running)

    fun report(f: Fields): Report {
        val tasks =
            f.maps("drops").map { t ->
                val stage = taskStages[t.text("stage")] ?: t.wrong("stage", "a task state")
                ReportedTask(
                    task = TaskRef.parse(t.text("drop")) ?: t.wrong("drop", "a task such as job-000412/3"),
                    attempt = Step(t.count("try")),
                    stage = stage,
                    cause = if (stage == TaskStage.ENDED) causes[t.textOrNull("cause") ?: ""] ?: EndCause.OTHER else null,
                    saved = t.raw["saved"] == true,
                )
            }
        return Report(
            machine = MachineId(f.short("perch")),
            endpoint = f.text("endpoint"),
            type = f.text("perchKind"),
            zone = f.text("meadow"),
            spot = f.flag("windfall"),
            position = ReportPosition(f.count("flight"), f.count("beat")),
            term = Term(f.count("crest")),
            noticeS = f.amountOrNull("warnS"),
            tasks = tasks,
        )
    }

    fun reportAnswer(
        term: Term,
        commands: List<Command>,
    ): Map<String, Any?> = linkedMapOf("crest" to term.value, "calls" to commands.map(::commandMap))

    fun doBody(
        term: Term,
        session: Long,
        commands: List<Command>,
    ): Map<String, Any?> = linkedMapOf("crest" to term.value, "flight" to session, "calls" to commands.map(::commandMap))

    fun redirect(node: String?): Map<String, Any?> = if (node == null) emptyMap() else mapOf("nest" to node)

    private fun commandMap(c: Command): Map<String, Any?> =
        when (c) {
            is Command.Launch -> {
                linkedMapOf("call" to "launch", "drop" to c.task.toString(), "try" to c.attempt.value)
            }

            is Command.Kill -> {
                linkedMapOf(
                    "call" to "kill",
                    "drop" to c.task.toString(),
                    "try" to c.attempt.value,
                    "lingerS" to c.graceS,
                )
            }

            is Command.Reap -> {
                linkedMapOf("call" to "reap", "drop" to c.task.toString(), "try" to c.attempt.value)
            }
        }

    fun machineTypes(f: Fields): List<MachineType> =
        f.maps("perchKinds").map { t ->
            MachineType(
                name = t.text("name"),
                size = Resources(t.amount("cores"), t.amount("accelerators"), t.amount("memoryGb")),
                cacheGb = t.amount("cacheGb"),
                fetchGbPerS = t.amount("pullGbPerS"),
                price = t.amount("rate"),
                spotPrice = t.amountOrNull("marketPrice") ?: t.amount("rate"),
                bootS = t.amount("readyS"),
                zones = t.textsOrNull("meadows") ?: emptyList(),
            )
        }

    fun machineTypesMap(types: List<MachineType>): Map<String, Any?> =
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
        ask: String,
        type: String,
        zone: String,
        spot: Boolean,
        count: Int,
    ): Map<String, Any?> =
        linkedMapOf(
            "ask" to ask,
            "perchKind" to type,
            "meadow" to zone,
            "windfall" to spot,
            "count" to count,
        )

    fun rented(f: Fields): List<MachineId> = (f.textsOrNull("perches") ?: f.wrong("perches", "a list")).map(::MachineId)

    fun releaseBody(ids: List<MachineId>): Map<String, Any?> = mapOf("perches" to ids.map { it.value })

    fun machineList(f: Fields): Pair<List<ListedMachine>, Boolean> {
        val machines =
            f.maps("perches").map { m ->
                ListedMachine(
                    id = MachineId(m.text("ref")),
                    type = m.text("perchKind"),
                    zone = m.text("meadow"),
                    spot = m.flag("windfall"),
                    stage = listed[m.text("stage")] ?: m.wrong("stage", "starting, running or failed"),
                    ageS = m.amount("ageS"),
                )
            }
        return machines to (f.raw["hasNext"] == true)
    }

    /** One key as the state service holds it; a null value means that it was removed. */
    data class Entry(
        val key: String,
        val value: Map<String, Any?>?,
        val revision: Revision,
    )

    fun entry(f: Fields): Entry = Entry(f.text("path"), f.valueMap("value"), Revision(f.count("mark")))

    fun page(f: Fields): Triple<List<Entry>, Boolean, Revision> =
        Triple(f.maps("entries").map(::entry), f.raw["hasNext"] == true, Revision(f.count("tide")))

    fun tide(f: Fields): Revision = Revision(f.count("tide"))

    fun failedKeys(f: Fields): List<String> = f.textsOrNull("failed") ?: emptyList()

    fun followed(f: Fields): Pair<List<Entry>, Revision> {
        val entries =
            f.maps("log").map { e ->
                val put = e.textOrNull("put")
                if (put != null) {
                    Entry(put, e.valueMap("value"), Revision(e.count("mark")))
                } else {
                    Entry(e.text("remove"), null, Revision(e.count("mark")))
                }
            }
        return entries to tide(f)
    }

    fun holdBody(ttl: Duration): Map<String, Any?> = mapOf("ttlMs" to ttl.ms)

    fun holdId(f: Fields): StateLeaseId = StateLeaseId(f.count("tether"))

    @Suppress("UNCHECKED_CAST") // Decoded maps have text keys only; Pack refuses others.
    private fun Fields.valueMap(name: String): Map<String, Any?>? = raw[name] as? Map<String, Any?>

    /** A transaction may have so many conditions for each change that it may make. */
    const val CONDITIONS_PER_OP = 4

    /** A transaction that only compares. */
    fun compareBody(conditions: List<Pair<String, Revision>>): Map<String, Any?> = mapOf("if" to conditionList(conditions))

    private fun conditionList(conditions: List<Pair<String, Revision>>) =
        conditions.map { (key, revision) -> linkedMapOf("path" to key, "mark" to revision.value) }

    fun commitBody(
        conditions: List<Pair<String, Revision>>,
        puts: List<Triple<String, Map<String, Any?>, StateLeaseId?>>,
        removes: List<String>,
    ): Map<String, Any?> {
        val ops = ArrayList<Map<String, Any?>>(puts.size + removes.size)
        for ((key, value, hold) in puts) {
            val op = linkedMapOf<String, Any?>("put" to key, "value" to value)
            if (hold != null) op["tether"] = hold.value
            ops.add(op)
        }
        for (key in removes) ops.add(mapOf("remove" to key))
        return linkedMapOf(
            "if" to conditionList(conditions),
            "apply" to ops,
        )
    }

    fun error(message: String): Map<String, Any?> = mapOf("error" to message)
}
