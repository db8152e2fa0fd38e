package gorserill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The configuration: what is read, what is taken where nothing is said, and what a fault is called. */
public class NodeConfigTest {
    private static final InetSocketAddress DISCOVERY = new InetSocketAddress("127.0.0.1", 1);

    private static NodeConfig read(String from, String to, String faktoryFile) throws Exception {
        Fixture fixture = new Fixture(DISCOVERY, "", 15_000, faktoryFile);
        Path file = Path.of(fixture.environment.get("NODE_CONFIG"));
        String text = Files.readString(file);
        assertTrue(text.contains(from), from);
        Files.writeString(file, text.replace(from, to));
        return NodeConfig.read(fixture.environment);
    }

    @Test
    public void nestedSettingsFlattenToTheAdaptersForm() throws IOException {
        String json = "{\"a\":{\"b\":[1,2.5,\"x y,z\"]},\"c\":[{\"d\":true},{\"d\":null}],\"e\":[]}";
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            parser.nextToken();
            assertEquals(
                    JsonFlattener.flatten(parser),
                    Map.of("a.b", "1,2.5,x_y_z", "c.count", "2", "c.0.d", "true", "e", ""));
        }
    }

    @Test
    public void aWholeConfigurationIsRead() throws Exception {
        NodeConfig config = read("\"x0\"]", "\"x0\"]", "{}");
        assertEquals(config.name, "n1");
        assertEquals(config.seed, 0x8c1f30d27a5be964L);
        assertEquals(config.classNames, List.of("estado", "historial", "alerta", "cierre"));
        assertEquals(config.loadFieldNames.freeSlots(), "x0");
        assertNull(config.loadFieldNames.freeMemory());
        assertEquals(config.workerIdleTimeoutMicros(), 9_000_000);
        assertEquals(config.cachedListing.index(), 41);
        assertNull(config.faktory, "off unless its file enables it");
    }

    @Test
    public void theEnvironmentGoesBeforeTheFile() throws Exception {
        Fixture fixture = new Fixture(DISCOVERY, "", 15_000, "{}");
        fixture.environment.put("NODE_NAME", "n9");
        fixture.environment.put("NODE_LISTEN", "127.0.0.9:99");
        NodeConfig config = NodeConfig.read(fixture.environment);
        assertEquals(config.name, "n9");
        assertEquals(config.listen, new InetSocketAddress("127.0.0.9", 99));
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"\"seed\":\"8", "\"seed\":\"-x", "seed: "},
            {"\"sockets\":1024", "\"sockets\":20", "limits.sockets: "},
            {"\"sockets\":1024", "\"sockets\":\"many\"", "limits.sockets: "},
            {"\"settings\":", "\"other\":", "settings: is missing"},
            {"\"cold_from\"", "\"cold\"", "obligations.cold_from"},
            {"\"conn_idle_us\":15000000", "\"conn_idle_us\":-1", "caps.conn_idle_us: "},
            {"\"name\":\"alerta\",", "", "settings.request_classes.2.name: is missing"},
            {"\"effect\":\"non_idempotent\"", "\"effect\":\"odd\"", "request_classes.2.effect=odd"},
            {"\"discovery\":\"", "\"discovery\":\"nowhere", "discovery: "},
            {"{\"name\":\"n1\"", "[", "is not a JSON object"},
            {"\"index\":41,", "", "known: can't be read"},
        };
    }

    @Test(dataProvider = "faults")
    public void aFaultIsCalledByItsKey(String from, String to, String called) {
        ConfigException fault = expectThrows(ConfigException.class, () -> read(from, to, "{}"));
        assertTrue(fault.getMessage().contains(called), fault.getMessage());
    }

    @DataProvider
    public Object[][] faktoryFaults() {
        return new Object[][] {
            {"{\"enabled\":\"perhaps\"}", ": enabled: "},
            {"{\"enabled\":true,\"queues\":{\"a\":\"alerta\"}}", ": listen: is missing"},
            {"{\"enabled\":true,\"listen\":\"here\",\"queues\":{\"a\":\"alerta\"}}", ": listen: 'here'"},
            {"{\"enabled\":true,\"listen\":\"127.0.0.1:1\"}", ": queues: is missing"},
            {
                "{\"enabled\":true,\"listen\":\"127.0.0.1:1\",\"queues\":{\"a\":\"nobody\"}}",
                ": queues.a: class 'nobody' is not among"
            },
            {"{\"enabled\":", "can't be read"},
        };
    }

    @Test(dataProvider = "faktoryFaults")
    public void aFaultOfTheFaktoryFileIsCalledByItsKey(String file, String called) {
        ConfigException fault = expectThrows(ConfigException.class, () -> read("\"n1\"", "\"n1\"", file));
        assertTrue(fault.getMessage().contains(called), fault.getMessage());
    }

    @Test
    public void withoutAFileThereIsNoNode() {
        assertTrue(expectThrows(ConfigException.class, () -> NodeConfig.read(Map.of()))
                .getMessage()
                .startsWith("NODE_CONFIG: "));
    }
}
