package dewwing.protocol

import org.msgpack.core.MessagePack
import org.msgpack.core.MessagePackException
import org.msgpack.core.MessagePacker
import org.msgpack.core.MessageUnpacker
import org.msgpack.value.ValueType
import java.io.IOException
import java.math.BigInteger

/** The body is no MessagePack of the kind the protocols use, or a field of it is missing or wrong. */
class MalformedException(
    message: String,
) : Exception(message)

/** MessagePack to and from plain Kotlin values: String-keyed maps, lists, text, Long, Double, Boolean and null. */
object Pack {
    private const val MAX_DEPTH = 16
    private val maxLong: BigInteger = BigInteger.valueOf(Long.MAX_VALUE)

    fun encode(value: Any?): ByteArray {
        val packer = MessagePack.newDefaultBufferPacker()
        write(packer, value)
        return packer.toByteArray()
    }

    private fun write(
        packer: MessagePacker,
        value: Any?,
    ) {
        when (value) {
            null -> {
                packer.packNil()
            }

            is String -> {
                packer.packString(value)
            }

            is Boolean -> {
                packer.packBoolean(value)
            }

            is Int -> {
                packer.packInt(value)
            }

            is Long -> {
                packer.packLong(value)
            }

            is Double -> {
                packer.packDouble(value)
            }

            is Map<*, *> -> {
                packer.packMapHeader(value.size)
                for ((k, v) in value) {
                    packer.packString(k as String)
                    write(packer, v)
                }
            }

            is Collection<*> -> {
                packer.packArrayHeader(value.size)
                for (v in value) write(packer, v)
            }

            else -> {
                throw IllegalArgumentException("no wire form for ${value::class.simpleName}")
            }
        }
    }

    /** Reads exactly one value; anything after it, binary data and non-text keys are refused. */
    fun decode(bytes: ByteArray): Any? {
        try {
            MessagePack.newDefaultUnpacker(bytes).use { unpacker ->
                val value = read(unpacker, 0, bytes.size)
                if (unpacker.hasNext()) throw MalformedException("bytes after the value")
                return value
            }
        } catch (e: MessagePackException) {
            throw MalformedException("not MessagePack: ${e.message}")
        } catch (e: IOException) {
            throw MalformedException("not MessagePack: ${e.message}")
        }
    }

    fun decodeMap(bytes: ByteArray): Fields {
        val value = decode(bytes) as? Map<*, *> ?: throw MalformedException("not a map")
        return Fields(value)
    }

    private fun read(
        unpacker: MessageUnpacker,
        depth: Int,
        size: Int,
    ): Any? {
        if (depth > MAX_DEPTH) throw MalformedException("nested too deep")
        return when (unpacker.nextFormat.valueType) {
            ValueType.NIL -> {
                unpacker.unpackNil()
                null
            }

            ValueType.BOOLEAN -> {
                unpacker.unpackBoolean()
            }

            // Counts may reach 2^64; nothing we compare comes near, so what does not fit is the largest we know.
            ValueType.INTEGER -> {
                unpacker.unpackBigIntegerOrLong()
            }

            ValueType.FLOAT -> {
                unpacker.unpackDouble()
            }

            ValueType.STRING -> {
                unpacker.unpackString()
            }

            ValueType.ARRAY -> {
                val count = unpacker.unpackArrayHeader()
                // A header may claim more than the body holds; believing it would let 5 bytes reserve gigabytes.
                if (count > size) throw MalformedException("list longer than the body")
                val list = ArrayList<Any?>(count)
                repeat(count) { list.add(read(unpacker, depth + 1, size)) }
                list
            }

            ValueType.MAP -> {
                val count = unpacker.unpackMapHeader()
                if (count > size) throw MalformedException("map longer than the body")
                val map = LinkedHashMap<String, Any?>(count * 2)
                repeat(count) {
                    if (unpacker.nextFormat.valueType != ValueType.STRING) throw MalformedException("key is not text")
                    val key = unpacker.unpackString()
                    map[key] = read(unpacker, depth + 1, size)
                }
                map
            }

            else -> {
                throw MalformedException("binary or extension data")
            }
        }
    }

    private fun MessageUnpacker.unpackBigIntegerOrLong(): Long {
        val format = nextFormat
        if (format != org.msgpack.core.MessageFormat.UINT64) return unpackLong()
        val big = unpackBigInteger()
        return if (big > maxLong) Long.MAX_VALUE else big.toLong()
    }

    /** Length of [value] written as JSON, the form in which the protocol counts its size limits. */
    fun jsonSize(value: Any?): Int =
        when (value) {
            null -> 4
            is String -> value.toByteArray().size + value.count { it < ' ' || it == '"' || it == '\\' } * 5 + 2
            is Boolean -> 5
            is Int, is Long -> value.toString().length
            is Double -> value.toString().length
            is Map<*, *> -> 2 + value.entries.sumOf { jsonSize(it.key) + jsonSize(it.value) + 2 }
            is Collection<*> -> 2 + value.sumOf { jsonSize(it) + 1 }
            else -> throw IllegalArgumentException("no wire form for ${value::class.simpleName}")
        }
}

/** Checked access to a decoded map; every failure names its field. */
class Fields(
    private val map: Map<*, *>,
) {
    val raw: Map<*, *> get() = map

    fun text(name: String): String = map[name] as? String ?: wrong(name, "text")

    fun textOrNull(name: String): String? = if (map[name] == null) null else text(name)

    fun flag(name: String): Boolean = map[name] as? Boolean ?: wrong(name, "true or false")

    fun count(name: String): Long {
        val value = map[name] as? Long ?: wrong(name, "an integer")
        if (value < 0) wrong(name, "not negative")
        return value
    }

    fun countOrNull(name: String): Long? = if (map[name] == null) null else count(name)

    fun countOr(
        name: String,
        default: Long,
    ): Long = if (map[name] == null) default else count(name)

    fun amount(name: String): Double {
        val value =
            when (val v = map[name]) {
                is Double -> v
                is Long -> v.toDouble()
                else -> wrong(name, "a number")
            }
        if (!value.isFinite() || value < 0.0) wrong(name, "a finite number not below 0")
        return value
    }

    fun amountOrNull(name: String): Double? = if (map[name] == null) null else amount(name)

    fun textsOrNull(name: String): List<String>? {
        val list = map[name] ?: return null
        if (list !is List<*>) wrong(name, "a list")
        return list.map { it as? String ?: wrong(name, "a list of text") }
    }

    fun list(name: String): List<*> = map[name] as? List<*> ?: wrong(name, "a list")

    fun maps(name: String): List<Fields> = list(name).map { Fields(it as? Map<*, *> ?: wrong(name, "a list of maps")) }

    fun mapOrNull(name: String): Fields? = (map[name] as? Map<*, *>)?.let { Fields(it) }

    fun wrong(
        name: String,
        want: String,
    ): Nothing = throw MalformedException(if (map[name] == null) "$name is missing" else "$name must be $want")
}
