package gorserill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import gorserill.program.command.ContractCommand;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The descriptions under deploy/ bind both fronts, and the fronts keep to them. */
public class DescriptionsTest {
    private static final Path OPEN_API = Path.of("deploy/openapi.json");
    private static final Path ASYNC_API = Path.of("deploy/asyncapi.json");
    private static final List<String> CLASSES = List.of("estado", "historial", "alerta", "cierre");

    private static Map<String, String> flat(Path file) throws IOException {
        try (JsonParser json = new JsonFactory().createParser(Files.readString(file))) {
            json.nextToken();
            return JsonFlattener.flatten(json, "\t");
        }
    }

    private static Fixture described(Scenario scenario, String known) throws IOException {
        String faktory = "{\"enabled\":true,\"listen\":\"LISTEN\",\"password\":\"secret\",\"asyncapi\":\""
                + ASYNC_API.toAbsolutePath() + "\"}";
        Fixture fixture = new Fixture(scenario.standIn("discovery"), known, 15_000, faktory);
        fixture.environment.put("GORSERILL_OPENAPI", OPEN_API.toString());
        scenario.front("clients", fixture.clients);
        scenario.front("faktory", fixture.faktory);
        return fixture;
    }

    /** Runs the lines against a node that both descriptions bind, with one worker. */
    private static void play(List<String> lines) throws Exception {
        try (Scenario scenario = new Scenario()) {
            Fixture fixture = described(scenario, Fixture.endpoint("w1", scenario.standIn("w1"), "in_service"));
            Node node = new Node(NodeConfig.read(fixture.environment), fixture.environment);
            node.start();
            try {
                scenario.run(lines);
            } finally {
                node.stop();
            }
        }
    }

