package gorserill.program.scale;

import gorserill.program.scale.FleetList.Entry;
import gorserill.program.scale.FleetList.Status;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/**
 * One point: all is started, idles, learns changes, is pressed as long to warm up as it is measured then, is
 * held against the rules, and ends.
 */
final class ScaleRun implements Closeable {
    /** Milliseconds for what a start leaves to be done, at the most. */
    private static final int SETTLING = 4_000;
    /** Changes made to see them learned: these, and one a measured second, up to the most. */
    private static final int PROBES = 2;

    private static final int MOST_PROBES = 5;
    private static final int PROBE_PAUSE = 100;
    /** Until a budget's parts rest again. */
    private static final int PART_PAUSE = 1_000;

    private static final int LAST_WORDS = 500;
    private static final int LOOK = 100;
    private static final int MILLIS = 1_000;
    private static final double SECOND = 1e3;

    private final ScalePlan plan;
    private final PrintStream out;
    private final RuleChecks checks = new RuleChecks();
    private final Children children = new Children();
    private final FleetList list = new FleetList();
    private final List<ScaleDiscovery> discoveries = new ArrayList<>();
    private final List<ServeNode> nodes = new ArrayList<>();
    private final List<Press> presses = new ArrayList<>();
    private HollowFleet fleet;
    private Churn churn;
    /** Null where the plan has no hollow nodes. */
    private HollowMembers members;

    ScaleRun(ScalePlan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
    }

    /** What was violated, in words. */
    List<String> violations() {
        return checks.violations();
    }

