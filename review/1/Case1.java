import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** The cloud takes back one of the two machines on which a gang bound to one zone runs: see claim.txt. */
public final class Case1 {
    private static final String JOB = "job-000412";
    private static final String ZONE = "curepipe-south";

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        long endMs = Long.parseLong(System.getProperty("end_s", "113")) * 1000;
        int code = 2;
        try (Record record = new Record(Path.of(args[0], "record.txt"))) {
            Cluster cluster = new Cluster(record, Sites.roseHill(), "deploy/service.toml", Files.createTempDirectory("dewwing-review"));
            try (cluster) {
                code = run(cluster, trouble, endMs);
                record.line("result: %s", code == 0 ? "held" : code == 1 ? "BROKEN" : "could not run");
            } catch (Exception e) {
                record.line("could not run: %s", e);
            }
        }
        System.exit(code);
    }

    private static int run(Cluster cluster, boolean trouble, long endMs) throws Exception {
        Cloud.Machine taken = cluster.cloud.addUp("flamboyant-gpu", ZONE, true);
        Cloud.Machine kept = cluster.cloud.addUp("flamboyant-gpu", ZONE, true);
        cluster.startAll();
        if (!Cluster.await(30_000, () -> cluster.leader() != null)) return 2;
        Thread.sleep(1_000);
        Map<String, Object> job =
            Cluster.job(JOB, "clip-embed", "vision-research", "group", "standard", 4, 43.0, 4.0, 230.0, "img-07", 0.6, 30.0);
        job.put("together", true);
        job.put("windfall", true);
        job.put("dewS", 20.0);
        job.put("settleS", 4.0);
        if (!cluster.submit(job, 0)) return 2;
        if (!Cluster.await(15_000, () -> cluster.tracker.startsOf(JOB).size() == 4)) return 2;
        for (Tracker.Start start : cluster.tracker.startsOf(JOB)) {
            // The leader has returned the machines for being idle: the controllers started too slowly here.
            if (!start.machine().equals(taken.name) && !start.machine().equals(kept.name)) return 2;
        }
        if (trouble) {
            Thread.sleep(3_000);
            cluster.cloud.take(taken);
        }
        long takenAt = Record.now();
        int rentals = 0;
        long lastRentalAt = takenAt;
        while (Record.now() < endMs) {
            Thread.sleep(Math.max(100, Math.min(5_000, endMs - Record.now())));
            if ("done".equals(cluster.poll(JOB, cluster.nodes.get(0)))) return 0;
            if (cluster.cloud.rentals() > rentals) {
                rentals = cluster.cloud.rentals();
                lastRentalAt = Record.now();
            }
        }
        int present = cluster.tracker.presentOf(JOB);
        cluster.record.line("%.0f s after the machine was taken back, %d of 4 tasks of %s are on machines", (endMs - takenAt) / 1000.0, present, JOB);
        for (Cloud.Machine machine : cluster.cloud.present()) {
            cluster.record.line("machine %s in %s is up: %s, without any task since %.0f s", machine.name, machine.zone, machine.up,
                (Record.now() - machine.worker.idleSince()) / 1000.0);
        }
        cluster.record.line("the cloud was asked to rent %d times, the last time %.0f s ago, and refused %d times; all controllers alive: %s",
            rentals, (Record.now() - lastRentalAt) / 1000.0, cluster.cloud.refusals(), cluster.allAlive());
        if (!cluster.allAlive() || cluster.cloud.refusals() > 0) return 2;
        return present == 0 && cluster.tracker.startsOf(JOB).size() == 4 ? 1 : 2;
    }
}
