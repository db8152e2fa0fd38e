package gorserill.protocol.faktory;

import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import com.fasterxml.jackson.databind.JsonNode;
import gorserill.common.Deadlines.Deadline;
import gorserill.common.Loop;
import gorserill.common.MemoryBudget;
import gorserill.common.ThrottledWarnings;
import gorserill.contract.Door;
import gorserill.contract.Terms;
import gorserill.contract.Versions.Admission;
import gorserill.protocol.ClientFrontend;
import gorserill.protocol.ContractGate;
import gorserill.protocol.IntakeMode;
import gorserill.protocol.JobClassInfo;
import gorserill.protocol.Tenants;
import gorserill.protocol.faktory.FaktoryCodec.FrameException;
import gorserill.routing.BodyFormat;
import gorserill.routing.Core;
import gorserill.routing.JobContract;
import gorserill.routing.JobSpec;
import gorserill.routing.PastOutcome;
import gorserill.routing.RequestOptions;
import gorserill.routing.ResponseHandler;
import gorserill.transport.Channel;
import gorserill.transport.ChannelListener;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Server side of the Faktory work protocol. Translates PUSH commands into requests to the {@link Core} and registers
 * each Faktory worker process as a worker. Jobs are not stored on disk, so the reply to a PUSH is sent only when the
 * outcome is final: +OK if the job was served, -ERR otherwise.
 */
public final class FaktoryFrontend implements ClientFrontend {
    private static final Logger LOG = Logger.getLogger(FaktoryFrontend.class.getName());
    private static final int PROTOCOL_VERSION = 2;
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** Maximum number of commands that one connection may pipeline. */
    private static final int MAX_QUEUED_COMMANDS = 64;
    /** Time limit for HELLO after the connection opens, and for the rest of a line after its first byte. */
    private static final long LINE_TIMEOUT_MICROS = 2_300_000;
    /** How long a connection stays open after its last reply, so that the client can read the reply. */
    private static final long LINGER_MICROS = 1_000_000;
    /** How long a FETCH waits for a job before it is answered with a null reply. */
    private static final long FETCH_TIMEOUT_MICROS = 2_000_000;
    /** A connection that sends nothing for this long is closed; the Faktory server has the same limit. */
    private static final long IDLE_TIMEOUT_MICROS = 60_000_000;
    /** First id of workers that register over Faktory; the range doesn't overlap with ids from discovery. */
    private static final long FIRST_WORKER_ID = 1L << 40;
    /** Faktory workers don't deduplicate jobs, so the dispatcher sees each of them as a separate zone. */
    private static final int FIRST_ZONE = 1 << 16;
    /** Machine kind of Faktory workers, which don't report one. */
    private static final int UNKNOWN_MACHINE_KIND = 255;

    private final Loop loop;
    private final Core core;
    private final Tenants tenants;
    private final long nodeSeed;
    private final ThrottledWarnings warnings;
    private final ThrottledWarnings workerWarnings;
    private final Predicate<String> isBanned;
    private final ContractGate gate;
    private FaktorySettings settings;
    private final SplittableRandom random;
    private final long startedAt;
    private final Set<Session> sessions = new HashSet<>();
    private final Map<String, RegisteredWorker> registeredWorkers = new HashMap<>();
    private long assignedWorkerIds;
    private long servedJobs;
    private long failedJobs;
    private long commandCount;
    private IntakeMode intake = IntakeMode.OPEN;
    private boolean shuttingDown;

    /** Returns whether a worker with this wid is connected. */
    public boolean hasWorker(String wid) {
        return registeredWorkers.containsKey(wid);
    }

    /** Updates the worker's state after an operator has taken it out of service or put it back. */
    public void banChanged(String wid) {
        RegisteredWorker registration = registeredWorkers.get(wid);
        if (registration != null) {
            publishState(registration);
        }
    }

    public int workerCount() {
        return registeredWorkers.size();
    }

    /** Number of workers to which the dispatcher currently sends no new jobs. */
    public int avoidedWorkerCount() {
        int avoided = 0;
        for (RegisteredWorker registration : registeredWorkers.values()) {
            avoided += core.avoids(registration.worker.id) ? 1 : 0;
        }
        return avoided;
    }

    /** A worker process and its open connections. */
    private static final class RegisteredWorker {
        final FaktoryWorker worker;
        final Set<Session> sessions = new HashSet<>();
        WorkerState state = WorkerState.READY;

        RegisteredWorker(FaktoryWorker worker) {
            this.worker = worker;
        }
    }

