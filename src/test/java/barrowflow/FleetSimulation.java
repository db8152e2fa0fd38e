package barrowflow;

import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Outcome;
import barrowflow.Dispatcher.Settings;
import barrowflow.Dispatcher.Worker;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates many dispatchers and many workers on a virtual clock, to test effects that one dispatcher does not
 * show. A worker has slots and a first-in, first-out queue; a cold one has only part of its capacity. The same
 * seed gives the same run.
 */
final class FleetSimulation {
    /** A simulated worker with its true speed, which dispatchers can learn only from their jobs. */
    static final class Machine {
        final Worker worker;
        final int slots;
        final double speed;
        final Deque<Execution> queue = new ArrayDeque<>();
        /** For each attempt: arrival time, work in microseconds, and job class. */
        final List<long[]> arrivals = new ArrayList<>();

        int running;
        /** A hanging worker starts no jobs. */
        boolean hanging;

        double busyTime;
        int served;

        Machine(Worker worker, int slots, double speed) {
            this.worker = worker;
            this.slots = slots;
            this.speed = speed;
        }
    }

    /** One attempt to run a job, as a worker executes it. */
    static final class Execution {
        final Node node;
        final long request;
        final int attempt;
        final long work;
        final Machine at;
        long startedAt;
        /** The dispatcher no longer expects events of this attempt. */
        boolean cancelled;

        boolean stopped;

        Execution(Node node, long request, int attempt, long work, Machine at) {
            this.node = node;
            this.request = request;
            this.attempt = attempt;
            this.work = work;
            this.at = at;
        }
    }

    private record Event(long at, long order, Runnable action) {}

    /** Host of one dispatcher. Its actions take effect at once; jobs reach workers after the network delay. */
    final class Node implements Dispatcher.Actions {
        final Choice module;
        final Map<Long, Long> work = new HashMap<>();
        final Map<Long, Integer> attemptCounts = new HashMap<>();
        final Map<Long, Long> arrived = new HashMap<>();
        final Map<Long, Integer> classes = new HashMap<>();
        final Map<String, Execution> executions = new HashMap<>();
        int watches;

        Node(Settings settings, long seed) {
            module = new Choice(settings, seed, now, this);
        }

        void request(long id, int jobClass, long workMicros) {
            offered++;
            offeredByClass[jobClass]++;
            classes.put(id, jobClass);
            work.put(id, workMicros);
            arrived.put(id, now);
            module.request(
                    now, id, jobClass, 0, 0, settings.classes().get(jobClass).deadline(), 1, 0);
        }

        @Override
        public void send(long request, long worker) {
            int attempt = attemptCounts.merge(request, 1, Integer::sum) - 1;
            Machine m = machines.get(worker);
            Execution execution = new Execution(this, request, attempt, work.get(request), m);
            executions.put(request + "/" + attempt, execution);
            schedule(now + NETWORK_DELAY_MICROS, () -> {
                m.arrivals.add(new long[] {now, execution.work, classes.getOrDefault(request, 0)});
                if (!execution.stopped) {
                    m.queue.add(execution);
                    startQueued(m);
                }
            });
        }

        @Override
        public void cancel(long request, int attempt) {
            Execution execution = executions.get(request + "/" + attempt);
            execution.cancelled = true;
            schedule(now, () -> module.ended(now, request, attempt, Outcome.CANCELLED, false, Double.NaN, Double.NaN));
            if (cancelStops) {
                schedule(now + NETWORK_DELAY_MICROS, () -> stop(execution));
            }
        }

        @Override
        public void refuse(long request, long wait) {
            refused++;
        }

        @Override
        public void fail(long request) {
            failed++;
        }

        @Override
        public void timerAt(long time) {
            FleetSimulation.this.schedule(time, () -> module.timer(now));
        }

        @Override
        public void watchList() {
            watches++;
        }

        /** One message in five is lost, at random; each of the others has its own random delay to each node. */
        @Override
        public void tell(byte[] message) {
            peerBytes += message.length;
            for (Node other : nodes) {
                if (other != this && random.nextInt(5) > 0) {
                    FleetSimulation.this.schedule(
                            now + 2_000 + random.nextLong(30_000),
                            () -> other.module.heard(now, nodes.indexOf(this), message));
                }
            }
        }
    }

    private static final long NETWORK_DELAY_MICROS = 1_000;

    final Map<Long, Machine> machines = new HashMap<>();
    final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final SplittableRandom random;
    private Settings settings;
    private long order;
    private long nextId;
    long now = 100_000_000;
    int offered;
    int inTime;
    int refused;
    int failed;
    int peerBytes;
    /** Time that workers spent on cancelled attempts; small if cancelling stops the work. */
    long wastedMicros;

    boolean cancelStops = true;
    /** Jobs of each class that ended in time. */
    final int[] inTimeByClass = new int[4];

    /** Jobs of each class that arrived. */
    final int[] offeredByClass = new int[4];

    FleetSimulation(long seed) {
        random = new SplittableRandom(seed);
    }

    FleetSimulation addMachine(Worker worker, int slots, double speed) {
        machines.put(worker.id(), new Machine(worker, slots, speed));
        return this;
    }

