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
 * A watch on discovery: one call after another on one connection, the next at once after an answer, since a
 * watch lives on only if it is taken up within 200 ms. After a failure that came soon it rests until
 * {@link #start}; one that took long is followed by the next call at once ({@link CallPace#failed}).
 *
 * <p>A call that is replaced by another, after a move or a silence, is not given up: what discovery writes counts as
 * told, and the one that waits for its turn may be answered long before its successor. Superseded calls are read until
 * the present one is answered.
 */
public final class HttpWatch {
    private static final Logger LOG = Logger.getLogger(HttpWatch.class.getName());
    /** A new address is tried this often, for so long. Danger: its word counts as told 4 s after the move. */
    private static final long EAGER_PAUSE = 100_000;

    private static final long EAGER = 4_000_000;
    /** Superseded calls that are read at a time; beyond that the oldest is closed. */
    private static final int MAX_SUPERSEDED = 6;
    /** Connections to discovery at a time: the call at hand, those that it superseded, and one being closed. */
    public static final int MAX_CONNECTIONS = MAX_SUPERSEDED + 2;

    private final Loop loop;
    private final Transport transport;
    private final FilterChain chain;
    private final Consumer<WorkerListing> heard;
    private final Runnable failed;
    private final CallPace pace;
    private final WatchStatistics statistics = new WatchStatistics();
    private final CallListener callListener = new CallListener();
    /** The oldest first. */
    private final Deque<DiscoveryCall> superseded = new ArrayDeque<>();

    private InetSocketAddress address;
    /** Until then a failure at a new address is tried again at once. */
    private long eagerUntil;

    private boolean started;
    /** No call goes out before. */
    private long restsUntil;

    private long index;
    /** The first call asks for the whole list: it is answered at once, a watch only when there is news. */
    private boolean whole = true;

    private DiscoveryCall call;
    private int calls;

    public HttpWatch(
            Loop loop,
            Transport transport,
            FilterChain chain,
            InetSocketAddress address,
            CallPace pace,
            Consumer<WorkerListing> heard,
            Runnable failed) {
        this.pace = pace;
        this.loop = loop;
        this.transport = transport;
        this.chain = chain;
        this.address = address;
        this.heard = heard;
        this.failed = failed;
    }

    /** Discovery is to be found elsewhere from now on. */
    public void moveTo(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        LOG.log(Level.INFO, "discovery: moves from {0} to {1}", new Object[] {address, to});
        address = to;
        whole = true;
        started = true;
        restsUntil = loop.now();
        eagerUntil = loop.now() + EAGER;
        supersede();
        start();
    }

    /** What came of the calls since the start. */
    public WatchStatistics statistics() {
        return statistics;
    }

    /**
     * The node starts with this list. Danger: whole lists for nodes that start together keep a service that
     * takes its callers in turn busy with what they know, and each call that it turns away leaves a node
     * without a watch; so there it is asked for what is new since.
     */
    public void startFrom(WorkerListing known) {
        if (!known.entries().isEmpty() && !pace.startsWithFullList()) {
            index = known.index();
            whole = false;
        }
    }

    /** Starts watching, unless it is under way. */
    public void start() {
        if (!started) {
            started = true;
            restsUntil = loop.now() + (whole ? 0 : pace.initialDelay() * 1_000);
        }
        if (loop.now() < restsUntil) {
            loop.at(restsUntil, this::start);
        } else if (call == null) {
            statistics.countCall();
            call = new DiscoveryCall(loop, transport, chain, address, ++calls, callListener);
        }
    }

    private void ask() {
        long wait = whole ? 0 : pace.nextWatchWait();
        String target = "/v1/servers" + (whole ? "" : "?index=" + index + "&wait=" + wait);
        call.send(target, pace.answerTimeout(wait));
    }

    /** Another call takes the place of the one at hand, which is read on if discovery has it. */
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

    /** The call at hand was answered: the others have nothing to tell but what is on its way. */
    private void finishSuperseded() {
        superseded.removeIf(DiscoveryCall::isClosed);
        superseded.forEach(DiscoveryCall::closeGracefully);
    }

    /** The call at hand is over, and no other follows at once. */
    private void endCall() {
        call.close();
        call = null;
    }

    private void fallBack() {
        if (loop.now() < eagerUntil) {
            loop.at(loop.now() + EAGER_PAUSE, this::start);
        } else {
            failed.run();
        }
    }

    private final class CallListener implements DiscoveryCall.Listener {
        @Override
        public void opened(DiscoveryCall source) {
            ask();
        }

        @Override
        public void answered(DiscoveryCall source, WorkerListing listing, boolean closes) {
            if (source != call) {
                answeredLate(source, listing);
                return;
            }
            boolean outdated = source.isOutdated(listing);
            if (!outdated) {
                // Danger: a lower index is another count, of a service that has begun anew: what it calls new
                // since then may leave out whatever came before.
                whole = !listing.whole() && listing.index() < index;
                index = listing.index();
            } else {
                // It was written before the news that a superseded call has brought meanwhile.
                whole = true;
            }
            eagerUntil = 0;
            pace.recordAnswer();
            statistics.countAnswered();
            finishSuperseded();
            if (closes) {
                endCall();
                start();
            } else {
                ask();
            }
            if (!outdated) {
                heard.accept(listing);
            }
        }

        /** Danger: what it tells counts as told, whichever call is the present one. */
        private void answeredLate(DiscoveryCall source, WorkerListing listing) {
            drop(source);
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
            heard.accept(listing);
        }

        private void drop(DiscoveryCall source) {
            superseded.remove(source);
            source.close();
        }

        /** Danger: after a move the new address counts as heard soon, and is asked again at once. */
        @Override
        public void rejected(DiscoveryCall source) {
            if (source != call) {
                drop(source);
                return;
            }
            statistics.countTurnedAway();
            LOG.log(Level.WARNING, "discovery: the watch was turned away: {0} ends", source.describe());
            restsUntil = loop.now() < eagerUntil ? loop.now() : loop.now() + pace.delayAfterTurnedAway() * 1_000;
            endCall();
            fallBack();
        }

        /**
         * Danger: a silence is no refusal, and the time until what it hid counts as told is short: the next
         * call goes out at once. It can't do so often, since a silence takes seconds to notice.
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
                drop(source);
                return;
            }
            statistics.countFailed();
            LOG.log(Level.WARNING, "discovery: the watch failed: {0}: {1} ends", new Object[] {why, source.describe()});
            boolean atOnce = pace.retryAtOnceAfterFailure(source.elapsedMillis());
            endCall();
            if (atOnce) {
                start();
            } else {
                fallBack();
            }
        }
    }
}
