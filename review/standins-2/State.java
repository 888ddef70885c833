import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The state service of the protocol page, with its limits. Each controller has a port of its own, so that one of them can be
 * refused alone.
 */
final class State {
    private record Entry(Object value, long mark, Long tether) {}

    private record Change(String key, Object value, long mark, boolean removed) {}

    private static final class Hold {
        long ttlMs;
        long endsAt;
    }

    private final World world;
    private final double rps;
    private final double writeRps;
    private final int valueBytes;
    private final int txnOps;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private long tide = 0;
    private long nextHold = 1;
    private boolean down = false;
    private final Set<Integer> refused = new HashSet<>();
    private double requestTokens;
    private double writeTokens;
    private long refilledAt = World.ms();
    /** Called with each transaction; true: it is carried out, and its answer is lost. */
    volatile java.util.function.BiPredicate<Integer, Map<String, Object>> loseAnswer = (node, body) -> false;
    /** Called with each transaction; true: it is carried out 2 to 12 s later, and not answered. */
    volatile java.util.function.BiPredicate<Integer, Map<String, Object>> delayAll = (node, body) -> false;
    volatile java.util.function.IntSupplier lateMs;
    volatile int latencyMs = 2;
    long badRequests = 0;
    final List<Http.Server> servers = new ArrayList<>();

    State(World world, int nodes, double rps, double writeRps, double valueKb, int txnOps) throws Exception {
        this.world = world;
        lateMs = () -> 2000 + world.random.nextInt(10_000);
        this.rps = rps;
        this.writeRps = writeRps;
        this.valueBytes = (int) (valueKb * 1024);
        this.txnOps = txnOps;
        requestTokens = rps;
        writeTokens = writeRps;
        for (int i = 0; i < nodes; i++) {
            int node = i;
            servers.add(new Http.Server(request -> handle(node, request)));
        }
        World.daemon("holds", () -> {
            while (true) {
                Thread.sleep(50);
                endHolds();
            }
        });
    }

    int port(int node) {
        return servers.get(node).port();
    }

    synchronized void outage(boolean on) {
        if (!on && down) for (Hold hold : holds.values()) hold.endsAt = World.ms() + hold.ttlMs;
        down = on;
        world.log("state service " + (on ? "goes down" : "is up again"));
        notifyAll();
    }

    synchronized void refuse(int node, boolean on) {
        if (on) refused.add(node); else refused.remove(node);
        world.log("state service " + (on ? "refuses " : "serves ") + "controller " + node);
        notifyAll();
    }

    synchronized Object value(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.value;
    }

    synchronized List<String> keys(String prefix) {
        return new ArrayList<>(entries.tailMap(prefix).keySet().stream().takeWhile(k -> k.startsWith(prefix)).toList());
    }

    private synchronized void endHolds() {
        if (down) return;
        long now = World.ms();
        for (Long id : new ArrayList<>(holds.keySet())) if (holds.get(id).endsAt < now) endHold(id);
    }

