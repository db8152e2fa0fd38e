package gorserill.program.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/**
 * The hollow workers of a run, as the run sees them: a few processes, by a line each way for what happens.
 */
final class HollowFleet {
    /** Workers that share a process. */
    static final int IN_PROCESS = 5_000;
    /** Milliseconds that a job takes on average. */
    private static final int MEAN_SERVICE = 20;

    private static final int START = 30;
    private static final int COUNTING = 2;

    private final Map<Integer, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final List<Child> processes = new ArrayList<>();
    private final CountDownLatch listening;
    private final RuleChecks checks;
    private final AtomicLong bytes = new AtomicLong();
    private volatile CountDownLatch counted = new CountDownLatch(0);
    private volatile BiConsumer<Integer, InetSocketAddress> back = (worker, at) -> {};

    /** Starts them; they listen once this returns. */
    HollowFleet(ScalePlan plan, Commands commands, Children children, RuleChecks checks, Path folder)
            throws IOException, InterruptedException {
        this.checks = checks;
        listening = new CountDownLatch(plan.workers());
        for (int first = 0; first < plan.workers(); first += IN_PROCESS) {
            int many = Math.min(IN_PROCESS, plan.workers() - first);
            String name = "workers-" + first;
            processes.add(children.add(new Child(
                    name,
                    commands.workers(first, many, plan.seed(), MEAN_SERVICE, plan.plant()),
                    Map.of(),
                    folder.resolve(name + ".txt"),
                    this::heard)));
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(START);
        while (!listening.await(50, TimeUnit.MILLISECONDS)) {
            children.mustLive();
            if (System.nanoTime() > until) {
                throw new ScaleException(listening.getCount() + " workers don't listen after " + START + " s");
            }
        }
    }

    private boolean heard(String line) {
        WorkerMessage message = WorkerMessage.parse(line);
        if (message instanceof WorkerMessage.Ran ran) {
            checks.ran(ran.id(), ran.worker(), ran.at());
        } else if (message instanceof WorkerMessage.Listening at) {
            if (addresses.put(at.worker(), at.at()) == null) {
                listening.countDown();
            } else {
                back.accept(at.worker(), at.at());
            }
        } else if (message instanceof WorkerMessage.Traffic traffic) {
            bytes.addAndGet(traffic.in() + traffic.out());
            counted.countDown();
        }
        return message != null;
    }

    /** Whoever is told of each worker that listens again. */
    void whenBack(BiConsumer<Integer, InetSocketAddress> told) {
        back = told;
    }

    InetSocketAddress address(int worker) {
        return addresses.get(worker);
    }

    int size() {
        return addresses.size();
    }

    /** The worker dies. */
    void end(int worker) {
        tell(worker, new WorkerCommand.End(worker));
    }

    /** A dead one comes back. */
    void start(int worker) {
        tell(worker, new WorkerCommand.Start(worker));
    }

    private void tell(int worker, WorkerCommand command) {
        processes.get(worker / IN_PROCESS).say(command.line());
    }

    /** Bytes that went to and from workers so far. */
    synchronized long bytes() throws InterruptedException, ScaleException {
        bytes.set(0);
        counted = new CountDownLatch(processes.size());
        processes.forEach(process -> process.say(new WorkerCommand.Count().line()));
        if (!counted.await(COUNTING, TimeUnit.SECONDS)) {
            throw new ScaleException("the workers did not tell their traffic within " + COUNTING + " s");
        }
        return bytes.get();
    }
}
