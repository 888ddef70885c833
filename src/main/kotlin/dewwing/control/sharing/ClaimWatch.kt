package dewwing.control.sharing

import dewwing.control.core.sharing.MachineClaim
import dewwing.control.core.sharing.MachineDirectory
import dewwing.control.core.sharing.SharingKeys
import dewwing.control.state.StateClient
import dewwing.control.state.WatchResult
import dewwing.protocol.Duration
import dewwing.protocol.Fields
import dewwing.protocol.Instant
import dewwing.protocol.MalformedException
import dewwing.protocol.Revision
import dewwing.protocol.Wire
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.io.IOException

/** Keeps a [MachineDirectory] up to date with the claims in the state service. */
class ClaimWatch(
    private val state: StateClient,
    private val directory: MachineDirectory,
    private val clock: () -> Instant,
) {
    private val log = LoggerFactory.getLogger("claims")

    /** Runs until cancelled. */
    suspend fun run() {
        var since: Revision? = null
        while (true) {
            try {
                val requestedAt = clock()
                since = if (since == null) readAll() else readChanges(since)
                if (since != null) directory.markCurrentAsOf(requestedAt)
            } catch (e: IOException) {
                log.debug("could not watch the claims, retrying: {}", e.message)
                delay(RETRY_MS)
            }
        }
    }

    private suspend fun readAll(): Revision {
        val entries = ArrayList<Wire.Entry>()
        val revision = state.list(SharingKeys.CLAIMS) { entries.addAll(it) }
        directory.clear()
        entries.forEach(::onEntry)
        return revision
    }

    /** Waits for changes after [since]; null if the state service no longer has all of them. */
    private suspend fun readChanges(since: Revision): Revision? =
        when (val result = state.watch(SharingKeys.CLAIMS, since, WATCH_TIMEOUT)) {
            is WatchResult.Changes -> {
                result.entries.forEach(::onEntry)
                result.revision
            }

            WatchResult.RevisionTooOld -> {
                null
            }
        }

    private fun onEntry(entry: Wire.Entry) {
        try {
            directory.onClaim(entry.key, entry.value?.let(MachineClaim::of))
        } catch (e: MalformedException) {
            log.error("claim record {} is malformed: {}", entry.key, e.message)
        }
    }

    private companion object {
        val WATCH_TIMEOUT = Duration(2_000)
        const val RETRY_MS = 250L
    }
}
