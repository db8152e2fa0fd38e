package gorserill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** The table of settings in docs/SETTINGS.md, held against the configuration's own code. */
public class ToldTest {
    /** Every setting that the platform's pages name, each with a second value that means something else. */
    private static final String[][] SETTINGS = {
        {"areas", "a,b", "b,a"},
        {"callers.marks_retry", "false", "true"},
        {"caps.conn_idle_us", "60000000", "15000000"},
        {"caps.connect_timeout_us", "250000", "300000"},
        {"caps.cpu_us_per_request", "0.0", "5"},
        {"caps.cpu_us_per_s", "15000", "800000"},
        {"caps.max_attempts", "5", "4"},
        {"caps.max_retry_after_us", "2000000", "1000000"},
        {"caps.may_cancel", "true", "false"},
        {"caps.multiplex", "1", "2"},
        {"caps.open_cap", "20000", "10"},
        {"caps.peers", "true", "false"},
        {"caps.probes", "true", "false"},
        {"caps.retry_after", "true", "false"},
        {"caps.second_copies", "true", "false"},
        {"counted_by", "work", "request"},
        {"domain.class_kind", "-1,-1", "-1,0"},
        {"domain.class_priority", "1,0", "0,1"},
        {"domain.class_stretch", "2.0,", "1.0,"},
        {"domain.memory_unit", "m", "n"},
        {"domain.notes", "m", "n"},
        {"domain.progress_us", "1000000", "0"},
        {"domain.queue_order", "fifo", "backfill"},
        {"domain.report_x0", "free_slots", "something"},
        {"domain.report_x1", "free_memory", "something"},
        {"domain.tells_start", "true", "false"},
        {"family", "jobs", "other"},
        {"goal.whole", "0.4", "0.5"},
        {"goal.worst_class", "0.4", "0.3"},
        {"goal.worst_tenant", "0.1", "0.2"},
        {"goal.worst_window", "0.1", "0.2"},
        {"instances", "2", "3"},
        {"layers", "m", "n"},
        {"me", "0", "1"},
        {"obligations.ask_within_us", "10000000", "1"},
        {"obligations.cold_from", "0.15", "0.2"},
        {"obligations.drain_grace_us", "250000", "1"},
        {"obligations.fall_multiple", "2.5", "3"},
        {"obligations.fall_us", "3000000", "2000000"},
        {"obligations.grace_to_answer_us", "16000", "1"},
        {"obligations.warm_up_us", "24000000", "1000000"},
        {"over_share_worth", "0.05", "0.1"},
        {"prices.connection", "0", "1"},
        {"prices.cross_zone", "0.017", "0.1"},
        {"prices.fleet", "0", "1"},
        {"prices.handshake", "0", "1"},
        {"prices.late_fail", "0.03", "1"},
        {"prices.moves", "0", "1"},
        {"prices.origin", "0", "1"},
        {"prices.peer", "0.0078", "0.1"},
        {"prices.probe", "0.01", "0.1"},
        {"prices.registry_mode", "0", "1"},
        {"prices.waste", "0.12", "1"},
        {"registry_mode", "pushed", "on_request"},
        {"report.how", "pull", "piggyback"},
        {"report.names", "cpu_share,x0,x1", "cpu_share,x0"},
        {"request_classes.count", "2", null},
        {"request_classes.0.aim_stretch", "1", "1"},
        {"request_classes.1.aim_stretch", "1", "3"},
        {"request_classes.0.aim_us", "750000", "1"},
        {"request_classes.0.deadline_us", "10000000", "5000000"},
        {"request_classes.0.dedup_scope", "all", "zone"},
        {"request_classes.0.dedup_window_us", "15000000", "1"},
        {"request_classes.0.effect", "idempotency_key", "read_like"},
        {"request_classes.0.late_share", "0", "1"},
        {"request_classes.0.name", "registro", "otro"},
        {"request_classes.0.stream", "false", "true"},
        {"request_classes.0.worth", "5", "6"},
        {"request_classes.1.aim_us", "500000", "1"},
        {"request_classes.1.deadline_us", "20000000", "1"},
        {"request_classes.1.effect", "non_idempotent", "read_like"},
        {"request_classes.1.name", "folio", "otra"},
        {"request_classes.1.worth", "3", "2"},
        {"shapes", "std,big", "big,std"},
        {"tenants.count", "2", null},
        {"tenants.0.name", "ana", "eva"},
        {"tenants.0.quota_per_s", "13", "9"},
        {"tenants.0.share", "0.5", "0.4"},
        {"tenants.1.name", "ben", "leo"},
        {"tenants.1.quota_per_s", "4", "9"},
        {"tenants.1.share", "0.5", "0.4"},
        {"tick_us", "4000", "1"},
        {"tier", "0", "1"},
        {"weight_kind", "live", "silent"},
        {"zone", "0", "1"},
    };

