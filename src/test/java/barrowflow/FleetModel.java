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
 * Many dispatchers over many workers on a virtual clock: what one alone does not show. Workers have slots and
 * serve in order; a cold one has a part of its slots' speed. The same seed gives the same run.
 */
final class FleetModel {
    /** A worker's true figures: the dispatchers learn of them by their jobs alone. */
    static final class Machine {
        final Worker worker;
        final int slots;
        final double speed;
        final Deque<Run> queue = new ArrayDeque<>();
        /** When each attempt came, its work, and its class. */
        final List<long[]> arrivals = new ArrayList<>();

        int running;
        /** It begins nothing. */
        boolean hangs;

        double busyTime;
        int served;

        Machine(Worker worker, int slots, double speed) {
            this.worker = worker;
            this.slots = slots;
            this.speed = speed;
        }
    }

    /** An attempt at a machine. */
    static final class Run {
        final Node node;
        final long request;
        final int attempt;
        final long work;
        final Machine at;
        long startedAt;
        /** Nobody waits for it any more; the machine has it no longer. */
        boolean calledOff;

        boolean stopped;

        Run(Node node, long request, int attempt, long work, Machine at) {
            this.node = node;
            this.request = request;
            this.attempt = attempt;
            this.work = work;
            this.at = at;
        }
    }

    private record Event(long at, long order, Runnable what) {}

    /** Its actions take effect at once, its jobs reach workers after the way there. */
    final class Node implements Dispatcher.Actions {
        final Choice module;
        final Map<Long, Long> work = new HashMap<>();
        final Map<Long, Integer> attempts = new HashMap<>();
        final Map<Long, Long> arrived = new HashMap<>();
        final Map<Long, Integer> classes = new HashMap<>();
        final Map<String, Run> runs = new HashMap<>();
        int watches;

        Node(Settings settings, long seed) {
            module = new Choice(settings, seed, now, this);
        }

        void job(long id, int jobClass, long its) {
            offered++;
            offeredOf[jobClass]++;
            classes.put(id, jobClass);
            work.put(id, its);
            arrived.put(id, now);
            module.request(
                    now, id, jobClass, 0, 0, settings.classes().get(jobClass).deadline(), 1, 0);
        }

        @Override
        public void send(long request, long worker) {
            int attempt = attempts.merge(request, 1, Integer::sum) - 1;
            Machine m = machines.get(worker);
            Run run = new Run(this, request, attempt, work.get(request), m);
            runs.put(request + "/" + attempt, run);
            at(now + WAY, () -> {
                m.arrivals.add(new long[] {now, run.work, classes.getOrDefault(request, 0)});
                if (!run.stopped) {
                    m.queue.add(run);
                    begin(m);
                }
            });
        }

        @Override
        public void cancel(long request, int attempt) {
            Run run = runs.get(request + "/" + attempt);
            run.calledOff = true;
            at(now, () -> module.ended(now, request, attempt, Outcome.CANCELLED, false, Double.NaN, Double.NaN));
            if (cancelStops) {
                at(now + WAY, () -> stop(run));
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
            FleetModel.this.at(time, () -> module.timer(now));
        }

        @Override
        public void watchList() {
            watches++;
        }

        /** Every fifth message is lost; each of the others takes its own time to each of the other nodes. */
        @Override
        public void tell(byte[] message) {
            told += message.length;
            for (Node other : nodes) {
                if (other != this && random.nextInt(5) > 0) {
                    FleetModel.this.at(
                            now + 2_000 + random.nextLong(30_000),
                            () -> other.module.heard(now, nodes.indexOf(this), message));
                }
            }
        }
    }

    private static final long WAY = 1_000;

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
    int prompt;
    int refused;
    int failed;
    int told;
    /** What machines did for nobody, microseconds; in a world where a cancel stops work it is little. */
    long wasted;

    boolean cancelStops = true;
    /** Jobs of each class that ended in time, and that came. */
    final int[] promptOf = new int[4];

    final int[] offeredOf = new int[4];

    FleetModel(long seed) {
        random = new SplittableRandom(seed);
    }

    FleetModel machine(Worker worker, int slots, double speed) {
        machines.put(worker.id(), new Machine(worker, slots, speed));
        return this;
    }

