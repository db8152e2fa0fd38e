package gorserill.protocol.http;

import gorserill.common.Deadlines.Deadline;
import gorserill.common.Loop;
import gorserill.protocol.ClassTerms;
import gorserill.routing.Ask;
import gorserill.routing.Core;
import gorserill.routing.Front;
import gorserill.routing.Work;
import gorserill.transport.Channel;
import gorserill.transport.Peer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The platform's front: clients' requests over HTTP become the core's, and its answers HTTP's. */
public final class HttpFront {
    private static final Logger LOG = Logger.getLogger(HttpFront.class.getName());
    private static final byte[] NOTHING = {};
    private static final int MAX_WAITING = 16;
    private static final int MAX_ID = 128;
    /** A connection may stand idle, or a request be on its way, for so long. */
    private static final long IDLE = 60_000_000;

    private final Loop loop;
    private final Core core;
    private final Map<String, ClassTerms> classes;
    private final Operations operations;
    private final BooleanSupplier crowded;
    private final Set<Client> clients = new HashSet<>();
    private boolean ready;
    private boolean draining;

    /** @param operations of the description that binds the front; null for none */
    public HttpFront(Loop loop, Core core, Map<String, ClassTerms> classes, Operations operations,
                     BooleanSupplier crowded) {
        this.loop = loop;
        this.core = core;
        this.classes = classes;
        this.operations = operations;
        this.crowded = crowded;
    }

    /** A peer for a connection just accepted. */
    public Peer accept() {
        return new Client();
    }

    /** From now on {@code /healthz} says 200. */
    public void ready() {
        ready = true;
    }

    public boolean isReady() {
        return ready;
    }

    /** From now on every answer ends its connection. */
    public void drain() {
        draining = true;
    }

    /** Ends the connections on which no request is open. */
    public void closeIdle() {
        for (Client client : List.copyOf(clients)) {
            if (client.current == null) {
                client.channel.close();
            }
        }
    }

    public int connections() {
        return clients.size();
    }

    private final class Client implements Peer, Front {
        private final Deque<HttpRequest> waiting = new ArrayDeque<>();
        private Channel channel;
        private HttpRequest current;
        private long handle;
        private Deadline idle;
        private boolean ending;

        @Override
        public void opened(Channel opened) {
            channel = opened;
            clients.add(this);
            idle = loop.at(loop.now() + IDLE, channel::close);
        }

        @Override
        @SuppressWarnings("unchecked")
        public void received(Object messages) {
            for (Object message : (List<Object>) messages) {
                if (message instanceof HttpException broken) {
                    waiting.clear();
                    if (current == null) {
                        reject(broken.status(), broken.getMessage(), true);
                    } else {
                        ending = true;
                    }
                } else if (waiting.size() >= MAX_WAITING) {
                    ending = true;
                } else {
                    waiting.add((HttpRequest) message);
                }
            }
            next();
        }

        @Override
        public void closed() {
            clients.remove(this);
            loop.cancel(idle);
            waiting.clear();
            ending = true;
            if (current != null) {
                current = null;
                core.withdraw(handle);
            }
        }

        private void next() {
            while (current == null && !waiting.isEmpty() && !ending) {
                loop.cancel(idle);
                current = waiting.remove();
                dispatch(current);
            }
        }

        private void dispatch(HttpRequest request) {
            HttpHead head = request.head();
            String path = head.second().split("\\?", 2)[0];
            if (path.equals("/healthz") && head.first().equals("GET")) {
                boolean up = ready && !draining;
                respond(HttpWriter.answer(up ? 200 : 503), NOTHING);
            } else if (!head.first().equals("POST")) {
                reject(head.first().equals("GET") ? 404 : 405, "no such thing: " + head.first() + " " + path,
                    false);
            } else if (operations == null) {
                int slash = path.indexOf('/', 1);
                String part = path.substring(1, slash < 0 ? path.length() : slash);
                submit(request, head.headers().getOrDefault("x-lane", part));
            } else {
                bound(request, path);
            }
        }

