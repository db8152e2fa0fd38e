import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;

/** A keyed standing job whose owner is killed while a worker runs it. */
final class KeyedStanding {
    private static final int RUN_MILLIS = 600;
    private static final long WINDOW_MILLIS = 10_000;
    private static final AtomicBoolean BEGUN = new AtomicBoolean();

    private KeyedStanding() {}

    public static void main(String[] args) throws IOException {
        Kit.main(args, KeyedStanding::run);
    }

    private static boolean run() throws Exception {
        ClusterOf3 cluster = new ClusterOf3(job -> {
            BEGUN.set(true);
            return RUN_MILLIS;
        });
        long interval = ClusterOf3.intervalDueIn(60_000, 10_000);
        cluster.configure(",\n \"standing\": {\"close-of-day\": {\"class\": \"cierre\", \"every_ms\": " + interval
                + ", \"missed\": \"last\", \"body\": \"close\"}}");
        cluster.start();
        Kit.NodeProcess owner = cluster.awaitOwner("close-of-day");
        Kit.require(!BEGUN.get() && Kit.await(20_000, BEGUN::get), "the job was not fired once the node owned it");
        if (Kit.TROUBLE) {
            Kit.sleep(200);
            owner.signal("KILL");
        }
        Kit.sleep(20_000);
        List<Kit.Job> jobs = cluster.jobs();
        boolean held = true;
        Set<String> zones = new TreeSet<>();
        for (Kit.Job job : jobs) {
            Kit.require(job.key() != null && job.key().equals(jobs.get(0).key()), "another time came due");
            zones.add(job.worker().zone);
            held &= job.at() - jobs.get(0).at() <= WINDOW_MILLIS + 50;
        }
        Kit.note("key " + jobs.get(0).key() + ": " + jobs.size() + " attempts, in the data centres " + zones);
        return held && zones.size() == 1;
    }
}
