import java.util.ArrayList;
import java.util.List;

/** Leaders that have to read the records of all jobs that were ever cancelled. */
final class Scenario9 {
    public static void main(String[] args) throws Exception {
        int cancelled = args.length > 0 ? Integer.parseInt(args[0]) : 70_000;
        Site site = new Site(9);
        site.kinds.add(new Cloud.Kind("emajogi-gpu", 12, 2, 96, 0.3, 5.55, 25, 10));
        site.teamsJson = Site.team("audio-team", 16, 32) + "," + Site.team("search-team", 40, 88);
        site.start(3);
        site.require("a leader", 30_000, () -> site.holder("term/holder") != null);
        site.require("all controllers healthy", 20_000, () -> site.controllers.stream().allMatch(site::isHealthy));
        Job running = site.add(new Job(1, "episode-transcribe", "audio-team", 2, 5.0, 1.0, 36.0, 600));
        site.submit(running);
        site.require("tasks of " + running.ref + " run", 30_000, () -> site.running(running) == 2);
        Job dropped = site.add(new Job(2, "episode-transcribe", "search-team", 1, 5.0, 1.0, 36.0, 600));
        site.submit(dropped);
        site.cancel(dropped, null);
        StateStore.sleep(1_500);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < cancelled; i++) names.add(String.format("job-%06d", 100_000 + i));
        site.state.addHistory("job/", dropped.ref, names);
        site.record("the state service holds the records of %d jobs, cancelled one after the other in the past: %s", site.state.countUnder("job/"),
            site.state.valueOf("job/job-100000"));
        if (Site.trouble()) site.kill(site.holder("term/holder"));
        long from = StateStore.nowMs();
        Job next = site.add(new Job(3, "episode-transcribe", "search-team", 1, 5.0, 1.0, 36.0, 5));
        site.submit(next);
        site.await(60_000, () -> {
            boolean over = "done".equals(site.stageOf(next)) || site.endedByThemselves.size() >= 4;
            return over && StateStore.nowMs() - from > 25_000;
        });
        List<String> own = new ArrayList<>(site.endedByThemselves);
        site.record("controllers that ended by themselves within %.0f s: %s; %s is %s", (StateStore.nowMs() - from) / 1000.0, own, next.ref,
            site.stageOf(next));
        for (Site.Controller controller : site.controllers) {
            int left = 12;
            for (String line : site.logOf(controller)) {
                if ((line.contains("OutOfMemory") || line.contains("Exception")) && left-- > 0) site.record("%s log: %s", controller.name, line);
            }
        }
        site.finish(!own.isEmpty(), own.size() + " times a controller ended by itself");
    }
}