    @DataProvider
    public Object[][] classes() {
        return CLASSES.stream().map(name -> new Object[] {name}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "classes")
    public void everyOperationAnswersAsDescribed(String name) throws Exception {
        Map<String, String> openApi = flat(OPEN_API);
        assertEquals(openApi.get("paths\t/" + name + "\tpost\tx-gorserill-class"), name);
        for (String status : List.of("200", "400", "408", "409", "413", "500", "503")) {
            String response = "paths\t/" + name + "\tpost\tresponses\t" + status + "\t$ref";
            assertTrue(openApi.containsKey(response), response);
        }
        assertEquals(openApi.get("components\tresponses\tRefused\theaders\tRetry-After\trequired"), "true");
        String keyed = name.equals("cierre") ? "Idempotency-Key: k\\r\\n" : "";
        String post = "C send POST /" + name + " HTTP/1.1\\r\\n" + keyed;
        play(List.of(
                "C connect clients",
                post + "X-Txn: t-1\\r\\nContent-Length: 2\\r\\n\\r\\nhi",
                "W accept w1",
                "W expect POST /" + name + " .*X-Lane: " + name + "\\r\\n.*hi",
                "W send ANSWER",
                "W send LAST {\"state\":\"done\",\"result\":\"yes\"}",
                "C expect 200 OK.*yes",
                post + "\\r\\n",
                "C expect 422 Unprocessable.*application/problem.json.*header X-Txn is required",
                "C connect clients",
                post + "X-Txn: t-2\\r\\nX-Lane: odd\\r\\n\\r\\n",
                "C expect 422 .*header X-Lane",
                "C connect clients",
                "C send POST /healthz HTTP/1.1\\r\\n\\r\\n",
                "C expect 405",
                "C connect clients",
                "C send POST /odd HTTP/1.1\\r\\n\\r\\n",
                "C expect 404",
                "W close",
                "X refuse w1",
                "C connect clients",
                post + "X-Txn: t-3\\r\\n\\r\\n",
                "C expect 503 Service Unavailable\\r\\nRetry-After: \\d+"));
    }

    @Test
    public void everyChannelAnswersAsDescribed() throws Exception {
        Map<String, String> asyncApi = flat(ASYNC_API);
        List<String> lines = new ArrayList<>(List.of(
                "A connect faktory",
                "A expect \"s\":\"(?<s>\\w+)\",\"i\":(?<i>\\d+)",
                "A send HELLO secret - ${s} ${i}",
                "A expect OK",
                "X refuse w1"));
        String served = pattern(asyncApi, "Served");
        String refused = pattern(asyncApi, "Refused");
        String failed = pattern(asyncApi, "Failed");
        for (String name : CLASSES) {
            String queue = asyncApi.get("channels\t" + name + "\taddress");
            String push = "A send PUSH {\"jid\":\"%s-%s\",\"jobtype\":\"x\",\"queue\":\"" + queue
                    + "\",\"args\":[],\"custom\":{\"idempotency_key\":\"k\"}}\\r\\n";
            String wid = "w-" + name;
            lines.addAll(List.of(
                    push.formatted("refused", name),
                    "A expect " + refused,
                    "W connect faktory",
                    "W expect \"s\":\"(?<s>\\w+)\",\"i\":(?<i>\\d+)",
                    "W send HELLO secret " + wid + " ${s} ${i}",
                    "W expect OK",
                    "W send FETCH " + queue + "\\r\\n",
                    push.formatted("served", name),
                    "W expect served-" + name,
                    "W send ACK {\"jid\":\"served-" + name + "\"}\\r\\n",
                    "W expect OK",
                    "A expect " + served,
                    "W send FETCH " + queue + "\\r\\n"));
            if (name.equals("alerta")) {
                lines.addAll(List.of(
                        push.formatted("failed", name),
                        "W expect failed-" + name,
                        "W send FAIL {\"jid\":\"failed-" + name + "\"}\\r\\n",
                        "W expect OK",
                        "A expect " + failed));
            }
            lines.addAll(List.of("W send BEAT {\"wid\":\"" + wid + "\",\"current_state\":\"quiet\"}\\r\\n", "W close"));
        }
        play(lines);
    }

    private static String pattern(Map<String, String> asyncApi, String message) {
        String pattern = asyncApi.get("components\tmessages\t" + message + "\tpayload\tpattern");
        // The flattened form has underscores for spaces and commas; the reply is a line of its own.
        return pattern.replace('_', '.').replaceAll("^\\^|\\$$", "") + "\\r\\n";
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                OPEN_API,
                "\"x-gorserill-class\" : \"alerta\"",
                "\"x-gorserill-class\" : \"nobody\"",
                "#/paths/~1alerta/post/x-gorserill-class: class 'nobody' is not among"
            },
            {
                OPEN_API,
                "\"x-gorserill-class\" : \"alerta\",",
                "",
                "#/paths/~1alerta/post: submit-alerta submits jobs and is bound to no class"
            },
            {OPEN_API, "\"openapi\"", "\"swagger\"", "Swagger 2.0 is not spoken"},
            {
                OPEN_API,
                "\"x-gorserill-effect\" : \"once\"",
                "\"x-gorserill-effect\" : \"safe\"",
                "its jobs would be repeated where they must not be"
            },
            {
                ASYNC_API,
                "\"x-gorserill-effect\" : \"once\"",
                "\"x-gorserill-effect\" : \"safe\"",
                "its jobs would be repeated where they must not be"
            },
            {
                ASYNC_API,
                "\"x-gorserill-class\" : \"alerta\"",
                "\"x-gorserill-class\" : \"nobody\"",
                "#/channels/alerta/x-gorserill-class: class 'nobody' is not among"
            },
            {ASYNC_API, "\"address\" : \"estado\",", "", "#/channels/estado: 'address' is missing"},
            {ASYNC_API, "\"#/channels/cierre\"", "\"#/channels/none\"", "$ref '#/channels/none' names nothing"},
            {ASYNC_API, "\"asyncapi\"", "\"asink\"", "neither 'openapi' nor 'asyncapi' is said"},
        };
    }

    @Test(dataProvider = "faults")
    public void aFaultyDescriptionIsToldByItsKey(Path file, String from, String to, String told) throws Exception {
        String text = Files.readString(file);
        assertTrue(text.contains(from), from);
        Path faulty = Files.createTempFile("description", ".json");
        Files.writeString(faulty, text.replace(from, to));
        try (Scenario scenario = new Scenario()) {
            Fixture fixture = described(scenario, "");
            if (file.equals(OPEN_API)) {
                fixture.environment.put("GORSERILL_OPENAPI", faulty.toString());
            } else {
                Path front = Path.of(fixture.environment.get("GORSERILL_FAKTORY"));
                Files.writeString(
                        front,
                        Files.readString(front)
                                .replace(ASYNC_API.toAbsolutePath().toString(), faulty.toString()));
            }
            ConfigException fault = expectThrows(ConfigException.class, () -> NodeConfig.read(fixture.environment));
            assertTrue(fault.getMessage().contains(told), fault.getMessage());
        }
    }

    /** The files under deploy/ are what the node itself says of its settings. */
    @Test
    public void theDescriptionsAreTheExportedOnes() throws Exception {
        try (Scenario scenario = new Scenario()) {
            Fixture fixture = new Fixture(scenario.standIn("discovery"), "", 15_000, "{}");
            Path folder = Files.createTempDirectory("export");
            ContractCommand.export(Path.of(fixture.environment.get("NODE_CONFIG")), folder);
            for (Path file : List.of(OPEN_API, ASYNC_API)) {
                assertEquals(Files.readString(folder.resolve(file.getFileName())), Files.readString(file));
            }
        }
    }

    @Test
    public void thePlatformRunsWithoutDescriptions() throws Exception {
        try (Scenario scenario = new Scenario()) {
            Fixture fixture = new Fixture(scenario.standIn("discovery"), "", 15_000, "{}");
            fixture.environment.remove("GORSERILL_FAKTORY");
            NodeConfig config = NodeConfig.read(fixture.environment);
            assertFalse(config.contract != null || config.faktory != null, "off as shipped");
        }
    }
}
