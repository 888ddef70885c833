/** A single task, beside machines that are empty or have room, while a gang waits that needs more than are free. */
final class Scenario13 {
    public static void main(String[] args) throws Exception {
        Site site = new Site(13);
        site.kinds.add(new Cloud.Kind("emajogi-gpu", 12, 2, 96, 0.3, 5.55, 25, 3));
        site.teamsJson = Site.team("audio-team", 16, 32) + "," + Site.team("search-team", 40, 88);
        site.start(3);
        Job running = site.add(new Job(1, "loudness-train", "audio-team", 1, 10.0, 2.0, 77.0, 300));
        running.description.put("shape", "group");
        running.description.put("urgency", "high");
        Job gang = site.add(new Job(2, "loudness-train", "audio-team", 3, 10.0, 2.0, 77.0, 70));
        gang.description.put("shape", "group");
        gang.description.put("urgency", "high");
        Job job = site.add(new Job(3, "episode-transcribe", "search-team", 1, 5.0, 1.0, 36.0, 5));
        site.require("a leader", 30_000, () -> site.holder("term/holder") != null);
        site.require("all controllers healthy", 20_000, () -> site.controllers.stream().allMatch(site::isHealthy));
        site.submit(running);
        site.require("the first task runs", 20_000, () -> site.running(running) == 1);
        if (Site.trouble()) site.submit(gang);
        StateStore.sleep(6_000);
        site.submit(job);
        boolean broken = site.waitsBesideRoom(job);
        site.finish(broken, job.ref + (broken ? " waited for 90 s beside a machine with room" : " did not"));
    }
}
