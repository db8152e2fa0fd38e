package gorserill.protocol.http;

import gorserill.common.Deadlines.Deadline;
import gorserill.common.Loop;
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

/** Accepts clients' requests over HTTP/1.1, submits them to the core and writes its results as HTTP responses. */
public final class HttpFrontend implements ClientFrontend {
    private static final Logger LOG = Logger.getLogger(HttpFrontend.class.getName());
    private static final byte[] EMPTY_BODY = {};
    private static final int MAX_PIPELINED_REQUESTS = 16;
    private static final int MAX_ID_LENGTH = 128;
    /** Maximum size of a request body. */
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** Maximum idle time of a connection between requests. */
    private static final long IDLE_TIMEOUT_MICROS = 60_000_000;
    /** Time limit for a complete request: the first one from the connect on, any later one from its first byte on. */
    private static final long REQUEST_TIMEOUT_MICROS = 2_300_000;
    /** Time that a connection stays open after its last response, so that the client can read it. */
    private static final long LINGER_MICROS = 1_000_000;
    /** Time limit for a complete request while the node accepts no new jobs. */
    private static final long DRAINING_REQUEST_TIMEOUT_MICROS = 1_000_000;

    private final Loop loop;
    private final Core core;
    private final Map<String, JobClassInfo> classes;
    private final Tenants tenants;
    private final ContractGate gate;
    private final ThrottledWarnings warnings;
    private final Map<Integer, ClientWaitTracker> waitTrackers = new HashMap<>();
    private final Set<ClientConnection> clients = new HashSet<>();
    private boolean ready;
    private IntakeMode intake = IntakeMode.OPEN;

    /**
     * @param tenants the tenants that {@code X-Org} can name
     * @param gate checks requests against the contract, if there is one
     */
    public HttpFrontend(Loop loop, Core core, Map<String, JobClassInfo> classes, Tenants tenants, ContractGate gate) {
        this.loop = loop;
        this.core = core;
        this.classes = classes;
        this.tenants = tenants;
        this.gate = gate;
        warnings = new ThrottledWarnings(loop, LOG, "clients turned away");
    }

    /** Creates the handler of a newly accepted connection. */
    public ChannelListener accept() {
        return new ClientConnection();
    }

    /** Sets whether {@code /healthz} returns 200 (otherwise 503). */
    @Override
    public void advertiseReady(boolean clients) {
        ready = clients;
    }

    @Override
    public void setIntakeMode(IntakeMode newMode) {
        intake = newMode;
    }

    @Override
    public void closeIdle() {
        for (ClientConnection client : List.copyOf(clients)) {
            client.closeIdle();
        }
    }

    @Override
    public void announceShutdown() {
        // No workers connect over this protocol.
    }

    @Override
    public boolean hasNoClients() {
        return clients.isEmpty();
    }

    /** A client's connection, which processes one request at a time and queues pipelined ones. */
    private final class ClientConnection implements ChannelListener, ResponseHandler {
        private final Deque<HttpRequest> pendingRequests = new ArrayDeque<>();
        private Channel channel;
        private HttpRequest current;
        private long handle;
        private Deadline deadline;
        /** Part of the next request has been received. */
        private boolean requestStarted;
        /** The connection has submitted at least one valid job. */
        private boolean hasSentValidJob;
        /** The final response has been written, or the connection has ended. */
        private boolean closing;

        @Override
        public void opened(Channel opened) {
            channel = opened;
            clients.add(this);
            deadline = loop.at(
                    loop.now()
                            + (intake == IntakeMode.CLOSED ? DRAINING_REQUEST_TIMEOUT_MICROS : REQUEST_TIMEOUT_MICROS),
                    this::onTimeout);
        }

        /** Closes an idle connection. A partly received request gets a short time to complete before it gets a 408. */
        private void closeIdle() {
            if (current == null && !closing && requestStarted) {
                loop.cancel(deadline);
                deadline = loop.at(loop.now() + DRAINING_REQUEST_TIMEOUT_MICROS, this::onTimeout);
            } else if (current == null && !closing && pendingRequests.isEmpty()) {
                channel.closeIfIdle();
            }
        }

        @Override
        @SuppressWarnings("unchecked")
        public void received(Object messages) {
            for (Object message : (List<Object>) messages) {
                if (closing) {
                    if (message instanceof HttpRequest discarded) {
                        discarded.reservation().release();
                    }
                } else if (message == PARTIAL_MESSAGE) {
                    onRequestStarted();
                } else if (message instanceof HttpException error) {
                    rejectMalformed(error.status(), error.getMessage());
                } else if (pendingRequests.size() >= MAX_PIPELINED_REQUESTS) {
                    ((HttpRequest) message).reservation().release();
                    rejectMalformed(
                            400, "more than " + MAX_PIPELINED_REQUESTS + " requests without waiting for their answers");
                } else {
                    requestStarted = false;
                    pendingRequests.add((HttpRequest) message);
                }
            }
            processNext();
        }

