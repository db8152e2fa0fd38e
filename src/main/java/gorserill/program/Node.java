package gorserill.program;

import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Settings;
import gorserill.common.Loop;
import gorserill.common.MemoryBudget;
import gorserill.common.SiblingProcesses;
import gorserill.common.ThrottledWarnings;
import gorserill.protocol.ContractGate;
import gorserill.protocol.Tenants;
import gorserill.protocol.admin.AdminFrontend;
import gorserill.protocol.admin.LineCodec;
import gorserill.protocol.discovery.CallPace;
import gorserill.protocol.discovery.WorkerListing;
import gorserill.protocol.faktory.FaktoryCodec;
import gorserill.protocol.faktory.FaktoryFrontend;
import gorserill.protocol.http.HttpCodec;
import gorserill.protocol.http.HttpFrontend;
import gorserill.protocol.http.HttpWatch;
import gorserill.protocol.http.HttpWorker;
import gorserill.protocol.peers.PeerPort;
import gorserill.routing.Core;
import gorserill.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import org.glassfish.grizzly.filterchain.Filter;

/** Assembles the parts of a node, and starts, reloads and stops them. */
final class Node {
    private static final Logger LOG = Logger.getLogger(Node.class.getName());
    private static final int MAX_LISTING_BYTES = 4 * 1024 * 1024;
    /**
     * How long after opening a node waits for its first list from discovery before it serves from the cached list.
     * With an agent it waits for the agent's full timeout instead, because the agent's current list counts as
     * available from the start.
     */
    private static final long FIRST_LIST_TIMEOUT_MICROS = 50_000;
    /** Interval between attempts to bind an address that is still in use. */
    private static final long BIND_RETRY_MICROS = 100_000;

    private static final long MINUTE_MICROS = 60_000_000;
    private static final String BUILD = "0.1.0";

    private final NodeConfig config;
    private final Map<String, String> environment;
    private final Loop loop = new Loop(e -> LOG.log(Level.SEVERE, "an event failed; the node goes on", e))
            .onPause(pauseMicros -> LOG.log(Level.WARNING, "the process was held up for {0} ms", pauseMicros / 1_000));
    private final SiblingProcesses siblings;
    private final Transport transport;
    private final MemoryBudget bodyBudget;
    private final CountDownLatch drained = new CountDownLatch(1);
    private final CountDownLatch clientsServed = new CountDownLatch(1);
    private Core core;
    private HttpFrontend httpFrontend;
    private ContractGate httpGate;
    private WorkerDirectory workers;
    private HttpWatch discoveryWatch;
    /** Null if no messages are exchanged with other nodes. */
    private volatile PeerPort peers;

    private FaktoryFrontend faktoryFront;
    /** Null if the node is not a member of a cluster. */
    private ClusterPart cluster;

    /** The contracts that the front ends have; guarded by this object's monitor. */
    private ContractsInForce contractsInForce;

    private Lifecycle lifecycle;
    private NodeMetrics metrics;
    private final List<Transport.Listener> listeners = new ArrayList<>();
    private boolean frontendsOpen;
    /** Reason to be ready from the latest list that arrived before the front ends were open; null if none did. */
    private String reasonBeforeOpen;

    /** @param environment the variables from which the configuration was read and is read again on reload */
    Node(NodeConfig config, Map<String, String> environment) {
        this.config = config;
        this.environment = Map.copyOf(environment);
        bodyBudget = new MemoryBudget(config.bodyBudgetBytes());
        siblings = siblings(config);
        transport = new Transport(loop, config.connectionBudget(), siblings, config.maxInputAgeMicros());
    }

    /** While an old and a new process run side by side, they share the descriptor limit through a file. */
    private SiblingProcesses siblings(NodeConfig nodeConfig) {
        if (nodeConfig.stateFolder != null && nodeConfig.passedSocket) {
            try {
                return SiblingProcesses.join(
                        loop, nodeConfig.stateFolder, NodeConfig.fileKey(nodeConfig.name), nodeConfig.ownDescriptors());
            } catch (IOException e) {
                LOG.log(Level.WARNING, "{0} can''t tell other processes of its limits: {1}", new Object[] {
                    nodeConfig.name, e
                });
            }
        }
        return SiblingProcesses.none();
    }

    void start() throws IOException {
        prepare();
        open();
    }

    Settings settings() {
        return config.settings;
    }

