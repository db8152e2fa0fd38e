package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A standing job of a keyed class, whose repeats the workers of one zone drop for 10 s; the owner is cut off
 * from the other nodes while a time of the job runs, and from nothing else. No time may take effect twice.
 */
final class KeyedTwice implements Worker.Listener {
    private static final List<String> ZONES = List.of("quito-norte", "guayaquil", "cuenca");
    private static final long WINDOW_MS = 10_000;
    private static final long CUT_MS = 5_900;
    private static final long RUN_MS = 22_000;

    private final Rig rig;
    /** Where and when each key took effect. */
    private final Map<String, List<String>> effects = new LinkedHashMap<>();
    /** When a key was first known in a zone. */
    private final Map<String, Long> known = new LinkedHashMap<>();
    private int begun;
    private int dropped;

    private KeyedTwice(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args[0], rig -> new KeyedTwice(rig).run());
    }

    @Override
    public synchronized void begun(Worker worker, Http.Message request) {
        begun++;
        rig.note("begun " + request.header("idempotency-key") + " at " + worker.name + " in " + worker.zone + ", id "
                + request.header("x-txn") + ", fence " + request.header("x-fence"));
        notifyAll();
    }

    @Override
    public synchronized String ended(Worker worker, Http.Message request) {
        String key = request.header("idempotency-key");
        Long before = known.get(worker.zone + " " + key);
        if (before != null && rig.now() - before <= WINDOW_MS) {
            dropped++;
            rig.note("dropped as a repeat: " + key + " at " + worker.name + " in " + worker.zone);
        } else {
            known.put(worker.zone + " " + key, rig.now());
            effects.computeIfAbsent(key, k -> new ArrayList<>()).add(rig.now() + " ms in " + worker.zone);
            rig.note("took effect: " + key + " at " + worker.name + " in " + worker.zone);
        }
        return "filed";
    }

    private synchronized void awaitBegun() throws InterruptedException, Rig.CannotRun {
        int before = begun;
        long end = rig.now() + 20_000;
        while (begun == before) {
            if (rig.now() > end) {
                throw new Rig.CannotRun("no time of the job has reached a worker");
            }
            wait(100);
        }
    }

    private boolean run() throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (String zone : ZONES) {
            for (int i = 0; i < 2; i++) {
                Worker worker = rig.keep(new Worker("s-" + zone + i, zone, 4, request -> 600, this));
                worker.start();
                workers.add(worker);
            }
        }
        Discovery discovery = rig.keep(new Discovery());
        discovery.list(workers);
        discovery.start();
        List<Deployment.JobClass> classes = List.of(
                new Deployment.JobClass("estado", 60, 2.5, 5_000, 5, "read_like", "all", 5_000),
                new Deployment.JobClass("cierre", 250, 2, 6_000, 3, "idempotency_key", "zone", WINDOW_MS));
        List<Rig.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            nodes.add(rig.new Node("n" + i));
        }
        Links links = rig.keep(new Links(nodes));
        for (Rig.Node node : nodes) {
            node.write("node.json", Deployment.node(node, 3, nodes.indexOf(node), ZONES, discovery, classes));
            node.write("cluster.json", Deployment.cluster(node, nodes, links::address, List.of("n0", "n1", "n2"),
                    ",\"standing\":{\"close-of-hour\":{\"class\":\"cierre\",\"every_ms\":3000,\"missed\":\"last\",\"body\":\"close\"}}"));
            node.start();
        }
        for (Rig.Node node : nodes) {
            node.awaitReady(20_000);
        }
        awaitBegun();
        awaitBegun();
        Rig.Node owner = rig.owner(nodes, "close-of-hour", 5_000);
        if (owner == null) {
            throw new Rig.CannotRun("nobody owns the job");
        }
        long end = rig.now() + RUN_MS;
        awaitBegun();
        if (rig.trouble) {
            links.cutOff(owner);
            rig.log(owner.name + " is cut off from the other nodes");
            Rig.sleep(CUT_MS);
            links.heal();
            rig.log(owner.name + " hears them again");
        }
        Rig.sleep(end - rig.now());
        nodes.forEach(node -> node.noteLog("standing "));
        synchronized (this) {
            rig.log("times that took effect: " + effects.size() + ", runs begun: " + begun + ", repeats dropped: " + dropped);
            if (effects.size() < 5) {
                throw new Rig.CannotRun("too few times of the job were run");
            }
            boolean held = true;
            for (Map.Entry<String, List<String>> effect : effects.entrySet()) {
                if (effect.getValue().size() > 1) {
                    rig.log(effect.getKey() + " took effect " + effect.getValue().size() + " times: " + effect.getValue());
                    held = false;
                }
            }
            return held;
        }
    }
}
