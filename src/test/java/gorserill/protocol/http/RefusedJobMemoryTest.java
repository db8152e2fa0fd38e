package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A job that is refused while it is submitted returns its memory to the budget once, on either frontend. */
public class RefusedJobMemoryTest {
    private static final int JOBS = 20;
    private static final int BODY_BYTES = 10_000;
    private static final long RETRY_AFTER_MICROS = 500_000;
    private static final int TIMEOUT_MS = 5_000;

    private CoreFixture fixture;

    @BeforeMethod
    public void refuseAllJobs() throws Exception {
        fixture = new CoreFixture(100, true);
        fixture.runOnLoop(() -> {
            fixture.core.setAdmissionControl((now, jobClass, tenant) -> RETRY_AFTER_MICROS);
            return null;
        });
    }

    @AfterMethod
    public void stop() throws Exception {
        fixture.close();
    }

    /** Guards against a budget that grows with each refused PUSH until later bursts exhaust the heap. */
    @Test
    public void refusedPushesLeaveTheBudgetAsItWas() throws Exception {
        InetSocketAddress faktory = fixture.listenFaktory();
        try (Socket client = connect(faktory)) {
            BufferedReader replies = reader(client);
            send(client, "HELLO {\"v\":2}\r\n");
            assertEquals(replies.readLine().substring(0, 3), "+HI");
            assertEquals(replies.readLine(), "+OK");
            for (int i = 0; i < JOBS; i++) {
                send(
                        client,
                        "PUSH {\"jid\":\"refused-" + i + "\",\"jobtype\":\"estado\",\"args\":[\""
                                + "x".repeat(BODY_BYTES) + "\"]}\r\n");
                assertEquals(replies.readLine().substring(0, 13), "-ERR refused:");
            }
        }
        assertBudgetIsUnused();
    }

    /** Guards against the same fault on the HTTP frontend. */
    @Test
    public void refusedRequestsLeaveTheBudgetAsItWas() throws Exception {
        InetSocketAddress http = fixture.listen();
        try (Socket client = connect(http)) {
            BufferedReader responses = reader(client);
            for (int i = 0; i < JOBS; i++) {
                send(
                        client,
                        "POST /estado HTTP/1.1\r\nHost: app.svc\r\nX-Txn: refused-" + i
                                + "\r\nX-Remaining-Ms: 1800\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"
                                + "x".repeat(BODY_BYTES));
                assertEquals(responses.readLine(), "HTTP/1.1 503 Service Unavailable");
                while (!responses.readLine().isEmpty()) {
                    // The rest of the head; a refusal has no body.
                }
            }
        }
        assertBudgetIsUnused();
    }

    private void assertBudgetIsUnused() throws Exception {
        fixture.runOnLoop(() -> null);
        assertEquals(fixture.memoryBudget.used(), 0);
        assertEquals(fixture.failures, java.util.List.of());
    }

    private static Socket connect(InetSocketAddress address) throws Exception {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private static BufferedReader reader(Socket socket) throws Exception {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    private static void send(Socket socket, String text) throws Exception {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