        private void bound(HttpRequest request, String path) {
            Operations.Operation operation = operations.find("POST", path);
            String lane = request.head().header("x-lane");
            if (operation == null) {
                reject(operations.knows(path) ? 405 : 404, "no such operation: POST " + path, false);
            } else if (lane != null && !lane.equals(operation.jobClass())) {
                reject(400, "X-Lane says " + lane + ", but " + path + " is for " + operation.jobClass(),
                    false);
            } else {
                submit(request, operation.jobClass());
            }
        }

        private void submit(HttpRequest request, String lane) {
            HttpHead head = request.head();
            ClassTerms terms = classes.get(lane);
            String id = head.header("x-txn");
            String effectKey = head.header("idempotency-key");
            if (terms == null) {
                reject(404, "unknown class " + lane, false);
            } else if (id == null || id.isEmpty() || id.length() > MAX_ID) {
                reject(400, "X-Txn is missing or too long", false);
            } else if (terms.keyed() && effectKey == null) {
                reject(400, "a job of class " + lane + " needs Idempotency-Key", false);
            } else if (crowded.getAsBoolean()) {
                LOG.log(Level.WARNING, "request {0} refused: connections near the budget of descriptors", id);
                refused(1_000_000);
            } else {
                Ask ask;
                try {
                    Labels labels = Labels.of(head);
                    ask = new Ask(request.arrived(), labels.remaining(terms.deadline()),
                        "1".equals(head.header("x-resent")), 0, labels.key(),
                        labels.number("slots", "width", 1), labels.number("memory", "ram_units", 0));
                } catch (NumberFormatException e) {
                    reject(400, "an unreadable number in the headers: " + e.getMessage(), false);
                    return;
                }
                // The handle is known only when take() returns; the answer may come before that.
                long taken = core.take(this, new Work(id, terms.index(), head.second(), effectKey,
                    head.header("content-type"), request.body()), ask);
                handle = current == request ? taken : handle;
            }
        }

        @Override
        public void served(byte[] result) {
            respond(HttpWriter.answer(200), result == null ? NOTHING : result);
        }

        @Override
        public void refused(long waitMicros) {
            HttpWriter answer = HttpWriter.answer(503);
            answer.header("Retry-After", waitMicros > 0 ? decimal(waitMicros) : null);
            respond(answer, NOTHING);
        }

        @Override
        public void failed() {
            respond(HttpWriter.answer(500), NOTHING);
        }

        private void reject(int status, String why, boolean last) {
            LOG.log(Level.WARNING, "client connection {0}: answered {1}: {2}",
                new Object[] {channel.number(), status, why});
            ending |= last;
            respond(HttpWriter.answer(status).header("Content-Type", "text/plain")
                .header("Allow", status == 405 ? "POST" : null),
                why.getBytes(StandardCharsets.UTF_8));
        }

        private void respond(HttpWriter answer, byte[] body) {
            // Danger: a request that has come is owed an answer, also when the node drains.
            boolean last = ending || draining && waiting.isEmpty()
                || current != null && current.head().closes();
            byte[] message = answer.header("Connection", last ? "close" : null).bytes(body);
            current = null;
            handle = 0;
            if (last) {
                ending = true;
                channel.writeAndClose(message);
            } else {
                channel.write(message);
                idle = loop.at(loop.now() + IDLE, channel::close);
                if (!waiting.isEmpty()) {
                    loop.execute(this::next);
                }
            }
        }
    }

    /** Seconds, exact to the millisecond. */
    private static String decimal(long micros) {
        long millis = (micros + 999) / 1_000;
        return millis % 1_000 == 0 ? Long.toString(millis / 1_000)
            : String.format(Locale.ROOT, "%d.%03d", millis / 1_000, millis % 1_000);
    }
}
