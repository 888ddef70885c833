import java.util.List;

/** Settings like those of the operators' smallest deployments. */
final class Sites {
    /** kestrel-crashdesk; boots last seconds, so that a script has time for what follows. {@code limit} is the CPU limit of triage-crew-00. */
    static Cluster.Site kestrel(double guarantee, double limit) {
        Cluster.Site site = new Cluster.Site();
        site.zones = List.of("port-louis-east");
        site.reportS = 2.0;
        site.leaseS = 10.0;
        site.cancelS = 30.0;
        site.writeRps = 25.0;
        site.valueKb = 8.0;
        site.cloudRps = 4.0;
        site.listLagS = 10.0;
        site.coreShare = 0.255;
        site.memoryMb = 210.0;
        site.sockets = 1200;
        StringBuilder teams = new StringBuilder();
        for (int i = 0; i < 12; i++) {
            teams.append(i == 0 ? "[" : ",").append("{\"name\":\"triage-crew-").append(i < 10 ? "0" : "").append(i)
                .append("\",\"cpus\":").append(i == 0 ? guarantee : 0.0).append(",\"cpus_max\":").append(i == 0 ? limit : 0.0)
                .append(",\"gpus\":0.0,\"gpus_max\":0.0}");
        }
        site.teams = teams + "]";
        site.objectives =
            "[{\"kind\":\"wait\",\"class\":\"grouping-retrain\",\"within_s\":12.0,\"share\":0.75},"
                + "{\"kind\":\"finished\",\"class\":\"grouping-retrain\",\"within_s\":80.0,\"share\":0.82},"
                + "{\"kind\":\"finished\",\"class\":\"dump-symbolize\",\"within_s\":120.0,\"share\":0.9},"
                + "{\"kind\":\"wait\",\"class\":\"dedup-sweep\",\"within_s\":180.0,\"share\":0.88},"
                + "{\"kind\":\"finished\",\"class\":\"dedup-sweep\",\"within_s\":250.0,\"share\":0.975}]";
        site.types = List.of(
            new Cloud.Type("dodo-small", 4, 0, 32, 0.2, 0.18, 0.07, 3, 41, 2000),
            new Cloud.Type("baobab-wide", 64, 0, 256, 0.25, 2.28, 0.96, 3, 3, 2000),
            new Cloud.Type("tamarind-gpu", 24, 2, 96, 1.0, 4.19, 1.97, 3, 9, 2000));
        return site;
    }

    /** rose-hill-vision, with its two zones. */
    static Cluster.Site roseHill() {
        Cluster.Site site = new Cluster.Site();
        site.zones = List.of("rose-hill-north", "curepipe-south");
        site.controllers = 5;
        site.reportS = 1.0;
        site.leaseS = 10.0;
        site.cancelS = 30.0;
        site.rps = 100.0;
        site.writeRps = 20.0;
        site.valueKb = 8.0;
        site.txnOps = 16;
        site.cloudRps = 5.0;
        site.listLagS = 5.0;
        site.coreShare = 0.204;
        site.memoryMb = 181.0;
        site.sockets = 700;
        site.teams =
            "[{\"name\":\"replay-crew\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":250.0,\"gpus_max\":700.0},"
                + "{\"name\":\"vision-research\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":150.0,\"gpus_max\":300.0}]";
        site.objectives =
            "[{\"kind\":\"wait\",\"class\":\"clip-embed\",\"within_s\":18.0,\"share\":0.85},"
                + "{\"kind\":\"wait\",\"class\":\"clip-embed\",\"within_s\":50.0,\"share\":0.96},"
                + "{\"kind\":\"finished\",\"class\":\"clip-embed\",\"within_s\":400.0,\"share\":0.96}]";
        site.types = List.of(new Cloud.Type("flamboyant-gpu", 96, 8, 576, 0.6, 29.11, 12.77, 30, 80, 2000));
        return site;
    }
}
