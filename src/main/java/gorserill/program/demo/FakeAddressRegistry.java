package gorserill.program.demo;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;

/** Where a service address is announced by {@code PUT}, and a proxy that sends each connection there. */
public final class FakeAddressRegistry extends LoopbackHttpServer {
    private final ServerSocket proxy = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final BiConsumer<String, Long> heard;
    private volatile String value;
    private long epoch;

    /** @param heard is told of each address that was taken, and its epoch */
    public FakeAddressRegistry(BiConsumer<String, Long> heard) throws IOException {
        this.heard = heard;
        daemon("proxy", this::pass);
    }

    /** Where clients come. */
    public InetSocketAddress proxyAddress() {
        return (InetSocketAddress) proxy.getLocalSocketAddress();
    }

    /** The address that was announced last; null where none was. */
    public String announcedAddress() {
        return value;
    }

    @Override
    void respond(Request request, Socket connection) throws IOException {
        if (request.method().equals("GET")) {
            String at = value == null ? "" : value;
            write(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + at.length() + "\r\n\r\n" + at);
            return;
        }
        long its = Long.parseLong(request.headers().getOrDefault("x-epoch", "0"));
        boolean late;
        synchronized (this) {
            late = its < epoch;
            if (!late) {
                epoch = its;
                value = new String(request.body(), StandardCharsets.UTF_8);
                heard.accept(value, its);
            }
        }
        write(connection, "HTTP/1.1 " + (late ? "409 Conflict" : "204 No Content") + "\r\nContent-Length: 0\r\n\r\n");
    }

    private void pass() {
        while (!proxy.isClosed()) {
            try {
                Socket client = proxy.accept();
                String at = value;
                if (at == null) {
                    client.close();
                    continue;
                }
                open.add(client);
                daemon("way in", () -> join(client, at));
            } catch (IOException e) {
                // The end, or a client that is gone.
            }
        }
    }

    private void join(Socket client, String at) {
        int colon = at.lastIndexOf(':');
        try (client;
                Socket node = new Socket(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1)))) {
            open.add(node);
            daemon("way out", () -> copy(node, client));
            copy(client, node);
        } catch (IOException e) {
            // The node is not there: the client finds its connection closed.
        } finally {
            open.remove(client);
        }
    }

    private void copy(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            in.transferTo(out);
            to.shutdownOutput();
        } catch (IOException e) {
            close(from);
            close(to);
        } finally {
            open.remove(from);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    @Override
    public void close() throws IOException {
        proxy.close();
        open.forEach(FakeAddressRegistry::close);
        super.close();
    }
}