    /** Starts everything except the client front ends. */
    void prepare() throws IOException {
        if (!config.unusedSettings.isEmpty()) {
            LOG.log(Level.INFO, "{0} is told and does not use: {1}", new Object[] {
                config.name, String.join(" ", config.unusedSettings)
            });
        }
        transport.start();
        transport.trackProcessPauses();
        HttpWorker.Config workerConfig = new HttpWorker.Config(
                loop,
                transport,
                transport.chain(HttpCodec.client(loop, Integer.MAX_VALUE)),
                config.classNames,
                config.loadFieldNames,
                config.connectTimeoutMicros,
                config.workerIdleTimeoutMicros(),
                new ThrottledWarnings(loop, Logger.getLogger(HttpWorker.class.getName()), "workers' answers"));
        discoveryWatch = new HttpWatch(
                loop,
                transport.withSeparateBudget(HttpWatch.MAX_CONNECTIONS),
                transport.chainForStateUpdates(HttpCodec.client(loop, MAX_LISTING_BYTES)),
                config.discovery,
                new CallPace(config.settings.dispatchers(), !config.settings.listOnDemand(), config.seed),
                this::listReceived,
                this::watchFailed);
        if (config.cachedListing != null) {
            discoveryWatch.startFrom(config.cachedListing);
        }
        core = new Core(loop, config.settings, config.seed, discoveryWatch::start, siblings);
        core.setDescriptorShortage(transport::isNearDescriptorLimit);
        Bans bans = new Bans(config.stateFolder, config.name);
        workers = new WorkerDirectory(loop, core, workerConfig, config.zones, config.workerTypes, bans::contains);
        ThrottledWarnings mismatchWarnings = new ThrottledWarnings(
                loop, Logger.getLogger(ContractGate.class.getName()), "workers' answers not as described");
        Tenants tenants = new Tenants(config.tenantNames);
        if (config.faktory != null) {
            faktoryFront = new FaktoryFrontend(
                    loop,
                    core,
                    config.faktory,
                    tenants,
                    new ContractGate(loop, config.maxDedupWindowMicros(), mismatchWarnings),
                    config.seed,
                    bans::contains);
        }
        httpGate = new ContractGate(loop, config.maxDedupWindowMicros(), mismatchWarnings);
        httpGate.replace(config.contract);
        httpFrontend = new HttpFrontend(loop, core, config.jobClassInfo(), tenants, httpGate);
        rememberContracts(config);
        config.forgetContracts();
        lifecycle = new Lifecycle(
                loop,
                config.name,
                core,
                faktoryFront == null ? List.of(httpFrontend) : List.of(httpFrontend, faktoryFront),
                config.passedSocket,
                () -> listeners.forEach(Transport.Listener::stopAccepting),
                drained::countDown);
        if (config.cachedListing != null) {
            workers.update(ListKind.CACHED, config.cachedListing);
        }
        if (!config.settings.listOnDemand()) {
            discoveryWatch.start();
        }
        loop.at(loop.now() + MINUTE_MICROS, this::logLastMinute);
        metrics = new NodeMetrics(config.classNames, core, workers, faktoryFront, loop, discoveryWatch.statistics());
        Maintenance maintenance = new Maintenance(loop, bans, workers, faktoryFront);
        if (config.stateFolder != null) {
            maintenance.pollBans();
        }
        if (config.stateFolder != null && config.passedSocket) {
            Handover handover = new Handover(loop, core, workers, config.stateFolder, config.name);
            handover.restore();
            handover.writePeriodically(lifecycle::canServe);
        }
        loop.start();
        if (config.peers != null) {
            loop.execute(this::openPeerPort);
        }
        if (config.cluster != null) {
            cluster =
                    new ClusterPart(config.cluster, config.name, BUILD, loop, core, config.settings, config.classNames);
        }
        if (config.admin != null) {
            AdminFrontend admin = new AdminFrontend(
                    loop,
                    new OperatorCalls(lifecycle, maintenance, metrics, this::contracts, this::reload, cluster)
                            .byName());
            loop.execute(() -> listenOnceFree(
                    "operators",
                    config.admin,
                    () -> transport.listenWithSeparateBudget(
                            config.admin, new LineCodec(), admin::accept, NodeConfig.ADMIN_CONNECTIONS)));
        }
    }