    /** Adds dispatchers, each of which gets the list of all workers at once. */
    FleetSimulation addNodes(int count, Settings settings) {
        this.settings = settings;
        for (int i = 0; i < count; i++) {
            Node node = new Node(settings, random.nextLong());
            nodes.add(node);
            node.module.workers(
                    now,
                    ListKind.WHOLE,
                    machines.values().stream().map(m -> m.worker).toList());
        }
        return this;
    }

    /** Adds a worker, or changes one, and announces it to all dispatchers now. */
    void announceWorker(Worker worker, int slots, double speed) {
        addMachine(worker, slots, speed);
        for (Node node : nodes) {
            node.module.workers(now, ListKind.CHANGES, List.of(worker));
        }
    }

    void schedule(long time, Runnable action) {
        events.add(new Event(Math.max(time, now), order++, action));
    }

    /**
     * Schedules jobs of a class at random nodes, with that total rate and that mean work; the work is uniform
     * between half and one and a half times the mean.
     */
    void uniformTraffic(int jobClass, double perSecond, long work, long span) {
        double meanGap = 1e6 / perSecond;
        for (double t = meanGap * random.nextDouble(); t < span; t += -meanGap * Math.log(1 - random.nextDouble())) {
            Node node = nodes.get(random.nextInt(nodes.size()));
            long workMicros = Math.max(1_000, (long) (work * (0.5 + random.nextDouble())));
            schedule(now + (long) t, () -> {
                long id = nextId++;
                offered++;
                offeredByClass[jobClass]++;
                node.classes.put(id, jobClass);
                node.work.put(id, workMicros);
                node.arrived.put(id, now);
                node.module.request(now, id, jobClass, 0, 0, 5_000_000, 1, 0);
            });
        }
    }

    /**
     * Schedules jobs of a class from some time on, with lognormal work, as real jobs have, of the given
     * coefficient of variation, and with the deadline of the class.
     */
    void lognormalTraffic(int jobClass, double perSecond, double work, double cv, long from, long span) {
        double sigma = Math.sqrt(Math.log(1 + cv * cv));
        for (double t = from; t < from + span; t += -1e6 / perSecond * Math.log(1 - random.nextDouble())) {
            Node node = nodes.get(random.nextInt(nodes.size()));
            double normal =
                    Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
            long workMicros = Math.max(1_000, (long) (work * Math.exp(sigma * normal - sigma * sigma / 2)));
            schedule(now + (long) t, () -> node.request(nextId++, jobClass, workMicros));
        }
    }

    /** One random worker after another hangs, each for the given time. */
    void hangInTurn(long duration, long span) {
        List<Machine> all = machines.values().stream()
                .sorted((a, b) -> Long.compare(a.worker.id(), b.worker.id()))
                .toList();
        for (long t = 0; t < span; t += duration) {
            Machine m = all.get(random.nextInt(all.size()));
            schedule(now + t, () -> m.hanging = true);
            schedule(now + t + duration, () -> {
                m.hanging = false;
                startQueued(m);
            });
        }
    }

    void run(long span) {
        long end = now + span;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event next = events.poll();
            now = next.at;
            next.action.run();
        }
        now = end;
    }

    /** Fraction of its capacity that a worker has now, as it warms up. */
    static double capacityFraction(Worker worker, long now, Settings settings) {
        long since = worker.startedAt();
        double from = settings.coldStart().initialFraction();
        return since == 0 || now - since >= settings.coldStart().warmUp()
                ? 1
                : from + (1 - from) * (now - since) / settings.coldStart().warmUp();
    }

    private void stop(Execution execution) {
        execution.stopped = true;
        if (execution.startedAt > 0 && execution.at.running > 0) {
            execution.at.running--;
            wastedMicros += now - execution.startedAt;
            startQueued(execution.at);
        }
        execution.at.queue.remove(execution);
    }

    /** Starts queued attempts while the worker has free slots. */
    private void startQueued(Machine m) {
        while (!m.hanging && m.running < m.slots && !m.queue.isEmpty()) {
            Execution execution = m.queue.poll();
            m.running++;
            execution.startedAt = now;
            double cores = m.slots * capacityFraction(m.worker, now, settings);
            long runMicros = (long) (execution.work / m.speed / Math.min(1, cores / m.running));
            schedule(
                    now + NETWORK_DELAY_MICROS,
                    () -> unlessCancelled(
                            execution, () -> execution.node.module.started(now, execution.request, execution.attempt)));
            schedule(now + runMicros, () -> {
                if (execution.stopped) {
                    return;
                }
                execution.startedAt = 0;
                m.running--;
                m.busyTime += runMicros;
                m.served++;
                wastedMicros += execution.cancelled ? runMicros : 0;
                double free = m.slots - m.running;
                startQueued(m);
                schedule(
                        now + NETWORK_DELAY_MICROS,
                        () -> unlessCancelled(execution, () -> {
                            execution.cancelled = true;
                            long responseMicros = now - execution.node.arrived.get(execution.request);
                            int servedInTime = responseMicros < execution.work * 2 + 100_000 ? 1 : 0;
                            inTime += servedInTime;
                            inTimeByClass[execution.node.classes.get(execution.request)] += servedInTime;
                            execution.node.module.ended(
                                    now, execution.request, execution.attempt, Outcome.SERVED, true, free, free);
                        }));
            });
        }
    }

    private static void unlessCancelled(Execution execution, Runnable action) {
        if (!execution.cancelled) {
            action.run();
        }
    }
}
