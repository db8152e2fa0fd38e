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
 * Hosts the decision module: keeps requests and attempts, carries out the module's actions and ensures that each
 * request gets exactly one final response in time. Independent of any wire protocol. Runs entirely on the loop's
 * thread.
 */
public final class Core implements Dispatcher.Actions {
    private static final Logger LOG = Logger.getLogger(Core.class.getName());

    /** A client that gives less than this part of its class's time says nothing of a worker by its end. */
    private static final int SHORT_WAIT_SHARE = 2;

    private final Loop loop;
    private final Settings settings;
    private final Dispatcher module;
    private final Runnable subscribe;
    private final SiblingProcesses siblings;
    private final SlotTable<Request> requests = new SlotTable<>();
    /** Client-given ids of the open requests. */
    private final Set<String> openIds = new HashSet<>();

    private final UnsafeJobMemory unsafeJobs;

    private final SlotTable<Attempt> attempts = new SlotTable<>();
    private final Map<Long, WorkerPort> ports = new HashMap<>();
    /** Workers that registered with this node themselves and therefore are not part of discovery's list. */
    private final Map<Long, Worker> registeredWorkers = new HashMap<>();
    /** Workers in service according to the latest report of discovery, operators or the workers themselves. */
    private final Set<Long> inService = new HashSet<>();

    private long lastNow;
    private final JobStatistics statistics;
    private int openCount;
    private long answerDeadline = Long.MAX_VALUE;
    private Runnable whenIdle;
    private Consumer<byte[]> peerSender = message -> {};
    private BooleanSupplier descriptorShortage = () -> false;
    private AdmissionControl admissionControl = (now, jobClass, tenant) -> 0;
    private final ThrottledWarnings warnings;
    private final PortGuard portGuard;

    /** Creates a core for a process without sibling processes. */
    public Core(Loop loop, Settings settings, long seed, Runnable subscribe) {
        this(loop, settings, seed, subscribe, SiblingProcesses.none());
    }

    /** @param subscribe starts a subscription to the worker list, whose results go to {@link #updateWorkers} */
    public Core(Loop loop, Settings settings, long seed, Runnable subscribe, SiblingProcesses siblings) {
        this(loop, settings, subscribe, siblings, (now, core) -> new Choice(settings, seed, now, core));
    }

    /** @param moduleFactory creates the decision module from the present time and its actions */
    Core(
            Loop loop,
            Settings settings,
            Runnable subscribe,
            SiblingProcesses siblings,
            BiFunction<Long, Dispatcher.Actions, Dispatcher> moduleFactory) {
        this.siblings = siblings;
        unsafeJobs = new UnsafeJobMemory(siblings);
        this.loop = loop;
        this.settings = settings;
        this.subscribe = subscribe;
        statistics = new JobStatistics(settings.classes().size());
        warnings = new ThrottledWarnings(loop, LOG, "jobs refused");
        portGuard = new PortGuard(loop);
        this.module = moduleFactory.apply(now(), this);
    }

    // ---- events from outside ----

    /**
     * Whether a request of this id is open in any process of this node. Workers tell requests apart by the
     * client-given ids alone, so a second request with the id of an open one, from any client, must be rejected until
     * the first one has its response.
     */
    public boolean isOpen(String id) {
        return openIds.contains(id) || siblings.isOpenElsewhere(id);
    }

    /**
     * What became of an earlier job of this id that must not run twice; null if there was none, as far as is known.
     * Such a job must not be submitted again.
     */
    public PastOutcome pastOutcome(String id) {
        return unsafeJobs.outcome(id);
    }

