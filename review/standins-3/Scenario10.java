import java.util.ArrayList;
import java.util.List;

/** A job is cancelled while no controller leads; the next leader first reads the records of all jobs that there ever were. */
final class Scenario10 {
    public static void main(String[] args) throws Exception {
        int finished = args.length > 0 ? Integer.parseInt(args[0]) : 330_000;
        Site site = new Site(10);
        site.zone = "rose-hill-north";
        site.reportMs = 1_000;
        site.leaseMs = 10_000;
        site.gangWaitS = 50;
        site.gangPeerS = 6;
        site.cancelS = 30;
        site.stateRps = 100;
        site.stateWriteRps = 20;
        site.valueKb = 8;
        site.txnOps = 16;
        site.cloudRps = 5;
        site.listLagS = 5;
        site.coreShare = 0.204;
        site.sockets = 700;
        site.kinds.add(new Cloud.Kind("flamboyant-gpu", 96, 8, 576, 0.6, 29.11, 30, 10));
        site.teamsJson = Site.team("replay-crew", 250, 700) + "," + Site.team("frame-pipeline", 120, 400);
        site.start(5);
        site.require("a leader", 30_000, () -> site.holder("term/holder") != null);
        site.require("all controllers healthy", 20_000, () -> site.controllers.stream().allMatch(site::isHealthy));
        Job past = site.add(new Job(1, "frame-label", "frame-pipeline", 1, 10.0, 1.0, 54.0, 1));
        site.submit(past);
        site.require(past.ref + " is done", 30_000, () -> "done".equals(site.stageOf(past)));
        Job job = site.add(new Job(2, "frame-label", "frame-pipeline", 4, 10.0, 1.0, 54.0, 600));
        site.submit(job);
        site.require("tasks of " + job.ref + " run", 30_000, () -> site.running(job) == 4);
        StateStore.sleep(1_500);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < finished; i++) names.add(String.format("job-%06d", 100_000 + i));
        site.state.addHistory("job/", past.ref, names);
        site.record("the state service holds the records of %d jobs, all but two done in the past: %s", site.state.countUnder("job/"),
            site.state.valueOf("job/job-100000"));
        Site.Controller leader = site.holder("term/holder");
        if (Site.trouble()) site.kill(leader);
        long toldAt = site.cancel(job, Site.trouble() ? leader : null);
        long limit = toldAt + (long) (site.cancelS * 1000);
        site.record("the user of %s has been told that it is cancelled", job.ref);
        site.await(limit - StateStore.nowMs() + 500, () -> site.running(job) == 0);
        StateStore.sleep(Math.max(0, limit + 500 - StateStore.nowMs()));
        int late = site.running(job);
        site.record("%.1f s after that %d tasks of %s are on machines; the leader is %s", (StateStore.nowMs() - toldAt) / 1000.0, late, job.ref,
            site.holder("term/holder") == null ? "nobody" : site.holder("term/holder").name);
        if (late > 0) {
            site.await(25_000, () -> site.running(job) == 0);
            site.record("%.1f s after the user was told, %d of them are", (StateStore.nowMs() - toldAt) / 1000.0, site.running(job));
        }
        site.finish(late > 0, late + " tasks of a cancelled job were on machines more than " + site.cancelS + " s after its user was told");
    }
}
