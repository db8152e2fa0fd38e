package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.protocol.http.StandInWorkers.Accepted;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * What happens between the decision to send a job and its first byte. In each of these the event right behind
 * the decision waits until the connection is up at the worker, and then brings what crosses it: word of the
 * open connection can only follow.
 */
public class WriteGateTest {
    private static Worker worker(int place, WorkerState state) {
        return new Worker(place + 1, 0, 0, 0, state, 0);
    }

    /** Lists two workers as ready; gives their ports. */
    private static List<HttpWorker> two(LiveCore live, StandInWorkers workers) throws Exception {
        List<HttpWorker> ports = List.of(live.port("w1", workers.address(0)), live.port("w2", workers.address(1)));
        live.on(() -> {
            live.core.updateWorkers(
                    ListKind.WHOLE,
                    List.of(worker(0, WorkerState.READY), worker(1, WorkerState.READY)),
                    Map.of(1L, live.crossed(ports.get(0)), 2L, live.crossed(ports.get(1))));
            return null;
        });
        return ports;
    }

    @DataProvider
    public Object[][] leaves() {
        return new Object[][] {{"drains"}, {"is gone"}, {"is left out of a whole list"}, {"moves"}};
    }

    /** Danger: the connection comes up after the word, and the job would be the first after the grace. */
    @Test(dataProvider = "leaves")
    public void aWorkerThatLeavesWhileItsConnectionComesUpGetsNoByte(String how) throws Exception {
        try (LiveCore live = new LiveCore(100, true);
                StandInWorkers workers = new StandInWorkers(3)) {
            List<HttpWorker> ports = two(live, workers);
            CompletableFuture<String> answer = new CompletableFuture<>();
            CompletableFuture<Accepted> crossed = live.cross(() -> {
                Accepted up = workers.next();
                switch (how) {
                    case "moves" -> ports.get(up.place()).moveTo(workers.address(2));
                    case "is left out of a whole list" ->
                        live.core.updateWorkers(
                                ListKind.WHOLE, List.of(worker(1 - up.place(), WorkerState.READY)), Map.of());
                    default ->
                        live.core.updateWorkers(
                                ListKind.CHANGES,
                                List.of(worker(
                                        up.place(), how.equals("drains") ? WorkerState.DRAINING : WorkerState.GONE)),
                                Map.of());
                }
                return up;
            });
            live.on(() -> live.take("a-1", answer));
            Accepted first = crossed.get(5, TimeUnit.SECONDS);
            assertEquals(first.head(), "");
            Accepted second = workers.next();
            assertEquals(second.place(), 1 - first.place());
            assertTrue(second.head().contains("X-Txn: a-1\r\n"));
            second.serve();
            assertEquals(answer.get(5, TimeUnit.SECONDS), "served");
            assertEquals(live.faults, List.of());
        }
    }

    /** A drain ends nothing that runs. */
    @Test
    public void aJobThatRunsAtAWorkerThatDrainsIsLeftToEnd() throws Exception {
        try (LiveCore live = new LiveCore(100, true);
                StandInWorkers workers = new StandInWorkers(2)) {
            two(live, workers);
            CompletableFuture<String> answer = new CompletableFuture<>();
            live.on(() -> live.take("a-1", answer));
            Accepted at = workers.next();
            assertTrue(at.head().contains("X-Txn: a-1\r\n"));
            live.on(() -> {
                live.core.updateWorkers(ListKind.CHANGES, List.of(worker(at.place(), WorkerState.DRAINING)), Map.of());
                return null;
            });
            at.serve();
            assertEquals(answer.get(5, TimeUnit.SECONDS), "served");
        }
    }

    /** Danger: the connection on which it ran rests afterwards, and leads to where the worker was. */
    @Test
    public void aWorkerThatMovesWhileAJobRunsGetsTheNextAtItsNewAddress() throws Exception {
        try (LiveCore live = new LiveCore(100, true);
                StandInWorkers workers = new StandInWorkers(2)) {
            HttpWorker port = live.port("w1", workers.address(0));
            live.on(() -> {
                live.core.updateWorkers(ListKind.WHOLE, List.of(worker(0, WorkerState.READY)), Map.of(1L, port));
                return null;
            });
            CompletableFuture<String> answer = new CompletableFuture<>();
            live.on(() -> live.take("a-1", answer));
            Accepted at = workers.next();
            assertTrue(at.head().contains("X-Txn: a-1\r\n"));
            live.on(() -> {
                port.moveTo(workers.address(1));
                return null;
            });
            at.serve();
            assertEquals(answer.get(5, TimeUnit.SECONDS), "served");
            CompletableFuture<String> next = new CompletableFuture<>();
            live.on(() -> live.take("a-2", next));
            Accepted moved = workers.next();
            assertEquals(moved.place(), 1);
            assertTrue(moved.head().contains("X-Txn: a-2\r\n"));
        }
    }

    @DataProvider
    public Object[][] settings() {
        return new Object[][] {{true}, {false}};
    }

