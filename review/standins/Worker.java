import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.BindException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** The worker of one machine, as the protocol describes it: reports, tokens, sessions and leases, commands, tasks. */
final class Worker {
    record Times(double reportS, double leaseS, double gangWaitS, double gangPeerS) {}

    static final class Task {
        String drop;
        String job;
        long attempt;
        String stage = "pulling";
        String cause;
        Boolean saved;
        long since = Record.now();
        long runsFrom;
        long savedBy;
        boolean onMachine;
    }

    private static final long ANSWER_TIMEOUT_MS = 4_000;

    private final Cluster cluster;
    private final Cloud.Machine machine;
    private final Times times;
    private final Random random;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final HttpServer server;
    private long flight = 1;
    private long beat;
    private long crest;
    private long leaseFrom = Record.now();
    private long higherTokenReportedAt = -1_000_000;
    private boolean changed = true;
    private boolean stopped;
    private int node;

    Worker(Cluster cluster, Cloud.Machine machine, Times times) throws IOException {
        this.cluster = cluster;
        this.machine = machine;
        this.times = times;
        random = new Random(machine.name.hashCode());
        node = random.nextInt(cluster.nodes.size());
        server = serve();
        machine.port = server.getAddress().getPort();
        Thread ticks = new Thread(this::tick);
        ticks.setDaemon(true);
        ticks.start();
        Thread reports = new Thread(this::report);
        reports.setDaemon(true);
        reports.start();
    }

    private HttpServer serve() throws IOException {
        Web.Handler handler = (method, path, query, body) -> direct(path, body);
        try {
            return Web.serve(machine.port, handler);
        } catch (BindException e) {
            // The port was free when the machine was rented.
            return Web.serve(0, handler);
        }
    }

    /** The machine is gone, with everything on it. */
    synchronized void stop() {
        stopped = true;
        for (Task task : tasks.values()) leave(task);
        tasks.clear();
        server.stop(0);
    }

    private long idleSince = Record.now();
    private int answers;

    /** Number of reports whose answers were accepted. */
    synchronized int answers() {
        return answers;
    }

    /** Since when no task has been on the machine. */
    synchronized long idleSince() {
        return idleSince;
    }

    private String key(String drop, long attempt) {
        return drop + "#" + attempt;
    }

    private void leave(Task task) {
        if (!task.onMachine) return;
        task.onMachine = false;
        cluster.tracker.left(task.drop, task.attempt, machine.name, task.cause == null ? "gone" : task.cause);
    }

    private void end(Task task, String cause, Boolean saved) {
        task.stage = "ended";
        task.cause = cause;
        task.saved = saved;
        leave(task);
        changed = true;
    }

    // ---- tasks -------------------------------------------------------------------------------------------

