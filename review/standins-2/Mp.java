import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.ByteArrayInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** MessagePack for maps, lists, text, numbers, booleans and null, and the size of a value as JSON. */
final class Mp {
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
        } else if (value instanceof Boolean b) {
            out.writeByte(b ? 0xc3 : 0xc2);
        } else if (value instanceof Integer || value instanceof Long) {
            long n = ((Number) value).longValue();
            if (n >= 0 && n < 128) {
                out.writeByte((int) n);
            } else {
                out.writeByte(0xd3);
                out.writeLong(n);
            }
        } else if (value instanceof Double d) {
            out.writeByte(0xcb);
            out.writeDouble(d);
        } else if (value instanceof String s) {
            byte[] text = s.getBytes(StandardCharsets.UTF_8);
            if (text.length < 32) {
                out.writeByte(0xa0 | text.length);
            } else {
                out.writeByte(0xdb);
                out.writeInt(text.length);
            }
            out.write(text);
        } else if (value instanceof Map<?, ?> map) {
            out.writeByte(0xdf);
            out.writeInt(map.size());
            for (Map.Entry<?, ?> e : map.entrySet()) {
                write(out, e.getKey());
                write(out, e.getValue());
            }
        } else if (value instanceof Collection<?> list) {
            out.writeByte(0xdd);
            out.writeInt(list.size());
            for (Object e : list) write(out, e);
        } else {
            throw new IOException("no MessagePack form for " + value.getClass());
        }
    }

    static Object decode(byte[] bytes) throws IOException {
        return read(new DataInputStream(new ByteArrayInputStream(bytes)));
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> decodeMap(byte[] bytes) throws IOException {
        if (decode(bytes) instanceof Map<?, ?> map) return (Map<String, Object>) map;
        throw new IOException("not a map");
    }

    private static Object read(DataInputStream in) throws IOException {
        int tag = in.readUnsignedByte();
        if (tag < 0x80) return (long) tag;
        if (tag >= 0xe0) return (long) (byte) tag;
        if (tag < 0x90) return map(in, tag & 0x0f);
        if (tag < 0xa0) return list(in, tag & 0x0f);
        if (tag < 0xc0) return text(in, tag & 0x1f);
        return switch (tag) {
            case 0xc0 -> null;
            case 0xc2 -> false;
            case 0xc3 -> true;
            case 0xca -> (double) in.readFloat();
            case 0xcb -> in.readDouble();
            case 0xcc -> (long) in.readUnsignedByte();
            case 0xcd -> (long) in.readUnsignedShort();
            case 0xce -> in.readInt() & 0xffffffffL;
            case 0xcf, 0xd3 -> in.readLong();
            case 0xd0 -> (long) in.readByte();
            case 0xd1 -> (long) in.readShort();
            case 0xd2 -> (long) in.readInt();
            case 0xd9 -> text(in, in.readUnsignedByte());
            case 0xda -> text(in, in.readUnsignedShort());
            case 0xdb -> text(in, in.readInt());
            case 0xdc -> list(in, in.readUnsignedShort());
            case 0xdd -> list(in, in.readInt());
            case 0xde -> map(in, in.readUnsignedShort());
            case 0xdf -> map(in, in.readInt());
            default -> throw new IOException("tag " + tag);
        };
    }

    private static String text(DataInputStream in, int length) throws IOException {
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    private static List<Object> list(DataInputStream in, int count) throws IOException {
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < count; i++) list.add(read(in));
        return list;
    }

    private static Map<String, Object> map(DataInputStream in, int count) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            String key = (String) read(in);
            map.put(key, read(in));
        }
        return map;
    }

    /** Compact JSON; for records and for size limits. */
    static String json(Object value) {
        if (value == null || value instanceof Boolean || value instanceof Number) return String.valueOf(value);
        if (value instanceof String s) return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        StringBuilder text = new StringBuilder();
        if (value instanceof Map<?, ?> map) {
            for (Map.Entry<?, ?> e : map.entrySet()) {
                text.append(text.length() == 0 ? "{" : ",").append(json(e.getKey())).append(':').append(json(e.getValue()));
            }
            return text.length() == 0 ? "{}" : text.append('}').toString();
        }
        for (Object e : (Collection<?>) value) text.append(text.length() == 0 ? "[" : ",").append(json(e));
        return text.length() == 0 ? "[]" : text.append(']').toString();
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> maps(Object list) {
        return list == null ? List.of() : (List<Map<String, Object>>) (List<?>) list;
    }

    static long num(Object value) {
        return ((Number) value).longValue();
    }

    private Mp() {}
}
