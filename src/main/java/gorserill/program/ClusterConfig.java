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
 * The cluster's file: who the members are, which of them vote, and the standing jobs.
 *
 * @param members addresses by name; nodes that are not among them are answered where they speak from
 * @param store the folder of what a voter must not forget; null at a node that is not to vote
 * @param storeBytes that it may take
 * @param retries null where they are not bounded beyond each job's own attempts
 * @param outAtOnce nodes that may be out of service at once; 0 where that is not bounded
 * @param address what is announced of this node, and where; null where nothing is
 * @param rate a second of this node's cluster in seconds of its clock; other than 1 in drills alone
 */
record ClusterConfig(
        String cluster,
        InetSocketAddress listen,
        Map<String, InetSocketAddress> members,
        List<String> voters,
        Path store,
        long storeBytes,
        long beat,
        long lease,
        double drift,
        List<StandingJob> jobs,
        List<Budget> budgets,
        Retries retries,
        int outAtOnce,
        Announced address,
        double rate,
        Set<Member.InjectedFault> plants) {
    /** The piece that is the service address. */
    static final String ADDRESS = "address";

    private static final int MOST_JOBS = 64;
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
     * The service address.
     *
     * @param registry where it is announced, by PUT
     * @param value this node's own
     */
    record Announced(URI registry, String value, long refresh) {}

    /**
     * Further attempts.
     *
     * @param percent of first ones
     * @param saved that a node may have in hand
     */
    record Retries(long percent, long saved) {}

    /** What the file says, checked; null where there is none or it does not enable the cluster. */
    static ClusterConfig read(
            Path file, String node, Map<String, JobClassInfo> classes, List<String> tenants, int dispatchers)
            throws ConfigException {
        Map<String, String> values = Flattener.enabled(file);
        if (values == null) {
            return null;
        }
        Map<String, InetSocketAddress> members = new LinkedHashMap<>();
        Set<String> jobNames = new TreeSet<>();
        for (Map.Entry<String, String> value : values.entrySet()) {
            if (!KEYS.contains(value.getKey().split("\\.")[0])) {
                throw new ConfigException(
                        file + ": " + value.getKey(),
                        "is no key of a cluster's file; these " + "are: " + new TreeSet<>(KEYS));
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
            throw new ConfigException(file + ": voters", "name 1, 3 or 5 different nodes, not " + voters);
        }
        for (String voter : voters) {
            if (voter.contains("#")) {
                throw new ConfigException(file + ": voters", "a voter's name has no #, unlike " + voter);
            } else if (!members.containsKey(voter) && !voter.equals(node)) {
                throw new ConfigException(file + ": members." + voter, "is missing: its address, as a voter's");
            }
        }
        long beat = number(file, values, "beat_ms", 200, 20, 10_000);
        long lease = number(file, values, "lease_ms", 3_000, 10 * beat, 600_000);
        if (jobNames.size() > MOST_JOBS) {
            throw new ConfigException(file + ": standing", jobNames.size() + " jobs, " + MOST_JOBS + " at most");
        }
        List<StandingJob> jobs = new ArrayList<>();
        // Danger: flattened, texts lose their commas and spaces; a job's body must come as it was written.
        JsonNode tree;
        try {
            tree = new ObjectMapper().readTree(file.toFile());
        } catch (IOException e) {
            throw new ConfigException(file.toString(), "can't be read: " + e.getMessage());
        }
        for (String name : jobNames) {
            if (!name.matches("[A-Za-z0-9_-]{1,40}") || name.equals(ADDRESS)) {
                throw new ConfigException(
                        file + ": standing." + name,
                        "a job's name is of letters, digits, - and _, 40 at most, and not " + ADDRESS);
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
                beat,
                lease,
                number(file, values, "drift_percent", 5, 0, 25) / 100.0,
                jobs,
                budgets(file, tree.path("budgets"), classes, tenants, dispatchers),
                retries(file, values),
                (int) number(file, values, "out_at_once", 0, 0, 1_000),
                address(file, tree, values),
                number(file, values, "clock_percent", 100, 50, 200) / 100.0,
                plants(file, values));
    }

    private static Retries retries(Path file, Map<String, String> values) throws ConfigException {
        boolean said = values.keySet().stream().anyMatch(key -> key.startsWith("retries."));
        return !said
                ? null
                : new Retries(
                        number(file, values, "retries.percent", 20, 0, 1_000),
                        number(file, values, "retries.saved", 20, 1, 100_000));
    }

    private static List<Budget> budgets(
            Path file, JsonNode all, Map<String, JobClassInfo> classes, List<String> tenants, int dispatchers)
            throws ConfigException {
        List<Budget> budgets = new ArrayList<>();
        for (java.util.Iterator<Map.Entry<String, JsonNode>> i = all.fields(); i.hasNext(); ) {
            Map.Entry<String, JsonNode> one = i.next();
            String at = file + ": budgets." + one.getKey();
            Map<String, String> its = new java.util.TreeMap<>();
            one.getValue()
                    .fields()
                    .forEachRemaining(
                            field -> its.put(field.getKey(), field.getValue().asText()));
            for (String key : its.keySet()) {
                if (!BUDGET_KEYS.contains(key)) {
                    throw new ConfigException(at + "." + key, "is none of " + new TreeSet<>(BUDGET_KEYS));
                }
            }
            String jobClass = its.get("class");
            String tenant = its.get("tenant");
            if (jobClass != null && !classes.containsKey(jobClass)) {
                throw new ConfigException(
                        at + ".class", "class '" + jobClass + "' is not among the settings' " + classes.keySet());
            } else if (tenant != null && !tenants.contains(tenant)) {
                throw new ConfigException(at + ".tenant", "tenant '" + tenant + "' is not among the settings'");
            } else if (!Set.of("hard", "soft").contains(its.getOrDefault("mode", "hard"))) {
                throw new ConfigException(at + ".mode", "must be hard or soft, not '" + its.get("mode") + "'");
            }
            budgets.add(new Budget(
                    one.getKey(),
                    jobClass == null ? -1 : classes.get(jobClass).index(),
                    tenant == null ? -1 : tenants.indexOf(tenant),
                    number(at, its, "per_s", 0, 1, 1_000_000),
                    number(at, its, "burst", 1, 1, 1_000_000),
                    (int) number(at, its, "floor_percent", 20, 0, 100),
                    (int) number(at, its, "nodes", Math.max(1, dispatchers), 1, 10_000),
                    !"soft".equals(its.get("mode"))));
        }
        if (budgets.size() > MOST_JOBS) {
            throw new ConfigException(file + ": budgets", budgets.size() + " of them, " + MOST_JOBS + " at most");
        }
        return budgets;
    }

    private static Announced address(Path file, JsonNode tree, Map<String, String> values) throws ConfigException {
        if (tree.path(ADDRESS).isMissingNode()) {
            return null;
        }
        // Danger: flattened, a text loses what is no letter.
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
                    file + ": address.registry", "'" + registry + "' is not as http://127.0.0.1:8600/entry");
        } else if (value.isBlank() || value.length() > 200) {
            throw new ConfigException(
                    file + ": address.value",
                    "is this node's own address, 200 characters " + "at most, not '" + value + "'");
        }
        return new Announced(at, value, number(file, values, "address.refresh_ms", 1_000, 50, 600_000));
    }

    /** The same with another's addresses, which are all that a running node takes over. */
    ClusterConfig withMembersOf(ClusterConfig other) {
        return new ClusterConfig(
                cluster,
                listen,
                other.members,
                voters,
                store,
                storeBytes,
                beat,
                lease,
                drift,
                jobs,
                budgets,
                retries,
                outAtOnce,
                address,
                rate,
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
                    "class '" + jobClass + "' is not among the settings' " + classes.keySet());
        }
        boolean daily = values.containsKey(at + "at");
        if (daily == values.containsKey(at + "every_ms")) {
            throw new ConfigException(file + ": " + at + "every_ms", "give either this or " + at + "at");
        }
        LocalTime time = null;
        ZoneId zone = null;
        try {
            time = daily ? LocalTime.parse(values.get(at + "at")) : null;
            zone = daily ? ZoneId.of(text(file, values, at + "zone")) : null;
        } catch (DateTimeException e) {
            throw new ConfigException(
                    file + ": " + at + (time == null ? "at" : "zone"),
                    e.getMessage() + "; give a time as 06:30 and a zone as America/Guayaquil");
        }
        long every = daily ? 0 : number(file, values, at + "every_ms", 0, 100, 7L * 86_400_000);
        String missed = values.getOrDefault(at + "missed", "last");
        if (!Set.of("skip", "last", "all").contains(missed)) {
            throw new ConfigException(file + ": " + at + "missed", "must be skip, last or all, not '" + missed + "'");
        }
        return new StandingJob(
                name,
                jobClass,
                body,
                every,
                time,
                zone,
                StandingJob.MissedPolicy.valueOf(missed.toUpperCase(java.util.Locale.ROOT)),
                number(file, values, at + "late_ms", daily ? 60_000 : every, 1, 86_400_000),
                !terms.unsafe());
    }

    /** Faults for drills; a node that has one says so at its start, loudly. */
    private static Set<Member.InjectedFault> plants(Path file, Map<String, String> values) throws ConfigException {
        Set<Member.InjectedFault> plants = EnumSet.noneOf(Member.InjectedFault.class);
        try {
            if (!values.getOrDefault("plant", "").isEmpty()) {
                plants.add(Member.InjectedFault.valueOf(values.get("plant")));
            }
        } catch (IllegalArgumentException e) {
            throw new ConfigException(file + ": plant", "is none of " + EnumSet.allOf(Member.InjectedFault.class));
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

    private static long number(Path file, Map<String, String> values, String key, long otherwise, long least, long most)
            throws ConfigException {
        return number(file + ": ", "", values, key, otherwise, least, most);
    }

    private static long number(String at, Map<String, String> values, String key, long otherwise, long least, long most)
            throws ConfigException {
        return number(at, ".", values, key, otherwise, least, most);
    }

    private static long number(
            String at, String dot, Map<String, String> values, String key, long otherwise, long least, long most)
            throws ConfigException {
        String text = values.get(key);
        try {
            long number = text == null ? otherwise : Long.parseLong(text);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below, like a number that can't be.
        }
        throw new ConfigException(at + dot + key, "'" + text + "' is no whole number from " + least + " to " + most);
    }
}