    private void tick() {
        try {
            while (true) {
                Thread.sleep(10);
                synchronized (this) {
                    if (stopped) return;
                    long now = Record.now();
                    if (now - leaseFrom > times.leaseS() * 1000) {
                        if (!tasks.isEmpty()) cluster.record.line("%s: lease ended with %d tasks", machine.name, tasks.size());
                        for (Task task : tasks.values()) leave(task);
                        tasks.clear();
                        flight++;
                        leaseFrom = now;
                        changed = true;
                    }
                    for (Task task : new ArrayList<>(tasks.values())) advance(task, now);
                    for (Task task : tasks.values()) if (!task.stage.equals("ended")) idleSince = now;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void advance(Task task, long now) {
        if (task.stage.equals("ended")) return;
        Map<String, Object> job = cluster.tracker.job(task.job);
        boolean gang = "group".equals(job.get("shape"));
        if (task.stage.equals("pulling")) {
            String image = (String) job.get("seed");
            if (!images.contains(image) && now - task.since < (Double) job.get("sizeGb") / machine.type.pullGbPerS * 1000) return;
            images.add(image);
            task.onMachine = true;
            task.since = now;
            cluster.tracker.started(task.drop, task.attempt, machine.name);
            if (cluster.tracker.isDone(task.drop)) {
                end(task, "done", null);
                return;
            }
            task.stage = gang ? "waiting" : "running";
            task.runsFrom = now;
            changed = true;
        }
        if (task.stage.equals("waiting")) {
            if (cluster.tracker.gangComplete(task.job, task.attempt)) {
                task.stage = "running";
                task.runsFrom = now;
                changed = true;
            } else if (now - task.since > times.gangWaitS() * 1000) {
                end(task, "incomplete", null);
            }
        }
        if (task.stage.equals("running")) {
            Long lostAt = gang ? cluster.tracker.gangLostAt(task.job, task.attempt) : null;
            if (lostAt != null && !cluster.tracker.isDone(task.drop)) {
                // The others notice within gang_peer_s.
                if (now - lostAt > times.gangPeerS() * 500) end(task, "peers", null);
            } else if (gang && cluster.tracker.isDone(task.drop)) {
                end(task, "done", null);
            } else if (now - task.runsFrom >= (Double) job.get("expectS") * 1000) {
                cluster.tracker.done(task.drop, gang);
                end(task, "done", null);
            }
        }
        if (task.stage.equals("saving") && now >= task.savedBy) end(task, "halted", true);
    }

    // ---- commands ----------------------------------------------------------------------------------------

    @SuppressWarnings("unchecked")
    private void execute(Object calls, String from) {
        for (Map<String, Object> call : (List<Map<String, Object>>) calls) {
            String drop = (String) call.get("drop");
            long attempt = (Long) call.get("try");
            Task known = tasks.get(key(drop, attempt));
            cluster.record.line("%s: %s %s try %d (%s)", machine.name, call.get("call"), drop, attempt, from);
            switch ((String) call.get("call")) {
                case "launch" -> {
                    if (known == null) launch(drop, attempt);
                }
                case "kill" -> {
                    if (known != null && !known.stage.equals("ended")) kill(known, ((Number) call.get("lingerS")).doubleValue());
                }
                default -> {
                    if (known != null && known.stage.equals("ended")) {
                        tasks.remove(key(drop, attempt));
                        changed = true;
                    }
                }
            }
        }
    }

    private void launch(String drop, long attempt) {
        Task task = new Task();
        task.drop = drop;
        task.job = drop.substring(0, drop.indexOf('/'));
        task.attempt = attempt;
        Map<String, Object> job = cluster.tracker.job(task.job);
        double cores = 0;
        double accelerators = 0;
        double memoryGb = 0;
        boolean inUse = false;
        for (Task other : tasks.values()) {
            if (other.stage.equals("ended")) continue;
            Map<String, Object> need = cluster.tracker.job(other.job);
            cores += (Double) need.get("cores");
            accelerators += (Double) need.get("accelerators");
            memoryGb += (Double) need.get("memoryGb");
            if (other.drop.equals(drop)) inUse = true;
        }
        tasks.put(key(drop, attempt), task);
        changed = true;
        if (job == null) {
            end(task, "no_such", null);
        } else if (inUse) {
            end(task, "in_use", null);
        } else if (cores + (Double) job.get("cores") > machine.type.cores + 1e-6
            || accelerators + (Double) job.get("accelerators") > machine.type.accelerators + 1e-6
            || memoryGb + (Double) job.get("memoryGb") > machine.type.memoryGb + 1e-6) {
            end(task, "no_room", null);
        }
    }

    private void kill(Task task, double lingerS) {
        Map<String, Object> job = cluster.tracker.job(task.job);
        if (task.stage.equals("saving")) {
            if (lingerS == 0) end(task, "halted", null);
        } else if (task.stage.equals("running") && (Double) job.get("dewS") > 0 && lingerS >= (Double) job.get("settleS")) {
            task.stage = "saving";
            task.savedBy = Record.now() + (long) ((Double) job.get("settleS") * 1000);
            changed = true;
        } else {
            end(task, "halted", null);
        }
    }

    private synchronized Web.Answer direct(String path, byte[] body) {
        if (path.equals("/inspect")) return new Web.Answer(200, state());
        Map<String, Object> request = Pack.map(body);
        if (request.get("crest") == null || request.get("flight") == null) return new Web.Answer(400, Map.of());
        long token = (Long) request.get("crest");
        if (token < crest || (Long) request.get("flight") != flight) return new Web.Answer(409, state());
        if (token > crest) crest = token;
        execute(request.get("calls"), "direct, token " + token);
        return new Web.Answer(200, state());
    }

    // ---- reports -----------------------------------------------------------------------------------------

    private Map<String, Object> state() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("perch", machine.name);
        report.put("endpoint", "127.0.0.1:" + machine.port);
        report.put("perchKind", machine.type.name);
        report.put("meadow", machine.zone);
        report.put("windfall", machine.spot);
        report.put("flight", flight);
        report.put("beat", ++beat);
        report.put("crest", crest);
        report.put("warnS", null);
        List<Object> list = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("drop", task.drop);
            entry.put("try", task.attempt);
            entry.put("stage", task.stage);
            if (task.cause != null) entry.put("cause", task.cause);
            if (task.saved != null) entry.put("saved", task.saved);
            list.add(entry);
        }
        report.put("drops", list);
        return report;
    }

    private void report() {
        try {
            Thread.sleep(random.nextInt((int) (times.reportS() * 1000)));
            while (true) {
                long sentAt = Record.now();
                long sentFlight;
                Map<String, Object> report;
                synchronized (this) {
                    if (stopped) return;
                    changed = false;
                    report = state();
                    sentFlight = flight;
                }
                Web.Answer answer = Web.call(cluster.nodes.get(node).port, "POST", "/hello", report, ANSWER_TIMEOUT_MS);
                Integer next = null;
                synchronized (this) {
                    if (stopped) return;
                    boolean inTime = answer != null && Record.now() - sentAt <= ANSWER_TIMEOUT_MS;
                    if (inTime && answer.status() == 200) {
                        accept(answer.body(), sentAt, sentFlight);
                    } else {
                        Object nest = inTime && answer.status() == 421 ? answer.body().get("nest") : null;
                        next = nest == null ? null : cluster.indexOf((String) nest);
                        if (next != null && next == node) next = null;
                        if (next == null) {
                            next = (node + 1) % cluster.nodes.size();
                            sentAt = -1;
                        }
                    }
                }
                if (next != null) {
                    node = next;
                    Thread.sleep(sentAt < 0 ? 1000 : random.nextInt(500));
                    continue;
                }
                awaitNextReport(sentAt);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitNextReport(long sentAt) throws InterruptedException {
        long due = sentAt + (long) (times.reportS() * 1000 * (0.75 + random.nextDouble() * 0.5));
        while (true) {
            long now = Record.now();
            synchronized (this) {
                if (now >= due || (changed && now - sentAt >= 500)) return;
            }
            Thread.sleep(10);
        }
    }

    private void accept(Map<String, Object> answer, long sentAt, long sentFlight) {
        Object token = answer.get("crest");
        if (sentFlight != flight || token == null || (Long) token < crest) return;
        if ((Long) token > crest) {
            crest = (Long) token;
            if (Record.now() - higherTokenReportedAt >= times.leaseS() * 500) {
                higherTokenReportedAt = Record.now();
                changed = true;
            }
        }
        leaseFrom = sentAt;
        answers++;
        execute(answer.get("calls"), String.format("answer to the report sent at %.3f, token %s", sentAt / 1000.0, token));
    }
}
