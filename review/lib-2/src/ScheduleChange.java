import java.io.IOException;

/** A standing job whose interval is made longer in the cluster's file, after which all nodes are restarted by plan. */
final class ScheduleChange {
    private static final long BEFORE_MILLIS = 2_000;
    private static final long AFTER_MILLIS = 3_000;
    /** Ten times come due in it. */
    private static final long WATCHED_MILLIS = 30_000;

    private ScheduleChange() {}

    public static void main(String[] args) throws IOException {
        Kit.main(args, ScheduleChange::run);
    }

    private static String standing(long interval) {
        return ",\n \"standing\": {\"tidy\": {\"class\": \"estado\", \"every_ms\": " + interval
                + ", \"missed\": \"last\", \"body\": \"tidy\"}}";
    }

    private static boolean run() throws Exception {
        ClusterOf3 cluster = new ClusterOf3(job -> 100);
        cluster.configure(standing(BEFORE_MILLIS));
        cluster.start();
        cluster.awaitOwner("tidy");
        Kit.require(Kit.await(15_000, () -> cluster.jobs().size() >= 3), "the job was not fired before the change");
        for (Kit.NodeProcess node : cluster.nodes) {
            node.signal("TERM");
        }
        for (Kit.NodeProcess node : cluster.nodes) {
            Kit.require(Kit.await(15_000, () -> !node.process.isAlive()), node.name + " does not end");
        }
        if (Kit.TROUBLE) {
            cluster.configure(standing(AFTER_MILLIS));
        }
        cluster.start();
        cluster.awaitOwner("tidy");
        int before = cluster.jobs().size();
        Kit.sleep(WATCHED_MILLIS);
        int fired = cluster.jobs().size() - before;
        Kit.note("owner: " + cluster.awaitOwner("tidy").callAll("cluster owners").strip());
        Kit.note("fired in " + WATCHED_MILLIS + " ms after the restart: " + fired);
        return fired > 0;
    }
}
