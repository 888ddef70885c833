import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment on loopback: controllers as processes of their own, everything else as stand-ins in this one. */
final class Site {
    static final class Controller {
        String name;
        int httpPort;
        int peerPort;
        Path settings;
        Path log;
        volatile Process process;
        int starts;
        boolean killed;
        /** When it is to be started again; 0 while it runs. */
        long restartAtMs;
    }

    /** A task's time on a machine. */
    static final class Stay {
        final String task;
        final String machine;
        final long fromMs;
        volatile long toMs = Long.MAX_VALUE;
        volatile String why;

        Stay(String task, String machine, long fromMs) {
            this.task = task;
            this.machine = machine;
            this.fromMs = fromMs;
        }
    }

    final List<Controller> controllers = new ArrayList<>();
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    final List<Stay> stays = new ArrayList<>();
    private final Map<String, Boolean> doneTasks = new ConcurrentHashMap<>();
    String zone = "tartu-one";
    long reportMs = 1_500;
    long leaseMs = 10_000;
    double gangWaitS = 45;
    double gangPeerS = 6;
    double cancelS = 35;
    double stateRps = 200;
    double stateWriteRps = 20;
    int valueKb = 4;
    int txnOps = 8;
    double cloudRps = 8;
    double listLagS = 3;
    double coreShare = 0.17;
    double memoryMb = 181;
    int sockets = 900;
    double restartS = 3;
    long bootMs = 1_500;
    String deployFile = "deploy/service.toml";
    String teamsJson = "";
    String objectivesJson = "";
    final List<Cloud.Kind> kinds = new ArrayList<>();
    StateStore state;
    Cloud cloud;
    private int statePort;
    private int cloudPort;
    private Path folder;
    private final PrintWriter record;
    private final long startMs = StateStore.nowMs();
    private final int caseNumber;
    volatile boolean ended;
    /** Controllers that ended without being killed by the scenario. */
    final List<String> endedByThemselves = new ArrayList<>();
    /** Whether a controller that has ended is started again, as the platform does. */
    volatile boolean restarts = true;

