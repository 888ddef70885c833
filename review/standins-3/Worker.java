import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** One machine's worker, as the protocol page describes it; of the shapes it knows arrays only. */
final class Worker {
    private final class Task {
        final Job job;
        final int index;
        final long attempt;
        String stage;
        String cause;
        boolean saved;
        long imageAtMs;
        long endsAtMs;

        Task(Job job, int index, long attempt) {
            this.job = job;
            this.index = index;
            this.attempt = attempt;
        }

        String name() {
            return job.ref + "/" + index;
        }

        boolean onMachine() {
            return stage.equals("running") || stage.equals("saving");
        }
    }

    final String name;
    final Cloud.Kind kind;
    final String zone;
    final boolean spot;
    final int port;
    private final Site site;
    private final Random random;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private long session = 1;
    private long beat;
    private long token;
    private long leaseFromMs = StateStore.nowMs();
    private int node;
    private boolean changed;
    private volatile boolean gone;
    private volatile long hangsUntilMs;

    Worker(Site site, String name, Cloud.Kind kind, String zone, boolean spot, int port) throws Exception {
        this.site = site;
        this.name = name;
        this.kind = kind;
        this.zone = zone;
        this.spot = spot;
        this.port = port;
        random = new Random(name.hashCode());
        node = random.nextInt(site.controllers.size());
        Net.serve(port, this::command);
        start(this::reportLoop);
        start(this::tickLoop);
    }

    private static void start(Runnable loop) {
        Thread thread = new Thread(loop);
        thread.setDaemon(true);
        thread.start();
    }

    /** The machine is gone, with all that is on it. */
    synchronized void end() {
        gone = true;
        for (Task task : tasks.values()) leave(task, "gone");
        tasks.clear();
    }

    /** The machine does not execute anything and does not answer for so long. */
    void hang(long ms) {
        hangsUntilMs = StateStore.nowMs() + ms;
    }

    private boolean hangs() {
        return StateStore.nowMs() < hangsUntilMs;
    }

    private void tickLoop() {
        while (!gone) {
            if (!hangs()) tick();
            StateStore.sleep(20);
        }
    }

    private synchronized void tick() {
        long now = StateStore.nowMs();
        if (now - leaseFromMs > site.leaseMs) {
            if (!tasks.isEmpty()) site.record("%s: its lease of session %d ran out with %d tasks on it", name, session, tasks.size());
            for (Task task : tasks.values()) leave(task, "lease");
            tasks.clear();
            session++;
            leaseFromMs = now;
            changed = true;
        }
        for (Task task : tasks.values()) {
            if (task.stage.equals("pulling") && now >= task.imageAtMs) {
                images.add((String) task.job.description.get("seed"));
                task.stage = "running";
                task.endsAtMs = now + (long) ((site.isDone(task.name()) ? 0 : site.runS(task.job, task.index)) * 1000);
                site.onMachine(task.name(), name);
                changed = true;
            }
            if (task.stage.equals("saving") && now >= task.endsAtMs) {
                halt(task, true);
                changed = true;
            }
            if (task.stage.equals("running") && now >= task.endsAtMs) {
                leave(task, "done");
                site.done(task.name());
                task.stage = "ended";
                task.cause = "done";
                changed = true;
            }
        }
    }

    private void leave(Task task, String why) {
        if (task.onMachine()) site.offMachine(task.name(), name, why);
    }

    private void reportLoop() {
        long last = 0;
        while (!gone) {
            long now = StateStore.nowMs();
            long interval = (long) (site.reportMs * (0.75 + random.nextDouble() * 0.5));
            while (!gone && StateStore.nowMs() - last < interval) {
                synchronized (this) {
                    if (changed && StateStore.nowMs() - last >= 500) break;
                }
                StateStore.sleep(10);
            }
            while (hangs() && !gone) StateStore.sleep(10);
            if (gone) return;
            last = StateStore.nowMs();
            report();
        }
    }

    private void report() {
        byte[] body;
        long sentAt = StateStore.nowMs();
        long sentSession;
        synchronized (this) {
            changed = false;
            sentSession = session;
            Map<String, Object> content = reportBody();
            if (Mp.jsonSize(content) > 64 * 1024) site.fail("a report of " + name + " is longer than 64 KiB");
            body = Mp.encode(content);
        }
        Net.Response response = Net.call(site.controllers.get(node).httpPort, "POST", "/hello", body, 4_000);
        while (hangs() && !gone) StateStore.sleep(10);
        if (response == null || StateStore.nowMs() - sentAt > 4_000) {
            next();
            return;
        }
        Map<String, Object> answer = Mp.decode(response.body);
        if (response.status == 200) {
            apply(answer, sentAt, sentSession);
            return;
        }
        String nest = response.status == 421 && answer != null ? (String) answer.get("nest") : null;
        int named = nest == null ? -1 : site.indexOf(nest);
        if (named < 0 || named == node) {
            next();
        } else {
            node = named;
            synchronized (this) {
                changed = true;
            }
        }
    }

    private void next() {
        StateStore.sleep(1_000);
        node = (node + 1) % site.controllers.size();
        synchronized (this) {
            changed = true;
        }
    }

