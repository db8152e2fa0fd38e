package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.protocol.discovery.CallPace;
import gorserill.protocol.discovery.WorkerListing;
import gorserill.protocol.http.FakeServers.AcceptedConnection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A worker list that was read before a write is processed before the write. Failure guarded against: after a pause of
 * the process, jobs went to a worker whose drain discovery had reported meanwhile (see also {@code
 * MovedDiscoveryTest}). The completion of the read pass before the write was reported ahead of the input of the same
 * pass, so the write was released while the list was still queued behind a burst of requests. Here the loop is
 * blocked between the request and the list, which are both read meanwhile; or, as in a pause of the whole process,
 * the selector's thread is blocked, too, with the list unread in the kernel.
 */
public class ListBeforeSendTest {
    /** Duration of the burst, in milliseconds; processed input of this age still counts as current. */
    private static final int BURST_MS = 20;

    /** Time for the selector's thread to queue what it has read, in milliseconds. */
    private static final int QUEUEING_MS = 150;

    private static Worker worker(WorkerState state) {
        return new Worker(1, 0, 0, 0, state, 0);
    }

    private static void applyListing(CoreFixture fixture, WorkerListing listing) {
        boolean drains =
                listing.entries().stream().anyMatch(entry -> entry.status().equals("terminating"));
        fixture.core.updateWorkers(
                ListKind.CHANGES, List.of(worker(drains ? WorkerState.DRAINING : WorkerState.READY)), Map.of());
    }

    /** Runs a job at the worker, which leaves an idle connection to it. */
    private static AcceptedConnection openIdleConnection(CoreFixture fixture, FakeServers workers) throws Exception {
        CompletableFuture<String> answer = new CompletableFuture<>();
        fixture.runOnLoop(() -> fixture.submit("first", answer));
        AcceptedConnection connection = workers.nextConnection();
        assertTrue(connection.readHead().contains("X-Txn: first\r\n"));
        connection.respond(AcceptedConnection.doneResponse("first", "ok"));
        assertEquals(answer.get(5, TimeUnit.SECONDS), "served");
        return connection;
    }

    private static void sleep(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * How many workers precede the draining one (a read holds about sixty), and whether the selector is blocked, too.
     */
    @DataProvider
    public Object[][] others() {
        return new Object[][] {{0, false}, {100, false}, {1_000, false}, {0, true}, {100, true}, {1_000, true}};
    }

    private static String entry(String name, String status) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,"
                + "\"status\":\"" + status + "\",\"since_ms\":0}";
    }

    private static String answer(int others) {
        StringBuilder entries = new StringBuilder();
        for (int i = 0; i < others; i++) {
            entries.append(entry("other-" + i, "in_service")).append(',');
        }
        String body = "{\"index\":2,\"snapshot\":false,\"endpoints\":[" + entries + entry("w1", "terminating") + "]}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Test(dataProvider = "others")
    public void listThatWasReadIsProcessedBeforeTheNextFirstByte(int others, boolean selectorBlocked) throws Exception {
        try (CoreFixture fixture = new CoreFixture(100, true);
                FakeServers workers = new FakeServers(1);
                FakeServers discovery = new FakeServers(1)) {
            HttpWorker worker = fixture.httpWorker("w1", workers.address(0));
            BlockableReadFilter reads = new BlockableReadFilter(HttpCodec.client(fixture.loop, 1_000_000));
            fixture.runOnLoop(() -> {
                fixture.core.updateWorkers(ListKind.WHOLE, List.of(worker(WorkerState.READY)), Map.of(1L, worker));
                new HttpWatch(
                                fixture.loop,
                                fixture.transport,
                                fixture.transport.chainForStateUpdates(reads),
                                discovery.address(0),
                                new CallPace(1, false, 1),
                                listing -> applyListing(fixture, listing),
                                () -> {})
                        .start();
                return null;
            });
            AcceptedConnection watch = discovery.nextConnection();
            watch.readHead();
            AcceptedConnection idle = openIdleConnection(fixture, workers);
            CountDownLatch loopBlocked = new CountDownLatch(1);
            fixture.loop.execute(() -> await(loopBlocked));
            CompletableFuture<String> answer = new CompletableFuture<>();
            fixture.loop.execute(() -> fixture.submit("late", answer));
            fixture.loop.execute(() -> sleep(BURST_MS));
            if (selectorBlocked) {
                reads.blockNextRead();
            }
            int before = reads.readCount();
            watch.respond(answer(others));
            CoreFixture.await(() -> reads.readCount() > before);
            // The codec queues what was read for the loop.
            sleep(QUEUEING_MS);
            loopBlocked.countDown();
            sleep(BURST_MS / 2);
            reads.release();
            assertEquals(idle.readHead(), "", "the idle connection is closed without a job");
            assertEquals(answer.get(5, TimeUnit.SECONDS), "refused");
            assertEquals(fixture.failures, List.of());
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
