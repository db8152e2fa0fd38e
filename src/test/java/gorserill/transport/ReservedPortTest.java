package gorserill.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Ports that are kept for listeners yet to come, beside others who take whatever is free. */
public class ReservedPortTest {
    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    private static final int RESERVED = 200;

    private final List<Closeable> open = new ArrayList<>();

    @AfterMethod
    public void close() throws IOException {
        for (Closeable one : open) {
            one.close();
        }
        open.clear();
    }

    private <T extends Closeable> T opened(T one) {
        open.add(one);
        return one;
    }

    @Test
    public void aFloodOfPortsThatAreTakenLeavesAllThatAreReservedToTheirListeners() throws IOException {
        List<ReservedPort> reserved = new ArrayList<>();
        Set<Integer> numbers = new HashSet<>();
        for (int i = 0; i < RESERVED; i++) {
            reserved.add(opened(ReservedPort.reserve()));
            numbers.add(reserved.get(i).port());
        }
        assertEquals(numbers.size(), RESERVED, "each is reserved once");
        opened(new PortOccupier());
        for (ReservedPort port : reserved) {
            opened(new ServerSocket(port.port(), 1, HERE));
            opened(new DatagramSocket(port.port(), HERE));
        }
    }

    /** A node that ends leaves its port to the one after it, not to whoever comes first. */
    @Test
    public void aPortStaysReservedBetweenTwoListeners() throws IOException {
        ReservedPort port = opened(ReservedPort.reserve());
        for (int i = 0; i < 3; i++) {
            assertThrows(ConnectException.class, () -> new Socket(HERE, port.port()).close());
            assertThrows(BindException.class, () -> alone(port.port()));
            try (ServerSocket listener = new ServerSocket(port.port(), 1, HERE);
                    Socket client = new Socket(HERE, port.port());
                    Socket accepted = listener.accept()) {
                assertEquals(accepted.getPort(), client.getLocalPort());
            }
        }
    }

    /** As another who reserves ports. */
    private static void alone(int port) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setReuseAddress(false);
            socket.bind(new InetSocketAddress(HERE, port));
        }
    }
}
