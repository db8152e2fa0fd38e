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

/** A node that has no descriptor left for a connection to a worker. */
public class ShortageTest {
    /**
     * Danger: the node's own want of descriptors says nothing of the worker. Held against it, each failure
     * in a row doubles the worker's bar, and after a shortage of a few seconds every worker stays barred for
     * seconds after room came back.
     */
    @Test
    public void aWorkerIsNotBlamedForTheNodesOwnShortage() throws Exception {
        try (LiveCore live = new LiveCore(0, true)) {
            HttpWorker port = live.port("w1", new InetSocketAddress("127.0.0.1", 9));
            CompletableFuture<String> answer = new CompletableFuture<>();
            live.on(() -> {
                live.core.updateWorkers(
                        ListKind.CACHED, List.of(new Worker(1, 0, 0, 0, WorkerState.READY, 0)), Map.of(1L, port));
                return live.take("a-1", answer);
            });
            assertEquals(answer.get(5, TimeUnit.SECONDS), "refused");
            assertFalse(live.on(() -> live.core.avoids(1)), "the worker is barred for the node's own shortage");
            assertEquals(live.faults, List.of());
        }
    }
}
