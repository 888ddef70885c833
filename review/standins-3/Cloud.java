import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The cloud of the protocol page. Machines are ordinary ones, up within the seconds that a scenario gives. */
final class Cloud {
    static final class Kind {
        final String name;
        final double cores;
        final double accelerators;
        final double memoryGb;
        final double pullGbPerS;
        final double rate;
        final double readyS;
        volatile int capacity;

        Kind(String name, double cores, double accelerators, double memoryGb, double pullGbPerS, double rate, double readyS, int capacity) {
            this.name = name;
            this.cores = cores;
            this.accelerators = accelerators;
            this.memoryGb = memoryGb;
            this.pullGbPerS = pullGbPerS;
            this.rate = rate;
            this.readyS = readyS;
            this.capacity = capacity;
        }
    }

    private static final class Rented {
        String name;
        Kind kind;
        String zone;
        long rentedAtMs;
        long goneAtMs = Long.MAX_VALUE;
        boolean failed;
        volatile Worker worker;
        int port;
    }

    private final Site site;
    private final List<Kind> kinds;
    private final long listLagMs;
    private final Net.Rate calls;
    private final long bootMs;
    private final Map<String, Rented> machines = new LinkedHashMap<>();
    private final Map<String, List<String>> answers = new HashMap<>();
    private int nextMachine = 1;

    Cloud(Site site, List<Kind> kinds, double rps, double listLagS, long bootMs) {
        this.site = site;
        this.kinds = kinds;
        this.listLagMs = (long) (listLagS * 1000);
        this.bootMs = bootMs;
        calls = new Net.Rate(rps, 2);
    }

    void serve(int port) throws Exception {
        Net.serve(port, this::handle);
    }

    private Net.Response handle(String method, String path, String query, byte[] body) throws Exception {
        StateStore.sleep(20);
        if (!calls.take(1)) return Net.Response.of(429, Mp.map("error", "too many"));
        synchronized (this) {
            if (path.equals("/flavors")) return flavors();
            if (path.equals("/rentals/release")) return release(Mp.decode(body));
            if (path.equals("/rentals")) return method.equals("POST") ? rent(Mp.decode(body)) : list(query);
        }
        return Net.Response.of(404, Mp.map("error", "no such path"));
    }

    private Net.Response flavors() {
        List<Object> list = new ArrayList<>();
        for (Kind kind : kinds) {
            list.add(Mp.map("name", kind.name, "cores", kind.cores, "accelerators", kind.accelerators, "memoryGb", kind.memoryGb, "cacheGb", 150.0,
                "pullGbPerS", kind.pullGbPerS, "rate", kind.rate, "marketPrice", kind.rate * 0.5, "readyS", kind.readyS, "meadows",
                List.of(site.zone)));
        }
        return Net.Response.of(200, Mp.map("perchKinds", list));
    }

    private Net.Response rent(Map<String, Object> request) throws Exception {
        String ask = (String) request.get("ask");
        if (answers.containsKey(ask)) return Net.Response.of(200, Mp.map("perches", answers.get(ask)));
        Kind kind = null;
        for (Kind candidate : kinds) if (candidate.name.equals(request.get("perchKind"))) kind = candidate;
        boolean spot = Boolean.TRUE.equals(request.get("windfall"));
        int inUse = 0;
        for (Rented rented : machines.values()) if (rented.kind == kind && rented.goneAtMs == Long.MAX_VALUE) inUse++;
        int count = kind == null || spot ? 0 : (int) Math.min((Long) request.get("count"), kind.capacity - inUse);
        if (count <= 0) {
            site.record("cloud: no capacity for %s (%s)", request.get("perchKind"), ask);
            return Net.Response.of(503, Mp.map("error", "no capacity"));
        }
        List<String> names = new ArrayList<>();
        List<Integer> ports = Net.freePorts(count);
        for (int i = 0; i < count; i++) {
            Rented rented = new Rented();
            rented.name = String.format("m-%06d", nextMachine++);
            rented.kind = kind;
            rented.zone = (String) request.get("meadow");
            rented.rentedAtMs = StateStore.nowMs();
            rented.port = ports.get(i);
            machines.put(rented.name, rented);
            names.add(rented.name);
            boot(rented);
        }
        answers.put(ask, names);
        site.record("cloud: %s rented %s of type %s", ask, names, kind.name);
        return Net.Response.of(200, Mp.map("perches", names));
    }

    private void boot(Rented rented) {
        Thread thread = new Thread(() -> {
            StateStore.sleep(bootMs);
            try {
                synchronized (this) {
                    if (rented.goneAtMs != Long.MAX_VALUE) return;
                    rented.worker = new Worker(site, rented.name, rented.kind, rented.zone, false, rented.port);
                }
                site.record("%s is up", rented.name);
            } catch (Exception e) {
                site.fail("worker of " + rented.name + ": " + e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @SuppressWarnings("unchecked")
    private Net.Response release(Map<String, Object> request) {
        for (Object name : (List<Object>) request.get("perches")) {
            Rented rented = machines.get((String) name);
            if (rented == null || rented.goneAtMs != Long.MAX_VALUE) continue;
            rented.goneAtMs = StateStore.nowMs();
            if (rented.worker != null) rented.worker.end();
            site.record("cloud: %s returned", name);
        }
        return Net.Response.of(200, Mp.map());
    }

    /** The machine stops with all that is on it; the list shows it as failed until it is deleted. */
    synchronized void stopMachine(String name) {
        Rented rented = machines.get(name);
        rented.failed = true;
        if (rented.worker != null) rented.worker.end();
        site.record("%s stopped, with all that was on it", name);
    }

    private Net.Response list(String query) {
        String since = "";
        int limit = 500;
        for (String part : query.split("&")) {
            if (part.startsWith("since=")) since = part.substring(6);
            if (part.startsWith("limit=")) limit = Math.min(500, Integer.parseInt(part.substring(6)));
        }
        List<Object> list = new ArrayList<>();
        boolean more = false;
        long asOf = StateStore.nowMs() - listLagMs;
        for (Rented rented : machines.values()) {
            if (rented.name.compareTo(since) <= 0 || rented.rentedAtMs > asOf || rented.goneAtMs < asOf) continue;
            if (list.size() >= limit) {
                more = true;
                break;
            }
            String stage = rented.failed ? "failed" : asOf - rented.rentedAtMs > bootMs ? "running" : "starting";
            list.add(Mp.map("ref", rented.name, "endpoint", "127.0.0.1:" + rented.port, "perchKind", rented.kind.name, "meadow", rented.zone, "windfall",
                false, "stage", stage, "ageS", (asOf - rented.rentedAtMs) / 1000.0));
        }
        return Net.Response.of(200, Mp.map("perches", list, "hasNext", more));
    }

    synchronized List<Worker> workers() {
        List<Worker> list = new ArrayList<>();
        for (Rented rented : machines.values()) if (rented.worker != null && !rented.worker.isGone()) list.add(rented.worker);
        return list;
    }
}
