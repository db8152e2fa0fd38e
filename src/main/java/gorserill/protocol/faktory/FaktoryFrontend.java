package gorserill.protocol.faktory;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
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
import gorserill.routing.Core;
import gorserill.routing.JobContract;
import gorserill.routing.JobSpec;
import gorserill.routing.RequestOptions;
import gorserill.routing.ResponseHandler;
import gorserill.transport.Channel;
import gorserill.transport.ChannelListener;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The Faktory work protocol in front of the core: clients' PUSHes are requests, worker processes are workers.
 * There is no disk, so a PUSH is answered when its fate is known: +OK where it was served, else -ERR.
 */
public final class FaktoryFrontend implements ClientFrontend {
    private static final Logger LOG = Logger.getLogger(FaktoryFrontend.class.getName());
    private static final int VERSION = 2;
    private static final int ITERATIONS = 1_545;
    private static final int MAX_WAITING = 64;
    /** HELLO must be said so long after connecting, and a line be whole so long after its first byte. */
    private static final long WHOLE_LINE = 2_300_000;
    /** So long a connection stays open for its client to read why it was turned away. */
    private static final long LINGER = 1_000_000;
    /** A FETCH waits so long for a job; a connection may stay silent for a minute, as Faktory has it. */
    private static final long FETCH = 2_000_000;

    private static final long SILENCE = 60_000_000;
    /** Workers that come by themselves are numbered from here, clear of discovery's. */
    private static final long FIRST_WORKER = 1L << 40;
    /** No Faktory worker promises to drop repeats, so each is a zone of its own to the decision module. */
    private static final int FIRST_ZONE = 1 << 16;

    private static final int ANY_KIND = 255;
    /** Fates of unsafe jobs are remembered by jid, the last so many. */
    private static final int FATES = 4_096;

