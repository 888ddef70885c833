package dewwing.control.peer

import dewwing.control.core.leadership.Cancellation
import dewwing.protocol.Incarnation
import dewwing.protocol.JobRef
import dewwing.protocol.Revision
import dewwing.protocol.Term
import okio.Buffer
import okio.EOFException
import java.io.IOException

/** A request from one controller to another. */
sealed interface PeerRequest {
    /**
     * Sends this controller's state and asks for that of the peer. A leader that has restored its state also sends the
     * revision up to which it has read all jobs, and is sent the cancellations after that.
     */
    data class Heartbeat(
        val sender: String,
        val state: PeerState,
        val jobsReadUpTo: Revision?,
    ) : PeerRequest

    /** Asks for a job's task counts, which are for display; only the leader knows them. */
    data class JobCounts(
        val ref: String,
    ) : PeerRequest

    /** A user's request that this controller cannot serve, because it gets no service from the state service and the peer does. */
    class Relay(
        val method: String,
        val path: String,
        val body: ByteArray,
    ) : PeerRequest
}

/**
 * The state of a controller, as sent in heartbeats. [leader] is empty unless this controller leads or has just read the
 * leader from the state service, so that two controllers cannot keep sending each other an outdated name.
 */
data class PeerState(
    val reachesState: Boolean,
    val highestTerm: Term,
    val leader: String,
    val incarnation: Incarnation,
    /** Null from a controller that does not use sharding, and from versions without shards. */
    val sharing: SharingStatus? = null,
)

/** Status of the shards, as sent by a controller that may own some. */
data class SharingStatus(
    /** The controller is about to stop, so its shards are to be moved to others. */
    val draining: Boolean,
    /** One entry per shard; empty while there is a single leader. */
    val shards: List<ShardStatus>,
)

/** [leader] is as in [PeerState]. [load] counts machines and tasks if this controller leads the shard, else it is 0. */
data class ShardStatus(
    val highestTerm: Term,
    val leader: String,
    val load: Int,
)

sealed interface PeerResponse {
    /** [cancellations] is null if they were not asked for, or if some of them have been evicted. */
    data class Heartbeat(
        val state: PeerState,
        val cancellations: List<Cancellation>?,
    ) : PeerResponse

    data class JobCounts(
        val known: Boolean,
        val running: Int,
        val done: Int,
    ) : PeerResponse

    class Relay(
        val status: Int,
        val retryAfterS: Int,
        val body: ByteArray,
    ) : PeerResponse
}

/** Encodes messages between controllers. A frame is a length, followed by a tag and its fields. */
object PeerCodec {
    /** Large enough for a heartbeat with the maximum number of retained cancellations and job ids of any length. */
    const val MAX_FRAME = 512 * 1024
    private const val HEARTBEAT = 1
    private const val JOB_COUNTS = 2
    private const val RELAY = 3

    /** A heartbeat with a [SharingStatus]; versions without shards close the connection on it. */
    private const val SHARING_HEARTBEAT = 4
    private const val NONE = -1L

    fun encode(request: PeerRequest): Buffer {
        val buffer = Buffer()
        when (request) {
            is PeerRequest.Heartbeat -> {
                buffer.writeByte(tagOf(request.state))
                buffer.writeText(request.sender)
                buffer.writeState(request.state)
                buffer.writeLong(request.jobsReadUpTo?.value ?: NONE)
            }

            is PeerRequest.JobCounts -> {
                buffer.writeByte(JOB_COUNTS)
                buffer.writeText(request.ref)
            }

            is PeerRequest.Relay -> {
                buffer.writeByte(RELAY)
                buffer.writeText(request.method)
                buffer.writeText(request.path)
                buffer.writeBytes(request.body)
            }
        }
        return buffer
    }

    fun encode(response: PeerResponse): Buffer {
        val buffer = Buffer()
        when (response) {
            is PeerResponse.Heartbeat -> {
                buffer.writeByte(tagOf(response.state))
                buffer.writeState(response.state)
                buffer.writeCancellations(response.cancellations)
            }

            is PeerResponse.JobCounts -> {
                buffer.writeByte(JOB_COUNTS)
                buffer.writeByte(if (response.known) 1 else 0)
                buffer.writeInt(response.running)
                buffer.writeInt(response.done)
            }

            is PeerResponse.Relay -> {
                buffer.writeByte(RELAY)
                buffer.writeInt(response.status)
                buffer.writeInt(response.retryAfterS)
                buffer.writeBytes(response.body)
            }
        }
        return buffer
    }