    /** Submits a request whose id is not open and has no past outcome; returns its handle. */
    public long submit(ResponseHandler handler, JobSpec job, RequestOptions options) {
        long now = now();
        long expires = Math.min(answerDeadline, options.arrivedAt() + options.timeLeft());
        JobClass jobClass = settings.classes().get(job.jobClass());
        Request request = new Request(handler, job, expires, jobClass);
        request.hasShortWait = options.timeLeft() < jobClass.deadline() / SHORT_WAIT_SHARE;
        request.takenAt = now;
        request.handle = requests.add(request);
        openCount++;
        openIds.add(job.id());
        siblings.requestOpened(job.id());
        boolean noDescriptors = descriptorShortage.getAsBoolean();
        long retryAfter = noDescriptors || expires <= now
                ? 0
                : admissionControl.admissionDelay(now, job.jobClass(), options.tenant());
        if (expires <= now || noDescriptors || retryAfter > 0) {
            // Without a file descriptor for a worker connection the request would only wait until it expires.
            if (noDescriptors) {
                warnings.add("no descriptors left for workers", "request " + job.id());
            }
            conclude(request);
            statistics.countRefused(job.jobClass());
            handler.refused(noDescriptors ? settings.maxRetryAfter() : Math.min(retryAfter, settings.maxRetryAfter()));
            releaseIfDone(request);
            return request.handle;
        }
        request.deadline = loop.at(expires, () -> expire(request));
        // The module treats a request with less time than usual as a late retry and gives up on it. Therefore it gets
        // the shorter time only for a marked retry; the core itself enforces the client's own time limit.
        long clientWait = options.retry() ? options.timeLeft() : Math.max(options.timeLeft(), jobClass.deadline());
        module.request(
                now,
                request.handle,
                job.jobClass(),
                options.tenant(),
                options.key(),
                clientWait,
                options.slots(),
                options.memory(),
                request.effect,
                options.workEstimate(),
                options.possibleRetry());
        return request.handle;
    }

    /** Handles a client that disconnected. Returns whether the job may have run or may still run. */
    public boolean withdraw(long handle) {
        Request request = requests.get(handle);
        if (request == null || request.concluded) {
            return false;
        }
        conclude(request);
        module.withdrawn(now(), handle);
        releaseIfDone(request);
        return !provenNeverRun(request);
    }

    /** Applies the worker list, or changes to it, as discovery reported it. */
    public void updateWorkers(ListKind kind, List<Worker> listed, Map<Long, ? extends WorkerPort> addresses) {
        ports.putAll(addresses);
        List<Worker> workers = new ArrayList<>(listed);
        if (kind == ListKind.WHOLE || kind == ListKind.CACHED) {
            workers.addAll(registeredWorkers.values());
        }
        applyWorkerList(kind, workers);
    }

    private void applyWorkerList(ListKind kind, List<Worker> workers) {
        module.workers(now(), kind, workers);
        // A draining worker may have finished a job since its state was first reported, so its connection may be idle
        // only now. Workers out of service are therefore notified at each report.
        Set<Long> affected = new HashSet<>(inService);
        if (kind == ListKind.WHOLE || kind == ListKind.CACHED) {
            inService.clear();
        }
        for (Worker worker : workers) {
            if (worker.state() == WorkerState.READY) {
                inService.add(worker.id());
            } else {
                inService.remove(worker.id());
                affected.add(worker.id());
            }
        }
        for (long worker : affected) {
            if (!inService.contains(worker)) {
                portGuard.outOfService(ports.get(worker));
            }
        }
    }

    /** The only place that decides whether an attempt's first byte may be written now. */
    boolean tryBegin(Attempt attempt) {
        long now = now();
        HoldReason reason = holdReason(attempt, now);
        attempt.writeStartedAt = reason == null ? now : 0;
        if (reason != null) {
            statistics.countHeldBack(reason);
            LOG.log(Level.FINE, "attempt {0} no {1} at {2} is held back: {3}", new Object[] {
                attempt.requestId(), attempt.number, attempt.port, reason
            });
        }
        return reason == null;
    }

