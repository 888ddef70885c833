import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of the protocol page: keys, conditional transactions, leases, watches, and its limits. */
final class StateStore {
    static final class Stored {
        final Object value;
        final long revision;
        final long lease;

        Stored(Object value, long revision, long lease) {
            this.value = value;
            this.revision = revision;
            this.lease = lease;
        }
    }

    private static final class Change {
        final String key;
        final Object value;
        final long revision;
        final boolean removal;

        Change(String key, Object value, long revision, boolean removal) {
            this.key = key;
            this.value = value;
            this.revision = revision;
            this.removal = removal;
        }
    }

    private static final class Lease {
        final long ttlMs;
        long expiresAtMs;
        final List<String> keys = new ArrayList<>();

        Lease(long ttlMs) {
            this.ttlMs = ttlMs;
            this.expiresAtMs = nowMs() + ttlMs;
        }
    }

    interface Listener {
        void onPut(String key, Object value);
    }

    private final TreeMap<String, Stored> keys = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private long forgottenUpTo;
    private final Map<Long, Lease> leases = new HashMap<>();
    private long nextLease = 1;
    private long revision;
    private final Net.Rate requests;
    private final Net.Rate writes;
    private final int valueBytes;
    private final int txnOps;

    /** Time that each answer takes. */
    volatile long delayMs = 2;
    volatile Listener listener = (key, value) -> {};
    volatile long refusedByRate;

