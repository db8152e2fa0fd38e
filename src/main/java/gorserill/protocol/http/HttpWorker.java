package gorserill.protocol.http;

import barrowflow.Dispatcher.Outcome;
import gorserill.common.Deadlines.Deadline;
import gorserill.common.Loop;
import gorserill.routing.Attempt;
import gorserill.routing.Load;
import gorserill.routing.Work;
import gorserill.routing.WorkerPort;
import gorserill.transport.Channel;
import gorserill.transport.Peer;
import gorserill.transport.Transport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.filterchain.FilterChain;

/** A worker of the platform's, and the pool of connections to it. */
public final class HttpWorker implements WorkerPort {
    private static final Logger LOG = Logger.getLogger(HttpWorker.class.getName());
    private static final int MAX_LINE = 128 * 1024;

    /** What all workers of a node have in common. */
    public record Terms(Loop loop, Transport transport, FilterChain chain, List<String> classNames,
                        LoadNames reports, long connectTimeout, long keepIdle) { }

    private final Terms terms;
    private final String name;
    private InetSocketAddress address;
    private final Deque<Link> idle = new ArrayDeque<>();
    private final Map<Attempt, Link> busy = new HashMap<>();

    public HttpWorker(Terms terms, String name, InetSocketAddress address) {
        this.terms = terms;
        this.name = name;
        this.address = address;
    }

    /** The worker is to be found elsewhere from now on. */
    public void moveTo(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            closeIdle();
        }
    }

    /** Closes the connections that are not in use. */
    public void closeIdle() {
        for (Link link : List.copyOf(idle)) {
            link.shut();
        }
    }

    @Override
    public void start(Attempt attempt, Work work, long expires) {
        // The connection used last is the one least likely to be near its idle limit.
        Link link = idle.pollLast();
        if (link == null) {
            link = new Link();
        }
        busy.put(attempt, link);
        link.start(attempt, work, expires);
    }

    @Override
    public boolean callOff(Attempt attempt) {
        Link link = busy.get(attempt);
        return link == null || link.callOff();
    }

    /** One connection, with one request at a time. */
    private final class Link implements Peer {
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private Transport.Connecting connecting;
        private Channel channel;
        private Channel.Sending sending;
        private Deadline deadline;
        private Attempt attempt;
        private Work work;
        private long expires;
        private HttpHead head;
        private boolean finished;
        private boolean shut;

        void start(Attempt next, Work its, long until) {
            attempt = next;
            work = its;
            expires = until;
            head = null;
            finished = false;
            line.reset();
            terms.loop().cancel(deadline);
            if (channel != null) {
                write();
            } else {
                connecting = terms.transport().connect(address, terms.chain(), this);
                deadline = terms.loop().at(terms.loop().now() + terms.connectTimeout(), () -> {
                    connecting.cancel();
                    connectFailed("not up within the time-out");
                });
            }
        }

        private void write() {
            String target = work.route() != null ? work.route()
                : "/" + terms.classNames().get(work.jobClass());
            long left = Math.max(1, (expires - terms.loop().now()) / 1_000);
            sending = channel.write(HttpWriter.request("POST", target, name).header("X-Txn", work.id())
                .header("X-Lane", terms.classNames().get(work.jobClass())).header("X-Remaining-Ms", left)
                .header("Idempotency-Key", work.effectKey()).header("Content-Type", work.contentType())
                .bytes(work.body()));
        }

        @Override
        public void opened(Channel opened) {
            channel = opened;
            if (shut) {
                channel.close();
                return;
            }
            terms.loop().cancel(deadline);
            write();
        }

        @Override
        public void connectFailed(String why) {
            if (!shut) {
                LOG.log(Level.FINE, "worker {0}: no connection: {1}", new Object[] {name, why});
                shut();
                finish(Outcome.CONNECT_FAILED, null, Load.NONE);
            }
        }

        @Override
        public void closed() {
            if (!shut) {
                shut();
                // Before the request's last byte was written the job can't have run; after it, it may have.
                finish(sending.written() ? Outcome.RESET : Outcome.CONNECT_FAILED, null, Load.NONE);
            }
        }

        /** @return whether the request provably never reached the worker */
        boolean callOff() {
            boolean never = channel == null;
            busy.remove(attempt);
            attempt = null;
            shut();
            return never;
        }

        void shut() {
            shut = true;
            idle.remove(this);
            terms.loop().cancel(deadline);
            if (channel != null) {
                channel.close();
            } else if (connecting != null) {
                connecting.cancel();
            }
        }

        private void finish(Outcome outcome, byte[] result, Load load) {
            finished = true;
            if (attempt != null) {
                Attempt ended = attempt;
                attempt = null;
                busy.remove(ended);
                ended.ended(outcome, result, load);
            }
        }

        @Override
        @SuppressWarnings("unchecked")
        public void received(Object messages) {
            for (Object message : (List<Object>) messages) {
                if (shut) {
                    return;
                } else if (message instanceof HttpHead answer) {
                    head(answer);
                } else if (message instanceof byte[] data) {
                    data(data);
                } else if (message == HttpCodec.END) {
                    end();
                } else {
                    broken(((HttpException) message).getMessage());
                }
            }
        }

        private void head(HttpHead answer) {
            if (answer.status() < 200) {
                return;
            }
            head = answer;
            if (attempt == null && finished) {
                broken("an answer to no request");
            } else if (answer.status() != 200) {
                boolean away = (answer.status() == 503 || answer.status() == 504)
                    && "1".equals(answer.header("x-turned-away"));
                if (!away && answer.status() != 500) {
                    LOG.log(Level.WARNING, "worker {0} answered {1} to request {2}",
                        new Object[] {name, answer.status(), attempt.requestId()});
                }
                finish(away ? Outcome.FULL : Outcome.ERROR, null,
                    JobEvent.load(answer.header("x-pressure"), terms.reports()));
            }
        }

        private void data(byte[] data) {
            for (byte b : data) {
                if (finished) {
                    return;
                }
                if (b != '\n') {
                    line.write(b);
                } else if (line.size() > 0) {
                    event(line.toByteArray());
                    line.reset();
                }
            }
            if (line.size() > MAX_LINE) {
                broken("a line of more than " + MAX_LINE + " bytes");
            }
        }

        private void event(byte[] text) {
            JobEvent event;
            try {
                event = JobEvent.parse(text, terms.reports());
            } catch (IOException e) {
                broken("an unreadable line: " + e.getMessage());
                return;
            }
            Load load = event.load() != null ? event.load()
                : JobEvent.load(head.header("x-pressure"), terms.reports());
            switch (event.state()) {
                case "started" -> attempt.started();
                case "done" -> finish(Outcome.SERVED, event.result(), load);
                case "failed" -> finish(Outcome.ERROR, null, load);
                case "returned" -> finish(Outcome.FULL, null, load);
                case "lost" -> finish(Outcome.RESET, null, load);
                default -> { }
            }
        }

        private void end() {
            if (line.size() > 0 && !finished) {
                event(line.toByteArray());
            }
            if (!finished) {
                // The answer ended before its last line.
                shut();
                finish(Outcome.RESET, null, Load.NONE);
            } else if (shut || head.closes()) {
                shut();
            } else {
                idle.add(this);
                deadline = terms.loop().at(terms.loop().now() + terms.keepIdle(), this::shut);
            }
        }

        private void broken(String why) {
            LOG.log(Level.WARNING, "worker {0}: connection {1} closed: {2}",
                new Object[] {name, channel.number(), why});
            shut();
            finish(Outcome.RESET, null, Load.NONE);
        }
    }
}
