package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to either frontend, on which the test writes and reads text. */
final class TestClient implements Closeable {
    private static final int TIMEOUT_MS = 5_000;

    private final Socket socket;
    private final BufferedReader lines;

    TestClient(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        lines = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    /** Connects to the Faktory frontend and says HELLO with these fields beside the version. */
    static TestClient faktory(InetSocketAddress address, String fields) throws IOException {
        TestClient client = new TestClient(address);
        client.send("HELLO {\"v\":2" + fields + "}\r\n");
        assertTrue(client.readLine().startsWith("+HI"));
        assertEquals(client.readLine(), "+OK");
        return client;
    }

    /** The head of a job of the fixture's class. */
    static String head(String id, String fields, int bodyBytes) {
        return "POST /estado HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id + "\r\nX-Remaining-Ms: 1800\r\n" + fields
                + "Content-Length: " + bodyBytes + "\r\n\r\n";
    }

    /** A PUSH of a job of the fixture's class whose argument has so many bytes. */
    static String push(String jid, int argumentBytes) {
        return "PUSH {\"jid\":\"" + jid + "\",\"jobtype\":\"estado\",\"args\":[\"" + "x".repeat(argumentBytes)
                + "\"]}\r\n";
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    String readLine() throws IOException {
        return lines.readLine();
    }

    /** The status line and the headers of a response, each ended by a line feed. */
    String readHead() throws IOException {
        StringBuilder head = new StringBuilder();
        for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
            head.append(line).append('\n');
        }
        return head.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
