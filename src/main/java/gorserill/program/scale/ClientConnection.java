package gorserill.program.scale;

import java.io.BufferedInputStream;
import java.io.ByteArrayInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client's connection to a node: one job at a time. */
final class ClientConnection implements Closeable {
    private static final int CONNECT = 2_000;
    private static final int MOST_LINE = 8_192;

    private final Socket socket = new Socket();
    private InputStream in;
    private boolean used;

    ClientConnection(InetSocketAddress node) throws IOException {
        socket.connect(node, CONNECT);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Whether a job went by it before. */
    boolean used() {
        return used;
    }

    /** Whether there are bytes that nobody asked for. */
    boolean hasUnasked() {
        try {
            return in.available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a request and waits for its answer. */
    Answer exchange(byte[] request, int patience) throws IOException {
        socket.setSoTimeout(patience);
        socket.getOutputStream().write(request);
        Answer answer = read();
        used = true;
        return answer;
    }

    /** Plants an answer's bytes a second time on the way to the client. */
    void repeat(Answer answer) {
        String again = "HTTP/1.1 " + answer.status() + " Again\r\nContent-Length: "
                + answer.body().length() + "\r\n\r\n" + answer.body();
        in = new SequenceInputStream(new ByteArrayInputStream(again.getBytes(StandardCharsets.UTF_8)), in);
    }

    private Answer read() throws IOException {
        String[] first = line().split(" ");
        if (first.length < 2) {
            throw new IOException("an answer that is none");
        }
        int length = 0;
        boolean closes = false;
        for (String line = line(); !line.isEmpty(); line = line()) {
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(
                        lower.substring("content-length:".length()).strip());
            } else if (lower.startsWith("connection:") && lower.contains("close")) {
                closes = true;
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("an answer that was cut off");
        }
        return new Answer(Integer.parseInt(first[1]), closes, new String(body, StandardCharsets.UTF_8));
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the connection ended");
            } else if (line.length() > MOST_LINE) {
                throw new IOException("a line without end");
            }
            line.append((char) b);
        }
        return line.toString().strip();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
