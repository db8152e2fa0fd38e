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
 * A minimal HTTP/1.1 server on an ephemeral loopback port, with one thread per connection; simplicity takes
 * precedence over throughput.
 */
abstract class LoopbackHttpServer implements Closeable {
    private final ServerSocket serverSocket = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    LoopbackHttpServer() throws IOException {
        // Non-daemon threads would keep the process alive after an interrupted demo.
        startDaemon("accept", this::accept);
    }

    static void startDaemon(String role, Runnable task) {
        Thread thread = new Thread(task, "fake server " + role);
        thread.setDaemon(true);
        thread.start();
    }

    /** A request; header names are in lower case. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {}

    /** Writes the response to a request on its connection. */
    abstract void respond(Request request, Socket connection) throws IOException, InterruptedException;

    public InetSocketAddress address() {
        return (InetSocketAddress) serverSocket.getLocalSocketAddress();
    }

    private void accept() {
        while (!serverSocket.isClosed()) {
            try {
                Socket socket = serverSocket.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                startDaemon("connection", () -> serve(socket));
            } catch (IOException e) {
                // The server was closed, or the client disconnected before it was accepted.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request = readRequest(in); request != null; request = readRequest(in)) {
                respond(request, socket);
            }
        } catch (IOException e) {
            // The node or this server closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(socket);
        }
    }

    private static Request readRequest(InputStream in) throws IOException {
        String[] requestLine = readLine(in).split(" ");
        if (requestLine.length < 2) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(requestLine[0], requestLine[1], headers, body);
    }

    /** Reads a line without its terminator; empty at the end of the stream. */
    private static String readLine(InputStream in) throws IOException {
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
        serverSocket.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
