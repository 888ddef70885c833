import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** MessagePack for the data that the protocols use: maps keyed by text, lists, text, numbers, booleans and null. */
final class Mp {
    private Mp() {}

    static Map<String, Object> map(Object... keysAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) map.put((String) keysAndValues[i], keysAndValues[i + 1]);
        return map;
    }

    static byte[] encode(Object value) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            write(new DataOutputStream(bytes), value);
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void write(DataOutputStream out, Object value) throws IOException {
        if (value == null) {
            out.writeByte(0xc0);
        } else if (value instanceof Boolean) {
            out.writeByte((Boolean) value ? 0xc3 : 0xc2);
        } else if (value instanceof Integer || value instanceof Long) {
            writeInteger(out, ((Number) value).longValue());
        } else if (value instanceof Double) {
            out.writeByte(0xcb);
            out.writeDouble((Double) value);
        } else if (value instanceof String) {
            byte[] text = ((String) value).getBytes(StandardCharsets.UTF_8);
            if (text.length < 32) {
                out.writeByte(0xa0 | text.length);
            } else if (text.length < 256) {
                out.writeByte(0xd9);
                out.writeByte(text.length);
            } else {
                out.writeByte(0xda);
                out.writeShort(text.length);
            }
            out.write(text);
        } else if (value instanceof Map) {
            Map<?, ?> map = (Map<?, ?>) value;
            if (map.size() < 16) {
                out.writeByte(0x80 | map.size());
            } else {
                out.writeByte(0xde);
                out.writeShort(map.size());
            }
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                write(out, entry.getKey());
                write(out, entry.getValue());
            }
        } else if (value instanceof Collection) {
            Collection<?> list = (Collection<?>) value;
            if (list.size() < 16) {
                out.writeByte(0x90 | list.size());
            } else if (list.size() < 65536) {
                out.writeByte(0xdc);
                out.writeShort(list.size());
            } else {
                out.writeByte(0xdd);
                out.writeInt(list.size());
            }
            for (Object element : list) write(out, element);
        } else {
            throw new IllegalArgumentException("no wire form for " + value.getClass());
        }
    }

    private static void writeInteger(DataOutputStream out, long value) throws IOException {
        if (value >= 0 && value < 128) {
            out.writeByte((int) value);
        } else if (value >= Integer.MIN_VALUE && value <= Integer.MAX_VALUE) {
            out.writeByte(0xd2);
            out.writeInt((int) value);
        } else {
            out.writeByte(0xd3);
            out.writeLong(value);
        }
    }

    /** Null for a body that is not a map. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> decode(byte[] bytes) {
        try {
            Object value = read(new DataInputStream(new ByteArrayInputStream(bytes)));
            return value instanceof Map ? (Map<String, Object>) value : null;
        } catch (IOException e) {
            return null;
        }
    }

    private static Object read(DataInputStream in) throws IOException {
        int tag = in.readUnsignedByte();
        if (tag < 0x80) return (long) tag;
        if (tag < 0x90) return readMap(in, tag & 0x0f);
        if (tag < 0xa0) return readList(in, tag & 0x0f);
        if (tag < 0xc0) return readText(in, tag & 0x1f);
        if (tag >= 0xe0) return (long) (byte) tag;
        switch (tag) {
            case 0xc0: return null;
            case 0xc2: return false;
            case 0xc3: return true;
            case 0xca: return (double) in.readFloat();
            case 0xcb: return in.readDouble();
            case 0xcc: return (long) in.readUnsignedByte();
            case 0xcd: return (long) in.readUnsignedShort();
            case 0xce: return in.readInt() & 0xffffffffL;
            case 0xcf: return in.readLong();
            case 0xd0: return (long) in.readByte();
            case 0xd1: return (long) in.readShort();
            case 0xd2: return (long) in.readInt();
            case 0xd3: return in.readLong();
            case 0xd9: return readText(in, in.readUnsignedByte());
            case 0xda: return readText(in, in.readUnsignedShort());
            case 0xdb: return readText(in, in.readInt());
            case 0xdc: return readList(in, in.readUnsignedShort());
            case 0xdd: return readList(in, in.readInt());
            case 0xde: return readMap(in, in.readUnsignedShort());
            case 0xdf: return readMap(in, in.readInt());
            default: throw new IOException("unexpected tag " + tag);
        }
    }

    private static String readText(DataInputStream in, int length) throws IOException {
        byte[] text = new byte[length];
        in.readFully(text);
        return new String(text, StandardCharsets.UTF_8);
    }

    private static List<Object> readList(DataInputStream in, int count) throws IOException {
        List<Object> list = new ArrayList<>(Math.min(count, 1 << 16));
        for (int i = 0; i < count; i++) list.add(read(in));
        return list;
    }

    private static Map<String, Object> readMap(DataInputStream in, int count) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) map.put((String) read(in), read(in));
        return map;
    }

    /** Length of the value as JSON, in which the protocols count their limits. */
    static int jsonSize(Object value) {
        if (value == null) return 4;
        if (value instanceof String) return ((String) value).getBytes(StandardCharsets.UTF_8).length + 2;
        if (value instanceof Map) {
            int size = 1;
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) size += jsonSize(entry.getKey()) + jsonSize(entry.getValue()) + 2;
            return Math.max(size, 2);
        }
        if (value instanceof Collection) {
            int size = 1;
            for (Object element : (Collection<?>) value) size += jsonSize(element) + 1;
            return Math.max(size, 2);
        }
        return value.toString().length();
    }
}
