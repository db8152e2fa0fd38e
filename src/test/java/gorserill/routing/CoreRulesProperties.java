package gorserill.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import barrowflow.Dispatcher.Cold;
import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Outcome;
import barrowflow.Dispatcher.Settings;
import barrowflow.Dispatcher.Tenant;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.common.Loop;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The brief's rules as properties of the real core and module together, on a clock of the test's own: runs of
 * events drawn from fixed seeds (arrivals, lists that drain and drop workers, starts, ends, hangs, clients
 * that leave, a process that is killed and started again with its last list, messages of other nodes sound
 * and spoilt, probes that are answered, refused or not at all), under one known deployment and under others
 * drawn from seeds. Every action is checked from outside: one final answer by the client's time, none after
 * a client left, nothing that must not run twice run twice, nothing new to a worker 500 ms after it was told
 * that it drains, and each give-up told at once,
 * with when to come back.
 */
public class CoreRulesProperties {
    private static final long STEP = 20_000;
    private static final long DRAIN_GRACE = 500_000;
    private static final List<JobClass> CLASSES = List.of(
            new JobClass(100_000, 2, 1_500_000, 1, 0.3, Effect.SAFE, Group.ALL, 0, -1),
            new JobClass(100_000, 2, 1_500_000, 3, 0, Effect.UNSAFE, Group.ALL, 0, -1),
            new JobClass(100_000, 2, 1_500_000, 2, 0, Effect.KEYED, Group.ZONE, 400_000, -1));
    private static final Settings KNOWN = new Settings(
            2,
            0,
            CLASSES,
            List.of(new Tenant(0), new Tenant(4)),
            1,
            new Cold(0.3, 3_000_000, 3, 1_000_000),
            4,
            true,
            900_000,
            false,
            true,
            0,
            true);

    /** Where a job stood when its client left or its time ran out. */
    enum Stage {
        HELD,
        CONNECTING,
        HANDED,
        RUNNING
    }

    /** The test's clock; each process's loop counts from its own start on it. */
    private final long[] nanos = {0};

    private final List<Throwable> faults = new ArrayList<>();
    private final Map<Long, Port> ports = new HashMap<>();
    private final List<Job> jobs = new ArrayList<>();
    /** Jobs of the process that runs now that have neither an answer nor a client that left. */
    private final List<Job> open = new ArrayList<>();

    private Loop loop;
    private final Map<Stage, Integer> stages = new EnumMap<>(Stage.class);
    private Core core;
    private Settings settings;
    private List<JobClass> classes;
    /** The last message that the node sent its peers. */
    private byte[] told;