    /** Returns the reason to withhold an attempt now, or null if it may start. */
    private HoldReason holdReason(Attempt attempt, long now) {
        Request request = attempt.request;
        if (request.concluded || attempts.get(attempt.handle) == null) {
            return HoldReason.OVER;
        } else if (request.handler.clientLeft()) {
            return HoldReason.CLIENT_LEFT;
        } else if (!inService.contains(attempt.workerId)) {
            return HoldReason.WORKER_OUT_OF_SERVICE;
        } else if (!request.mayBegin(attempt, settings.classes().get(request.job.jobClass()), now)) {
            return HoldReason.MAY_HAVE_RUN;
        }
        return null;
    }

    /** Adds or updates a worker that registered with this node itself. */
    public void updateRegisteredWorker(Worker worker, WorkerPort port) {
        if (worker.state() == WorkerState.GONE) {
            registeredWorkers.remove(worker.id());
        } else {
            registeredWorkers.put(worker.id(), worker);
            ports.put(worker.id(), port);
        }
        applyWorkerList(ListKind.CHANGES, List.of(worker));
        if (worker.state() == WorkerState.GONE) {
            ports.remove(worker.id());
        }
    }

    /**
     * Sets the latest time at which requests submitted from now on are answered, even if their clients wait longer.
     */
    public void setAnswerDeadline(long deadline) {
        answerDeadline = deadline;
    }

    /** Calls back once no request is open; new requests may still arrive before that. */
    public void whenIdle(Runnable callback) {
        whenIdle = callback;
        notifyIfIdle();
    }

    public int openRequests() {
        return openCount;
    }

    /**
     * Counts a job that a frontend rejected without submitting it. Returns how long its client may be asked to wait
     * before a retry.
     */
    public long countTurnedAway(int jobClass) {
        statistics.countRefused(jobClass);
        return settings.maxRetryAfter();
    }

    /** Calls of worker ports that ended with an exception, since the start of the process. */
    public long portFaults() {
        return portGuard.faults();
    }

    /** Counters since the start of the process. */
    public JobStatistics statistics() {
        return statistics;
    }

    /** What the decision module has learned, for a process that replaces this one. */
    public LearnedState learned() {
        return module.learned(now());
    }

    /** Initializes the decision module with what the module of another process has learned. */
    public void restoreLearned(LearnedState learned) {
        module.recall(now(), learned);
    }

    /** Sets the check for a shortage of file descriptors; while it returns true no job is accepted. */
    public void setDescriptorShortage(BooleanSupplier shortage) {
        descriptorShortage = shortage;
    }

    /** Sets the admission control for all jobs, including those that the node itself submits. */
    public void setAdmissionControl(AdmissionControl control) {
        admissionControl = control;
    }

    /** Sets the function that broadcasts messages to all other nodes. */
    public void setPeerSender(Consumer<byte[]> sender) {
        peerSender = sender;
    }

    /** Passes on a message of another node, given by its number. */
    public void receivedFromPeer(int node, byte[] message) {
        module.heard(now(), node, message);
    }

    /** Forgets a worker that has been gone for long; returns false while an attempt on it is still open. */
    public boolean tryForget(long worker) {
        WorkerPort port = ports.get(worker);
        boolean[] inUse = {false};
        attempts.forEach(attempt -> inUse[0] |= attempt.port == port);
        if (!inUse[0]) {
            ports.remove(worker);
        }
        return !inUse[0];
    }

    /** Whether the module currently sends nothing new to a worker. */
    public boolean avoids(long worker) {
        return module.avoids(now(), worker);
    }

