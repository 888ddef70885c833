import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The cloud: machine types, rentals, releases and a list that lags. */
final class Cloud {
    static final class Type {
        final String name;
        final double cores;
        final double accelerators;
        final double memoryGb;
        final double pullGbPerS;
        final double rate;
        final double marketPrice;
        final double readyS;
        final int capacity;
        final int bootMs;

        Type(
            String name, double cores, double accelerators, double memoryGb, double pullGbPerS, double rate, double marketPrice,
            double readyS, int capacity, int bootMs
        ) {
            this.name = name;
            this.cores = cores;
            this.accelerators = accelerators;
            this.memoryGb = memoryGb;
            this.pullGbPerS = pullGbPerS;
            this.rate = rate;
            this.marketPrice = marketPrice;
            this.readyS = readyS;
            this.capacity = capacity;
            this.bootMs = bootMs;
        }
    }

    static final class Machine {
        String name;
        Type type;
        String zone;
        boolean spot;
        int port;
        long rentedAt;
        Long goneAt;
        boolean up;
        Worker worker;
    }

    private final Record record;
    private final List<String> zones;
    private final long listLagMs;
    private final double rps;
    private final Map<String, Type> types = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, List<Object>> answered = new LinkedHashMap<>();
    private final Consumer<Machine> onUp;
    private int nextName = 1;
    private int refusals;
    private int rentals;
    private double tokens;
    private long tokensAt = Record.now();

    /** Called when a request to rent arrives, before it is answered. */
    Consumer<Map<String, Object>> onRent = request -> {};

    Cloud(Record record, List<String> zones, double rps, double listLagS, List<Type> types, Consumer<Machine> onUp) {
        this.record = record;
        this.zones = zones;
        this.rps = rps;
        tokens = 2 * rps;
        listLagMs = (long) (listLagS * 1000);
        this.onUp = onUp;
        for (Type type : types) this.types.put(type.name, type);
    }

    void serve(int port) throws Exception {
        Web.serve(port, (method, path, query, body) -> {
            synchronized (this) {
                long now = Record.now();
                tokens = Math.min(2 * rps, tokens + (now - tokensAt) * rps / 1000);
                tokensAt = now;
                if (tokens < 1) return new Web.Answer(429, Map.of("error", "too many requests"));
                tokens--;
            }
            if (path.equals("/flavors")) return flavors();
            if (path.equals("/rentals/release")) return release(Pack.map(body));
            if (method.equals("GET")) return list(query);
            Map<String, Object> request = Pack.map(body);
            onRent.accept(request);
            Thread.sleep(120);
            return rent(request);
        });
    }

    /** A machine that is up before the controllers start. */
    synchronized Machine addUp(String type, String zone, boolean spot) {
        Machine machine = add(types.get(type), zone, spot);
        machine.rentedAt -= 600_000;
        start(machine);
        return machine;
    }

    /** The cloud takes a spot machine back, without a notice. */
    synchronized void take(Machine machine) {
        record.line("cloud: takes %s back", machine.name);
        machine.goneAt = Record.now();
        machine.worker.stop();
    }

    /** Requests to rent, granted or refused. */
    synchronized int rentals() {
        return rentals;
    }

    synchronized int refusals() {
        return refusals;
    }

    synchronized List<Machine> present() {
        List<Machine> list = new ArrayList<>();
        for (Machine machine : machines.values()) if (machine.goneAt == null) list.add(machine);
        return list;
    }

    private Machine add(Type type, String zone, boolean spot) {
        Machine machine = new Machine();
        machine.name = String.format("m-%06d", nextName++);
        machine.type = type;
        machine.zone = zone;
        machine.spot = spot;
        machine.port = Cluster.freePort();
        machine.rentedAt = Record.now();
        machines.put(machine.name, machine);
        return machine;
    }

    private void start(Machine machine) {
        if (machine.goneAt != null) return;
        machine.up = true;
        record.line("cloud: %s (%s in %s) is up", machine.name, machine.type.name, machine.zone);
        onUp.accept(machine);
    }

    private Web.Answer flavors() {
        List<Object> list = new ArrayList<>();
        for (Type type : types.values()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("name", type.name);
            entry.put("cores", type.cores);
            entry.put("accelerators", type.accelerators);
            entry.put("memoryGb", type.memoryGb);
            entry.put("cacheGb", 30.0);
            entry.put("pullGbPerS", type.pullGbPerS);
            entry.put("rate", type.rate);
            entry.put("marketPrice", type.marketPrice);
            entry.put("readyS", type.readyS);
            entry.put("meadows", new ArrayList<Object>(zones));
            list.add(entry);
        }
        return new Web.Answer(200, Map.of("perchKinds", list));
    }

    private synchronized Web.Answer rent(Map<String, Object> request) {
        String ask = (String) request.get("ask");
        if (answered.containsKey(ask)) return new Web.Answer(200, Map.of("perches", answered.get(ask)));
        Type type = types.get((String) request.get("perchKind"));
        int used = 0;
        String zone = (String) request.get("meadow");
        if (type == null || !zones.contains(zone)) return new Web.Answer(400, Map.of("error", "malformed"));
        for (Machine machine : machines.values()) {
            if (machine.goneAt == null && machine.type == type && machine.zone.equals(zone)) used++;
        }
        rentals++;
        int count = Math.min((int) (long) (Long) request.get("count"), type.capacity - used);
        if (count <= 0) {
            refusals++;
            record.line("cloud: no capacity for %s", Pack.json(request));
            return new Web.Answer(503, Map.of("error", "no capacity"));
        }
        List<Object> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Machine machine = add(type, zone, (Boolean) request.get("windfall"));
            names.add(machine.name);
            Web.run(() -> {
                try {
                    Thread.sleep(type.bootMs);
                } catch (InterruptedException e) {
                    return;
                }
                synchronized (this) {
                    start(machine);
                }
            });
        }
        answered.put(ask, names);
        record.line("cloud: rented %s for %s", names, Pack.json(request));
        return new Web.Answer(200, Map.of("perches", names));
    }

    private synchronized Web.Answer release(Map<String, Object> request) {
        for (Object name : (List<?>) request.get("perches")) {
            Machine machine = machines.get((String) name);
            if (machine == null || machine.goneAt != null) continue;
            machine.goneAt = Record.now();
            if (machine.worker != null) machine.worker.stop();
            record.line("cloud: released %s", name);
        }
        return new Web.Answer(200, Map.of());
    }

    private synchronized Web.Answer list(Map<String, String> query) {
        long asOf = Record.now() - listLagMs;
        String since = query.getOrDefault("since", "");
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<Object> entries = new ArrayList<>();
        boolean more = false;
        for (Machine machine : machines.values()) {
            if (machine.name.compareTo(since) <= 0 || machine.rentedAt > asOf) continue;
            if (machine.goneAt != null && machine.goneAt <= asOf) continue;
            if (entries.size() == limit) {
                more = true;
                break;
            }
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("ref", machine.name);
            entry.put("endpoint", "127.0.0.1:" + machine.port);
            entry.put("perchKind", machine.type.name);
            entry.put("meadow", machine.zone);
            entry.put("windfall", machine.spot);
            entry.put("stage", machine.up && asOf >= machine.rentedAt + machine.type.bootMs ? "running" : "starting");
            entry.put("ageS", (asOf - machine.rentedAt) / 1000.0);
            entries.add(entry);
        }
        return new Web.Answer(200, Map.of("perches", entries, "hasNext", more));
    }
}
