package dewwing.control.app

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import dewwing.control.core.Tunables
import dewwing.control.core.sharing.PlannerPolicy
import dewwing.control.sharing.LogSpanExporter
import dewwing.control.sharing.SharingOptions
import dewwing.protocol.Duration
import dewwing.protocol.InvalidSettingsException
import dewwing.protocol.Settings
import io.ktor.network.selector.ActorSelectorManager
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import java.io.File
import java.io.IOException
import java.util.concurrent.Executors
import kotlin.system.exitProcess

/** Parameters of the controller process, outside the core, that operators may tune. */
data class ControllerOptions(
    /** Lifetime of the leader's state lease; after a leader has failed, no other can be elected until the lease expires. */
    val stateLeaseTtl: Duration = Duration(2_500),
    /** How long one scheduling round may run; the remaining work is left to the next round. */
    val roundBudget: Duration = Duration(40),
)

private class DewwingCommand : CoreCliktCommand(name = "dewwing") {
    override fun help(context: Context) = "Cluster scheduler: runs one controller with the settings file that the platform provides."

    val config by option("--config", metavar = "FILE", help = "settings file (JSON) of the controller to run")
    val check by option("--check", help = "check the settings file and exit").flag()
    val classDataWarmup by option(
        "--class-data-warmup",
        hidden = true,
        help = "load the classes that a start needs, to record the class-data archive",
    ).flag()
    val collectorPeriodS by option(
        "--collector-period",
        envvar = "DEWWING_COLLECTOR_PERIOD",
        metavar = "S",
        help = "seconds between searches for operations that were logged but not completed (5)",
    ).double()
        .restrictTo(min = 0.1)
        .default(5.0)
    val relaunchWaitS by option(
        "--relaunch-wait",
        envvar = "DEWWING_RELAUNCH_WAIT",
        metavar = "S",
        help = "minimum seconds before a new leader relaunches tasks of a machine that has not reported; more if its lease needs it (0)",
    ).double()
        .restrictTo(min = 0.0)
        .default(0.0)
    val logRetentionS by option(
        "--log-life",
        envvar = "DEWWING_LOG_LIFE",
        metavar = "S",
        help = "seconds for which a finished job's log is kept (120)",
    ).double()
        .restrictTo(min = 1.0)
        .default(120.0)
    val stateLeaseTtlS by option(
        "--hold",
        envvar = "DEWWING_HOLD",
        metavar = "S",
        help = "lifetime in seconds of the leader's lease on the state service (2.5)",
    ).double()
        .restrictTo(min = 1.0, max = 8.0)
        .default(2.5)
    val idleTimeoutS by option(
        "--idle-keep",
        envvar = "DEWWING_IDLE_KEEP",
        metavar = "S",
        help = "seconds for which a machine without work is kept (15)",
    ).double()
        .restrictTo(min = 0.0)
        .default(15.0)
    val writeShare by option(
        "--write-share",
        envvar = "DEWWING_WRITE_SHARE",
        metavar = "X",
        help = "fraction of the state service's write rate that the leader may use (0.45)",
    ).double()
        .restrictTo(min = 0.05, max = 0.5)
        .default(0.45)
    val roundBudgetMs by option(
        "--round-budget",
        envvar = "DEWWING_ROUND_BUDGET",
        metavar = "MS",
        help = "milliseconds that one scheduling round may take (40)",
    ).double()
        .restrictTo(min = 1.0)
        .default(40.0)

    val shards by option(
        "--shards",
        envvar = "DEWWING_SHARDS",
        metavar = "N",
        help = "split all work into N shards, each owned by one of the controllers; 0: a single leader schedules everything (0)",
    ).int()
        .restrictTo(min = 0)
        .default(0)
    val startConfirmTimeoutS by option(
        "--shard-settle",
        envvar = "DEWWING_SHARD_SETTLE",
        metavar = "S",
        help = "seconds for which an owner waits until workers confirm the tasks it has started, before it hands off a shard (3)",
    ).double()
        .restrictTo(min = 0.1)
        .default(3.0)
    val shardMoveIntervalS by option(
        "--shard-move-interval",
        envvar = "DEWWING_SHARD_MOVE_INTERVAL",
        metavar = "S",
        help = "minimum seconds between two shard moves that balance load (30)",
    ).double()
        .restrictTo(min = 1.0)
        .default(30.0)
    val shardMoveDeadlineS by option(
        "--shard-move-deadline",
        envvar = "DEWWING_SHARD_MOVE_DEADLINE",
        metavar = "S",
        help = "seconds after which a shard move that has not completed is withdrawn (60)",
    ).double()
        .restrictTo(min = 1.0)
        .default(60.0)
    val shardDrillS by option(
        "--shard-drill",
        envvar = "DEWWING_SHARD_DRILL",
        metavar = "S",
        help = "as a drill, move one shard after another every S seconds, regardless of load (never)",
    ).double().restrictTo(min = 1.0)
    val traceMoves by option(
        "--trace-moves",
        envvar = "DEWWING_TRACE_MOVES",
        help = "log a trace span for each phase of a shard move",
    ).flag()

