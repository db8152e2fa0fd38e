package gorserill.protocol.http;

import gorserill.common.Deadlines.Deadline;
import gorserill.common.Loop;
import gorserill.common.MemoryBudget;
import gorserill.common.ThrottledWarnings;
import gorserill.contract.Door;
import gorserill.contract.Problem;
import gorserill.contract.Terms;
import gorserill.contract.Versions.Admission;
import gorserill.protocol.ClientFrontend;
import gorserill.protocol.ClientWaitTracker;
import gorserill.protocol.ContractGate;
import gorserill.protocol.IntakeMode;
import gorserill.protocol.JobClassInfo;
import gorserill.protocol.Tenants;
import gorserill.routing.Core;
import gorserill.routing.JobSpec;
import gorserill.routing.RequestOptions;
import gorserill.routing.ResponseHandler;
import gorserill.transport.Channel;
import gorserill.transport.ChannelListener;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.logging.Logger;

/** The platform's front: clients' requests over HTTP become the core's, and its answers HTTP's. */
public final class HttpFrontend implements ClientFrontend {
    private static final Logger LOG = Logger.getLogger(HttpFrontend.class.getName());
    private static final byte[] NOTHING = {};
    private static final int MAX_WAITING = 16;
    private static final int MAX_ID = 128;
    /** Bytes of a body. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** A connection may stand idle between requests for so long. */
    private static final long IDLE = 60_000_000;
    /** The first request must be whole so long after connecting, any other so long after its first byte. */
    private static final long WHOLE_REQUEST = 2_300_000;
    /** So long a connection stays open for its client to read why it was turned away. */
    private static final long LINGER = 1_000_000;
    /** While nothing is taken, whoever connects must ask, or end what was begun, within so long. */
    private static final long BRIEF = 1_000_000;

    private final Loop loop;
    private final Core core;
    private final Map<String, JobClassInfo> classes;
    private final Tenants tenants;
    private final ContractGate gate;
    private final MemoryBudget room;
    private final ThrottledWarnings complaints;
    private final Map<Integer, ClientWaitTracker> patience = new HashMap<>();
    private final Set<Client> clients = new HashSet<>();
    private boolean ready;
    private IntakeMode intake = IntakeMode.OPEN;

    /**
     * @param tenants what {@code X-Org} can name
     * @param gate which holds requests against a contract, if there is one
     * @param room in which the codec keeps bodies; freed here when a request is over
     */
    public HttpFrontend(
            Loop loop,
            Core core,
            Map<String, JobClassInfo> classes,
            Tenants tenants,
            ContractGate gate,
            MemoryBudget room) {
        this.loop = loop;
        this.core = core;
        this.classes = classes;
        this.tenants = tenants;
        this.gate = gate;
        this.room = room;
        complaints = new ThrottledWarnings(loop, LOG, "clients turned away");
    }

    /** A peer for a connection just accepted. */
    public ChannelListener accept() {
        return new Client();
    }

    /** Whether {@code /healthz} says 200. */
    @Override
    public void advertiseReady(boolean clients) {
        ready = clients;
    }

    @Override
    public void setIntakeMode(IntakeMode now) {
        intake = now;
    }

    @Override
    public void closeIdle() {
        for (Client client : List.copyOf(clients)) {
            client.closeIdle();
        }
    }

    @Override
    public void announceShutdown() {
        // Nobody works for the node at this front.
    }

    @Override
    public boolean hasNoClients() {
        return clients.isEmpty();
    }

    private final class Client implements ChannelListener, ResponseHandler {
        private final Deque<HttpRequest> waiting = new ArrayDeque<>();
        private Channel channel;
        private HttpRequest current;
        private long handle;
        private Deadline deadline;
        /** Part of a request has come. */
        private boolean begun;
        /** It brought a lawful job. */
        private boolean proven;
        /** Its last answer is given. */
        private boolean ending;

        @Override
        public void opened(Channel opened) {
            channel = opened;
            clients.add(this);
            deadline = loop.at(loop.now() + (intake == IntakeMode.CLOSED ? BRIEF : WHOLE_REQUEST), this::late);
        }

        /** Danger: what was begun has come, so its client is owed a word. */
        private void closeIdle() {
            if (current == null && !ending && begun) {
                loop.cancel(deadline);
                deadline = loop.at(loop.now() + BRIEF, this::late);
            } else if (current == null && !ending && waiting.isEmpty()) {
                channel.closeIfIdle();
            }
        }

