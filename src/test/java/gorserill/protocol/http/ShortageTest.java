package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A node that has no file descriptor left for a connection to a worker. */
public class ShortageTest {
    /**
     * The node's own shortage of descriptors says nothing about the worker. If it counted as the worker's failure, each
     * further one in a row would double the time for which the worker is avoided, and after a shortage of a few seconds
     * all workers would stay avoided for seconds after descriptors are available again.
     */
    @Test
    public void workerIsNotAvoidedForTheNodesOwnShortage() throws Exception {
        try (CoreFixture fixture = new CoreFixture(0, true)) {
            HttpWorker worker = fixture.httpWorker("w1", new InetSocketAddress("127.0.0.1", 9));
            CompletableFuture<String> answer = new CompletableFuture<>();
            fixture.runOnLoop(() -> {
                fixture.core.updateWorkers(
                        ListKind.CACHED, List.of(new Worker(1, 0, 0, 0, WorkerState.READY, 0)), Map.of(1L, worker));
                return fixture.submit("a-1", answer);
            });
            assertEquals(answer.get(5, TimeUnit.SECONDS), "refused");
            assertFalse(
                    fixture.runOnLoop(() -> fixture.core.avoids(1)),
                    "the worker is avoided for the node's own shortage");
            assertEquals(fixture.failures, List.of());
        }
    }
}