    /**
     * Creates the frontend; connections are added by {@link #accept}.
     *
     * @param settings the initial settings; {@link #reload} replaces them
     * @param gate validates jobs against the contract, if one is configured
     * @param seed makes the global ids of this node's workers differ from those of other nodes; also seeds the salts
     *     sent in HI
     * @param isBanned whether operators have taken the worker with this wid out of service
     */
    public FaktoryFrontend(
            Loop loop,
            Core core,
            FaktorySettings settings,
            Tenants tenants,
            ContractGate gate,
            long seed,
            Predicate<String> isBanned) {
        this.tenants = tenants;
        nodeSeed = seed;
        this.gate = gate;
        gate.replace(settings.contract());
        this.isBanned = isBanned;
        this.loop = loop;
        warnings = new ThrottledWarnings(loop, LOG, "faktory connections");
        workerWarnings = new ThrottledWarnings(loop, LOG, "faktory workers");
        this.core = core;
        this.settings = settings;
        random = new SplittableRandom(seed);
        startedAt = loop.now();
    }

    /** Applies new settings: bindings of queues and job types, the password and the contract. */
    public void reload(FaktorySettings newSettings) {
        settings = newSettings;
        gate.replace(newSettings.contract());
    }

    public ContractGate gate() {
        return gate;
    }

    /** Creates the listener for a newly accepted connection. */
    public ChannelListener accept() {
        return new Session();
    }

    @Override
    public void advertiseReady(boolean clients) {
        // The Faktory protocol has no message for readiness.
    }

    @Override
    public void setIntakeMode(IntakeMode mode) {
        intake = mode;
    }

    /** From now on, BEAT is answered with the state "terminate", and FETCH returns no more jobs. */
    @Override
    public void announceShutdown() {
        shuttingDown = true;
        for (Session session : List.copyOf(sessions)) {
            session.endFetch();
        }
    }

    /** Closes idle client connections. Worker connections stay open, because open jobs need them. */
    @Override
    public void closeIdle() {
        for (Session session : List.copyOf(sessions)) {
            if (session.pendingPush == null
                    && session.registration == null
                    && !session.ended
                    && session.queuedCommands.isEmpty()) {
                session.channel.closeIfIdle();
            }
        }
    }

    @Override
    public boolean hasNoClients() {
        return sessions.stream().allMatch(session -> session.registration != null);
    }

    /** Reports the worker's current state to the core. */
    private void publishState(RegisteredWorker registration) {
        FaktoryWorker worker = registration.worker;
        int zone = FIRST_ZONE + (int) (worker.id - FIRST_WORKER_ID);
        boolean takenOut = registration.state == WorkerState.READY && isBanned.test(worker.wid);
        WorkerState state = takenOut ? WorkerState.DRAINING : registration.state;
        // Every node numbers its Faktory workers from the same id, so the node's seed makes the global id unique.
        long globalId = nodeSeed ^ worker.id * 0x9e3779b97f4a7c15L;
        core.updateRegisteredWorker(new Worker(worker.id, UNKNOWN_MACHINE_KIND, zone, 0, state, 0, globalId), worker);
    }

    private static String refusal(long waitMicros) {
        return "refused: not run, try again in " + (waitMicros + 999) / 1_000 + " ms";
    }

    /** A connection of a client, a worker or a process that is both. Its commands are processed one at a time. */
    private final class Session implements ChannelListener, FaktoryWorker.Fetcher {
        private final Deque<FaktoryCodec.Line> queuedCommands = new ArrayDeque<>();
        private final PasswordChallenge challenge = new PasswordChallenge(Long.toHexString(random.nextLong()));
        private Channel channel;
        private boolean helloAccepted;
        private boolean ended;
        private RegisteredWorker registration;
        private Push pendingPush;
        private List<String> queues = List.of();
        private Deadline fetchTimeout;
        /** Closes the connection when it is idle, or at the end of the lingering period. */
        private Deadline closeTimeout;
        /** Time limit for HELLO, or for the rest of a partial line. */
        private Deadline lineTimeout;
        /** Memory held by the current command. */
        private MemoryBudget.Reservation reservation;

        @Override
        public void opened(Channel opened) {
            channel = opened;
            sessions.add(this);
            restartIdleTimeout();
            lineTimeout = loop.at(loop.now() + LINE_TIMEOUT_MICROS, () -> refuse("no whole HELLO in time", true));
            channel.write(Replies.simple(
                    "HI {\"v\":" + PROTOCOL_VERSION + (settings.password().isEmpty() ? "" : challenge.fields()) + "}"));
        }

