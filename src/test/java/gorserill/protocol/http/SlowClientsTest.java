package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Clients that leave their messages incomplete neither exhaust memory nor keep others out. */
public class SlowClientsTest {
    private static final int SLOW_CLIENTS = 30;
    private static final int SENT_BYTES = 40_000;
    private static final int BODY_BYTES = 60_000;
    /** Longer than a sound client takes to send a message, shorter than the time limit for one. */
    private static final int STALL_MS = 700;

    private static final long RETRY_AFTER_MICROS = 500_000;
    private static final int TIMEOUT_MS = 5_000;

    private final List<Socket> open = new ArrayList<>();
    private CoreFixture fixture;

    @BeforeMethod
    public void start() throws Exception {
        fixture = new CoreFixture(200, true);
    }

    @AfterMethod
    public void stop() throws Exception {
        fixture.close();
        for (Socket socket : open) {
            socket.close();
        }
        open.clear();
    }

    /** A job that gets past the frontend is refused with a time of its own, so that the test needs no worker. */
    private void refuseAllJobs() throws Exception {
        fixture.runOnLoop(() -> {
            fixture.core.setAdmissionControl((now, jobClass, tenant) -> RETRY_AFTER_MICROS);
            return null;
        });
    }

    private Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        open.add(socket);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private static String readHead(Socket socket) throws IOException {
        BufferedReader lines = reader(socket);
        StringBuilder head = new StringBuilder();
        for (String line = lines.readLine(); line != null && !line.isEmpty(); line = lines.readLine()) {
            head.append(line).append('\n');
        }
        return head.toString();
    }

    private static String head(String id, String fields, int bodyBytes) {
        return "POST /estado HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id + "\r\nX-Remaining-Ms: 1800\r\n" + fields
                + "Content-Length: " + bodyBytes + "\r\n\r\n";
    }

    /** Guards against 503 for every client while others hold half of a large request each. */
    @Test
    public void wholeRequestsAreAcceptedWhileOthersHoldHalfABody() throws Exception {
        refuseAllJobs();
        InetSocketAddress address = fixture.listen();
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            send(connect(address), head("half-" + i, "", BODY_BYTES) + "x".repeat(SENT_BYTES));
        }
        Thread.sleep(STALL_MS);
        Socket sound = connect(address);
        send(sound, head("whole", "", BODY_BYTES) + "x".repeat(BODY_BYTES));
        String answer = readHead(sound);
        assertTrue(answer.contains("Retry-After: 0.500\n"), answer);
        Socket oldest = open.get(0);
        assertTrue(readHead(oldest).startsWith("HTTP/1.1 503 "), "the oldest incomplete request is told");
    }

    /** The same over the Faktory protocol. */
    @Test
    public void wholePushesAreAcceptedWhileOthersHoldHalfALine() throws Exception {
        refuseAllJobs();
        InetSocketAddress address = fixture.listenFaktory();
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            send(connect(address), "HELLO {\"v\":2}\r\nPUSH {\"jid\":\"half-of-" + i + "\"" + "x".repeat(SENT_BYTES));
        }
        Thread.sleep(STALL_MS);
        Socket sound = connect(address);
        send(
                sound,
                "HELLO {\"v\":2}\r\nPUSH {\"jid\":\"whole-one\",\"jobtype\":\"estado\",\"args\":[\""
                        + "x".repeat(BODY_BYTES) + "\"]}\r\n");
        BufferedReader replies = reader(sound);
        assertEquals(replies.readLine().substring(0, 3), "+HI");
        assertEquals(replies.readLine(), "+OK");
        assertEquals(replies.readLine().substring(0, 13), "-ERR refused:");
        BufferedReader oldest = reader(open.get(0));
        assertEquals(oldest.readLine().substring(0, 3), "+HI");
        assertEquals(oldest.readLine(), "+OK");
        assertEquals(oldest.readLine(), "-ERR no room for more jobs at present");
    }

    /** Guards against room that is charged and not used, which others are refused. */
    @Test
    public void anIncompleteBodyIsChargedLittleMoreThanItsSize() throws Exception {
        InetSocketAddress address = fixture.listen();
        send(connect(address), head("half", "", BODY_BYTES) + "x".repeat(SENT_BYTES));
        CoreFixture.await(() -> fixture.memoryBudget.used() >= SENT_BYTES);
        fixture.runOnLoop(() -> null);
        assertTrue(fixture.memoryBudget.used() <= SENT_BYTES + 6_000, "charged " + fixture.memoryBudget.used());
    }

    /** Guards against heads whose parsed fields take thirty times the memory of their text. */
    @Test
    public void headsOfVeryManyFieldsAreRejected() throws Exception {
        InetSocketAddress address = fixture.listen();
        Socket client = connect(address);
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < 1_000; i++) {
            fields.append('a').append(i).append(":\r\n");
        }
        send(client, head("many-fields", fields.toString(), 0));
        assertTrue(readHead(client).startsWith("HTTP/1.1 431 "));
    }

    /** Guards against memory that the budget does not see: fields of parsed heads, and parts of heads. */
    @Test
    public void headsOfIncompleteRequestsAreChargedToTheBudget() throws Exception {
        InetSocketAddress address = fixture.listen();
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < 200; i++) {
            fields.append('a').append(i).append(":\r\n");
        }
        send(connect(address), head("in-the-body", fields.toString(), 10) + "x");
        CoreFixture.await(() -> fixture.memoryBudget.used() > 200 * 100);
        open.get(0).close();
        CoreFixture.await(() -> fixture.memoryBudget.used() == 0);
        send(connect(address), "POST /estado HTTP/1.1\r\nX-Long: " + "y".repeat(15_000));
        CoreFixture.await(() -> fixture.memoryBudget.used() >= 15_000);
    }
}
