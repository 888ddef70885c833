package dewwing.protocol

import dewwing.control.cloud.CloudClient
import dewwing.control.core.intent.JobRecord
import dewwing.control.core.intent.Keys
import dewwing.control.core.intent.LogRecord
import dewwing.control.core.intent.RecordKeys
import dewwing.control.core.intent.ReleaseRecord
import dewwing.control.core.intent.TaskRanges
import dewwing.control.core.leadership.Cancellation
import dewwing.control.core.leadership.ConfirmedCancellations
import dewwing.control.core.sharing.ShardId
import dewwing.control.peer.PeerCodec
import dewwing.control.peer.PeerRequest
import dewwing.control.peer.PeerResponse
import dewwing.control.peer.PeerState
import dewwing.control.peer.ShardStatus
import dewwing.control.peer.SharingStatus
import dewwing.protocol.JobStage
import okio.Buffer
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.util.BitSet
import kotlin.random.Random

/** Encodes and decodes random messages with every codec, and decodes random garbage. */
class FormatsTest {
    private fun Random.text() = buildString { repeat(nextInt(12)) { append("abcäöü/0 \"\\".random(this@text)) } }

    private fun Random.value(depth: Int): Any? =
        when (nextInt(if (depth > 3) 5 else 7)) {
            0 -> null
            1 -> nextBoolean()
            2 -> nextLong()
            3 -> nextDouble() * 1e6
            4 -> text()
            5 -> List(nextInt(5)) { value(depth + 1) }
            else -> (0 until nextInt(5)).associate { "k$it" to value(depth + 1) }
        }

    private fun Random.spec() =
        JobSpec(
            JobRef("job-%06d".format(nextInt(1_000_000))),
            "class-${nextInt(3)}",
            "team-${nextInt(3)}",
            JobShape.entries.random(this),
            Urgency.entries.random(this),
            nextInt(1, 100_001),
            Resources(nextInt(1, 64).toDouble(), nextInt(4).toDouble(), nextDouble() * 100),
            "img",
            nextDouble() * 10,
            if (nextBoolean()) null else listOf("k", "l"),
            if (nextBoolean()) null else "z",
            nextBoolean(),
            nextBoolean(),
            nextBoolean(),
            nextDouble() * 100,
            nextDouble() * 10,
            nextDouble(),
            if (nextBoolean()) null else nextDouble(),
        )

    @Test
    fun `values are unchanged after MessagePack encoding and decoding`() {
        val random = Random(1)
        repeat(500) {
            val value = random.value(0)
            assertEquals(value, Pack.decode(Pack.encode(value)))
        }
    }

    @Test
    fun `garbage and truncated messages cause no exception other than MalformedException`() {
        val random = Random(2)
        repeat(3_000) {
            val bytes =
                if (random.nextBoolean()) {
                    random.nextBytes(random.nextInt(1, 60))
                } else {
                    val encoded = Pack.encode(mapOf("a" to random.value(0), "drops" to listOf(random.value(0))))
                    encoded.copyOf(random.nextInt(1, encoded.size + 1)).also {
                        if (random.nextBoolean()) {
                            it[random.nextInt(it.size)] =
                                random.nextInt().toByte()
                        }
                    }
                }
            try {
                val fields = Pack.decodeMap(bytes)
                Wire.decodeReport(fields)
            } catch (e: MalformedException) {
                assertTrue(e.message.orEmpty().isNotEmpty())
            }
        }
    }

    @Test
    fun `a collection header that claims more entries than the body holds is refused without reserving memory`() {
        val hugeList = byteArrayOf(0xdd.toByte(), 0x7f, -1, -1, -1)
        assertThrows(MalformedException::class.java) { Pack.decode(hugeList) }
        val hugeMap = byteArrayOf(0xdf.toByte(), 0x7f, -1, -1, -1)
        assertThrows(MalformedException::class.java) { Pack.decode(hugeMap) }
    }

    @Test
    fun `integers above Long are capped, binary data and keys that are not text are refused`() {
        assertEquals(Long.MAX_VALUE, Pack.decode(byteArrayOf(0xcf.toByte(), -1, -1, -1, -1, -1, -1, -1, -1)))
        assertThrows(MalformedException::class.java) { Pack.decode(byteArrayOf(0xc4.toByte(), 1, 0)) }
        assertThrows(MalformedException::class.java) { Pack.decode(byteArrayOf(0x81.toByte(), 1, 1)) }
    }

    @Test
    fun `job specs are unchanged after encoding for the wire and the state service`() {
        val random = Random(3)
        repeat(300) {
            val spec = random.spec()
            assertEquals(spec, Wire.decodeJobSpec(Pack.decodeMap(Pack.encode(Wire.encodeJobSpec(spec)))))
            val record = JobRecord(JobStage.QUEUED, spec, random.nextLong(0, 1L shl 50))
            @Suppress("UNCHECKED_CAST")
            assertEquals(record, JobRecord.of(Pack.decode(Pack.encode(record.toValue())) as Map<String, Any?>))
        }
    }