    /** Danger: where attempts may not be called off, one that is not written yet may still be dropped. */
    @Test(dataProvider = "settings")
    public void aClientThatLeavesWhileTheConnectionComesUpHasItsJobSentToNobody(boolean mayCancel) throws Exception {
        try (LiveCore live = new LiveCore(100, mayCancel);
                StandInWorkers workers = new StandInWorkers(2)) {
            two(live, workers);
            CompletableFuture<Long> handle = new CompletableFuture<>();
            CompletableFuture<Accepted> crossed = live.cross(() -> {
                Accepted up = workers.next();
                live.core.withdraw(handle.get());
                return up;
            });
            live.on(() -> handle.complete(live.take("a-1", new CompletableFuture<>())));
            assertEquals(crossed.get(5, TimeUnit.SECONDS).head(), "");
            assertNextIs(live, workers, "a-2");
        }
    }

    /** Held with no worker in service, then left: the next list must not wake it. */
    @Test(dataProvider = "settings")
    public void aClientThatLeavesWhileItsJobIsHeldHasItSentToNobody(boolean mayCancel) throws Exception {
        try (LiveCore live = new LiveCore(100, mayCancel);
                StandInWorkers workers = new StandInWorkers(2)) {
            live.on(() -> {
                live.core.withdraw(live.take("a-1", new CompletableFuture<>()));
                return null;
            });
            two(live, workers);
            assertNextIs(live, workers, "a-2");
        }
    }

    /**
     * Danger: a repeat is decided on while its group still drops it, and its connection comes up later; the
     * window counts from the first byte of the attempt that may have run.
     */
    @Test
    public void aKeyedRepeatWhoseConnectionComesUpAfterTheWindowIsNotSent() throws Exception {
        JobClass keyed = new JobClass(2_000_000, 2, 2_000_000, 1, 1, Effect.KEYED, Group.ALL, 1_000_000, -1);
        try (LiveCore live = new LiveCore(100, true, keyed);
                StandInWorkers workers = new StandInWorkers(2)) {
            two(live, workers);
            CompletableFuture<String> answer = new CompletableFuture<>();
            live.on(() -> live.take("a-1", answer));
            Accepted first = workers.next();
            assertTrue(first.head().contains("X-Txn: a-1\r\n"));
            CompletableFuture<Accepted> crossed = live.cross(() -> {
                Accepted up = workers.next();
                live.ahead.addAndGet(1_050_000_000L);
                return up;
            });
            first.reset();
            assertEquals(crossed.get(5, TimeUnit.SECONDS).head(), "");
            assertEquals(answer.get(5, TimeUnit.SECONDS), "refused");
            assertEquals(live.faults, List.of());
        }
    }

    /**
     * Its request and its leave are both behind a busy moment of the node's. Danger: a connection to a worker
     * that rests takes the job in the very event that reads it, before the one that tells of the leave.
     */
    @Test
    public void aClientThatLeavesWhileItsRequestIsQueuedHasItSentToNobody() throws Exception {
        try (LiveCore live = new LiveCore(100, true);
                StandInWorkers workers = new StandInWorkers(1)) {
            InetSocketAddress front = live.listen();
            live.on(() -> {
                live.core.updateWorkers(
                        ListKind.WHOLE,
                        List.of(worker(0, WorkerState.READY)),
                        Map.of(1L, live.port("w1", workers.address(0))));
                return null;
            });
            CompletableFuture<String> answer = new CompletableFuture<>();
            live.on(() -> live.take("a-0", answer));
            Accepted at = workers.next();
            assertTrue(at.head().contains("X-Txn: a-0\r\n"));
            at.serve();
            assertEquals(answer.get(5, TimeUnit.SECONDS), "served");
            int before = live.transport.connectionCount();
            live.on(() -> {
                try (Socket client = new Socket(front.getAddress(), front.getPort())) {
                    LiveCore.await(() -> live.transport.connectionCount() == before + 1);
                    client.getOutputStream().write(LiveCore.job("a-1"));
                }
                LiveCore.await(() -> live.transport.connectionCount() == before);
                return null;
            });
            CompletableFuture<String> next = new CompletableFuture<>();
            live.on(() -> live.take("a-2", next));
            String head = at.head();
            assertTrue(head.contains("X-Txn: a-2\r\n"), head);
            at.serve();
            assertEquals(next.get(5, TimeUnit.SECONDS), "served");
            assertEquals(live.faults, List.of());
        }
    }

    /** The next job is the next thing that any worker hears of, and the last. */
    private static void assertNextIs(LiveCore live, StandInWorkers workers, String id) throws Exception {
        CompletableFuture<String> answer = new CompletableFuture<>();
        live.on(() -> live.take(id, answer));
        List<Accepted> ups = new ArrayList<>(List.of(workers.next()));
        assertTrue(ups.get(0).head().contains("X-Txn: " + id + "\r\n"));
        ups.get(0).serve();
        assertEquals(answer.get(5, TimeUnit.SECONDS), "served");
        assertTrue(workers.quiet());
        assertEquals(live.faults, List.of());
    }
}
