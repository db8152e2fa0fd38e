package gorserill.program;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.Settings;
import barrowflow.adapter.SettingsParser;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import gorserill.contract.Contract;
import gorserill.contract.JobRule;
import gorserill.protocol.JobClassInfo;
import gorserill.protocol.discovery.WorkerListing;
import gorserill.protocol.faktory.FaktorySettings;
import gorserill.protocol.http.LoadFieldNames;
import gorserill.protocol.peers.PeerPort;
import gorserill.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** The node's configuration: the one place where it is read, gets its defaults and is checked. */
public final class NodeConfig {
    /** A machine that is busy may hold a process up so long between two of its steps, microseconds. */
    private static final long HOLD_UP = 150_000;

    private static final long LEAST_FACT_AGE = 20_000;

    private static final int DEFAULT_SOCKETS = 1024;
    private static final int DEFAULT_MEMORY_MB = 128;
    /** Descriptors kept for the program itself: the jar, the selector, logs, listeners, discovery. */
    private static final int OWN_DESCRIPTORS = 40;
    /** Connections of operators at a time. */
    static final int ADMIN_CONNECTIONS = 24;

    final String name;
    final InetSocketAddress listen;
    /** Where operators' calls come in; null where nowhere. */
    final InetSocketAddress admin;
    /** Whether the clients' socket is descriptor 0, open already, instead of one to be bound. */
    final boolean passedSocket;

    final InetSocketAddress discovery;
    final long seed;
    final int sockets;
    /** Bytes. */
    final long memory;
    /** Where files outlast the process; null where nowhere. */
    final Path folder;
    /** Null where the node was told none. */
    final WorkerListing known;

    final Settings settings;
    final List<String> classNames;
    final List<String> zones;
    final List<String> kinds;
    final LoadFieldNames reports;
    /** Where other nodes are heard and spoken to; null where nowhere. */
    final PeerPort.Addresses peers;
    /** In the settings' order; none where the deployment has no tenants. */
    final List<String> tenantNames;
    /** Settings that the deployment tells and this node does not use. */
    final List<String> unused;

    final long connectTimeout;
    /** How long after word of a drain a first byte may still go out. */
    final long drainGrace;

    final long connectionIdle;
    /** Null where the front is off. */
    final FaktorySettings faktory;
    /** Null where the node is no member of a cluster. */
    final ClusterConfig cluster;
    /** Null where no description binds the HTTP front: then its paths are the classes' names. */
    final Contract contract;

    private final Map<String, String> values;

    private NodeConfig(
            Map<String, String> top, Map<String, String> values, WorkerListing known, Map<String, String> environment)
            throws ConfigException {
        this.values = values;
        this.known = known;
        name = top.getOrDefault("name", "node");
        listen = address(top, "listen");
        discovery = address(top, "discovery");
        admin = top.getOrDefault("admin_addr", "").isEmpty() ? null : address(top, "admin_addr");
        String temporary = environment.getOrDefault("TMPDIR", "");
        folder = temporary.isEmpty() ? null : Path.of(temporary);
        passedSocket = passed(environment.getOrDefault("NODE_PASSED_SOCKET", ""));
        seed = seed(top);
        sockets = (int) number(top, "limits.sockets", DEFAULT_SOCKETS);
        memory = (long) number(top, "limits.memory_mb", DEFAULT_MEMORY_MB) << 20;
        if (connectionBudget() <= 0) {
            throw new ConfigException(
                    "limits.sockets", sockets + " is too few, the node itself needs " + (sockets - connectionBudget()));
        }
        SettingsParser parser = new SettingsParser(values);
        Settings told;
        try {
            told = parser.settings();
        } catch (IllegalArgumentException e) {
            throw new ConfigException("settings", e.getMessage());
        }
        peers = told.loadSources().peers() ? peers(top, values) : null;
        settings = peers == null ? told.withoutPeers() : told;
        tenantNames = new ArrayList<>();
        for (int t = 0; t < settings.tenants().size(); t++) {
            String path = "tenants." + t + ".name";
            if (parser.rawValue(path) == null) {
                throw new ConfigException("settings." + path, "is missing");
            }
            tenantNames.add(values.get(path));
        }
        classNames = new ArrayList<>();
        for (int c = 0; c < settings.classes().size(); c++) {
            String path = "request_classes." + c + ".name";
            if (parser.rawValue(path) == null) {
                throw new ConfigException("settings." + path, "is missing");
            }
            classNames.add(values.get(path));
        }
        zones = names(parser.rawValue("areas"));
        kinds = names(parser.rawValue("shapes"));
        reports = new LoadFieldNames(reportName(parser, "free_slots"), reportName(parser, "free_memory"));
        connectTimeout = (long) number(values, "caps.connect_timeout_us", 250_000);
        connectionIdle = (long) number(values, "caps.conn_idle_us", 15_000_000);
        drainGrace = (long) number(values, "obligations.drain_grace_us", 500_000);
        List.of("caps.connect_timeout_us", "caps.conn_idle_us", "obligations.drain_grace_us", "me")
                .forEach(parser::rawValue);
        unused = parser.unusedPaths();
        faktory = FaktoryConfig.read(
                Path.of(environment.getOrDefault("GORSERILL_FAKTORY", "deploy/faktory.json")),
                classNames,
                classTerms(),
                jobRules());
        cluster = ClusterConfig.read(
                Path.of(environment.getOrDefault("GORSERILL_CLUSTER", "deploy/cluster.json")),
                name,
                classTerms(),
                tenantNames,
                settings.dispatchers());
        String openApi = environment.get("GORSERILL_OPENAPI");
        contract = openApi == null
                ? null
                : Descriptions.read("GORSERILL_OPENAPI", Path.of(openApi), Contract.Kind.OPENAPI, jobRules());
    }

