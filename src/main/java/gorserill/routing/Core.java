package gorserill.routing;

import barrowflow.Choice;
import barrowflow.Dispatcher;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.LearnedState;
import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Outcome;
import barrowflow.Dispatcher.Settings;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.common.Loop;
import gorserill.common.SiblingProcesses;
import gorserill.common.SlotTable;
import gorserill.common.ThrottledWarnings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The host of the decision module: it keeps requests and attempts, carries out what the module asks for and
 * sees to it that each request gets exactly one final answer in time. It knows no wire. All of it runs on the
 * loop's thread.
 */
public final class Core implements Dispatcher.Actions {
    private static final Logger LOG = Logger.getLogger(Core.class.getName());

    private final Loop loop;
    private final Settings settings;
    private final Dispatcher module;
    private final Runnable watch;
    private final SiblingProcesses siblings;
    private final SlotTable<Request> requests = new SlotTable<>();
    /** The clients' own ids of the open requests. */
    private final Set<String> openIds = new HashSet<>();

    private final SlotTable<Attempt> attempts = new SlotTable<>();
    private final Map<Long, WorkerPort> ports = new HashMap<>();
    /** Workers that came to the node by themselves; a list from discovery does not know them. */
    private final Map<Long, Worker> guests = new HashMap<>();
    /** Workers in service, by what discovery, operators and the workers themselves said last. */
    private final Set<Long> inService = new HashSet<>();

    private long lastNow;
    private final JobStatistics statistics;
    private int open;
    private long setAnswerDeadline = Long.MAX_VALUE;
    private Runnable whenIdle;
    private Consumer<byte[]> setPeerSender = message -> {};
    private BooleanSupplier setDescriptorShortage = () -> false;
    private AdmissionControl setAdmissionControl = (now, jobClass, tenant) -> 0;
    private final ThrottledWarnings complaints;

    /** The same for a process that has no siblings. */
    public Core(Loop loop, Settings settings, long seed, Runnable watch) {
        this(loop, settings, seed, watch, SiblingProcesses.none());
    }

    /** @param watch starts a subscription to the worker list; whatever comes of it goes to {@link #updateWorkers} */
    public Core(Loop loop, Settings settings, long seed, Runnable watch, SiblingProcesses siblings) {
        this(loop, settings, watch, siblings, (now, core) -> new Choice(settings, seed, now, core));
    }

    /** @param module makes the decision module, told the present time */
    Core(
            Loop loop,
            Settings settings,
            Runnable watch,
            SiblingProcesses siblings,
            BiFunction<Long, Dispatcher.Actions, Dispatcher> module) {
        this.siblings = siblings;
        this.loop = loop;
        this.settings = settings;
        this.watch = watch;
        statistics = new JobStatistics(settings.classes().size());
        complaints = new ThrottledWarnings(loop, LOG, "jobs refused");
        this.module = module.apply(now(), this);
    }

    // ---- what comes in ----

    /**
     * Whether a request of this id is open at this node, whichever process has it. Danger: workers tell
     * requests apart by the clients' ids alone, so a front must turn away a second one, whoever sends it,
     * until the first has its answer.
     */
    public boolean isOpen(String id) {
        return openIds.contains(id) || siblings.isOpenElsewhere(id);
    }

    /** Takes a request whose id is not open; gives its handle. */
    public long submit(ResponseHandler front, JobSpec work, RequestOptions ask) {
        long now = now();
        long expires = Math.min(setAnswerDeadline, ask.arrivedAt() + ask.timeLeft());
        JobClass of = settings.classes().get(work.jobClass());
        Request request = new Request(front, work, expires, of);
        request.takenAt = now;
        request.handle = requests.add(request);
        open++;
        openIds.add(work.id());
        siblings.requestOpened(work.id());
        boolean full = setDescriptorShortage.getAsBoolean();
        long wait = full || expires <= now ? 0 : setAdmissionControl.admissionDelay(now, work.jobClass(), ask.tenant());
        if (expires <= now || full || wait > 0) {
            // Danger: without a descriptor for a worker it would only wait for its time to run out.
            if (full) {
                complaints.add("no descriptors left for workers", "request " + work.id());
            }
            conclude(request);
            statistics.countRefused(work.jobClass());
            front.refused(full ? settings.maxRetryAfter() : Math.min(wait, settings.maxRetryAfter()));
            release(request);
            return request.handle;
        }
        request.deadline = loop.at(expires, () -> expire(request));
        // Danger: the module takes whoever waits for less than others for one who asks again late, and gives
        // up on the job. Only a client that says so does; the core itself keeps the client's own time.
        long told = ask.retry() ? ask.timeLeft() : Math.max(ask.timeLeft(), of.deadline());
        module.request(
                now,
                request.handle,
                work.jobClass(),
                ask.tenant(),
                ask.key(),
                told,
                ask.slots(),
                ask.memory(),
                request.effect,
                ask.workEstimate(),
                ask.possibleRetry());
        return request.handle;
    }

