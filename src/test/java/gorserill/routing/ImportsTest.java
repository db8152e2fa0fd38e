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

/** The layers stay apart: the core knows no wire, and no layer reaches up. */
public class ImportsTest {
    private static final String SOURCES = "src/main/java/gorserill/";

    private static List<String> naming(String folder, String... forbidden) throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of(SOURCES + folder))) {
            List<Path> sources =
                    files.filter(f -> f.toString().endsWith(".java")).toList();
            assertTrue(!sources.isEmpty(), folder + " has no sources");
            for (Path source : sources) {
                for (String line : Files.readAllLines(source)) {
                    for (String word : forbidden) {
                        if (line.contains(word)) {
                            found.add(source + ": " + line.strip());
                        }
                    }
                }
            }
        }
        return found;
    }

    @Test
    public void theCoreKnowsNoWire() throws IOException {
        assertEquals(
                naming(
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
    public void noLayerReachesUp() throws IOException {
        assertEquals(naming("transport", "gorserill.protocol", "gorserill.routing", "gorserill.program"), List.of());
        assertEquals(naming("protocol", "gorserill.program"), List.of());
        assertEquals(
                naming("common", "gorserill.protocol", "gorserill.routing", "gorserill.program", "gorserill.transport"),
                List.of());
    }

    /** The decision module and what stands beside it know no wire, no file and no clock of the system's. */
    @Test
    public void decisionsAreFreeOfWireAndClock() throws IOException {
        List<String> found = new ArrayList<>(naming(
                "../barrowflow",
                "grizzly",
                "jackson",
                "java.net",
                "gorserill.",
                "nanoTime",
                "currentTimeMillis",
                "java.time",
                "java.nio.file"));
        found.addAll(naming("../barrowflow/gossip", "barrowflow.Choice", "barrowflow.MarketState", "java.io"));
        found.addAll(naming("../barrowflow/probing", "barrowflow.Choice", "barrowflow.MarketState", "java.io"));
        assertEquals(found, List.of());
    }

    /** What contracts decide needs no file, no wire and no clock; only their reader opens files. */
    @Test
    public void contractsDecideByThemselves() throws IOException {
        List<String> found = new ArrayList<>(naming(
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
        found.addAll(naming("contract", "java.nio.file", "java.io.File", "java.io.InputStream").stream()
                .filter(line -> !line.startsWith(SOURCES + "contract/read/"))
                .toList());
        assertEquals(found, List.of());
    }

    /**
     * The cluster's decisions are free of I/O and clock; only its disk shelf opens a file, and nothing a
     * socket.
     */
    @Test
    public void theClusterStandsOnItsGroundAlone() throws IOException {
        List<String> found = new ArrayList<>(naming(
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
        found.addAll(naming("cluster", "java.nio.file", "java.io.File").stream()
                .filter(line -> !line.contains("DiskStorage.java"))
                .toList());
        found.addAll(naming("cluster/ownership", "cluster.member", "cluster.standing", "cluster.lab"));
        found.addAll(
                naming("cluster/shared", "cluster.member", "cluster.ownership", "cluster.consensus", "cluster.lab"));
        found.addAll(naming("cluster/address", "cluster.consensus", "cluster.ownership", "cluster.lab"));
        found.addAll(
                naming("cluster/consensus", "cluster.member", "cluster.standing", "cluster.lab", "cluster.ownership"));
        assertEquals(found, List.of());
    }

    /** Decisions are the module's: the codecs and fronts do not know it. */
    @Test
    public void codecsDecideNothing() throws IOException {
        assertEquals(naming("protocol", "barrowflow.Choice", "barrowflow.MarketState"), List.of());
    }
}
