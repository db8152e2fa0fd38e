package barrowflow.adapter;

import barrowflow.Dispatcher.Cold;
import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.LoadSources;
import barrowflow.Dispatcher.Objective;
import barrowflow.Dispatcher.Settings;
import barrowflow.Dispatcher.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Converts settings given as {@code path=value} pairs, one per line, to the settings of the dispatcher. Unknown
 * paths are ignored; {@link #unusedPaths} lists them.
 */
public final class SettingsParser {
    private final Map<String, String> values;
    /** Paths that were looked up, whether a value was given or not. */
    private final Set<String> requestedPaths = new HashSet<>();

    SettingsParser(String text) {
        values = new HashMap<>();
        for (String line : text.split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                values.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
            }
        }
    }

    /** Parses settings that are already split into paths and values. */
    public SettingsParser(Map<String, String> values) {
        this.values = Map.copyOf(values);
    }

    /** @throws IllegalArgumentException if a setting is missing or invalid; the message names its path */
    public Settings settings() {
        int classes = (int) number("request_classes.count", null);
        List<JobClass> jobClasses = new ArrayList<>();
        for (int c = 0; c < classes; c++) {
            jobClasses.add(jobClass(c));
        }
        return new Settings(
                (int) number("instances", null),
                (int) number("zone", 0.0),
                jobClasses,
                tenants(),
                number("over_share_worth", 1.0),
                new Cold(
                        number("obligations.cold_from", null),
                        (long) number("obligations.warm_up_us", null),
                        number("obligations.fall_multiple", null),
                        (long) number("obligations.fall_us", null)),
                (int) number("caps.max_attempts", null),
                flag("caps.may_cancel"),
                flag("caps.retry_after") ? (long) number("caps.max_retry_after_us", 0.0) : 0,
                stringValue("registry_mode", "pushed").equals("on_request"),
                flag("domain.tells_start"),
                number("prices.cross_zone", 0.0),
                flag("caps.second_copies") && flag("caps.may_cancel"),
                new Objective(
                        number("goal.whole", 1.0),
                        number("goal.worst_class", 0.0),
                        stringValue("counted_by", "request").equals("work")),
                new LoadSources(
                        flag("caps.peers"),
                        number("prices.peer", 0.0),
                        flag("caps.probes"),
                        number("prices.probe", 0.0),
                        // Probes cost something and give no information if load reports do not include free slots.
                        stringValue("report.how", "silent").equals("pull") && reportIndex("free_slots") >= 0));
    }

    private JobClass jobClass(int c) {
        String path = "request_classes." + c + ".";
        Effect effect =
                switch (stringValue(path + "effect", null)) {
                    case "read_like" -> Effect.SAFE;
                    case "idempotency_key" -> Effect.KEYED;
                    case "non_idempotent" -> Effect.UNSAFE;
                    default -> throw invalidSetting(path + "effect");
                };
        boolean keyed = effect == Effect.KEYED;
        Group group =
                switch (stringValue(path + "dedup_scope", keyed ? null : "all")) {
                    case "all" -> Group.ALL;
                    case "zone" -> Group.ZONE;
                    case "cell" -> Group.CELL;
                    default -> throw invalidSetting(path + "dedup_scope");
                };
        double stretch = number(path + "aim_stretch", 0.0);
        return new JobClass(
                (long) number(path + "aim_us", null),
                listItem("domain.class_stretch", c, stretch),
                (long) number(path + "deadline_us", null),
                number(path + "worth", null),
                number(path + "late_share", 0.0),
                effect,
                group,
                (long) number(path + "dedup_window_us", keyed ? null : 0.0),
                (int) listItem("domain.class_kind", c, -1));
    }

    /** Reads the tenants, which may be given as a list of objects, as a list of names, or not at all. */
    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        int count = (int) number("tenants.count", 0.0);
        for (int t = 0; t < count; t++) {
            tenants.add(new Tenant(number("tenants." + t + ".quota_per_s", 0.0)));
        }
        return tenants;
    }

    /** Position of a quantity ({@code free_slots}, {@code free_memory}) among the values of a load report, or -1. */
    public int reportIndex(String meaning) {
        String[] names = stringValue("report.names", "").split(",");
        for (int i = 0; i < names.length; i++) {
            if (stringValue("domain.report_" + names[i], "").equals(meaning)) {
                return i;
            }
        }
        return -1;
    }

    private double listItem(String path, int index, double defaultValue) {
        String[] items = stringValue(path, "").split(",");
        return index < items.length && !items[index].isEmpty() ? parse(path, items[index]) : defaultValue;
    }

    private double number(String path, Double defaultValue) {
        String value = rawValue(path);
        return value == null && defaultValue != null ? defaultValue : parse(path, stringValue(path, null));
    }

    private boolean flag(String path) {
        return stringValue(path, "false").equals("true");
    }

    /**
     * Paths of settings that were given but never looked up, in alphabetical order. List items are combined
     * into one path with {@code *} in place of the index.
     */
    public List<String> unusedPaths() {
        return values.keySet().stream()
                .filter(path -> !requestedPaths.contains(path))
                .map(path -> path.replaceAll("\\.\\d+(?=\\.|$)", ".*"))
                .distinct()
                .sorted()
                .toList();
    }

    /** Returns the value of a setting as given, or null, and marks its path as used. */
    public String rawValue(String path) {
        requestedPaths.add(path);
        return values.get(path);
    }

    private String stringValue(String path, String defaultValue) {
        requestedPaths.add(path);
        String value = values.getOrDefault(path, defaultValue);
        if (value == null) {
            throw new IllegalArgumentException("missing setting " + path);
        }
        return value;
    }

    private double parse(String path, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw invalidSetting(path);
        }
    }

    private IllegalArgumentException invalidSetting(String path) {
        return new IllegalArgumentException("unreadable setting " + path + "=" + values.get(path));
    }
}