    // ---- progress of attempts ----

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
            logAttempt(attempt, outcome);
        }
        request.openAttempts--;
        attempt.neverRan |= outcome.neverRan;
        // The response is sent before the module is updated, so that the client does not wait for bookkeeping.
        if (outcome == Outcome.SERVED && !request.concluded) {
            conclude(request);
            JobContract contract = request.job.contract();
            if (contract == null || contract.acceptsResult(result)) {
                statistics.countServed(request.job.jobClass());
                unsafeJobs.served(request.job.id());
                request.handler.served(result);
            } else {
                // The job has run, so a response that violates the contract must not cause a retry.
                statistics.countFailed(request.job.jobClass());
                request.handler.failed();
            }
        }
        module.ended(
                now(), request.handle, attempt.number, outcome, request.concluded, load.freeSlots(), load.freeMemory());
        releaseIfDone(request);
    }

    /** Logs one line per attempt, with times in milliseconds, to show where the time of a job is spent. */
    private void logAttempt(Attempt attempt, Outcome outcome) {
        Request request = attempt.request;
        long now = now();
        long start = attempt.startedAt > 0 ? attempt.startedAt : now;
        LOG.log(
                Level.FINE,
                "attempt {0} class {1} no {2} at {3}: {4} held {5} waited {6} ran {7} left {8}",
                new Object[] {
                    request.job.id(),
                    request.job.jobClass(),
                    attempt.number,
                    attempt.port,
                    outcome,
                    (attempt.sentAt - request.takenAt) / 1_000,
                    (start - attempt.sentAt) / 1_000,
                    (now - start) / 1_000,
                    (request.expiresAt - now) / 1_000
                });
    }

    /**
     * Fails a job that no worker can accept. A retry would count as a failure against one worker after the other. The
     * module sees an attempt that was cancelled.
     */
    void invalidJob(Attempt attempt) {
        if (attempts.get(attempt.handle) != null && !attempt.request.concluded) {
            conclude(attempt.request);
            statistics.countFailed(attempt.request.job.jobClass());
            attempt.request.handler.failed();
        }
        ended(attempt, Outcome.CANCELLED, null, Load.NONE);
    }

    /**
     * Handles the end of the client's waiting time: open attempts end as timed out, upon which the module gives the
     * final response. If it still holds the request, the core answers, since the client waits no longer.
     */
    private void expire(Request request) {
        for (Attempt attempt : List.copyOf(request.attempts)) {
            if (attempts.get(attempt.handle) != null) {
                boolean neverRan = portGuard.abort(attempt);
                ended(attempt, expiryOutcome(request, neverRan), null, Load.NONE);
            }
        }
        if (!request.concluded) {
            conclude(request);
            module.withdrawn(now(), request.handle);
            refuseOrFail(request, settings.maxRetryAfter());
        }
    }

    /**
     * The outcome of an attempt that the end of the client's time has ended. The module takes a failed connection and a
     * timeout for signs of a worker in trouble and sends it nothing for a while. A client that gives little time must
     * not bring that about: ports report connections that do not come up by themselves.
     */
    private static Outcome expiryOutcome(Request request, boolean neverRan) {
        if (neverRan) {
            return Outcome.NOT_SENT;
        }
        return request.hasShortWait ? Outcome.CANCELLED : Outcome.TIMEOUT;
    }

    /** Marks the request as having its final response. */
    private void conclude(Request request) {
        request.concluded = true;
        loop.cancel(request.deadline);
        openIds.remove(request.job.id());
        siblings.requestClosed(request.job.id());
        openCount--;
        if (whenIdle != null) {
            loop.execute(this::notifyIfIdle);
        }
    }

    private void notifyIfIdle() {
        if (whenIdle != null && openCount == 0) {
            Runnable callback = whenIdle;
            whenIdle = null;
            callback.run();
        }
    }

    private void releaseIfDone(Request request) {
        boolean done = request.concluded && request.openAttempts == 0 && requests.remove(request.handle) != null;
        if (done && request.effect == Dispatcher.Effect.UNSAFE && provenNeverRun(request)) {
            unsafeJobs.neverRan(request.job.id());
        }
        if (done && request.job.contract() != null) {
            request.job.contract().release();
        }
    }

    private long now() {
        // The module's clock must not go backwards, not even by the difference between the clocks of two threads.
        lastNow = Math.max(lastNow, loop.now());
        return lastNow;
    }

    // ---- actions of the decision module ----

    @Override
    public void send(long handle, long worker) {
        Request request = requests.get(handle);
        if (request == null || request.concluded) {
            LOG.log(Level.SEVERE, "the module sent request {0}, which is over; not sent", handle);
            return;
        }
        boolean allowed = request.mayBeSent(settings.classes().get(request.job.jobClass()));
        Attempt attempt = new Attempt(this, request, request.attempts.size(), worker, ports.get(worker));
        request.attempts.add(attempt);
        request.openAttempts++;
        attempt.handle = attempts.add(attempt);
        if (!allowed) {
            LOG.log(Level.SEVERE, "the module sent request {0} again, which may have run; not sent", request.job.id());
            // The outcome is reported in a separate event because the module is in the middle of a call.
            loop.execute(() -> ended(attempt, Outcome.NOT_SENT, null, Load.NONE));
            return;
        }
        if (!admissionControl.mayAttempt(attempt.number == 0)) {
            // The module must still see an outcome: if the attempt did not count, it would be tried at each worker in
            // turn, without end.
            loop.execute(() -> ended(attempt, Outcome.NOT_SENT, null, Load.NONE));
            return;
        }
        if (request.effect == Dispatcher.Effect.UNSAFE) {
            unsafeJobs.handedOut(request.job.id());
        }
        attempt.sentAt = now();
        if (!portGuard.start(attempt)) {
            attempt.neverRan = portGuard.abort(attempt);
            loop.execute(() -> invalidJob(attempt));
        }
    }

    @Override
    public void cancel(long handle, int number) {
        Request request = requests.get(handle);
        if (request != null && number < request.attempts.size()) {
            Attempt attempt = request.attempts.get(number);
            if (attempts.get(attempt.handle) != null) {
                attempt.neverRan = portGuard.abort(attempt);
                // The outcome is reported in a separate event because the module is in the middle of a call.
                loop.execute(() -> ended(attempt, Outcome.CANCELLED, null, Load.NONE));
            }
        }
    }

    @Override
    public void refuse(long handle, long retryAfter) {
        Request request = requests.get(handle);
        if (request == null || request.concluded) {
            return;
        }
        if (!mayRefuse(request)) {
            LOG.log(Level.SEVERE, "the module refused request {0}, which may have run; failed", request.job.id());
        }
        conclude(request);
        refuseOrFail(request, retryAfter);
    }

    /** Refuses a request if that is allowed, otherwise fails it. */
    private void refuseOrFail(Request request, long retryAfter) {
        if (mayRefuse(request)) {
            statistics.countRefused(request.job.jobClass());
            request.handler.refused(retryAfter);
        } else {
            statistics.countFailed(request.job.jobClass());
            request.handler.failed();
        }
        releaseIfDone(request);
    }

    private boolean mayRefuse(Request request) {
        JobClass jobClass = settings.classes().get(request.job.jobClass());
        return provenNeverRun(request)
                || request.effect == Dispatcher.Effect.SAFE
                || request.effect == Dispatcher.Effect.KEYED && jobClass.group() == Dispatcher.Group.ALL;
    }

    private boolean provenNeverRun(Request request) {
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
        if (request != null && !request.concluded) {
            conclude(request);
            statistics.countFailed(request.job.jobClass());
            request.handler.failed();
            releaseIfDone(request);
        }
    }

    @Override
    public void timerAt(long deadline) {
        loop.at(deadline, () -> module.timer(now()));
    }

    @Override
    public void tell(byte[] message) {
        peerSender.accept(message);
    }

    @Override
    public void probe(long worker) {
        WorkerPort port = ports.get(worker);
        if (port != null) {
            // The answer is reported in a separate event because the module is in the middle of a call.
            portGuard.probe(
                    port,
                    load -> loop.execute(() -> module.probed(now(), worker, load.freeSlots(), load.freeMemory())));
        }
    }

    @Override
    public void watchList() {
        subscribe.run();
    }
}
