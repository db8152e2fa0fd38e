package gorserill.program.scale;

import gorserill.program.scale.FleetList.Entry;
import gorserill.program.scale.FleetList.Status;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Changes of the fleet, drawn from the seed: workers drain and then end, or crash and are listed as gone later. All
 * restart cold, at a new address.
 */
final class Churn {
    /** Longer than the check of drains allows jobs to arrive, so that a late job still meets the worker. */
    private static final int DRAIN_MILLIS = (int) (RuleChecks.GRACE + RuleChecks.ROOM) + 1_000;

    private static final int CRASH_TO_LISTED_MILLIS = 500;
    private static final int GONE_TO_RESTART_MILLIS = 1_500;
    /** At most one worker in this many is draining or gone at a time. */
    private static final int WORKERS_PER_ABSENT = 5;

    private final FleetList list;
    private final HollowFleet fleet;
    private final RuleChecks checks;
    private final List<ServeNode> nodes;
    private final Plant plant;
    private final SplittableRandom random;
    private final Set<Integer> absent = new HashSet<>();
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(run -> {
        Thread made = new Thread(run, "churn");
        made.setDaemon(true);
        return made;
    });
    private long changes;

    Churn(FleetList list, HollowFleet fleet, RuleChecks checks, List<ServeNode> nodes, ScalePlan plan) {
        this.list = list;
        this.fleet = fleet;
        this.checks = checks;
        this.nodes = nodes;
        plant = plan.plant();
        random = new SplittableRandom(plan.seed());
        fleet.whenBack((worker, at) -> thread.execute(() -> back(worker, at)));
    }

    /** The initial list entry of a worker. */
    static Entry entry(int worker, InetSocketAddress at) {
        return new Entry(name(worker), at, Status.IN_SERVICE, 0);
    }

    private static String name(int worker) {
        return "w" + worker;
    }

    /** The number of a worker by its name. */
    static int worker(String name) {
        return Integer.parseInt(name.substring(1));
    }

    /**
     * Starts the changes.
     *
     * @param workersPerSecond workers that drain or crash; none if 0
     */
    void start(double workersPerSecond) {
        if (workersPerSecond <= 0) {
            return;
        }
        long period = (long) (TimeUnit.SECONDS.toMicros(1) / workersPerSecond);
        if (plant == Plant.DRAIN_UNTOLD) {
            thread.schedule(this::drainWholeFleet, period, TimeUnit.MICROSECONDS);
        } else {
            thread.scheduleAtFixedRate(this::changeWorker, period, period, TimeUnit.MICROSECONDS);
        }
    }

    /**
     * Drains every worker, for good. Nodes use few workers at a time, so a planted drain of some workers alone would
     * show only if a node happened to use one of them late enough for the check.
     */
    private void drainWholeFleet() {
        for (int worker = 0; worker < fleet.size(); worker++) {
            change(worker, Status.TERMINATING, 0);
        }
    }

    /** Stops making changes, without waiting for one that is under way. */
    void abandon() {
        thread.shutdownNow();
    }

    /** Stops making changes, and waits for one that is under way. */
    void stop() throws InterruptedException {
        abandon();
        thread.awaitTermination(1, TimeUnit.SECONDS);
    }

    /**
     * Lists a worker as draining and then as in service again.
     *
     * @param pauseMillis time after each of the two changes
     */
    void probe(int pauseMillis) throws InterruptedException {
        int worker = random.nextInt(fleet.size());
        change(worker, Status.TERMINATING, 0);
        Thread.sleep(pauseMillis);
        checks.inService(worker);
        change(worker, Status.IN_SERVICE, 0);
        Thread.sleep(pauseMillis);
    }

    private void changeWorker() {
        int worker = random.nextInt(fleet.size());
        if (absent.contains(worker) || (absent.size() + 1) * WORKERS_PER_ABSENT > fleet.size()) {
            return;
        }
        absent.add(worker);
        if (changes++ % 2 == 0) {
            drain(worker);
        } else {
            fleet.end(worker);
            after(CRASH_TO_LISTED_MILLIS, () -> gone(worker));
        }
    }

    private void drain(int worker) {
        change(worker, Status.TERMINATING, 0);
        after(DRAIN_MILLIS, () -> {
            fleet.end(worker);
            gone(worker);
        });
    }

    private void gone(int worker) {
        change(worker, Status.TERMINATED, 0);
        after(GONE_TO_RESTART_MILLIS, () -> fleet.start(worker));
    }

    private void back(int worker, InetSocketAddress at) {
        absent.remove(worker);
        checks.inService(worker);
        change(worker, Status.IN_SERVICE, System.currentTimeMillis());
    }

    private void change(int worker, Status status, long since) {
        long at = System.currentTimeMillis();
        long index = list.change(new Entry(name(worker), fleet.address(worker), status, since));
        nodes.forEach(node -> node.learned.changed(index, at));
    }

    private void after(int millis, Runnable what) {
        thread.schedule(what, millis, TimeUnit.MILLISECONDS);
    }
}
