import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One-task jobs come four a second to controllers that share the work. See claim.txt. */
final class Trial6 {
    private static final String TEAM = "triage-crew-00";
    private static final long SLOT_MS = 250;
    private static final int SLOTS = 8;
    /** The arrays of one package of slots end in the last slot of the package that comes this many later. */
    private static final int LATER = 11;
    private static final double SUBMIT_UNTIL_S = 92;
    /** "3 s after the last task of a job has completed, its user expects done"; the collector repeats what is open after 30 s. */
    private static final long DONE_WITHIN_MS = 30_000;

    public static void main(String[] arguments) throws Exception {
        World w = new World(3);
        w.teams.put(TEAM, new double[] {0, 0, 0, 0});
        w.deploy = "sharing.toml";
        w.state = new State(w, 3, w.rps, w.writeRps, w.valueKb, w.txnOps);
        Cloud.Type wide = new Cloud.Type("baobab-wide", 64, 0, 256, 2.28, 0.96, 10, w.zones);
        w.cloud = new Cloud(w, List.of(wide), new HashMap<>(Map.of("baobab-wide/a/false", 53)));
        w.cloud.bootMs = 10_000;
        w.startAll();
        if (!w.await(20, () -> w.healthy(0) && w.healthy(1) && w.healthy(2))) w.unable("a controller is not healthy");
        if (!w.await(25, () -> w.state.keys("shards/holder/").size() == Ids.SHARDS)) w.unable("a shard has no owner");
        w.log("every shard has an owner");
        w.sleep(1);

        Map<Integer, ArrayDeque<String>> ids = Ids.byShard();
        List<String> accepted = java.util.Collections.synchronizedList(new ArrayList<>());
        long from = World.ms();
        for (int slot = 0; w.time() < SUBMIT_UNTIL_S; slot++) {
            long at = from + slot * SLOT_MS;
            while (World.ms() < at) Thread.sleep(5);
            // Without the disruption, a job comes every 4 s.
            if (!w.trouble && slot % 16 != 0) continue;
            int round = slot / SLOTS;
            boolean isGang = slot % SLOTS == SLOTS - 1;
            if (isGang && round < LATER) continue;
            int shard = (isGang ? round - LATER : round) % Ids.SHARDS;
            String ref = ids.get(shard).poll();
            if (ref == null) continue;
            Map<String, Object> spec = isGang
                ? w.spec(ref, "grouping-retrain", TEAM, "group", "high", 1, 64, 0, 77, 40)
                : w.spec(ref, "dedup-sweep", TEAM, "sweep", "high", 1, 4, 0, 11, 20);
            if (!isGang) w.runUntil(ref, from + ((round + LATER) * SLOTS + SLOTS - 1) * SLOT_MS + 700);
            int node = slot % 3;
            World.daemon("user", () -> {
                int status = w.submit(spec, 40, node);
                if (status == 200 || status == 201) accepted.add(ref);
            });
        }
        w.sleep(4);

        Set<String> late = new HashSet<>();
        Map<String, Long> completed;
        synchronized (w) {
            completed = new HashMap<>(w.completedAt);
        }
        for (String ref : completed.keySet()) {
            if (World.ms() - completed.get(ref) < DONE_WITHIN_MS) continue;
            String stage = null;
            for (int i = 0; i < 6 && stage == null; i++) stage = w.stage(ref, i % 3);
            if (!"done".equals(stage)) late.add(ref);
        }
        w.log(accepted.size() + " jobs accepted, " + completed.size() + " completed, " + w.state.badRequests + " transactions refused with 400");
        if (completed.isEmpty()) w.unable("no job was completed");
        w.verdict(late.isEmpty() ? null : late.size() + " jobs are not called done 30 s after their last task: " + late);
    }
}
