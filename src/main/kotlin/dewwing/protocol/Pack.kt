package dewwing.protocol

import org.msgpack.core.MessagePack
import org.msgpack.core.MessagePackException
import org.msgpack.core.MessagePacker
import org.msgpack.core.MessageUnpacker
import org.msgpack.value.ValueType
import java.io.IOException
import java.math.BigInteger

/** Data is not MessagePack in the form that the protocols use, or one of its fields is missing or invalid. */
class MalformedException(
    message: String,
) : Exception(message)

/** Converts between MessagePack and Kotlin values: maps with String keys, lists, String, Long, Double, Boolean and null. */
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
                for ((key, element) in value) {
                    packer.packString(key as String)
                    write(packer, element)
                }
            }

            is Collection<*> -> {
                packer.packArrayHeader(value.size)
                for (element in value) write(packer, element)
            }

            else -> {
                throw IllegalArgumentException("no wire form for ${value::class.simpleName}")
            }
        }
    }

    /** Decodes exactly one value. Rejects trailing bytes, binary and extension data, and map keys that are not text. */
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
        bodySize: Int,
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

            // Counts may reach 2^64. Values above Long.MAX_VALUE are clamped to it, because no value that is compared comes near it.
            ValueType.INTEGER -> {
                unpacker.unpackClampedLong()
            }

            ValueType.FLOAT -> {
                unpacker.unpackDouble()
            }

            ValueType.STRING -> {
                unpacker.unpackString()
            }

            ValueType.ARRAY -> {
                val count = unpacker.unpackArrayHeader()
                // A header of 5 bytes may claim billions of elements; without this check, gigabytes would be allocated for them.
                if (count > bodySize) throw MalformedException("list longer than the body")
                val list = ArrayList<Any?>(count)
                repeat(count) { list.add(read(unpacker, depth + 1, bodySize)) }
                list
            }

            ValueType.MAP -> {
                val count = unpacker.unpackMapHeader()
                if (count > bodySize) throw MalformedException("map longer than the body")
                val map = LinkedHashMap<String, Any?>(count * 2)
                repeat(count) {
                    if (unpacker.nextFormat.valueType != ValueType.STRING) throw MalformedException("key is not text")
                    val key = unpacker.unpackString()
                    map[key] = read(unpacker, depth + 1, bodySize)
                }
                map
            }

            else -> {
                throw MalformedException("binary or extension data")
            }
        }
    }

    private fun MessageUnpacker.unpackClampedLong(): Long {
        val format = nextFormat
        if (format != org.msgpack.core.MessageFormat.UINT64) return unpackLong()
        val unsigned = unpackBigInteger()
        return if (unsigned > maxLong) Long.MAX_VALUE else unsigned.toLong()
    }

    /** Length of [value] as JSON, in which the protocol counts its size limits. Escapes and separators count at their longest. */
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

/** Checked access to the fields of a decoded map. Errors name the field. */
class Fields(
    private val map: Map<*, *>,
) {
    val raw: Map<*, *> get() = map

    fun text(name: String): String = map[name] as? String ?: invalid(name, "text")

    fun textOrNull(name: String): String? = if (map[name] == null) null else text(name)

    fun flag(name: String): Boolean = map[name] as? Boolean ?: invalid(name, "true or false")

    fun count(name: String): Long {
        val value = map[name] as? Long ?: invalid(name, "an integer")
        if (value < 0) invalid(name, "not negative")
        return value
    }

    fun countOrNull(name: String): Long? = if (map[name] == null) null else count(name)

    fun countOr(
        name: String,
        default: Long,
    ): Long = if (map[name] == null) default else count(name)

    fun amount(name: String): Double {
        val value =
            when (val field = map[name]) {
                is Double -> field
                is Long -> field.toDouble()
                else -> invalid(name, "a number")
            }
        if (!value.isFinite() || value < 0.0) invalid(name, "a finite number not below 0")
        return value
    }

    fun amountOrNull(name: String): Double? = if (map[name] == null) null else amount(name)

    fun textListOrNull(name: String): List<String>? {
        val list = map[name] ?: return null
        if (list !is List<*>) invalid(name, "a list")
        return list.map { it as? String ?: invalid(name, "a list of text") }
    }

    fun list(name: String): List<*> = map[name] as? List<*> ?: invalid(name, "a list")

    fun mapList(name: String): List<Fields> = list(name).map { Fields(it as? Map<*, *> ?: invalid(name, "a list of maps")) }

    fun mapOrNull(name: String): Fields? = (map[name] as? Map<*, *>)?.let { Fields(it) }

    fun invalid(
        name: String,
        expected: String,
    ): Nothing = throw MalformedException(if (map[name] == null) "$name is missing" else "$name must be $expected")
}
