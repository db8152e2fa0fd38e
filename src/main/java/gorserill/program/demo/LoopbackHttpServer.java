package gorserill.program.demo;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server of HTTP/1.1 on a loopback port of its own, a thread for each connection: plain rather than fast.
 */
abstract class LoopbackHttpServer implements Closeable {
    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    LoopbackHttpServer() throws IOException {
        // Danger: a thread that isn't a daemon would outlive a demo that is broken off.
        daemon("accept", this::accept);
    }

    static void daemon(String what, Runnable run) {
        Thread thread = new Thread(run, "stand-in " + what);
        thread.setDaemon(true);
        thread.start();
    }

    /** A request, its headers by lower-case names. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {}

    /** Answers a request on its connection. */
    abstract void respond(Request request, Socket connection) throws IOException, InterruptedException;

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                daemon("connection", () -> serve(socket));
            } catch (IOException e) {
                // The end, or a connection that was gone before it was accepted.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request = read(in); request != null; request = read(in)) {
                respond(request, socket);
            }
        } catch (IOException e) {
            // The node has left, or was to be left.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    private static Request read(InputStream in) throws IOException {
        String[] first = line(in).split(" ");
        if (first.length < 2) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(first[0], first[1], headers, body);
    }

    /** Without its end; empty at the end of the stream. */
    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