    /** Opens the client front ends; an inherited socket is opened only once the node is ready. */
    void open() throws IOException {
        if (!config.passedSocket) {
            Filter codec = HttpCodec.server(transport::earliestArrivalMicros, HttpFrontend.MAX_BODY_BYTES, bodyBudget);
            registerListener("clients", config.listen, transport.listen(config.listen, codec, httpFrontend::accept));
        }
        if (faktoryFront != null) {
            InetSocketAddress address = config.faktory.listen();
            Binding binding = () -> transport.listen(address, new FaktoryCodec(bodyBudget), faktoryFront::accept);
            if (config.passedSocket) {
                loop.execute(() -> listenOnceFree("Faktory", address, binding));
            } else {
                registerListener("Faktory", address, binding.bind());
            }
        }
        loop.execute(this::onFrontendsOpen);
        // Without any known worker the node would attract clients and refuse them all.
        if (config.cachedListing != null && !config.cachedListing.entries().isEmpty()) {
            long timeoutMicros =
                    config.settings.listOnDemand() ? FIRST_LIST_TIMEOUT_MICROS : CallPace.AGENT_TIMEOUT_MS * 1_000;
            loop.execute(() -> loop.at(loop.now() + timeoutMicros, () -> becomeReady("no word from discovery yet")));
        }
    }

    /** A list may have arrived already, and the next one may arrive much later. */
    private void onFrontendsOpen() {
        frontendsOpen = true;
        if (reasonBeforeOpen != null) {
            becomeReady(reasonBeforeOpen);
        }
    }

    /** Binds the port for messages of other nodes; retries without blocking while the previous process holds it. */
    private void openPeerPort() {
        try {
            peers = new PeerPort(loop, config.peers, core::receivedFromPeer);
            core.setPeerSender(peers::broadcast);
            LOG.log(Level.INFO, "{0} hears other nodes at {1}", new Object[] {config.name, config.peers.listen()});
        } catch (IOException e) {
            LOG.log(Level.FINE, "{0} can''t open the port for other nodes yet: {1}", new Object[] {config.name, e});
            if (!lifecycle.isEnding()) {
                loop.at(loop.now() + BIND_RETRY_MICROS, this::openPeerPort);
            }
        }
    }

    @FunctionalInterface
    private interface Binding {
        Transport.Listener bind() throws IOException;
    }

    /** Binds an address; retries without blocking while the previous process still holds it. */
    private void listenOnceFree(String clientKind, InetSocketAddress address, Binding binding) {
        try {
            registerListener(clientKind, address, binding.bind());
        } catch (IOException e) {
            LOG.log(Level.FINE, "{0} can''t listen for {1} yet: {2}", new Object[] {config.name, clientKind, e});
            if (!lifecycle.isEnding()) {
                loop.at(loop.now() + BIND_RETRY_MICROS, () -> listenOnceFree(clientKind, address, binding));
            }
        }
    }

    private void registerListener(String clientKind, InetSocketAddress address, Transport.Listener listener) {
        listeners.add(listener);
        LOG.log(Level.INFO, "{0} listens for {1} at {2}", new Object[] {config.name, clientKind, address});
    }

    private void logLastMinute() {
        Runtime jvm = Runtime.getRuntime();
        LOG.log(
                Level.INFO,
                "{0}: last minute {1}; now {2} open, {3} connections, {4} MB of heap, {5} kB of bodies",
                new Object[] {
                    config.name,
                    core.statistics().summarySinceLastCall(),
                    core.openRequests(),
                    transport.connectionCount(),
                    (jvm.totalMemory() - jvm.freeMemory()) >> 20,
                    bodyBudget.used() >> 10
                });
        loop.at(loop.now() + MINUTE_MICROS, this::logLastMinute);
    }

    private void listReceived(WorkerListing listing) {
        workers.update(listing.whole() ? ListKind.WHOLE : ListKind.CHANGES, listing);
        String reason = "list " + listing.index() + " heard";
        if (!frontendsOpen) {
            reasonBeforeOpen = reason;
        }
        becomeReady(reason);
    }

    private void watchFailed() {
        core.updateWorkers(ListKind.FAILED, List.of(), Map.of());
    }