    fun decodeRequest(buffer: Buffer): PeerRequest =
        decodeWhole(buffer) {
            when (val tag = buffer.readByte().toInt()) {
                HEARTBEAT -> PeerRequest.Heartbeat(buffer.readText(), buffer.readState(false), buffer.readRevisionOrNull())
                SHARING_HEARTBEAT -> PeerRequest.Heartbeat(buffer.readText(), buffer.readState(true), buffer.readRevisionOrNull())
                JOB_COUNTS -> PeerRequest.JobCounts(buffer.readText())
                RELAY -> PeerRequest.Relay(buffer.readText(), buffer.readText(), buffer.readBytes())
                else -> throw IOException("unknown tag $tag of a peer request")
            }
        }

    fun decodeResponse(buffer: Buffer): PeerResponse =
        decodeWhole(buffer) {
            when (val tag = buffer.readByte().toInt()) {
                HEARTBEAT -> PeerResponse.Heartbeat(buffer.readState(false), buffer.readCancellations())
                SHARING_HEARTBEAT -> PeerResponse.Heartbeat(buffer.readState(true), buffer.readCancellations())
                JOB_COUNTS -> PeerResponse.JobCounts(buffer.readByte().toInt() != 0, buffer.readInt(), buffer.readInt())
                RELAY -> PeerResponse.Relay(buffer.readInt(), buffer.readInt(), buffer.readBytes())
                else -> throw IOException("unknown tag $tag of a peer response")
            }
        }

    private inline fun <T> decodeWhole(
        buffer: Buffer,
        read: () -> T,
    ): T {
        try {
            val value = read()
            if (!buffer.exhausted()) throw IOException("unexpected bytes after the end of a peer message")
            return value
        } catch (e: EOFException) {
            throw IOException("peer message truncated")
        }
    }

    private fun Buffer.writeState(state: PeerState) {
        writeByte(if (state.reachesState) 1 else 0)
        writeLong(state.highestTerm.value)
        writeText(state.leader)
        writeLong(state.incarnation.value)
        state.sharing?.let { writeSharing(it) }
    }

    private fun tagOf(state: PeerState) = if (state.sharing == null) HEARTBEAT else SHARING_HEARTBEAT

    private fun Buffer.readState(withSharing: Boolean) =
        PeerState(
            readByte().toInt() != 0,
            Term(readLong()),
            readText(),
            Incarnation(readLong()),
            if (withSharing) readSharing() else null,
        )

    private fun Buffer.writeSharing(status: SharingStatus) {
        writeByte(if (status.draining) 1 else 0)
        writeInt(status.shards.size)
        for (shard in status.shards) {
            writeLong(shard.highestTerm.value)
            writeText(shard.leader)
            writeInt(shard.load)
        }
    }

    private fun Buffer.readSharing(): SharingStatus {
        val draining = readByte().toInt() != 0
        val count = readInt()
        if (count < 0 || count > size) throw IOException("invalid count in a peer message")
        return SharingStatus(draining, List(count) { ShardStatus(Term(readLong()), readText(), readInt()) })
    }

    private fun Buffer.readRevisionOrNull(): Revision? = readLong().takeIf { it >= 0 }?.let(::Revision)

    private fun Buffer.writeCancellations(cancellations: List<Cancellation>?) {
        writeInt(cancellations?.size ?: NONE.toInt())
        for (cancellation in cancellations ?: return) {
            writeText(cancellation.job.value)
            writeLong(cancellation.revision.value)
        }
    }

    private fun Buffer.readCancellations(): List<Cancellation>? {
        val count = readInt()
        if (count < 0) return null
        if (count > size) throw IOException("invalid count in a peer message")
        return List(count) {
            Cancellation(JobRef.parse(readText()) ?: throw IOException("invalid job id in a peer message"), Revision(readLong()))
        }
    }

    private fun Buffer.writeText(value: String) = writeBytes(value.toByteArray())

    private fun Buffer.readText(): String = readBytes().decodeToString()

    private fun Buffer.writeBytes(value: ByteArray) {
        writeInt(value.size)
        write(value)
    }

    private fun Buffer.readBytes(): ByteArray {
        val length = readInt()
        if (length < 0 || length > size) throw IOException("invalid length in a peer message")
        return readByteArray(length.toLong())
    }
}
