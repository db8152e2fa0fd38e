package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gorserill.protocol.discovery.CallPace;
import gorserill.protocol.discovery.WorkerListing;
import gorserill.protocol.http.StandInWorkers.Accepted;
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

/** A watch on a discovery that falls silent or begins anew; the node's clock is the test's to put forward. */
public class HttpWatchTest {
    private static final long WAIT = 5_000;
    private static final long AFTER_FAILURE = 1_000;
    private static final long AFTER_SILENCE = 1_000;
    private static final String TURNED_AWAY = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

    private BlockingQueue<WorkerListing> heard;
    private List<String> failed;
    private LiveCore live;
    private StandInWorkers discovery;

    @BeforeMethod
    public void start() throws Exception {
        // Danger: what a test before this one left on its loop must not be heard by this one.
        heard = new LinkedBlockingQueue<>();
        failed = new CopyOnWriteArrayList<>();
        live = new LiveCore(100, true);
        live.stopClock();
        discovery = new StandInWorkers(1);
    }

    @AfterMethod
    public void stop() throws Exception {
        live.close();
        discovery.close();
    }

    private HttpWatch watch(WorkerListing known, boolean pushed) throws Exception {
        return watch(discovery.address(0), known, new CallPace(3, pushed, 1));
    }

    private HttpWatch watch(InetSocketAddress address, WorkerListing known, CallPace pace) throws Exception {
        BlockingQueue<WorkerListing> into = heard;
        List<String> failures = failed;
        return live.on(() -> {
            HttpWatch watch = new HttpWatch(
                    live.loop,
                    live.transport,
                    live.transport.chain(HttpCodec.client(live.loop, 1_000_000)),
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

    private static void assertAsks(Accepted call, String target) throws Exception {
        String head = call.head();
        assertTrue(head.startsWith("GET /v1/servers" + target + " HTTP/1.1\r\n"), head);
    }

    /**
     * The silence begins with the call, the earliest that it can. Danger: taken for a refusal it is followed
     * by a rest, and by one more in turn, and what it hid counts as told before the next answer can come.
     */
    @Test
    public void aWatchThatFallsSilentIsOpenedAnewLongBeforeWhatItMissedCountsAsTold() throws Exception {
        watch(known(41), false);
        assertAsks(discovery.next(), "?index=41&wait=" + WAIT);
        live.forward((Math.max(6_000, WAIT + 2_000) - 1_500) * 1_000);
        for (int i = 0; i < 2; i++) {
            assertAsks(discovery.next(), "?index=41&wait=0");
            live.forward(AFTER_SILENCE * 1_000);
        }
        Accepted call = discovery.next();
        assertAsks(call, "?index=41&wait=0");
        call.answer(list(42, false));
        assertEquals(heard.poll(5, TimeUnit.SECONDS).index(), 42);
        assertAsks(call, "?index=42&wait=" + WAIT);
        assertEquals(live.on(() -> List.copyOf(failed)), List.of());
    }

    /**
     * One of many callers that is turned away rests by their number. Danger: a call that waited too long costs the
     * service as much as one that it answers, and the retries of all would keep it from answering any.
     */
    @Test
    public void oneOfManyThatIsTurnedAwayRestsLongerThanTheModuleAsks() throws Exception {
        HttpWatch watch =
                watch(discovery.address(0), new WorkerListing(0, true, List.of()), new CallPace(100, false, 1));
        Accepted call = discovery.next();
        assertAsks(call, "");
        live.forward(2_000_000);
        call.answer(TURNED_AWAY);
        LiveCore.await(() -> !failed.isEmpty());
        live.forward(1_000_000);
        live.on(() -> {
            watch.start();
            return null;
        });
        live.forward(450_000);
        assertTrue(discovery.quiet());
        live.forward(1_600_000);
        assertAsks(discovery.next(), "");
        assertEquals(live.on(() -> List.copyOf(failed)), List.of("failed"));
    }

    /** Danger: a fleet that is restarted at once would call at once. */
    @Test
    public void oneOfManyThatKnowsAListMakesItsFirstCallSomeTimeLater() throws Exception {
        watch(discovery.address(0), known(41), new CallPace(100, false, 3));
        live.forward(50_000);
        assertTrue(discovery.quiet());
        live.forward(2_950_000);
        assertTrue(discovery.next().head().startsWith("GET /v1/servers?index=41&wait="));
    }

    /** Danger: a service that refuses at once, asked again at once by all nodes, has no time for anything else. */
    @Test
    public void aCallThatIsTurnedAwayAtOnceIsFollowedByARest() throws Exception {
        watch(known(41), false);
        Accepted call = discovery.next();
        assertAsks(call, "?index=41&wait=" + WAIT);
        call.answer(list(42, false));
        assertEquals(heard.poll(5, TimeUnit.SECONDS).index(), 42);
        assertAsks(call, "?index=42&wait=" + WAIT);
        live.forward(900_000);
        call.answer(TURNED_AWAY);
        LiveCore.await(() -> !failed.isEmpty());
        assertEquals(live.on(() -> List.copyOf(failed)), List.of("failed"));
    }

    /** A connection that does not come up within a second is tried anew at once: it has waited long enough. */
    @Test
    public void aConnectionThatNeverComesUpIsTriedAnewAfterASecond() throws Exception {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket busy = new ServerSocket(0, 1, loopback);
                Socket first = new Socket(loopback, busy.getLocalPort());
                Socket second = new Socket(loopback, busy.getLocalPort())) {
            watch((InetSocketAddress) busy.getLocalSocketAddress(), known(41), new CallPace(3, false, 1));
            for (int i = 0; i < 3; i++) {
                live.forward(1_000_000);
            }
            assertEquals(live.on(() -> List.copyOf(failed)), List.of());
            busy.accept().close();
            busy.accept().close();
            live.forward(1_000_000);
            assertAsks(new Accepted(0, busy.accept()), "?index=41&wait=" + AFTER_FAILURE);
            assertEquals(live.on(() -> List.copyOf(failed)), List.of());
        }
    }

    /** The same for a first call for the whole list, which does not wait for news. */
    @Test
    public void aFirstCallThatIsNeverAnsweredIsMadeAnewBeforeSixSeconds() throws Exception {
        watch(new WorkerListing(0, true, List.of()), false);
        assertAsks(discovery.next(), "");
        live.forward(4_500_000);
        assertAsks(discovery.next(), "");
        assertEquals(live.on(() -> List.copyOf(failed)), List.of());
    }

    /** Danger: its word counts as told 4 s after the move, and the first call is not heard. */
    @Test
    public void anAgentThatIsMovedToAndSaysNothingIsAskedTwiceMoreWithinFourSeconds() throws Exception {
        try (StandInWorkers other = new StandInWorkers(1)) {
            HttpWatch watch = watch(known(41), true);
            assertAsks(discovery.next(), "");
            live.on(() -> {
                watch.moveTo(other.address(0));
                return null;
            });
            assertAsks(other.next(), "");
            live.forward(1_500_000);
            assertAsks(other.next(), "");
            live.forward(1_500_000);
            Accepted third = other.next();
            assertAsks(third, "");
            third.answer(list(5, true));
            assertEquals(heard.poll(5, TimeUnit.SECONDS).index(), 5);
        }
    }

    /** Danger: changes counted from a lower index leave out what the service lost when it began anew. */
    @Test
    public void aServiceThatCountsFromAnewIsAskedForItsWholeList() throws Exception {
        watch(known(41), false);
        Accepted call = discovery.next();
        assertAsks(call, "?index=41&wait=" + WAIT);
        call.answer(list(7, false));
        assertAsks(call, "");
        call.answer(list(8, true));
        assertAsks(call, "?index=8&wait=" + WAIT);
        call.answer(list(3, true));
        assertAsks(call, "?index=3&wait=" + WAIT);
    }

    /** Danger: what discovery has written counts as told, whichever address it came from. */
    @Test
    public void anAnswerThatCrossesTheMoveToAnotherAddressIsTakenIn() throws Exception {
        try (StandInWorkers other = new StandInWorkers(1)) {
            HttpWatch watch = watch(known(41), false);
            Accepted call = discovery.next();
            assertAsks(call, "?index=41&wait=" + WAIT);
            live.on(() -> {
                call.answer(list(99, true));
                watch.moveTo(other.address(0));
                return null;
            });
            assertEquals(heard.poll(5, TimeUnit.SECONDS).index(), 99);
            assertAsks(other.next(), "");
        }
    }

    /** Danger: an answer that was written before the old address's last word would undo that. */
    @Test
    public void anAnswerThatMayBeOlderThanWhatASupersededCallBroughtIsAskedForAgain() throws Exception {
        try (StandInWorkers other = new StandInWorkers(1)) {
            HttpWatch watch = watch(known(41), false);
            Accepted call = discovery.next();
            assertAsks(call, "?index=41&wait=" + WAIT);
            live.on(() -> {
                watch.moveTo(other.address(0));
                return null;
            });
            Accepted moved = other.next();
            assertAsks(moved, "");
            call.answer(list(99, false));
            assertEquals(heard.poll(5, TimeUnit.SECONDS).index(), 99);
            assertEquals(call.head(), "");
            moved.answer(list(98, true));
            assertAsks(moved, "");
            moved.answer(list(5, true));
            assertEquals(heard.poll(5, TimeUnit.SECONDS).index(), 5);
            assertAsks(moved, "?index=5&wait=" + WAIT);
        }
    }

    /** The old address may have been asked before the move, and be older than what the new one has told. */
    @Test
    public void whatIsOlderThanThePresentListIsNotTakenFromASupersededCall() throws Exception {
        try (StandInWorkers other = new StandInWorkers(1)) {
            HttpWatch watch = watch(known(41), false);
            Accepted call = discovery.next();
            assertAsks(call, "?index=41&wait=" + WAIT);
            live.on(() -> {
                watch.moveTo(other.address(0));
                return null;
            });
            Accepted moved = other.next();
            assertAsks(moved, "");
            moved.answer(list(60, true));
            assertEquals(heard.poll(5, TimeUnit.SECONDS).index(), 60);
            assertAsks(moved, "?index=60&wait=" + WAIT);
            assertEquals(call.head(), "", "its sending is ended");
            call.answer(list(50, true));
            moved.answer(list(61, false));
            assertEquals(heard.poll(5, TimeUnit.SECONDS).index(), 61);
            assertTrue(heard.isEmpty());
        }
    }

    /** A connection that was taken for silent and was only slow. */
    @Test
    public void aLateAnswerAfterASilenceIsTakenIn() throws Exception {
        watch(known(41), false);
        Accepted call = discovery.next();
        assertAsks(call, "?index=41&wait=" + WAIT);
        live.forward((Math.max(6_000, WAIT + 2_000) - 1_500) * 1_000);
        assertAsks(discovery.next(), "?index=41&wait=0");
        call.answer(list(42, false));
        assertEquals(heard.poll(5, TimeUnit.SECONDS).index(), 42);
    }
}