        @Override
        @SuppressWarnings("unchecked")
        public void received(Object messages) {
            for (Object message : (List<Object>) messages) {
                if (ending) {
                    room.release(message instanceof HttpRequest late ? late.body().length : 0);
                } else if (message == PARTIAL_MESSAGE) {
                    begun();
                } else if (message instanceof HttpException broken) {
                    cutOff(broken.status(), broken.getMessage());
                } else if (waiting.size() >= MAX_WAITING) {
                    room.release(((HttpRequest) message).body().length);
                    cutOff(400, "more than " + MAX_WAITING + " requests without waiting for their answers");
                } else {
                    begun = false;
                    waiting.add((HttpRequest) message);
                }
            }
            next();
        }

        private void begun() {
            if (!begun && (proven || intake != IntakeMode.OPEN) && current == null && waiting.isEmpty()) {
                loop.cancel(deadline);
                deadline = loop.at(loop.now() + (intake == IntakeMode.OPEN ? WHOLE_REQUEST : BRIEF), this::late);
            }
            begun = true;
        }

        /** No whole request came in time, or no other one: only what was begun is owed an answer. */
        private void late() {
            if (begun || !proven) {
                reject(408, "no whole request in time");
            } else {
                channel.closeIfIdle();
            }
        }

        /**
         * Nothing more can be read of what this client sends. Danger: it hears so at once, also in place of
         * the answer to a request that still runs: only one that breaks the protocol can have one open.
         */
        private void cutOff(int status, String why) {
            if (current != null) {
                core.withdraw(handle);
            }
            reject(status, why);
        }

        @Override
        public void closed() {
            clients.remove(this);
            loop.cancel(deadline);
            if (current != null && !ending) {
                core.withdraw(handle);
            }
            ending = true;
            forgetAll();
        }

        private void forgetAll() {
            forgetCurrent();
            waiting.forEach(request -> room.release(request.body().length));
            waiting.clear();
        }

        private void forgetCurrent() {
            room.release(current == null ? 0 : current.body().length);
            current = null;
        }

        private void next() {
            while (current == null && !waiting.isEmpty() && !ending) {
                loop.cancel(deadline);
                current = waiting.remove();
                dispatch(current);
            }
        }

        private void dispatch(HttpRequest request) {
            HttpHead head = request.head();
            String path = head.targetOrStatus().split("\\?", 2)[0];
            if (path.equals("/healthz") && head.methodOrVersion().equals("GET")) {
                respond(HttpMessageBuilder.response(ready ? 200 : 503), NOTHING);
            } else if (gate.hasContract()) {
                byContract(request);
            } else if (!head.methodOrVersion().equals("POST")) {
                reject(
                        head.methodOrVersion().equals("GET") ? 404 : 405,
                        "no such thing: " + head.methodOrVersion() + " " + path);
            } else {
                int slash = path.indexOf('/', 1);
                submit(
                        request,
                        path,
                        path.substring(Math.min(1, path.length()), slash < 0 ? path.length() : slash),
                        null);
            }
        }

        private void byContract(HttpRequest request) {
            HttpCall call = HttpCall.of(request);
            Admission admission = gate.admit(
                    "1".equals(call.header("x-resent")), contract -> Door.decide(contract, call, MAX_BODY_BYTES));
            Problem problem = admission.verdict().problem();
            if (problem != null) {
                turnAway(problem);
            } else if (!admission.verdict().operation().submits()) {
                turnAway(Problem.unbound(call.method() + " " + call.path()));
            } else {
                submit(
                        request,
                        call.path(),
                        admission.verdict().operation().terms().className(),
                        admission);
            }
        }

        /** What its contract does not let in is told so, and may go on: it speaks HTTP well enough. */
        private void turnAway(Problem problem) {
            complaints.add(
                    Integer.toString(problem.status()), "connection " + channel.tableIndex() + ": " + problem.line());
            respond(
                    HttpMessageBuilder.response(problem.status())
                            .header("Content-Type", Problem.MEDIA_TYPE)
                            .header("Allow", problem.allow().isEmpty() ? null : String.join(", ", problem.allow())),
                    problem.json());
        }

