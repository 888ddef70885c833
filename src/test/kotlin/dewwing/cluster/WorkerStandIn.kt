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

/** A machine's worker, written from the protocol. All workers, and the ledger, are on one thread. */
internal class WorkerStandIn(
    selector: SelectorManager,
    private val machine: CloudStandIn.Rented,
    controllers: Map<String, Endpoint>,
    private val times: WorkerTimes,
    private val ledger: TaskLedger,
) {
    class WorkerTimes(
        val reportMs: Long,
        val leaseMs: Long,
        val gangWaitMs: Long,
    )

    private class Task(
        val ref: TaskRef,
        val attempt: Long,
        val startedMs: Long,
    ) {
        var stage = "running"
        var cause: String? = null
        var runsFromMs: Long? = null
    }

    private val names = controllers.keys.toList()
    private val clients = controllers.mapValues { HttpClient(selector, it.value, maxIdleConnections = 1) }
    private var at = names[Math.floorMod(machine.name.hashCode(), names.size)]
    private val tasks = LinkedHashMap<TaskRef, Task>()
    private val changed = Channel<Unit>(Channel.CONFLATED)
    private var session = 1L
    private var number = 0L
    private var token = 0L
    private var leaseFromMs = nowMs()

    /** The longest time between two answers that renewed the lease. */
    var longestSilenceMs = 0L
        private set

    var hasWorked = false
        private set

    /** Times between the last answer of one token and the first one of the next. */
    val ownerGapsMs = ArrayList<Long>()
    private var answeredAtMs = 0L

    suspend fun run() {
        try {
            while (true) {
                expireLease()
                step()
                report()
                withTimeoutOrNull(times.reportMs) { changed.receive() }
                delay(LEAST_PAUSE_MS)
            }
        } finally {
            for (task in tasks.values) leave(task, done = false)
        }
    }

    private fun expireLease() {
        if (nowMs() - leaseFromMs <= times.leaseMs) return
        for (task in tasks.values) leave(task, done = false)
        tasks.clear()
        session++
        leaseFromMs = nowMs()
    }

    private fun leave(
        task: Task,
        done: Boolean,
    ) {
        if (task.stage == ENDED) return
        task.stage = ENDED
        ledger.leaves(task.ref, machine.name, done)
    }

    /** Lets tasks run, finish, and give up waiting for their gang. */
    private fun step() {
        for (task in tasks.values.toList()) {
            if (task.stage == ENDED) continue
            val spec = ledger.spec(task.ref.job) ?: continue
            val whole = spec.shape != JobShape.GANG || ledger.isComplete(task.ref.job, task.attempt)
            task.stage = if (whole) "running" else "waiting"
            val from = if (whole) task.runsFromMs ?: nowMs().also { task.runsFromMs = it } else null
            val isGang = spec.shape == JobShape.GANG
            when {
                isGang && ledger.isDone(task.ref.job) -> end(task, "done")
                isGang && ledger.hasLostMember(task.ref.job, task.attempt) -> end(task, "peers")
                from != null && nowMs() - from >= spec.estimateS * 1000 -> end(task, "done")
                from == null && nowMs() - task.startedMs >= times.gangWaitMs -> end(task, "incomplete")
            }
        }
    }

    private fun end(
        task: Task,
        cause: String,
    ) {
        leave(task, done = cause == "done")
        if (cause == "done" && ledger.spec(task.ref.job)?.shape == JobShape.GANG) ledger.gangDone(task.ref.job)
        task.cause = cause
        changed.trySend(Unit)
    }

    private suspend fun report() {
        val sentMs = nowMs()
        val answer =
            try {
                clients.getValue(at).call("POST", Wire.REPORT, Pack.encode(body()), ANSWER_MS)
            } catch (e: IOException) {
                turnToNext()
                return
            }
        if (answer.status == 200) {
            obey(Pack.decodeMap(answer.body), sentMs)
            return
        }
        val named = if (answer.status == 421) Pack.decodeMap(answer.body).textOrNull("nest") else null
        if (named != null && named != at && named in clients) {
            at = named
            changed.trySend(Unit)
        } else {
            turnToNext()
        }
    }

    private suspend fun turnToNext() {
        delay(TURN_MS)
        at = names[(names.indexOf(at) + 1) % names.size]
        changed.trySend(Unit)
    }

    private fun body(): Map<String, Any?> =
        mapOf(
            "perch" to machine.name,
            "endpoint" to "127.0.0.1:1",
            "perchKind" to CloudStandIn.TYPE_NAME,
            "meadow" to machine.zone,
            "windfall" to machine.spot,
            "flight" to session,
            "beat" to ++number,
            "crest" to token,
            "drops" to
                tasks.values.map { mapOf("drop" to it.ref.toString(), "try" to it.attempt, "stage" to it.stage, "cause" to it.cause) },
        )

    private fun obey(
        answer: Fields,
        sentMs: Long,
    ) {
        val theirs = answer.count("crest")
        if (theirs < token || nowMs() - sentMs > ANSWER_MS) return
        if (answeredAtMs > 0) {
            longestSilenceMs = maxOf(longestSilenceMs, nowMs() - answeredAtMs)
            if (theirs > token && token > 0) ownerGapsMs.add(nowMs() - answeredAtMs)
        }
        answeredAtMs = nowMs()
        if (theirs > token) changed.trySend(Unit)
        token = theirs
        leaseFromMs = sentMs
        ledger.commanded(machine.name, token)
        for (call in answer.mapList("calls")) execute(call)
    }

    private fun execute(call: Fields) {
        val ref = TaskRef.parse(call.text("drop")) ?: return
        val attempt = call.count("try")
        val known = tasks[ref]
        when (call.text("call")) {
            "launch" -> {
                if (known != null || ledger.spec(ref.job) == null) return
                tasks[ref] = Task(ref, attempt, nowMs())
                hasWorked = true
                ledger.starts(ref, attempt, machine.name)
            }

            "kill" -> {
                if (known?.attempt == attempt && known.stage != ENDED) end(known, "halted")
            }

            "reap" -> {
                if (known?.attempt == attempt && known.stage == ENDED) tasks.remove(ref)
            }
        }
        changed.trySend(Unit)
    }

    private fun nowMs() = System.nanoTime() / 1_000_000

    private companion object {
        const val ENDED = "ended"
        const val ANSWER_MS = 4_000L
        const val TURN_MS = 1_000L
        const val LEAST_PAUSE_MS = 100L
    }
}
