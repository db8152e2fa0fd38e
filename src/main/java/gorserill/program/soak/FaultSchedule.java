package gorserill.program.soak;

import gorserill.program.soak.FleetHistory.Entry;
import gorserill.program.soak.FleetHistory.Status;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;

/** Drains and returns of workers, reloads and pauses of nodes, at times drawn from the seed. */
final class FaultSchedule implements Runnable {
    private static final int DRAIN_EVERY = 700;
    private static final int FIRST_FAULT = 1_000;
    private static final int RELOAD_EVERY = 1_500;
    private static final int MOST_RELOADS = 4;
    private static final int RELOAD_GAP = 400;
    private static final int PAUSE_EVERY = 2_500;
    private static final int SHORTEST_PAUSE = 400;
    private static final int PAUSE_SPREAD = 700;
    private static final int STEP = 5;
    /** At least so many workers stay in service. */
    private static final int STAY = 3;

    private final SoakPlan plan;
    private final Clock clock;
    private final FleetHistory fleet;
    private final Discovery discovery;
    private final List<Worker> workers;
    private final List<Node> nodes;
    private final Oracle oracle;
    private final SplittableRandom random;
    private final Status[] states;
    private final int[] addresses;

    FaultSchedule(
            SoakPlan plan,
            Clock clock,
            FleetHistory fleet,
            Discovery discovery,
            List<Worker> workers,
            List<Node> nodes,
            Oracle oracle) {
        this.plan = plan;
        this.clock = clock;
        this.fleet = fleet;
        this.discovery = discovery;
        this.workers = workers;
        this.nodes = nodes;
        this.oracle = oracle;
        random = new SplittableRandom(plan.seed());
        states = new Status[workers.size()];
        java.util.Arrays.fill(states, Status.IN_SERVICE);
        addresses = new int[nodes.size()];
    }

    @Override
    public void run() {
        double start = clock.now();
        Thread drains = each(start, DRAIN_EVERY, this::changeWorker);
        for (Node node : nodes) {
            if (plan.has(Fault.RELOAD)) {
                each(start, RELOAD_EVERY, () -> reload(node));
            }
            if (plan.has(Fault.PAUSE)) {
                each(start, PAUSE_EVERY, () -> pause(node));
            }
        }
        try {
            drains.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Something that a fault does. */
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    private Thread each(double start, int mean, Action action) {
        SplittableRandom its = random.split();
        Thread thread = new Thread(
                () -> {
                    try {
                        double end = start + plan.seconds() * 1_000.0;
                        for (double next = start + FIRST_FAULT; next < end; ) {
                            next += mean * (0.5 + its.nextDouble());
                            sleepUntil(Math.min(next, end));
                            if (next < end) {
                                action.run();
                            }
                        }
                    } catch (IOException e) {
                        oracle.note(clock.now(), "a fault could not be made: " + e);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "soak faults");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void sleepUntil(double time) throws InterruptedException {
        while (clock.now() < time) {
            Thread.sleep(STEP);
        }
    }

    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }

    /**
     * The worker that was drawn, unless a drain is planted: that shows only at a worker which the nodes use, and they
     * use some of the workers alone.
     */
    private int workerToChange(int drawn) {
        if (plan.plant() != Plant.DRAIN_UNTOLD || states[drawn] != Status.IN_SERVICE) {
            return drawn;
        }
        int used = oracle.workerOfLastSend(drawn);
        return states[used] == Status.IN_SERVICE ? used : drawn;
    }

    /** A worker in service begins to drain, one that drains goes or comes back, one that is gone comes back cold. */
    private void changeWorker() {
        int worker = workerToChange(draw(workers.size()));
        long inService = java.util.Arrays.stream(states)
                .filter(s -> s == Status.IN_SERVICE)
                .count();
        Status next =
                switch (states[worker]) {
                    case IN_SERVICE -> inService > STAY ? Status.TERMINATING : null;
                    case TERMINATING -> draw(2) == 0 ? Status.TERMINATED : Status.IN_SERVICE;
                    case TERMINATED -> Status.IN_SERVICE;
                };
        if (next == null) {
            return;
        }
        long since = states[worker] == Status.TERMINATED ? System.currentTimeMillis() : 0;
        states[worker] = next;
        FleetHistory.Change change =
                fleet.change(new Entry(worker, workers.get(worker).address(), next, since));
        oracle.note(change.at(), "version " + change.version() + ": w" + worker + " " + next);
        discovery.news();
    }

    private void reload(Node node) throws IOException, InterruptedException {
        int reloads = 1 + draw(MOST_RELOADS);
        for (int i = 0; i < reloads; i++) {
            int from = addresses[node.number];
            int to = (from + 1) % Discovery.ADDRESSES;
            addresses[node.number] = to;
            discovery.enter(node.number, to);
            node.configure(discovery.address(node.number, to));
            oracle.moved(node.number, clock.now());
            node.signal("HUP");
            discovery.leave(node.number, from);
            Thread.sleep(draw(RELOAD_GAP));
        }
    }

    private void pause(Node node) throws IOException, InterruptedException {
        double stopped = clock.now();
        oracle.note(stopped, "SIGSTOP n" + node.number);
        node.signal("STOP");
        Thread.sleep(SHORTEST_PAUSE + draw(PAUSE_SPREAD));
        node.signal("CONT");
        oracle.paused(node.number, stopped, clock.now());
    }
}
