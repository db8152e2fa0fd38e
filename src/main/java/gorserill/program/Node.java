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

/** A running node: its parts put together, its start and its end. */
final class Node {
    private static final Logger LOG = Logger.getLogger(Node.class.getName());
    private static final int MAX_LISTING = 4 * 1024 * 1024;
    /**
     * A node without discovery serves from the list it knew so long after it opened. Danger: what an agent
     * has counts as told from the first moment, so its first word is waited for as long as it could come.
     */
    private static final long FIRST_LIST = 50_000;
    /** An address that is still in use is tried this often. */
    private static final long BIND_AGAIN = 100_000;

    private static final long MINUTE = 60_000_000;
    private static final String BUILD = "0.1.0";

    private final NodeConfig config;
    private final Map<String, String> environment;
    private final Loop loop = new Loop(e -> LOG.log(Level.SEVERE, "an event failed; the node goes on", e))
            .onPause(paused -> LOG.log(Level.WARNING, "the process was held up for {0} ms", paused / 1_000));
    private final SiblingProcesses siblings;
    private final Transport transport;
    private final MemoryBudget room;
    private final CountDownLatch done = new CountDownLatch(1);
    private final CountDownLatch readied = new CountDownLatch(1);
    private Core core;
    private HttpFrontend front;
    private ContractGate gate;
    private Fleet fleet;
    private HttpWatch watch;
    /** Null where other nodes are not spoken to. */
    private volatile PeerPort peers;

    private FaktoryFrontend faktory;
    /** Null where the node is no member of a cluster. */
    private ClusterPart cluster;

    private Lifecycle life;
    private Figures figures;
    private final List<Transport.Listener> listeners = new ArrayList<>();
    private boolean opened;
    /** The last word of discovery that came before the fronts were open; null if there was none. */
    private String heardBeforeOpen;

    /** @param environment what the configuration was read from, and will be read from again */
    Node(NodeConfig config, Map<String, String> environment) {
        this.config = config;
        this.environment = Map.copyOf(environment);
        room = new MemoryBudget(config.bodyRoom());
        siblings = siblings(config);
        transport = new Transport(loop, config.connectionBudget(), siblings, config.mostFactAge());
    }