        private void restartIdleTimeout() {
            loop.cancel(closeTimeout);
            closeTimeout = loop.at(loop.now() + IDLE_TIMEOUT_MICROS, () -> {
                if (pendingPush == null) {
                    LOG.log(Level.INFO, "faktory connection {0}: silent for a minute, closed", channel.tableIndex());
                    channel.close();
                } else {
                    restartIdleTimeout();
                }
            });
        }

        @Override
        @SuppressWarnings("unchecked")
        public void received(Object messages) {
            if (!ended) {
                restartIdleTimeout();
            }
            for (Object message : (List<Object>) messages) {
                if (message instanceof FaktoryCodec.Line line) {
                    enqueue(line);
                } else if (!ended && message == PARTIAL_MESSAGE) {
                    // Limits how long a slowly sent line can hold a connection. Before HELLO, the limit set when
                    // the connection opened stays in force.
                    if (helloAccepted && lineTimeout == null) {
                        lineTimeout =
                                loop.at(loop.now() + LINE_TIMEOUT_MICROS, () -> refuse("no whole line in time", true));
                    }
                } else if (!ended) {
                    refuse(((FrameException) message).getMessage(), true);
                }
            }
            processQueued();
        }

        private void enqueue(FaktoryCodec.Line line) {
            if (helloAccepted) {
                loop.cancel(lineTimeout);
                lineTimeout = null;
            }
            if (!ended && queuedCommands.size() < MAX_QUEUED_COMMANDS) {
                queuedCommands.add(line);
                return;
            }
            line.reservation().release();
            if (!ended) {
                refuse("more than " + MAX_QUEUED_COMMANDS + " commands without waiting for their replies", true);
            }
        }

        private void processQueued() {
            while (!ended && pendingPush == null && fetchTimeout == null && !queuedCommands.isEmpty()) {
                FaktoryCodec.Line next = queuedCommands.remove();
                String line = next.text();
                reservation = next.reservation();
                int space = line.indexOf(' ');
                commandCount++;
                try {
                    execute(
                            space < 0 ? line : line.substring(0, space),
                            space < 0 ? "" : line.substring(space + 1).trim());
                } catch (IOException e) {
                    refuse(
                            "malformed " + (space < 0 ? line : line.substring(0, space)) + ": "
                                    + e.getMessage().lines().findFirst().orElse(""),
                            false);
                } finally {
                    if (pendingPush == null) {
                        reservation.release();
                    }
                }
            }
            if (!ended && pendingPush == null && fetchTimeout == null && registration == null) {
                if (helloAccepted) {
                    channel.markIdle();
                } else {
                    channel.markUnproven();
                }
            }
        }

        private void execute(String verb, String rest) throws IOException {
            if (verb.equals("END")) {
                end();
            } else if (verb.equals("HELLO")) {
                hello(rest);
            } else if (!helloAccepted) {
                refuse("say HELLO first", true);
            } else if (verb.equals("PUSH")) {
                push(FaktoryJob.parse(rest), rest);
            } else if (verb.equals("INFO")) {
                channel.write(Replies.bulk(info()));
            } else if (!Set.of("FETCH", "ACK", "FAIL", "BEAT").contains(verb)) {
                refuse("unknown command " + verb, false);
            } else if (registration == null) {
                refuse(verb + " is for workers; HELLO told no wid", false);
            } else {
                workerCommand(verb, rest);
            }
        }

        private void workerCommand(String verb, String rest) throws IOException {
            if (verb.equals("FETCH")) {
                fetch(rest);
            } else if (verb.equals("BEAT")) {
                beat(rest);
            } else {
                String jid = FaktoryJob.textField(rest, "jid");
                if (jid == null) {
                    refuse(verb + " needs a jid", false);
                    return;
                }
                channel.write(Replies.OK);
                if (verb.equals("ACK")) {
                    registration.worker.ack(jid);
                } else {
                    workerWarnings.add("FAIL", "worker " + registration.worker.wid + " failed job " + jid);
                    registration.worker.fail(jid);
                }
            }
        }

        private void hello(String rest) throws IOException {
            String wid = FaktoryJob.textField(rest, "wid");
            String version = FaktoryJob.textField(rest, "v");
            if (helloAccepted) {
                refuse("HELLO was said before", false);
            } else if (version != null && !version.equals(Integer.toString(PROTOCOL_VERSION))) {
                refuse("protocol version " + version + " is not spoken here, " + PROTOCOL_VERSION + " is", true);
            } else if (!settings.password().isEmpty()
                    && !challenge.isAnsweredBy(FaktoryJob.textField(rest, "pwdhash"), settings.password())) {
                refuse("invalid password", true);
            } else {
                helloAccepted = true;
                loop.cancel(lineTimeout);
                lineTimeout = null;
                channel.write(Replies.OK);
                if (wid != null && !wid.isEmpty()) {
                    join(wid);
                }
            }
        }

