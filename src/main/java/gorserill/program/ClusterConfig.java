package gorserill.program;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorserill.cluster.member.Member;
import gorserill.cluster.shared.Budget;
import gorserill.cluster.standing.StandingJob;
import gorserill.protocol.JobClassInfo;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The cluster configuration file: members, voters, timing, standing jobs, budgets and the service address.
 *
 * @param members addresses by node name; other nodes are answered at the source address of their messages
 * @param storeFolder folder for a voter's persistent state; null on a node that may not vote
 * @param storeBytes size limit of that state
 * @param heartbeatMs heartbeat interval, in milliseconds
 * @param leaseMs lease duration, in milliseconds
 * @param drift assumed clock drift, as a fraction
 * @param retries null if only the per-job limit on attempts applies
 * @param maxOutOfService number of nodes that may be out of service at the same time; 0 for no limit
 * @param address the service address to announce; null if there is none
 * @param clockRate ratio of the member's time to this node's clock; other than 1 only in drills
 * @param plants faults injected for drills
 */
record ClusterConfig(
        String cluster,
        InetSocketAddress listen,
        Map<String, InetSocketAddress> members,
        List<String> voters,
        Path storeFolder,
        long storeBytes,
        long heartbeatMs,
        long leaseMs,
        double drift,
        List<StandingJob> jobs,
        List<Budget> budgets,
        RetryLimit retries,
        int maxOutOfService,
        AddressAnnouncement address,
        double clockRate,
        Set<Member.InjectedFault> plants) {
    /** Name of the ownership piece for the service address. */
    static final String ADDRESS = "address";

    /** Limit on standing jobs, and on budgets. */
    private static final int MAX_ENTRIES = 64;

    private static final Set<String> BUDGET_KEYS =
            Set.of("class", "tenant", "per_s", "burst", "floor_percent", "nodes", "mode");
    private static final Set<String> KEYS = Set.of(
            "enabled",
            "cluster",
            "listen",
            "members",
            "voters",
            "store",
            "store_kb",
            "beat_ms",
            "lease_ms",
            "drift_percent",
            "standing",
            "out_at_once",
            "address",
            "budgets",
            "retries",
            "plant",
            "clock_percent");

    /**
     * The service address to announce.
     *
     * @param registry where it is announced, by PUT
     * @param value the address of this node
     * @param refreshMs interval at which it is announced again, in milliseconds
     */
    record AddressAnnouncement(URI registry, String value, long refreshMs) {}

    /**
     * The limit on retries at this node.
     *
     * @param percent retries allowed per 100 first attempts
     * @param saved greatest number of unused retries that a node accumulates
     */
    record RetryLimit(long percent, long saved) {}

    /** Reads and validates the file; returns null if it is missing or does not enable the cluster. */
    static ClusterConfig read(
            Path file, String node, Map<String, JobClassInfo> classes, List<String> tenants, int dispatchers)
            throws ConfigException {
        Map<String, String> values = JsonFlattener.readIfEnabled(file);
        if (values == null) {
            return null;
        }
        Map<String, InetSocketAddress> members = new LinkedHashMap<>();
        Set<String> jobNames = new TreeSet<>();
        for (Map.Entry<String, String> value : values.entrySet()) {
            if (!KEYS.contains(value.getKey().split("\\.")[0])) {
                throw new ConfigException(
                        file + ": " + value.getKey(),
                        "is not a key of the cluster file; known keys: " + new TreeSet<>(KEYS));
            }
            if (value.getKey().startsWith("members.")) {
                members.put(
                        value.getKey().substring(8),
                        NodeConfig.address(value.getValue(), file + ": " + value.getKey()));
            } else if (value.getKey().startsWith("standing.")) {
                jobNames.add(value.getKey().split("\\.")[1]);
            }
        }
        List<String> voters = List.of(text(file, values, "voters").split(" *, *"));
        if (voters.size() % 2 == 0 || voters.size() > 5 || Set.copyOf(voters).size() != voters.size()) {
            throw new ConfigException(file + ": voters", "must name 1, 3 or 5 different nodes, not " + voters);
        }
        for (String voter : voters) {
            if (voter.contains("#")) {
                throw new ConfigException(file + ": voters", "the name of a voter must not contain #: " + voter);
            } else if (!members.containsKey(voter) && !voter.equals(node)) {
                throw new ConfigException(file + ": members." + voter, "is missing; each voter needs an address");
            }
        }
        long heartbeatMs = number(file, values, "beat_ms", 200, 20, 10_000);
        long leaseMs = number(file, values, "lease_ms", 3_000, 10 * heartbeatMs, 600_000);
        if (jobNames.size() > MAX_ENTRIES) {
            throw new ConfigException(file + ": standing", jobNames.size() + " jobs; the limit is " + MAX_ENTRIES);
        }
        List<StandingJob> jobs = new ArrayList<>();
        // The flattened values lose commas and spaces; job bodies are taken unchanged from the JSON tree.
        JsonNode tree;
        try {
            tree = new ObjectMapper().readTree(file.toFile());
        } catch (IOException e) {
            throw new ConfigException(file.toString(), "cannot be read: " + e.getMessage());
        }
        for (String name : jobNames) {
            if (!name.matches("[A-Za-z0-9_-]{1,40}") || name.equals(ADDRESS)) {
                throw new ConfigException(
                        file + ": standing." + name,
                        "a job name must have 1 to 40 letters, digits, - or _, and must not be " + ADDRESS);
            }
            JsonNode body = tree.path("standing").path(name).path("body");
            jobs.add(job(file, values, name, body.isContainerNode() ? body.toString() : body.asText(), classes));
        }
        return new ClusterConfig(
                text(file, values, "cluster"),
                NodeConfig.address(text(file, values, "listen"), file + ": listen"),
                members,
                voters,
                voters.contains(node) || values.containsKey("store") ? Path.of(text(file, values, "store")) : null,
                number(file, values, "store_kb", 65_536, 16, 16_777_216) << 10,
                heartbeatMs,
                leaseMs,
                number(file, values, "drift_percent", 5, 0, 25) / 100.0,
                jobs,
                budgets(file, tree.path("budgets"), classes, tenants, dispatchers),
                retries(file, values),
                (int) number(file, values, "out_at_once", 0, 0, 1_000),
                address(file, tree, values),
                number(file, values, "clock_percent", 100, 50, 200) / 100.0,
                plants(file, values));
    }

    private static RetryLimit retries(Path file, Map<String, String> values) throws ConfigException {
        boolean configured = values.keySet().stream().anyMatch(key -> key.startsWith("retries."));
        return !configured
                ? null
                : new RetryLimit(
                        number(file, values, "retries.percent", 20, 0, 1_000),
                        number(file, values, "retries.saved", 20, 1, 100_000));
    }

    private static List<Budget> budgets(
            Path file, JsonNode all, Map<String, JobClassInfo> classes, List<String> tenants, int dispatchers)
            throws ConfigException {
        List<Budget> budgets = new ArrayList<>();
        for (java.util.Iterator<Map.Entry<String, JsonNode>> i = all.fields(); i.hasNext(); ) {
            Map.Entry<String, JsonNode> entry = i.next();
            String at = file + ": budgets." + entry.getKey();
            Map<String, String> fields = new java.util.TreeMap<>();
            entry.getValue()
                    .fields()
                    .forEachRemaining(
                            field -> fields.put(field.getKey(), field.getValue().asText()));
            for (String key : fields.keySet()) {
                if (!BUDGET_KEYS.contains(key)) {
                    throw new ConfigException(
                            at + "." + key, "is not a key of a budget; known keys: " + new TreeSet<>(BUDGET_KEYS));
                }
            }
            String jobClass = fields.get("class");
            String tenant = fields.get("tenant");
            if (jobClass != null && !classes.containsKey(jobClass)) {
                throw new ConfigException(
                        at + ".class",
                        "class '" + jobClass + "' is not in the settings; known classes: " + classes.keySet());
            } else if (tenant != null && !tenants.contains(tenant)) {
                throw new ConfigException(at + ".tenant", "tenant '" + tenant + "' is not in the settings");
            } else if (!Set.of("hard", "soft").contains(fields.getOrDefault("mode", "hard"))) {
                throw new ConfigException(at + ".mode", "must be hard or soft, not '" + fields.get("mode") + "'");
            }
            budgets.add(new Budget(
                    entry.getKey(),
                    jobClass == null ? -1 : classes.get(jobClass).index(),
                    tenant == null ? -1 : tenants.indexOf(tenant),
                    number(at, fields, "per_s", 0, 1, 1_000_000),
                    number(at, fields, "burst", 1, 1, 1_000_000),
                    (int) number(at, fields, "floor_percent", 20, 0, 100),
                    (int) number(at, fields, "nodes", Math.max(1, dispatchers), 1, 10_000),
                    !"soft".equals(fields.get("mode"))));
        }
        if (budgets.size() > MAX_ENTRIES) {
            throw new ConfigException(file + ": budgets", budgets.size() + " budgets; the limit is " + MAX_ENTRIES);
        }
        return budgets;
    }

    private static AddressAnnouncement address(Path file, JsonNode tree, Map<String, String> values)
            throws ConfigException {
        if (tree.path(ADDRESS).isMissingNode()) {
            return null;
        }
        // The flattened values lose punctuation; the URI and the address are taken from the JSON tree.
        String registry = tree.path(ADDRESS).path("registry").asText("");
        String value = tree.path(ADDRESS).path("value").asText("");
        URI at;
        try {
            at = URI.create(registry);
        } catch (IllegalArgumentException e) {
            at = URI.create("");
        }
        if (!"http".equals(at.getScheme()) || at.getHost() == null || at.getPort() < 0) {
            throw new ConfigException(
                    file + ": address.registry", "'" + registry + "' is not a URI such as http://127.0.0.1:8600/entry");
        } else if (value.isBlank() || value.length() > 200) {
            throw new ConfigException(
                    file + ": address.value",
                    "must be the address of this node, 1 to 200 characters, not '" + value + "'");
        }
        return new AddressAnnouncement(at, value, number(file, values, "address.refresh_ms", 1_000, 50, 600_000));
    }

    /** Returns this configuration with another's member addresses, the only part that a running node reloads. */
    ClusterConfig withMembersOf(ClusterConfig other) {
        return new ClusterConfig(
                cluster,
                listen,
                other.members,
                voters,
                storeFolder,
                storeBytes,
                heartbeatMs,
                leaseMs,
                drift,
                jobs,
                budgets,
                retries,
                maxOutOfService,
                address,
                clockRate,
                plants);
    }

    private static StandingJob job(
            Path file, Map<String, String> values, String name, String body, Map<String, JobClassInfo> classes)
            throws ConfigException {
        String at = "standing." + name + ".";
        String jobClass = text(file, values, at + "class");
        JobClassInfo terms = classes.get(jobClass);
        if (terms == null) {
            throw new ConfigException(
                    file + ": " + at + "class",
                    "class '" + jobClass + "' is not in the settings; known classes: " + classes.keySet());
        }
        boolean daily = values.containsKey(at + "at");
        if (daily == values.containsKey(at + "every_ms")) {
            throw new ConfigException(file + ": " + at + "every_ms", "set either this or " + at + "at");
        }
        LocalTime time = null;
        ZoneId zone = null;
        try {
            time = daily ? LocalTime.parse(values.get(at + "at")) : null;
            zone = daily ? ZoneId.of(text(file, values, at + "zone")) : null;
        } catch (DateTimeException e) {
            throw new ConfigException(
                    file + ": " + at + (time == null ? "at" : "zone"),
                    e.getMessage() + "; use a time such as 06:30 and a zone such as America/Guayaquil");
        }
        long everyMs = daily ? 0 : number(file, values, at + "every_ms", 0, 100, 7L * 86_400_000);
        String missed = values.getOrDefault(at + "missed", "last");
        if (!Set.of("skip", "last", "all").contains(missed)) {
            throw new ConfigException(file + ": " + at + "missed", "must be skip, last or all, not '" + missed + "'");
        }
        return new StandingJob(
                name,
                jobClass,
                body,
                everyMs,
                time,
                zone,
                StandingJob.MissedPolicy.valueOf(missed.toUpperCase(java.util.Locale.ROOT)),
                number(file, values, at + "late_ms", daily ? 60_000 : everyMs, 1, 86_400_000),
                !terms.unsafe());
    }

    /** Reads the fault to inject for drills; a node with one logs a SEVERE line at its start. */
    private static Set<Member.InjectedFault> plants(Path file, Map<String, String> values) throws ConfigException {
        Set<Member.InjectedFault> plants = EnumSet.noneOf(Member.InjectedFault.class);
        try {
            if (!values.getOrDefault("plant", "").isEmpty()) {
                plants.add(Member.InjectedFault.valueOf(values.get("plant")));
            }
        } catch (IllegalArgumentException e) {
            throw new ConfigException(file + ": plant", "is not one of " + EnumSet.allOf(Member.InjectedFault.class));
        }
        return plants;
    }

    private static String text(Path file, Map<String, String> values, String key) throws ConfigException {
        String text = values.getOrDefault(key, "").strip();
        if (text.isEmpty()) {
            throw new ConfigException(file + ": " + key, "is missing");
        }
        return text;
    }

    private static long number(Path file, Map<String, String> values, String key, long defaultValue, long min, long max)
            throws ConfigException {
        return number(file + ": ", "", values, key, defaultValue, min, max);
    }

    private static long number(String at, Map<String, String> values, String key, long defaultValue, long min, long max)
            throws ConfigException {
        return number(at, ".", values, key, defaultValue, min, max);
    }

    private static long number(
            String at, String dot, Map<String, String> values, String key, long defaultValue, long min, long max)
            throws ConfigException {
        String text = values.get(key);
        try {
            long number = text == null ? defaultValue : Long.parseLong(text);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, together with numbers out of range.
        }
        throw new ConfigException(at + dot + key, "'" + text + "' is not a whole number from " + min + " to " + max);
    }
}
