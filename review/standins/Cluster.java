import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Controllers as separate processes, started as a deploy file says, with stand-ins for everything round them. */
final class Cluster implements AutoCloseable {
    static final class Node {
        String name;
        String zone;
        int port;
        int peerPort;
        int statePort;
        Process process;
    }

    /** What the settings say of a site. */
    static final class Site {
        List<String> zones;
        int controllers = 3;
        String teams;
        String objectives = "[]";
        double reportS;
        double leaseS;
        double cancelS;
        double gangWaitS = 50;
        double gangPeerS = 6;
        double rps = 200;
        double writeRps;
        double valueKb;
        int txnOps = 8;
        double cloudRps;
        double listLagS;
        double coreShare;
        double memoryMb;
        int sockets;
        List<Cloud.Type> types;
    }

    final Record record;
    final Tracker tracker;
    final StateService state;
    final Cloud cloud;
    final List<Node> nodes = new ArrayList<>();
    private final Site site;
    private final Path folder;
    private final List<String> command;
    private final int cloudPort = freePort();

    Cluster(Record record, Site site, String deployFile, Path folder) throws Exception {
        this.record = record;
        this.site = site;
        this.folder = folder;
        command = runCommand(deployFile);
        tracker = new Tracker(record);
        state = new StateService(record, site.rps, site.writeRps, site.valueKb, site.txnOps);
        Worker.Times times = new Worker.Times(site.reportS, site.leaseS, site.gangWaitS, site.gangPeerS);
        cloud = new Cloud(record, site.zones, site.cloudRps, site.listLagS, site.types, machine -> {
            try {
                machine.worker = new Worker(this, machine, times);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        cloud.serve(cloudPort);
        for (int i = 0; i < site.controllers; i++) {
            Node node = new Node();
            node.name = "perch-" + i;
            node.zone = site.zones.get(i % site.zones.size());
            node.port = freePort();
            node.peerPort = freePort();
            node.statePort = freePort();
            nodes.add(node);
            state.serve(node.statePort, node.name);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static List<String> runCommand(String deployFile) throws IOException {
        for (String line : Files.readAllLines(Path.of(deployFile))) {
            if (line.startsWith("run = ")) {
                return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no run command in " + deployFile);
    }

    int indexOf(String name) {
        for (int i = 0; i < nodes.size(); i++) if (nodes.get(i).name.equals(name)) return i;
        throw new IllegalArgumentException(name);
    }

    private String settings(Node node) {
        StringBuilder siblings = new StringBuilder();
        for (Node other : nodes) {
            if (other == node) continue;
            if (siblings.length() > 0) siblings.append(',');
            siblings.append(
                "{\"node_name\":\"" + other.name + "\",\"site\":\"" + other.zone + "\",\"endpoint\":\"127.0.0.1:"
                    + other.peerPort + "\"}");
        }
        return "{\"node_name\":\"" + node.name + "\",\"site\":\"" + node.zone + "\",\"serve_on\":\"127.0.0.1:" + node.port
            + "\",\"peer_listen\":\"127.0.0.1:" + node.peerPort + "\",\"siblings\":[" + siblings + "],\"endpoints\":{\"cloud\":\"127.0.0.1:"
            + cloudPort + "\",\"state\":\"127.0.0.1:" + node.statePort + "\"},\"facts\":{\"initial_size\":" + site.controllers
            + ",\"zones\":" + Pack.json(site.zones) + ",\"teams\":" + site.teams + ",\"objectives\":" + site.objectives + ",\"workers\":{\"report_s\":" + site.reportS
            + ",\"lease_s\":" + site.leaseS + ",\"gang_wait_s\":" + site.gangWaitS + ",\"gang_peer_s\":" + site.gangPeerS
            + ",\"cancel_s\":" + site.cancelS + "},\"state\":{\"rps\":" + site.rps + ",\"write_rps\":" + site.writeRps + ",\"value_kb\":"
            + site.valueKb + ",\"txn_ops\":" + site.txnOps + "},\"cloud\":{\"rps\":" + site.cloudRps + ",\"list_lag_s\":" + site.listLagS
            + "},\"machine_limits\":{\"core_share\":" + site.coreShare + ",\"memory_mb\":" + site.memoryMb + ",\"sockets\":" + site.sockets
            + "},\"time_bound_ms\":25.0}}";
    }

    void startAll() throws IOException {
        for (Node node : nodes) start(node);
    }

    void start(Node node) throws IOException {
        Path file = folder.resolve(node.name + ".json");
        Files.writeString(file, settings(node));
        List<String> words = new ArrayList<>(command);
        words.add(file.toString());
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().putIfAbsent("LOG_LEVEL", "info");
        File log = folder.resolve(node.name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        node.process = builder.start();
        record.line("%s started, process %d", node.name, node.process.pid());
    }

    boolean allAlive() {
        for (Node node : nodes) if (node.process == null || !node.process.isAlive()) return false;
        return true;
    }

    @Override
    public void close() {
        for (Node node : nodes) if (node.process != null && node.process.isAlive()) node.process.destroyForcibly();
        // The folder holds settings and logs; KEEP=1 keeps them.
        if ("1".equals(System.getenv("KEEP"))) return;
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    static boolean await(long timeoutMs, Condition condition) throws Exception {
        long until = Record.now() + timeoutMs;
        while (!condition.holds()) {
            if (Record.now() > until) return false;
            Thread.sleep(20);
        }
        return true;
    }

    /** Waits until every controller answers its health check with 200. */
    boolean awaitUp(long timeoutMs) throws Exception {
        return await(timeoutMs, () -> {
            for (Node node : nodes) {
                Web.Answer answer = Web.call(node.port, "GET", "/up", null, 1000);
                if (answer == null || answer.status() != 200) return false;
            }
            return true;
        });
    }

    /** The single leader according to the state service, or null. */
    @SuppressWarnings("unchecked")
    Node leader() {
        StateService.Stored holder = state.get("term/holder");
        if (holder == null) return null;
        Object name = ((Map<String, Object>) holder.value()).get("node");
        return name == null || name.equals("") ? null : nodes.get(indexOf((String) name));
    }

    /** The owner of each shard according to the state service; empty while there are no shards. */
    @SuppressWarnings("unchecked")
    List<String> shardOwners() {
        List<String> owners = new ArrayList<>();
        for (StateService.Stored holder : state.under("shards/holder/").values()) {
            owners.add((String) ((Map<String, Object>) holder.value()).get("node"));
        }
        return owners;
    }

    // ---- users -------------------------------------------------------------------------------------------

    static Map<String, Object> job(
        String ref, String flock, String roost, String shape, String urgency, long drops, double cores, double accelerators,
        double memoryGb, String seed, double sizeGb, double expectS
    ) {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("ref", ref);
        job.put("flock", flock);
        job.put("roost", roost);
        job.put("shape", shape);
        job.put("urgency", urgency);
        job.put("drops", drops);
        job.put("cores", cores);
        job.put("accelerators", accelerators);
        job.put("memoryGb", memoryGb);
        job.put("seed", seed);
        job.put("sizeGb", sizeGb);
        job.put("perchKinds", null);
        job.put("meadow", null);
        job.put("together", false);
        job.put("apart", false);
        job.put("windfall", false);
        job.put("expectS", expectS);
        job.put("dewS", 0.0);
        job.put("settleS", 0.0);
        job.put("dueS", null);
        return job;
    }

    /** Submits the job as a user does, at one controller after another; false if it is not accepted within 60 s. */
    boolean submit(Map<String, Object> job, int firstNode) throws Exception {
        tracker.submitted(job);
        long until = Record.now() + 60_000;
        for (int at = firstNode; Record.now() < until; at++) {
            Node node = nodes.get(at % nodes.size());
            Web.Answer answer = Web.call(node.port, "POST", "/api/jobs", job, 5000);
            record.line("user: submit %s at %s: %s", job.get("ref"), node.name, text(answer));
            if (answer != null && (answer.status() == 200 || answer.status() == 201)) return true;
            Thread.sleep(1000);
        }
        return false;
    }

    private static String text(Web.Answer answer) {
        return answer == null ? "no answer" : answer.status() + " " + Pack.json(answer.body());
    }

    /** The stage that a poll gives, or null. */
    String poll(String ref, Node node) {
        Web.Answer answer = Web.call(node.port, "GET", "/api/jobs/" + ref, null, 2000);
        record.line("user: poll %s at %s: %s", ref, node.name, text(answer));
        return answer == null || answer.status() != 200 ? null : (String) answer.body().get("stage");
    }

    /** When the answer to the cancellation arrived, or null if it was not confirmed. */
    Long cancel(String ref, Node node) {
        Web.Answer answer = Web.call(node.port, "POST", "/api/jobs/" + ref + "/cancel", Map.of(), 5000);
        long at = Record.now();
        record.line("user: cancel %s at %s: %s", ref, node.name, text(answer));
        return answer != null && answer.status() == 200 && "aborted".equals(answer.body().get("stage")) ? at : null;
    }
}
