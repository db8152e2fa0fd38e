package gorserill.protocol.http;

import barrowflow.Dispatcher.Outcome;
import gorserill.common.Deadlines.Deadline;
import gorserill.common.Loop;
import gorserill.common.ThrottledWarnings;
import gorserill.routing.Attempt;
import gorserill.routing.JobSpec;
import gorserill.routing.Load;
import gorserill.routing.WorkerPort;
import gorserill.transport.Channel;
import gorserill.transport.ChannelListener;
import gorserill.transport.Transport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.filterchain.FilterChain;

/** A worker of the platform's, and the pool of connections to it. */
public final class HttpWorker implements WorkerPort {
    private static final Logger LOG = Logger.getLogger(HttpWorker.class.getName());
    private static final int MAX_LINE = 128 * 1024;
    /** An answer ends so long after its last line. */
    private static final long ENDING = 500_000;

    /**
     * What all workers of a node have in common.
     *
     * @param idleTimeoutMicros how long a connection may stand idle
     * @param warnings of answers with a status that the protocol does not have
     */
    public record Config(
            Loop loop,
            Transport transport,
            FilterChain chain,
            List<String> classNames,
            LoadFieldNames loadFields,
            long connectTimeoutMicros,
            long idleTimeoutMicros,
            ThrottledWarnings warnings,
            IdleReuseLimit idleLimit) {
        public Config(
                Loop loop,
                Transport transport,
                FilterChain chain,
                List<String> classNames,
                LoadFieldNames loadFields,
                long connectTimeoutMicros,
                long idleTimeoutMicros,
                ThrottledWarnings warnings) {
            this(
                    loop,
                    transport,
                    chain,
                    classNames,
                    loadFields,
                    connectTimeoutMicros,
                    idleTimeoutMicros,
                    warnings,
                    new IdleReuseLimit(loop, idleTimeoutMicros));
        }
    }

    private final Config config;
    private final String name;
    private InetSocketAddress address;
    private final Deque<Link> idle = new ArrayDeque<>();
    private final Map<Attempt, Link> busy = new HashMap<>();
    private HttpProbe probe;

    public HttpWorker(Config config, String name, InetSocketAddress address) {
        this.config = config;
        this.name = name;
        this.address = address;
    }

    @Override
    public String toString() {
        return name;
    }

