import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A machine with its worker, after the protocol page. All its state is guarded by the world's lock. */
final class Worker {
    static final class Task {
        String drop;
        long attempt;
        String stage;
        String cause;
        long imageAt;
        long runningSince = -1;
        long waitsSince;
        long peerLostAt = -1;
        boolean counted;
    }

    final World world;
    final String name;
    final Cloud.Type type;
    final String zone;
    final boolean spot;
    private final Http.Server server;
    private final Map<Integer, Http.Client> clients = new HashMap<>();
    final Map<String, Task> tasks = new LinkedHashMap<>();
    /** When each image is here, by name. */
    final Map<String, Long> images = new HashMap<>();
    volatile double fetchGbPerS = 2;
    private final Set<String> results = new HashSet<>();
    private final long upAt;
    private boolean gone = false;
    private boolean changed = true;
    private long flight = 1;
    private long beat = 0;
    private long crest = 0;
    private long leaseFrom = -1;
    private int node;
    /** It reaches no controller, and none reaches it. */
    volatile boolean cut = false;
    /** Its reports arrive; answers and direct commands are lost. */
    volatile boolean deaf = false;
    /** Until then it executes nothing. */
    volatile long hangsUntil = 0;
    volatile Double warnS = null;

    Worker(World world, String name, Cloud.Type type, String zone, boolean spot, long bootMs) throws Exception {
        this.world = world;
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        upAt = World.ms() + bootMs;
        node = Math.floorMod(name.hashCode(), world.nodes);
        server = new Http.Server(this::direct);
        World.daemon(name, this::run);
    }

    String endpoint() {
        return "127.0.0.1:" + server.port();
    }

    boolean isUp() {
        return World.ms() >= upAt;
    }

