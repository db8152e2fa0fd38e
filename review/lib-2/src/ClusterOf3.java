import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Three nodes in three data centres, a worker in each, and discovery. */
final class ClusterOf3 {
    static final List<String> ZONES = List.of("quito-norte", "guayaquil", "cuenca");

    final List<Kit.Worker> workers = new ArrayList<>();
    final List<Kit.NodeProcess> nodes = new ArrayList<>();

    ClusterOf3(Kit.Work work) throws IOException {
        for (int i = 0; i < 3; i++) {
            workers.add(new Kit.Worker("w" + i, ZONES.get(i), work));
        }
        int discovery = Kit.discovery(workers).port();
        for (int i = 0; i < 3; i++) {
            Kit.NodeProcess node = new Kit.NodeProcess("n" + i);
            node.write("node.json", Kit.nodeJson(node, discovery, i, "zone", workers));
            node.environment.put("GORSERILL_FAKTORY", "none");
            node.environment.put("GORSERILL_CLUSTER", node.home.resolve("cluster.json").toString());
            nodes.add(node);
        }
    }

    /** Writes the cluster's file of each node; %d in the text is the node's port for clients. */
    void configure(String more) throws IOException {
        for (Kit.NodeProcess node : nodes) {
            node.write("cluster.json", Kit.clusterJson(node, nodes, more.replace("CLIENTS", "" + node.clients)));
        }
        Kit.note("the cluster's file has" + more);
    }

    void start() throws IOException, Kit.CannotRun {
        for (Kit.NodeProcess node : nodes) {
            node.start();
        }
        for (Kit.NodeProcess node : nodes) {
            node.awaitReady();
        }
    }

    /** The node that owns a piece, once it has been the same for two seconds: nodes that come later may take pieces. */
    Kit.NodeProcess awaitOwner(String piece) throws Kit.CannotRun {
        Kit.NodeProcess owner = null;
        long since = 0;
        for (long end = Kit.millis() + 20_000; Kit.millis() < end; Kit.sleep(50)) {
            Kit.NodeProcess now = Kit.owner(nodes, piece);
            if (now == null || now != owner) {
                owner = now;
                since = Kit.millis();
            } else if (Kit.millis() - since > 2_000) {
                Kit.note(owner.name + " owns " + piece);
                return owner;
            }
        }
        throw new Kit.CannotRun("nobody owns " + piece);
    }

    /** All jobs that workers got, in order. */
    List<Kit.Job> jobs() {
        List<Kit.Job> all = new ArrayList<>();
        workers.forEach(worker -> all.addAll(worker.jobs()));
        all.sort((a, b) -> Long.compare(a.at(), b.at()));
        return all;
    }

    /** An interval in milliseconds, from {@code least} on, whose next time is due in about so many milliseconds. */
    static long intervalDueIn(long least, long millis) {
        long now = System.currentTimeMillis();
        for (long interval = least; ; interval++) {
            long due = interval - now % interval;
            if (due >= millis && due < millis + 100) {
                Kit.note(String.format(Locale.ROOT, "every %d ms, due in %d ms", interval, due));
                return interval;
            }
        }
    }
}
