import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What users have submitted, and what really runs on which machine. */
final class Tracker {
    record Start(String drop, long attempt, String machine, long at) {}

    private final Record record;
    private final Map<String, Map<String, Object>> jobs = new LinkedHashMap<>();
    private final Map<String, Map<String, Long>> present = new HashMap<>();
    private final Map<String, Set<String>> gangs = new HashMap<>();
    private final Set<String> complete = new HashSet<>();
    private final Map<String, Long> gangLostAt = new HashMap<>();
    private final Map<String, Long> doneAt = new HashMap<>();
    private final List<Start> starts = new ArrayList<>();
    private final Map<String, Double> cores = new HashMap<>();
    private final Map<String, Double> mostCores = new HashMap<>();
    final List<String> twice = new ArrayList<>();

    Tracker(Record record) {
        this.record = record;
    }

    synchronized void submitted(Map<String, Object> job) {
        jobs.put((String) job.get("ref"), job);
    }

    synchronized Map<String, Object> job(String ref) {
        return jobs.get(ref);
    }

    private String jobOf(String drop) {
        return drop.substring(0, drop.indexOf('/'));
    }

    synchronized void started(String drop, long attempt, String machine) {
        Map<String, Long> on = present.computeIfAbsent(drop, d -> new LinkedHashMap<>());
        record.line("RUN  %s try %d is on %s", drop, attempt, machine);
        if (!on.isEmpty()) {
            twice.add(drop + " on " + machine + " while on " + on.keySet());
            record.line("RAN TWICE: %s", twice.get(twice.size() - 1));
        }
        on.put(machine, attempt);
        starts.add(new Start(drop, attempt, machine, Record.now()));
        gangs.computeIfAbsent(jobOf(drop) + "#" + attempt, g -> new HashSet<>()).add(drop);
        use(drop, 1);
    }

    synchronized void left(String drop, long attempt, String machine, String cause) {
        if (present.getOrDefault(drop, Map.of()).remove(machine) == null) return;
        record.line("LEFT %s try %d left %s: %s", drop, attempt, machine, cause);
        String gang = jobOf(drop) + "#" + attempt;
        if (complete.contains(gang)) {
            if (!cause.equals("done")) gangLostAt.putIfAbsent(gang, Record.now());
        } else if (gangs.containsKey(gang)) {
            gangs.get(gang).remove(drop);
        }
        use(drop, -1);
    }

    private void use(String drop, int sign) {
        Map<String, Object> job = jobs.get(jobOf(drop));
        String team = (String) job.get("roost");
        cores.merge(team, sign * (Double) job.get("cores"), Double::sum);
        mostCores.merge(team, cores.get(team), Math::max);
    }

    synchronized double cores(String team) {
        return cores.getOrDefault(team, 0.0);
    }

    synchronized double mostCores(String team) {
        return mostCores.getOrDefault(team, 0.0);
    }

    synchronized boolean gangComplete(String ref, long attempt) {
        String key = ref + "#" + attempt;
        if (complete.contains(key)) return true;
        if (gangs.getOrDefault(key, Set.of()).size() < (Long) jobs.get(ref).get("drops")) return false;
        complete.add(key);
        return true;
    }

    /** When a gang that had started lost a task, or null. */
    synchronized Long gangLostAt(String ref, long attempt) {
        return gangLostAt.get(ref + "#" + attempt);
    }

    synchronized void done(String drop, boolean wholeGang) {
        String ref = jobOf(drop);
        if (wholeGang) {
            for (int i = 0; i < (Long) jobs.get(ref).get("drops"); i++) doneAt.putIfAbsent(ref + "/" + i, Record.now());
        } else {
            doneAt.putIfAbsent(drop, Record.now());
        }
    }

    synchronized boolean isDone(String drop) {
        return doneAt.containsKey(drop);
    }

    synchronized List<Start> startsOf(String ref) {
        List<Start> list = new ArrayList<>();
        for (Start start : starts) if (start.drop().startsWith(ref + "/")) list.add(start);
        return list;
    }

    synchronized int presentOf(String ref) {
        int count = 0;
        for (Map.Entry<String, Map<String, Long>> e : present.entrySet()) {
            if (e.getKey().startsWith(ref + "/")) count += e.getValue().size();
        }
        return count;
    }
}