        /** @param admission by the contract; null where there is none */
        private void submit(HttpRequest request, String path, String jobClass, Admission admission) {
            HttpHead head = request.head();
            JobClassInfo terms = classes.get(jobClass);
            String lane = head.header("x-lane");
            String id = head.header("x-txn");
            String learned = admission == null ? null : admission.verdict().key();
            String effectKey = learned == null ? head.header("idempotency-key") : learned;
            if (terms == null) {
                reject(404, "unknown class " + jobClass);
            } else if (lane != null && !lane.equals(jobClass)) {
                // Danger: a worker takes one of the two for the class, the module the other.
                reject(400, "X-Lane says " + lane + ", but " + path + " is for " + jobClass);
            } else if (id == null || id.isEmpty() || id.length() > MAX_ID) {
                reject(400, "X-Txn is missing or too long");
            } else if (core.isOpen(id)) {
                reject(409, "X-Txn is that of an open request");
            } else if (terms.keyed() && (effectKey == null || effectKey.isEmpty())) {
                reject(400, "a job of class " + jobClass + " needs Idempotency-Key");
            } else if (intake == IntakeMode.CLOSED) {
                refused(core.countTurnedAway(terms.index()));
            } else {
                RequestOptions ask;
                try {
                    JobHeaders headers = JobHeaders.of(head);
                    Terms told = admission == null
                            ? null
                            : admission.verdict().operation().terms();
                    long most = told == null ? terms.deadline() : told.within(terms.deadline());
                    double slots = told == null ? 1 : told.usualSlots();
                    boolean repeat = "1".equals(head.header("x-resent"));
                    boolean less = patience.computeIfAbsent(terms.index(), c -> new ClientWaitTracker())
                            .isShorterThanUsual(headers.remainingMicros(terms.deadline()));
                    ask = new RequestOptions(
                            request.arrivedMicros(),
                            headers.remainingMicros(most),
                            repeat,
                            tenants.indexOf(head.header("x-org")),
                            headers.entityKey(),
                            headers.number("slots", "width", slots),
                            headers.number("memory", "ram_units", 0),
                            headers.estimateMicros(),
                            less && !repeat);
                } catch (NumberFormatException e) {
                    reject(400, "an unreadable number in the headers: " + e.getMessage());
                    return;
                }
                proven = true;
                // The handle is known only when take() returns; the answer may come before that.
                long taken = core.submit(
                        this,
                        new JobSpec(
                                id,
                                terms.index(),
                                head.targetOrStatus(),
                                effectKey,
                                head.header("content-type"),
                                request.body(),
                                admission == null ? null : gate.bind(admission, id)),
                        ask);
                handle = current == request ? taken : handle;
            }
        }

        @Override
        public void served(byte[] result) {
            respond(HttpMessageBuilder.response(200), result == null ? NOTHING : result);
        }

        @Override
        public void refused(long waitMicros) {
            HttpMessageBuilder answer = HttpMessageBuilder.response(503);
            answer.header("Retry-After", waitMicros > 0 ? decimal(waitMicros) : null);
            respond(answer, NOTHING);
        }

        @Override
        public void failed() {
            respond(HttpMessageBuilder.response(500), NOTHING);
        }

        @Override
        public boolean clientLeft() {
            // Danger: a close is seen behind what is still to be read.
            return channel.isClosed() || channel.isReadLagging();
        }

        /** Turns away what can't be used, and whoever sent it: such clients hold connections for long. */
        private void reject(int status, String why) {
            complaints.add(Integer.toString(status), "connection " + channel.tableIndex() + ": " + why);
            forgetAll();
            // Under a contract all that is turned away hears so in one form.
            lastWord(HttpMessageBuilder.response(status)
                    .header("Content-Type", gate.hasContract() ? Problem.MEDIA_TYPE : "text/plain")
                    .header("Allow", status == 405 ? "POST" : null)
                    .header("Retry-After", status == 503 ? 1 : null)
                    .header("Connection", "close")
                    .bytes(
                            gate.hasContract()
                                    ? Problem.of(status, HttpMessageBuilder.reasonPhrase(status), why)
                                            .json()
                                    : why.getBytes(StandardCharsets.UTF_8)));
        }

        /**
         * Danger: a close over what is still unread would reset the connection, and the answer go with it.
         */
        private void lastWord(byte[] answer) {
            ending = true;
            loop.cancel(deadline);
            channel.writeAndLinger(answer);
            deadline = loop.at(loop.now() + LINGER, channel::close);
        }

        private void respond(HttpMessageBuilder answer, byte[] body) {
            // Danger: a request that has come is owed an answer, also when the node drains.
            boolean last = intake != IntakeMode.OPEN && waiting.isEmpty()
                    || current != null && current.head().closes();
            byte[] message = answer.header("Connection", last ? "close" : null).bytes(body);
            forgetCurrent();
            handle = 0;
            if (last) {
                lastWord(message);
            } else {
                channel.write(message);
                deadline = loop.at(loop.now() + (begun || !proven ? WHOLE_REQUEST : IDLE), this::late);
                if (!waiting.isEmpty()) {
                    loop.execute(this::next);
                } else if (proven) {
                    channel.markIdle();
                } else {
                    channel.markUnproven();
                }
            }
        }
    }

    /** Seconds, exact to the millisecond. */
    private static String decimal(long micros) {
        long millis = (micros + 999) / 1_000;
        return millis % 1_000 == 0
                ? Long.toString(millis / 1_000)
                : String.format(Locale.ROOT, "%d.%03d", millis / 1_000, millis % 1_000);
    }
}
