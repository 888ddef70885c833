import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A gang on two machines, one of which has to fetch the image, a third slower than its type says. See claim.txt. */
final class Trial5 {
    private static final String GANG = "job-000001";
    private static final double LEFT_WAITING_S = 90;

    public static void main(String[] arguments) throws Exception {
        World w = new World(3);
        w.zones = List.of("rose-hill-north");
        w.teams.put("replay-crew", new double[] {0, 0, 48, 136});
        w.teams.put("vision-research", new double[] {0, 0, 32, 56});
        w.reportMs = 1000;
        w.rps = 100;
        w.writeRps = 20;
        w.txnOps = 16;
        w.cloudRps = 5;
        w.listLagS = 5;
        w.state = new State(w, 3, w.rps, w.writeRps, w.valueKb, w.txnOps);
        Cloud.Type gpu = new Cloud.Type("flamboyant-gpu", 96, 8, 576, 29.11, 12.77, 30, w.zones, 0.6);
        w.cloud = new Cloud(w, List.of(gpu), new HashMap<>(Map.of("flamboyant-gpu/rose-hill-north/false", 2)));
        // Two machines are up at the start. The first has the image from earlier work.
        Worker first = w.cloud.start("flamboyant-gpu", "rose-hill-north", false, 0);
        Worker second = w.cloud.start("flamboyant-gpu", "rose-hill-north", false, 0);
        first.fetchGbPerS = 0.6;
        first.images.put("img-01", 0L);
        second.fetchGbPerS = w.trouble ? 0.42 : 0.6;
        w.startAll();
        if (!w.await(15, () -> w.healthy(0) && w.healthy(1) && w.healthy(2))) w.unable("a controller is not healthy");
        Map<String, Object> spec = w.spec(GANG, "clip-embed", "vision-research", "group", "standard", 4, 43, 4, 230, 150);
        spec.put("sizeGb", 24.0);
        spec.put("together", true);
        spec.put("windfall", true);
        spec.put("dewS", 20.0);
        spec.put("settleS", 5.0);
        if (w.submit(spec, 150, 0) != 201) w.unable("the gang was not accepted");
        long acceptedAt = World.ms();
        boolean ran = w.await(108 - w.time(), () -> {
            synchronized (w) {
                return w.cloud.machines().stream().anyMatch(m -> m.tasks.values().stream().anyMatch(t -> t.runningSince >= 0));
            }
        });
        w.stage(GANG, 1);
        double waitedS = (World.ms() - acceptedAt) / 1000.0;
        w.verdict(ran || waitedS < LEFT_WAITING_S ? null : GANG + " has not run " + waitedS + " s after it was accepted, though two empty machines hold it");
    }
}
