package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.protocol.http.FakeServers.AcceptedConnection;
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
 * Events between the decision to send a job and its first byte. In most of these tests the loop's event right after
 * the decision waits until the worker has accepted the connection and then makes a conflicting change, so the node
 * learns of the established connection only after that change.
 */
public class WriteGateTest {
    private static Worker worker(int index, WorkerState state) {
        return new Worker(index + 1, 0, 0, 0, state, 0);
    }

    /** Lists two workers as ready; returns their ports. */
    private static List<HttpWorker> listTwoWorkers(CoreFixture fixture, FakeServers workers) throws Exception {
        List<HttpWorker> ports =
                List.of(fixture.httpWorker("w1", workers.address(0)), fixture.httpWorker("w2", workers.address(1)));
        fixture.runOnLoop(() -> {
            fixture.core.updateWorkers(
                    ListKind.WHOLE,
                    List.of(worker(0, WorkerState.READY), worker(1, WorkerState.READY)),
                    Map.of(1L, fixture.withHooks(ports.get(0)), 2L, fixture.withHooks(ports.get(1))));
            return null;
        });
        return ports;
    }

    @DataProvider
    public Object[][] removals() {
        return new Object[][] {{"drains"}, {"is gone"}, {"is left out of a whole list"}, {"moves"}};
    }

    /**
     * The connection is established after the report, and the job would be written after the grace period of a drain.
     */
    @Test(dataProvider = "removals")
    public void workerRemovedWhileConnectingGetsNoByte(String how) throws Exception {
        try (CoreFixture fixture = new CoreFixture(100, true);
                FakeServers workers = new FakeServers(3)) {
            List<HttpWorker> ports = listTwoWorkers(fixture, workers);
            CompletableFuture<String> answer = new CompletableFuture<>();
            CompletableFuture<AcceptedConnection> connected = fixture.runAfterNextStart(() -> {
                AcceptedConnection connection = workers.nextConnection();
                switch (how) {
                    case "moves" -> ports.get(connection.index()).moveTo(workers.address(2));
                    case "is left out of a whole list" ->
                        fixture.core.updateWorkers(
                                ListKind.WHOLE, List.of(worker(1 - connection.index(), WorkerState.READY)), Map.of());
                    default ->
                        fixture.core.updateWorkers(
                                ListKind.CHANGES,
                                List.of(worker(
                                        connection.index(),
                                        how.equals("drains") ? WorkerState.DRAINING : WorkerState.GONE)),
                                Map.of());
                }
                return connection;
            });
            fixture.runOnLoop(() -> fixture.submit("a-1", answer));
            AcceptedConnection first = connected.get(5, TimeUnit.SECONDS);
            assertEquals(first.readHead(), "");
            AcceptedConnection second = workers.nextConnection();
            assertEquals(second.index(), 1 - first.index());
            assertTrue(second.readHead().contains("X-Txn: a-1\r\n"));
            second.respondDone();
            assertEquals(answer.get(5, TimeUnit.SECONDS), "served");
            assertEquals(fixture.failures, List.of());
        }
    }

    /** A drain does not end running jobs. */
    @Test
    public void jobRunningAtADrainingWorkerCompletes() throws Exception {
        try (CoreFixture fixture = new CoreFixture(100, true);
                FakeServers workers = new FakeServers(2)) {
            listTwoWorkers(fixture, workers);
            CompletableFuture<String> answer = new CompletableFuture<>();
            fixture.runOnLoop(() -> fixture.submit("a-1", answer));
            AcceptedConnection connection = workers.nextConnection();
            assertTrue(connection.readHead().contains("X-Txn: a-1\r\n"));
            fixture.runOnLoop(() -> {
                fixture.core.updateWorkers(
                        ListKind.CHANGES, List.of(worker(connection.index(), WorkerState.DRAINING)), Map.of());
                return null;
            });
            connection.respondDone();
            assertEquals(answer.get(5, TimeUnit.SECONDS), "served");
        }
    }

    /** The connection on which the job ran becomes idle, but leads to the worker's old address. */
    @Test
    public void workerThatMovesDuringAJobGetsTheNextAtItsNewAddress() throws Exception {
        try (CoreFixture fixture = new CoreFixture(100, true);
                FakeServers workers = new FakeServers(2)) {
            HttpWorker worker = fixture.httpWorker("w1", workers.address(0));
            fixture.runOnLoop(() -> {
                fixture.core.updateWorkers(ListKind.WHOLE, List.of(worker(0, WorkerState.READY)), Map.of(1L, worker));
                return null;
            });
            CompletableFuture<String> answer = new CompletableFuture<>();
            fixture.runOnLoop(() -> fixture.submit("a-1", answer));
            AcceptedConnection connection = workers.nextConnection();
            assertTrue(connection.readHead().contains("X-Txn: a-1\r\n"));
            fixture.runOnLoop(() -> {
                worker.moveTo(workers.address(1));
                return null;
            });
            connection.respondDone();
            assertEquals(answer.get(5, TimeUnit.SECONDS), "served");
            CompletableFuture<String> next = new CompletableFuture<>();
            fixture.runOnLoop(() -> fixture.submit("a-2", next));
            AcceptedConnection moved = workers.nextConnection();
            assertEquals(moved.index(), 1);
            assertTrue(moved.readHead().contains("X-Txn: a-2\r\n"));
        }
    }

    @DataProvider
    public Object[][] settings() {
        return new Object[][] {{true}, {false}};
    }

