package dewwing.control.peer

import dewwing.control.core.leadership.Cancellation
import dewwing.protocol.Incarnation
import dewwing.protocol.JobRef
import dewwing.protocol.Revision
import dewwing.protocol.Term
import okio.Buffer
import okio.EOFException
import java.io.IOException

/** What controllers ask each other. */
sealed interface PeerRequest {
    /**
     * "How are you, and this is how I am." A leader that has its picture names the revision up to which it has read all
     * jobs; it is to be told of the cancellations after that.
     */
    data class Heartbeat(
        val from: String,
        val heartbeat: PeerState,
        val jobsKnown: Revision?,
    ) : PeerRequest

    /** Display counts of a job; only the leader knows them. */
    data class Counts(
        val ref: String,
    ) : PeerRequest

    /** A user's request that this controller cannot serve, since the state service refuses it alone. */
    class Relay(
        val method: String,
        val path: String,
        val body: ByteArray,
    ) : PeerRequest
}

/**
 * [leader] is told only by who leads or has just read it from the state service, so that no two controllers keep an
 * old name alive between them.
 */
data class PeerState(
    val reachesState: Boolean,
    val highestTerm: Term,
    val leader: String,
    val incarnation: Incarnation,
    /** Null from a controller that shares nothing, and from versions that know no shards. */
    val sharing: SharingStatus? = null,
)

/** What a controller that may own shards says of them. */
data class SharingStatus(
    /** To be emptied: it is about to stop. */
    val draining: Boolean,
    /** One entry a shard; empty while a single leader does all the work. */
    val shards: List<ShardStatus>,
)

/** [leader] as in [PeerState]; [load] counts machines and tasks, if this controller leads the shard. */
data class ShardStatus(
    val highestTerm: Term,
    val leader: String,
    val load: Int,
)

sealed interface PeerAnswer {
    /** [cancellations] is null when not asked for, or when not all of them are known any more. */
    data class Heartbeat(
        val heartbeat: PeerState,
        val cancellations: List<Cancellation>?,
    ) : PeerAnswer

    data class Counts(
        val known: Boolean,
        val running: Int,
        val done: Int,
    ) : PeerAnswer

    class Relay(
        val status: Int,
        val retryAfterS: Int,
        val body: ByteArray,
    ) : PeerAnswer
}

/** The frames between controllers: a length, then a tag and its fields, all in Okio buffers. */
object PeerCodec {
    /** Holds a heartbeat with as many cancellations as are kept, whatever their jobs' ids. */
    const val MAX_FRAME = 512 * 1024
    private const val HEARTBEAT = 1
    private const val COUNTS = 2
    private const val RELAY = 3

    /** A heartbeat with a [SharingStatus]; versions that know no shards close the connection. */
    private const val SHARING_HEARTBEAT = 4
    private const val NONE = -1L

    fun encode(request: PeerRequest): Buffer {
        val b = Buffer()
        when (request) {
            is PeerRequest.Heartbeat -> {
                b.writeByte(tagOf(request.heartbeat))
                b.text(request.from)
                b.heartbeat(request.heartbeat)
                b.writeLong(request.jobsKnown?.value ?: NONE)
            }

            is PeerRequest.Counts -> {
                b.writeByte(COUNTS)
                b.text(request.ref)
            }

            is PeerRequest.Relay -> {
                b.writeByte(RELAY)
                b.text(request.method)
                b.text(request.path)
                b.bytes(request.body)
            }
        }
        return b
    }

    fun encode(answer: PeerAnswer): Buffer {
        val b = Buffer()
        when (answer) {
            is PeerAnswer.Heartbeat -> {
                b.writeByte(tagOf(answer.heartbeat))
                b.heartbeat(answer.heartbeat)
                b.cancellations(answer.cancellations)
            }

            is PeerAnswer.Counts -> {
                b.writeByte(COUNTS)
                b.writeByte(if (answer.known) 1 else 0)
                b.writeInt(answer.running)
                b.writeInt(answer.done)
            }

            is PeerAnswer.Relay -> {
                b.writeByte(RELAY)
                b.writeInt(answer.status)
                b.writeInt(answer.retryAfterS)
                b.bytes(answer.body)
            }
        }
        return b
    }

