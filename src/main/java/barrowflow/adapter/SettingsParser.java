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

/** The wire's settings, {@code path=value} a line, as the module's. Unknown ones are passed over. */
public final class SettingsParser {
    private final Map<String, String> values;
    /** Paths of what was asked for, whether it was told or not. */
    private final Set<String> read = new HashSet<>();

    SettingsParser(String text) {
        values = new HashMap<>();
        for (String line : text.split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                values.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
            }
        }
    }

    /** Settings that are split into paths and values already. */
    public SettingsParser(Map<String, String> values) {
        this.values = Map.copyOf(values);
    }

    /** @throws IllegalArgumentException which names the setting that is missing or unreadable */
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
                word("registry_mode", "pushed").equals("on_request"),
                flag("domain.tells_start"),
                number("prices.cross_zone", 0.0),
                flag("caps.second_copies") && flag("caps.may_cancel"),
                new Objective(
                        number("goal.whole", 1.0),
                        number("goal.worst_class", 0.0),
                        word("counted_by", "request").equals("work")),
                new LoadSources(
                        flag("caps.peers"),
                        number("prices.peer", 0.0),
                        flag("caps.probes"),
                        number("prices.probe", 0.0),
                        // Danger: where reports tell no free slots, probes would be paid for good and teach nothing.
                        word("report.how", "silent").equals("pull") && reportIndex("free_slots") >= 0));
    }

    private JobClass jobClass(int c) {
        String path = "request_classes." + c + ".";
        Effect effect =
                switch (word(path + "effect", null)) {
                    case "read_like" -> Effect.SAFE;
                    case "idempotency_key" -> Effect.KEYED;
                    case "non_idempotent" -> Effect.UNSAFE;
                    default -> throw unreadable(path + "effect");
                };
        boolean keyed = effect == Effect.KEYED;
        Group group =
                switch (word(path + "dedup_scope", keyed ? null : "all")) {
                    case "all" -> Group.ALL;
                    case "zone" -> Group.ZONE;
                    case "cell" -> Group.CELL;
                    default -> throw unreadable(path + "dedup_scope");
                };
        double stretch = number(path + "aim_stretch", 0.0);
        return new JobClass(
                (long) number(path + "aim_us", null),
                item("domain.class_stretch", c, stretch),
                (long) number(path + "deadline_us", null),
                number(path + "worth", null),
                number(path + "late_share", 0.0),
                effect,
                group,
                (long) number(path + "dedup_window_us", keyed ? null : 0.0),
                (int) item("domain.class_kind", c, -1));
    }

    /** Tenants come as a list of objects, of names alone or not at all. */
    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        int count = (int) number("tenants.count", 0.0);
        for (int t = 0; t < count; t++) {
            tenants.add(new Tenant(number("tenants." + t + ".quota_per_s", 0.0)));
        }
        return tenants;
    }

    /** The place of free slots ({@code free_slots}) or memory among the values of a load report, or -1. */
    public int reportIndex(String meaning) {
        String[] names = word("report.names", "").split(",");
        for (int i = 0; i < names.length; i++) {
            if (word("domain.report_" + names[i], "").equals(meaning)) {
                return i;
            }
        }
        return -1;
    }

    private double item(String path, int place, double otherwise) {
        String[] items = word(path, "").split(",");
        return place < items.length && !items[place].isEmpty() ? parse(path, items[place]) : otherwise;
    }

    private double number(String path, Double otherwise) {
        String value = rawValue(path);
        return value == null && otherwise != null ? otherwise : parse(path, word(path, null));
    }

    private boolean flag(String path) {
        return word(path, "false").equals("true");
    }

    /**
     * What was told and nobody asked for, in alphabetical order: what the deployment says that is not used.
     * Items of lists stand together, under {@code *} for their numbers.
     */
    public List<String> unusedPaths() {
        return values.keySet().stream()
                .filter(path -> !read.contains(path))
                .map(path -> path.replaceAll("\\.\\d+(?=\\.|$)", ".*"))
                .distinct()
                .sorted()
                .toList();
    }

    /** A setting's text, or null; from here on it counts as used. */
    public String rawValue(String path) {
        read.add(path);
        return values.get(path);
    }

    private String word(String path, String otherwise) {
        read.add(path);
        String value = values.getOrDefault(path, otherwise);
        if (value == null) {
            throw new IllegalArgumentException("missing setting " + path);
        }
        return value;
    }

    private double parse(String path, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw unreadable(path);
        }
    }

    private IllegalArgumentException unreadable(String path) {
        return new IllegalArgumentException("unreadable setting " + path + "=" + values.get(path));
    }
}