    @Test
    fun `every field of a submission is validated, and the error names it`() {
        val validFields = Pack.decodeMap(Pack.encode(Wire.encodeJobSpec(Random(4).spec()))).raw.mapKeys { it.key as String }
        val nullable = setOf("perchKinds", "meadow", "dueS")
        for (name in validFields.keys - nullable) {
            val exception = assertThrows(MalformedException::class.java) { Wire.decodeJobSpec(Fields(validFields - name)) }
            assertTrue(exception.message.orEmpty().contains(name), exception.message)
        }
        val invalidValues =
            mapOf(
                "cores" to -1.0,
                "memoryGb" to Double.NaN,
                "accelerators" to "4",
                "drops" to 0L,
                "urgency" to "urgent",
                "shape" to "gang",
                "ref" to "JOB-1",
                "together" to 1L,
                "perchKinds" to emptyList<String>(),
                "expectS" to Double.POSITIVE_INFINITY,
                "flock" to "",
                "dueS" to -3.0,
                "meadow" to 3L,
            )
        for ((name, value) in invalidValues) {
            val exception = assertThrows(MalformedException::class.java) { Wire.decodeJobSpec(Fields(validFields + (name to value))) }
            assertTrue(exception.message.orEmpty().contains(name), "$name: ${exception.message}")
        }
        assertThrows(MalformedException::class.java) { Wire.decodeJobSpec(Fields(validFields + ("drops" to 100_001L))) }
        assertThrows(MalformedException::class.java) { Wire.decodeJobSpec(Fields(validFields + ("drops" to 2.0))) }
    }

    @Test
    fun `ids in any other form are refused`() {
        for (invalid in listOf("", "job-", "job-12a", "job-1/2", "jobs-1", "job--1", "job-1 ", "job-" + "1".repeat(80))) {
            assertNull(JobRef.parse(invalid), invalid)
        }
        assertEquals(TaskRef(JobRef("job-000412"), 3), TaskRef.parse("job-000412/3"))
        for (invalid in listOf("job-1", "job-1/", "job-1/-2", "job-1/x", "/3")) assertNull(TaskRef.parse(invalid), invalid)
    }

    /** Guards against a malformed record that makes every new leader fail while it reads the log records. */
    @Test
    fun `a log record of the wrong structure causes MalformedException`() {
        for (on in listOf(listOf(emptyList<Any?>()), listOf(listOf("m-1")), listOf("m-1"), listOf(listOf(1L, emptyList<Any?>())))) {
            assertThrows(MalformedException::class.java) { LogRecord.of(mapOf("on" to on)) }
        }
    }

    @Test
    fun `a release record lists its machines, and one of version 0_1_0 has its machine in its key`() {
        val ids = listOf(MachineId("m-1"), MachineId("m-2"))
        assertEquals(ids, ReleaseRecord.of("release/000000001", ReleaseRecord(ids).toValue()).machines)
        assertEquals(listOf(MachineId("m-7")), ReleaseRecord.of("release/m-7", mapOf("at" to 3L)).machines)
    }

    @Test
    fun `task sets are unchanged after encoding as ranges, and can be cut to a size`() {
        val random = Random(5)
        repeat(300) {
            val set = BitSet()
            repeat(random.nextInt(60)) { set.set(random.nextInt(400)) }
            val record = LogRecord(listOf(LogRecord.Assignment(MachineId("m-1"), set)), set)

            @Suppress("UNCHECKED_CAST")
            val decoded = LogRecord.of(Pack.decode(Pack.encode(record.toValue())) as Map<String, Any?>)
            assertEquals(set, decoded.assignments[0].tasks)
            assertEquals(set, decoded.done)
            val fitting = TaskRanges.lowestFitting(set, 40)
            assertTrue(TaskRanges.encodedSize(fitting) <= 40)
            assertTrue((fitting.clone() as BitSet).apply { andNot(set) }.isEmpty)
        }
        for (invalid in listOf(listOf(1L), listOf(3L, 2L), listOf(-1L, 2L), listOf("a", "b"), "x", listOf(0L, 100_000L))) {
            assertThrows(MalformedException::class.java) { TaskRanges.decode(invalid) }
        }
    }

    @Test
    fun `the estimated JSON size is never below the exact size and close to it`() {
        val exact = """{"a":1,"b":[true,null],"c":"x\"y"}""".length
        val size = Pack.jsonSize(linkedMapOf("a" to 1, "b" to listOf(true, null), "c" to "x\"y"))
        assertTrue(size in exact..exact + 12, "$size for $exact")
    }

    /** Guards against a mass cancellation on a fleet of thousands whose list does not fit into a frame, so that the leader misses it. */
    @Test
    fun `a heartbeat frame fits as many cancellations with the longest ids as a controller keeps`() {
        val confirmed = ConfirmedCancellations()
        val cancellations =
            (1L..ConfirmedCancellations.LIMIT).map {
                Cancellation(JobRef("job-" + it.toString().padStart(60, '0')), Revision(it))
            }
        cancellations.forEach(confirmed::record)
        val response = PeerResponse.Heartbeat(PeerState(true, Term(1), "perch-1", Incarnation(1)), confirmed.newerThan(Revision(0)))
        val frame = PeerCodec.encode(response)
        assertTrue(frame.size <= PeerCodec.MAX_FRAME, "${frame.size} bytes")
        assertEquals(cancellations, (PeerCodec.decodeResponse(frame) as PeerResponse.Heartbeat).cancellations)
    }