    private void endHold(long id) {
        holds.remove(id);
        List<String> keys = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (entry.tether != null && entry.tether == id) keys.add(key);
        });
        if (keys.isEmpty()) return;
        tide++;
        for (String key : keys) {
            entries.remove(key);
            changes.add(new Change(key, null, tide, true));
        }
        notifyAll();
    }

    private boolean unavailable(int node) {
        return down || refused.contains(node);
    }

    private void refill() {
        long now = World.ms();
        requestTokens = Math.min(rps, requestTokens + (now - refilledAt) * rps / 1000);
        writeTokens = Math.min(writeRps, writeTokens + (now - refilledAt) * writeRps / 1000);
        refilledAt = now;
    }

    private Http.Answer handle(int node, Http.Request request) throws Exception {
        if (latencyMs > 0) Thread.sleep(latencyMs);
        if (request.path().equals("/commit")) {
            Map<String, Object> body = Mp.decodeMap(request.body());
            if (body.get("apply") != null && delayAll.test(node, body)) {
                long delay = lateMs.getAsInt();
                world.log("state service: holds up for " + delay + " ms, from controller " + node + ": " + Mp.json(body.get("apply")));
                Thread.sleep(delay);
                Http.Answer late = commit(node, body);
                world.log("state service: carried out " + delay + " ms late, for controller " + node + ": " + late.status() + " " + Mp.json(body.get("apply")));
                return null;
            }
            Http.Answer answer = commit(node, body);
            if (answer.status() == 200 && body.get("apply") != null && loseAnswer.test(node, body)) {
                world.log("state service: carried out, answer lost: controller " + node + " " + Mp.json(body));
                Thread.sleep(10_000);
                return null;
            }
            return answer;
        }
        return other(node, request);
    }

    private synchronized Http.Answer other(int node, Http.Request request) throws Exception {
        if (unavailable(node)) return error(503, "trouble");
        refill();
        if (requestTokens < 1) return error(429, "rps");
        requestTokens--;
        String path = request.path();
        if (path.equals("/follow")) return follow(node, query(request));
        if (path.equals("/store")) return list(query(request));
        if (path.startsWith("/store/")) {
            String key = path.substring(7);
            Entry entry = entries.get(key);
            return entry == null ? Http.Answer.of(404, Mp.map("tide", tide)) : Http.Answer.of(200, shown(key, entry));
        }
        if (path.equals("/holds")) {
            Hold hold = new Hold();
            hold.ttlMs = Mp.num(Mp.decodeMap(request.body()).get("ttlMs"));
            if (hold.ttlMs < 100 || hold.ttlMs > 600_000) return error(400, "ttlMs");
            hold.endsAt = World.ms() + hold.ttlMs;
            holds.put(nextHold, hold);
            return Http.Answer.of(200, Mp.map("tether", nextHold++));
        }
        if (path.startsWith("/holds/")) {
            String[] parts = path.split("/");
            long id = Long.parseLong(parts[2]);
            Hold hold = holds.get(id);
            if (hold == null || hold.endsAt < World.ms()) {
                if (hold != null) endHold(id);
                return error(404, "no such lease");
            }
            if (request.method().equals("DELETE")) endHold(id); else hold.endsAt = World.ms() + hold.ttlMs;
            return Http.Answer.of(200, Mp.map());
        }
        return error(404, "no such path");
    }

    private static Http.Answer error(int status, String text) {
        return Http.Answer.of(status, Mp.map("error", text));
    }

    private static Map<String, String> query(Http.Request request) {
        Map<String, String> query = new HashMap<>();
        for (String part : request.query().split("&")) {
            int mark = part.indexOf('=');
            if (mark > 0) query.put(part.substring(0, mark), URLDecoder.decode(part.substring(mark + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static Map<String, Object> shown(String key, Entry entry) {
        Map<String, Object> shown = Mp.map("path", key, "value", entry.value, "mark", entry.mark);
        if (entry.tether != null) shown.put("tether", entry.tether);
        return shown;
    }

    private Http.Answer list(Map<String, String> query) {
        String prefix = query.getOrDefault("under", "");
        String since = query.get("since");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        List<Object> page = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (String key : keys(prefix)) {
            if (since != null && key.compareTo(since) <= 0) continue;
            Map<String, Object> shown = shown(key, entries.get(key));
            bytes += Mp.json(shown).length();
            if (page.size() >= limit || bytes > 512 * 1024) {
                more = true;
                break;
            }
            page.add(shown);
        }
        return Http.Answer.of(200, Mp.map("entries", page, "hasNext", more, "tide", tide));
    }

    private Http.Answer follow(int node, Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("under", "");
        long since = Long.parseLong(query.get("since"));
        long until = World.ms() + Long.parseLong(query.getOrDefault("holdMs", "0"));
        while (true) {
            List<Object> log = new ArrayList<>();
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).mark > since; i--) {
                Change c = changes.get(i);
                if (!c.key.startsWith(prefix)) continue;
                log.add(0, c.removed ? Mp.map("remove", c.key, "mark", c.mark) : Mp.map("put", c.key, "value", c.value, "mark", c.mark));
            }
            long left = until - World.ms();
            if (!unavailable(node) && (!log.isEmpty() || left <= 0)) return Http.Answer.of(200, Mp.map("tide", tide, "log", log));
            wait(unavailable(node) ? 100 : Math.max(1, left));
        }
    }

    private synchronized Http.Answer commit(int node, Map<String, Object> body) {
        if (unavailable(node)) return error(503, "trouble");
        refill();
        List<Map<String, Object>> conditions = Mp.maps(body.get("if"));
        List<Map<String, Object>> operations = Mp.maps(body.get("apply"));
        String fault = null;
        if (operations.size() > txnOps) fault = operations.size() + " puts and deletes, more than " + txnOps;
        if (conditions.size() > 4 * txnOps) fault = conditions.size() + " conditions, more than " + 4 * txnOps;
        if (Mp.json(body).length() > 64 * 1024) fault = "over 64 KiB";
        for (Map<String, Object> o : operations) {
            if (o.get("put") != null && Mp.json(o.get("value")).length() > valueBytes) fault = "value of " + o.get("put") + " too long";
        }
        if (fault != null) {
            if (badRequests++ < 5) world.log("state service: 400 to controller " + node + ": " + fault + ": " + Mp.json(body));
            return error(400, fault);
        }
        if (requestTokens < 1) return error(429, "rps");
        if (writeTokens < operations.size()) return error(429, "write_rps");
        requestTokens--;
        writeTokens -= operations.size();
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> c : conditions) {
            Entry entry = entries.get((String) c.get("path"));
            if ((entry == null ? 0 : entry.mark) != Mp.num(c.get("mark"))) failed.add(c.get("path"));
        }
        if (!failed.isEmpty()) return Http.Answer.of(409, Mp.map("failed", failed, "tide", tide));
        for (Map<String, Object> o : operations) {
            if (o.get("tether") != null) {
                Hold hold = holds.get(Mp.num(o.get("tether")));
                if (hold == null || hold.endsAt < World.ms()) return error(400, "no such lease");
            }
        }
        if (body.get("apply") == null) return Http.Answer.of(200, Mp.map("tide", tide));
        tide++;
        for (Map<String, Object> o : operations) {
            String put = (String) o.get("put");
            if (put != null) {
                Long tether = o.get("tether") == null ? null : (Long) Mp.num(o.get("tether"));
                entries.put(put, new Entry(o.get("value"), tide, tether));
                changes.add(new Change(put, o.get("value"), tide, false));
            } else if (entries.remove((String) o.get("remove")) != null) {
                changes.add(new Change((String) o.get("remove"), null, tide, true));
            }
        }
        notifyAll();
        return Http.Answer.of(200, Mp.map("tide", tide));
    }
}