    private Map<String, Object> reportBody() {
        List<Object> drops = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> drop = Mp.map("drop", task.name(), "try", task.attempt, "stage", task.stage);
            if (task.cause != null) drop.put("cause", task.cause);
            if (task.saved) drop.put("saved", true);
            drops.add(drop);
        }
        return Mp.map("perch", name, "endpoint", "127.0.0.1:" + port, "perchKind", kind.name, "meadow", zone, "windfall", spot, "flight", session,
            "beat", ++beat, "crest", token, "warnS", null, "drops", drops);
    }

    @SuppressWarnings("unchecked")
    private synchronized void apply(Map<String, Object> answer, long sentAt, long sentSession) {
        if (gone || answer == null || !(answer.get("crest") instanceof Long)) return;
        long crest = (Long) answer.get("crest");
        if (crest < token || sentSession != session) return;
        if (crest > token) {
            site.record("%s: token %d, answered by %s", name, crest, site.controllers.get(node).name);
            token = crest;
            changed = true;
        }
        leaseFromMs = sentAt;
        for (Object call : (List<Object>) answer.getOrDefault("calls", new ArrayList<>())) execute((Map<String, Object>) call);
    }

    @SuppressWarnings("unchecked")
    private Net.Response command(String method, String path, String query, byte[] body) {
        while (hangs() && !gone) StateStore.sleep(10);
        synchronized (this) {
            if (gone) return null;
            if (path.equals("/inspect")) return Net.Response.of(200, reportBody());
            Map<String, Object> request = Mp.decode(body);
            if (request == null || !(request.get("crest") instanceof Long) || !(request.get("flight") instanceof Long)) {
                return Net.Response.of(400, Mp.map("error", "crest or flight is missing"));
            }
            if ((Long) request.get("crest") < token || (Long) request.get("flight") != session) return Net.Response.of(409, reportBody());
            if ((Long) request.get("crest") > token) {
                token = (Long) request.get("crest");
                changed = true;
            }
            for (Object call : (List<Object>) request.getOrDefault("calls", new ArrayList<>())) execute((Map<String, Object>) call);
            return Net.Response.of(200, reportBody());
        }
    }

    private void execute(Map<String, Object> call) {
        String drop = (String) call.get("drop");
        long attempt = (Long) call.get("try");
        Task held = tasks.get(drop + "#" + attempt);
        changed = true;
        switch ((String) call.get("call")) {
            case "launch":
                if (held == null) launch(drop, attempt);
                break;
            case "kill":
                if (held != null && !held.stage.equals("ended")) kill(held, ((Number) call.getOrDefault("lingerS", 0.0)).doubleValue());
                break;
            case "reap":
                if (held != null && held.stage.equals("ended")) tasks.remove(drop + "#" + attempt);
                break;
            default:
                break;
        }
    }

    /** A running task that has checkpoints saves if it is given the time; every other task exits at once. */
    private void kill(Task task, double lingerS) {
        double settleS = task.job.need("settleS");
        if (task.stage.equals("running") && task.job.need("dewS") > 0 && lingerS >= settleS) {
            task.stage = "saving";
            task.endsAtMs = StateStore.nowMs() + (long) (settleS * 1000);
        } else if (!task.stage.equals("saving") || lingerS <= 0) {
            halt(task, false);
        }
    }

    private void halt(Task task, boolean saved) {
        leave(task, saved ? "saved" : "killed");
        task.stage = "ended";
        task.cause = "halted";
        task.saved = saved;
    }

    private void launch(String drop, long attempt) {
        int slash = drop.indexOf('/');
        Job job = site.jobs.get(drop.substring(0, slash));
        int index = Integer.parseInt(drop.substring(slash + 1));
        boolean unknown = job == null || !job.submitted || index >= job.tasks();
        Task task = new Task(unknown ? new Job(0, "none", "none", 1, 0.0, 0.0, 0.0, 0.0) : job, index, attempt);
        if (unknown) {
            site.record("%s: start of %s refused, no such task", name, drop);
            task.stage = "ended";
            task.cause = "no_such";
        } else if (isHeld(drop)) {
            task.stage = "ended";
            task.cause = "in_use";
        } else if (!hasRoom(job)) {
            task.stage = "ended";
            task.cause = "no_room";
        } else {
            task.stage = "pulling";
            String image = (String) job.description.get("seed");
            task.imageAtMs = StateStore.nowMs() + (images.contains(image) ? 0 : (long) (job.need("sizeGb") / kind.pullGbPerS * 1000));
            site.launched(drop, attempt, name);
        }
        tasks.put(drop + "#" + attempt, task);
    }

    private boolean isHeld(String drop) {
        for (Task task : tasks.values()) if (task.name().equals(drop) && !task.stage.equals("ended")) return true;
        return false;
    }

    private boolean hasRoom(Job job) {
        double cores = kind.cores + 1e-6;
        double accelerators = kind.accelerators + 1e-6;
        double memoryGb = kind.memoryGb + 1e-6;
        for (Task task : tasks.values()) {
            if (task.stage.equals("ended")) continue;
            cores -= task.job.need("cores");
            accelerators -= task.job.need("accelerators");
            memoryGb -= task.job.need("memoryGb");
        }
        return job.need("cores") <= cores && job.need("accelerators") <= accelerators && job.need("memoryGb") <= memoryGb;
    }

    /** Cores and accelerators that no task on this machine takes, as the protocol counts them. */
    synchronized double[] free() {
        double cores = kind.cores;
        double accelerators = kind.accelerators;
        double memoryGb = kind.memoryGb;
        for (Task task : tasks.values()) {
            if (task.stage.equals("ended")) continue;
            cores -= task.job.need("cores");
            accelerators -= task.job.need("accelerators");
            memoryGb -= task.job.need("memoryGb");
        }
        return new double[] {cores, accelerators, memoryGb};
    }

    boolean isGone() {
        return gone;
    }

    synchronized int heldTasks() {
        int count = 0;
        for (Task task : tasks.values()) if (!task.stage.equals("ended")) count++;
        return count;
    }
}