        private void join(String wid) {
            registration = registeredWorkers.get(wid);
            if (registration == null) {
                registration = new RegisteredWorker(new FaktoryWorker(
                        loop, () -> settings, wid, FIRST_WORKER_ID + assignedWorkerIds++, workerWarnings));
                registeredWorkers.put(wid, registration);
                LOG.log(Level.INFO, "faktory worker {0} joined", wid);
                publishState(registration);
            }
            registration.sessions.add(this);
        }

        private void push(FaktoryJob job, String text) throws IOException {
            PastOutcome outcome = core.isOpen(job.jid()) ? null : core.pastOutcome(job.jid());
            if (outcome != null) {
                // The recorded outcome is the reply, even if the contract no longer accepts such a job.
                warnings.add("pushed again", "job " + job.jid() + " is not run again");
                channel.write(
                        outcome == PastOutcome.SERVED ? Replies.OK : Replies.error("failed: it may have run before"));
                return;
            }
            Admission admission = null;
            if (gate.hasContract()) {
                JsonNode unit = FaktoryJob.parseTree(text);
                admission = gate.admit(
                        true, contract -> Door.decide(contract, job.queue(), job.jobtype(), unit.get("custom"), unit));
                if (!admission.verdict().letIn()) {
                    refuse(admission.verdict().problem().line(), false);
                    return;
                }
            }
            JobClassInfo jobClass = settings.classOf(
                    job,
                    admission == null
                            ? null
                            : admission.verdict().operation().terms().className());
            String contractKey = admission == null ? null : admission.verdict().key();
            String key = contractKey == null ? job.idempotencyKey() : contractKey;
            if (jobClass == null) {
                refuse("neither queue " + job.queue() + " nor job type " + job.jobtype() + " is bound here", false);
            } else if (job.at() != null) {
                refuse("jobs for later are not kept here", false);
            } else if (jobClass.keyed() && key == null) {
                refuse("jobs of this class need custom.idempotency_key", false);
            } else if (intake == IntakeMode.CLOSED) {
                refuse(refusal(core.countTurnedAway(jobClass.index())), registration == null);
            } else if (core.isOpen(job.jid())) {
                refuse("job " + job.jid() + " is in progress", false);
            } else {
                submit(job, text, jobClass, key, admission);
            }
        }

        private void submit(FaktoryJob job, String text, JobClassInfo jobClass, String key, Admission admission) {
            Terms operationTerms =
                    admission == null ? null : admission.verdict().operation().terms();
            long maxMicros = operationTerms == null ? jobClass.deadline() : operationTerms.within(jobClass.deadline());
            long remainingMicros = job.remainingMs() < 0 ? maxMicros : Math.min(maxMicros, job.remainingMs() * 1_000);
            double slots = job.slots() >= 0 ? job.slots() : operationTerms == null ? 1 : operationTerms.usualSlots();
            JobContract jobContract = admission == null ? null : gate.bind(admission, job.jid());
            Push submitted = new Push(this, reservation);
            pendingPush = submitted;
            long handle = core.submit(
                    submitted,
                    new JobSpec(
                            job.jid(),
                            jobClass.index(),
                            null,
                            key,
                            FaktoryJob.MEDIA_TYPE,
                            text.getBytes(StandardCharsets.UTF_8),
                            jobContract,
                            null,
                            BodyFormat.WORK_UNIT),
                    new RequestOptions(
                            loop.now(),
                            remainingMicros,
                            false,
                            tenants.indexOf(job.tenant()),
                            0,
                            slots,
                            0,
                            job.estimateUs(),
                            false));
            submitted.handle = handle;
        }

        private void fetch(String rest) {
            queues = rest.isEmpty() ? List.of(FaktoryJob.DEFAULT_QUEUE) : List.of(rest.split(" +"));
            if (shuttingDown || registration.state != WorkerState.READY) {
                channel.write(Replies.NULL);
                return;
            }
            fetchTimeout = loop.at(loop.now() + FETCH_TIMEOUT_MICROS, this::endFetch);
            registration.worker.fetch(this);
        }

        void endFetch() {
            if (fetchTimeout != null) {
                loop.cancel(fetchTimeout);
                fetchTimeout = null;
                registration.worker.cancelFetch(this);
                channel.write(Replies.NULL);
                processQueued();
            }
        }

        @Override
        public List<String> queues() {
            return queues;
        }

