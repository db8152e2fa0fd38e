package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A standing job of a class that must never run twice; its interval is halved in the cluster's file, and three of
 * four nodes are restarted by plan, one after another, the owner first. No time of the job may run twice.
 */
final class StandingAgain implements Worker.Listener {
    private static final List<String> ZONES = List.of("quito-norte", "guayaquil", "cuenca");
    private static final int EVERY_MS = 4_000;
    /** The id of a standing job's request, which names its time. */
    private static final Pattern ID = Pattern.compile("standing-(.+)-(\\d+)-(\\d+)-[0-9a-f]+");

    private final Rig rig;
    /** The ends of runs, by the time of the job that they were for. */
    private final Map<Long, List<String>> runs = new LinkedHashMap<>();

    private StandingAgain(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(args[0], rig -> new StandingAgain(rig).run());
    }

    @Override
    public void taken(Worker worker, Http.Message request) {
        rig.note("taken " + request.header("x-txn") + " at " + worker.name + ", fence " + request.header("x-fence"));
    }

    @Override
    public synchronized String ended(Worker worker, Http.Message request) {
        Matcher id = ID.matcher(request.header("x-txn"));
        if (id.matches()) {
            runs.computeIfAbsent(Long.parseLong(id.group(2)), t -> new ArrayList<>())
                    .add(rig.now() + " ms at " + worker.name + ", fence " + request.header("x-fence"));
            rig.note("run to the end: " + request.header("x-txn") + " at " + worker.name);
        }
        return "filed";
    }

    private synchronized int times() {
        return runs.size();
    }

    private static String standing(int everyMs) {
        return ",\"standing\":{\"ronda\":{\"class\":\"alerta\",\"every_ms\":" + everyMs + ",\"missed\":\"all\",\"body\":\"ronda\"}}";
    }

    private boolean run() throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (String zone : ZONES) {
            for (int i = 0; i < 2; i++) {
                Worker worker = rig.keep(new Worker("s-" + zone + i, zone, 4, request -> 400, this));
                worker.start();
                workers.add(worker);
            }
        }
        Discovery discovery = rig.keep(new Discovery());
        discovery.list(workers);
        discovery.start();
        List<Deployment.JobClass> classes = List.of(
                new Deployment.JobClass("estado", 60, 2.5, 5_000, 5, "read_like", "all", 5_000),
                new Deployment.JobClass("alerta", 150, 2.5, 6_000, 5, "non_idempotent", "all", 5_000));
        List<Rig.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(rig.new Node("n" + i));
        }
        for (Rig.Node node : nodes) {
            node.write("node.json", Deployment.node(node, 4, nodes.indexOf(node) % 3, ZONES, discovery, classes));
            node.write("cluster.json", Deployment.cluster(node, nodes, List.of("n0", "n1", "n2"), standing(EVERY_MS)));
            node.start();
        }
        for (Rig.Node node : nodes) {
            node.awaitReady(20_000);
        }
        long end = rig.now() + 40_000;
        while (times() < 4) {
            if (rig.now() > end) {
                throw new Rig.CannotRun("the job's times do not run");
            }
            Rig.sleep(100);
        }
        rig.log(times() + " times have run, every " + EVERY_MS + " ms");
        for (Rig.Node node : nodes) {
            node.write("cluster.json", Deployment.cluster(node, nodes, List.of("n0", "n1", "n2"),
                    standing(rig.trouble ? EVERY_MS / 2 : EVERY_MS)));
        }
        rig.log(rig.trouble ? "the files say every " + EVERY_MS / 2 + " ms" : "the files stay as they were");
        Rig.Node owner = rig.owner(nodes, "ronda", 5_000);
        if (owner == null) {
            throw new Rig.CannotRun("nobody owns the job");
        }
        List<Rig.Node> restarted = new ArrayList<>(List.of(owner));
        nodes.stream().filter(node -> node != owner).limit(2).forEach(restarted::add);
        for (Rig.Node node : restarted) {
            node.signal("TERM");
            if (!node.awaitEnd(15_000)) {
                throw new Rig.CannotRun(node.name + " does not end");
            }
            node.start();
            node.awaitReady(20_000);
            Rig.sleep(1_500);
        }
        Rig.sleep(6_000);
        nodes.forEach(node -> node.noteLog("standing ", "SEVERE"));
        synchronized (this) {
            int twice = 0;
            for (Map.Entry<Long, List<String>> time : runs.entrySet()) {
                if (time.getValue().size() > 1) {
                    twice++;
                    rig.log("time " + time.getKey() + " ran " + time.getValue().size() + " times: " + time.getValue());
                }
            }
            rig.log(runs.size() + " times have run, " + twice + " of them more than once");
            if (runs.size() < 5) {
                throw new Rig.CannotRun("too few times were run");
            }
            return twice == 0;
        }
    }
}