    private final Loop loop;
    private final Core core;
    private final Tenants tenants;
    private final long nodeName;
    private final MemoryBudget room;
    private final ThrottledWarnings complaints;
    private final Predicate<String> banned;
    private final ContractGate gate;
    private FaktorySettings terms;
    private final SplittableRandom random;
    private final long startedAt;
    private final Set<Session> sessions = new HashSet<>();
    private final Map<String, Member> members = new HashMap<>();
    /** Danger: a client that lost its connection pushes the job again; an unsafe one must not run twice. */
    private final Map<String, Boolean> servedByJid = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > FATES;
        }
    };

    private long workers;
    private long processed;
    private long failures;
    private long commands;
    private IntakeMode intake = IntakeMode.OPEN;
    private boolean dismissed;

    /** Whether a worker of that wid is here. */
    public boolean hasWorker(String wid) {
        return members.containsKey(wid);
    }

    /** A worker was taken out by hand, or put back. */
    public void banChanged(String wid) {
        Member member = members.get(wid);
        if (member != null) {
            tell(member);
        }
    }

    public int workerCount() {
        return members.size();
    }

    /** To how many workers nothing new goes at present. */
    public int avoidedWorkerCount() {
        int avoided = 0;
        for (Member member : members.values()) {
            avoided += core.avoids(member.worker.id) ? 1 : 0;
        }
        return avoided;
    }

    private static final class Member {
        final FaktoryWorker worker;
        final Set<Session> sessions = new HashSet<>();
        WorkerState state = WorkerState.READY;

        Member(FaktoryWorker worker) {
            this.worker = worker;
        }
    }

    /**
     * @param gate which holds jobs against a contract, if there is one
     * @param room in which the codec keeps lines; freed here when they are done with
     * @param banned which wids operators have taken out
     */
    public FaktoryFrontend(
            Loop loop,
            Core core,
            FaktorySettings terms,
            Tenants tenants,
            ContractGate gate,
            long seed,
            MemoryBudget room,
            Predicate<String> banned) {
        this.tenants = tenants;
        nodeName = seed;
        this.gate = gate;
        gate.replace(terms.contract());
        this.banned = banned;
        this.loop = loop;
        this.room = room;
        complaints = new ThrottledWarnings(loop, LOG, "faktory connections");
        this.core = core;
        this.terms = terms;
        random = new SplittableRandom(seed);
        startedAt = loop.now();
    }

    /** From now on other queues and job types are bound, and another password is asked for. */
    public void reload(FaktorySettings changed) {
        terms = changed;
        gate.replace(changed.contract());
    }

    public ContractGate gate() {
        return gate;
    }

    /** A peer for a connection just accepted. */
    public ChannelListener accept() {
        return new Session();
    }

    @Override
    public void advertiseReady(boolean clients) {
        // The protocol has no word for it.
    }

    @Override
    public void setIntakeMode(IntakeMode now) {
        intake = now;
    }

    /** From now on workers are told to end, and get nothing new. */
    @Override
    public void announceShutdown() {
        dismissed = true;
        for (Session session : List.copyOf(sessions)) {
            session.endFetch();
        }
    }

    /** Workers keep theirs: they are needed for what is open. */
    @Override
    public void closeIdle() {
        for (Session session : List.copyOf(sessions)) {
            if (session.push == null && session.member == null && !session.ended && session.waiting.isEmpty()) {
                session.channel.closeIfIdle();
            }
        }
    }

    @Override
    public boolean hasNoClients() {
        return sessions.stream().allMatch(session -> session.member != null);
    }

    private void tell(Member member) {
        FaktoryWorker worker = member.worker;
        int zone = FIRST_ZONE + (int) (worker.id - FIRST_WORKER);
        boolean out = member.state == WorkerState.READY && banned.test(worker.wid);
        WorkerState state = out ? WorkerState.DRAINING : member.state;
        // Danger: no other node knows this worker, though its own guests have the same numbers.
        long name = nodeName ^ worker.id * 0x9e3779b97f4a7c15L;
        core.updateRegisteredWorker(new Worker(worker.id, ANY_KIND, zone, 0, state, 0, name), worker);
    }

    private static String refusal(long waitMicros) {
        return "refused: not run, try again in " + (waitMicros + 999) / 1_000 + " ms";
    }

    private static String digest(String password, String salt, int iterations) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            byte[] hash = sha.digest((password + salt).getBytes(StandardCharsets.UTF_8));
            for (int i = 1; i < iterations; i++) {
                hash = sha.digest(hash);
            }
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A connection, of a client, a worker or both; its commands are carried out one after another. */
    private final class Session implements ChannelListener, FaktoryWorker.Fetcher {
        private final Deque<FaktoryCodec.Line> waiting = new ArrayDeque<>();
        private final String salt = Long.toHexString(random.nextLong());
        private Channel channel;
        private boolean known;
        private boolean ended;
        private Member member;
        private Push push;
        private List<String> queues = List.of();
        private Deadline fetch;
        private Deadline silence;
        /** Of HELLO, or of a line that was begun. */
        private Deadline whole;
        /** The room that the command at hand takes. */
        private int size;

        @Override
        public void opened(Channel opened) {
            channel = opened;
            sessions.add(this);
            heard();
            whole = loop.at(loop.now() + WHOLE_LINE, () -> refuse("no whole HELLO in time", true));
            channel.write(Replies.simple("HI {\"v\":" + VERSION
                    + (terms.password().isEmpty() ? "}" : ",\"s\":\"" + salt + "\",\"i\":" + ITERATIONS + "}")));
        }

        private void heard() {
            loop.cancel(silence);
            silence = loop.at(loop.now() + SILENCE, () -> {
                if (push == null) {
                    LOG.log(Level.INFO, "faktory connection {0}: silent for a minute, closed", channel.tableIndex());
                    channel.close();
                } else {
                    heard();
                }
            });
        }

        @Override
        @SuppressWarnings("unchecked")
        public void received(Object messages) {
            if (!ended) {
                heard();
            }
            for (Object message : (List<Object>) messages) {
                if (message instanceof FaktoryCodec.Line line) {
                    line(line);
                } else if (!ended && message == PARTIAL_MESSAGE) {
                    // A line that drips in holds a connection; until HELLO the first deadline stands.
                    if (known && whole == null) {
                        whole = loop.at(loop.now() + WHOLE_LINE, () -> refuse("no whole line in time", true));
                    }
                } else if (!ended) {
                    refuse(((FrameException) message).getMessage(), true);
                }
            }
            next();
        }

        private void line(FaktoryCodec.Line line) {
            if (known) {
                loop.cancel(whole);
                whole = null;
            }
            if (!ended && waiting.size() < MAX_WAITING) {
                waiting.add(line);
                return;
            }
            room.release(line.size());
            if (!ended) {
                refuse("more than " + MAX_WAITING + " commands without waiting for their replies", true);
            }
        }

        private void next() {
            while (!ended && push == null && fetch == null && !waiting.isEmpty()) {
                FaktoryCodec.Line next = waiting.remove();
                String line = next.text();
                size = next.size();
                int space = line.indexOf(' ');
                commands++;
                try {
                    command(
                            space < 0 ? line : line.substring(0, space),
                            space < 0 ? "" : line.substring(space + 1).trim());
                } catch (IOException e) {
                    refuse(
                            "malformed " + (space < 0 ? line : line.substring(0, space)) + ": "
                                    + e.getMessage().lines().findFirst().orElse(""),
                            false);
                }
                if (push == null) {
                    room.release(size);
                }
            }
            if (!ended && push == null && fetch == null && member == null) {
                if (known) {
                    channel.markIdle();
                } else {
                    channel.markUnproven();
                }
            }
        }

        private void command(String verb, String rest) throws IOException {
            if (verb.equals("END")) {
                end();
            } else if (verb.equals("HELLO")) {
                hello(rest);
            } else if (!known) {
                refuse("say HELLO first", true);
            } else if (verb.equals("PUSH")) {
                push(FaktoryJob.parse(rest), rest);
            } else if (verb.equals("INFO")) {
                channel.write(Replies.bulk(info()));
            } else if (!Set.of("FETCH", "ACK", "FAIL", "BEAT").contains(verb)) {
                refuse("unknown command " + verb, false);
            } else if (member == null) {
                refuse(verb + " is for workers; HELLO told no wid", false);
            } else {
                work(verb, rest);
            }
        }

        private void work(String verb, String rest) throws IOException {
            if (verb.equals("FETCH")) {
                fetch(rest);
            } else if (verb.equals("BEAT")) {
                beat(rest);
            } else {
                String jid = FaktoryJob.field(rest, "jid");
                if (jid == null) {
                    refuse(verb + " needs a jid", false);
                    return;
                }
                channel.write(Replies.OK);
                if (verb.equals("ACK")) {
                    member.worker.ack(jid);
                } else {
                    LOG.log(Level.INFO, "faktory worker {0} failed job {1}", new Object[] {member.worker.wid, jid});
                    member.worker.fail(jid);
                }
            }
        }

        private void hello(String rest) throws IOException {
            String wid = FaktoryJob.field(rest, "wid");
            String version = FaktoryJob.field(rest, "v");
            if (known) {
                refuse("HELLO was said before", false);
            } else if (version != null && !version.equals(Integer.toString(VERSION))) {
                refuse("protocol version " + version + " is not spoken here, " + VERSION + " is", true);
            } else if (!terms.password().isEmpty()
                    && !MessageDigest.isEqual(
                            digest(terms.password(), salt, ITERATIONS).getBytes(StandardCharsets.UTF_8),
                            String.valueOf(FaktoryJob.field(rest, "pwdhash")).getBytes(StandardCharsets.UTF_8))) {
                refuse("invalid password", true);
            } else {
                known = true;
                loop.cancel(whole);
                whole = null;
                channel.write(Replies.OK);
                if (wid != null && !wid.isEmpty()) {
                    join(wid);
                }
            }
        }

        private void join(String wid) {
            member = members.get(wid);
            if (member == null) {
                member = new Member(new FaktoryWorker(loop, () -> terms, wid, FIRST_WORKER + workers++));
                members.put(wid, member);
                LOG.log(Level.INFO, "faktory worker {0} joined", wid);
                tell(member);
            }
            member.sessions.add(this);
        }

        private void push(FaktoryJob job, String text) throws IOException {
            Boolean served = servedByJid.get(job.jid());
            if (served != null) {
                // Whatever is described by now: it was taken once, and that is its answer.
                LOG.log(Level.INFO, "job {0} was pushed again; not run again", job.jid());
                channel.write(served ? Replies.OK : Replies.error("failed: it may have run before"));
                return;
            }
            Admission admission = null;
            if (gate.hasContract()) {
                JsonNode unit = FaktoryJob.value(text);
                admission = gate.admit(
                        true, contract -> Door.decide(contract, job.queue(), job.jobtype(), unit.get("custom"), unit));
                if (!admission.verdict().letIn()) {
                    refuse(admission.verdict().problem().line(), false);
                    return;
                }
            }
            JobClassInfo of = terms.classOf(
                    job,
                    admission == null
                            ? null
                            : admission.verdict().operation().terms().className());
            String learned = admission == null ? null : admission.verdict().key();
            String key = learned == null ? job.idempotencyKey() : learned;
            if (of == null) {
                refuse("neither queue " + job.queue() + " nor job type " + job.jobtype() + " is bound here", false);
            } else if (job.at() != null) {
                refuse("jobs for later are not kept here", false);
            } else if (of.keyed() && key == null) {
                refuse("jobs of this class need custom.idempotency_key", false);
            } else if (intake == IntakeMode.CLOSED) {
                refuse(refusal(core.countTurnedAway(of.index())), member == null);
            } else if (core.isOpen(job.jid())) {
                refuse("job " + job.jid() + " is in progress", false);
            } else {
                take(job, text, of, key, admission);
            }
        }

        private void take(FaktoryJob job, String text, JobClassInfo of, String key, Admission admission) {
            Terms told =
                    admission == null ? null : admission.verdict().operation().terms();
            long most = told == null ? of.deadline() : told.within(of.deadline());
            long left = job.remainingMs() < 0 ? most : Math.min(most, job.remainingMs() * 1_000);
            double slots = job.slots() >= 0 ? job.slots() : told == null ? 1 : told.usualSlots();
            JobContract bond = admission == null ? null : gate.bind(admission, job.jid());
            Push taken = new Push(this, job.jid(), of.unsafe() || bond != null && bond.effect() == Effect.UNSAFE, size);
            push = taken;
            long handle = core.submit(
                    taken,
                    new JobSpec(
                            job.jid(),
                            of.index(),
                            null,
                            key,
                            FaktoryJob.MEDIA_TYPE,
                            text.getBytes(StandardCharsets.UTF_8),
                            bond),
                    new RequestOptions(
                            loop.now(),
                            left,
                            false,
                            tenants.indexOf(job.tenant()),
                            0,
                            slots,
                            0,
                            job.estimateUs(),
                            false));
            taken.handle = handle;
        }

        private void fetch(String rest) {
            queues = rest.isEmpty() ? List.of(FaktoryJob.DEFAULT_QUEUE) : List.of(rest.split(" +"));
            if (dismissed || member.state != WorkerState.READY) {
                channel.write(Replies.NULL);
                return;
            }
            fetch = loop.at(loop.now() + FETCH, this::endFetch);
            member.worker.fetch(this);
        }

        void endFetch() {
            if (fetch != null) {
                loop.cancel(fetch);
                fetch = null;
                member.worker.unfetch(this);
                channel.write(Replies.NULL);
                next();
            }
        }

        @Override
        public List<String> queues() {
            return queues;
        }

        @Override
        public void afterReads(Runnable then) {
            channel.runAfterReads(then);
        }

        @Override
        public BooleanSupplier handOut(byte[] unit, Runnable written) {
            loop.cancel(fetch);
            fetch = null;
            Channel.PendingWrite sending = channel.write(Replies.bulk(unit), written);
            loop.execute(this::next);
            return sending::isWritten;
        }

        private void beat(String rest) throws IOException {
            String wid = FaktoryJob.field(rest, "wid");
            String state = FaktoryJob.field(rest, "current_state");
            if (!member.worker.wid.equals(wid)) {
                refuse("BEAT of another worker, " + wid, false);
                return;
            }
            boolean quiet = "quiet".equals(state) || "terminate".equals(state);
            if (quiet && member.state == WorkerState.READY) {
                LOG.log(Level.INFO, "faktory worker {0} is {1}: nothing new goes there", new Object[] {wid, state});
                member.state = WorkerState.DRAINING;
                tell(member);
            }
            channel.write(dismissed ? Replies.TERMINATE : Replies.OK);
        }

        private byte[] info() {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            try (JsonGenerator json = new JsonFactory().createGenerator(out)) {
                json.writeStartObject();
                json.writeStringField("server_utc_time", Instant.now().toString());
                json.writeObjectFieldStart("faktory");
                json.writeNumberField("total_enqueued", core.openRequests());
                json.writeNumberField("total_processed", processed);
                json.writeNumberField("total_failures", failures);
                json.writeNumberField("total_queues", terms.queues().size());
                json.writeEndObject();
                json.writeObjectFieldStart("server");
                json.writeStringField("description", "gorserill");
                json.writeNumberField("connections", sessions.size());
                json.writeNumberField("workers", members.size());
                json.writeNumberField("command_count", commands);
                json.writeNumberField("uptime", (loop.now() - startedAt) / 1_000_000);
                json.writeEndObject();
                json.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return out.toByteArray();
        }

        private void refuse(String why, boolean last) {
            complaints.add("-ERR", "connection " + channel.tableIndex() + ": " + why);
            if (last) {
                // Danger: its client hears so at once, also in place of an answer that it waits for.
                abandonPush();
                forgetWaiting();
                lastWord(Replies.error(why));
            } else {
                channel.write(Replies.error(why));
            }
        }

        /** Danger: a close over what is still unread would reset the connection, and the reply go with it. */
        private void lastWord(byte[] reply) {
            ended = true;
            loop.cancel(whole);
            loop.cancel(silence);
            channel.writeAndLinger(reply);
            silence = loop.at(loop.now() + LINGER, channel::close);
        }

        private void end() {
            ended = true;
            channel.close();
        }

        private void abandonPush() {
            if (push != null) {
                push.abandon();
                push = null;
            }
        }

        private void forgetWaiting() {
            waiting.forEach(line -> room.release(line.size()));
            waiting.clear();
        }

        @Override
        public void closed() {
            ended = true;
            sessions.remove(this);
            loop.cancel(silence);
            loop.cancel(whole);
            loop.cancel(fetch);
            abandonPush();
            forgetWaiting();
            if (member != null) {
                member.worker.dropped(this);
                member.sessions.remove(this);
                if (member.sessions.isEmpty()) {
                    members.remove(member.worker.wid);
                    LOG.log(Level.INFO, "faktory worker {0} left", member.worker.wid);
                    member.state = WorkerState.GONE;
                    tell(member);
                    member.worker.leave();
                }
            }
        }
    }

    /** A pushed job that waits for its one final answer. */
    private final class Push implements ResponseHandler {
        private final Session session;
        private final String jid;
        private final boolean unsafe;
        private final int size;
        private long handle;

        Push(Session session, String jid, boolean unsafe, int size) {
            this.size = size;
            this.session = session;
            this.jid = jid;
            this.unsafe = unsafe;
        }

        @Override
        public void served(byte[] result) {
            processed++;
            remember(true);
            answer(Replies.OK);
        }

        @Override
        public void refused(long waitMicros) {
            failures++;
            answer(Replies.error(refusal(waitMicros)));
        }

        @Override
        public void failed() {
            failures++;
            remember(false);
            answer(Replies.error("failed: it may have run"));
        }

        @Override
        public boolean clientLeft() {
            return session.channel.isClosed() || session.channel.isReadLagging();
        }

        private void remember(boolean served) {
            if (unsafe) {
                servedByJid.put(jid, served);
            }
        }

        private void answer(byte[] reply) {
            room.release(size);
            session.push = null;
            if (intake != IntakeMode.OPEN && session.member == null) {
                session.lastWord(reply);
            } else {
                session.channel.write(reply);
                loop.execute(session::next);
            }
        }

        /** The client has left without waiting; whether it ran nobody will be told. */
        void abandon() {
            room.release(size);
            if (core.withdraw(handle)) {
                remember(false);
            }
        }
    }
}
