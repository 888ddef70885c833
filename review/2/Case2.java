import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** A job is cancelled at the next leader while it restores its state, and the state service is then out: see claim.txt. */
public final class Case2 {
    private static final String JOB = "job-000001";
    private static final int MACHINES = 8;
    private static final long CANCEL_MS = 30_000;
    private static final long OUTAGE_MS = 45_000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            Cluster cluster = new Cluster(record, Sites.kestrel(0, 0), "deploy/service.toml", Files.createTempDirectory("dewwing-review"));
            try (cluster) {
                code = run(cluster, trouble);
                record.line("result: %s", code == 0 ? "held" : code == 1 ? "BROKEN" : "could not run");
            } catch (Exception e) {
                record.line("could not run: %s", e);
            }
        }
        System.exit(code);
    }

    private static int run(Cluster cluster, boolean trouble) throws Exception {
        for (int i = 0; i < MACHINES; i++) cluster.cloud.addUp("dodo-small", "port-louis-east", false);
        cluster.startAll();
        if (!Cluster.await(40_000, () -> cluster.leader() != null && cluster.cloud.present().stream().allMatch(m -> m.worker.answers() >= 2))) {
            return 2;
        }
        boolean accepted = cluster.submit(
            Cluster.job(JOB, "dedup-sweep", "triage-crew-00", "sweep", "high", MACHINES, 4.0, 0.0, 11.0, "img-01", 0.1, 110.0), 0);
        if (!accepted || !Cluster.await(15_000, () -> cluster.tracker.presentOf(JOB) == MACHINES) || !cluster.awaitUp(20_000)) return 2;
        Thread.sleep(3_000);

        Cluster.Node target = cluster.nodes.get(0);
        CountDownLatch restoring = new CountDownLatch(1);
        CountDownLatch watching = new CountDownLatch(1);
        if (trouble) {
            String old = cluster.leader().name;
            AtomicReference<String> next = new AtomicReference<>();
            // Two answers of the state service to the next leader take a few hundred milliseconds, as now and then they do.
            cluster.state.slowness = (node, path, query) -> {
                String prefix = query.get("under");
                if (path.equals("/store") && "log/".equals(prefix) && !node.equals(old) && next.compareAndSet(null, node)) {
                    restoring.countDown();
                    return 300;
                }
                if (path.equals("/follow") && "job/".equals(prefix) && node.equals(next.get()) && watching.getCount() > 0) {
                    watching.countDown();
                    return 300;
                }
                return 0;
            };
            cluster.state.setRefused(old, true);
            if (!restoring.await(15, TimeUnit.SECONDS)) return 2;
            target = cluster.nodes.get(cluster.indexOf(next.get()));
            cluster.record.line("%s was elected and restores its state", target.name);
        }
        Long confirmed = cluster.cancel(JOB, target);
        if (confirmed == null) return 2;
        if (trouble) {
            if (!watching.await(5, TimeUnit.SECONDS)) return 2;
            Thread.sleep(50);
            cluster.state.setOutage(true);
        }
        long outageAt = Record.now();
        Thread.sleep(Math.max(0, confirmed + CANCEL_MS + 1_000 - Record.now()));
        int late = cluster.tracker.presentOf(JOB);
        cluster.record.line(
            "%.1f s after its user was told that %s is cancelled, %d of its tasks are on machines; cancel_s is %.0f",
            (Record.now() - confirmed) / 1000.0, JOB, late, CANCEL_MS / 1000.0);
        if (trouble) {
            Thread.sleep(Math.max(0, outageAt + OUTAGE_MS - Record.now()));
            cluster.state.setOutage(false);
            for (Cluster.Node node : cluster.nodes) cluster.state.setRefused(node.name, false);
            Thread.sleep(5_000);
            cluster.record.line("%d of its tasks are on machines 5 s after the outage", cluster.tracker.presentOf(JOB));
        }
        if (!cluster.allAlive()) return 2;
        return late > 0 ? 1 : 0;
    }
}
