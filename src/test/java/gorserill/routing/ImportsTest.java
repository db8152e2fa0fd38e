package gorserill.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Checks the separation of the layers: the core is independent of wire protocols, and no layer uses a higher one. */
public class ImportsTest {
    private static final String SOURCES = "src/main/java/gorserill/";

    private static List<String> linesNaming(String folder, String... forbidden) throws IOException {
        List<String> violations = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of(SOURCES + folder))) {
            List<Path> sources =
                    files.filter(f -> f.toString().endsWith(".java")).toList();
            assertTrue(!sources.isEmpty(), folder + " has no sources");
            for (Path source : sources) {
                for (String line : Files.readAllLines(source)) {
                    for (String word : forbidden) {
                        if (line.contains(word)) {
                            violations.add(source + ": " + line.strip());
                        }
                    }
                }
            }
        }
        return violations;
    }

    @Test
    public void coreIsIndependentOfWireProtocols() throws IOException {
        assertEquals(
                linesNaming(
                        "routing",
                        "grizzly",
                        "jackson",
                        "java.net",
                        "java.nio",
                        "gorserill.protocol",
                        "gorserill.transport",
                        "gorserill.program",
                        "gorserill.contract",
                        "Http",
                        "Faktory",
                        "Json"),
                List.of());
    }

    @Test
    public void noLayerUsesAHigherOne() throws IOException {
        assertEquals(
                linesNaming("transport", "gorserill.protocol", "gorserill.routing", "gorserill.program"), List.of());
        assertEquals(linesNaming("protocol", "gorserill.program"), List.of());
        assertEquals(
                linesNaming(
                        "common",
                        "gorserill.protocol",
                        "gorserill.routing",
                        "gorserill.program",
                        "gorserill.transport"),
                List.of());
    }

    /** The decision module and its neighbours use no wire protocol, no file and no system clock. */
    @Test
    public void decisionsUseNoWireProtocolOrClock() throws IOException {
        List<String> violations = new ArrayList<>(linesNaming(
                "../barrowflow",
                "grizzly",
                "jackson",
                "java.net",
                "gorserill.",
                "nanoTime",
                "currentTimeMillis",
                "java.time",
                "java.nio.file"));
        violations.addAll(
                linesNaming("../barrowflow/gossip", "barrowflow.Choice", "barrowflow.MarketState", "java.io"));
        violations.addAll(
                linesNaming("../barrowflow/probing", "barrowflow.Choice", "barrowflow.MarketState", "java.io"));
        assertEquals(violations, List.of());
    }

    /** Contract checks need no file, wire protocol or clock; only the contract reader opens files. */
    @Test
    public void contractChecksHaveNoExternalDependencies() throws IOException {
        List<String> violations = new ArrayList<>(linesNaming(
                "contract",
                "grizzly",
                "gorserill.protocol",
                "gorserill.transport",
                "gorserill.program",
                "gorserill.routing",
                "gorserill.common",
                "java.net.Socket",
                "java.net.http",
                "nanoTime",
                "currentTimeMillis",
                "java.time"));
        violations.addAll(linesNaming("contract", "java.nio.file", "java.io.File", "java.io.InputStream").stream()
                .filter(line -> !line.startsWith(SOURCES + "contract/read/"))
                .toList());
        assertEquals(violations, List.of());
    }

    /**
     * The cluster's decisions are free of I/O and clock; only its disk storage opens a file, and nothing opens a
     * socket.
     */
    @Test
    public void clusterDecisionsHaveNoExternalDependencies() throws IOException {
        List<String> violations = new ArrayList<>(linesNaming(
                "cluster",
                "grizzly",
                "java.net",
                "gorserill.protocol",
                "gorserill.transport",
                "gorserill.program",
                "gorserill.routing",
                "gorserill.common",
                "barrowflow",
                "nanoTime",
                "currentTimeMillis",
                "new Thread",
                "Instant.now",
                "LocalDate.now",
                "Math.random"));
        violations.addAll(linesNaming("cluster", "java.nio.file", "java.io.File").stream()
                .filter(line -> !line.contains("DiskStorage.java"))
                .toList());
        violations.addAll(linesNaming("cluster/ownership", "cluster.member", "cluster.standing", "cluster.lab"));
        violations.addAll(linesNaming(
                "cluster/shared", "cluster.member", "cluster.ownership", "cluster.consensus", "cluster.lab"));
        violations.addAll(linesNaming("cluster/address", "cluster.consensus", "cluster.ownership", "cluster.lab"));
        violations.addAll(linesNaming(
                "cluster/consensus", "cluster.member", "cluster.standing", "cluster.lab", "cluster.ownership"));
        assertEquals(violations, List.of());
    }

    /** Decisions are made in the decision module, on which codecs and frontends must not depend. */
    @Test
    public void protocolLayerDoesNotUseTheDecisionModule() throws IOException {
        assertEquals(linesNaming("protocol", "barrowflow.Choice", "barrowflow.MarketState"), List.of());
    }
}
