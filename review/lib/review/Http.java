package review;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** As much of HTTP/1.1 as the stand-ins need. */
final class Http {
    private Http() {}

    /** A request or an answer; names of headers are in lower case. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        boolean closes() {
            return "close".equalsIgnoreCase(headers.get("connection"));
        }
    }

    /** Reads a message whose body has a length; null at the end of the stream before its first byte. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the body is cut off");
        }
        return new Message(first, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        for (; b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("a line is cut off");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** A server on a loopback port of its own, with a thread for each connection. */
    abstract static class Server implements Closeable {
        final ServerSocket socket = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

        Server() throws IOException {
            // Started by the subclass's user, once it is whole.
        }

        int port() {
            return socket.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        void start() {
            Rig.daemon("accept " + port(), () -> {
                while (!socket.isClosed()) {
                    try {
                        Socket connection = socket.accept();
                        connection.setTcpNoDelay(true);
                        connections.add(connection);
                        Rig.daemon("serve " + port(), () -> serve(connection));
                    } catch (IOException e) {
                        // Closed, or gone before it was accepted.
                    }
                }
            });
        }

        private void serve(Socket connection) {
            try (connection) {
                PushbackInputStream in = new PushbackInputStream(connection.getInputStream(), 1);
                for (Message request = read(in); request != null; request = read(in)) {
                    answer(request, connection, in);
                }
            } catch (IOException e) {
                // The other side is gone, or this server closes.
            } finally {
                connections.remove(connection);
            }
        }

        abstract void answer(Message request, Socket connection, PushbackInputStream in) throws IOException;

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket connection : connections) {
                connection.close();
            }
        }
    }

    /** Waits for so long, or until the other side has closed; whether it is still there. */
    static boolean stays(Socket connection, PushbackInputStream in, long ms) throws IOException {
        long end = System.nanoTime() + ms * 1_000_000;
        try {
            for (long left = ms; left > 0; left = (end - System.nanoTime()) / 1_000_000) {
                connection.setSoTimeout((int) left);
                int b;
                try {
                    b = in.read();
                } catch (SocketTimeoutException e) {
                    return true;
                }
                if (b < 0) {
                    return false;
                }
                in.unread(b);
                Rig.sleep(left);
            }
            return true;
        } catch (SocketTimeoutException e) {
            return true;
        } catch (IOException e) {
            return false;
        } finally {
            if (!connection.isClosed()) {
                connection.setSoTimeout(0);
            }
        }
    }
}