    fun decodeRequest(b: Buffer): PeerRequest =
        checked(b) {
            when (val tag = b.readByte().toInt()) {
                HEARTBEAT -> PeerRequest.Heartbeat(b.text(), b.heartbeat(false), b.revisionOrNull())
                SHARING_HEARTBEAT -> PeerRequest.Heartbeat(b.text(), b.heartbeat(true), b.revisionOrNull())
                COUNTS -> PeerRequest.Counts(b.text())
                RELAY -> PeerRequest.Relay(b.text(), b.text(), b.bytes())
                else -> throw IOException("unknown peer request $tag")
            }
        }

    fun decodeAnswer(b: Buffer): PeerAnswer =
        checked(b) {
            when (val tag = b.readByte().toInt()) {
                HEARTBEAT -> PeerAnswer.Heartbeat(b.heartbeat(false), b.cancellations())
                SHARING_HEARTBEAT -> PeerAnswer.Heartbeat(b.heartbeat(true), b.cancellations())
                COUNTS -> PeerAnswer.Counts(b.readByte().toInt() != 0, b.readInt(), b.readInt())
                RELAY -> PeerAnswer.Relay(b.readInt(), b.readInt(), b.bytes())
                else -> throw IOException("unknown peer answer $tag")
            }
        }

    private inline fun <T> checked(
        b: Buffer,
        read: () -> T,
    ): T {
        try {
            val value = read()
            if (!b.exhausted()) throw IOException("bytes after a peer message")
            return value
        } catch (e: EOFException) {
            throw IOException("peer message cut short")
        }
    }

    private fun Buffer.heartbeat(w: PeerState) {
        writeByte(if (w.reachesState) 1 else 0)
        writeLong(w.highestTerm.value)
        text(w.leader)
        writeLong(w.incarnation.value)
        w.sharing?.let { sharing(it) }
    }

    private fun tagOf(heartbeat: PeerState) = if (heartbeat.sharing == null) HEARTBEAT else SHARING_HEARTBEAT

    private fun Buffer.heartbeat(withSharing: Boolean) =
        PeerState(
            readByte().toInt() != 0,
            Term(readLong()),
            text(),
            Incarnation(readLong()),
            if (withSharing) sharing() else null,
        )

    private fun Buffer.sharing(status: SharingStatus) {
        writeByte(if (status.draining) 1 else 0)
        writeInt(status.shards.size)
        for (shard in status.shards) {
            writeLong(shard.highestTerm.value)
            text(shard.leader)
            writeInt(shard.load)
        }
    }

    private fun Buffer.sharing(): SharingStatus {
        val draining = readByte().toInt() != 0
        val count = readInt()
        if (count < 0 || count > size) throw IOException("bad count in a peer message")
        return SharingStatus(draining, List(count) { ShardStatus(Term(readLong()), text(), readInt()) })
    }

    private fun Buffer.revisionOrNull(): Revision? = readLong().takeIf { it >= 0 }?.let(::Revision)

    private fun Buffer.cancellations(list: List<Cancellation>?) {
        writeInt(list?.size ?: NONE.toInt())
        for (c in list ?: return) {
            text(c.job.value)
            writeLong(c.revision.value)
        }
    }

    private fun Buffer.cancellations(): List<Cancellation>? {
        val n = readInt()
        if (n < 0) return null
        if (n > size) throw IOException("bad count in a peer message")
        return List(n) { Cancellation(JobRef.parse(text()) ?: throw IOException("bad job in a peer message"), Revision(readLong())) }
    }

    private fun Buffer.text(s: String) = bytes(s.toByteArray())

    private fun Buffer.text(): String = bytes().decodeToString()

    private fun Buffer.bytes(value: ByteArray) {
        writeInt(value.size)
        write(value)
    }

    private fun Buffer.bytes(): ByteArray {
        val n = readInt()
        if (n < 0 || n > size) throw IOException("bad length in a peer message")
        return readByteArray(n.toLong())
    }
}
