package gorserill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gorserill.program.command.GorserillCommand;
import gorserill.transport.ReservedPort;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Predicate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A node of a cluster of one: its file, and what staff ask of it on the command line. */
public class ClusterRunTest {
    private static final String GOOD = """
        {"enabled": true, "cluster": "c", "listen": "127.0.0.1:%d", "members": {"demo": "127.0.0.1:%d"},
         "voters": ["demo"], "store": "%s", "beat_ms": 20, "lease_ms": 300, "out_at_once": 1}
        """;

    private static Map<String, String> files(Path folder, int operators, String cluster) throws IOException {
        try (var text = ClusterRunTest.class.getResourceAsStream("/gorserill/program/demo.json")) {
            Files.writeString(
                    folder.resolve("node.json"),
                    new String(text.readAllBytes(), StandardCharsets.UTF_8)
                            .replace(
                                    "CLIENTS",
                                    "" + ReservedPort.reserveUntilExit().getPort())
                            .replace("OPERATORS", "" + operators)
                            .replace("DISCOVERY", "9")
                            .replace(
                                    "\"endpoints\": []",
                                    "\"endpoints\": [{\"name\":\"w\","
                                            + "\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,"
                                            + "\"status\":\"in_service\",\"since_ms\":0}]"));
        }
        Files.writeString(folder.resolve("cluster.json"), cluster);
        return Map.of(
                "NODE_CONFIG",
                folder.resolve("node.json").toString(),
                "GORSERILL_FAKTORY",
                "none",
                "GORSERILL_CLUSTER",
                folder.resolve("cluster.json").toString());
    }

    /** What the command says and its exit status, asked until it is so; a test's time bounds it. */
    private static String until(int operators, Predicate<String> so, String... words) {
        while (true) {
            ByteArrayOutputStream said = new ByteArrayOutputStream();
            PrintStream out = System.out;
            PrintStream err = System.err;
            System.setOut(new PrintStream(said, true, StandardCharsets.UTF_8));
            System.setErr(System.out);
            int status;
            try {
                String[] line = new String[words.length + 3];
                line[0] = "cluster";
                System.arraycopy(words, 0, line, 1, words.length);
                line[words.length + 1] = "--at";
                line[words.length + 2] = "127.0.0.1:" + operators;
                status = GorserillCommand.execute(line);
            } finally {
                System.setOut(out);
                System.setErr(err);
            }
            String text = status + " " + said.toString(StandardCharsets.UTF_8);
            if (so.test(text)) {
                return text;
            }
        }
    }

    @Test(timeOut = 30_000)
    public void staffSeeAndChangeTheClusterOnTheCommandLine() throws Exception {
        Path folder = Files.createTempDirectory("cluster");
        int operators = ReservedPort.reserveUntilExit().getPort();
        int wire = ReservedPort.reserveUntilExit().getPort();
        Map<String, String> environment = files(folder, operators, GOOD.formatted(wire, wire, folder));
        Node node = new Node(NodeConfig.read(environment), environment);
        node.start();
        try {
            until(operators, text -> text.startsWith("0") && text.contains("leads"), "status");
            assertTrue(
                    until(operators, text -> text.startsWith("0") && text.contains("\"member\":"), "members", "--json")
                            .contains("\"name\":\"demo\",\"votes\":true"));
            assertTrue(until(operators, text -> true, "replace-voter", "demo", "other")
                    .startsWith("1 fail no node other"));
            assertTrue(until(operators, text -> true, "replace-voter", "nobody", "demo")
                    .startsWith("1 fail no voter nobody"));
            assertEquals(until(operators, text -> true, "permit").strip(), "0 ok");
            until(operators, text -> text.contains("permit"), "members");
            assertEquals(until(operators, text -> true, "release", "demo").strip(), "0 ok");
            assertTrue(until(operators, text -> true, "release", "demo").startsWith("1 fail it is not out"));
            assertTrue(until(operators, text -> true, "nonsense").startsWith("1 fail say status"));
        } finally {
            node.stop();
        }
        assertTrue(until(operators, text -> true, "status").startsWith("1 no answer from"));
        assertTrue(until(1, text -> true, "transfer", "a", "--json").startsWith("2"));
    }

    @DataProvider
    public Object[][] faulty() {
        return new Object[][] {
            {"\"beat_ms\": 20", "\"beat_ms\": 5", "beat_ms"},
            {"\"beat_ms\": 20", "\"beet_ms\": 20", "beet_ms"},
            {"[\"demo\"]", "[\"demo\", \"n2\"]", "voters"},
            {"[\"demo\"]", "[\"n2\"]", "members.n2"},
            {"\"lease_ms\": 300", "\"lease_ms\": 100", "lease_ms"},
            {"\"out_at_once\": 1", "\"out_at_once\": -1", "out_at_once"},
            {"\"out_at_once\": 1", "\"store_kb\": 1", "store_kb"},
            {"\"out_at_once\": 1", "\"address\": {\"registry\": \"ftp://a\", \"value\": \"b\"}", "address.registry"},
            {"\"out_at_once\": 1", "\"address\": {\"registry\": \"http://127.0.0.1:9/a\"}", "address.value"},
            {
                "\"out_at_once\": 1",
                "\"standing\": {\"address\": {\"class\": \"estado\", \"every_ms\": 500}}",
                "standing.address"
            },
            {"\"out_at_once\": 1", "\"standing\": {\"a\": {\"class\": \"none\", \"every_ms\": 500}}", "standing.a.class"
            },
            {"\"cluster\": \"c\"", "\"cluster\": \"\"", "cluster"},
            {"\"out_at_once\": 1", "\"budgets\": {\"b\": {\"burst\": 3}}", "budgets.b.per_s"},
            {"\"out_at_once\": 1", "\"budgets\": {\"b\": {\"per_s\": 3, \"class\": \"no\"}}", "budgets.b.class"},
            {"\"out_at_once\": 1", "\"budgets\": {\"b\": {\"per_s\": 3, \"mode\": \"no\"}}", "budgets.b.mode"},
            {"\"out_at_once\": 1", "\"budgets\": {\"b\": {\"per_s\": 3, \"rate\": 1}}", "budgets.b.rate"},
            {"\"out_at_once\": 1", "\"retries\": {\"percent\": -1}", "retries.percent"},
            {"\"listen\": \"127.0.0.1", "\"listen\": \"no-host", "listen"}
        };
    }

    @Test(dataProvider = "faulty")
    public void aFaultyFileNamesItselfAndTheKey(String right, String wrong, String key) throws IOException {
        Path folder = Files.createTempDirectory("cluster");
        String text = GOOD.formatted(7_600, 7_600, folder);
        assertTrue(text.contains(right), right);
        Map<String, String> environment = files(folder, 7_601, text.replace(right, wrong));
        try {
            NodeConfig.read(environment);
        } catch (ConfigException e) {
            assertTrue(e.getMessage().contains("cluster.json: " + key), e.getMessage());
            return;
        }
        throw new AssertionError("taken: " + wrong);
    }
}
