import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Jobs of a class come four times as often; a machine with accelerators has room for them. See claim.txt. */
final class Trial8 {
    private static final String TEAM = "triage-crew-00";
    private static final double LEFT_WAITING_S = 90;

    public static void main(String[] arguments) throws Exception {
        World w = new World(3);
        w.teams.put(TEAM, new double[] {0, 0, 0, 0});
        w.objectives = List.of(Mp.map("kind", "wait", "class", "dedup-sweep", "within_s", 180.0, "share", 0.88),
            Mp.map("kind", "finished", "class", "dedup-sweep", "within_s", 250.0, "share", 0.975),
            Mp.map("kind", "finished", "class", "dump-symbolize", "within_s", 120.0, "share", 0.9));
        w.state = new State(w, 3, w.rps, w.writeRps, w.valueKb, w.txnOps);
        Cloud.Type small = new Cloud.Type("dodo-small", 4, 0, 32, 0.18, 0.07, 2, w.zones);
        Cloud.Type gpu = new Cloud.Type("tamarind-gpu", 24, 2, 96, 4.19, 1.97, 2, w.zones);
        w.cloud = new Cloud(w, List.of(small, gpu), new HashMap<>(Map.of("dodo-small/a/false", 2, "tamarind-gpu/a/false", 1)));
        w.startAll();
        if (!w.await(10, () -> w.healthy(0) && w.healthy(1) && w.healthy(2))) w.unable("a controller is not healthy");
        // 10 of the 24 CPUs and one of the two GPUs of the only tamarind-gpu are in use until the end of the test.
        if (w.submit(w.spec("job-000001", "dump-symbolize", TEAM, "sweep", "standard", 1, 10, 1, 36, 60), 150, 0) != 201) w.unable("not accepted");
        if (!w.await(10, () -> w.onMachine("job-000001"))) w.unable("the first job does not run");
        Map<String, Long> acceptedAt = new HashMap<>();
        for (int i = 2; i <= (w.trouble ? 5 : 2); i++) {
            String ref = "job-00000" + i;
            if (w.submit(w.spec(ref, "dedup-sweep", TEAM, "sweep", "high", 23, 4, 0, 11, 15), 15, i % 3) != 201) w.unable("not accepted");
            acceptedAt.put(ref, World.ms());
            w.sleep(1.5);
        }
        // By job: for how many seconds it has had no task on a machine while a machine that fits had room.
        Map<String, Integer> waits = new HashMap<>();
        List<String> left = new ArrayList<>();
        while (w.time() < 112 && left.isEmpty()) {
            w.sleep(1);
            boolean room;
            synchronized (w) {
                room = w.cloud.machines().stream().anyMatch(m -> m.isUp() && m.type == gpu && m.tasks.size() == 1);
            }
            for (String ref : acceptedAt.keySet()) {
                boolean started;
                synchronized (w) {
                    started = w.startedAtByDrop.keySet().stream().anyMatch(drop -> World.job(drop).equals(ref));
                }
                if (started || !room) waits.remove(ref); else if (waits.merge(ref, 1, Integer::sum) >= LEFT_WAITING_S) left.add(ref);
            }
        }
        for (String ref : acceptedAt.keySet()) w.stage(ref, 1);
        w.verdict(left.isEmpty() ? null : left + " waits for 90 s while 14 CPUs and 60 GB of a machine that fits are free");
    }
}