    /** Even where attempts can't be cancelled, one that has not been written yet is dropped. */
    @Test(dataProvider = "settings")
    public void jobOfClientThatLeavesWhileConnectingIsNotSent(boolean mayCancel) throws Exception {
        try (CoreFixture fixture = new CoreFixture(100, mayCancel);
                FakeServers workers = new FakeServers(2)) {
            listTwoWorkers(fixture, workers);
            CompletableFuture<Long> handle = new CompletableFuture<>();
            CompletableFuture<AcceptedConnection> connected = fixture.runAfterNextStart(() -> {
                AcceptedConnection connection = workers.nextConnection();
                fixture.core.withdraw(handle.get());
                return connection;
            });
            fixture.runOnLoop(() -> handle.complete(fixture.submit("a-1", new CompletableFuture<>())));
            assertEquals(connected.get(5, TimeUnit.SECONDS).readHead(), "");
            assertNextJobIs(fixture, workers, "a-2");
        }
    }

    /** The job is held as no worker is in service, then withdrawn; the next list must not start it. */
    @Test(dataProvider = "settings")
    public void heldJobOfClientThatLeavesIsNotSent(boolean mayCancel) throws Exception {
        try (CoreFixture fixture = new CoreFixture(100, mayCancel);
                FakeServers workers = new FakeServers(2)) {
            fixture.runOnLoop(() -> {
                fixture.core.withdraw(fixture.submit("a-1", new CompletableFuture<>()));
                return null;
            });
            listTwoWorkers(fixture, workers);
            assertNextJobIs(fixture, workers, "a-2");
        }
    }

    /**
     * A retry is decided on while the worker group still deduplicates it, and its connection is established after the
     * end of that window, which counts from the first byte of the attempt that may have run.
     */
    @Test
    public void keyedRetryConnectedAfterTheWindowIsNotSent() throws Exception {
        JobClass keyed = new JobClass(2_000_000, 2, 2_000_000, 1, 1, Effect.KEYED, Group.ALL, 1_000_000, -1);
        try (CoreFixture fixture = new CoreFixture(100, true, keyed);
                FakeServers workers = new FakeServers(2)) {
            listTwoWorkers(fixture, workers);
            CompletableFuture<String> answer = new CompletableFuture<>();
            fixture.runOnLoop(() -> fixture.submit("a-1", answer));
            AcceptedConnection first = workers.nextConnection();
            assertTrue(first.readHead().contains("X-Txn: a-1\r\n"));
            CompletableFuture<AcceptedConnection> connected = fixture.runAfterNextStart(() -> {
                AcceptedConnection connection = workers.nextConnection();
                fixture.clockOffsetNanos.addAndGet(1_050_000_000L);
                return connection;
            });
            first.reset();
            assertEquals(connected.get(5, TimeUnit.SECONDS).readHead(), "");
            assertEquals(answer.get(5, TimeUnit.SECONDS), "refused");
            assertEquals(fixture.failures, List.of());
        }
    }

    /**
     * The request and the close are both queued while the loop is busy. With an idle connection to a worker, the job
     * would be sent in the very event that processes the request, before the one that reports the close.
     */
    @Test
    public void queuedRequestOfClientThatLeavesIsNotSent() throws Exception {
        try (CoreFixture fixture = new CoreFixture(100, true);
                FakeServers workers = new FakeServers(1)) {
            InetSocketAddress frontend = fixture.listen();
            fixture.runOnLoop(() -> {
                fixture.core.updateWorkers(
                        ListKind.WHOLE,
                        List.of(worker(0, WorkerState.READY)),
                        Map.of(1L, fixture.httpWorker("w1", workers.address(0))));
                return null;
            });
            CompletableFuture<String> answer = new CompletableFuture<>();
            fixture.runOnLoop(() -> fixture.submit("a-0", answer));
            AcceptedConnection connection = workers.nextConnection();
            assertTrue(connection.readHead().contains("X-Txn: a-0\r\n"));
            connection.respondDone();
            assertEquals(answer.get(5, TimeUnit.SECONDS), "served");
            int before = fixture.transport.connectionCount();
            fixture.runOnLoop(() -> {
                try (Socket client = new Socket(frontend.getAddress(), frontend.getPort())) {
                    CoreFixture.await(() -> fixture.transport.connectionCount() == before + 1);
                    client.getOutputStream().write(CoreFixture.request("a-1"));
                }
                CoreFixture.await(() -> fixture.transport.connectionCount() == before);
                return null;
            });
            CompletableFuture<String> next = new CompletableFuture<>();
            fixture.runOnLoop(() -> fixture.submit("a-2", next));
            String head = connection.readHead();
            assertTrue(head.contains("X-Txn: a-2\r\n"), head);
            connection.respondDone();
            assertEquals(next.get(5, TimeUnit.SECONDS), "served");
            assertEquals(fixture.failures, List.of());
        }
    }

    /** Checks that this job is the next that any worker gets, and that no other follows. */
    private static void assertNextJobIs(CoreFixture fixture, FakeServers workers, String id) throws Exception {
        CompletableFuture<String> answer = new CompletableFuture<>();
        fixture.runOnLoop(() -> fixture.submit(id, answer));
        List<AcceptedConnection> connections = new ArrayList<>(List.of(workers.nextConnection()));
        assertTrue(connections.get(0).readHead().contains("X-Txn: " + id + "\r\n"));
        connections.get(0).respondDone();
        assertEquals(answer.get(5, TimeUnit.SECONDS), "served");
        assertTrue(workers.hasNoNewConnection());
        assertEquals(fixture.failures, List.of());
    }
}
