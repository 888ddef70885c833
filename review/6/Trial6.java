import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Seven arrays of a team with a small limit come at once, in seven shards. See claim.txt. */
final class Trial6 {
    private static final double LEFT_WAITING_S = 90;
    private static final double LIMIT = 6;
    private static final int ARRAYS = 7;
    private static final String TEAM = "audio-team";

    public static void main(String[] arguments) throws Exception {
        World w = new World(3);
        w.teams.put(TEAM, new double[] {0, 0, LIMIT, LIMIT});
        w.teams.put("search-team", new double[] {0, 0, 40, 88});
        w.deploy = "sharing.toml";
        w.reportMs = 1500;
        w.cancelS = 35;
        w.writeRps = 20;
        w.valueKb = 4;
        w.cloudRps = 8;
        w.state = new State(w, 3, w.rps, w.writeRps, w.valueKb, w.txnOps);
        Cloud.Type gpu = new Cloud.Type("emajogi-gpu", 12, 2, 96, 5.55, 1.99, 2, w.zones);
        w.cloud = new Cloud(w, List.of(gpu), new HashMap<>(Map.of("emajogi-gpu/a/false", 32)));
        w.startAll();
        if (!w.await(10, () -> w.healthy(0) && w.healthy(1) && w.healthy(2))) w.unable("a controller is not healthy");
        if (!w.await(10, () -> w.state.keys("shards/holder/").size() == Ids.SHARDS)) w.unable("a shard has no owner");
        w.log("every shard has an owner");
        // In each of the seven shards, a long task of the other team keeps a machine up that has room for one more task.
        Map<Integer, ArrayDeque<String>> ids = Ids.byShard();
        for (int i = 0; i < ARRAYS; i++) {
            Map<String, Object> spec = w.spec(ids.get(i + 1).poll(), "episode-transcribe", "search-team", "sweep", "standard", 1, 5, 1, 36, 80);
            int node = i % 3;
            World.daemon("user", () -> w.submit(spec, 300, node));
            w.sleep(0.25);
        }
        if (!w.await(10, () -> w.use("search-team")[1] == ARRAYS)) w.unable("the long tasks do not run");
        Map<String, Long> acceptedAt = new java.util.concurrent.ConcurrentHashMap<>();
        for (int i = 0; i < (w.trouble ? ARRAYS : 3); i++) {
            String ref = ids.get(i + 1).poll();
            Map<String, Object> spec = w.spec(ref, "episode-transcribe", TEAM, "sweep", "standard", 5, 5, 1, 36, 80);
            int node = i % 3;
            World.daemon("user", () -> {
                if (w.submit(spec, 80, node) == 201) acceptedAt.put(ref, World.ms());
            });
        }
        w.sleep(1);
        if (acceptedAt.isEmpty()) w.unable("no job was accepted");
        // Since when the team could have had one more task and a machine that fits has had room, without a break.
        long couldSince = World.ms();
        long until = World.ms() + (long) ((LEFT_WAITING_S + 2) * 1000);
        while (World.ms() < until) {
            w.sleep(0.5);
            boolean room;
            synchronized (w) {
                room = w.cloud.machines().stream().anyMatch(m -> m.isUp() && m.tasks.size() == 1);
            }
            if (!room || w.use(TEAM)[1] + 1 > LIMIT) couldSince = World.ms();
            boolean allStarted;
            synchronized (w) {
                allStarted = acceptedAt.keySet().stream().allMatch(ref -> w.startedAtByDrop.keySet().stream().anyMatch(d -> World.job(d).equals(ref)));
            }
            if (allStarted) w.verdict(null);
        }
        TreeSet<String> left = new TreeSet<>();
        synchronized (w) {
            for (String ref : acceptedAt.keySet()) if (w.startedAtByDrop.keySet().stream().noneMatch(d -> World.job(d).equals(ref))) left.add(ref);
        }
        for (String ref : left) w.stage(ref, 0);
        w.log("the team could have had one more task for " + (World.ms() - couldSince) / 1000.0 + " s, and uses " + w.use(TEAM)[1] + " of " + LIMIT);
        boolean broken = !left.isEmpty() && World.ms() - couldSince >= LEFT_WAITING_S * 1000;
        w.verdict(broken ? left + " wait for 90 s while a machine that fits has room and their team is under its limit" : null);
    }
}