    /** The worker is to be found elsewhere from now on. */
    public void moveTo(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            outOfService();
        }
    }

    /** Closes the connections that are not in use. */
    public void closeIdle() {
        if (probe != null) {
            probe.end();
        }
        for (Link link : List.copyOf(idle)) {
            link.shut();
        }
    }

    @Override
    public void outOfService() {
        closeIdle();
        for (Link link : List.copyOf(busy.values())) {
            link.giveBackUnwritten();
        }
    }

    @Override
    public void start(Attempt attempt, JobSpec work, long expires) {
        // Danger: one that the worker has closed, of which word is on its way, would cost the job an attempt
        // and the worker its good name.
        idle.removeIf(Link::gone);
        // The connection used last is the one least likely to be near its idle limit.
        Link link = idle.peekLast();
        if (link != null && link.idleFor() > config.idleLimit().limitMicros()) {
            // The others have been idle for longer.
            closeIdle();
            link = null;
        }
        if (link == null) {
            link = new Link();
        }
        idle.remove(link);
        busy.put(attempt, link);
        link.start(attempt, work, expires);
    }

    @Override
    public void probe(Consumer<Load> answer) {
        if (probe == null || probe.over()) {
            probe = new HttpProbe(config, name);
        }
        if (probe.free()) {
            probe.ask(address, answer);
        } else {
            answer.accept(Load.NONE);
        }
    }

    @Override
    public boolean abort(Attempt attempt) {
        Link link = busy.get(attempt);
        return link == null || link.callOff();
    }

    /** One connection, with one request at a time. */
    private final class Link implements ChannelListener {
        private ByteArrayOutputStream line = new ByteArrayOutputStream();
        private Transport.PendingConnection connecting;
        private Channel channel;
        /** Where it leads, from its opening on. */
        private InetSocketAddress to;

        private Channel.PendingWrite sending;
        private Deadline deadline;
        private Attempt attempt;
        private JobSpec work;
        private long expires;
        /** Not a byte of the attempt at hand has gone out. */
        private boolean unwritten;

        private HttpHead head;
        private long idleSince;
        /** How long it was idle before the request at hand; -1 for its first. */
        private long idledFor = -1;

        private long sentAt;
        /** The attempt has its outcome. */
        private boolean finished;
        /** The answer has ended, too. */
        private boolean ended;
        /** The job before this one, on a connection that is used again. */
        private String before;
        /** A line of the answer at hand was this job's. */
        private boolean named;
        /** The answer at hand is one more to the job before. */
        private boolean stray;
        /** Something came after the last line. */
        private boolean overrun;

        private boolean shut;

        boolean gone() {
            return channel.isClosed();
        }

        long idleFor() {
            return config.loop().now() - idleSince;
        }

        void start(Attempt next, JobSpec its, long until) {
            before = work == null || work.id().equals(its.id()) ? null : work.id();
            named = false;
            attempt = next;
            work = its;
            expires = until;
            unwritten = true;
            head = null;
            finished = false;
            ended = false;
            line.reset();
            config.loop().cancel(deadline);
            if (channel != null) {
                idledFor = idleFor();
                write();
            } else {
                attempt.opening();
                to = address;
                connecting = config.transport().connect(to, config.chain(), this);
                deadline = config.loop().at(config.loop().now() + config.connectTimeoutMicros(), () -> {
                    connecting.cancel();
                    connectFailed("not up within the time-out");
                });
            }
        }

        /** Danger: the worker may drain, or the client have left, and word of it may lie unread. */
        private void write() {
            Attempt its = attempt;
            channel.runAfterReads(() -> {
                if (attempt == its && unwritten) {
                    writeNow();
                }
            });
        }

        private void writeNow() {
            if (!attempt.tryBegin()) {
                giveBack(idledFor >= 0);
                return;
            }
            unwritten = false;
            sentAt = config.loop().now();
            String target = work.route() != null
                    ? work.route()
                    : "/" + config.classNames().get(work.jobClass());
            long left = Math.max(1, (expires - config.loop().now()) / 1_000);
            sending = channel.write(
                    HttpMessageBuilder.request("POST", target, name)
                            .header("X-Txn", work.id())
                            .header("X-Lane", config.classNames().get(work.jobClass()))
                            .header("X-Remaining-Ms", left)
                            .header("Idempotency-Key", work.idempotencyKey())
                            .header("X-Fence", work.fencingToken())
                            .header("Content-Type", work.contentType())
                            .bytes(work.body()),
                    attempt::written);
        }

        @Override
        public void opened(Channel opened) {
            channel = opened;
            if (shut) {
                channel.close();
                return;
            }
            config.loop().cancel(deadline);
            write();
        }

        @Override
        public void connectFailed(String why) {
            neverUp(Outcome.CONNECT_FAILED, "no connection: " + why);
        }

        /**
         * Danger: the node's own want of descriptors says nothing of the worker. Told as a failed connection
         * it would bar the worker, doubling with each one in a row, and keep it barred after room came back.
         */
        @Override
        public void noDescriptor(String why) {
            neverUp(Outcome.NOT_SENT, "not sent: " + why);
        }

        private void neverUp(Outcome outcome, String why) {
            if (!shut) {
                LOG.log(Level.FINE, "worker {0}: {1}", new Object[] {name, why});
                shut();
                finish(outcome, null, Load.NONE);
            }
        }

        @Override
        public void closed() {
            if (!shut) {
                shut();
                if (attempt != null && !unwritten && head == null && idledFor >= 0) {
                    config.idleLimit().onReset(idledFor, config.loop().now() - sentAt);
                }
                // Before the request's last byte was written the job can't have run; after it, it may have.
                finish(outcomeOfClose(), null, Load.NONE);
            }
        }

        private Outcome outcomeOfClose() {
            if (unwritten) {
                // One that rested and ended says nothing of the worker.
                return idledFor >= 0 ? Outcome.NOT_SENT : Outcome.CONNECT_FAILED;
            }
            return sending.isWritten() ? Outcome.RESET : Outcome.CONNECT_FAILED;
        }

        /** @return whether the request provably never reached the worker */
        boolean callOff() {
            busy.remove(attempt);
            attempt = null;
            if (unwritten && idledFor >= 0) {
                rest();
            } else {
                shut();
            }
            return unwritten;
        }

        /** The worker is to get nothing new. */
        void giveBackUnwritten() {
            if (unwritten) {
                giveBack(false);
            }
        }

        /**
         * Not a byte of the job went out: it provably never ran here.
         *
         * @param keep whether the connection may rest
         */
        private void giveBack(boolean keep) {
            LOG.log(Level.FINE, "worker {0}: request {1} given back, unwritten", new Object[] {name, attempt.requestId()
            });
            Attempt unwritten = attempt;
            busy.remove(unwritten);
            attempt = null;
            if (keep) {
                rest();
            } else {
                shut();
            }
            // An event of its own: the core may be in the middle of a call.
            config.loop().execute(() -> unwritten.ended(Outcome.NOT_SENT, null, Load.NONE));
        }

        void shut() {
            shut = true;
            idle.remove(this);
            config.loop().cancel(deadline);
            if (channel != null) {
                channel.close();
            } else if (connecting != null) {
                connecting.cancel();
            }
        }

        private void finish(Outcome outcome, byte[] result, Load load) {
            finish(ended -> ended.ended(outcome, result, load));
        }

        private void finish(Consumer<Attempt> tell) {
            finished = true;
            if (!shut) {
                // The answer's end comes at once, or the connection is of no more use.
                deadline = config.loop().at(config.loop().now() + ENDING, this::shut);
            }
            if (attempt != null) {
                Attempt ended = attempt;
                attempt = null;
                busy.remove(ended);
                tell.accept(ended);
            }
        }

        @Override
        @SuppressWarnings("unchecked")
        public void received(Object messages) {
            for (Object message : (List<Object>) messages) {
                if (shut) {
                    return;
                } else if (unwritten && attempt != null) {
                    // Danger: taken for its answer, it would end a job that never went out.
                    giveBack(false);
                } else if (message == PARTIAL_MESSAGE) {
                    if (finished && ended) {
                        broken("bytes that nobody asked for");
                    }
                } else if (message instanceof HttpHead answer) {
                    head(answer);
                } else if (message instanceof byte[] data) {
                    data(data);
                } else if (message == HttpCodec.END_OF_RESPONSE) {
                    end();
                } else {
                    broken(((HttpException) message).getMessage());
                }
            }
        }

        private void head(HttpHead answer) {
            head = answer;
            if (finished) {
                broken("an answer to no request");
            } else if (answer.status() >= 400 && answer.status() < 500) {
                config.warnings()
                        .add(Integer.toString(answer.status()), "worker " + name + ": request " + attempt.requestId());
                finish(Attempt::invalidJob);
            } else if (answer.status() != 200) {
                boolean away = (answer.status() == 503 || answer.status() == 504)
                        && "1".equals(answer.header("x-turned-away"));
                if (!away && answer.status() != 500) {
                    config.warnings()
                            .add(
                                    Integer.toString(answer.status()),
                                    "worker " + name + ": request " + attempt.requestId());
                }
                finish(
                        away ? Outcome.REJECTED : Outcome.ERROR,
                        null,
                        JobEvent.parseLoad(answer.header("x-pressure"), config.loadFields()));
            }
        }

        private void data(byte[] data) {
            for (byte b : data) {
                if (stray) {
                    // Skipped, however long it is: the job's own time ends it.
                } else if (finished || shut) {
                    // What follows the last line is of no use; the connection goes once it ends, or at once.
                    overrun |= head.status() == 200 && (b < 0 || b > ' ');
                } else if (b != '\n') {
                    line.write(b);
                } else if (line.size() > 0) {
                    event(line.toByteArray());
                    line.reset();
                }
            }
            if (line.size() > MAX_LINE) {
                broken("a line of more than " + MAX_LINE + " bytes");
            } else if (overrun && !shut) {
                broken("more after the last line");
            }
        }

        private void event(byte[] text) {
            JobEvent event;
            try {
                event = JobEvent.parse(text, config.loadFields());
            } catch (IOException e) {
                broken("an unreadable line: " + e.getMessage());
                return;
            }
            if (!named && event.id() != null && event.id().equals(before)) {
                // Danger: ended by it, a job that may not run twice would be lost to another's second answer.
                config.warnings().add("a second answer", "worker " + name + ": to request " + before);
                stray = true;
                return;
            }
            // Danger: a line about another request would serve this one with what was not made for it.
            if (event.id() != null && !event.id().equals(attempt.requestId())) {
                broken("a line for request " + event.id() + " in the answer to " + attempt.requestId());
                return;
            }
            named = true;
            Load load = event.load() != null
                    ? event.load()
                    : JobEvent.parseLoad(head.header("x-pressure"), config.loadFields());
            switch (event.state()) {
                case "started" -> attempt.started();
                case "done" -> finish(Outcome.SERVED, event.result(), load);
                case "failed" -> finish(Outcome.ERROR, null, load);
                case "returned" -> finish(Outcome.REJECTED, null, load);
                case "lost" -> finish(Outcome.RESET, null, load);
                default -> {}
            }
        }

        private void end() {
            if (line.size() > 0 && !finished && !stray) {
                event(line.toByteArray());
            }
            if (stray) {
                // One is enough: who sends more of them is not listened to.
                before = null;
                stray = false;
                head = null;
                line.reset();
            } else if (!finished) {
                // The answer ended before its last line.
                shut();
                finish(Outcome.RESET, null, Load.NONE);
            } else if (shut || head.closes() || head.status() != 200 || !to.equals(address)) {
                // Danger: the worker may have moved while the job ran; the next one would go to its old
                // address. And an answer that names no job could come again, and be taken for the next one's:
                // 'turned away' would have what runs run twice.
                shut();
            } else {
                rest();
            }
        }

        private void rest() {
            finished = true;
            ended = true;
            idleSince = config.loop().now();
            line = new ByteArrayOutputStream();
            idle.add(this);
            config.loop().cancel(deadline);
            deadline = config.loop().at(idleSince + config.idleTimeoutMicros(), this::shut);
        }

        private void broken(String why) {
            config.warnings().add("connection closed", "worker " + name + ": " + why);
            shut();
            finish(Outcome.RESET, null, Load.NONE);
        }
    }
}