    @DataProvider
    public static Object[][] seeds() {
        return LongStream.rangeClosed(1, 24).mapToObj(s -> new Object[] {s}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void everyRuleHoldsOverARunOfEvents(long seed) {
        run(seed, KNOWN);
        for (Stage stage : Stage.values()) {
            assertTrue(stages.getOrDefault(stage, 0) > 0, "no job ended while " + stage);
        }
    }

    /** Nothing may hold by luck of one deployment's settings. */
    @Test(dataProvider = "seeds")
    public void everyRuleHoldsInDeploymentsThatNobodyHasSeen(long seed) {
        for (int i = 0; i < 3; i++) {
            run(100 * seed + i, Deployments.draw(new SplittableRandom(100 * seed + i)));
        }
    }

    private void run(long seed, Settings under) {
        settings = under;
        classes = under.classes();
        ports.clear();
        jobs.clear();
        open.clear();
        stages.clear();
        nanos[0] = 0;
        told = null;
        SplittableRandom random = new SplittableRandom(seed);
        for (long id = 1; id <= 8; id++) {
            ports.put(id, new Port(id));
        }
        restart(seed);
        for (int step = 0; step < 4_000; step++) {
            switch (random.nextInt(15)) {
                case 0, 1, 2, 3 -> arrive(random);
                case 4 -> drainOrDrop(random);
                case 5 -> leave(random);
                case 6 -> {
                    if (random.nextInt(40) == 0) {
                        kill();
                        restart(seed * 1_000 + step);
                    }
                }
                case 7 -> hear(random);
                default -> work(random);
            }
            pass(random.nextLong(STEP));
        }
        for (int i = 0; i < 200; i++) {
            pass(STEP);
        }
        assertEquals(faults, List.of());
        for (Job job : jobs) {
            assertTrue(job.gone || job.answers.size() == 1, job + " has " + job.answers);
        }
    }

    /** A message of another node: this one's last under another life, spoilt, or no message at all. */
    private void hear(SplittableRandom random) {
        byte[] message = told == null ? new byte[random.nextInt(300)] : told.clone();
        if (message.length > 4) {
            message[1 + random.nextInt(3)]++;
        }
        if (message.length > 0 && random.nextBoolean()) {
            message[random.nextInt(message.length)] = (byte) random.nextInt();
        }
        core.receivedFromPeer(random.nextInt(8) - 1, message);
    }

    /** Microseconds of the test's clock. */
    private long now() {
        return nanos[0] / 1_000;
    }

    private void restart(long seed) {
        loop = new Loop(faults::add, () -> nanos[0]);
        core = new Core(loop, settings, seed, () -> {});
        core.setPeerSender(message -> {
            assertTrue(settings.loadSources().peers() && message.length <= 256, "a message that may not be sent");
            told = message;
        });
        List<Worker> all = ports.values().stream().map(Port::entry).toList();
        core.updateWorkers(ListKind.CACHED, all, ports);
    }

    /** The process ends at once: its clients lose their connections, workers run on what they have. */
    private void kill() {
        open.forEach(job -> job.gone = true);
        open.clear();
        ports.values().forEach(p -> p.out.clear());
    }

    private void arrive(SplittableRandom random) {
        Job job = new Job(jobs.size(), random.nextInt(classes.size()));
        jobs.add(job);
        open.add(job);
        long left = random.nextInt(30) == 0 ? 0 : 200_000 + random.nextLong(1_300_000);
        job.expires = now() + left;
        job.handle = core.submit(
                job,
                new JobSpec("j" + job.number, job.jobClass, null, "k" + job.number, null, new byte[0]),
                new RequestOptions(
                        loop.now(),
                        left,
                        random.nextInt(9) == 0,
                        random.nextInt(5) - 1,
                        0,
                        1,
                        0,
                        random.nextInt(3) * random.nextLong(1_000_000),
                        random.nextInt(9) == 0));
    }

    private void drainOrDrop(SplittableRandom random) {
        Port port = ports.get(1 + random.nextLong(ports.size()));
        port.state = random.nextInt(3) == 0
                ? WorkerState.READY
                : random.nextBoolean() ? WorkerState.DRAINING : WorkerState.GONE;
        if (port.state == WorkerState.READY) {
            port.toldAt = Long.MAX_VALUE;
            port.since = loop.now();
        } else {
            port.toldAt = Math.min(port.toldAt, now());
        }
        core.updateWorkers(ListKind.CHANGES, List.of(port.entry()), Map.of());
    }

    private void leave(SplittableRandom random) {
        if (jobs.isEmpty()) {
            return;
        }
        Job job = jobs.get(jobs.size() - 1 - random.nextInt(Math.min(jobs.size(), 30)));
        if (!open.remove(job)) {
            return;
        }
        stages.merge(job.stage(), 1, Integer::sum);
        job.gone = true;
        core.withdraw(job.handle);
    }

    /** A worker hands over, starts or ends one of its jobs; now and then it says nothing for a while. */
    private void work(SplittableRandom random) {
        Port port = ports.get(1 + random.nextLong(ports.size()));
        if (port.out.isEmpty() || port.hangs) {
            port.hangs = random.nextInt(200) == 0;
            return;
        }
        Try t = port.out.get(random.nextInt(port.out.size()));
        if (!t.handed) {
            if (random.nextInt(6) == 0) {
                port.end(t, random.nextBoolean() ? Outcome.CONNECT_FAILED : Outcome.REJECTED);
            } else {
                t.handed = true;
            }
        } else if (!t.started) {
            t.started = true;
            t.attempt.started();
        } else {
            port.end(t, random.nextInt(5) > 0 ? Outcome.SERVED : random.nextBoolean() ? Outcome.ERROR : Outcome.RESET);
        }
    }

    /** Time passes by the millisecond; what the loop has due runs at each. */
    private void pass(long micros) {
        for (long until = now() + micros; now() < until; loop.runDue()) {
            nanos[0] += Math.min(1_000, until - now()) * 1_000;
            for (Job job : open) {
                if (job.expires <= now() && job.expiredAt == null) {
                    job.expiredAt = job.stage();
                }
            }
        }
        for (Job job : open) {
            assertTrue(job.expires > now() - 1_000, job + " has no answer 1 ms after its time");
        }
    }

    private static boolean sameGroup(JobClass of, Worker a, Worker b) {
        return switch (of.group()) {
            case ALL -> true;
            case ZONE -> a.zone() == b.zone();
            case CELL -> a.zone() == b.zone() && a.cell() == b.cell();
        };
    }

    /** A job as its client sees it. */
    private final class Job implements ResponseHandler {
        final int number;
        final int jobClass;
        final List<String> answers = new ArrayList<>();
        final List<Try> tries = new ArrayList<>();
        long handle;
        /** Microseconds of the test's clock. */
        long expires;

        boolean gone;
        /** Where it stood when its time ran out, before the core called off what was out. */
        Stage expiredAt;

        Job(int number, int jobClass) {
            this.number = number;
            this.jobClass = jobClass;
        }

        Stage stage() {
            Stage at = Stage.HELD;
            for (Try t : tries) {
                if (!t.ended) {
                    Stage its = t.started ? Stage.RUNNING : t.handed ? Stage.HANDED : Stage.CONNECTING;
                    at = its.compareTo(at) > 0 ? its : at;
                }
            }
            return at;
        }

        private void answer(String what) {
            assertFalse(gone, this + " was answered after its client left");
            assertTrue(now() <= expires + 1_000, this + " was answered " + (now() - expires) + " us late");
            answers.add(what);
            assertEquals(answers.size(), 1, this + " has more than one answer: " + answers);
            open.remove(this);
            if (expiredAt != null) {
                stages.merge(expiredAt, 1, Integer::sum);
            }
        }

        @Override
        public void served(byte[] result) {
            answer("served");
        }

        @Override
        public void refused(long waitMicros) {
            assertTrue(
                    waitMicros >= 0 && waitMicros <= settings.maxRetryAfter(),
                    this + " was refused with a time to come back of " + waitMicros + " us");
            answer("refused");
        }

        @Override
        public void failed() {
            answer("failed");
        }

        @Override
        public String toString() {
            return "job " + number + " of class " + jobClass;
        }
    }

    /** One attempt as a worker sees it. */
    private static final class Try {
        final Attempt attempt;
        final Port port;
        /** Microseconds of the test's clock. */
        final long at;
        /** The worker has the job: from here on it may run, whatever comes of it. */
        boolean handed;

        boolean started;
        boolean ended;

        Try(Attempt attempt, Port port, long at) {
            this.attempt = attempt;
            this.port = port;
            this.at = at;
        }
    }

    /** A worker: what it was told last, and what it holds. */
    private final class Port implements WorkerPort {
        final long id;
        final List<Try> out = new ArrayList<>();
        WorkerState state = WorkerState.READY;
        long toldAt = Long.MAX_VALUE;
        long since;
        boolean hangs;

        Port(long id) {
            this.id = id;
        }

        Worker entry() {
            return new Worker(id, 0, (int) (id % 2), (int) (id % 4), state, since);
        }

        @Override
        public void probe(Consumer<Load> answer) {
            assertTrue(settings.loadSources().probes(), "a probe that may not be sent");
            answer.accept(id % 3 == 0 ? Load.NONE : new Load(id % 5, Double.NaN));
        }

        @Override
        public void start(Attempt attempt, JobSpec work, long expires) {
            Job job = jobs.get(Integer.parseInt(work.id().substring(1)));
            assertTrue(job.answers.isEmpty() && !job.gone, job + " was sent on after its end");
            assertTrue(
                    toldAt == Long.MAX_VALUE || now() <= toldAt + DRAIN_GRACE,
                    job + " was sent to worker " + id + ", told " + state + " " + (now() - toldAt) + " us ago");
            JobClass of = classes.get(job.jobClass);
            for (Try before : job.tries) {
                if (before.handed) {
                    assertTrue(of.effect() != Effect.UNSAFE, job + " may have run and was sent again");
                    assertTrue(
                            of.effect() == Effect.SAFE
                                    || sameGroup(of, before.port.entry(), entry())
                                            && now() < before.at + of.dedupWindow(),
                            job + " left its first group or window");
                }
            }
            Try t = new Try(attempt, this, now());
            job.tries.add(t);
            out.add(t);
        }

        @Override
        public boolean abort(Attempt attempt) {
            for (Try t : out) {
                if (t.attempt == attempt) {
                    out.remove(t);
                    t.ended = true;
                    return !t.handed;
                }
            }
            return false;
        }

        void end(Try t, Outcome outcome) {
            out.remove(t);
            t.ended = true;
            t.attempt.ended(outcome, new byte[0], new Load(1, Double.NaN));
        }
    }
}