        private void onRequestStarted() {
            if (!requestStarted
                    && (hasSentValidJob || intake != IntakeMode.OPEN)
                    && current == null
                    && pendingRequests.isEmpty()) {
                loop.cancel(deadline);
                deadline = loop.at(
                        loop.now()
                                + (intake == IntakeMode.OPEN
                                        ? REQUEST_TIMEOUT_MICROS
                                        : DRAINING_REQUEST_TIMEOUT_MICROS),
                        this::onTimeout);
            }
            requestStarted = true;
        }

        /** Handles a request timeout or an idle timeout; an idle connection is closed without a response. */
        private void onTimeout() {
            if (requestStarted || !hasSentValidJob) {
                reject(408, "no whole request in time");
            } else {
                channel.closeIfIdle();
            }
        }

        /**
         * Rejects a client that violates the protocol. The error is sent at once, in place of the response to a request
         * that still runs: nothing that follows on the connection can be parsed, and only a client that violates the
         * protocol can have a request open here.
         */
        private void rejectMalformed(int status, String why) {
            boolean mayHaveRun = current != null && core.withdraw(handle);
            // 503 would say that the job did not run.
            reject(mayHaveRun && status == 503 ? 500 : status, why);
        }

        @Override
        public void closed() {
            clients.remove(this);
            loop.cancel(deadline);
            if (current != null && !closing) {
                core.withdraw(handle);
            }
            closing = true;
            releaseAll();
        }

        private void releaseAll() {
            releaseCurrent();
            pendingRequests.forEach(request -> request.reservation().release());
            pendingRequests.clear();
        }

        private void releaseCurrent() {
            if (current != null) {
                current.reservation().release();
                current = null;
            }
        }

        private void processNext() {
            while (current == null && !pendingRequests.isEmpty() && !closing) {
                loop.cancel(deadline);
                current = pendingRequests.remove();
                dispatch(current);
            }
        }