    /** Dispatchers that hear of all the workers at once. */
    FleetModel nodes(int count, Settings settings) {
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

    /** One more machine, of which all dispatchers hear now. */
    void join(Worker worker, int slots, double speed) {
        machine(worker, slots, speed);
        for (Node node : nodes) {
            node.module.workers(now, ListKind.CHANGES, List.of(worker));
        }
    }

    void at(long time, Runnable what) {
        events.add(new Event(Math.max(time, now), order++, what));
    }

    /** Jobs of a class come to all nodes together, as many a second, with that work on average. */
    void traffic(int jobClass, double perSecond, long work, long span) {
        double gap = 1e6 / perSecond;
        for (double t = gap * random.nextDouble(); t < span; t += -gap * Math.log(1 - random.nextDouble())) {
            Node node = nodes.get(random.nextInt(nodes.size()));
            long its = Math.max(1_000, (long) (work * (0.5 + random.nextDouble())));
            at(now + (long) t, () -> {
                long id = nextId++;
                offered++;
                offeredOf[jobClass]++;
                node.classes.put(id, jobClass);
                node.work.put(id, its);
                node.arrived.put(id, now);
                node.module.request(now, id, jobClass, 0, 0, 5_000_000, 1, 0);
            });
        }
    }

    /**
     * The same from some time on, with work that is spread like that of real jobs (lognormal, by its
     * coefficient of variation) and the class's own deadline.
     */
    void spread(int jobClass, double perSecond, double work, double cv, long from, long span) {
        double sigma = Math.sqrt(Math.log(1 + cv * cv));
        for (double t = from; t < from + span; t += -1e6 / perSecond * Math.log(1 - random.nextDouble())) {
            Node node = nodes.get(random.nextInt(nodes.size()));
            double normal =
                    Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
            long its = Math.max(1_000, (long) (work * Math.exp(sigma * normal - sigma * sigma / 2)));
            at(now + (long) t, () -> node.job(nextId++, jobClass, its));
        }
    }

    /** Machines by turns begin nothing for so long, one after another. */
    void hangs(long each, long span) {
        List<Machine> all = machines.values().stream()
                .sorted((a, b) -> Long.compare(a.worker.id(), b.worker.id()))
                .toList();
        for (long t = 0; t < span; t += each) {
            Machine m = all.get(random.nextInt(all.size()));
            at(now + t, () -> m.hangs = true);
            at(now + t + each, () -> {
                m.hangs = false;
                begin(m);
            });
        }
    }

    void run(long span) {
        long end = now + span;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event next = events.poll();
            now = next.at;
            next.what.run();
        }
        now = end;
    }

    /** The part of its speed that a machine has now. */
    static double warmth(Worker worker, long now, Settings settings) {
        long since = worker.startedAt();
        double from = settings.coldStart().initialFraction();
        return since == 0 || now - since >= settings.coldStart().warmUp()
                ? 1
                : from + (1 - from) * (now - since) / settings.coldStart().warmUp();
    }

    private void stop(Run run) {
        run.stopped = true;
        if (run.startedAt > 0 && run.at.running > 0) {
            run.at.running--;
            wasted += now - run.startedAt;
            begin(run.at);
        }
        run.at.queue.remove(run);
    }

    private void begin(Machine m) {
        while (!m.hangs && m.running < m.slots && !m.queue.isEmpty()) {
            Run run = m.queue.poll();
            m.running++;
            run.startedAt = now;
            double cores = m.slots * warmth(m.worker, now, settings);
            long takes = (long) (run.work / m.speed / Math.min(1, cores / m.running));
            at(now + WAY, () -> unlessCalledOff(run, () -> run.node.module.started(now, run.request, run.attempt)));
            at(now + takes, () -> {
                if (run.stopped) {
                    return;
                }
                run.startedAt = 0;
                m.running--;
                m.busyTime += takes;
                m.served++;
                wasted += run.calledOff ? takes : 0;
                double free = m.slots - m.running;
                begin(m);
                at(
                        now + WAY,
                        () -> unlessCalledOff(run, () -> {
                            run.calledOff = true;
                            long took = now - run.node.arrived.get(run.request);
                            int inTime = took < run.work * 2 + 100_000 ? 1 : 0;
                            prompt += inTime;
                            promptOf[run.node.classes.get(run.request)] += inTime;
                            run.node.module.ended(now, run.request, run.attempt, Outcome.SERVED, true, free, free);
                        }));
            });
        }
    }

    private static void unlessCalledOff(Run run, Runnable what) {
        if (!run.calledOff) {
            what.run();
        }
    }
}