    /** Danger: beside an old process a new one must not use up what limits give to both. */
    private SiblingProcesses siblings(NodeConfig its) {
        if (its.folder != null && its.passedSocket) {
            try {
                return SiblingProcesses.join(loop, its.folder, NodeConfig.fileKey(its.name), its.ownDescriptors());
            } catch (IOException e) {
                LOG.log(Level.WARNING, "{0} can''t tell other processes of its limits: {1}", new Object[] {its.name, e
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

    /** Starts all but the fronts. */
    void prepare() throws IOException {
        if (!config.unused.isEmpty()) {
            LOG.log(Level.INFO, "{0} is told and does not use: {1}", new Object[] {
                config.name, String.join(" ", config.unused)
            });
        }
        transport.start();
        transport.trackProcessPauses();
        HttpWorker.Config terms = new HttpWorker.Config(
                loop,
                transport,
                transport.chain(HttpCodec.client(loop, Integer.MAX_VALUE)),
                config.classNames,
                config.reports,
                config.connectTimeout,
                config.keepIdle(),
                new ThrottledWarnings(loop, Logger.getLogger(HttpWorker.class.getName()), "workers' answers"));
        watch = new HttpWatch(
                loop,
                transport.withSeparateBudget(HttpWatch.MAX_CONNECTIONS),
                transport.chainForStateUpdates(HttpCodec.client(loop, MAX_LISTING)),
                config.discovery,
                new CallPace(config.settings.dispatchers(), !config.settings.listOnDemand(), config.seed),
                this::heard,
                this::watchFailed);
        if (config.known != null) {
            watch.startFrom(config.known);
        }
        core = new Core(loop, config.settings, config.seed, watch::start, siblings);
        core.setDescriptorShortage(transport::isNearDescriptorLimit);
        Bans bans = new Bans(config.folder, config.name);
        fleet = new Fleet(loop, core, terms, config.zones, config.kinds, bans::has);
        ThrottledWarnings answers = new ThrottledWarnings(
                loop, Logger.getLogger(ContractGate.class.getName()), "workers' answers not as described");
        Tenants tenants = new Tenants(config.tenantNames);
        if (config.faktory != null) {
            faktory = new FaktoryFrontend(
                    loop,
                    core,
                    config.faktory,
                    tenants,
                    new ContractGate(loop, config.keysFor(), answers),
                    config.seed,
                    room,
                    bans::has);
        }
        gate = new ContractGate(loop, config.keysFor(), answers);
        gate.replace(config.contract);
        front = new HttpFrontend(loop, core, config.classTerms(), tenants, gate, room);
        life = new Lifecycle(
                loop,
                config.name,
                core,
                faktory == null ? List.of(front) : List.of(front, faktory),
                config.passedSocket,
                () -> listeners.forEach(Transport.Listener::stopAccepting),
                done::countDown);
        if (config.known != null) {
            fleet.tell(ListKind.CACHED, config.known);
        }
        if (!config.settings.listOnDemand()) {
            watch.start();
        }
        loop.at(loop.now() + MINUTE, this::tellMinute);
        figures = new Figures(config.classNames, core, fleet, faktory, loop, watch.statistics());
        Maintenance maintenance = new Maintenance(loop, bans, fleet, faktory);
        if (config.folder != null) {
            maintenance.watch();
        }
        if (config.folder != null && config.passedSocket) {
            Handover handover = new Handover(loop, core, fleet, config.folder, config.name);
            handover.recall();
            handover.keep(life::up);
        }
        loop.start();
        if (config.peers != null) {
            loop.execute(this::hearPeers);
        }
        if (config.cluster != null) {
            cluster =
                    new ClusterPart(config.cluster, config.name, BUILD, loop, core, config.settings, config.classNames);
        }
        if (config.admin != null) {
            AdminFrontend admin = new AdminFrontend(
                    loop,
                    new OperatorCalls(life, maintenance, figures, this::contracts, this::reload, cluster).byName());
            loop.execute(() -> listenOnceFree(
                    "operators",
                    config.admin,
                    () -> transport.listenWithSeparateBudget(
                            config.admin, new LineCodec(), admin::accept, NodeConfig.ADMIN_CONNECTIONS)));
        }
    }

    /** Opens the fronts to clients; a socket that was passed on waits until the node is ready. */
    void open() throws IOException {
        if (!config.passedSocket) {
            Filter codec = HttpCodec.server(transport::earliestArrivalMicros, HttpFrontend.MAX_BODY_BYTES, room);
            listening("clients", config.listen, transport.listen(config.listen, codec, front::accept));
        }
        if (faktory != null) {
            InetSocketAddress at = config.faktory.listen();
            Binding binding = () -> transport.listen(at, new FaktoryCodec(room), faktory::accept);
            if (config.passedSocket) {
                loop.execute(() -> listenOnceFree("Faktory", at, binding));
            } else {
                listening("Faktory", at, binding.bind());
            }
        }
        loop.execute(this::opened);
        // Danger: a node that knows of no worker would draw clients and refuse them all.
        if (config.known != null && !config.known.entries().isEmpty()) {
            long first = config.settings.listOnDemand() ? FIRST_LIST : CallPace.AGENT_TIMEOUT_MS * 1_000;
            loop.execute(() -> loop.at(loop.now() + first, () -> ready("no word from discovery yet")));
        }
    }

    /** Danger: discovery may have spoken already, and the next time that it does so may be far off. */
    private void opened() {
        opened = true;
        if (heardBeforeOpen != null) {
            ready(heardBeforeOpen);
        }
    }

    /** Danger: the process before this one may hold the address until it ends; nothing waits for that. */
    private void hearPeers() {
        try {
            peers = new PeerPort(loop, config.peers, core::receivedFromPeer);
            core.setPeerSender(peers::broadcast);
            LOG.log(Level.INFO, "{0} hears other nodes at {1}", new Object[] {config.name, config.peers.listen()});
        } catch (IOException e) {
            LOG.log(Level.FINE, "{0} can''t hear other nodes yet: {1}", new Object[] {config.name, e});
            if (!life.ending()) {
                loop.at(loop.now() + BIND_AGAIN, this::hearPeers);
            }
        }
    }

    @FunctionalInterface
    private interface Binding {
        Transport.Listener bind() throws IOException;
    }

    /** Danger: the process before this one may hold the address until it ends; nothing waits for that. */
    private void listenOnceFree(String whom, InetSocketAddress at, Binding binding) {
        try {
            listening(whom, at, binding.bind());
        } catch (IOException e) {
            LOG.log(Level.FINE, "{0} can''t listen for {1} yet: {2}", new Object[] {config.name, whom, e});
            if (!life.ending()) {
                loop.at(loop.now() + BIND_AGAIN, () -> listenOnceFree(whom, at, binding));
            }
        }
    }

    private void listening(String whom, InetSocketAddress at, Transport.Listener listener) {
        listeners.add(listener);
        LOG.log(Level.INFO, "{0} listens for {1} at {2}", new Object[] {config.name, whom, at});
    }

    private void tellMinute() {
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
                    room.used() >> 10
                });
        loop.at(loop.now() + MINUTE, this::tellMinute);
    }

    private void heard(WorkerListing listing) {
        fleet.tell(listing.whole() ? ListKind.WHOLE : ListKind.CHANGES, listing);
        String why = "list " + listing.index() + " heard";
        if (!opened) {
            heardBeforeOpen = why;
        }
        ready(why);
    }

    private void watchFailed() {
        core.updateWorkers(ListKind.FAILED, List.of(), Map.of());
    }

    private void ready(String why) {
        if (!opened || !life.starting()) {
            return;
        }
        if (config.passedSocket) {
            try {
                // Danger: whoever is accepted must be served, so nobody is before the node is ready.
                listening(
                        "clients",
                        config.listen,
                        transport.listenOnInherited(
                                HttpCodec.server(transport::earliestArrivalMicros, HttpFrontend.MAX_BODY_BYTES, room),
                                front::accept));
            } catch (IOException e) {
                LOG.log(Level.SEVERE, "the passed socket can''t be used: {0}", e.getMessage());
                loop.at(loop.now() + BIND_AGAIN, () -> ready(why));
                return;
            }
        }
        LOG.log(Level.INFO, "{0} is ready: {1}", new Object[] {config.name, why});
        if (cluster != null) {
            cluster.start();
        }
        life.started();
        readied.countDown();
    }

    /** Waits until clients are served. */
    void awaitReady() throws InterruptedException {
        readied.await();
    }

    /**
     * Reads the configuration again and goes by it, as far as a running node can; a faulty one changes
     * nothing. Any thread but the loop's may call it: reading and checking must not hold up requests.
     */
    synchronized void reload() {
        read(fault -> {});
    }

    /** The same from the loop's thread; what is wrong, or null, is told there once it is known. */
    private void reload(Consumer<String> outcome) {
        Thread reader = new Thread(
                () -> {
                    synchronized (this) {
                        read(outcome);
                    }
                },
                "reload");
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Consumer<String> outcome) {
        try {
            NodeConfig fresh = NodeConfig.reread(environment);
            loop.execute(() -> outcome.accept(apply(fresh)));
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "reload: the configuration can't be read; the old one stays in force", e);
            loop.execute(() -> {
                figures.reloaded(false);
                outcome.accept("the configuration can't be read: " + e);
            });
        } catch (ConfigException e) {
            LOG.log(Level.SEVERE, "reload: configuration: {0}; the old one stays in force", e.getMessage());
            loop.execute(() -> {
                figures.reloaded(false);
                outcome.accept(e.getMessage().lines().collect(Collectors.joining(" | ")));
            });
        }
    }

    private String contracts() {
        return gate.describe("http") + (faktory == null ? "" : faktory.gate().describe("faktory")) + "eof\n";
    }

    /** Gives what keeps the contracts from being replaced; null for nothing. */
    private String apply(NodeConfig fresh) {
        LOG.log(Level.INFO, "{0}: configuration read again", config.name);
        figures.reloaded(true);
        for (String key : config.fixedKeysChangedIn(fresh)) {
            LOG.log(Level.WARNING, "reload: {0} is changed, which holds from the next start on", key);
        }
        watch.moveTo(fresh.discovery);
        if (cluster != null && fresh.cluster != null) {
            cluster.reload(fresh.cluster);
        }
        if (config.sameClasses(fresh)) {
            gate.replace(fresh.contract);
            if (faktory != null && fresh.faktory != null) {
                faktory.reload(fresh.faktory);
            }
            return null;
        }
        return "the classes of the settings are changed, which holds from the next start on; so do the " + "contracts";
    }

    /** Answers what is open, takes what still comes for a while, then ends; any thread may call it. */
    void drain() {
        Consumer<Boolean> end = elsewhere -> loop.execute(() -> life.end(
                config.settings.classes().stream()
                        .mapToLong(c -> c.deadline())
                        .max()
                        .orElse(0),
                elsewhere));
        if (cluster != null) {
            cluster.leave(end);
        } else {
            end.accept(false);
        }
    }

    /** Waits until the node has drained, then lets go of everything. */
    void awaitEnd() throws InterruptedException {
        done.await();
        LOG.log(Level.INFO, "{0} ends, {1} requests open", new Object[] {config.name, core.openRequests()});
        if (cluster != null) {
            cluster.stop();
        }
        stop();
    }

    /** Lets go of everything at once. */
    void stop() {
        if (peers != null) {
            peers.stop();
        }
        transport.stop();
        loop.stop();
    }
}