    void gone(String why) {
        synchronized (world) {
            gone = true;
            world.log(name + " is gone: " + why);
            for (Task t : tasks.values()) leave(t, why);
            tasks.clear();
        }
        try {
            server.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private void leave(Task t, String why) {
        if (!t.stage.equals("ended")) world.left(this, t, why);
        t.stage = "ended";
    }

    private Map<String, Object> report() {
        List<Object> drops = new ArrayList<>();
        for (Task t : tasks.values()) {
            Map<String, Object> drop = Mp.map("drop", t.drop, "try", t.attempt, "stage", t.stage);
            if (t.cause != null) drop.put("cause", t.cause);
            drops.add(drop);
        }
        return Mp.map("perch", name, "endpoint", endpoint(), "perchKind", type.name(), "meadow", zone, "windfall", spot, "flight", flight,
            "beat", ++beat, "crest", crest, "warnS", warnS, "drops", drops);
    }

    private Http.Answer direct(Http.Request request) throws Exception {
        if (cut || deaf || !isUp()) {
            Thread.sleep(20_000);
            return null;
        }
        boolean late = request.path().equals("/do") && world.random.nextDouble() < world.lateCommands;
        if (late) Thread.sleep(2000 + world.random.nextInt(14_000));
        while (World.ms() < hangsUntil) Thread.sleep(50);
        synchronized (world) {
            if (gone) return null;
            step(World.ms());
            if (request.path().equals("/inspect")) return Http.Answer.of(200, report());
            Map<String, Object> body = Mp.decodeMap(request.body());
            if (body.get("crest") == null || body.get("flight") == null) return Http.Answer.of(400, Mp.map());
            long token = Mp.num(body.get("crest"));
            if (token < crest || Mp.num(body.get("flight")) != flight) return Http.Answer.of(409, report());
            crest = token;
            execute(Mp.maps(body.get("calls")), late ? "late do" : "do");
            if (late) return null;
            return Http.Answer.of(200, report());
        }
    }

    private void run() throws Exception {
        while (!isUp()) Thread.sleep(20);
        leaseFrom = World.ms();
        World.daemon(name + " tasks", this::runTasks);
        long lastReport = 0;
        long nextReport = 0;
        while (true) {
            Thread.sleep(20);
            if (World.ms() < hangsUntil) continue;
            Map<String, Object> report = null;
            long now = World.ms();
            synchronized (world) {
                if (gone) return;
                if (now >= nextReport || (changed && now - lastReport >= 500)) {
                    changed = false;
                    report = report();
                    lastReport = now;
                    nextReport = now + (long) (world.reportMs * (0.75 + world.random.nextDouble() / 2));
                }
            }
            if (report != null && !send(report, now)) nextReport = 0;
        }
    }

    /** Tasks and lease go on while a report waits for its answer. */
    private void runTasks() throws Exception {
        while (true) {
            Thread.sleep(20);
            if (World.ms() < hangsUntil) continue;
            synchronized (world) {
                if (gone) return;
                step(World.ms());
            }
        }
    }

    /** False if the worker turned to another controller. */
    private boolean send(Map<String, Object> report, long sentAt) throws Exception {
        if (cut || world.cutFromWorkers[node]) {
            Thread.sleep(5000);
            node = (node + 1) % world.nodes;
            return false;
        }
        if (world.random.nextDouble() < world.lateReports) {
            long delay = 2000 + world.random.nextInt(15_000);
            World.daemon("late report", () -> {
                Thread.sleep(delay);
                for (int i = 0; i < world.nodes; i++) new Http.Client(world.controllerPort(i)).call("POST", "/hello", report, 4000);
            });
        }
        Http.Answer answer;
        try {
            answer = clients.computeIfAbsent(world.controllerPort(node), Http.Client::new).call("POST", "/hello", report, 4000);
        } catch (IOException e) {
            Thread.sleep(1000);
            node = (node + 1) % world.nodes;
            return false;
        }
        if (world.recordReports) world.log(name + " -> " + world.nodeNames.get(node) + " " + answer.status() + " " + Mp.json(report));
        if (deaf) {
            Thread.sleep(5000);
            return true;
        }
        if (answer.status() == 200 && !cut) {
            Map<String, Object> body = Mp.decodeMap(answer.body());
            synchronized (world) {
                if (gone || World.ms() - sentAt > 4000 || flight != Mp.num(report.get("flight"))) return true;
                step(World.ms());
                if (flight != Mp.num(report.get("flight"))) return true;
                if (body.get("crest") == null || Mp.num(body.get("crest")) < crest) return true;
                if (Mp.num(body.get("crest")) > crest) changed = true;
                crest = Mp.num(body.get("crest"));
                leaseFrom = sentAt;
                for (Map<String, Object> call : Mp.maps(body.get("calls"))) {
                    if (call.get("call").equals("launch")) world.launched((String) call.get("drop"), sentAt);
                }
                execute(Mp.maps(body.get("calls")), "answer");
            }
            return true;
        }
        Object other = answer.status() == 421 ? Mp.decodeMap(answer.body()).get("nest") : null;
        int target = other == null ? -1 : world.nodeNames.indexOf((String) other);
        if (target >= 0 && target != node) {
            node = target;
            Thread.sleep(100);
        } else {
            Thread.sleep(1000);
            node = (node + 1) % world.nodes;
        }
        return false;
    }

    private void execute(List<Map<String, Object>> calls, String way) {
        for (Map<String, Object> call : calls) {
            String drop = (String) call.get("drop");
            long attempt = Mp.num(call.get("try"));
            Task t = tasks.get(drop + "#" + attempt);
            world.log(name + " <- " + way + " " + Mp.json(call));
            switch ((String) call.get("call")) {
                case "launch" -> {
                    if (t == null) launch(drop, attempt);
                }
                case "kill" -> {
                    if (t != null && !t.stage.equals("ended")) end(t, "halted");
                }
                case "reap" -> {
                    if (t != null && t.stage.equals("ended")) tasks.remove(drop + "#" + attempt);
                }
                default -> world.log(name + ": unknown command");
            }
            changed = true;
        }
    }

    private void launch(String drop, long attempt) {
        Task t = new Task();
        t.drop = drop;
        t.attempt = attempt;
        t.stage = "pulling";
        Map<String, Object> spec = world.spec(drop);
        boolean same = tasks.values().stream().anyMatch(o -> o.drop.equals(drop) && !o.stage.equals("ended"));
        double cores = 0;
        double accelerators = 0;
        double memory = 0;
        for (Task o : tasks.values()) {
            if (o.stage.equals("ended")) continue;
            Map<String, Object> s = world.spec(o.drop);
            cores += (Double) s.get("cores");
            accelerators += (Double) s.get("accelerators");
            memory += (Double) s.get("memoryGb");
        }
        tasks.put(drop + "#" + attempt, t);
        if (spec == null || World.index(drop) >= Mp.num(spec.get("drops"))) {
            refuse(t, "no_such");
        } else if (same) {
            refuse(t, "in_use");
        } else if (cores + (Double) spec.get("cores") > type.cores() + 1e-6
            || accelerators + (Double) spec.get("accelerators") > type.accelerators() + 1e-6
            || memory + (Double) spec.get("memoryGb") > type.memoryGb() + 1e-6) {
            refuse(t, "no_room");
        } else {
            String image = (String) spec.get("seed");
            images.putIfAbsent(image, World.ms() + (long) ((Double) spec.get("sizeGb") / fetchGbPerS * 1000));
            t.imageAt = images.get(image);
            step(World.ms());
        }
    }

    private void refuse(Task t, String cause) {
        t.stage = "ended";
        t.cause = cause;
        world.log(name + ": " + t.drop + "#" + t.attempt + " refused: " + cause);
    }

    private void end(Task t, String cause) {
        leave(t, cause);
        t.cause = cause;
        changed = true;
        // A fetch that no task waits for any more is given up.
        String image = (String) world.spec(t.drop).get("seed");
        boolean needed = tasks.values().stream().anyMatch(o -> !o.stage.equals("ended") && world.spec(o.drop).get("seed").equals(image));
        if (!needed && images.getOrDefault(image, 0L) > World.ms()) {
            images.remove(image);
            world.log(name + " gives up the fetch of " + image);
        }
    }

    /** Moves the lease and the tasks on to [now]. */
    private void step(long now) {
        if (now - leaseFrom > world.leaseMs) {
            for (Task t : tasks.values()) leave(t, "lease expired");
            images.values().removeIf(at -> at > now);
            if (!tasks.isEmpty()) world.log(name + ": lease expired");
            tasks.clear();
            flight++;
            beat = 0;
            leaseFrom = now;
            changed = true;
        }
        for (Task t : new ArrayList<>(tasks.values())) {
            if (t.stage.equals("ended") || now < t.imageAt) continue;
            Map<String, Object> spec = world.spec(t.drop);
            boolean gang = spec.get("shape").equals("group");
            if (!t.counted) {
                t.counted = true;
                t.stage = gang ? "waiting" : "running";
                t.waitsSince = now;
                world.entered(this, t);
                changed = true;
                if (world.results.contains(t.drop)) {
                    end(t, "done");
                    continue;
                }
                String failure = world.failure.apply(this, t);
                if (failure != null) {
                    end(t, failure);
                    continue;
                }
            }
            if (gang && t.stage.equals("waiting")) {
                if (world.gangComplete(t)) {
                    t.stage = "running";
                    changed = true;
                } else if (now - t.waitsSince >= world.gangWaitMs) {
                    end(t, "incomplete");
                    continue;
                }
            }
            if (!t.stage.equals("running")) continue;
            if (t.runningSince < 0) t.runningSince = now;
            if (gang && world.gangDone(t)) {
                end(t, "done");
                continue;
            }
            if (gang && !world.gangWhole(t)) {
                if (t.peerLostAt < 0) t.peerLostAt = now;
                if (now - t.peerLostAt >= world.gangPeerMs) end(t, "peers");
                continue;
            }
            if (world.isFinished(t.drop, t.runningSince, now)) {
                world.completed(t);
                end(t, "done");
            }
        }
    }
}
