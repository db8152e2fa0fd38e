package gorserill.program;

import gorserill.transport.PortOccupier;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** What a node under test is told must hold for it whatever else runs on the machine. */
public class FixtureTest {
    private static final int NODES = 60;

    /** Danger: a port that another takes before the node does makes a test fail that has no fault. */
    @Test
    public void aFloodOfPortsThatAreTakenLeavesANodesAddressesToIt() throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int n = 0; n < NODES; n++) {
            Fixture fixture = new Fixture(new InetSocketAddress("127.0.0.1", 9), "", 15_000, "{}");
            addresses.addAll(List.of(fixture.clients, fixture.faktory, fixture.operators()));
        }
        List<Closeable> listeners = new ArrayList<>();
        try (PortOccupier flood = new PortOccupier()) {
            for (InetSocketAddress address : addresses) {
                listeners.add(new ServerSocket(address.getPort(), 1, InetAddress.getLoopbackAddress()));
            }
        } finally {
            for (Closeable listener : listeners) {
                listener.close();
            }
        }
    }
}