        private void dispatch(HttpRequest request) {
            HttpHead head = request.head();
            String path = head.targetOrStatus().split("\\?", 2)[0];
            if (path.equals("/healthz") && head.methodOrVersion().equals("GET")) {
                respond(HttpMessageBuilder.response(ready ? 200 : 503), EMPTY_BODY);
            } else if (gate.hasContract()) {
                dispatchByContract(request);
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

        private void dispatchByContract(HttpRequest request) {
            HttpCall call = HttpCall.of(request);
            Admission admission = gate.admit(
                    "1".equals(call.header("x-resent")), contract -> Door.decide(contract, call, MAX_BODY_BYTES));
            Problem problem = admission.verdict().problem();
            if (problem != null) {
                rejectByContract(problem);
            } else if (!admission.verdict().operation().submits()) {
                rejectByContract(Problem.unbound(call.method() + " " + call.path()));
            } else {
                submit(
                        request,
                        call.path(),
                        admission.verdict().operation().terms().className(),
                        admission);
            }
        }

        /** Rejects a request that violates the contract; the connection stays open, as the message is valid HTTP. */
        private void rejectByContract(Problem problem) {
            warnings.add(
                    Integer.toString(problem.status()), "connection " + channel.tableIndex() + ": " + problem.line());
            respond(
                    HttpMessageBuilder.response(problem.status())
                            .header("Content-Type", Problem.MEDIA_TYPE)
                            .header("Allow", problem.allow().isEmpty() ? null : String.join(", ", problem.allow())),
                    problem.json());
        }

        /** @param admission the contract's decision; null if there is no contract */
        private void submit(HttpRequest request, String path, String jobClass, Admission admission) {
            HttpHead head = request.head();
            JobClassInfo classInfo = classes.get(jobClass);
            String lane = head.header("x-lane");
            String id = head.header("x-txn");
            String contractKey = admission == null ? null : admission.verdict().key();
            String idempotencyKey = contractKey == null ? head.header("idempotency-key") : contractKey;
            if (classInfo == null) {
                reject(404, "unknown class " + jobClass);
            } else if (lane != null && !lane.equals(jobClass)) {
                // The worker and the dispatcher would each take a different one of the two for the class.
                reject(400, "X-Lane says " + lane + ", but " + path + " is for " + jobClass);
            } else if (id == null || id.isEmpty() || id.length() > MAX_ID_LENGTH) {
                reject(400, "X-Txn is missing or too long");
            } else if (core.isOpen(id)) {
                reject(409, "X-Txn is that of an open request");
            } else if (core.pastOutcome(id) != null) {
                reject(409, "X-Txn is that of a job that must not run twice and may have run");
            } else if (classInfo.keyed() && (idempotencyKey == null || idempotencyKey.isEmpty())) {
                reject(400, "a job of class " + jobClass + " needs Idempotency-Key");
            } else if (intake == IntakeMode.CLOSED) {
                refused(core.countTurnedAway(classInfo.index()));
            } else {
                RequestOptions options;
                try {
                    JobHeaders headers = JobHeaders.of(head);
                    Terms contractTerms = admission == null
                            ? null
                            : admission.verdict().operation().terms();
                    long maxMicros =
                            contractTerms == null ? classInfo.deadline() : contractTerms.within(classInfo.deadline());
                    double slots = contractTerms == null ? 1 : contractTerms.usualSlots();
                    boolean repeat = "1".equals(head.header("x-resent"));
                    boolean shorterThanUsual = waitTrackers
                            .computeIfAbsent(classInfo.index(), c -> new ClientWaitTracker())
                            .isShorterThanUsual(headers.remainingMicros(classInfo.deadline()));
                    options = new RequestOptions(
                            request.arrivedMicros(),
                            headers.remainingMicros(maxMicros),
                            repeat,
                            tenants.indexOf(head.header("x-org")),
                            headers.entityKey(),
                            headers.number("slots", "width", slots),
                            headers.number("memory", "ram_units", 0),
                            headers.estimateMicros(),
                            shorterThanUsual && !repeat);
                } catch (NumberFormatException e) {
                    reject(400, "an unreadable number in the headers: " + e.getMessage());
                    return;
                }
                hasSentValidJob = true;
                // The handle is known only after this call returns, but the response may be sent during it.
                long newHandle = core.submit(
                        this,
                        new JobSpec(
                                id,
                                classInfo.index(),
                                head.targetOrStatus(),
                                idempotencyKey,
                                head.header("content-type"),
                                request.body(),
                                admission == null ? null : gate.bind(admission, id)),
                        options);
                handle = current == request ? newHandle : handle;
            }
        }

        @Override
        public void served(byte[] result) {
            respond(HttpMessageBuilder.response(200), result == null ? EMPTY_BODY : result);
        }

        @Override
        public void refused(long waitMicros) {
            HttpMessageBuilder response = HttpMessageBuilder.response(503);
            response.header("Retry-After", waitMicros > 0 ? formatSeconds(waitMicros) : null);
            respond(response, EMPTY_BODY);
        }

        @Override
        public void failed() {
            respond(HttpMessageBuilder.response(500), EMPTY_BODY);
        }

        @Override
        public boolean clientLeft() {
            // A close by the client is detected only after the unread input before it.
            return channel.isClosed() || channel.isReadLagging();
        }

        /** Rejects an unusable request and closes its connection, since such clients tend to hold connections open. */
        private void reject(int status, String why) {
            warnings.add(Integer.toString(status), "connection " + channel.tableIndex() + ": " + why);
            releaseAll();
            // Under a contract every rejection has the same media type.
            writeAndClose(HttpMessageBuilder.response(status)
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

        /** Writes the last response and closes after a delay: closing over unread input would reset the connection. */
        private void writeAndClose(byte[] response) {
            closing = true;
            loop.cancel(deadline);
            channel.writeAndLinger(response);
            deadline = loop.at(loop.now() + LINGER_MICROS, channel::close);
        }

        private void respond(HttpMessageBuilder response, byte[] body) {
            // Requests that have been received are answered even while the node drains.
            boolean last = intake != IntakeMode.OPEN && pendingRequests.isEmpty()
                    || current != null && current.head().closes();
            byte[] message =
                    response.header("Connection", last ? "close" : null).bytes(body);
            releaseCurrent();
            handle = 0;
            if (last) {
                writeAndClose(message);
            } else {
                channel.write(message);
                deadline = loop.at(
                        loop.now()
                                + (requestStarted || !hasSentValidJob ? REQUEST_TIMEOUT_MICROS : IDLE_TIMEOUT_MICROS),
                        this::onTimeout);
                if (!pendingRequests.isEmpty()) {
                    loop.execute(this::processNext);
                } else if (hasSentValidJob) {
                    channel.markIdle();
                } else {
                    channel.markUnproven();
                }
            }
        }
    }

    /** Formats a time as seconds, rounded up to the millisecond. */
    private static String formatSeconds(long micros) {
        long millis = (micros + 999) / 1_000;
        return millis % 1_000 == 0
                ? Long.toString(millis / 1_000)
                : String.format(Locale.ROOT, "%d.%03d", millis / 1_000, millis % 1_000);
    }
}
