package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gorserill.protocol.discovery.CallPace;
import gorserill.protocol.discovery.WorkerListing;
import gorserill.protocol.http.FakeServers.AcceptedConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A watch on a discovery service that stops answering or restarts. The test advances the node's clock. */
public class HttpWatchTest {
    private static final long WAIT_MS = 5_000;
    private static final long WAIT_AFTER_FAILURE_MS = 1_000;
    private static final long TIMEOUT_AFTER_SILENCE_MS = 1_000;
    private static final String TURNED_AWAY = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

    private BlockingQueue<WorkerListing> received;
    private List<String> failed;
    private CoreFixture fixture;
    private FakeServers discovery;

    @BeforeMethod
    public void start() throws Exception {
        // New collections for each test, so that events still queued on an earlier test's loop do not reach this one.
        received = new LinkedBlockingQueue<>();
        failed = new CopyOnWriteArrayList<>();
        fixture = new CoreFixture(100, true);
        fixture.stopClock();
        discovery = new FakeServers(1);
    }

    @AfterMethod
    public void stop() throws Exception {
        fixture.close();
        discovery.close();
    }

    private HttpWatch watch(WorkerListing known, boolean pushed) throws Exception {
        return watch(discovery.address(0), known, new CallPace(3, pushed, 1));
    }

    private HttpWatch watch(InetSocketAddress address, WorkerListing known, CallPace pace) throws Exception {
        BlockingQueue<WorkerListing> into = received;
        List<String> failures = failed;
        return fixture.runOnLoop(() -> {
            HttpWatch watch = new HttpWatch(
                    fixture.loop,
                    fixture.transport,
                    fixture.transport.chain(HttpCodec.client(fixture.loop, 1_000_000)),
                    address,
                    pace,
                    into::add,
                    () -> failures.add("failed"));
            watch.startFrom(known);
            watch.start();
            return watch;
        });
    }

    private static WorkerListing known(long index) {
        return new WorkerListing(
                index, true, List.of(new WorkerListing.Entry("w1", "127.0.0.1:9", "a", "m", 0, "in_service", 0)));
    }

