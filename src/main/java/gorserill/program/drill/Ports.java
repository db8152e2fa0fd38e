package gorserill.program.drill;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loopback ports for nodes. Danger: one that the system hands out may be another's by the time that a node,
 * or the node after it, binds it; so they are taken from below that range, each once.
 */
final class Ports {
    private static final int FIRST = 12_000;
    private static final int MANY = 19_000;
    private static final AtomicInteger NEXT = new AtomicInteger((int) (ProcessHandle.current().pid() * 97));

    private Ports() { }

    static int next() throws IOException {
        for (int tries = 0; tries < MANY; tries++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), MANY);
            try (ServerSocket stream = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                 DatagramSocket datagrams = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                return port;
            } catch (IOException e) {
                // It is taken.
            }
        }
        throw new IOException("no loopback port is free from " + FIRST + " on");
    }
}