    private void becomeReady(String reason) {
        if (!frontendsOpen || !lifecycle.isStarting()) {
            return;
        }
        if (config.passedSocket) {
            try {
                // Every accepted client must be served, so none is accepted before the node is ready.
                registerListener(
                        "clients",
                        config.listen,
                        transport.listenOnInherited(
                                HttpCodec.server(
                                        transport::earliestArrivalMicros, HttpFrontend.MAX_BODY_BYTES, bodyBudget),
                                httpFrontend::accept));
            } catch (IOException e) {
                LOG.log(Level.SEVERE, "the passed socket can''t be used: {0}", e.getMessage());
                loop.at(loop.now() + BIND_RETRY_MICROS, () -> becomeReady(reason));
                return;
            }
        }
        LOG.log(Level.INFO, "{0} is ready: {1}", new Object[] {config.name, reason});
        if (cluster != null) {
            cluster.start();
        }
        lifecycle.startServing();
        clientsServed.countDown();
    }

    /** Blocks until clients are served. */
    void awaitReady() throws InterruptedException {
        clientsServed.await();
    }

    /**
     * Reads the configuration again and applies what a running node can change; an invalid one changes nothing. Must
     * not be called on the loop's thread, since reading and checking would delay requests.
     */
    synchronized void reload() {
        readAndApply(error -> {});
    }

    /** Reloads on a separate thread; the error, or null, is passed to {@code outcome} on the loop's thread. */
    private void reload(Consumer<String> outcome) {
        Thread thread = new Thread(
                () -> {
                    synchronized (this) {
                        readAndApply(outcome);
                    }
                },
                "reload");
        thread.setDaemon(true);
        thread.start();
    }

    private synchronized void rememberContracts(NodeConfig source) {
        contractsInForce = ContractsInForce.of(source, bodyBudget::unused);
    }

    private void readAndApply(Consumer<String> outcome) {
        try {
            NodeConfig newConfig = NodeConfig.readForReload(environment, contractsInForce);
            if (config.sameClasses(newConfig)) {
                rememberContracts(newConfig);
            }
            loop.execute(() -> outcome.accept(apply(newConfig)));
        } catch (RuntimeException | StackOverflowError e) {
            LOG.log(Level.SEVERE, "reload: the configuration can't be read; the old one stays in force", e);
            loop.execute(() -> {
                metrics.recordReload(false);
                outcome.accept("the configuration can't be read: " + e);
            });
        } catch (ConfigException e) {
            LOG.log(Level.SEVERE, "reload: configuration: {0}; the old one stays in force", e.getMessage());
            loop.execute(() -> {
                metrics.recordReload(false);
                outcome.accept(e.getMessage().lines().collect(Collectors.joining(" | ")));
            });
        }
    }

    private String contracts() {
        return httpGate.describe("http")
                + (faktoryFront == null ? "" : faktoryFront.gate().describe("faktory")) + "eof\n";
    }

    /** Applies a new configuration; returns the reason why the contracts were not replaced, or null if they were. */
    private String apply(NodeConfig newConfig) {
        LOG.log(Level.INFO, "{0}: configuration read again", config.name);
        metrics.recordReload(true);
        for (String key : config.fixedKeysChangedIn(newConfig)) {
            LOG.log(Level.WARNING, "reload: {0} is changed, which holds from the next start on", key);
        }
        discoveryWatch.moveTo(newConfig.discovery);
        if (cluster != null && newConfig.cluster != null) {
            cluster.reload(newConfig.cluster);
        }
        if (config.sameClasses(newConfig)) {
            httpGate.replace(newConfig.contract);
            if (faktoryFront != null && newConfig.faktory != null) {
                faktoryFront.reload(newConfig.faktory);
            }
            return null;
        }
        return "the classes of the settings are changed, which holds from the next start on; so do the " + "contracts";
    }

    /** Answers the open requests, keeps accepting jobs for a limited time, then ends; may be called on any thread. */
    void drain() {
        Consumer<Boolean> end = newConnectionsGoElsewhere -> loop.execute(() -> lifecycle.shutDown(
                config.settings.classes().stream()
                        .mapToLong(c -> c.deadline())
                        .max()
                        .orElse(0),
                newConnectionsGoElsewhere));
        if (cluster != null) {
            cluster.leave(end);
        } else {
            end.accept(false);
        }
    }

    /** Blocks until the node has drained, then releases all resources. */
    void awaitEnd() throws InterruptedException {
        drained.await();
        LOG.log(Level.INFO, "{0} ends, {1} requests open", new Object[] {config.name, core.openRequests()});
        if (cluster != null) {
            cluster.stop();
        }
        stop();
    }

    /** Releases all resources immediately. */
    void stop() {
        if (peers != null) {
            peers.stop();
        }
        transport.stop();
        loop.stop();
    }
}
