import java.io.ByteArrayOutputStream;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** MessagePack, in the part that the protocol uses, and the size of a value as JSON. */
final class Pack {
    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void number(ByteArrayOutputStream out, int tag, int bytes, long value) {
        out.write(tag);
        for (int i = bytes - 1; i >= 0; i--) out.write((int) (value >>> (8 * i)));
    }

    private static void write(ByteArrayOutputStream out, Object v) {
        if (v == null) out.write(0xc0);
        else if (v instanceof Boolean b) out.write(b ? 0xc3 : 0xc2);
        else if (v instanceof Integer || v instanceof Long) {
            long n = ((Number) v).longValue();
            if (n >= 0 && n < 128) out.write((int) n);
            else number(out, 0xd3, 8, n);
        } else if (v instanceof Double d) number(out, 0xcb, 8, Double.doubleToLongBits(d));
        else if (v instanceof String s) {
            byte[] b = s.getBytes(StandardCharsets.UTF_8);
            if (b.length < 32) out.write(0xa0 | b.length);
            else number(out, 0xda, 2, b.length);
            out.writeBytes(b);
        } else if (v instanceof List<?> l) {
            if (l.size() < 16) out.write(0x90 | l.size());
            else number(out, 0xdd, 4, l.size());
            for (Object e : l) write(out, e);
        } else if (v instanceof Map<?, ?> m) {
            if (m.size() < 16) out.write(0x80 | m.size());
            else number(out, 0xdf, 4, m.size());
            m.forEach((k, e) -> {
                write(out, k);
                write(out, e);
            });
        } else throw new IllegalArgumentException("no wire form for " + v.getClass());
    }

    static Object decode(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        Object value = read(in);
        if (in.hasRemaining()) throw new IllegalArgumentException("bytes after the value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(byte[] bytes) {
        return (Map<String, Object>) decode(bytes);
    }

    private static Object read(ByteBuffer in) {
        int t = in.get() & 0xff;
        if (t < 0x80) return (long) t;
        if (t >= 0xe0) return (long) (byte) t;
        if (t < 0x90) return readMap(in, t & 0x0f);
        if (t < 0xa0) return readList(in, t & 0x0f);
        if (t < 0xc0) return text(in, t & 0x1f);
        switch (t) {
            case 0xc0: return null;
            case 0xc2: return false;
            case 0xc3: return true;
            case 0xca: return (double) in.getFloat();
            case 0xcb: return in.getDouble();
            case 0xcc: return (long) (in.get() & 0xff);
            case 0xcd: return (long) (in.getShort() & 0xffff);
            case 0xce: return in.getInt() & 0xffffffffL;
            case 0xcf: {
                long n = in.getLong();
                if (n < 0) throw new IllegalArgumentException("integer too large: " + new BigInteger(Long.toUnsignedString(n)));
                return n;
            }
            case 0xd0: return (long) in.get();
            case 0xd1: return (long) in.getShort();
            case 0xd2: return (long) in.getInt();
            case 0xd3: return in.getLong();
            case 0xd9: return text(in, in.get() & 0xff);
            case 0xda: return text(in, in.getShort() & 0xffff);
            case 0xdb: return text(in, in.getInt());
            case 0xdc: return readList(in, in.getShort() & 0xffff);
            case 0xdd: return readList(in, in.getInt());
            case 0xde: return readMap(in, in.getShort() & 0xffff);
            case 0xdf: return readMap(in, in.getInt());
            default: throw new IllegalArgumentException("unexpected byte " + t);
        }
    }

    private static String text(ByteBuffer in, int length) {
        byte[] b = new byte[length];
        in.get(b);
        return new String(b, StandardCharsets.UTF_8);
    }

    private static List<Object> readList(ByteBuffer in, int size) {
        List<Object> list = new ArrayList<>(size);
        for (int i = 0; i < size; i++) list.add(read(in));
        return list;
    }

    private static Map<String, Object> readMap(ByteBuffer in, int size) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
            String key = (String) read(in);
            map.put(key, read(in));
        }
        return map;
    }

    /** A value as JSON, in which the protocol counts its size limits. */
    static String json(Object v) {
        if (v == null || v instanceof Boolean || v instanceof Number) return String.valueOf(v);
        if (v instanceof String s) return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        StringBuilder text = new StringBuilder();
        if (v instanceof List<?> l) {
            for (Object e : l) text.append(text.length() == 0 ? "" : ",").append(json(e));
            return "[" + text + "]";
        }
        for (Map.Entry<?, ?> e : ((Map<?, ?>) v).entrySet()) {
            text.append(text.length() == 0 ? "" : ",").append(json(e.getKey())).append(':').append(json(e.getValue()));
        }
        return "{" + text + "}";
    }
}
