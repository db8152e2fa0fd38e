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

/** Ports reserved for later listeners, while other sockets occupy any free port. */
public class ReservedPortTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int PORT_COUNT = 200;

    private final List<Closeable> open = new ArrayList<>();

    @AfterMethod
    public void close() throws IOException {
        for (Closeable socket : open) {
            socket.close();
        }
        open.clear();
    }

    private <T extends Closeable> T track(T socket) {
        open.add(socket);
        return socket;
    }

    @Test
    public void occupyingManyPortsLeavesReservedPortsToTheirListeners() throws IOException {
        List<ReservedPort> reserved = new ArrayList<>();
        Set<Integer> ports = new HashSet<>();
        for (int i = 0; i < PORT_COUNT; i++) {
            reserved.add(track(ReservedPort.reserve()));
            ports.add(reserved.get(i).port());
        }
        assertEquals(ports.size(), PORT_COUNT, "each port is reserved once");
        track(new PortOccupier());
        for (ReservedPort port : reserved) {
            track(new ServerSocket(port.port(), 1, LOOPBACK));
            track(new DatagramSocket(port.port(), LOOPBACK));
        }
    }

    /** After a listener is closed, the port stays reserved for the next one. */
    @Test
    public void portStaysReservedBetweenTwoListeners() throws IOException {
        ReservedPort port = track(ReservedPort.reserve());
        for (int i = 0; i < 3; i++) {
            assertThrows(ConnectException.class, () -> new Socket(LOOPBACK, port.port()).close());
            assertThrows(BindException.class, () -> bindExclusively(port.port()));
            try (ServerSocket listener = new ServerSocket(port.port(), 1, LOOPBACK);
                    Socket client = new Socket(LOOPBACK, port.port());
                    Socket accepted = listener.accept()) {
                assertEquals(accepted.getPort(), client.getLocalPort());
            }
        }
    }

    /** Binds a port as another reservation of it would. */
    private static void bindExclusively(int port) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setReuseAddress(false);
            socket.bind(new InetSocketAddress(LOOPBACK, port));
        }
    }
}