    /** The client has left. Gives whether the job may have run, or may yet. */
    public boolean withdraw(long handle) {
        Request request = requests.get(handle);
        if (request == null || request.over) {
            return false;
        }
        conclude(request);
        module.withdrawn(now(), handle);
        release(request);
        return !provedNeverRun(request);
    }

    /** The worker list, or changes to it, as discovery tells them. */
    public void updateWorkers(ListKind kind, List<Worker> entries, Map<Long, ? extends WorkerPort> addresses) {
        ports.putAll(addresses);
        List<Worker> all = new ArrayList<>(entries);
        if (kind == ListKind.WHOLE || kind == ListKind.CACHED) {
            all.addAll(guests.values());
        }
        tell(kind, all);
    }

    private void tell(ListKind kind, List<Worker> all) {
        module.workers(now(), kind, all);
        // Danger: one that drains may have ended a job since it was told of first; its connection rests now.
        Set<Long> named = new HashSet<>(inService);
        if (kind == ListKind.WHOLE || kind == ListKind.CACHED) {
            inService.clear();
        }
        for (Worker worker : all) {
            if (worker.state() == WorkerState.READY) {
                inService.add(worker.id());
            } else {
                inService.remove(worker.id());
                named.add(worker.id());
            }
        }
        for (long worker : named) {
            if (!inService.contains(worker)) {
                ports.get(worker).outOfService();
            }
        }
    }

    /** The one place that decides whether an attempt's first byte may go out now. */
    boolean tryBegin(Attempt attempt) {
        long now = now();
        HoldReason reason = holdReason(attempt, now);
        attempt.begunAt = reason == null ? now : 0;
        if (reason != null) {
            statistics.countHeldBack(reason);
            LOG.log(Level.FINE, "attempt {0} no {1} at {2} is held back: {3}", new Object[] {
                attempt.requestId(), attempt.number, attempt.port, reason
            });
        }
        return reason == null;
    }

    /** Gives what forbids an attempt to begin now; null where nothing does. */
    private HoldReason holdReason(Attempt attempt, long now) {
        Request request = attempt.request;
        if (request.over || attempts.get(attempt.handle) == null) {
            return HoldReason.OVER;
        } else if (request.front.clientLeft()) {
            return HoldReason.CLIENT_LEFT;
        } else if (!inService.contains(attempt.worker)) {
            return HoldReason.WORKER_OUT_OF_SERVICE;
        } else if (!request.mayBegin(attempt, settings.classes().get(request.work.jobClass()), now)) {
            return HoldReason.MAY_HAVE_RUN;
        }
        return null;
    }

    /** A worker that came by itself, or a change of its state. */
    public void updateRegisteredWorker(Worker worker, WorkerPort port) {
        if (worker.state() == WorkerState.GONE) {
            guests.remove(worker.id());
        } else {
            guests.put(worker.id(), worker);
            ports.put(worker.id(), port);
        }
        tell(ListKind.CHANGES, List.of(worker));
        if (worker.state() == WorkerState.GONE) {
            ports.remove(worker.id());
        }
    }

    /** Whatever is taken from now on gets its answer until then, however long its client would wait. */
    public void setAnswerDeadline(long time) {
        setAnswerDeadline = time;
    }

    /** Calls back once no request is open; new ones may still come before that. */
    public void whenIdle(Runnable then) {
        whenIdle = then;
        tellIdle();
    }

    public int openRequests() {
        return open;
    }

    /** A front turned a job away without asking. Gives how long its client may be told to stay away. */
    public long countTurnedAway(int jobClass) {
        statistics.countRefused(jobClass);
        return settings.maxRetryAfter();
    }

    /** What was counted since the start. */
    public JobStatistics statistics() {
        return statistics;
    }

    /** What the module has learned, for a process that takes this one's place. */
    public LearnedState learned() {
        return module.learned(now());
    }

    /** The module begins with what another process's has learned. */
    public void restoreLearned(LearnedState learned) {
        module.recall(now(), learned);
    }