        @Override
        public void runAfterReads(Runnable task) {
            channel.runAfterReads(task);
        }

        @Override
        public BooleanSupplier send(byte[] unit, Runnable onWritten) {
            loop.cancel(fetchTimeout);
            fetchTimeout = null;
            Channel.PendingWrite pendingWrite = channel.write(Replies.bulk(unit), onWritten);
            loop.execute(this::processQueued);
            return pendingWrite::isWritten;
        }

        private void beat(String rest) throws IOException {
            String wid = FaktoryJob.textField(rest, "wid");
            String state = FaktoryJob.textField(rest, "current_state");
            if (!registration.worker.wid.equals(wid)) {
                refuse("BEAT of another worker, " + wid, false);
                return;
            }
            boolean quiet = "quiet".equals(state) || "terminate".equals(state);
            if (quiet && registration.state == WorkerState.READY) {
                LOG.log(Level.INFO, "faktory worker {0} is {1}: nothing new goes there", new Object[] {wid, state});
                registration.state = WorkerState.DRAINING;
                publishState(registration);
            }
            channel.write(shuttingDown ? Replies.TERMINATE : Replies.OK);
        }

        private byte[] info() {
            return new ServerInfo(
                            core.openRequests(),
                            servedJobs,
                            failedJobs,
                            settings.queues().size(),
                            sessions.size(),
                            registeredWorkers.size(),
                            commandCount,
                            (loop.now() - startedAt) / MICROS_PER_SECOND)
                    .toJson();
        }

        private void refuse(String reason, boolean close) {
            warnings.add("-ERR", "connection " + channel.tableIndex() + ": " + reason);
            if (close) {
                // The error reply is sent at once, also in place of the reply to a pending PUSH.
                abandonPush();
                discardQueued();
                replyAndClose(Replies.error(reason));
            } else {
                channel.write(Replies.error(reason));
            }
        }

        /**
         * Sends a final reply and closes the connection after {@link #LINGER_MICROS}. Closing at once with unread
         * input would reset the connection, and the client could lose the reply.
         */
        private void replyAndClose(byte[] reply) {
            ended = true;
            loop.cancel(lineTimeout);
            loop.cancel(closeTimeout);
            channel.writeAndLinger(reply);
            closeTimeout = loop.at(loop.now() + LINGER_MICROS, channel::close);
        }

        private void end() {
            ended = true;
            channel.close();
        }

        private void abandonPush() {
            if (pendingPush != null) {
                pendingPush.abandon();
                pendingPush = null;
            }
        }

        private void discardQueued() {
            queuedCommands.forEach(line -> line.reservation().release());
            queuedCommands.clear();
        }

        @Override
        public void closed() {
            ended = true;
            sessions.remove(this);
            loop.cancel(closeTimeout);
            loop.cancel(lineTimeout);
            loop.cancel(fetchTimeout);
            abandonPush();
            discardQueued();
            if (registration != null) {
                registration.worker.connectionLost(this);
                registration.sessions.remove(this);
                if (registration.sessions.isEmpty()) {
                    registeredWorkers.remove(registration.worker.wid);
                    LOG.log(Level.INFO, "faktory worker {0} left", registration.worker.wid);
                    registration.state = WorkerState.GONE;
                    publishState(registration);
                    registration.worker.leave();
                }
            }
        }
    }

    /** A pushed job whose reply is pending. */
    private final class Push implements ResponseHandler {
        private final Session session;
        private final MemoryBudget.Reservation reservation;
        private long handle;

        Push(Session session, MemoryBudget.Reservation reservation) {
            this.session = session;
            this.reservation = reservation;
        }

        @Override
        public void served(byte[] result) {
            servedJobs++;
            answer(Replies.OK);
        }

        @Override
        public void refused(long waitMicros) {
            failedJobs++;
            answer(Replies.error(refusal(waitMicros)));
        }

        @Override
        public void failed() {
            failedJobs++;
            answer(Replies.error("failed: it may have run"));
        }

        @Override
        public boolean clientLeft() {
            return session.channel.isClosed() || session.channel.isReadLagging();
        }

        private void answer(byte[] reply) {
            reservation.release();
            session.pendingPush = null;
            if (intake != IntakeMode.OPEN && session.registration == null) {
                session.replyAndClose(reply);
            } else {
                session.channel.write(reply);
                loop.execute(session::processQueued);
            }
        }

        /**
         * Withdraws the job because its client has disconnected or its connection is being closed. The outcome is not
         * reported to the client; the core remembers an unsafe job that may have run.
         */
        void abandon() {
            reservation.release();
            core.withdraw(handle);
        }
    }
}