    /** Guards against an encoding that controllers of versions without shards cannot read: they must understand a plain heartbeat. */
    @Test
    fun `heartbeats with and without shards are unchanged after encoding, and a plain one has the frame of earlier versions`() {
        val plain = PeerState(true, Term(3), "perch-1", Incarnation(9))
        val shards = List(100) { ShardStatus(Term(it.toLong()), if (it % 2 == 0) "perch-$it" else "", it * 7) }
        for (state in listOf(
            plain,
            plain.copy(sharing = SharingStatus(true, shards)),
            plain.copy(sharing = SharingStatus(false, emptyList())),
        )) {
            val request = PeerRequest.Heartbeat("a", state, Revision(5))
            assertEquals(request, PeerCodec.decodeRequest(PeerCodec.encode(request)))
            val response = PeerResponse.Heartbeat(state, null)
            assertEquals(response, PeerCodec.decodeResponse(PeerCodec.encode(response)))
        }
        assertEquals(
            "010000000161010000000000000003000000",
            PeerCodec
                .encode(PeerRequest.Heartbeat("a", plain, null))
                .readByteString()
                .hex()
                .take(36),
        )
    }

    @Test
    fun `a job record keeps the shard after encoding, also when the job is over`() {
        for (shard in listOf(null, ShardId(0), ShardId(99))) {
            val record = JobRecord(JobStage.DONE, null, 7, shard)
            @Suppress("UNCHECKED_CAST") // The record was encoded with text keys.
            assertEquals(record, JobRecord.of(Pack.decode(Pack.encode(record.toValue())) as Map<String, Any?>))
        }
    }

    /**
     * Guards against rental names that, after 100,000 rentals in a term, equal those of the next term: the cloud would answer
     * with the machines of an earlier request.
     */
    @Test
    fun `names of rentals and releases are unique across terms, however many there are`() {
        val numbers = listOf(1L, 99_999L, 100_000L, 100_001L, 1_000_000L)
        val names = (1L..20L).flatMap { term -> numbers.map { Term(term) to it } }
        for (name in listOf(RecordKeys.SINGLE_LEADER::rental, RecordKeys.SINGLE_LEADER::release, Keys::rentalName)) {
            assertEquals(names.size, names.map { (term, number) -> name(term, number) }.toSet().size)
        }
    }

    @Test
    fun `listing thousands of machines uses at most about a quarter of the cloud's request rate`() {
        for (machines in listOf(0, 499, 500, 1_500, 4_000, 10_000)) {
            for (rate in listOf(1.0, 4.0, 8.0, 100.0)) {
                val intervalS = CloudClient.listIntervalMs(machines, rate) / 1_000.0
                assertTrue(intervalS >= 4.0 && (machines / 500 + 1) / intervalS <= rate * 0.26, "$machines machines, $rate calls a second")
            }
        }
    }

    @Test
    fun `messages between controllers are unchanged after encoding, and garbage causes no exception other than IOException`() {
        val heartbeat = PeerState(true, Term(7), "n-1", Incarnation(-5))
        for (known in listOf(null, Revision(0), Revision(412))) {
            val request = PeerRequest.Heartbeat("n-0", heartbeat, known)
            assertEquals(request, PeerCodec.decodeRequest(PeerCodec.encode(request)))
        }
        // A null list (not requested, or incomplete) differs from an empty list.
        for (list in listOf(null, emptyList(), List(300) { Cancellation(JobRef("job-$it"), Revision(it + 9L)) })) {
            val response = PeerResponse.Heartbeat(heartbeat, list)
            assertEquals(response, PeerCodec.decodeResponse(PeerCodec.encode(response)))
        }
        assertEquals(PeerResponse.JobCounts(true, 2, 3), PeerCodec.decodeResponse(PeerCodec.encode(PeerResponse.JobCounts(true, 2, 3))))
        val relay = PeerCodec.decodeRequest(PeerCodec.encode(PeerRequest.Relay("POST", "/p", byteArrayOf(1, 2))))
        assertArrayEquals(byteArrayOf(1, 2), (relay as PeerRequest.Relay).body)
        val random = Random(6)
        repeat(2_000) {
            val bytes = random.nextBytes(random.nextInt(40)).also { b -> if (b.isNotEmpty()) b[0] = random.nextInt(5).toByte() }
            try {
                PeerCodec.decodeRequest(Buffer().write(bytes))
            } catch (e: IOException) {
                assertTrue(e.message.orEmpty().isNotEmpty())
            }
            try {
                PeerCodec.decodeResponse(Buffer().write(bytes))
            } catch (e: IOException) {
                assertTrue(e.message.orEmpty().isNotEmpty())
            }
        }
    }
}
