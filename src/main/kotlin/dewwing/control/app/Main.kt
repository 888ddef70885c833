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

/** Operators' own settings of the process round the core. */
data class Options(
    /** Life of the leader's hold on the state service: the time a dead leader's place stays taken. */
    val holdTtl: Duration = Duration(2_500),
    /** Time one decision round may take before it goes on in the next. */
    val roundBudget: Duration = Duration(40),
)

private class Dewwing : CoreCliktCommand(name = "dewwing") {
    override fun help(context: Context) = "Cluster scheduler: one controller, run by the settings file the platform hands over."

    val config by option("--config", metavar = "FILE", help = "settings file (JSON); run the controller")
    val check by option("--check", help = "check the settings file and exit").flag()
    val classDataWarmup by option("--class-data-warmup", hidden = true, help = "load what a start needs, for the class-data archive").flag()
    val collectorS by option(
        "--collector-period",
        envvar = "DEWWING_COLLECTOR_PERIOD",
        metavar = "S",
        help = "seconds between looks for unfinished calls (5)",
    ).double()
        .restrictTo(min = 0.1)
        .default(5.0)
    val relaunchS by option(
        "--relaunch-wait",
        envvar = "DEWWING_RELAUNCH_WAIT",
        metavar = "S",
        help = "least seconds before a new leader gives up on a machine that has not reported; never less than its lease needs (0)",
    ).double()
        .restrictTo(min = 0.0)
        .default(0.0)
    val logLifeS by option("--log-life", envvar = "DEWWING_LOG_LIFE", metavar = "S", help = "seconds a finished job's log is kept (120)")
        .double()
        .restrictTo(min = 1.0)
        .default(120.0)
    val holdS by option("--hold", envvar = "DEWWING_HOLD", metavar = "S", help = "life of the leader's hold in seconds (2.5)")
        .double()
        .restrictTo(min = 1.0, max = 8.0)
        .default(2.5)
    val idleS by option("--idle-keep", envvar = "DEWWING_IDLE_KEEP", metavar = "S", help = "seconds a machine without work is kept (15)")
        .double()
        .restrictTo(min = 0.0)
        .default(15.0)
    val writeShare by option(
        "--write-share",
        envvar = "DEWWING_WRITE_SHARE",
        metavar = "X",
        help = "the leader's share of the state service's change rate (0.45)",
    ).double()
        .restrictTo(min = 0.05, max = 0.5)
        .default(0.45)
    val budgetMs by option(
        "--round-budget",
        envvar = "DEWWING_ROUND_BUDGET",
        metavar = "MS",
        help = "milliseconds one decision round may take (40)",
    ).double()
        .restrictTo(min = 1.0)
        .default(40.0)

    val shards by option(
        "--shards",
        envvar = "DEWWING_SHARDS",
        metavar = "N",
        help = "split all work into N shards, each with an owner among the controllers; 0: a single leader does it all (0)",
    ).int()
        .restrictTo(min = 0)
        .default(0)
    val shardSettleS by option(
        "--shard-settle",
        envvar = "DEWWING_SHARD_SETTLE",
        metavar = "S",
        help = "seconds for which an owner waits for its starts to show before it hands a shard over (3)",
    ).double()
        .restrictTo(min = 0.1)
        .default(3.0)
    val shardMoveIntervalS by option(
        "--shard-move-interval",
        envvar = "DEWWING_SHARD_MOVE_INTERVAL",
        metavar = "S",
        help = "least seconds between two moves that even out load (30)",
    ).double()
        .restrictTo(min = 1.0)
        .default(30.0)
    val shardMoveDeadlineS by option(
        "--shard-move-deadline",
        envvar = "DEWWING_SHARD_MOVE_DEADLINE",
        metavar = "S",
        help = "seconds after which a move that has not come about is withdrawn (60)",
    ).double()
        .restrictTo(min = 1.0)
        .default(60.0)
    val shardDrillS by option(
        "--shard-drill",
        envvar = "DEWWING_SHARD_DRILL",
        metavar = "S",
        help = "move one shard after another every S seconds whatever the load, as a drill (never)",
    ).double().restrictTo(min = 1.0)
    val traceMoves by option("--trace-moves", envvar = "DEWWING_TRACE_MOVES", help = "log a span for each phase of a shard's move").flag()

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
                collectorPeriod = Duration.ofSeconds(collectorS),
                relaunchWait = Duration.ofSeconds(relaunchS),
                logRetention = Duration.ofSeconds(logLifeS),
                writeShare = writeShare,
                idleTimeout = Duration.ofSeconds(idleS),
            )
        serve(settings, tunables, Options(Duration.ofSeconds(holdS), Duration(budgetMs.toLong())), sharing, traceMoves)
    }

    private fun sharingOptions(): SharingOptions? {
        if (shards == 0) return null
        val policy =
            PlannerPolicy(
                moveInterval = Duration.ofSeconds(shardMoveIntervalS),
                moveDeadline = Duration.ofSeconds(shardMoveDeadlineS),
                drillInterval = shardDrillS?.let(Duration::ofSeconds),
            )
        return SharingOptions(shards, policy, Duration.ofSeconds(shardSettleS))
    }

    private fun fail(message: String): Nothing {
        echo("dewwing: $message", err = true)
        throw ProgramResult(BAD_SETTINGS)
    }
}

private const val BAD_SETTINGS = 2

/** A controller that is told to stop (SIGTERM) hands its shards over for so long before it does. */
private const val DRAIN_MS = 20_000L

const val VERSION = "0.7.0"

/** Runs a controller until the process is killed: one thread for everything, one for the socket selector. */
private fun serve(
    settings: Settings,
    tunables: Tunables,
    options: Options,
    sharing: SharingOptions?,
    traceMoves: Boolean,
) {
    val selectorThread = Executors.newSingleThreadExecutor { r -> Thread(r, "selector").apply { isDaemon = true } }
    val selector = ActorSelectorManager(selectorThread.asCoroutineDispatcher())
    val metrics = Metrics()
    runBlocking {
        val tracing = if (sharing != null && traceMoves) LogSpanExporter.createTracing() else null
        val controller = Controller(settings, tunables, options, selector, metrics, sharing, tracing)
        if (sharing != null) Runtime.getRuntime().addShutdownHook(Thread { controller.drain(DRAIN_MS) })
        controller.run()
    }
}

/** Before any logger exists: the level is read once. */
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
    val command = Dewwing()
    try {
        command.parse(args)
    } catch (e: CliktError) {
        // Clikt's core leaves the exit status to its caller: without this a refused setting would look like success.
        command.echoFormattedHelp(e)
        exitProcess(if (e.statusCode == 0) 0 else BAD_SETTINGS)
    }
    if ("--class-data-warmup" in args) exitProcess(0)
}
