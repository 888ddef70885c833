import java.util.LinkedHashMap;
import java.util.Map;

/** A job as its user describes it, and how long its tasks really run. */
final class Job {
    final String ref;
    final Map<String, Object> description = new LinkedHashMap<>();
    final double runS;
    volatile boolean submitted;
    volatile boolean accepted;

    Job(int number, String flock, String roost, int tasks, double cores, double accelerators, double memoryGb, double runS) {
        ref = String.format("job-%06d", number);
        this.runS = runS;
        description.put("ref", ref);
        description.put("flock", flock);
        description.put("roost", roost);
        description.put("shape", "sweep");
        description.put("urgency", "standard");
        description.put("drops", tasks);
        description.put("cores", cores);
        description.put("accelerators", accelerators);
        description.put("memoryGb", memoryGb);
        description.put("seed", "img-" + flock);
        description.put("sizeGb", 0.1);
        description.put("perchKinds", null);
        description.put("meadow", null);
        description.put("together", false);
        description.put("apart", false);
        description.put("windfall", false);
        description.put("expectS", runS);
        description.put("dewS", 0.0);
        description.put("settleS", 0.0);
        description.put("dueS", null);
    }

    int tasks() {
        return (Integer) description.get("drops");
    }

    double need(String name) {
        return (Double) description.get(name);
    }
}
