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

/** A worker reached over HTTP/1.1, with a pool of persistent connections to it. */
public final class HttpWorker implements WorkerPort {
    private static final Logger LOG = Logger.getLogger(HttpWorker.class.getName());
    private static final int MAX_LINE_BYTES = 128 * 1024;
    /** Maximum time between the final event line of a response and the end of that response, in microseconds. */
    private static final long RESPONSE_END_TIMEOUT_MICROS = 500_000;

    /**
     * Configuration and services shared by all workers of a node.
     *
     * @param loadFields names of the fields in load reports
     * @param connectTimeoutMicros time limit for opening a connection
     * @param idleTimeoutMicros time after which an idle connection is closed
     * @param warnings log of unexpected statuses and protocol errors in workers' responses
     * @param idleLimit limit on the idle time after which a connection is still reused
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
    private final Deque<WorkerConnection> idleConnections = new ArrayDeque<>();
    private final Map<Attempt, WorkerConnection> busyConnections = new HashMap<>();
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

    /** Changes the worker's address; connections to the old address are not used for new requests. */
    public void moveTo(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            address = newAddress;
            outOfService();
        }
    }

    /** Closes all idle connections, including the one for load probes. */
    public void closeIdle() {
        if (probe != null) {
            probe.close();
        }
        for (WorkerConnection connection : List.copyOf(idleConnections)) {
            connection.close();
        }
    }

    @Override
    public void outOfService() {
        closeIdle();
        for (WorkerConnection connection : List.copyOf(busyConnections.values())) {
            connection.returnIfUnwritten();
        }
    }

    @Override
    public void start(Attempt attempt, JobSpec job, long expires) {
        // Sending on a connection that the worker has already closed would use up one of the job's attempts
        // and count as a failure of the worker.
        idleConnections.removeIf(WorkerConnection::isGone);
        // The most recently used connection is the least likely to be near its idle limit.
        WorkerConnection connection = idleConnections.peekLast();
        if (connection != null && connection.idleMicros() > config.idleLimit().limitMicros()) {
            // All other connections have been idle for even longer.
            closeIdle();
            connection = null;
        }
        if (connection == null) {
            connection = new WorkerConnection();
        }
        idleConnections.remove(connection);
        busyConnections.put(attempt, connection);
        connection.start(attempt, job, expires);
    }

    @Override
    public void probe(Consumer<Load> callback) {
        if (probe == null || probe.isClosed()) {
            probe = new HttpProbe(config, name);
        }
        if (probe.isIdle()) {
            probe.query(address, callback);
        } else {
            callback.accept(Load.NONE);
        }
    }

    @Override
    public boolean abort(Attempt attempt) {
        WorkerConnection connection = busyConnections.get(attempt);
        return connection == null || connection.abort();
    }

    /** A connection that carries one request at a time. */
    private final class WorkerConnection implements ChannelListener {
        private ByteArrayOutputStream line = new ByteArrayOutputStream();
        private Transport.PendingConnection connecting;
        private Channel channel;
        /** The address that the connection was opened to; the worker's address may have changed since. */
        private InetSocketAddress remoteAddress;

        private Channel.PendingWrite sending;
        private Deadline deadline;
        private Attempt attempt;
        private JobSpec job;
        private long expires;
        /** No byte of the current attempt's request has been written. */
        private boolean unwritten;

        private HttpHead head;
        private long idleSinceMicros;
        /** Idle time before the current request, in microseconds; -1 for the first request of the connection. */
        private long idleBeforeRequestMicros = -1;

        private long sentAtMicros;
        /** The outcome of the current attempt is known. */
        private boolean outcomeKnown;
        /** The response has been received completely. */
        private boolean responseEnded;
        /** Id of the previous job on a reused connection; null if there was none or it had the current job's id. */
        private String previousId;
        /** The current response has been matched to the current job by one of its event lines. */
        private boolean jobMatched;
        /** The current response is a duplicate response to the previous job and is discarded. */
        private boolean duplicateResponse;
        /** The response has non-blank data after its final event line. */
        private boolean hasTrailingData;

        private boolean closed;

        boolean isGone() {
            return channel.isClosed();
        }

        long idleMicros() {
            return config.loop().now() - idleSinceMicros;
        }

        void start(Attempt nextAttempt, JobSpec nextJob, long nextExpires) {
            previousId = job == null || job.id().equals(nextJob.id()) ? null : job.id();
            jobMatched = false;
            attempt = nextAttempt;
            job = nextJob;
            expires = nextExpires;
            unwritten = true;
            head = null;
            outcomeKnown = false;
            responseEnded = false;
            line.reset();
            config.loop().cancel(deadline);
            if (channel != null) {
                idleBeforeRequestMicros = idleMicros();
                write();
            } else {
                attempt.opening();
                remoteAddress = address;
                connecting = config.transport().connect(remoteAddress, config.chain(), this);
                deadline = config.loop().at(config.loop().now() + config.connectTimeoutMicros(), () -> {
                    connecting.cancel();
                    connectFailed("connect timeout");
                });
            }
        }

        /**
         * Writes the request after all pending input has been read, which may report that the worker drains or
         * that the client has disconnected.
         */
        private void write() {
            Attempt current = attempt;
            channel.runAfterReads(() -> {
                if (attempt == current && unwritten) {
                    writeNow();
                }
            });
        }

        private void writeNow() {
            if (!attempt.tryBegin()) {
                returnJob(idleBeforeRequestMicros >= 0);
                return;
            }
            unwritten = false;
            sentAtMicros = config.loop().now();
            String target = job.route() != null
                    ? job.route()
                    : "/" + config.classNames().get(job.jobClass());
            long remainingMillis = Math.max(1, (expires - config.loop().now()) / 1_000);
            sending = channel.write(
                    HttpMessageBuilder.request("POST", target, name)
                            .header("X-Txn", job.id())
                            .header("X-Lane", config.classNames().get(job.jobClass()))
                            .header("X-Remaining-Ms", remainingMillis)
                            .header("Idempotency-Key", job.idempotencyKey())
                            .header("X-Fence", job.fencingToken())
                            .header("Content-Type", job.contentType())
                            .bytes(job.body()),
                    attempt::written);
        }

        @Override
        public void opened(Channel opened) {
            channel = opened;
            if (closed) {
                channel.close();
                return;
            }
            config.loop().cancel(deadline);
            write();
        }

        @Override
        public void connectFailed(String why) {
            failUnsent(Outcome.CONNECT_FAILED, "no connection: " + why);
        }

        /**
         * Reports that the node has no file descriptor left. This does not count as a connection failure of the
         * worker: the worker would be excluded for a time that doubles with each consecutive failure, and would stay
         * excluded after descriptors became available again.
         */
        @Override
        public void noDescriptor(String why) {
            failUnsent(Outcome.NOT_SENT, "not sent: " + why);
        }

        private void failUnsent(Outcome outcome, String why) {
            if (!closed) {
                LOG.log(Level.FINE, "worker {0}: {1}", new Object[] {name, why});
                close();
                complete(outcome, null, Load.NONE);
            }
        }

        @Override
        public void closed() {
            if (!closed) {
                close();
                if (attempt != null && !unwritten && head == null && idleBeforeRequestMicros >= 0) {
                    config.idleLimit()
                            .onReset(idleBeforeRequestMicros, config.loop().now() - sentAtMicros);
                }
                // The job cannot have run before the last byte of its request was written; after that it may have.
                complete(outcomeOfClose(), null, Load.NONE);
            }
        }

        private Outcome outcomeOfClose() {
            if (unwritten) {
                // A reused connection that closes before the write says nothing about the worker's health.
                return idleBeforeRequestMicros >= 0 ? Outcome.NOT_SENT : Outcome.CONNECT_FAILED;
            }
            return sending.isWritten() ? Outcome.RESET : Outcome.CONNECT_FAILED;
        }

        /** @return whether the request provably never reached the worker */
        boolean abort() {
            busyConnections.remove(attempt);
            attempt = null;
            if (unwritten && idleBeforeRequestMicros >= 0) {
                returnToPool();
            } else {
                close();
            }
            return unwritten;
        }

        /** Returns the current job to the core unless part of its request was written. */
        void returnIfUnwritten() {
            if (unwritten) {
                returnJob(false);
            }
        }

        /**
         * Returns the current job to the core. No byte of its request was written, so the worker cannot have run it.
         *
         * @param keep whether the connection returns to the pool
         */
        private void returnJob(boolean keep) {
            LOG.log(Level.FINE, "worker {0}: request {1} given back, unwritten", new Object[] {name, attempt.requestId()
            });
            Attempt returned = attempt;
            busyConnections.remove(returned);
            attempt = null;
            if (keep) {
                returnToPool();
            } else {
                close();
            }
            // Posted as a separate event because the core may be in the middle of a call.
            config.loop().execute(() -> returned.ended(Outcome.NOT_SENT, null, Load.NONE));
        }

        void close() {
            closed = true;
            idleConnections.remove(this);
            config.loop().cancel(deadline);
            if (channel != null) {
                channel.close();
            } else if (connecting != null) {
                connecting.cancel();
            }
        }

        private void complete(Outcome outcome, byte[] result, Load load) {
            complete(completed -> completed.ended(outcome, result, load));
        }

        private void complete(Consumer<Attempt> report) {
            outcomeKnown = true;
            if (!closed) {
                // The connection can be reused only if the response ends promptly after its final event line.
                deadline = config.loop().at(config.loop().now() + RESPONSE_END_TIMEOUT_MICROS, this::close);
            }
            if (attempt != null) {
                Attempt completed = attempt;
                attempt = null;
                busyConnections.remove(completed);
                report.accept(completed);
            }
        }

        @Override
        @SuppressWarnings("unchecked")
        public void received(Object messages) {
            for (Object message : (List<Object>) messages) {
                if (closed) {
                    return;
                } else if (unwritten && attempt != null) {
                    // Treating this input as the response would complete a job whose request was never sent.
                    returnJob(false);
                } else if (message == PARTIAL_MESSAGE) {
                    if (outcomeKnown && responseEnded) {
                        closeOnError("data on an idle connection");
                    }
                } else if (message instanceof HttpHead response) {
                    onHead(response);
                } else if (message instanceof byte[] data) {
                    onData(data);
                } else if (message == HttpCodec.END_OF_RESPONSE) {
                    onResponseEnd();
                } else {
                    closeOnError(((HttpException) message).getMessage());
                }
            }
        }

        private void onHead(HttpHead response) {
            head = response;
            if (outcomeKnown) {
                closeOnError("response without a request");
            } else if (response.status() >= 400 && response.status() < 500) {
                config.warnings()
                        .add(
                                Integer.toString(response.status()),
                                "worker " + name + ": request " + attempt.requestId());
                complete(Attempt::invalidJob);
            } else if (response.status() != 200) {
                boolean turnedAway = (response.status() == 503 || response.status() == 504)
                        && "1".equals(response.header("x-turned-away"));
                if (!turnedAway && response.status() != 500) {
                    config.warnings()
                            .add(
                                    Integer.toString(response.status()),
                                    "worker " + name + ": request " + attempt.requestId());
                }
                complete(
                        turnedAway ? Outcome.REJECTED : Outcome.ERROR,
                        null,
                        JobEvent.parseLoad(response.header("x-pressure"), config.loadFields()));
            }
        }

        private void onData(byte[] data) {
            for (byte b : data) {
                if (duplicateResponse) {
                    // Skipped whatever its length; the deadline of the current job limits it.
                } else if (outcomeKnown || closed) {
                    // Data after the final event line is ignored if blank; anything else closes the connection.
                    hasTrailingData |= head.status() == 200 && (b < 0 || b > ' ');
                } else if (b != '\n') {
                    line.write(b);
                } else if (line.size() > 0) {
                    onLine(line.toByteArray());
                    line.reset();
                }
            }
            if (line.size() > MAX_LINE_BYTES) {
                closeOnError("event line longer than " + MAX_LINE_BYTES + " bytes");
            } else if (hasTrailingData && !closed) {
                closeOnError("data after the final event line");
            }
        }

        private void onLine(byte[] text) {
            JobEvent event;
            try {
                event = JobEvent.parse(text, config.loadFields());
            } catch (IOException e) {
                closeOnError("malformed event line: " + e.getMessage());
                return;
            }
            if (!jobMatched && event.id() != null && event.id().equals(previousId)) {
                // Applied to the current job, a duplicate response to the previous one would complete it wrongly, and a
                // job that must not run twice would be lost.
                config.warnings().add("a second answer", "worker " + name + ": to request " + previousId);
                duplicateResponse = true;
                return;
            }
            // An event line for another request would complete this one with a result that is not its own.
            if (event.id() != null && !event.id().equals(attempt.requestId())) {
                closeOnError("event line for request " + event.id() + " in the response to " + attempt.requestId());
                return;
            }
            jobMatched = true;
            Load load = event.load() != null
                    ? event.load()
                    : JobEvent.parseLoad(head.header("x-pressure"), config.loadFields());
            switch (event.state()) {
                case "started" -> attempt.started();
                case "done" -> complete(Outcome.SERVED, event.result(), load);
                case "failed" -> complete(Outcome.ERROR, null, load);
                case "returned" -> complete(Outcome.REJECTED, null, load);
                case "lost" -> complete(Outcome.RESET, null, load);
                default -> {}
            }
        }

        private void onResponseEnd() {
            if (line.size() > 0 && !outcomeKnown && !duplicateResponse) {
                onLine(line.toByteArray());
            }
            if (duplicateResponse) {
                // Only one duplicate is tolerated; a further one closes the connection as an unmatched response.
                previousId = null;
                duplicateResponse = false;
                head = null;
                line.reset();
            } else if (!outcomeKnown) {
                // The response ended before its final event line.
                close();
                complete(Outcome.RESET, null, Load.NONE);
            } else if (closed || head.closes() || head.status() != 200 || !remoteAddress.equals(address)) {
                // The worker's address may have changed while the job ran, and the next request must not go to the
                // old one. A response other than 200 carries no job id: a duplicate of it would be taken for the
                // response to the next request, and a duplicated "turned away" would make a running job run twice.
                close();
            } else {
                returnToPool();
            }
        }

        private void returnToPool() {
            outcomeKnown = true;
            responseEnded = true;
            idleSinceMicros = config.loop().now();
            line = new ByteArrayOutputStream();
            idleConnections.add(this);
            config.loop().cancel(deadline);
            deadline = config.loop().at(idleSinceMicros + config.idleTimeoutMicros(), this::close);
        }

        private void closeOnError(String why) {
            config.warnings().add("connection closed", "worker " + name + ": " + why);
            close();
            complete(Outcome.RESET, null, Load.NONE);
        }
    }
}
