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

/** The node's configuration, read from its file and the environment, with defaults applied and values checked. */
public final class NodeConfig {
    /** Longest expected pause of the process between two steps on a busy machine. */
    private static final long MAX_PROCESS_PAUSE_MICROS = 150_000;

    /** Lower bound of {@link #maxInputAgeMicros} where the drain grace is short. */
    private static final long MIN_INPUT_AGE_MICROS = 20_000;

    private static final int DEFAULT_SOCKETS = 1024;
    private static final int DEFAULT_MEMORY_MB = 128;
    /** Descriptors reserved for the program itself: the jar, the selector, logs, listeners, discovery. */
    private static final int OWN_DESCRIPTORS = 40;
    /** Most concurrent connections of operators. */
    static final int ADMIN_CONNECTIONS = 24;

    final String name;
    final InetSocketAddress listen;
    /** Address for operators' calls; null if they are disabled. */
    final InetSocketAddress admin;
    /** Whether the client socket is inherited as descriptor 0 instead of being bound here. */
    final boolean passedSocket;

    final InetSocketAddress discovery;
    final long seed;
    final int maxSockets;
    final long memoryBytes;
    /** Folder for files that survive the process; null if nothing is stored. */
    final Path stateFolder;
    /** Worker list to start from; null if the configuration has none. */
    final WorkerListing cachedListing;

    final Settings settings;
    final List<String> classNames;
    final List<String> zones;
    final List<String> workerTypes;
    final LoadFieldNames loadFieldNames;
    /** Addresses for messages between nodes; null if none are exchanged. */
    final PeerPort.Addresses peers;
    /** In the settings' order; empty if the deployment has no tenants. */
    final List<String> tenantNames;
    /** Settings of the deployment that this node does not use. */
    final List<String> unusedSettings;

    final long connectTimeoutMicros;
    /** How long after a drain is announced the first byte of a job may still be sent to the worker. */
    final long drainGraceMicros;

    /** The workers' own limit on idle connections. */
    final long connectionIdleMicros;
    /** Null if the Faktory front end is disabled. */
    FaktorySettings faktory;
    /** Null if the node is not a member of a cluster. */
    final ClusterConfig cluster;
    /** The HTTP front end's contract; if null, its paths are the class names. */
    Contract contract;

    private final Map<String, String> values;

    private NodeConfig(
            Map<String, String> top,
            Map<String, String> values,
            WorkerListing cachedListing,
            Map<String, String> environment,
            ContractsInForce inForce)
            throws ConfigException {
        this.values = values;
        this.cachedListing = cachedListing;
        name = top.getOrDefault("name", "node");
        listen = address(top, "listen");
        discovery = address(top, "discovery");
        admin = top.getOrDefault("admin_addr", "").isEmpty() ? null : address(top, "admin_addr");
        String temporaryFolder = environment.getOrDefault("TMPDIR", "");
        stateFolder = temporaryFolder.isEmpty() ? null : Path.of(temporaryFolder);
        passedSocket = isSocketPassed(environment.getOrDefault("NODE_PASSED_SOCKET", ""));
        seed = seed(top);
        maxSockets = (int) number(top, "limits.sockets", DEFAULT_SOCKETS);
        memoryBytes = (long) number(top, "limits.memory_mb", DEFAULT_MEMORY_MB) << 20;
        if (connectionBudget() <= 0) {
            throw new ConfigException(
                    "limits.sockets",
                    maxSockets + " descriptors are too few; the node itself needs "
                            + (maxSockets - connectionBudget()));
        }
        SettingsParser parser = new SettingsParser(values);
        Settings parsedSettings;
        try {
            parsedSettings = parser.settings();
        } catch (IllegalArgumentException e) {
            throw new ConfigException("settings", e.getMessage());
        }
        peers = parsedSettings.loadSources().peers() ? peers(top, values) : null;
        settings = peers == null ? parsedSettings.withoutPeers() : parsedSettings;
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
        workerTypes = names(parser.rawValue("shapes"));
        loadFieldNames = new LoadFieldNames(reportName(parser, "free_slots"), reportName(parser, "free_memory"));
        connectTimeoutMicros = (long) number(values, "caps.connect_timeout_us", 250_000);
        connectionIdleMicros = (long) number(values, "caps.conn_idle_us", 15_000_000);
        drainGraceMicros = (long) number(values, "obligations.drain_grace_us", 500_000);
        List.of("caps.connect_timeout_us", "caps.conn_idle_us", "obligations.drain_grace_us", "me")
                .forEach(parser::rawValue);
        unusedSettings = parser.unusedPaths();
        faktory = FaktoryConfig.read(
                Path.of(environment.getOrDefault("GORSERILL_FAKTORY", "deploy/faktory.json")),
                classNames,
                jobClassInfo(),
                jobRules(),
                inForce);
        cluster = ClusterConfig.read(
                Path.of(environment.getOrDefault("GORSERILL_CLUSTER", "deploy/cluster.json")),
                name,
                jobClassInfo(),
                tenantNames,
                settings.dispatchers());
        String openApi = environment.get("GORSERILL_OPENAPI");
        contract = openApi == null
                ? null
                : ContractLoader.read(
                        "GORSERILL_OPENAPI", Path.of(openApi), Contract.Kind.OPENAPI, jobRules(), inForce);
    }

