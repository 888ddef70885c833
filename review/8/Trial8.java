import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A task ends with an error once, on the only machine that fits. See claim.txt. */
final class Trial8 {
    private static final String JOB = "job-000002";
    private static final double LEFT_WAITING_S = 90;

    public static void main(String[] arguments) throws Exception {
        World w = new World(3);
        w.teams.put("triage-crew-00", new double[] {0, 0, 0, 0});
        w.state = new State(w, 3, w.rps, w.writeRps, w.valueKb, w.txnOps);
        Cloud.Type small = new Cloud.Type("dodo-small", 4, 0, 32, 0.18, 0.07, 3, w.zones);
        Cloud.Type wide = new Cloud.Type("baobab-wide", 64, 0, 256, 2.28, 0.96, 2, w.zones);
        w.cloud = new Cloud(w, List.of(small, wide), new HashMap<>(Map.of("baobab-wide/a/false", 1, "dodo-small/a/false", 2)));
        long[] failedAt = {-1};
        w.failure = (worker, task) -> {
            if (!w.trouble || failedAt[0] >= 0 || !World.job(task.drop).equals(JOB)) return null;
            failedAt[0] = World.ms();
            return "error";
        };
        w.startAll();
        if (!w.await(10, () -> w.healthy(0) && w.healthy(1) && w.healthy(2))) w.unable("a controller is not healthy");
        // Two jobs need a baobab-wide. The first runs there without a fault until the end of the test.
        if (w.submit(w.spec("job-000001", "dedup-sweep", "triage-crew-00", "sweep", "high", 1, 8, 0, 11, 40), 300, 0) != 201) w.unable("not accepted");
        if (!w.await(10, () -> w.onMachine("job-000001"))) w.unable("the first job does not run");
        if (w.submit(w.spec(JOB, "dedup-sweep", "triage-crew-00", "sweep", "high", 1, 8, 0, 11, 10), 10, 1) != 201) w.unable("not accepted");
        if (w.trouble && !w.await(10, () -> failedAt[0] >= 0)) w.unable("the task was not started");
        long from = World.ms();
        double quietS = 0;
        while (World.ms() - from < (LEFT_WAITING_S + 1) * 1000) {
            w.sleep(1);
            boolean runs = w.onMachine(JOB);
            boolean complete;
            boolean room;
            synchronized (w) {
                complete = w.complete(JOB);
                room = w.cloud.machines().stream().anyMatch(m -> m.isUp() && m.type == wide && m.tasks.values().stream().filter(t -> !t.stage.equals("ended")).count() <= 1);
            }
            if (complete) w.verdict(w.await(5, () -> "done".equals(w.stage(JOB, 1))) ? null : JOB + " is not called done");
            quietS = !runs && room ? quietS + 1 : 0;
            if ((World.ms() - from) / 1000 % 10 == 0) w.stage(JOB, 1);
        }
        w.verdict(quietS >= LEFT_WAITING_S - 1 ? JOB + " waits for 90 s while a machine that fits has room for it" : null);
    }
}
