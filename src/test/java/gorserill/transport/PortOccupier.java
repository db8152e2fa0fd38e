package gorserill.transport;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Takes ports of every kind that the system gives out: listeners', datagrams' and outgoing connections'. */
public final class PortOccupier implements Closeable {
    private static final int OF_EACH_KIND = 800;

    private final List<Closeable> open = new ArrayList<>();

    public PortOccupier() throws IOException {
        InetAddress here = InetAddress.getLoopbackAddress();
        ServerSocket to = opened(new ServerSocket(0, OF_EACH_KIND, here));
        for (int i = 0; i < OF_EACH_KIND; i++) {
            opened(new ServerSocket(0, 1, here));
            opened(new DatagramSocket(0, here));
            opened(new Socket(here, to.getLocalPort()));
        }
    }

    private <T extends Closeable> T opened(T one) {
        open.add(one);
        return one;
    }

    @Override
    public void close() throws IOException {
        for (Closeable one : open) {
            one.close();
        }
    }
}