    /** Reads the file that {@code NODE_CONFIG} names; other environment variables override its values. */
    static NodeConfig read(Map<String, String> environment) throws ConfigException {
        return read(environment, ContractsInForce.NONE);
    }

    private static NodeConfig read(Map<String, String> environment, ContractsInForce inForce) throws ConfigException {
        String file = environment.get("NODE_CONFIG");
        if (file == null) {
            throw new ConfigException(
                    "NODE_CONFIG", "is not set; name a node's JSON file there, or run the command demo to try one");
        }
        Map<String, String> top = new LinkedHashMap<>();
        Map<String, String> settings = null;
        WorkerListing cachedListing = null;
        String key = file;
        try (JsonParser json = new JsonFactory().createParser(Files.readString(Path.of(file)))) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigException(file, "is not a JSON object");
            }
            while (json.nextToken() != JsonToken.END_OBJECT) {
                key = json.currentName();
                JsonToken value = json.nextToken();
                if (key.equals("settings")) {
                    settings = JsonFlattener.flatten(json);
                } else if (key.equals("known") && value != JsonToken.VALUE_NULL) {
                    cachedListing = WorkerListing.read(json);
                } else {
                    String prefix = key;
                    JsonFlattener.flatten(json)
                            .forEach((path, text) -> top.put(path.isEmpty() ? prefix : prefix + "." + path, text));
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
        return new NodeConfig(top, settings, cachedListing, environment, inForce);
    }

    /**
     * Reads the file again for a running node. The variable for discovery's address is ignored here; it would override
     * the file on every reload.
     *
     * @param inForce the contracts that the node has; they are read again only if they changed
     */
    static NodeConfig readForReload(Map<String, String> environment, ContractsInForce inForce) throws ConfigException {
        Map<String, String> variables = new HashMap<>(environment);
        variables.remove("NODE_DISCOVERY");
        return read(variables, inForce);
    }

    /** Drops the contracts once the front ends have them, since this configuration outlives contracts that change. */
    void forgetContracts() {
        contract = null;
        faktory = faktory == null ? null : faktory.withoutContract();
    }

    /** The changed keys of a newer configuration that take effect only after a restart. */
    List<String> fixedKeysChangedIn(NodeConfig newer) {
        Map<String, Boolean> changed = new LinkedHashMap<>();
        changed.put("name", !name.equals(newer.name));
        changed.put("listen", !listen.equals(newer.listen));
        changed.put("admin_addr", !Objects.equals(admin, newer.admin));
        changed.put("limits.sockets", maxSockets != newer.maxSockets);
        changed.put("limits.memory_mb", memoryBytes != newer.memoryBytes);
        changed.put("settings", !values.equals(newer.values));
        changed.put("faktory: enabled", (faktory == null) != (newer.faktory == null));
        changed.put(
                "cluster",
                !Objects.equals(
                        cluster,
                        cluster == null || newer.cluster == null
                                ? newer.cluster
                                : newer.cluster.withMembersOf(cluster)));
        changed.put(
                "faktory: listen",
                faktory != null && newer.faktory != null && !faktory.listen().equals(newer.faktory.listen()));
        changed.values().removeIf(isChanged -> !isChanged);
        return List.copyOf(changed.keySet());
    }

    /** Whether the job classes are the same, so that contracts bound to one configuration's classes fit the other's. */
    boolean sameClasses(NodeConfig other) {
        return jobClassInfo().equals(other.jobClassInfo());
    }

    /** Reads the job classes of a configuration file, to check contracts without a node. */
    public static Map<String, JobRule> jobRules(Path file) throws ConfigException {
        return read(Map.of("NODE_CONFIG", file.toString(), "GORSERILL_FAKTORY", ""))
                .jobRules();
    }

    /** The rules that contracts are checked against, by class name. */
    Map<String, JobRule> jobRules() {
        Map<String, JobRule> rules = new LinkedHashMap<>();
        for (int c = 0; c < classNames.size(); c++) {
            JobClass jobClass = settings.classes().get(c);
            rules.put(classNames.get(c), new JobRule(classNames.get(c), c, jobClass.effect(), jobClass.deadline()));
        }
        return rules;
    }

    /** The properties of the classes that front ends need, by class name. */
    Map<String, JobClassInfo> jobClassInfo() {
        Map<String, JobClassInfo> terms = new LinkedHashMap<>();
        for (int c = 0; c < classNames.size(); c++) {
            JobClass jobClass = settings.classes().get(c);
            terms.put(
                    classNames.get(c),
                    new JobClassInfo(
                            c,
                            jobClass.deadline(),
                            jobClass.effect() == Effect.KEYED,
                            jobClass.effect() == Effect.UNSAFE));
        }
        return terms;
    }

    /**
     * Maximum age of the node's state when it writes the first byte of a job: the drain grace, less the longest pause
     * of the process between the check and the write.
     */
    long maxInputAgeMicros() {
        return Math.max(
                MIN_INPUT_AGE_MICROS,
                Math.min(Transport.DEFAULT_MAX_INPUT_AGE_MICROS, drainGraceMicros - MAX_PROCESS_PAUSE_MICROS));
    }

    /** The longest deduplication window of the keyed classes; 0 if there are none. */
    long maxDedupWindowMicros() {
        return settings.classes().stream()
                .filter(c -> c.effect() == Effect.KEYED)
                .mapToLong(JobClass::dedupWindow)
                .max()
                .orElse(0);
    }

    /** Maximum number of connections of all kinds together. */
    int connectionBudget() {
        return maxSockets - ownDescriptors();
    }

    /** Descriptors that a process needs besides its connections. */
    int ownDescriptors() {
        return OWN_DESCRIPTORS + (admin == null ? 0 : ADMIN_CONNECTIONS);
    }

    /** Prefix of a node's file names; a hash, so that any node name gives a valid file name. */
    static String fileKey(String node) {
        return "gorserill-" + Integer.toHexString(node.hashCode());
    }

    /** Memory for request bodies: a sixteenth of the configured memory, at most a quarter of the heap. */
    long bodyBudgetBytes() {
        return Math.min(memoryBytes / 16, Runtime.getRuntime().maxMemory() / 4);
    }

    /** Idle timeout of connections to workers, well below the worker's own limit. */
    long workerIdleTimeoutMicros() {
        return connectionIdleMicros * 6 / 10;
    }

    private String reportName(SettingsParser parser, String meaning) {
        int index = parser.reportIndex(meaning);
        return index < 0 ? null : values.get("report.names").split(",")[index];
    }

    private static long seed(Map<String, String> top) throws ConfigException {
        String text = top.getOrDefault("seed", "0");
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "'" + text + "' is not a 64-bit hexadecimal number");
        }
    }

    private static double number(Map<String, String> values, String key, double defaultValue) throws ConfigException {
        double number = number(values, key, defaultValue, 0);
        if (number == 0) {
            throw new ConfigException(key, "'" + values.get(key) + "' is not a number above 0");
        }
        return number;
    }

    private static double number(Map<String, String> values, String key, double defaultValue, double minimum)
            throws ConfigException {
        String text = values.get(key);
        try {
            double number = text == null ? defaultValue : Double.parseDouble(text);
            if (number >= minimum) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number that is out of range.
        }
        throw new ConfigException(key, "'" + text + "' is not a number above 0");
    }

    private static List<String> names(String list) {
        return List.of((list == null ? "" : list).split(","));
    }

    /** Null if the deployment allows messages between nodes but names no addresses. */
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

    /** The JVM can inherit only descriptor 0. */
    private static boolean isSocketPassed(String text) throws ConfigException {
        if (text.matches("\\d+") && !text.equals("0")) {
            throw new ConfigException(
                    "NODE_PASSED_SOCKET", "'" + text + "' is not descriptor 0, the only one that can be inherited");
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
            throw new ConfigException(key, "'" + text + "' is not an address with a port");
        }
        return address;
    }

    /** Parses an address such as 10.0.0.4:3000; null if it is malformed or can't be resolved. */
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