    private static Map<String, String> settings() {
        Map<String, String> values = new TreeMap<>();
        for (String[] setting : SETTINGS) {
            values.put(setting[0], setting[1]);
        }
        return values;
    }

    /** The configuration under these settings. A list of plain values stays a list, told as one text. */
    private static NodeConfig config(Map<String, String> values) throws Exception {
        Path file = Files.createTempFile("told", ".json");
        StringBuilder json = new StringBuilder("{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\","
                + "\"peer_listen\":\"127.0.0.1:3\",\"peers_all\":\"127.0.0.1:4\","
                + "\"peers\":[\"127.0.0.1:5\",\"127.0.0.1:6\"],\"settings\":{");
        values.forEach((path, value) -> json.append(json.charAt(json.length() - 1) == '{' ? "" : ",")
                .append('"')
                .append(path)
                .append("\":")
                .append(value.contains(",") ? "[\"" + value.replace(",", "\",\"") + "\"]" : "\"" + value + "\""));
        Files.writeString(file, json + "}}");
        try {
            return NodeConfig.read(Map.of("NODE_CONFIG", file.toString(), "GORSERILL_FAKTORY", "deploy/faktory.json"));
        } finally {
            Files.delete(file);
        }
    }

    /** All that the parts of a node are given of the settings. */
    private static String effect(NodeConfig c) {
        return c.settings + " " + c.classNames + c.zones + c.workerTypes + c.loadFieldNames + c.connectTimeoutMicros
                + " " + c.connectionIdleMicros + " " + c.drainGraceMicros + c.peers + c.tenantNames + c.jobClassInfo();
    }

    private static Map<String, Boolean> table() throws Exception {
        Map<String, Boolean> rows = new HashMap<>();
        Matcher row = Pattern.compile("\\| `([a-z0-9_.*]+)` \\| (used|unused) \\| \\S.*")
                .matcher(Files.readString(Path.of("docs/SETTINGS.md")).split("\n## ")[1]);
        while (row.find()) {
            assertEquals(rows.put(row.group(1), row.group(2).equals("used")), null, row.group(1) + " twice");
        }
        return rows;
    }

    @Test
    public void everySettingIsInTheTableAndDoesWhatItSays() throws Exception {
        Map<String, Boolean> table = table();
        String before = effect(config(settings()));
        List<String> named = new ArrayList<>();
        for (String[] setting : SETTINGS) {
            String row = setting[0].replaceAll("\\.\\d+\\.", ".*.");
            named.add(row);
            if (row.endsWith(".count")) {
                continue;
            }
            assertTrue(table.containsKey(row), row + " is in neither column");
            Map<String, String> changed = settings();
            changed.put(setting[0], setting[2]);
            String after = effect(config(changed));
            if (!table.get(row)) {
                assertEquals(after, before, row + " is said to be unused");
            } else if (!setting[1].equals(setting[2])) {
                assertNotEquals(after, before, row + " is said to be used");
            }
        }
        assertTrue(named.containsAll(table.keySet()), "of the table, tried here: " + named);
    }

    @Test
    public void whatIsToldAndNotUsedIsKnownAtTheStart() throws Exception {
        Map<String, String> values = settings();
        values.put("caps.of_tomorrow", "7");
        List<String> expected = new ArrayList<>(List.of("caps.of_tomorrow"));
        table().forEach((row, used) -> {
            if (!used) {
                expected.add(row);
            }
        });
        assertEquals(config(values).unusedSettings, expected.stream().sorted().toList());
    }
}