    private static String list(long index, boolean whole) {
        String body = "{\"index\": " + index + ",\n  \"snapshot\": " + whole + ",\n  \"endpoints\": []\n}\n";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static void assertRequests(AcceptedConnection call, String target) throws Exception {
        String head = call.readHead();
        assertTrue(head.startsWith("GET /v1/servers" + target + " HTTP/1.1\r\n"), head);
    }

    /**
     * The service is silent from the moment of the call, the earliest possible. If the silence were treated as a
     * refusal, a pause would follow after each call, and changes written meanwhile would count as delivered before
     * the next answer could arrive.
     */
    @Test
    public void silentWatchIsReopenedBeforeMissedChangesCountAsDelivered() throws Exception {
        watch(known(41), false);
        assertRequests(discovery.nextConnection(), "?index=41&wait=" + WAIT_MS);
        fixture.advanceClock((Math.max(6_000, WAIT_MS + 2_000) - 1_500) * 1_000);
        for (int i = 0; i < 2; i++) {
            assertRequests(discovery.nextConnection(), "?index=41&wait=0");
            fixture.advanceClock(TIMEOUT_AFTER_SILENCE_MS * 1_000);
        }
        AcceptedConnection call = discovery.nextConnection();
        assertRequests(call, "?index=41&wait=0");
        call.respond(list(42, false));
        assertEquals(received.poll(5, TimeUnit.SECONDS).index(), 42);
        assertRequests(call, "?index=42&wait=" + WAIT_MS);
        assertEquals(fixture.runOnLoop(() -> List.copyOf(failed)), List.of());
    }

    /**
     * After a refusal, the pause grows with the number of callers. A call that waited too long costs the service as
     * much as one that it answers, so the retries of all callers would keep it from answering any.
     */
    @Test
    public void refusedCallerAmongManyPausesLongerThanTheDispatcherAsks() throws Exception {
        HttpWatch watch =
                watch(discovery.address(0), new WorkerListing(0, true, List.of()), new CallPace(100, false, 1));
        AcceptedConnection call = discovery.nextConnection();
        assertRequests(call, "");
        fixture.advanceClock(2_000_000);
        call.respond(TURNED_AWAY);
        CoreFixture.await(() -> !failed.isEmpty());
        fixture.advanceClock(1_000_000);
        fixture.runOnLoop(() -> {
            watch.start();
            return null;
        });
        fixture.advanceClock(450_000);
        assertTrue(discovery.hasNoNewConnection());
        fixture.advanceClock(1_600_000);
        assertRequests(discovery.nextConnection(), "");
        assertEquals(fixture.runOnLoop(() -> List.copyOf(failed)), List.of("failed"));
    }

    /** Otherwise all nodes of a fleet that is restarted at once would call at the same moment. */
    @Test
    public void callerAmongManyThatHasAListDelaysItsFirstCall() throws Exception {
        watch(discovery.address(0), known(41), new CallPace(100, false, 3));
        fixture.advanceClock(50_000);
        assertTrue(discovery.hasNoNewConnection());
        fixture.advanceClock(2_950_000);
        assertTrue(discovery.nextConnection().readHead().startsWith("GET /v1/servers?index=41&wait="));
    }

    /**
     * A service that refuses immediately would otherwise be called again immediately by all nodes, and get
     * overloaded.
     */
    @Test
    public void immediateRefusalIsFollowedByAPause() throws Exception {
        watch(known(41), false);
        AcceptedConnection call = discovery.nextConnection();
        assertRequests(call, "?index=41&wait=" + WAIT_MS);
        call.respond(list(42, false));
        assertEquals(received.poll(5, TimeUnit.SECONDS).index(), 42);
        assertRequests(call, "?index=42&wait=" + WAIT_MS);
        fixture.advanceClock(900_000);
        call.respond(TURNED_AWAY);
        CoreFixture.await(() -> !failed.isEmpty());
        assertEquals(fixture.runOnLoop(() -> List.copyOf(failed)), List.of("failed"));
    }

    /** A connection not established within a second is retried without a further pause. */
    @Test
    public void connectionNotEstablishedIsRetriedAfterASecond() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket busy = new ServerSocket(0, 1, loopback);
                Socket first = new Socket(loopback, busy.getLocalPort());
                Socket second = new Socket(loopback, busy.getLocalPort())) {
            watch((InetSocketAddress) busy.getLocalSocketAddress(), known(41), new CallPace(3, false, 1));
            for (int i = 0; i < 3; i++) {
                fixture.advanceClock(1_000_000);
            }
            assertEquals(fixture.runOnLoop(() -> List.copyOf(failed)), List.of());
            busy.accept().close();
            busy.accept().close();
            fixture.advanceClock(1_000_000);
            assertRequests(new AcceptedConnection(0, busy.accept()), "?index=41&wait=" + WAIT_AFTER_FAILURE_MS);
            assertEquals(fixture.runOnLoop(() -> List.copyOf(failed)), List.of());
        }
    }

    /** The first call, for the whole list, is repeated too; it does not wait for changes. */
    @Test
    public void unansweredFirstCallIsRepeatedWithinSixSeconds() throws Exception {
        watch(new WorkerListing(0, true, List.of()), false);
        assertRequests(discovery.nextConnection(), "");
        fixture.advanceClock(4_500_000);
        assertRequests(discovery.nextConnection(), "");
        assertEquals(fixture.runOnLoop(() -> List.copyOf(failed)), List.of());
    }

    /** What the new agent has written counts as delivered 4 s after the move, even if the first call gets no answer. */
    @Test
    public void silentNewAgentIsCalledTwiceMoreWithinFourSeconds() throws Exception {
        try (FakeServers other = new FakeServers(1)) {
            HttpWatch watch = watch(known(41), true);
            assertRequests(discovery.nextConnection(), "");
            fixture.runOnLoop(() -> {
                watch.moveTo(other.address(0));
                return null;
            });
            assertRequests(other.nextConnection(), "");
            fixture.advanceClock(1_500_000);
            assertRequests(other.nextConnection(), "");
            fixture.advanceClock(1_500_000);
            AcceptedConnection third = other.nextConnection();
            assertRequests(third, "");
            third.respond(list(5, true));
            assertEquals(received.poll(5, TimeUnit.SECONDS).index(), 5);
        }
    }

    /** Changes since a lower index would leave out what the service lost when it restarted. */
    @Test
    public void serviceWhoseIndexRestartsIsAskedForItsWholeList() throws Exception {
        watch(known(41), false);
        AcceptedConnection call = discovery.nextConnection();
        assertRequests(call, "?index=41&wait=" + WAIT_MS);
        call.respond(list(7, false));
        assertRequests(call, "");
        call.respond(list(8, true));
        assertRequests(call, "?index=8&wait=" + WAIT_MS);
        call.respond(list(3, true));
        assertRequests(call, "?index=3&wait=" + WAIT_MS);
    }

    /** What discovery has written counts as delivered, from whichever address. */
    @Test
    public void answerThatArrivesDuringTheMoveIsProcessed() throws Exception {
        try (FakeServers other = new FakeServers(1)) {
            HttpWatch watch = watch(known(41), false);
            AcceptedConnection call = discovery.nextConnection();
            assertRequests(call, "?index=41&wait=" + WAIT_MS);
            fixture.runOnLoop(() -> {
                call.respond(list(99, true));
                watch.moveTo(other.address(0));
                return null;
            });
            assertEquals(received.poll(5, TimeUnit.SECONDS).index(), 99);
            assertRequests(other.nextConnection(), "");
        }
    }

    /** An answer written before the last one of the old address would otherwise undo that one. */
    @Test
    public void answerPossiblyOlderThanASupersededCallsIsRequestedAgain() throws Exception {
        try (FakeServers other = new FakeServers(1)) {
            HttpWatch watch = watch(known(41), false);
            AcceptedConnection call = discovery.nextConnection();
            assertRequests(call, "?index=41&wait=" + WAIT_MS);
            fixture.runOnLoop(() -> {
                watch.moveTo(other.address(0));
                return null;
            });
            AcceptedConnection moved = other.nextConnection();
            assertRequests(moved, "");
            call.respond(list(99, false));
            assertEquals(received.poll(5, TimeUnit.SECONDS).index(), 99);
            assertEquals(call.readHead(), "");
            moved.respond(list(98, true));
            assertRequests(moved, "");
            moved.respond(list(5, true));
            assertEquals(received.poll(5, TimeUnit.SECONDS).index(), 5);
            assertRequests(moved, "?index=5&wait=" + WAIT_MS);
        }
    }

    /** The answer of the old address may be older than the list received from the new one. */
    @Test
    public void listOlderThanTheCurrentOneIsIgnoredFromASupersededCall() throws Exception {
        try (FakeServers other = new FakeServers(1)) {
            HttpWatch watch = watch(known(41), false);
            AcceptedConnection call = discovery.nextConnection();
            assertRequests(call, "?index=41&wait=" + WAIT_MS);
            fixture.runOnLoop(() -> {
                watch.moveTo(other.address(0));
                return null;
            });
            AcceptedConnection moved = other.nextConnection();
            assertRequests(moved, "");
            moved.respond(list(60, true));
            assertEquals(received.poll(5, TimeUnit.SECONDS).index(), 60);
            assertRequests(moved, "?index=60&wait=" + WAIT_MS);
            assertEquals(call.readHead(), "", "the node has shut down its output");
            call.respond(list(50, true));
            moved.respond(list(61, false));
            assertEquals(received.poll(5, TimeUnit.SECONDS).index(), 61);
            assertTrue(received.isEmpty());
        }
    }

    /** The connection was considered silent but was only slow. */
    @Test
    public void lateAnswerAfterSilenceIsProcessed() throws Exception {
        watch(known(41), false);
        AcceptedConnection call = discovery.nextConnection();
        assertRequests(call, "?index=41&wait=" + WAIT_MS);
        fixture.advanceClock((Math.max(6_000, WAIT_MS + 2_000) - 1_500) * 1_000);
        assertRequests(discovery.nextConnection(), "?index=41&wait=0");
        call.respond(list(42, false));
        assertEquals(received.poll(5, TimeUnit.SECONDS).index(), 42);
    }
}