    StateStore(double rps, double writeRps, int valueKb, int txnOps) {
        requests = new Net.Rate(rps, 1);
        writes = new Net.Rate(writeRps, 1);
        valueBytes = valueKb * 1024;
        this.txnOps = txnOps;
        Thread thread = new Thread(() -> {
            while (true) {
                expireLeases();
                sleep(25);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    void serve(int port) throws Exception {
        Net.serve(port, this::handle);
    }

    /** A value that equals that of another key but for its name, which it holds as text. */
    private static final class Copy {
        final Object original;
        final String oldName;
        final String newName;

        Copy(Object original, String oldName, String newName) {
            this.original = original;
            this.oldName = oldName;
            this.newName = newName;
        }

        Object value() {
            return renamed(original);
        }

        private Object renamed(Object value) {
            if (oldName.equals(value)) return newName;
            if (!(value instanceof Map)) return value;
            Map<String, Object> copy = Mp.map();
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) copy.put((String) entry.getKey(), renamed(entry.getValue()));
            return copy;
        }
    }

    /**
     * Adds a copy of the record at [prefix][name] for each of [newNames], as a record that was written when that one was: it has
     * the same revision, no watch reports it, and where the record holds its name as text the copy holds its own.
     */
    synchronized void addHistory(String prefix, String name, List<String> newNames) {
        Stored original = keys.get(prefix + name);
        for (String newName : newNames) {
            keys.putIfAbsent(prefix + newName, new Stored(new Copy(original.value, name, newName), original.revision, 0));
        }
    }

    synchronized Object valueOf(String key) {
        Stored stored = keys.get(key);
        return stored == null ? null : plain(stored.value);
    }

    private static Object plain(Object value) {
        return value instanceof Copy ? ((Copy) value).value() : value;
    }

    synchronized int countUnder(String prefix) {
        return keys.subMap(prefix, prefix + '\uffff').size();
    }

    private Net.Response handle(String method, String path, String query, byte[] body) throws Exception {
        sleep(delayMs);
        Map<String, String> parameters = parse(query);
        if (!requests.take(1)) {
            refusedByRate++;
            return Net.Response.of(429, Mp.map("error", "too many requests"));
        }
        if (path.equals("/follow")) return follow(parameters);
        synchronized (this) {
            if (path.equals("/commit")) return commit(Mp.decode(body));
            if (path.equals("/store")) return list(parameters);
            if (path.startsWith("/store/")) return get(path.substring(7));
            if (path.startsWith("/holds")) return lease(method, path, body);
        }
        return Net.Response.of(404, Mp.map("error", "no such path"));
    }

    private static Map<String, String> parse(String query) {
        Map<String, String> parameters = new HashMap<>();
        for (String part : query.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) parameters.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return parameters;
    }

    private Net.Response get(String key) {
        Stored stored = keys.get(key);
        if (stored == null) return Net.Response.of(404, Mp.map("tide", revision));
        return Net.Response.of(200, entry(key, stored));
    }

    private static Map<String, Object> entry(String key, Stored stored) {
        Map<String, Object> entry = Mp.map("path", key, "value", plain(stored.value), "mark", stored.revision);
        if (stored.lease != 0) entry.put("tether", stored.lease);
        return entry;
    }

    /** At most 1,000 entries and 512 KiB. */
    private Net.Response list(Map<String, String> parameters) {
        String prefix = parameters.get("under");
        String since = parameters.get("since");
        int limit = Math.min(1000, parameters.containsKey("limit") ? Integer.parseInt(parameters.get("limit")) : 1000);
        List<Object> entries = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        Iterator<Map.Entry<String, Stored>> found =
            (since == null || since.compareTo(prefix) < 0 ? keys.tailMap(prefix, true) : keys.tailMap(since, false)).entrySet().iterator();
        while (found.hasNext()) {
            Map.Entry<String, Stored> next = found.next();
            if (!next.getKey().startsWith(prefix)) break;
            Map<String, Object> entry = entry(next.getKey(), next.getValue());
            bytes += Mp.jsonSize(entry);
            if (entries.size() >= limit || bytes > 512 * 1024) {
                more = true;
                break;
            }
            entries.add(entry);
        }
        return Net.Response.of(200, Mp.map("entries", entries, "hasNext", more, "tide", revision));
    }

    private Net.Response follow(Map<String, String> parameters) throws InterruptedException {
        String prefix = parameters.get("under");
        long since = Long.parseLong(parameters.getOrDefault("since", "0"));
        long deadline = nowMs() + Math.min(60_000, Long.parseLong(parameters.getOrDefault("holdMs", "0")));
        synchronized (this) {
            while (true) {
                if (since < forgottenUpTo) return Net.Response.of(410, Mp.map("tide", revision));
                List<Object> log = new ArrayList<>();
                for (Change change : changes) {
                    if (change.revision <= since || !change.key.startsWith(prefix)) continue;
                    log.add(change.removal
                        ? Mp.map("remove", change.key, "mark", change.revision)
                        : Mp.map("put", change.key, "value", change.value, "mark", change.revision));
                }
                long left = deadline - nowMs();
                if (!log.isEmpty() || left <= 0) return Net.Response.of(200, Mp.map("tide", revision, "log", log));
                wait(left);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private Net.Response commit(Map<String, Object> body) {
        List<Object> conditions = (List<Object>) body.getOrDefault("if", new ArrayList<>());
        List<Object> operations = (List<Object>) body.getOrDefault("apply", new ArrayList<>());
        if (operations.size() > txnOps || conditions.size() > 4 * txnOps || Mp.jsonSize(body) > 64 * 1024) {
            return Net.Response.of(400, Mp.map("error", "too large"));
        }
        for (Object operation : operations) {
            if (Mp.jsonSize(((Map<String, Object>) operation).get("value")) > valueBytes) {
                return Net.Response.of(400, Mp.map("error", "value too large"));
            }
        }
        if (!writes.take(operations.size())) {
            refusedByRate++;
            return Net.Response.of(429, Mp.map("error", "too many writes"));
        }
        for (Object item : operations) {
            Long lease = (Long) ((Map<String, Object>) item).get("tether");
            if (lease != null && !leases.containsKey(lease)) return Net.Response.of(400, Mp.map("error", "no such lease"));
        }
        List<Object> failed = new ArrayList<>();
        for (Object item : conditions) {
            Map<String, Object> condition = (Map<String, Object>) item;
            Stored stored = keys.get((String) condition.get("path"));
            if ((stored == null ? 0 : stored.revision) != (Long) condition.get("mark")) failed.add(condition.get("path"));
        }
        if (!failed.isEmpty()) return Net.Response.of(409, Mp.map("failed", failed, "tide", revision));
        if (operations.isEmpty()) return Net.Response.of(200, Mp.map("tide", revision));
        long at = revision + 1;
        for (Object item : operations) {
            Map<String, Object> operation = (Map<String, Object>) item;
            String put = (String) operation.get("put");
            if (put == null) {
                remove((String) operation.get("remove"), at);
                continue;
            }
            Long lease = (Long) operation.get("tether");
            keys.put(put, new Stored(operation.get("value"), at, lease == null ? 0 : lease));
            if (lease != null) leases.get(lease).keys.add(put);
            addChange(new Change(put, operation.get("value"), at, false));
            listener.onPut(put, operation.get("value"));
        }
        revision = at;
        notifyAll();
        return Net.Response.of(200, Mp.map("tide", at));
    }

    private void remove(String key, long at) {
        if (keys.remove(key) != null) addChange(new Change(key, null, at, true));
    }

    private void addChange(Change change) {
        changes.addLast(change);
        while (changes.size() > 10_000) forgottenUpTo = changes.removeFirst().revision;
    }

    private Net.Response lease(String method, String path, byte[] body) {
        if (path.equals("/holds")) {
            long ttl = (Long) Mp.decode(body).get("ttlMs");
            leases.put(nextLease, new Lease(ttl));
            return Net.Response.of(200, Mp.map("tether", nextLease++));
        }
        long id = Long.parseLong(path.substring(7).split("/")[0]);
        Lease lease = leases.get(id);
        if (lease == null) return Net.Response.of(404, Mp.map("error", "no such lease"));
        if (method.equals("DELETE")) end(id); else lease.expiresAtMs = nowMs() + lease.ttlMs;
        return Net.Response.of(200, Mp.map());
    }

    private synchronized void expireLeases() {
        List<Long> expired = new ArrayList<>();
        for (Map.Entry<Long, Lease> entry : leases.entrySet()) if (entry.getValue().expiresAtMs < nowMs()) expired.add(entry.getKey());
        for (long id : expired) end(id);
    }

    private void end(long id) {
        List<String> held = new ArrayList<>();
        for (String key : leases.remove(id).keys) {
            Stored stored = keys.get(key);
            if (stored != null && stored.lease == id && !held.contains(key)) held.add(key);
        }
        if (held.isEmpty()) return;
        long at = revision + 1;
        for (String key : held) remove(key, at);
        revision = at;
        notifyAll();
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000L;
    }

    static void sleep(long ms) {
        try {
            if (ms > 0) Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
