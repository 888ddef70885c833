/** A job without accelerators, while guests fill every plain machine and a machine with accelerators has room. */
final class Scenario12 {
    public static void main(String[] args) throws Exception {
        Site site = new Site(12);
        site.zone = "port-louis-east";
        site.reportMs = 2_000;
        site.gangWaitS = 50;
        site.cancelS = 30;
        site.stateWriteRps = 25;
        site.valueKb = 8;
        site.cloudRps = 4;
        site.listLagS = 10;
        site.coreShare = 0.255;
        site.memoryMb = 210;
        site.sockets = 1200;
        site.kinds.add(new Cloud.Kind("baobab-wide", 64, 0, 256, 0.25, 2.28, 20, 1));
        site.kinds.add(new Cloud.Kind("tamarind-gpu", 24, 2, 96, 1.0, 4.19, 60, 1));
        site.teamsJson = Site.team("triage-crew-00", 0, 0) + "," + Site.team("lagoon-analytics", 0, 0);
        site.objectivesJson = "{\"kind\":\"wait\",\"class\":\"dedup-sweep\",\"within_s\":180.0,\"share\":0.88}";
        Job gpu = site.add(new Job(1, "dump-symbolize", "triage-crew-00", 1, 10.0, 1.0, 36.0, 150));
        Job guest = site.add(new Job(2, "offpeak-backfill", "lagoon-analytics", 4, 16.0, 0.0, 57.6, 300));
        guest.description.put("urgency", "low");
        guest.description.put("dewS", 30.0);
        guest.description.put("settleS", 3.0);
        Job job = site.add(new Job(3, "dedup-sweep", "triage-crew-00", 1, 4.0, 0.0, 11.0, 15));
        job.description.put("urgency", "high");
        site.start(3);
        site.require("a leader", 30_000, () -> site.holder("term/holder") != null);
        site.require("all controllers healthy", 20_000, () -> site.controllers.stream().allMatch(site::isHealthy));
        site.submit(gpu);
        if (Site.trouble()) site.submit(guest);
        site.require("the first tasks run", 30_000, () -> site.running(gpu) == 1 && (!Site.trouble() || site.running(guest) == 4));
        StateStore.sleep(1_000);
        site.submit(job);
        boolean broken = site.waitsBesideRoom(job);
        site.finish(broken, job.ref + (broken ? " waited for 90 s beside a machine with room" : " did not"));
    }
}
