package gorserill.protocol.http;

import gorserill.common.Loop;
import gorserill.protocol.discovery.CallPace;
import gorserill.protocol.discovery.WatchStatistics;
import gorserill.protocol.discovery.WorkerListing;
import gorserill.transport.Transport;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.filterchain.FilterChain;

/**
 * Watches the list of workers at the discovery service by long polling: one call after another on one connection. The
 * next call follows each response at once, since discovery drops a watch that is not renewed within 200 ms. After a
 * call that failed early the watch pauses until {@link #start}; a call that failed late is repeated at once
 * ({@link CallPace#retryAtOnceAfterFailure}).
 *
 * <p>A call that is superseded after an address change or a timeout is not abandoned: discovery considers this node
 * informed as soon as it has written a response, and may answer the superseded call long before its successor.
 * Superseded calls are therefore read until the current one is answered.
 */
public final class HttpWatch {
    private static final Logger LOG = Logger.getLogger(HttpWatch.class.getName());
    /** Interval between attempts at a new address, during {@link #FAST_RETRY_MICROS}. */
    private static final long FAST_RETRY_INTERVAL_MICROS = 100_000;

    /**
     * Duration of the fast retries after an address change. Discovery considers this node informed of what the new
     * address reports 4 s after the change.
     */
    private static final long FAST_RETRY_MICROS = 4_000_000;
    /** Maximum number of superseded calls that are still read; beyond it the oldest is closed. */
    private static final int MAX_SUPERSEDED = 6;
    /** Maximum number of connections to discovery: the current call, the superseded ones, and one being closed. */
    public static final int MAX_CONNECTIONS = MAX_SUPERSEDED + 2;

    private final Loop loop;
    private final Transport transport;
    private final FilterChain chain;
    private final Consumer<WorkerListing> onListing;
    private final Runnable onFailure;
    private final CallPace pace;
    private final WatchStatistics statistics = new WatchStatistics();
    private final CallListener callListener = new CallListener();
    /** Superseded calls that are still read, oldest first. */
    private final Deque<DiscoveryCall> superseded = new ArrayDeque<>();

    private InetSocketAddress address;
    /** End of the fast retries after an address change, on the loop's clock. */
    private long fastRetryUntil;

    private boolean started;
    /** Earliest time of the next call, on the loop's clock. */
    private long notBefore;

    private long index;
    /**
     * Whether the next call requests the whole list, as the first one does. Discovery answers it at once, but answers a
     * watch only when there is a change.
     */
    private boolean requestWhole = true;

    private DiscoveryCall call;
    private int callCount;

    public HttpWatch(
            Loop loop,
            Transport transport,
            FilterChain chain,
            InetSocketAddress address,
            CallPace pace,
            Consumer<WorkerListing> onListing,
            Runnable onFailure) {
        this.pace = pace;
        this.loop = loop;
        this.transport = transport;
        this.chain = chain;
        this.address = address;
        this.onListing = onListing;
        this.onFailure = onFailure;
    }

