package gorserill.transport;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Occupies ephemeral ports of each kind: of TCP listeners, UDP sockets and outgoing connections. */
public final class PortOccupier implements Closeable {
    private static final int PORTS_PER_KIND = 800;

    private final List<Closeable> open = new ArrayList<>();

    public PortOccupier() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        ServerSocket target = track(new ServerSocket(0, PORTS_PER_KIND, loopback));
        for (int i = 0; i < PORTS_PER_KIND; i++) {
            track(new ServerSocket(0, 1, loopback));
            track(new DatagramSocket(0, loopback));
            track(new Socket(loopback, target.getLocalPort()));
        }
    }

    private <T extends Closeable> T track(T socket) {
        open.add(socket);
        return socket;
    }

    @Override
    public void close() throws IOException {
        for (Closeable socket : open) {
            socket.close();
        }
    }
}
