package gorserill.program;

import barrowflow.Dispatcher.ListKind;
import gorserill.common.Loop;
import gorserill.protocol.discovery.Listing;
import gorserill.protocol.http.HttpCodec;
import gorserill.protocol.http.HttpFront;
import gorserill.protocol.http.HttpWatch;
import gorserill.protocol.http.HttpWorker;
import gorserill.routing.Core;
import gorserill.transport.Transport;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;

/** A running node: its parts put together, its start and its end. */
final class Node {
    private static final Logger LOG = Logger.getLogger(Node.class.getName());
    private static final int MAX_BODY = 64 * 1024;
    private static final int MAX_LISTING = 4 * 1024 * 1024;
    /** After SIGTERM new connections are taken for so long: clients still come. */
    private static final long LINGER = 500_000;
    /** A node without discovery serves from the list it knew after so long. */
    private static final long FIRST_LIST = 300_000;
    /** No request lasts longer than the longest deadline; what is left after that is not waited for. */
    private static final long LAST_ANSWERS = 300_000;

    private final NodeConfig config;
    private final Loop loop = new Loop(e -> LOG.log(Level.SEVERE, "an event failed; the node goes on", e));
    private final Transport transport;
    private final CountDownLatch done = new CountDownLatch(1);
    private Core core;
    private HttpFront front;
    private Fleet fleet;
    private HttpWatch watch;
    private Runnable stopListening = () -> { };

    Node(NodeConfig config) {
        this.config = config;
        transport = new Transport(loop, config.connectionBudget());
    }

    void start() throws IOException {
        transport.start();
        HttpWorker.Terms terms = new HttpWorker.Terms(loop, transport,
            transport.chain(HttpCodec.client(loop, Integer.MAX_VALUE)), config.classNames, config.reports,
            config.connectTimeout, config.keepIdle());
        fleet = new Fleet(loop, terms, config.zones, config.kinds);
        watch = new HttpWatch(loop, transport, transport.chain(HttpCodec.client(loop, MAX_LISTING)),
            config.discovery, this::heard, this::watchFailed);
        core = new Core(loop, config.settings, config.seed, watch::start);
        front = new HttpFront(loop, core, config.classTerms(), transport::crowded);
        if (config.known != null) {
            fleet.tell(core, ListKind.CACHED, config.known);
        }
        if (!config.settings.listOnRequest()) {
            watch.start();
        }
        loop.at(loop.now() + FIRST_LIST, () -> ready("no word from discovery yet"));
        loop.start();
        stopListening = transport.listen(config.listen, HttpCodec.server(loop, MAX_BODY), front::accept);
        LOG.log(Level.INFO, "{0} listens at {1}", new Object[] {config.name, config.listen});
    }

    private void heard(Listing listing) {
        fleet.tell(core, listing.whole() ? ListKind.WHOLE : ListKind.CHANGES, listing);
        ready("list " + listing.index() + " heard");
    }

    private void watchFailed() {
        core.listed(ListKind.FAILED, java.util.List.of(), java.util.Map.of());
    }

    private void ready(String why) {
        if (!front.isReady()) {
            LOG.log(Level.INFO, "{0} is ready: {1}", new Object[] {config.name, why});
            front.ready();
        }
    }

    /** Answers what is open, takes what still comes for a while, then ends. Any thread may call it. */
    void drain() {
        loop.execute(() -> {
            LOG.log(Level.INFO, "{0} drains: {1} requests open",
                new Object[] {config.name, core.openRequests()});
            front.drain();
            loop.at(loop.now() + LINGER, () -> {
                stopListening.run();
                front.closeIdle();
                core.whenIdle(() -> loop.at(loop.now() + LAST_ANSWERS, done::countDown));
            });
        });
    }

    /** Waits until the node has drained, then lets go of everything. */
    void awaitEnd() throws InterruptedException {
        done.await();
        LOG.log(Level.INFO, "{0} ends, {1} requests open", new Object[] {config.name, core.openRequests()});
        transport.stop();
        loop.stop();
    }
}
