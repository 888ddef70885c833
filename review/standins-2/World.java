import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;

/** A small deployment on loopback: controllers as processes, stand-ins for everything else, the record, and what is on machines. */
final class World implements AutoCloseable {
    interface Body {
        void run() throws Exception;
    }

    static void daemon(String name, Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (IOException | InterruptedException e) {
                // A socket was closed, or the program ends.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    static long ms() {
        return System.nanoTime() / 1_000_000;
    }

    static int index(String drop) {
        return Integer.parseInt(drop.substring(drop.indexOf('/') + 1));
    }

    static String job(String drop) {
        return drop.substring(0, drop.indexOf('/'));
    }

    final long startedAt = ms();
    final Random random = new Random(1);
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final int nodes;
    final List<String> nodeNames = new ArrayList<>();
    private final List<Integer> servePorts = new ArrayList<>();
    private final List<Integer> peerPorts = new ArrayList<>();
    final List<Process> processes = new ArrayList<>();
    /** From the first controller to the second. */
    private final Proxy[][] links;
    final boolean[] cutFromWorkers;
    private final PrintWriter record;
    private final Path folder;
    private final Path temporary;

    long reportMs = 2000;
    long leaseMs = 10_000;
    long gangWaitMs = 50_000;
    long gangPeerMs = 6_000;
    double cancelS = 30;
    Map<String, double[]> teams = new LinkedHashMap<>();
    List<Map<String, Object>> objectives = List.of();
    List<String> zones = List.of("a");
    int writeRps = 25;
    int rps = 200;
    double valueKb = 8;
    int txnOps = 8;
    double cloudRps = 4;
    double listLagS = 3;
    State state;
    Cloud cloud;
    /** Share of the reports of which a copy arrives at every controller later. */
    volatile double lateReports = 0;
    /** Share of the direct commands that are carried out late and not answered. */
    volatile double lateCommands = 0;
    String deploy = "service.toml";
    boolean recordReports = System.getenv("RECORD_REPORTS") != null;

    private final Map<String, Map<String, Object>> specs = new HashMap<>();
    private final Map<String, Long> runMs = new HashMap<>();
    final Set<String> results = new HashSet<>();
    private final Map<String, Map<String, Long>> onMachines = new HashMap<>();
    private final Set<String> completeGangs = new HashSet<>();
    final Map<String, Long> startedAtByDrop = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    /** What a task that gets onto a machine fails with, or null. */
    volatile BiFunction<Worker, Worker.Task, String> failure = (worker, task) -> null;

    /** The folder of the case is given by the property "case". */
    World(int nodes) throws Exception {
        this.nodes = nodes;
        folder = Path.of(System.getProperty("case"));
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        temporary = Files.createTempDirectory("dewwing-case");
        List<ServerSocket> sockets = new ArrayList<>();
        while (sockets.size() < 2 * nodes) {
            // Below the ports that the system gives to connections: one of those could be taken before the controller listens on it.
            try {
                sockets.add(new ServerSocket(10_000 + new Random().nextInt(20_000), 1, InetAddress.getLoopbackAddress()));
            } catch (IOException e) {
                // It is in use.
            }
        }
        for (int i = 0; i < nodes; i++) {
            nodeNames.add("perch-" + i);
            servePorts.add(sockets.get(2 * i).getLocalPort());
            peerPorts.add(sockets.get(2 * i + 1).getLocalPort());
            processes.add(null);
        }
        for (ServerSocket socket : sockets) socket.close();
        links = new Proxy[nodes][nodes];
        cutFromWorkers = new boolean[nodes];
        for (int i = 0; i < nodes; i++) for (int j = 0; j < nodes; j++) if (i != j) links[i][j] = new Proxy(peerPorts.get(j));
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopAll));
        log("TROUBLE=" + (trouble ? 1 : 0));
    }

    synchronized void log(String line) {
        record.printf("%8.3f %s%n", (ms() - startedAt) / 1000.0, line);
    }

    void sleep(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1000));
    }

    double time() {
        return (ms() - startedAt) / 1000.0;
    }

    int controllerPort(int node) {
        return servePorts.get(node);
    }

    // ---- controllers ---------------------------------------------------------------------------------------

    private String settings(int node) {
        List<Object> siblings = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            if (i != node) siblings.add(Mp.map("node_name", nodeNames.get(i), "site", zones.get(0), "endpoint", "127.0.0.1:" + links[node][i].port()));
        }
        List<Object> teamList = new ArrayList<>();
        teams.forEach((name, t) -> teamList.add(Mp.map("name", name, "cpus", t[0], "cpus_max", t[1], "gpus", t[2], "gpus_max", t[3])));
        return Mp.json(Mp.map("node_name", nodeNames.get(node), "site", zones.get(0), "serve_on", "127.0.0.1:" + servePorts.get(node),
            "peer_listen", "127.0.0.1:" + peerPorts.get(node), "siblings", siblings,
            "endpoints", Mp.map("cloud", "127.0.0.1:" + cloud.server.port(), "state", "127.0.0.1:" + state.port(node)),
            "facts", Mp.map("initial_size", 0, "zones", zones, "teams", teamList, "objectives", objectives,
                "workers", Mp.map("report_s", reportMs / 1000.0, "lease_s", leaseMs / 1000.0, "gang_wait_s", gangWaitMs / 1000.0,
                    "gang_peer_s", gangPeerMs / 1000.0, "cancel_s", cancelS),
                "state", Mp.map("rps", (double) rps, "write_rps", (double) writeRps, "value_kb", valueKb, "txn_ops", txnOps),
                "cloud", Mp.map("rps", cloudRps, "list_lag_s", listLagS),
                "machine_limits", Mp.map("core_share", 0.255, "memory_mb", 210.0, "sockets", 1200), "time_bound_ms", 25.0)));
    }

    /** Cuts the controller off from the others, or ends the cut. */
    void cutFromPeers(int node, boolean on) {
        log(nodeNames.get(node) + (on ? " is cut off from the other controllers" : " reaches the other controllers again"));
        for (int i = 0; i < nodes; i++) {
            if (i == node) continue;
            links[i][node].hold(on);
            links[node][i].hold(on);
        }
    }

    /** Starts a controller with the command of the deploy file. */
    void start(int node) throws IOException {
        Path settings = temporary.resolve(nodeNames.get(node) + ".json");
        Files.writeString(settings, settings(node));
        String run = null;
        for (String line : Files.readAllLines(Path.of("deploy", deploy))) {
            if (line.startsWith("run = ")) run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        List<String> command = new ArrayList<>(List.of(run.split(" ")));
        command.add(settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        String level = System.getenv("LOG_LEVEL");
        builder.environment().put("LOG_LEVEL", level == null ? "info" : level);
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(temporary.resolve(nodeNames.get(node) + ".log").toFile()));
        processes.set(node, builder.start());
        log(nodeNames.get(node) + " starts, process " + processes.get(node).pid());
    }

    void startAll() throws IOException {
        for (int i = 0; i < nodes; i++) start(i);
    }

    void kill(int node) throws InterruptedException {
        log(nodeNames.get(node) + " is killed");
        processes.get(node).destroyForcibly().waitFor();
    }

    void signal(int node, String name) throws Exception {
        log(nodeNames.get(node) + " gets " + name);
        new ProcessBuilder("kill", "-" + name, "" + processes.get(node).pid()).start().waitFor();
    }

    private void stopAll() {
        for (Process process : processes) if (process != null) process.destroyForcibly();
        try {
            for (Process process : processes) if (process != null) process.waitFor();
            String keep = System.getenv("KEEP_LOGS");
            try (var files = Files.list(temporary)) {
                for (Path file : files.toList()) {
                    if (keep != null) Files.copy(file, Path.of(keep, file.getFileName().toString()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                    Files.delete(file);
                }
            }
            Files.delete(temporary);
        } catch (IOException | InterruptedException e) {
            // The folder is temporary.
        }
    }

    @Override
    public void close() {
        stopAll();
    }

    /** Waits until [seconds] have passed or the condition holds; tells whether it holds. */
    boolean await(double seconds, java.util.concurrent.Callable<Boolean> condition) throws Exception {
        long until = ms() + (long) (seconds * 1000);
        while (ms() < until) {
            if (condition.call()) return true;
            Thread.sleep(50);
        }
        return condition.call();
    }

    boolean healthy(int node) {
        try {
            return new Http.Client(servePorts.get(node)).call("GET", "/up", null, 1000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** The case could not run. */
    void unable(String why) {
        log("cannot run: " + why);
        System.out.println("cannot run: " + why);
        System.exit(2);
    }

    /** Exit status of a broken rule for run.sh; the JVM itself exits with 1 when it fails. */
    private static final int BROKEN = 10;

    /** Ends the case: broken is null if the rule held. */
    void verdict(String broken) {
        log(broken == null ? "held" : "BROKEN: " + broken);
        System.out.println(broken == null ? "held" : "broken: " + broken);
        System.exit(broken == null ? 0 : BROKEN);
    }

    // ---- users ---------------------------------------------------------------------------------------------

    Map<String, Object> spec(String ref, String flock, String roost, String shape, String urgency, int drops, double cores, double accelerators,
        double memoryGb, double expectS) {
        return Mp.map("ref", ref, "flock", flock, "roost", roost, "shape", shape, "urgency", urgency, "drops", drops, "cores", cores,
            "accelerators", accelerators, "memoryGb", memoryGb, "seed", "img-01", "sizeGb", 0.2, "perchKinds", null, "meadow", null,
            "together", false, "apart", false, "windfall", false, "expectS", expectS, "dewS", 0.0, "settleS", 0.0, "dueS", null);
    }

    synchronized Map<String, Object> spec(String drop) {
        return specs.get(job(drop));
    }

    /** Whether a task that runs since [since] is finished at [now]: after its run time, or at the moment set for its job. */
    synchronized boolean isFinished(String drop, long since, long now) {
        Long end = endAt.get(job(drop));
        return end != null ? now >= end : now - since >= runMs.get(job(drop));
    }

    /** The tasks of the job run until [at], however late they start. */
    synchronized void runUntil(String ref, long at) {
        endAt.put(ref, at);
    }

    private final Map<String, Long> endAt = new HashMap<>();
    /** When the last task of a job was completed. */
    final Map<String, Long> completedAt = new HashMap<>();

    private Http.Answer ask(int node, String method, String path, Object body, int timeoutMs) {
        Http.Client client = new Http.Client(servePorts.get(node));
        try {
            long sentAt = ms();
            Http.Answer answer = client.call(method, path, body, timeoutMs);
            String ref = body != null && method.equals("POST") && path.equals("/api/jobs") ? (String) ((Map<?, ?>) body).get("ref") : path.split("/")[path.split("/").length > 3 ? 3 : 2];
            if (answer.status() == 404 || (answer.status() < 300 && path.startsWith("/api/"))) {
                told(ref, answer.status() == 404 ? "404" : (String) Mp.decodeMap(answer.body()).get("stage"), sentAt, method.equals("GET"));
            }
            log("user -> " + nodeNames.get(node) + " " + method + " " + path + ": " + answer.status() + " " + Mp.json(Mp.decode(answer.body())));
            return answer;
        } catch (IOException e) {
            log("user -> " + nodeNames.get(node) + " " + method + " " + path + ": no answer: " + e.getMessage());
            return null;
        } finally {
            client.close();
        }
    }

    /** Submits as a user does, at one node after another, for up to 60 s; tells the status of the last answer, 0 for none. */
    int submit(Map<String, Object> spec, double runS, int firstNode) throws Exception {
        String ref = (String) spec.get("ref");
        synchronized (this) {
            specs.put(ref, spec);
            runMs.put(ref, (long) (runS * 1000));
        }
        long until = ms() + 60_000;
        int node = firstNode;
        while (true) {
            Http.Answer answer = ask(node++ % nodes, "POST", "/api/jobs", spec, 5000);
            int status = answer == null ? 0 : answer.status();
            if (status == 201 || status == 200 || status == 400 || status == 422 || ms() > until) return status;
            Thread.sleep(1000);
        }
    }

    /** Asks for the job's stage once; null without an answer, "404" if it is not known. */
    String stage(String ref, int node) throws Exception {
        Http.Answer answer = ask(node, "GET", "/api/jobs/" + ref, null, 2000);
        if (answer == null) return null;
        if (answer.status() == 404) return "404";
        return answer.status() == 200 ? (String) Mp.decodeMap(answer.body()).get("stage") : null;
    }

    /** One attempt to cancel; the stage answered, or null. */
    String cancel(String ref, int node) throws Exception {
        Http.Answer answer = ask(node, "POST", "/api/jobs/" + ref + "/cancel", Mp.map(), 5000);
        return answer != null && answer.status() == 200 ? (String) Mp.decodeMap(answer.body()).get("stage") : null;
    }

    // ---- what is on the machines -----------------------------------------------------------------------------

    synchronized void entered(Worker worker, Worker.Task task) {
        log(worker.name + " has " + task.drop + "#" + task.attempt);
        startedAtByDrop.putIfAbsent(task.drop, ms());
        Map<String, Long> places = onMachines.computeIfAbsent(task.drop, k -> new LinkedHashMap<>());
        if (!places.isEmpty()) violation("ran_twice: " + task.drop + " starts on " + worker.name + " while it is on " + places);
        places.put(worker.name, task.attempt);
        checkPlace(worker, task);
        double[] use = use((String) spec(task.drop).get("roost"));
        double[] team = teams.get((String) spec(task.drop).get("roost"));
        if (team != null && ((team[1] > 0 && use[0] > team[1] + 1e-6) || (team[3] > 0 && use[1] > team[3] + 1e-6))) {
            violation("quota: " + spec(task.drop).get("roost") + " uses " + use[0] + " cores and " + use[1] + " accelerators");
        }
    }

    private void checkPlace(Worker worker, Worker.Task task) {
        Map<String, Object> spec = spec(task.drop);
        List<?> kinds = (List<?>) spec.get("perchKinds");
        boolean allowed = (kinds == null || kinds.contains(worker.type.name())) && (!worker.spot || (Boolean) spec.get("windfall"))
            && (spec.get("meadow") == null || spec.get("meadow").equals(worker.zone));
        if (!allowed) violation("wrong_place: " + task.drop + " on " + worker.name + " " + worker.type.name() + " " + worker.zone + " " + worker.spot);
        zoneOf.put(worker.name, worker.zone);
        int here = 0;
        for (Map.Entry<String, Map<String, Long>> e : onMachines.entrySet()) {
            if (!job(e.getKey()).equals(job(task.drop))) continue;
            for (String machine : e.getValue().keySet()) {
                if (zoneOf.get(machine).equals(worker.zone)) {
                    here++;
                } else if ((Boolean) spec.get("together")) {
                    violation("wrong_place: " + task.drop + " in " + worker.zone + ", " + e.getKey() + " in " + zoneOf.get(machine));
                }
            }
        }
        if ((Boolean) spec.get("apart") && here > (Mp.num(spec.get("drops")) + 1) / 2) violation("wrong_place: " + task.drop + " is one of " + here + " in " + worker.zone);
        Long told = cancelledAt.get(job(task.drop));
        if (told != null && ms() - told > cancelS * 1000) violation("ran_cancelled: " + task.drop + " starts");
    }

    final Map<String, String> zoneOf = new HashMap<>();
    /** When a user was first told that a job is cancelled. */
    final Map<String, Long> cancelledAt = new HashMap<>();
    private final Map<String, String> told = new HashMap<>();

    /** A user was told a job's stage by a request sent at [sentAt]. */
    private synchronized void told(String ref, String stage, long sentAt, boolean isQuery) {
        String before = told.get(ref + "@");
        if (stage.equals("404")) {
            if (told.containsKey(ref) && sentAt >= Long.parseLong(told.get(ref + "#"))) violation("forgotten: " + ref + " gets 404");
            return;
        }
        if (before != null && !before.equals(stage) && sentAt >= Long.parseLong(told.get(ref + "!"))) violation("went_back: " + ref + " " + before + " " + stage);
        if (stage.equals("done") && !complete(ref)) violation("not_done: " + ref);
        if (stage.equals("aborted")) cancelledAt.putIfAbsent(ref, ms());
        if (told.put(ref, stage) == null) told.put(ref + "#", "" + ms());
        if ((stage.equals("done") || stage.equals("aborted")) && before == null) {
            told.put(ref + "@", stage);
            told.put(ref + "!", "" + ms());
        }
    }

    /** To be called now and then: cancelled tasks that are still on machines. */
    synchronized void checkCancelled() {
        onMachines.forEach((drop, places) -> {
            Long at = cancelledAt.get(job(drop));
            if (at != null && !places.isEmpty() && ms() - at > cancelS * 1000 + 100 && reported.add(drop)) violation("ran_cancelled: " + drop + " is on " + places);
        });
    }

    private final Set<String> reported = new HashSet<>();

    synchronized double[] use(String team) {
        double[] use = new double[2];
        onMachines.forEach((drop, places) -> {
            Map<String, Object> spec = specs.get(job(drop));
            if (!spec.get("roost").equals(team)) return;
            use[0] += places.size() * (Double) spec.get("cores");
            use[1] += places.size() * (Double) spec.get("accelerators");
        });
        return use;
    }

    synchronized void left(Worker worker, Worker.Task task, String why) {
        if (!task.counted) return;
        log(worker.name + " has no longer " + task.drop + "#" + task.attempt + ": " + why);
        Map<String, Long> places = onMachines.get(task.drop);
        if (places != null) places.remove(worker.name);
    }

    private void violation(String text) {
        violations.add(text);
        log("VIOLATION " + text);
    }

    /** By task: when the newest report was sent whose answer started it. */
    final Map<String, Long> launchedByReportOf = new HashMap<>();

    synchronized void launched(String drop, long reportSentAt) {
        launchedByReportOf.merge(drop, reportSentAt, Math::max);
    }

    synchronized Map<String, Long> placesOf(String drop) {
        return new HashMap<>(onMachines.getOrDefault(drop, Map.of()));
    }

    synchronized boolean onMachine(String ref) {
        return onMachines.entrySet().stream().anyMatch(e -> job(e.getKey()).equals(ref) && !e.getValue().isEmpty());
    }

    synchronized boolean gangWhole(Worker.Task task) {
        long drops = Mp.num(spec(task.drop).get("drops"));
        for (int i = 0; i < drops; i++) if (!placesOf(job(task.drop) + "/" + i).containsValue(task.attempt)) return false;
        return true;
    }

    synchronized boolean gangComplete(Worker.Task task) {
        String key = job(task.drop) + "#" + task.attempt;
        if (completeGangs.contains(key)) return true;
        if (gangWhole(task)) completeGangs.add(key);
        return completeGangs.contains(key);
    }

    synchronized boolean gangDone(Worker.Task task) {
        return results.contains(task.drop);
    }

    synchronized void completed(Worker.Task task) {
        Map<String, Object> spec = spec(task.drop);
        if (!spec.get("shape").equals("group")) {
            results.add(task.drop);
        } else {
            for (int i = 0; i < Mp.num(spec.get("drops")); i++) results.add(job(task.drop) + "/" + i);
        }
        if (complete(job(task.drop))) completedAt.putIfAbsent(job(task.drop), ms());
    }

    synchronized boolean complete(String ref) {
        for (int i = 0; i < Mp.num(specs.get(ref).get("drops")); i++) if (!results.contains(ref + "/" + i)) return false;
        return true;
    }
}