    Site(int caseNumber) throws Exception {
        this.caseNumber = caseNumber;
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> {
            if (ended) return;
            error.printStackTrace();
            fail(thread.getName() + ": " + error);
        });
        record = new PrintWriter(Files.newBufferedWriter(Path.of("review/" + caseNumber + "/record.txt"), StandardCharsets.UTF_8));
    }

    long elapsedMs() {
        return StateStore.nowMs() - startMs;
    }

    synchronized void record(String format, Object... arguments) {
        if (ended) return;
        record.printf("%8.3f  %s%n", elapsedMs() / 1000.0, String.format(format, arguments));
        record.flush();
    }

    // ---- running -----------------------------------------------------------------------------------------------

    void start(int controllerCount) throws Exception {
        folder = Files.createTempDirectory("dewwing-review-" + caseNumber + "-");
        List<Integer> ports = Net.freePorts(2 + 2 * controllerCount);
        statePort = ports.get(0);
        cloudPort = ports.get(1);
        for (int i = 0; i < controllerCount; i++) {
            Controller controller = new Controller();
            controller.name = "perch-" + i;
            controller.httpPort = ports.get(2 + 2 * i);
            controller.peerPort = ports.get(3 + 2 * i);
            controller.log = folder.resolve(controller.name + ".log");
            controllers.add(controller);
        }
        state = new StateStore(stateRps, stateWriteRps, valueKb, txnOps);
        state.serve(statePort);
        cloud = new Cloud(this, kinds, cloudRps, listLagS, bootMs);
        cloud.serve(cloudPort);
        for (Controller controller : controllers) {
            controller.settings = folder.resolve(controller.name + ".json");
            Files.writeString(controller.settings, settings(controller));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopProcesses));
        for (Controller controller : controllers) launch(controller);
        Thread platform = new Thread(this::runPlatform);
        platform.setDaemon(true);
        platform.start();
    }

    private String settings(Controller own) {
        StringBuilder siblings = new StringBuilder();
        for (Controller other : controllers) {
            if (other == own) continue;
            if (siblings.length() > 0) siblings.append(',');
            siblings.append(String.format("{\"node_name\":\"%s\",\"site\":\"%s\",\"endpoint\":\"127.0.0.1:%d\"}", other.name, zone, other.peerPort));
        }
        return "{\"node_name\":\"" + own.name + "\",\"site\":\"" + zone + "\",\"serve_on\":\"127.0.0.1:" + own.httpPort
            + "\",\"peer_listen\":\"127.0.0.1:" + own.peerPort + "\",\"siblings\":[" + siblings + "],\"endpoints\":{\"cloud\":\"127.0.0.1:" + cloudPort
            + "\",\"state\":\"127.0.0.1:" + statePort + "\"},\"facts\":{\"initial_size\":" + controllers.size() + ",\"zones\":[\"" + zone
            + "\"],\"teams\":[" + teamsJson + "],\"objectives\":[" + objectivesJson + "],\"workers\":{\"report_s\":" + reportMs / 1000.0
            + ",\"lease_s\":" + leaseMs / 1000.0 + ",\"gang_wait_s\":" + gangWaitS + ",\"gang_peer_s\":" + gangPeerS + ",\"cancel_s\":" + cancelS
            + "},\"state\":{\"rps\":" + stateRps + ",\"write_rps\":" + stateWriteRps + ",\"value_kb\":" + (double) valueKb + ",\"txn_ops\":" + txnOps
            + "},\"cloud\":{\"rps\":" + cloudRps + ",\"list_lag_s\":" + listLagS + "},\"machine_limits\":{\"core_share\":" + coreShare
            + ",\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},\"time_bound_ms\":100.0}}";
    }

    /** The command of the deploy file, with the path of the settings file as its last argument. */
    private void launch(Controller controller) throws Exception {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of(deployFile)));
        if (!run.find()) throw new IllegalStateException("no run command in " + deployFile);
        List<String> command = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
        command.add(controller.settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(controller.log.toFile()));
        controller.killed = false;
        controller.restartAtMs = 0;
        controller.process = builder.start();
        controller.starts++;
        record("%s started (%d)", controller.name, controller.starts);
    }

    /** Starts ended controllers again after the time that the brief names, and notes those that ended by themselves. */
    private void runPlatform() {
        while (!ended) {
            for (Controller controller : controllers) {
                synchronized (controller) {
                    if (controller.process.isAlive()) continue;
                    if (controller.restartAtMs == 0) {
                        controller.restartAtMs = StateStore.nowMs() + (long) (restartS * 1000);
                        if (!controller.killed) {
                            synchronized (endedByThemselves) {
                                endedByThemselves.add(controller.name);
                            }
                            record("%s ENDED BY ITSELF, exit code %d", controller.name, controller.process.exitValue());
                        }
                    } else if (restarts && StateStore.nowMs() >= controller.restartAtMs) {
                        try {
                            launch(controller);
                        } catch (Exception e) {
                            fail("cannot start " + controller.name + ": " + e);
                        }
                    }
                }
            }
            StateStore.sleep(20);
        }
    }

    void kill(Controller controller) {
        synchronized (controller) {
            controller.killed = true;
            controller.process.destroyForcibly();
            record("%s killed", controller.name);
        }
    }

    private void stopProcesses() {
        ended = true;
        for (Controller controller : controllers) {
            Process process = controller.process;
            if (process == null) continue;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (Exception e) {
            // The folder stays behind.
        }
    }

    private static final int EXIT_BROKEN = 10;
    private static final int EXIT_COULD_NOT_RUN = 2;

    /** Ends the run. A broken rule has a status that no failure of the JVM has; run.sh turns it into 1. */
    void finish(boolean broken, String verdict) {
        record("%s: %s", broken ? "BROKEN" : "HELD", verdict);
        System.out.println((broken ? "BROKEN: " : "HELD: ") + verdict);
        System.exit(broken ? EXIT_BROKEN : 0);
    }

    void fail(String reason) {
        if (ended) return;
        record("COULD NOT RUN: %s", reason);
        System.out.println("COULD NOT RUN: " + reason);
        System.exit(EXIT_COULD_NOT_RUN);
    }

    int indexOf(String name) {
        for (int i = 0; i < controllers.size(); i++) if (controllers.get(i).name.equals(name)) return i;
        return -1;
    }

    List<String> logOf(Controller controller) throws Exception {
        return Files.readAllLines(controller.log);
    }

    /** The controller that the record at [key] of the state service names as its holder; null if there is none. */
    Controller holder(String key) {
        Object value = state.valueOf(key);
        if (!(value instanceof Map)) return null;
        int index = indexOf(String.valueOf(((Map<?, ?>) value).get("node")));
        return index < 0 ? null : controllers.get(index);
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    boolean await(long timeoutMs, Condition condition) throws Exception {
        long deadline = StateStore.nowMs() + timeoutMs;
        while (!condition.holds()) {
            if (StateStore.nowMs() >= deadline) return false;
            StateStore.sleep(20);
        }
        return true;
    }

    void require(String what, long timeoutMs, Condition condition) throws Exception {
        if (!await(timeoutMs, condition)) fail(what + " did not happen within " + timeoutMs / 1000.0 + " s");
    }

    // ---- users -------------------------------------------------------------------------------------------------

    Job add(Job job) {
        jobs.put(job.ref, job);
        return job;
    }

    /** Submits the job as a user does: again after a second until it is accepted, at one controller after the other. */
    void submit(Job job) throws Exception {
        job.submitted = true;
        int[] next = {job.ref.hashCode() & 0xff};
        require(job.ref + " accepted", 20_000, () -> {
            Controller node = controllers.get(next[0]++ % controllers.size());
            Net.Response response = Net.call(node.httpPort, "POST", "/api/jobs", Mp.encode(job.description), 5_000);
            record("user: submits %s at %s -> %s", job.ref, node.name, text(response));
            if (response != null && (response.status == 200 || response.status == 201)) {
                job.accepted = true;
                return true;
            }
            StateStore.sleep(1_000);
            return false;
        });
    }

    /** Cancels the job at one controller after the other; returns when its user has been told that it is cancelled. */
    long cancel(Job job, Controller avoided) throws Exception {
        int[] next = {0};
        require(job.ref + " cancelled", 20_000, () -> {
            Controller node = controllers.get(next[0]++ % controllers.size());
            if (node == avoided) return false;
            Net.Response response = Net.call(node.httpPort, "POST", "/api/jobs/" + job.ref + "/cancel", Mp.encode(Mp.map()), 5_000);
            record("user: cancels %s at %s -> %s", job.ref, node.name, text(response));
            if (response != null && response.status == 200) return true;
            StateStore.sleep(1_000);
            return false;
        });
        return StateStore.nowMs();
    }

    /** The job's stage, or null if no controller answered with 200. */
    String stageOf(Job job) {
        for (Controller node : controllers) {
            Net.Response response = Net.call(node.httpPort, "GET", "/api/jobs/" + job.ref, null, 2_000);
            if (response != null && response.status == 200) return (String) Mp.decode(response.body).get("stage");
        }
        return null;
    }

    static String text(Net.Response response) {
        return response == null ? "no answer" : response.status + " " + Mp.decode(response.body);
    }

    boolean isHealthy(Controller controller) {
        Net.Response response = Net.call(controller.httpPort, "GET", "/up", null, 1_000);
        return response != null && response.status == 200;
    }

    // ---- tasks -------------------------------------------------------------------------------------------------

    /** Overridden run times of single tasks. */
    volatile java.util.function.BiFunction<Job, Integer, Double> runTimes = (job, index) -> job.runS;
    /** Whether each start and end of a task is recorded; off for jobs of very many tasks. */
    volatile boolean recordsTasks = true;

    double runS(Job job, int index) {
        return runTimes.apply(job, index);
    }

    boolean isDone(String task) {
        return doneTasks.containsKey(task);
    }

    void done(String task) {
        doneTasks.put(task, true);
    }

    int doneCount(Job job) {
        int count = 0;
        for (String task : doneTasks.keySet()) if (task.startsWith(job.ref + "/")) count++;
        return count;
    }

    void launched(String task, long attempt, String machine) {
        if (recordsTasks) record("%s: starts %s, attempt %d", machine, task, attempt);
    }

    void onMachine(String task, String machine) {
        synchronized (stays) {
            stays.add(new Stay(task, machine, StateStore.nowMs()));
        }
        if (recordsTasks) record("%s: %s is on the machine", machine, task);
    }

    void offMachine(String task, String machine, String why) {
        synchronized (stays) {
            for (int i = stays.size() - 1; i >= 0; i--) {
                Stay stay = stays.get(i);
                if (stay.toMs == Long.MAX_VALUE && stay.task.equals(task) && stay.machine.equals(machine)) {
                    stay.toMs = StateStore.nowMs();
                    stay.why = why;
                    break;
                }
            }
        }
        if (recordsTasks) record("%s: %s is off the machine (%s)", machine, task, why);
    }

    /** Tasks of the job that are on machines now. */
    int running(Job job) {
        int count = 0;
        synchronized (stays) {
            for (Stay stay : stays) if (stay.toMs == Long.MAX_VALUE && stay.task.startsWith(job.ref + "/")) count++;
        }
        return count;
    }

    Stay lastStay(Job job) {
        Stay last = null;
        synchronized (stays) {
            for (Stay stay : stays) if (stay.task.startsWith(job.ref + "/")) last = stay;
        }
        return last;
    }

    /**
     * Whether the job, of one task, does not start while for 90 s without a break some machine that may run it has room. Returns
     * after 92 s at most.
     */
    boolean waitsBesideRoom(Job job) {
        long from = StateStore.nowMs();
        long roomSince = 0;
        String seen = "";
        while (StateStore.nowMs() - from < 92_000 && lastStay(job) == null) {
            boolean room = false;
            StringBuilder machines = new StringBuilder();
            for (Worker worker : cloud.workers()) {
                double[] free = worker.free();
                machines.append(String.format(" %s (%s) has %.0f cores, %.0f accelerators and %.0f GB free;", worker.name, worker.kind.name, free[0], free[1],
                    free[2]));
                room |= job.need("cores") <= free[0] && job.need("accelerators") <= free[1] && job.need("memoryGb") <= free[2];
            }
            if (!machines.toString().equals(seen)) record("%s waits;%s", job.ref, machines);
            seen = machines.toString();
            roomSince = !room ? 0 : roomSince == 0 ? StateStore.nowMs() : roomSince;
            if (roomSince > 0 && StateStore.nowMs() - roomSince >= 90_000) {
                record("%s has not started, and for 90 s a machine has had room for it", job.ref);
                return true;
            }
            StateStore.sleep(100);
        }
        record("%s %s", job.ref, lastStay(job) == null ? "has not started" : "has started");
        return false;
    }

    static String team(String name, double gpus, double gpusMax) {
        return String.format("{\"name\":\"%s\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":%s,\"gpus_max\":%s}", name, gpus, gpusMax);
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }
}