    /** Says whether connections are so many that none may be left for workers; then no job is taken. */
    public void setDescriptorShortage(BooleanSupplier so) {
        setDescriptorShortage = so;
    }

    /** Asks there for each job whether it may be taken; jobs of the node's own included. */
    public void setAdmissionControl(AdmissionControl its) {
        setAdmissionControl = its;
    }

    /** Where messages to all other nodes go. */
    public void setPeerSender(Consumer<byte[]> tell) {
        setPeerSender = tell;
    }

    /** A message of another node, by its number. */
    public void receivedFromPeer(int node, byte[] message) {
        module.heard(now(), node, message);
    }

    /** A worker was gone for long and is forgotten; false while an attempt at it is still out. */
    public boolean tryForget(long worker) {
        WorkerPort port = ports.get(worker);
        boolean[] used = {false};
        attempts.forEach(attempt -> used[0] |= attempt.port == port);
        if (!used[0]) {
            ports.remove(worker);
        }
        return !used[0];
    }

    /** Whether nothing new goes to a worker at present. */
    public boolean avoids(long worker) {
        return module.avoids(now(), worker);
    }

    // ---- what becomes of attempts ----

    void opening(Attempt attempt) {
        module.opening(attempt.request.handle, attempt.number);
    }

    void written() {
        statistics.countAttempt();
    }

    void started(Attempt attempt) {
        if (attempts.get(attempt.handle) != null && !attempt.started) {
            attempt.started = true;
            attempt.startedAt = now();
            module.started(now(), attempt.request.handle, attempt.number);
        }
    }

    void ended(Attempt attempt, Outcome outcome, byte[] result, Load load) {
        if (attempts.remove(attempt.handle) == null) {
            return;
        }
        Request request = attempt.request;
        if (LOG.isLoggable(Level.FINE)) {
            tellAttempt(attempt, outcome);
        }
        request.out--;
        attempt.neverRan |= outcome.neverRan;
        // The answer goes out before the module learns of it: it waits for nobody's bookkeeping.
        if (outcome == Outcome.SERVED && !request.over) {
            conclude(request);
            JobContract bond = request.work.contract();
            if (bond == null || bond.acceptsResult(result)) {
                statistics.countServed(request.work.jobClass());
                request.front.served(result);
            } else {
                // Danger: the job has run; a bad answer is never a reason to run it again.
                statistics.countFailed(request.work.jobClass());
                request.front.failed();
            }
        }
        module.ended(now(), request.handle, attempt.number, outcome, request.over, load.freeSlots(), load.freeMemory());
        release(request);
    }

    /** What staff count to see where a fleet's time goes: one line an attempt, milliseconds. */
    private void tellAttempt(Attempt attempt, Outcome outcome) {
        Request request = attempt.request;
        long now = now();
        long start = attempt.startedAt > 0 ? attempt.startedAt : now;
        LOG.log(
                Level.FINE,
                "attempt {0} class {1} no {2} at {3}: {4} held {5} waited {6} ran {7} left {8}",
                new Object[] {
                    request.work.id(),
                    request.work.jobClass(),
                    attempt.number,
                    attempt.port,
                    outcome,
                    (attempt.sentAt - request.takenAt) / 1_000,
                    (start - attempt.sentAt) / 1_000,
                    (now - start) / 1_000,
                    (request.expires - now) / 1_000
                });
    }

    /**
     * Danger: tried again, what no worker can use would be held against one after the other. It is over, and
     * the module hears of it as of an attempt that it took back.
     */
    void invalidJob(Attempt attempt) {
        if (attempts.get(attempt.handle) != null && !attempt.request.over) {
            conclude(attempt.request);
            statistics.countFailed(attempt.request.work.jobClass());
            attempt.request.front.failed();
        }
        ended(attempt, Outcome.CANCELLED, null, Load.NONE);
    }

    /**
     * The client's time is up: attempts still out have timed out, and the module gives the final answer. What
     * it would still hold gets one here: the client waits no longer, whatever the module hopes for.
     */
    private void expire(Request request) {
        for (Attempt attempt : List.copyOf(request.attempts)) {
            if (attempts.get(attempt.handle) != null) {
                boolean never = attempt.port.abort(attempt);
                ended(attempt, never ? Outcome.CONNECT_FAILED : Outcome.TIMEOUT, null, Load.NONE);
            }
        }
        if (!request.over) {
            conclude(request);
            module.withdrawn(now(), request.handle);
            giveUp(request, settings.maxRetryAfter());
        }
    }

