import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** The leader is cut off from the state service and its peers while a job is cancelled at another controller. See claim.txt. */
final class Trial8 {
    private static final String JOB = "job-000002";
    private static final int MACHINES = 20;

    public static void main(String[] arguments) throws Exception {
        World w = new World(3);
        w.teams.put("triage-crew-00", new double[] {0, 0, 0, 0});
        w.state = new State(w, 3, w.rps, w.writeRps, w.valueKb, w.txnOps);
        Cloud.Type small = new Cloud.Type("dodo-small", 4, 0, 32, 0.18, 0.07, 2, w.zones);
        w.cloud = new Cloud(w, List.of(small), new HashMap<>(Map.of("dodo-small/a/false", 29)));
        w.startAll();
        if (!w.await(15, () -> w.healthy(0) && w.healthy(1) && w.healthy(2))) w.unable("a controller is not healthy");
        // A first job brings the machines and the image; when it is done they are idle.
        Map<String, Object> warm = w.spec("job-000001", "dedup-sweep", "triage-crew-00", "sweep", "high", MACHINES, 4, 0, 11, 300);
        if (w.submit(warm, 4, 0) != 201) w.unable("not accepted");
        if (!w.await(30, () -> w.complete("job-000001"))) w.unable("the first job was not completed");
        w.sleep(3);
        if (!(w.state.value("term/holder") instanceof Map<?, ?> holder)) throw new IllegalStateException("no leader");
        int leader = w.nodeNames.indexOf((String) holder.get("node"));
        int other = (leader + 1) % 3;
        if (w.submit(w.spec(JOB, "dedup-sweep", "triage-crew-00", "sweep", "high", MACHINES, 4, 0, 11, 300), 60, other) != 201) w.unable("not accepted");
        // Tasks of the job begin to start; most wait for the next report of their machine.
        if (!w.await(5, () -> w.onMachine(JOB))) w.unable("the job does not start");
        if (w.trouble) {
            w.state.refuse(leader, true);
            w.cutFromPeers(leader, true);
        }
        String stage = w.cancel(JOB, other);
        long toldAt = World.ms();
        if (!"aborted".equals(stage)) w.unable("the job was not cancelled");
        w.log("the user has been told");
        w.sleep(40);
        TreeSet<String> late = new TreeSet<>();
        synchronized (w) {
            w.launchedByReportOf.forEach((drop, sentAt) -> {
                if (World.job(drop).equals(JOB) && sentAt > toldAt) late.add(drop + " " + (sentAt - toldAt) + " ms");
            });
        }
        if (w.trouble) {
            w.state.refuse(leader, false);
            w.cutFromPeers(leader, false);
        }
        w.verdict(late.isEmpty() ? null : late.size() + " tasks were started in answer to reports sent after the user was told: " + late);
    }
}
