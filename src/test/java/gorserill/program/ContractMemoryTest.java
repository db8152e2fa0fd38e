package gorserill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import gorserill.contract.Contract;
import gorserill.contract.read.NoHeadroomException;
import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Reading a contract again takes no more memory than the heap has left, and none if nothing has changed. */
public class ContractMemoryTest {
    /** The heap of the deployment's command line. */
    private static final String HEAP = "-Xmx40m";
    /** Half of that heap holds one contract of this size with its validators, but not two. */
    private static final int OPERATIONS = 600;

    private static final int PROPERTIES = 20;
    private static final long MEGABYTE = 1 << 20;

    private static String description(String version, int operations) {
        StringBuilder text = new StringBuilder("{\"openapi\":\"3.1.0\",\"info\":{\"title\":\"t\",\"version\":\""
                + version + "\"},\"paths\":{\"/estado\":{\"post\":{\"x-gorserill-class\":\"estado\"}}");
        for (int operation = 0; operation < operations; operation++) {
            text.append(",\n\"/estado/camara-")
                    .append(operation)
                    .append("\":{\"post\":{\"x-gorserill-class\":\"estado\",\"requestBody\":{\"content\":")
                    .append("{\"application/json\":{\"schema\":{\"type\":\"object\",\"properties\":{");
            for (int property = 0; property < PROPERTIES; property++) {
                text.append(property == 0 ? "" : ",")
                        .append("\"reading-")
                        .append(property)
                        .append("\":{\"type\":\"string\",\"maxLength\":200,\"description\":\"Reading of sensor ")
                        .append(property)
                        .append("\"}");
            }
            text.append("}}}}}}}");
        }
        return text.append("}}").toString();
    }

    /** Guards against a reload that ends the process with OutOfMemoryError. */
    @Test
    public void aContractTooLargeForTheHeapIsRefusedAndTheNodeServesOn() throws Exception {
        try (Scenario scenario = new Scenario()) {
            Fixture fixture = new Fixture(
                    scenario.standIn("discovery"),
                    Fixture.endpoint("w1", scenario.standIn("w1"), "in_service"),
                    15_000,
                    "{}");
            Path openApi = Files.createTempDirectory("large").resolve("openapi.json");
            Files.writeString(openApi, description("1.0", OPERATIONS));
            fixture.environment.put("GORSERILL_OPENAPI", openApi.toString());
            scenario.front("clients", fixture.clients);
            scenario.front("operators", fixture.operators());
            Process program = fixture.program(
                            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", HEAP, "-XX:+ExitOnOutOfMemoryError")
                    .start();
            try (BufferedReader log = program.inputReader()) {
                awaitReady(log);
                for (String version : List.of("1.1", "1.2")) {
                    Files.writeString(openApi, description(version, OPERATIONS));
                    scenario.run(List.of(
                            "O connect operators",
                            "O send reload\\n",
                            "O expect fail .*openapi.json: no memory to read it.*\\n",
                            "T connect operators",
                            "T send contract\\n",
                            "T expect http version 1 in force described=1.0.*eof\\n"));
                }
                scenario.run(List.of(
                        "C connect clients",
                        "C send POST /estado HTTP/1.1\\r\\nX-Txn: after-reloads\\r\\n\\r\\n",
                        "W accept w1",
                        "W expect after-reloads",
                        "W send ANSWER",
                        "W send LAST {\"state\":\"done\",\"result\":1}",
                        "C expect 200 OK"));
                assertTrue(program.isAlive());
            } finally {
                program.destroyForcibly();
            }
        }
    }

    private static void awaitReady(BufferedReader log) throws Exception {
        List<String> before = new ArrayList<>();
        for (String line = log.readLine(); line == null || !line.contains("is ready"); line = log.readLine()) {
            assertTrue(line != null, "the node has ended: " + before);
            before.add(line);
        }
    }

    /** Guards against reading the contract again at each SIGHUP, whatever that was sent for. */
    @Test
    public void anUnchangedContractIsNotReadAgain() throws Exception {
        Path folder = Files.createTempDirectory("unchanged");
        Path openApi = folder.resolve("openapi.yaml");
        Path schema = folder.resolve("schema.yaml");
        Files.writeString(
                openApi,
                "openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths: {/estado: {post: {x-gorserill-class: estado, "
                        + "requestBody: {content: {application/json: {schema: {$ref: schema.yaml}}}}}}}\n");
        Files.writeString(schema, "type: string\n");
        try (Scenario scenario = new Scenario()) {
            Fixture fixture = new Fixture(scenario.standIn("discovery"), "", 15_000, "{}");
            fixture.environment.put("GORSERILL_OPENAPI", openApi.toString());
            NodeConfig first = NodeConfig.read(fixture.environment);
            ContractsInForce inForce = ContractsInForce.of(first, () -> 0);
            assertSame(NodeConfig.readForReload(fixture.environment, inForce).contract, first.contract);
            assertNull(inForce.ifUnchanged(openApi, Contract.Kind.ASYNCAPI, first.jobRules()), "another kind");
            assertNull(inForce.ifUnchanged(openApi, Contract.Kind.OPENAPI, Map.of()), "other classes");
            Files.writeString(schema, "type: integer\n");
            assertNotSame(NodeConfig.readForReload(fixture.environment, inForce).contract, first.contract);
        }
    }

    /** A heap whose collections free everything above a fixed size. */
    private static final class FakeHeap implements HeapHeadroom.Heap {
        private static final long MAX_BYTES = 32 * MEGABYTE;
        private long usedBytes;
        private long liveBytes;
        private int collections;

        @Override
        public long maxBytes() {
            return MAX_BYTES;
        }

        @Override
        public long freeBytes() {
            return MAX_BYTES - usedBytes;
        }

        @Override
        public void collect() {
            collections++;
            usedBytes = liveBytes;
        }
    }

    @Test
    public void memoryIsCollectedBeforeAContractIsRefused() {
        FakeHeap heap = new FakeHeap();
        HeapHeadroom headroom = new HeapHeadroom(() -> 10 * MEGABYTE, heap);
        heap.usedBytes = 20 * MEGABYTE;
        headroom.require(MEGABYTE);
        assertEquals(heap.collections, 0, "enough was free");
        heap.usedBytes = 30 * MEGABYTE;
        heap.liveBytes = 12 * MEGABYTE;
        headroom.require(MEGABYTE);
        assertEquals(heap.collections, 1);
        heap.usedBytes = 30 * MEGABYTE;
        heap.liveBytes = 22 * MEGABYTE;
        assertThrows(NoHeadroomException.class, () -> headroom.require(MEGABYTE));
    }

    @Test
    public void smallAllocationsAreAddedUp() {
        FakeHeap heap = new FakeHeap();
        heap.usedBytes = FakeHeap.MAX_BYTES;
        heap.liveBytes = FakeHeap.MAX_BYTES;
        HeapHeadroom headroom = new HeapHeadroom(() -> 0, heap);
        assertThrows(NoHeadroomException.class, () -> {
            for (int i = 0; i < MEGABYTE; i++) {
                headroom.require(1);
            }
        });
    }
}