    /** From here on the request has its one final answer. */
    private void conclude(Request request) {
        request.over = true;
        loop.cancel(request.deadline);
        openIds.remove(request.work.id());
        siblings.requestClosed(request.work.id());
        open--;
        if (whenIdle != null) {
            loop.execute(this::tellIdle);
        }
    }

    private void tellIdle() {
        if (whenIdle != null && open == 0) {
            Runnable then = whenIdle;
            whenIdle = null;
            then.run();
        }
    }

    private void release(Request request) {
        if (request.over
                && request.out == 0
                && requests.remove(request.handle) != null
                && request.work.contract() != null) {
            request.work.contract().release();
        }
    }

    private long now() {
        // The module's clock must not go back, not even by what two threads' clocks may differ.
        lastNow = Math.max(lastNow, loop.now());
        return lastNow;
    }

    // ---- what the module asks for ----

    @Override
    public void send(long handle, long worker) {
        Request request = requests.get(handle);
        if (request == null || request.over) {
            LOG.log(Level.SEVERE, "the module sent request {0}, which is over; not sent", handle);
            return;
        }
        boolean lawful = request.mayBeSent(settings.classes().get(request.work.jobClass()));
        Attempt attempt = new Attempt(this, request, request.attempts.size(), worker, ports.get(worker));
        request.attempts.add(attempt);
        request.out++;
        attempt.handle = attempts.add(attempt);
        if (!lawful) {
            LOG.log(Level.SEVERE, "the module sent request {0} again, which may have run; not sent", request.work.id());
            // Its outcome comes as an event of its own: the module is in the middle of a call.
            loop.execute(() -> ended(attempt, Outcome.NOT_SENT, null, Load.NONE));
            return;
        }
        if (!setAdmissionControl.mayAttempt(attempt.number == 0)) {
            // Danger: left out of the module's count, it would be tried at each worker in turn, for ever.
            loop.execute(() -> ended(attempt, Outcome.NOT_SENT, null, Load.NONE));
            return;
        }
        attempt.sentAt = now();
        attempt.port.start(attempt, request.work, request.expires);
    }

    @Override
    public void cancel(long handle, int number) {
        Request request = requests.get(handle);
        if (request != null && number < request.attempts.size()) {
            Attempt attempt = request.attempts.get(number);
            if (attempts.get(attempt.handle) != null) {
                attempt.neverRan = attempt.port.abort(attempt);
                // Its outcome comes as an event of its own: the module is in the middle of a call.
                loop.execute(() -> ended(attempt, Outcome.CANCELLED, null, Load.NONE));
            }
        }
    }

    @Override
    public void refuse(long handle, long wait) {
        Request request = requests.get(handle);
        if (request == null || request.over) {
            return;
        }
        if (!mayRefuse(request)) {
            LOG.log(Level.SEVERE, "the module refused request {0}, which may have run; failed", request.work.id());
        }
        conclude(request);
        giveUp(request, wait);
    }

    /** Refuses a request where that is lawful, else fails it. */
    private void giveUp(Request request, long wait) {
        if (mayRefuse(request)) {
            statistics.countRefused(request.work.jobClass());
            request.front.refused(wait);
        } else {
            statistics.countFailed(request.work.jobClass());
            request.front.failed();
        }
        release(request);
    }

    private boolean mayRefuse(Request request) {
        JobClass of = settings.classes().get(request.work.jobClass());
        return provedNeverRun(request)
                || request.effect == Dispatcher.Effect.SAFE
                || request.effect == Dispatcher.Effect.KEYED && of.group() == Dispatcher.Group.ALL;
    }

    private boolean provedNeverRun(Request request) {
        for (Attempt attempt : request.attempts) {
            if (!attempt.neverRan) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void fail(long handle) {
        Request request = requests.get(handle);
        if (request != null && !request.over) {
            conclude(request);
            statistics.countFailed(request.work.jobClass());
            request.front.failed();
            release(request);
        }
    }

    @Override
    public void timerAt(long time) {
        loop.at(time, () -> module.timer(now()));
    }

    @Override
    public void tell(byte[] message) {
        setPeerSender.accept(message);
    }

    @Override
    public void probe(long worker) {
        WorkerPort port = ports.get(worker);
        if (port != null) {
            // Its answer comes as an event of its own: the module is in the middle of a call.
            port.probe(load -> loop.execute(() -> module.probed(now(), worker, load.freeSlots(), load.freeMemory())));
        }
    }

    @Override
    public void watchList() {
        watch.run();
    }
}