    /** Carries it out; the folder is for logs and configurations. */
    PointFigures run(Commands commands, Path folder) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        fleet = new HollowFleet(plan, commands, children, checks, folder);
        List<Entry> entries = new ArrayList<>();
        for (int worker = 0; worker < plan.workers(); worker++) {
            entries.add(Churn.entry(worker, fleet.address(worker)));
        }
        list.begin(entries);
        startNodes(commands, folder);
        if (plan.hollowNodes() > 0) {
            members = new HollowMembers(plan, commands, children, folder);
            out.println("scale: " + plan.hollowNodes() + " hollow nodes are members");
        }
        churn = new Churn(list, fleet, checks, nodes, plan);
        out.println("scale: " + plan.workers() + " workers listen, " + plan.nodes() + " nodes serve");
        pass(Math.min(SETTLING, plan.seconds() * MILLIS));
        Phase idle = measureIdle();
        learn();
        Phase loaded = measureLoaded();
        churn.stop();
        stopPresses();
        pass(LAST_WORDS);
        checks.end();
        return figures(idle, loaded);
    }

    private void startNodes(Commands commands, Path folder) throws IOException, InterruptedException {
        for (int n = 0; n < plan.nodes(); n++) {
            int node = n;
            ScaleDiscovery discovery = new ScaleDiscovery(list, plan.plant(), told -> told(node, told));
            discoveries.add(discovery);
            nodes.add(new ServeNode(n, plan, list.whole(), discovery, commands, children, folder));
        }
        for (ServeNode node : nodes) {
            node.awaitReady(children);
        }
    }

    private void told(int node, List<Entry> entries) {
        for (Entry entry : entries) {
            if (entry.status() != Status.IN_SERVICE) {
                checks.toldOfDraining(node, Churn.worker(entry.name()));
            }
        }
    }

    /** What was used in a while, all nodes together. */
    private record Phase(
            double millis,
            double cpuMillis,
            double cpuMillisMost,
            double residentMb,
            long discoveryBytes,
            long workerBytes,
            HollowMembers.Traffic cluster,
            long attempts,
            Press.Counts jobs,
            Histogram latency) {}

    private Phase measureIdle() throws IOException, InterruptedException {
        out.println("scale: idle for " + plan.seconds() + " s");
        return measure(Press.histogram());
    }

    private Phase measureLoaded() throws IOException, InterruptedException {
        out.println("scale: " + plan.rate() + " jobs a second at each node, churn " + plan.churn());
        for (ServeNode node : nodes) {
            Press press = new Press(node, plan, checks, fleet);
            presses.add(press);
            press.start();
        }
        churn.start(plan.churn());
        pass(plan.seconds() * MILLIS);
        List<Histogram> latencies = presses.stream().map(Press::measure).toList();
        Histogram all = Press.histogram();
        Phase phase = measure(all);
        latencies.forEach(all::add);
        return phase;
    }

    private Phase measure(Histogram latency) throws IOException, InterruptedException {
        long start = System.nanoTime();
        double[] cpu = cpu();
        long discovery = discoveryBytes();
        long bytes = fleet.bytes();
        long attempts = checks.attempts();
        Press.Counts before = counts();
        HollowMembers.Traffic cluster = clusterTraffic();
        pass(plan.seconds() * MILLIS);
        double[] used = cpu();
        Arrays.setAll(used, n -> used[n] - cpu[n]);
        return new Phase(
                (System.nanoTime() - start) / 1e6,
                Arrays.stream(used).sum(),
                Arrays.stream(used).max().orElse(0),
                resident(),
                discoveryBytes() - discovery,
                fleet.bytes() - bytes,
                clusterTraffic().since(cluster),
                checks.attempts() - attempts,
                counts().since(before),
                latency);
    }

    private void learn() throws InterruptedException, IOException {
        int probes = Math.min(MOST_PROBES, PROBES + plan.seconds());
        for (int i = 0; i < probes; i++) {
            churn.probe(PROBE_PAUSE);
        }
        SplittableRandom random = new SplittableRandom(plan.seed());
        for (int i = 0; members != null && i < probes; i++) {
            members.probe(random);
            pass(PART_PAUSE);
        }
        pass(LAST_WORDS);
    }

    /** Lets time pass, as long as all that was started lives. */
    private void pass(int millis) throws IOException, InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000L;
        for (long left = millis; left > 0; left = (until - System.nanoTime()) / 1_000_000) {
            Thread.sleep(Math.min(LOOK, left));
            children.mustLive();
        }
    }

    private void stopPresses() throws InterruptedException {
        for (Press press : presses) {
            press.stop();
        }
    }

    private HollowMembers.Traffic clusterTraffic() throws IOException, InterruptedException {
        return members == null ? new HollowMembers.Traffic(0, 0) : members.traffic();
    }

    /** Milliseconds of CPU that each node has used. */
    private double[] cpu() throws IOException {
        double[] used = new double[nodes.size()];
        for (int n = 0; n < used.length; n++) {
            used[n] = ProcessUsage.of(nodes.get(n).process()).cpuMillis();
        }
        return used;
    }

    private double resident() throws IOException {
        double most = 0;
        for (ServeNode node : nodes) {
            most = Math.max(most, ProcessUsage.of(node.process()).residentMb());
        }
        return most;
    }

    private long discoveryBytes() {
        return discoveries.stream().mapToLong(ScaleDiscovery::bytes).sum();
    }

    private Press.Counts counts() {
        return presses.stream().map(Press::counts).reduce(new Press.Counts(0, 0, 0), Press.Counts::plus);
    }

    private PointFigures figures(Phase idle, Phase loaded) throws IOException, InterruptedException {
        Histogram learned = LearnTimes.histogram();
        nodes.forEach(node -> node.learned.addTo(learned));
        long unlearned =
                nodes.stream().mapToLong(node -> node.learned.unheard()).sum();
        long jobs = loaded.jobs.all();
        double idleCpu = idle.cpuMillis / idle.millis * loaded.millis;
        double heap = ProcessUsage.liveHeapMb(nodes.get(0).process());
        Histogram latency = loaded.latency;
        return new PointFigures(
                plan.workers(),
                plan.nodes(),
                plan.hollowNodes(),
                plan.tenants(),
                plan.churn(),
                plan.rate(),
                plan.seconds(),
                plan.seed(),
                jobs,
                loaded.jobs.served(),
                loaded.jobs.refused(),
                loaded.jobs.failed(),
                (loaded.cpuMillis - idleCpu) / jobs,
                loaded.cpuMillis / jobs,
                100 * idle.cpuMillis / idle.millis / plan.nodes(),
                100 * idle.cpuMillisMost / idle.millis,
                idle.discoveryBytes / idle.millis * SECOND / plan.nodes(),
                discoveries.stream().mapToLong(ScaleDiscovery::calls).sum(),
                list.whole().json().length(),
                (double) loaded.workerBytes / jobs,
                (double) loaded.attempts / jobs,
                heap,
                loaded.residentMb,
                nodes.stream().mapToDouble(ServeNode::readyMillis).max().orElse(Double.NaN),
                learned.getValueAtPercentile(50),
                learned.getMaxValue(),
                learned.getTotalCount() + unlearned,
                unlearned,
                latency.getValueAtPercentile(50) / SECOND,
                latency.getValueAtPercentile(99) / SECOND,
                latency.getMaxValue() / SECOND,
                members == null ? Double.NaN : members.joinMillis(),
                idle.cluster.messages() / idle.millis * SECOND,
                idle.cluster.bytes() / idle.millis * SECOND,
                partMillis(50),
                partMillis(100),
                checks.violated());
    }

    private double partMillis(int percentile) {
        return members == null ? Double.NaN : members.learned().getValueAtPercentile(percentile);
    }

    /** Ends all that it started. */
    @Override
    public void close() {
        presses.forEach(Press::abandon);
        if (churn != null) {
            churn.abandon();
        }
        list.close();
        children.close();
        discoveries.forEach(ScaleDiscovery::close);
    }
}