    /** Reads the file that {@code NODE_CONFIG} names; the other variables go before what it says. */
    static NodeConfig read(Map<String, String> environment) throws ConfigException {
        String file = environment.get("NODE_CONFIG");
        if (file == null) {
            throw new ConfigException(
                    "NODE_CONFIG", "is not set; name a node's JSON file there, or run the command demo to try one");
        }
        Map<String, String> top = new LinkedHashMap<>();
        Map<String, String> settings = null;
        WorkerListing known = null;
        String key = file;
        try (JsonParser json = new JsonFactory().createParser(Files.readString(Path.of(file)))) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigException(file, "is not a JSON object");
            }
            while (json.nextToken() != JsonToken.END_OBJECT) {
                key = json.currentName();
                JsonToken value = json.nextToken();
                if (key.equals("settings")) {
                    settings = Flattener.flatten(json);
                } else if (key.equals("known") && value != JsonToken.VALUE_NULL) {
                    known = WorkerListing.read(json);
                } else {
                    String at = key;
                    Flattener.flatten(json)
                            .forEach((path, text) -> top.put(path.isEmpty() ? at : at + "." + path, text));
                }
            }
        } catch (IOException e) {
            throw new ConfigException(key, "can't be read: " + e.getMessage());
        }
        if (settings == null) {
            throw new ConfigException("settings", "is missing");
        }
        environment.forEach((variable, text) -> {
            switch (variable) {
                case "NODE_NAME" -> top.put("name", text);
                case "NODE_LISTEN" -> top.put("listen", text);
                case "NODE_ADMIN_ADDR" -> top.put("admin_addr", text);
                case "NODE_DISCOVERY" -> top.put("discovery", text);
                default -> {}
            }
        });
        return new NodeConfig(top, settings, known, environment);
    }

    /**
     * Reads the file again for a running node. Danger: discovery's address is now the file's: a variable
     * set at the start would undo every reload.
     */
    static NodeConfig reread(Map<String, String> environment) throws ConfigException {
        Map<String, String> without = new HashMap<>(environment);
        without.remove("NODE_DISCOVERY");
        return read(without);
    }

    /** The keys under which a later configuration differs in what holds for a node's whole life. */
    List<String> fixedKeysChangedIn(NodeConfig later) {
        Map<String, Boolean> changed = new LinkedHashMap<>();
        changed.put("name", !name.equals(later.name));
        changed.put("listen", !listen.equals(later.listen));
        changed.put("admin_addr", !Objects.equals(admin, later.admin));
        changed.put("limits.sockets", sockets != later.sockets);
        changed.put("limits.memory_mb", memory != later.memory);
        changed.put("settings", !values.equals(later.values));
        changed.put("faktory: enabled", (faktory == null) != (later.faktory == null));
        changed.put(
                "cluster",
                !Objects.equals(
                        cluster,
                        cluster == null || later.cluster == null
                                ? later.cluster
                                : later.cluster.withMembersOf(cluster)));
        changed.put(
                "faktory: listen",
                faktory != null && later.faktory != null && !faktory.listen().equals(later.faktory.listen()));
        changed.values().removeIf(is -> !is);
        return List.copyOf(changed.keySet());
    }

    /** Whether the jobs' classes are the same, so that what one binds to a class the other may use. */
    boolean sameClasses(NodeConfig other) {
        return classTerms().equals(other.classTerms());
    }

    /** The classes of a configuration file, for contracts to be held against without a node. */
    public static Map<String, JobRule> jobRules(Path file) throws ConfigException {
        return read(Map.of("NODE_CONFIG", file.toString(), "GORSERILL_FAKTORY", ""))
                .jobRules();
    }

    /** What contracts must keep to, by the classes' names. */
    Map<String, JobRule> jobRules() {
        Map<String, JobRule> rules = new LinkedHashMap<>();
        for (int c = 0; c < classNames.size(); c++) {
            JobClass of = settings.classes().get(c);
            rules.put(classNames.get(c), new JobRule(classNames.get(c), c, of.effect(), of.deadline()));
        }
        return rules;
    }

    /** What the fronts need to know of the classes, by name. */
    Map<String, JobClassInfo> classTerms() {
        Map<String, JobClassInfo> terms = new LinkedHashMap<>();
        for (int c = 0; c < classNames.size(); c++) {
            JobClass of = settings.classes().get(c);
            terms.put(
                    classNames.get(c),
                    new JobClassInfo(c, of.deadline(), of.effect() == Effect.KEYED, of.effect() == Effect.UNSAFE));
        }
        return terms;
    }

    /**
     * How old the node's knowledge may be as it writes a job's first byte, microseconds: the grace, less what the
     * machine may hold the process up between the check and the write.
     */
    long mostFactAge() {
        return Math.max(LEAST_FACT_AGE, Math.min(Transport.DEFAULT_MAX_INPUT_AGE_MICROS, drainGrace - HOLD_UP));
    }

    /** How long workers know a key at the most, microseconds. */
    long keysFor() {
        return settings.classes().stream()
                .filter(c -> c.effect() == Effect.KEYED)
                .mapToLong(JobClass::dedupWindow)
                .max()
                .orElse(0);
    }

    /** Most connections of all kinds together. */
    int connectionBudget() {
        return sockets - ownDescriptors();
    }

    /** Descriptors that each process needs besides its connections. */
    int ownDescriptors() {
        return OWN_DESCRIPTORS + (admin == null ? 0 : ADMIN_CONNECTIONS);
    }

    /** The start of the names of a node's files: any name of a node makes a name of a file. */
    static String fileKey(String node) {
        return "gorserill-" + Integer.toHexString(node.hashCode());
    }

    /** Bytes for what clients send: a sixteenth of the memory allowed, no more than a quarter of the heap. */
    long bodyRoom() {
        return Math.min(memory / 16, Runtime.getRuntime().maxMemory() / 4);
    }

    /** How long a connection to a worker may stand idle: well below the worker's own limit. */
    long keepIdle() {
        return connectionIdle * 6 / 10;
    }

    private String reportName(SettingsParser parser, String meaning) {
        int place = parser.reportIndex(meaning);
        return place < 0 ? null : values.get("report.names").split(",")[place];
    }

    private static long seed(Map<String, String> top) throws ConfigException {
        String text = top.getOrDefault("seed", "0");
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "'" + text + "' is no hexadecimal number of 64 bits");
        }
    }

    private static double number(Map<String, String> values, String key, double otherwise) throws ConfigException {
        double number = number(values, key, otherwise, 0);
        if (number == 0) {
            throw new ConfigException(key, "'" + values.get(key) + "' is no number above 0");
        }
        return number;
    }

    private static double number(Map<String, String> values, String key, double otherwise, double least)
            throws ConfigException {
        String text = values.get(key);
        try {
            double number = text == null ? otherwise : Double.parseDouble(text);
            if (number >= least) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below, like a number that can't be.
        }
        throw new ConfigException(key, "'" + text + "' is no number above 0");
    }

    private static List<String> names(String list) {
        return List.of((list == null ? "" : list).split(","));
    }

    /** Null where the platform names no addresses, though it would allow messages. */
    private static PeerPort.Addresses peers(Map<String, String> top, Map<String, String> values)
            throws ConfigException {
        if (!top.containsKey("peer_listen") || !top.containsKey("peers_all")) {
            return null;
        }
        List<InetSocketAddress> nodes = new ArrayList<>();
        for (String node : top.getOrDefault("peers", "").split(",")) {
            nodes.add(address(node, "peers"));
        }
        return new PeerPort.Addresses(
                address(top, "peer_listen"),
                address(top, "peers_all"),
                nodes,
                values.containsKey("me") ? (int) number(values, "me", -1, 0) : -1);
    }

    /** The JVM can take over descriptor 0 and no other. */
    private static boolean passed(String text) throws ConfigException {
        if (text.matches("\\d+") && !text.equals("0")) {
            throw new ConfigException("NODE_PASSED_SOCKET", "'" + text + "' is a descriptor other than 0");
        }
        return !text.isEmpty();
    }

    private static InetSocketAddress address(Map<String, String> top, String key) throws ConfigException {
        String text = top.get(key);
        if (text == null) {
            throw new ConfigException(key, "is missing");
        }
        return address(text, key);
    }

    static InetSocketAddress address(String text, String key) throws ConfigException {
        InetSocketAddress address = addressOrNull(text);
        if (address == null) {
            throw new ConfigException(key, "'" + text + "' is no address with a port");
        }
        return address;
    }

    /** An address such as 10.0.0.4:3000, or null. */
    static InetSocketAddress addressOrNull(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            InetSocketAddress address = colon < 1 ? null : new InetSocketAddress(text.substring(0, colon), port);
            return address == null || address.isUnresolved() ? null : address;
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
