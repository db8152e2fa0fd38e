package gorserill.program.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** The hollow nodes of a run, as the run sees them: a few processes, by a line each way for what happens. */
final class HollowMembers {
    /** Nodes that share a process. */
    static final int IN_PROCESS = 150;

    private static final int JOINING = 60;
    private static final int COUNTING = 2;
    private static final int LEARNING = 10;
    private static final int LOOK = 50;
    /** Of the budget: what the probed node is asked for. */
    private static final double PART = 0.5;

    /** Messages that went to and from hollow nodes, and their bytes. */
    record Traffic(long messages, long bytes) {
        Traffic since(Traffic before) {
            return new Traffic(messages - before.messages, bytes - before.bytes);
        }
    }

    private final List<Child> processes = new ArrayList<>();
    private final Children children;
    private final int many;
    private final CountDownLatch joined;
    private final long started = System.nanoTime();
    private final AtomicLong messages = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();
    private final Map<Integer, Long> allowedAt = new ConcurrentHashMap<>();
    private final Histogram learned = LearnTimes.histogram();
    private volatile CountDownLatch counted = new CountDownLatch(0);
    private volatile CountDownLatch allowed = new CountDownLatch(0);
    private volatile int probed = -1;
    private double joinMillis;

    /** Starts them; all have a life in the register once this returns. */
    HollowMembers(ScalePlan plan, Commands commands, Children children, Path folder)
            throws IOException, InterruptedException {
        this.children = children;
        many = plan.hollowNodes();
        joined = new CountDownLatch(plan.hollowNodes());
        String voters = ClusterTerms.addresses(plan.nodes()).entrySet().stream()
                .map(voter ->
                        voter.getKey() + "=" + voter.getValue().getAddress().getHostAddress() + ":"
                                + voter.getValue().getPort())
                .collect(Collectors.joining(","));
        for (int first = 0; first < many; first += IN_PROCESS) {
            int its = Math.min(IN_PROCESS, many - first);
            String name = "nodes-" + first;
            processes.add(children.add(new Child(
                    name,
                    commands.nodes(first, its, voters, plan.allNodes()),
                    Map.of(),
                    folder.resolve(name + ".txt"),
                    this::heard)));
        }
        await(joined, JOINING, "the hollow nodes are not all members");
        joinMillis = (System.nanoTime() - started) / 1e6;
    }

    private void await(CountDownLatch latch, int seconds, String otherwise) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!latch.await(LOOK, TimeUnit.MILLISECONDS)) {
            children.mustLive();
            if (System.nanoTime() > until) {
                throw new ScaleException(otherwise + " after " + seconds + " s: " + latch.getCount() + " missing");
            }
        }
    }

    private boolean heard(String line) {
        NodeMessage message = NodeMessage.parse(line);
        if (message instanceof NodeMessage.Joined) {
            joined.countDown();
        } else if (message instanceof NodeMessage.Allowed its && its.node() == probed) {
            allowedAt.putIfAbsent(its.node(), its.at());
            allowed.countDown();
        } else if (message instanceof NodeMessage.Traffic traffic) {
            messages.addAndGet(traffic.messages());
            bytes.addAndGet(traffic.bytes());
            counted.countDown();
        }
        return message != null;
    }

    /** A node is suddenly asked for half of the budget: measures when it has more of it; then lets go. */
    void probe(SplittableRandom random) throws IOException, InterruptedException {
        int node = random.nextInt(many);
        allowedAt.remove(node);
        allowed = new CountDownLatch(1);
        probed = node;
        long at = System.currentTimeMillis();
        tell(node, (int) (PART * ClusterTerms.PER_SECOND));
        await(allowed, LEARNING, "a hollow node's part of the budget does not grow");
        learned.recordValue(Math.max(0, allowedAt.get(node) - at));
        probed = -1;
        tell(node, 0);
    }

    private void tell(int node, int perSecond) {
        processes.get(node / IN_PROCESS).say(new NodeCommand.Demand(node, perSecond).line());
    }

    /** What went by so far. */
    Traffic traffic() throws IOException, InterruptedException {
        messages.set(0);
        bytes.set(0);
        counted = new CountDownLatch(processes.size());
        processes.forEach(process -> process.say(new NodeCommand.Count().line()));
        await(counted, COUNTING, "the hollow nodes do not tell their traffic");
        return new Traffic(messages.get(), bytes.get());
    }

    /** From their start until all were members. */
    double joinMillis() {
        return joinMillis;
    }

    /** From a change of demand to a part of the budget that follows it. */
    Histogram learned() {
        return learned;
    }
}