    /** Changes the address of discovery and calls the new address at once. */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        LOG.log(Level.INFO, "discovery: moves from {0} to {1}", new Object[] {address, newAddress});
        address = newAddress;
        requestWhole = true;
        started = true;
        notBefore = loop.now();
        fastRetryUntil = loop.now() + FAST_RETRY_MICROS;
        supersede();
        start();
    }

    /** Counts of the calls and their outcomes since the start. */
    public WatchStatistics statistics() {
        return statistics;
    }

    /**
     * Starts from a list that the node already has, so that the first call requests only later changes. If nodes that
     * start together all requested the whole list, a discovery service that handles its callers one by one would be
     * busy sending known entries, and each call that it rejects would leave a node without a watch.
     */
    public void startFrom(WorkerListing listing) {
        if (!listing.entries().isEmpty() && !pace.startsWithFullList()) {
            index = listing.index();
            requestWhole = false;
        }
    }

    /** Starts the watch unless it is running. */
    public void start() {
        if (!started) {
            started = true;
            notBefore = loop.now() + (requestWhole ? 0 : pace.initialDelay() * 1_000);
        }
        if (loop.now() < notBefore) {
            loop.at(notBefore, this::start);
        } else if (call == null) {
            statistics.countCall();
            call = new DiscoveryCall(loop, transport, chain, address, ++callCount, callListener);
        }
    }

    private void sendCall() {
        long wait = requestWhole ? 0 : pace.nextWatchWait();
        String target = "/v1/servers" + (requestWhole ? "" : "?index=" + index + "&wait=" + wait);
        call.send(target, pace.answerTimeout(wait));
    }

    /** Supersedes the current call, which is still read if it has been sent. */
    private void supersede() {
        if (call == null) {
            return;
        }
        if (call.isSent()) {
            statistics.countSuperseded();
            LOG.log(Level.INFO, "discovery: {0} is superseded, and read on", call.describe());
            call.cancelTimeout();
            superseded.add(call);
            if (superseded.size() > MAX_SUPERSEDED) {
                superseded.remove().close();
            }
        } else {
            call.close();
        }
        call = null;
    }

    /** Closes the superseded calls once the current one is answered; responses already on their way are still read. */
    private void closeSuperseded() {
        superseded.removeIf(DiscoveryCall::isClosed);
        superseded.forEach(DiscoveryCall::closeGracefully);
    }

    /** Closes the current call without starting another. */
    private void closeCall() {
        call.close();
        call = null;
    }

    private void retryOrFail() {
        if (loop.now() < fastRetryUntil) {
            loop.at(loop.now() + FAST_RETRY_INTERVAL_MICROS, this::start);
        } else {
            onFailure.run();
        }
    }

    /** Handles the results of the current call and of superseded ones. */
    private final class CallListener implements DiscoveryCall.Listener {
        @Override
        public void opened(DiscoveryCall source) {
            sendCall();
        }

        @Override
        public void answered(DiscoveryCall source, WorkerListing listing, boolean closes) {
            if (source != call) {
                answeredSuperseded(source, listing);
                return;
            }
            boolean outdated = source.isOutdated(listing);
            if (!outdated) {
                // A lower index means that discovery has restarted with a new numbering; its incremental updates may
                // lack earlier changes, so the whole list is requested next.
                requestWhole = !listing.whole() && listing.index() < index;
                index = listing.index();
            } else {
                // The response is older than an update that a superseded call has brought in the meantime.
                requestWhole = true;
            }
            fastRetryUntil = 0;
            pace.recordAnswer();
            statistics.countAnswered();
            closeSuperseded();
            if (closes) {
                closeCall();
                start();
            } else {
                sendCall();
            }
            if (!outdated) {
                onListing.accept(listing);
            }
        }

        /** Applies the response to a superseded call, since discovery considers this node informed of its content. */
        private void answeredSuperseded(DiscoveryCall source, WorkerListing listing) {
            remove(source);
            if (listing.index() <= index) {
                return;
            }
            statistics.countLateAnswer();
            LOG.log(Level.INFO, "discovery: {0} still tells version {1}", new Object[] {
                source.describe(), listing.index()
            });
            index = listing.index();
            if (call != null) {
                call.markOutdatedBelow(index);
            }
            onListing.accept(listing);
        }

        private void remove(DiscoveryCall source) {
            superseded.remove(source);
            source.close();
        }

        /** Pauses, except after an address change, since this node soon counts as informed by the new address. */
        @Override
        public void rejected(DiscoveryCall source) {
            if (source != call) {
                remove(source);
                return;
            }
            statistics.countTurnedAway();
            LOG.log(Level.WARNING, "discovery: the watch was turned away: {0} ends", source.describe());
            notBefore = loop.now() < fastRetryUntil ? loop.now() : loop.now() + pace.delayAfterTurnedAway() * 1_000;
            closeCall();
            retryOrFail();
        }

        /**
         * Sends the next call at once: discovery has not refused the call, and it will soon consider this node
         * informed of an update that may have been lost. This cannot happen often, since a timeout takes seconds.
         */
        @Override
        public void timedOut(DiscoveryCall source) {
            statistics.countSilent();
            LOG.log(Level.WARNING, "discovery: no answer, the watch is opened anew: {0} has none", source.describe());
            pace.recordSilence();
            supersede();
            start();
        }

        @Override
        public void failed(DiscoveryCall source, String why) {
            if (source != call) {
                remove(source);
                return;
            }
            statistics.countFailed();
            LOG.log(Level.WARNING, "discovery: the watch failed: {0}: {1} ends", new Object[] {why, source.describe()});
            boolean retryNow = pace.retryAtOnceAfterFailure(source.elapsedMillis());
            closeCall();
            if (retryNow) {
                start();
            } else {
                retryOrFail();
            }
        }
    }
}
