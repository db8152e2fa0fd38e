package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gorserill.protocol.http.FakeServers.AcceptedConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
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

    private final List<TestClient> open = new ArrayList<>();
    private CoreFixture fixture;

    @BeforeMethod
    public void start() throws Exception {
        fixture = new CoreFixture(200, true);
    }

    @AfterMethod
    public void stop() throws Exception {
        fixture.close();
        for (TestClient client : open) {
            client.close();
        }
        open.clear();
    }

    private TestClient connect(InetSocketAddress address) throws IOException {
        TestClient client = new TestClient(address);
        open.add(client);
        return client;
    }

    private void sendHalfBodies(InetSocketAddress address) throws Exception {
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            connect(address).send(TestClient.head("half-" + i, "", BODY_BYTES) + "x".repeat(SENT_BYTES));
        }
        Thread.sleep(STALL_MS);
    }

    private static String shortFields(int count) {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < count; i++) {
            fields.append('a').append(i).append(":\r\n");
        }
        return fields.toString();
    }

    /** Guards against 503 for every client while others hold half of a large request each. */
    @Test
    public void wholeRequestsAreAcceptedWhileOthersHoldHalfABody() throws Exception {
        fixture.refuseAllJobs();
        InetSocketAddress address = fixture.listen();
        sendHalfBodies(address);
        TestClient sound = connect(address);
        sound.send(TestClient.head("whole", "", BODY_BYTES) + "x".repeat(BODY_BYTES));
        String answer = sound.readHead();
        assertTrue(answer.contains("Retry-After: 0.500\n"), answer);
        assertTrue(open.get(0).readHead().startsWith("HTTP/1.1 503 "), "the oldest incomplete request is told");
    }

    /** The same over the Faktory protocol. */
    @Test
    public void wholePushesAreAcceptedWhileOthersHoldHalfALine() throws Exception {
        fixture.refuseAllJobs();
        InetSocketAddress address = fixture.listenFaktory();
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            TestClient slow = TestClient.faktory(address, "");
            open.add(slow);
            slow.send(TestClient.push("half-of-" + i, BODY_BYTES).substring(0, SENT_BYTES));
        }
        Thread.sleep(STALL_MS);
        TestClient sound = TestClient.faktory(address, "");
        open.add(sound);
        sound.send(TestClient.push("whole-one", BODY_BYTES));
        assertTrue(sound.readLine().startsWith("-ERR refused:"));
        assertEquals(open.get(0).readLine(), "-ERR no room for more jobs at present");
    }

    /** Guards against 503, which says that a job did not run, for one that a worker has. */
    @Test
    public void aRunningJobWhoseConnectionGivesWayHasFailed() throws Exception {
        try (FakeServers workers = new FakeServers(1)) {
            fixture.listWorkers(workers, 1);
            InetSocketAddress address = fixture.listen();
            TestClient client = connect(address);
            client.send(TestClient.head("running", "", 0));
            AcceptedConnection worker = workers.nextConnection();
            assertTrue(worker.readHead().contains("running"));
            client.send(TestClient.head("half", "", BODY_BYTES) + "x".repeat(SENT_BYTES));
            sendHalfBodies(address);
            connect(address).send(TestClient.head("whole", "", BODY_BYTES) + "x".repeat(BODY_BYTES));
            assertTrue(client.readHead().startsWith("HTTP/1.1 500 "));
        }
    }

    /** Guards against room that is charged and not used, which others are refused. */
    @Test
    public void anIncompleteBodyIsChargedLittleMoreThanItsSize() throws Exception {
        connect(fixture.listen()).send(TestClient.head("half", "", BODY_BYTES) + "x".repeat(SENT_BYTES));
        CoreFixture.await(() -> fixture.memoryBudget.used() >= SENT_BYTES);
        assertTrue(fixture.memoryBudget.used() <= SENT_BYTES + 6_000, "charged " + fixture.memoryBudget.used());
    }

    /** Guards against heads whose parsed fields take thirty times the memory of their text. */
    @Test
    public void headsOfVeryManyFieldsAreRejected() throws Exception {
        TestClient client = connect(fixture.listen());
        client.send(TestClient.head("many-fields", shortFields(1_000), 0));
        assertTrue(client.readHead().startsWith("HTTP/1.1 431 "));
    }

    /** Guards against memory that the budget does not see: fields of parsed heads, and parts of heads. */
    @Test
    public void headsOfIncompleteRequestsAreChargedToTheBudget() throws Exception {
        InetSocketAddress address = fixture.listen();
        TestClient first = connect(address);
        first.send(TestClient.head("in-the-body", shortFields(200), 10) + "x");
        CoreFixture.await(() -> fixture.memoryBudget.used() > 200 * 100);
        first.close();
        CoreFixture.await(() -> fixture.memoryBudget.used() == 0);
        connect(address).send("POST /estado HTTP/1.1\r\nX-Long: " + "y".repeat(15_000));
        CoreFixture.await(() -> fixture.memoryBudget.used() >= 15_000);
    }
}