    init {
        versionOption(VERSION)
    }

    override fun run() {
        if (classDataWarmup) {
            ClassDataWarmup.run()
            return
        }
        val path = config ?: fail("--config FILE is missing")
        val settings =
            try {
                Settings.parse(File(path).readText())
            } catch (e: IOException) {
                fail("$path cannot be read: ${e.message}")
            } catch (e: InvalidSettingsException) {
                fail("$path: ${e.message}")
            }
        val sharing = sharingOptions()
        sharing?.validationError(settings)?.let { fail(it) }
        if (check) {
            echo("$path: ok")
            return
        }
        val tunables =
            Tunables(
                collectorPeriod = Duration.ofSeconds(collectorPeriodS),
                relaunchWait = Duration.ofSeconds(relaunchWaitS),
                logRetention = Duration.ofSeconds(logRetentionS),
                writeShare = writeShare,
                idleTimeout = Duration.ofSeconds(idleTimeoutS),
            )
        serve(
            settings,
            tunables,
            ControllerOptions(Duration.ofSeconds(stateLeaseTtlS), Duration(roundBudgetMs.toLong())),
            sharing,
            traceMoves,
        )
    }

    private fun sharingOptions(): SharingOptions? {
        if (shards == 0) return null
        val plannerPolicy =
            PlannerPolicy(
                moveInterval = Duration.ofSeconds(shardMoveIntervalS),
                moveDeadline = Duration.ofSeconds(shardMoveDeadlineS),
                drillInterval = shardDrillS?.let(Duration::ofSeconds),
            )
        return SharingOptions(shards, plannerPolicy, Duration.ofSeconds(startConfirmTimeoutS))
    }

    private fun fail(message: String): Nothing {
        echo("dewwing: $message", err = true)
        throw ProgramResult(EXIT_BAD_SETTINGS)
    }
}

private const val EXIT_BAD_SETTINGS = 2

/** How long a controller that receives SIGTERM may hand off its shards before it stops. */
private const val DRAIN_TIMEOUT_MS = 20_000L

const val VERSION = "0.7.0"

/** Runs a controller until the process is killed, on one thread; only the socket selector has a thread of its own. */
private fun serve(
    settings: Settings,
    tunables: Tunables,
    options: ControllerOptions,
    sharing: SharingOptions?,
    traceMoves: Boolean,
) {
    val selectorThread = Executors.newSingleThreadExecutor { task -> Thread(task, "selector").apply { isDaemon = true } }
    val selector = ActorSelectorManager(selectorThread.asCoroutineDispatcher())
    val metrics = Metrics()
    runBlocking {
        val tracing = if (sharing != null && traceMoves) LogSpanExporter.createTracing() else null
        val controller = Controller(settings, tunables, options, selector, metrics, sharing, tracing)
        if (sharing != null) Runtime.getRuntime().addShutdownHook(Thread { controller.drain(DRAIN_TIMEOUT_MS) })
        controller.run()
    }
}

/** Must run before any logger is created, since the simple logger reads these properties only once. */
private fun configureLogging() {
    val level =
        when (System.getenv("LOG_LEVEL")?.lowercase()) {
            "error" -> "error"
            "debug" -> "debug"
            else -> "info"
        }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level)
    System.setProperty("org.slf4j.simpleLogger.log.io", "error")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
}

fun main(args: Array<String>) {
    configureLogging()
    val command = DewwingCommand()
    try {
        command.parse(args)
    } catch (e: CliktError) {
        // Clikt's core module does not exit by itself: without this, rejected arguments would end with exit status 0.
        command.echoFormattedHelp(e)
        exitProcess(if (e.statusCode == 0) 0 else EXIT_BAD_SETTINGS)
    }
    if ("--class-data-warmup" in args) exitProcess(0)
}
