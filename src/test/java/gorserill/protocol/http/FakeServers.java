package gorserill.protocol.http;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Listening sockets that stand in for workers or for discovery; the test reads and answers each connection itself. */
final class FakeServers implements Closeable {
    private static final int TIMEOUT_MS = 5_000;

    /** A connection that the node opened to the server number {@code index}. */
    record AcceptedConnection(int index, Socket socket) {
        /** Reads up to the end of a request's head or, if that comes first, of the connection. */
        String readHead() throws IOException {
            socket.setSoTimeout(TIMEOUT_MS);
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            try {
                for (int b = socket.getInputStream().read();
                        b >= 0;
                        b = socket.getInputStream().read()) {
                    received.write(b);
                    if (text(received).endsWith("\r\n\r\n")) {
                        break;
                    }
                }
            } catch (SocketException e) {
                // A reset also ends the connection.
            }
            return text(received);
        }

        private static String text(ByteArrayOutputStream received) {
            return received.toString(StandardCharsets.ISO_8859_1);
        }

        void respond(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** A response that names the job. */
        static String doneResponse(String id, String result) {
            String line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"" + result + "\"}\n";
            return "HTTP/1.1 200 OK\r\nContent-Length: " + line.length() + "\r\n\r\n" + line;
        }

        /** Responds that the current job is done. */
        void respondDone() throws IOException {
            String line = "{\"state\":\"done\",\"result\":\"ok\"}\n";
            respond("HTTP/1.1 200 OK\r\nContent-Length: " + line.length() + "\r\n\r\n" + line);
        }
    }

    private final List<ServerSocket> listeners = new ArrayList<>();
    private final BlockingQueue<AcceptedConnection> accepted = new LinkedBlockingQueue<>();

    FakeServers(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            int index = i;
            ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            listeners.add(listener);
            Thread thread = new Thread(() -> accept(index, listener), "fake server " + i);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void accept(int index, ServerSocket listener) {
        try {
            while (true) {
                accepted.add(new AcceptedConnection(index, listener.accept()));
            }
        } catch (IOException e) {
            // The test has closed the listener.
        }
    }

    InetSocketAddress address(int index) {
        return (InetSocketAddress) listeners.get(index).getLocalSocketAddress();
    }

    /** Waits for the next connection to any of the servers. */
    AcceptedConnection nextConnection() throws InterruptedException {
        AcceptedConnection next = accepted.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (next == null) {
            throw new AssertionError("no connection was opened within " + TIMEOUT_MS + " ms");
        }
        return next;
    }

    /** Whether there is no connection that the test has not taken yet. */
    boolean hasNoNewConnection() {
        return accepted.isEmpty();
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket listener : listeners) {
            listener.close();
        }
        for (AcceptedConnection connection : accepted) {
            connection.socket.close();
        }
    }
}
