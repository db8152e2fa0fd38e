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

/**
 * A registry in which a node announces the service address by {@code PUT}, and a TCP proxy that forwards each
 * connection to the announced address.
 */
public final class FakeAddressRegistry extends LoopbackHttpServer {
    private final ServerSocket proxySocket = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final BiConsumer<String, Long> listener;
    private volatile String value;
    private long epoch;

    /** @param listener receives each accepted address and its epoch */
    public FakeAddressRegistry(BiConsumer<String, Long> listener) throws IOException {
        this.listener = listener;
        startDaemon("proxy", this::acceptClients);
    }

    /** Returns the address of the proxy, to which clients connect. */
    public InetSocketAddress proxyAddress() {
        return (InetSocketAddress) proxySocket.getLocalSocketAddress();
    }

    /** Returns the address announced last, or null if there is none. */
    public String announcedAddress() {
        return value;
    }

    @Override
    void respond(Request request, Socket connection) throws IOException {
        if (request.method().equals("GET")) {
            String body = value == null ? "" : value;
            write(connection, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return;
        }
        long requestEpoch = Long.parseLong(request.headers().getOrDefault("x-epoch", "0"));
        boolean stale;
        synchronized (this) {
            stale = requestEpoch < epoch;
            if (!stale) {
                epoch = requestEpoch;
                value = new String(request.body(), StandardCharsets.UTF_8);
                listener.accept(value, requestEpoch);
            }
        }
        write(connection, "HTTP/1.1 " + (stale ? "409 Conflict" : "204 No Content") + "\r\nContent-Length: 0\r\n\r\n");
    }

    private void acceptClients() {
        while (!proxySocket.isClosed()) {
            try {
                Socket client = proxySocket.accept();
                String target = value;
                if (target == null) {
                    client.close();
                    continue;
                }
                sockets.add(client);
                startDaemon("client to node", () -> forward(client, target));
            } catch (IOException e) {
                // The proxy was closed, or the client disconnected.
            }
        }
    }

    private void forward(Socket client, String target) {
        int colon = target.lastIndexOf(':');
        try (client;
                Socket node = new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)))) {
            sockets.add(node);
            startDaemon("node to client", () -> copy(node, client));
            copy(client, node);
        } catch (IOException e) {
            // The node is unreachable; closing the connection reports that to the client.
        } finally {
            sockets.remove(client);
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
            sockets.remove(from);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is closed either way.
        }
    }

    @Override
    public void close() throws IOException {
        proxySocket.close();
        sockets.forEach(FakeAddressRegistry::close);
        super.close();
    }
}
