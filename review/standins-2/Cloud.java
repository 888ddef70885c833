import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of the protocol page: rents machines up to a capacity a market, lists them at once, and boots them at once. */
final class Cloud {
    record Type(String name, double cores, double accelerators, double memoryGb, double rate, double spot, double readyS, List<String> zones,
        double pullGbPerS) {
        Type(String name, double cores, double accelerators, double memoryGb, double rate, double spot, double readyS, List<String> zones) {
            this(name, cores, accelerators, memoryGb, rate, spot, readyS, zones, 2.0);
        }
    }

    private final World world;
    private final List<Type> types;
    private final Map<String, Integer> capacity;
    private final TreeMap<String, Worker> machines = new TreeMap<>();
    private final Map<String, Long> rentedAt = new HashMap<>();
    private final Map<String, List<String>> answered = new HashMap<>();
    private int next = 1;
    volatile long bootMs = 1000;
    volatile boolean trouble = false;
    final Http.Server server;

    /** [capacity] by "type/zone/windfall". */
    Cloud(World world, List<Type> types, Map<String, Integer> capacity) throws Exception {
        this.world = world;
        this.types = types;
        this.capacity = capacity;
        server = new Http.Server(this::handle);
    }

    synchronized void setCapacity(String market, int count) {
        capacity.put(market, count);
        world.log("cloud: " + market + " has " + count + " machines in all");
    }

    synchronized List<Worker> machines() {
        return new ArrayList<>(machines.values());
    }

    private static String market(String type, String zone, boolean spot) {
        return type + "/" + zone + "/" + spot;
    }

    synchronized Worker start(String type, String zone, boolean spot, long boot) throws Exception {
        String name = String.format("m-%06d", next++);
        Type found = types.stream().filter(t -> t.name.equals(type)).findFirst().orElseThrow();
        Worker worker = new Worker(world, name, found, zone, spot, boot);
        machines.put(name, worker);
        rentedAt.put(name, World.ms());
        return worker;
    }

    synchronized void take(Worker worker) {
        if (machines.remove(worker.name) != null) worker.gone("taken by the cloud");
    }

    private synchronized Http.Answer handle(Http.Request request) throws Exception {
        if (trouble) return Http.Answer.of(503, Mp.map("error", "trouble"));
        if (request.path().equals("/flavors")) {
            List<Object> list = new ArrayList<>();
            for (Type t : types) {
                list.add(Mp.map("name", t.name, "cores", t.cores, "accelerators", t.accelerators, "memoryGb", t.memoryGb, "cacheGb", 100.0,
                    "pullGbPerS", t.pullGbPerS, "rate", t.rate, "marketPrice", t.spot, "readyS", t.readyS, "meadows", t.zones));
            }
            return Http.Answer.of(200, Mp.map("perchKinds", list));
        }
        if (request.path().equals("/rentals/release")) {
            for (Object name : (List<?>) Mp.decodeMap(request.body()).get("perches")) {
                Worker worker = machines.remove((String) name);
                if (worker != null) worker.gone("returned");
            }
            return Http.Answer.of(200, Mp.map());
        }
        if (request.method().equals("POST")) {
            Map<String, Object> body = Mp.decodeMap(request.body());
            String ask = (String) body.get("ask");
            if (answered.containsKey(ask)) return Http.Answer.of(200, Mp.map("perches", answered.get(ask)));
            String type = (String) body.get("perchKind");
            String zone = (String) body.get("meadow");
            boolean spot = (Boolean) body.get("windfall");
            long used = machines.values().stream().filter(w -> market(w.type.name, w.zone, w.spot).equals(market(type, zone, spot))).count();
            long count = Math.min(Mp.num(body.get("count")), capacity.getOrDefault(market(type, zone, spot), 0) - used);
            world.log("cloud: " + ask + " asks for " + body.get("count") + " " + market(type, zone, spot) + ": " + Math.max(0, count));
            if (count <= 0) return Http.Answer.of(503, Mp.map("error", "no capacity"));
            List<String> names = new ArrayList<>();
            for (int i = 0; i < count; i++) names.add(start(type, zone, spot, bootMs).name);
            answered.put(ask, names);
            return Http.Answer.of(200, Mp.map("perches", names));
        }
        String since = "";
        for (String part : request.query().split("&")) if (part.startsWith("since=")) since = part.substring(6);
        List<Object> list = new ArrayList<>();
        boolean more = false;
        for (Worker w : machines.tailMap(since, false).values()) {
            if (list.size() == 500) {
                more = true;
                break;
            }
            list.add(new LinkedHashMap<>(Mp.map("ref", w.name, "endpoint", w.endpoint(), "perchKind", w.type.name, "meadow", w.zone,
                "windfall", w.spot, "stage", w.isUp() ? "running" : "starting", "ageS", (World.ms() - rentedAt.get(w.name)) / 1000.0)));
        }
        return Http.Answer.of(200, Mp.map("perches", list, "hasNext", more));
    }
}
