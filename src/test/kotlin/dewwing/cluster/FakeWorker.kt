package dewwing.cluster

import dewwing.control.http.HttpClient
import dewwing.protocol.Endpoint
import dewwing.protocol.Fields
import dewwing.protocol.JobShape
import dewwing.protocol.Pack
import dewwing.protocol.TaskRef
import dewwing.protocol.Wire
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException

/** A machine's worker that follows the protocol. All workers and the task tracker are confined to one thread. */
internal class FakeWorker(
    selector: SelectorManager,
    private val machine: FakeCloud.RentedMachine,
    controllers: Map<String, Endpoint>,
    private val times: WorkerTimes,
    private val taskTracker: TaskTracker,
) {
    class WorkerTimes(
        val reportIntervalMs: Long,
        val leaseDurationMs: Long,
        val gangTimeoutMs: Long,
    )

    private class Task(
        val ref: TaskRef,
        val attempt: Long,
        val launchedAtMs: Long,
    ) {
        var stage = "running"
        var cause: String? = null
        var runningSinceMs: Long? = null
    }

    private val controllerNames = controllers.keys.toList()
    private val clients = controllers.mapValues { HttpClient(selector, it.value, maxIdleConnections = 1) }
    private var currentController = controllerNames[Math.floorMod(machine.name.hashCode(), controllerNames.size)]
    private val tasks = LinkedHashMap<TaskRef, Task>()
    private val reportRequests = Channel<Unit>(Channel.CONFLATED)
    private var session = 1L
    private var sequence = 0L
    private var term = 0L
    private var leaseStartMs = nowMs()

    /** Longest time between two consecutive responses that renewed the worker lease. */
    var longestResponseGapMs = 0L
        private set

    var hasRunTask = false
        private set

    /** Times between the last response of one owner's term and the first response of the next owner's term. */
    val ownerChangeGapsMs = ArrayList<Long>()
    private var lastResponseAtMs = 0L

    suspend fun run() {
        try {
            while (true) {
                expireLease()
                advanceTasks()
                report()
                withTimeoutOrNull(times.reportIntervalMs) { reportRequests.receive() }
                delay(MIN_REPORT_PAUSE_MS)
            }
        } finally {
            for (task in tasks.values) recordEnd(task, done = false)
        }
    }

    private fun expireLease() {
        if (nowMs() - leaseStartMs <= times.leaseDurationMs) return
        for (task in tasks.values) recordEnd(task, done = false)
        tasks.clear()
        session++
        leaseStartMs = nowMs()
    }

    private fun recordEnd(
        task: Task,
        done: Boolean,
    ) {
        if (task.stage == ENDED) return
        task.stage = ENDED
        taskTracker.onTaskEnded(task.ref, machine.name, done)
    }

    /** Moves tasks on: they run, finish, or stop waiting for their gang when its timeout is over. */
    private fun advanceTasks() {
        for (task in tasks.values.toList()) {
            if (task.stage == ENDED) continue
            val spec = taskTracker.spec(task.ref.job) ?: continue
            val mayRun = spec.shape != JobShape.GANG || taskTracker.isGangComplete(task.ref.job, task.attempt)
            task.stage = if (mayRun) "running" else "waiting"
            val sinceMs = if (mayRun) task.runningSinceMs ?: nowMs().also { task.runningSinceMs = it } else null
            val isGang = spec.shape == JobShape.GANG
            when {
                isGang && taskTracker.isDone(task.ref.job) -> endTask(task, "done")
                isGang && taskTracker.hasLostMember(task.ref.job, task.attempt) -> endTask(task, "peers")
                sinceMs != null && nowMs() - sinceMs >= spec.estimateS * 1000 -> endTask(task, "done")
                sinceMs == null && nowMs() - task.launchedAtMs >= times.gangTimeoutMs -> endTask(task, "incomplete")
            }
        }
    }

    private fun endTask(
        task: Task,
        cause: String,
    ) {
        recordEnd(task, done = cause == "done")
        if (cause == "done" && taskTracker.spec(task.ref.job)?.shape == JobShape.GANG) taskTracker.onGangDone(task.ref.job)
        task.cause = cause
        reportRequests.trySend(Unit)
    }

    /** Simulates a network cut: no controller can be reached. */
    var isCutOff = false

    private suspend fun report() {
        if (isCutOff) {
            switchToNextController()
            return
        }
        val sentMs = nowMs()
        val number = taskTracker.onReportSent()
        val response =
            try {
                clients.getValue(currentController).call("POST", Wire.REPORT, Pack.encode(reportBody()), RESPONSE_TIMEOUT_MS)
            } catch (e: IOException) {
                switchToNextController()
                return
            }
        if (response.status == 200) {
            applyResponse(Pack.decodeMap(response.body), sentMs, number)
            return
        }
        val redirectTarget = if (response.status == 421) Pack.decodeMap(response.body).textOrNull("nest") else null
        if (redirectTarget != null && redirectTarget != currentController && redirectTarget in clients) {
            currentController = redirectTarget
            reportRequests.trySend(Unit)
        } else {
            switchToNextController()
        }
    }

    private suspend fun switchToNextController() {
        delay(SWITCH_DELAY_MS)
        currentController = controllerNames[(controllerNames.indexOf(currentController) + 1) % controllerNames.size]
        reportRequests.trySend(Unit)
    }

    private fun reportBody(): Map<String, Any?> =
        mapOf(
            "perch" to machine.name,
            "endpoint" to "127.0.0.1:1",
            "perchKind" to FakeCloud.TYPE_NAME,
            "meadow" to machine.zone,
            "windfall" to machine.spot,
            "flight" to session,
            "beat" to ++sequence,
            "crest" to term,
            "drops" to
                tasks.values.map { mapOf("drop" to it.ref.toString(), "try" to it.attempt, "stage" to it.stage, "cause" to it.cause) },
        )

    private fun applyResponse(
        response: Fields,
        sentMs: Long,
        reportNumber: Long,
    ) {
        val responseTerm = response.count("crest")
        if (responseTerm < term || nowMs() - sentMs > RESPONSE_TIMEOUT_MS) return
        if (lastResponseAtMs > 0) {
            longestResponseGapMs = maxOf(longestResponseGapMs, nowMs() - lastResponseAtMs)
            if (responseTerm > term && term > 0) ownerChangeGapsMs.add(nowMs() - lastResponseAtMs)
        }
        lastResponseAtMs = nowMs()
        if (responseTerm > term) reportRequests.trySend(Unit)
        term = responseTerm
        leaseStartMs = sentMs
        taskTracker.onCommands(machine.name, term)
        for (command in response.mapList("calls")) executeCommand(command, reportNumber)
    }

    private fun executeCommand(
        command: Fields,
        reportNumber: Long,
    ) {
        val ref = TaskRef.parse(command.text("drop")) ?: return
        val attempt = command.count("try")
        val existing = tasks[ref]
        when (command.text("call")) {
            "launch" -> {
                if (existing != null || taskTracker.spec(ref.job) == null) return
                tasks[ref] = Task(ref, attempt, nowMs())
                hasRunTask = true
                taskTracker.onTaskStarted(ref, attempt, machine.name, reportNumber)
            }

            "kill" -> {
                if (existing?.attempt == attempt && existing.stage != ENDED) endTask(existing, "halted")
            }

            "reap" -> {
                if (existing?.attempt == attempt && existing.stage == ENDED) tasks.remove(ref)
            }
        }
        reportRequests.trySend(Unit)
    }

    private fun nowMs() = System.nanoTime() / 1_000_000

    private companion object {
        const val ENDED = "ended"
        const val RESPONSE_TIMEOUT_MS = 4_000L
        const val SWITCH_DELAY_MS = 1_000L
        const val MIN_REPORT_PAUSE_MS = 100L
    }
}
