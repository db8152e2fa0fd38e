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
 * Checks the rules of the platform as properties of the real core and decision module together, on a simulated clock.
 * Each run executes random events from a fixed seed: arrivals, worker lists with draining and removed workers,
 * starts, ends, hangs, clients that disconnect, a process that is killed and restarted with its cached list, valid
 * and corrupted messages of other nodes, and probes that are answered, rejected or ignored. Runs use one fixed
 * deployment and random ones. Every action is checked from outside: one final response within the client's time, none
 * after the client disconnected, no repeat of a job that must not run twice, nothing new on a worker 500 ms after it
 * was reported as draining, and each refusal immediate and with a time for the retry.
 */
public class CoreRulesProperties {
    private static final long STEP_MICROS = 20_000;
    private static final long DRAIN_GRACE_MICROS = 500_000;
    private static final List<JobClass> CLASSES = List.of(
            new JobClass(100_000, 2, 1_500_000, 1, 0.3, Effect.SAFE, Group.ALL, 0, -1),
            new JobClass(100_000, 2, 1_500_000, 3, 0, Effect.UNSAFE, Group.ALL, 0, -1),
            new JobClass(100_000, 2, 1_500_000, 2, 0, Effect.KEYED, Group.ZONE, 400_000, -1));
    private static final Settings FIXED_DEPLOYMENT = new Settings(
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

    /** State of a job when its client disconnected or its time ended. */
    enum Stage {
        HELD,
        CONNECTING,
        HANDED,
        RUNNING
    }

    /** The test's clock; the loop of each process counts from its own start. */
    private final long[] nanos = {0};

    private final List<Throwable> errors = new ArrayList<>();
    private final Map<Long, FakeWorker> workers = new HashMap<>();
    private final List<ClientJob> jobs = new ArrayList<>();
    /** Jobs of the current process that have no response and whose client is still connected. */
    private final List<ClientJob> open = new ArrayList<>();

    private Loop loop;
    private final Map<Stage, Integer> stages = new EnumMap<>(Stage.class);
    private Core core;
    private Settings settings;
    private List<JobClass> classes;
    /** The last message that the node sent to its peers. */
    private byte[] lastPeerMessage;

    @DataProvider
    public static Object[][] seeds() {
        return LongStream.rangeClosed(1, 24).mapToObj(s -> new Object[] {s}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void rulesHoldOverRandomEvents(long seed) {
        run(seed, FIXED_DEPLOYMENT);
        for (Stage stage : Stage.values()) {
            assertTrue(stages.getOrDefault(stage, 0) > 0, "no job ended while " + stage);
        }
    }

    /** No rule may depend on the settings of one deployment. */
    @Test(dataProvider = "seeds")
    public void rulesHoldInRandomDeployments(long seed) {
        for (int i = 0; i < 3; i++) {
            run(100 * seed + i, Deployments.draw(new SplittableRandom(100 * seed + i)));
        }
    }

    private void run(long seed, Settings deployment) {
        settings = deployment;
        classes = deployment.classes();
        workers.clear();
        jobs.clear();
        open.clear();
        stages.clear();
        nanos[0] = 0;
        lastPeerMessage = null;
        SplittableRandom random = new SplittableRandom(seed);
        for (long id = 1; id <= 8; id++) {
            workers.put(id, new FakeWorker(id));
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
                case 7 -> receivePeerMessage(random);
                default -> progressAttempt(random);
            }
            advance(random.nextLong(STEP_MICROS));
        }
        for (int i = 0; i < 200; i++) {
            advance(STEP_MICROS);
        }
        assertEquals(errors, List.of());
        for (ClientJob job : jobs) {
            assertTrue(job.disconnected || job.answers.size() == 1, job + " has " + job.answers);
        }
    }

    /** Delivers a peer message: the node's last one with another process id, a corrupted one, or random bytes. */
    private void receivePeerMessage(SplittableRandom random) {
        byte[] message = lastPeerMessage == null ? new byte[random.nextInt(300)] : lastPeerMessage.clone();
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
        loop = new Loop(errors::add, () -> nanos[0]);
        core = new Core(loop, settings, seed, () -> {});
        core.setPeerSender(message -> {
            assertTrue(
                    settings.loadSources().peers() && message.length <= 256,
                    "message is too long or peer messages are disabled");
            lastPeerMessage = message;
        });
        List<Worker> listed = workers.values().stream().map(FakeWorker::entry).toList();
        core.updateWorkers(ListKind.CACHED, listed, workers);
    }

    /** Kills the process: its clients lose their connections, and workers continue what they have received. */
    private void kill() {
        open.forEach(job -> job.disconnected = true);
        open.clear();
        workers.values().forEach(worker -> worker.attempts.clear());
    }

    private void arrive(SplittableRandom random) {
        ClientJob job = new ClientJob(jobs.size(), random.nextInt(classes.size()));
        jobs.add(job);
        open.add(job);
        long timeLeft = random.nextInt(30) == 0 ? 0 : 200_000 + random.nextLong(1_300_000);
        job.expiresAt = now() + timeLeft;
        job.handle = core.submit(
                job,
                new JobSpec("j" + job.number, job.jobClass, null, "k" + job.number, null, new byte[0]),
                new RequestOptions(
                        loop.now(),
                        timeLeft,
                        random.nextInt(9) == 0,
                        random.nextInt(5) - 1,
                        0,
                        1,
                        0,
                        random.nextInt(3) * random.nextLong(1_000_000),
                        random.nextInt(9) == 0));
    }

    private void drainOrDrop(SplittableRandom random) {
        FakeWorker worker = workers.get(1 + random.nextLong(workers.size()));
        worker.state = random.nextInt(3) == 0
                ? WorkerState.READY
                : random.nextBoolean() ? WorkerState.DRAINING : WorkerState.GONE;
        if (worker.state == WorkerState.READY) {
            worker.outOfServiceSince = Long.MAX_VALUE;
            worker.startedAt = loop.now();
        } else {
            worker.outOfServiceSince = Math.min(worker.outOfServiceSince, now());
        }
        core.updateWorkers(ListKind.CHANGES, List.of(worker.entry()), Map.of());
    }

    private void leave(SplittableRandom random) {
        if (jobs.isEmpty()) {
            return;
        }
        ClientJob job = jobs.get(jobs.size() - 1 - random.nextInt(Math.min(jobs.size(), 30)));
        if (!open.remove(job)) {
            return;
        }
        stages.merge(job.stage(), 1, Integer::sum);
        job.disconnected = true;
        core.withdraw(job.handle);
    }

    /** Lets one attempt of a worker be received, start or end; occasionally the worker hangs for a while. */
    private void progressAttempt(SplittableRandom random) {
        FakeWorker worker = workers.get(1 + random.nextLong(workers.size()));
        if (worker.attempts.isEmpty() || worker.hangs) {
            worker.hangs = random.nextInt(200) == 0;
            return;
        }
        TrackedAttempt tried = worker.attempts.get(random.nextInt(worker.attempts.size()));
        if (!tried.received) {
            if (random.nextInt(6) == 0) {
                worker.end(tried, random.nextBoolean() ? Outcome.CONNECT_FAILED : Outcome.REJECTED);
            } else {
                tried.received = true;
            }
        } else if (!tried.started) {
            tried.started = true;
            tried.attempt.started();
        } else {
            worker.end(
                    tried,
                    random.nextInt(5) > 0 ? Outcome.SERVED : random.nextBoolean() ? Outcome.ERROR : Outcome.RESET);
        }
    }

    /** Advances the clock in steps of a millisecond and runs what is due at each step. */
    private void advance(long micros) {
        for (long until = now() + micros; now() < until; loop.runDue()) {
            nanos[0] += Math.min(1_000, until - now()) * 1_000;
            for (ClientJob job : open) {
                if (job.expiresAt <= now() && job.expiredAt == null) {
                    job.expiredAt = job.stage();
                }
            }
        }
        for (ClientJob job : open) {
            assertTrue(job.expiresAt > now() - 1_000, job + " has no answer 1 ms after its time");
        }
    }

    private static boolean sameGroup(JobClass of, Worker a, Worker b) {
        return switch (of.group()) {
            case ALL -> true;
            case ZONE -> a.zone() == b.zone();
            case CELL -> a.zone() == b.zone() && a.cell() == b.cell();
        };
    }

    /** A job as seen by its client. */
    private final class ClientJob implements ResponseHandler {
        final int number;
        final int jobClass;
        final List<String> answers = new ArrayList<>();
        final List<TrackedAttempt> attempts = new ArrayList<>();
        long handle;
        /** Microseconds of the test's clock. */
        long expiresAt;

        boolean disconnected;
        /** State at the end of its time, before the core aborted open attempts. */
        Stage expiredAt;

        ClientJob(int number, int jobClass) {
            this.number = number;
            this.jobClass = jobClass;
        }

        Stage stage() {
            Stage furthest = Stage.HELD;
            for (TrackedAttempt tried : attempts) {
                if (!tried.ended) {
                    Stage current = tried.started ? Stage.RUNNING : tried.received ? Stage.HANDED : Stage.CONNECTING;
                    furthest = current.compareTo(furthest) > 0 ? current : furthest;
                }
            }
            return furthest;
        }

        private void answer(String answer) {
            assertFalse(disconnected, this + " was answered after its client left");
            assertTrue(now() <= expiresAt + 1_000, this + " was answered " + (now() - expiresAt) + " us late");
            answers.add(answer);
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
                    this + " was refused with a retry time of " + waitMicros + " us");
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

    /** One attempt as seen by its worker. */
    private static final class TrackedAttempt {
        final Attempt attempt;
        final FakeWorker worker;
        /** Microseconds of the test's clock. */
        final long startedAt;
        /** Set once the worker has received the job; from then on it may run. */
        boolean received;

        boolean started;
        boolean ended;

        TrackedAttempt(Attempt attempt, FakeWorker worker, long startedAt) {
            this.attempt = attempt;
            this.worker = worker;
            this.startedAt = startedAt;
        }
    }

    /** A worker with its last reported state and its open attempts. */
    private final class FakeWorker implements WorkerPort {
        final long id;
        final List<TrackedAttempt> attempts = new ArrayList<>();
        WorkerState state = WorkerState.READY;
        long outOfServiceSince = Long.MAX_VALUE;
        long startedAt;
        boolean hangs;

        FakeWorker(long id) {
            this.id = id;
        }

        Worker entry() {
            return new Worker(id, 0, (int) (id % 2), (int) (id % 4), state, startedAt);
        }

        @Override
        public void probe(Consumer<Load> callback) {
            assertTrue(settings.loadSources().probes(), "probe sent although probes are disabled");
            callback.accept(id % 3 == 0 ? Load.NONE : new Load(id % 5, Double.NaN));
        }

        @Override
        public void start(Attempt attempt, JobSpec spec, long expiresAt) {
            ClientJob job = jobs.get(Integer.parseInt(spec.id().substring(1)));
            assertTrue(job.answers.isEmpty() && !job.disconnected, job + " was sent after its end");
            assertTrue(
                    outOfServiceSince == Long.MAX_VALUE || now() <= outOfServiceSince + DRAIN_GRACE_MICROS,
                    job + " was sent to worker " + id + ", reported as " + state + " " + (now() - outOfServiceSince)
                            + " us ago");
            JobClass of = classes.get(job.jobClass);
            for (TrackedAttempt earlier : job.attempts) {
                if (earlier.received) {
                    assertTrue(of.effect() != Effect.UNSAFE, job + " may have run and was sent again");
                    assertTrue(
                            of.effect() == Effect.SAFE
                                    || sameGroup(of, earlier.worker.entry(), entry())
                                            && now() < earlier.startedAt + of.dedupWindow(),
                            job + " was repeated outside its group or deduplication window");
                }
            }
            TrackedAttempt tried = new TrackedAttempt(attempt, this, now());
            job.attempts.add(tried);
            attempts.add(tried);
        }

        @Override
        public boolean abort(Attempt attempt) {
            for (TrackedAttempt tried : attempts) {
                if (tried.attempt == attempt) {
                    attempts.remove(tried);
                    tried.ended = true;
                    return !tried.received;
                }
            }
            return false;
        }

        void end(TrackedAttempt tried, Outcome outcome) {
            attempts.remove(tried);
            tried.ended = true;
            tried.attempt.ended(outcome, new byte[0], new Load(1, Double.NaN));
        }
    }
}
