package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.protocol.discovery.CallPace;
import gorserill.protocol.discovery.WorkerListing;
import gorserill.protocol.http.StandInWorkers.Accepted;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Seen beside the incident of {@code MovedDiscoveryTest}: after a process had stood still, jobs went to a worker whose
 * drain discovery had written meanwhile. Cause: the look before the write was reported ahead of what the same look had
 * read, so the list waited behind a burst of requests while the write was let go. Here the loop is held up between the
 * request and the list, both of which were read while it was held; or, as where a whole process stood still, the
 * selector's thread is held, too, with the list in the system.
 */
public class ListBeforeSendTest {
    /** Milliseconds; a look that takes less counts as fresh. */
    private static final int BURST = 20;

    private static final int READING = 150;

    private static Worker worker(WorkerState state) {
        return new Worker(1, 0, 0, 0, state, 0);
    }

    private static void hear(LiveCore live, WorkerListing listing) {
        boolean drains =
                listing.entries().stream().anyMatch(entry -> entry.status().equals("terminating"));
        live.core.updateWorkers(
                ListKind.CHANGES, List.of(worker(drains ? WorkerState.DRAINING : WorkerState.READY)), Map.of());
    }

    /** A job at the worker, so that a connection rests there. */
    private static Accepted rest(LiveCore live, StandInWorkers workers) throws Exception {
        CompletableFuture<String> answer = new CompletableFuture<>();
        live.on(() -> live.take("first", answer));
        Accepted at = workers.next();
        assertTrue(at.head().contains("X-Txn: first\r\n"));
        at.answer(Accepted.done("first", "ok"));
        assertEquals(answer.get(5, TimeUnit.SECONDS), "served");
        return at;
    }

    private static void sleep(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** How many workers are named before the one that drains, where a read holds some sixty; who else is held up. */
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
    public void aListThatWasReadIsTakenInBeforeTheNextFirstByte(int others, boolean selectorHeld) throws Exception {
        try (LiveCore live = new LiveCore(100, true);
                StandInWorkers workers = new StandInWorkers(1);
                StandInWorkers discovery = new StandInWorkers(1)) {
            HttpWorker port = live.port("w1", workers.address(0));
            HeldReads reads = new HeldReads(HttpCodec.client(live.loop, 1_000_000));
            live.on(() -> {
                live.core.updateWorkers(ListKind.WHOLE, List.of(worker(WorkerState.READY)), Map.of(1L, port));
                new HttpWatch(
                                live.loop,
                                live.transport,
                                live.transport.chainForStateUpdates(reads),
                                discovery.address(0),
                                new CallPace(1, false, 1),
                                listing -> hear(live, listing),
                                () -> {})
                        .start();
                return null;
            });
            Accepted watch = discovery.next();
            watch.head();
            Accepted resting = rest(live, workers);
            CountDownLatch held = new CountDownLatch(1);
            live.loop.execute(() -> await(held));
            CompletableFuture<String> answer = new CompletableFuture<>();
            live.loop.execute(() -> live.take("late", answer));
            live.loop.execute(() -> sleep(BURST));
            if (selectorHeld) {
                reads.hold();
            }
            int before = reads.count();
            watch.answer(answer(others));
            LiveCore.await(() -> reads.count() > before);
            // The read goes on from the codec to the loop's queue.
            sleep(READING);
            held.countDown();
            sleep(BURST / 2);
            reads.release();
            assertEquals(resting.head(), "", "the resting connection ends, and brings no job");
            assertEquals(answer.get(5, TimeUnit.SECONDS), "refused");
            assertEquals(live.faults, List.of());
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
