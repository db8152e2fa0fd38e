package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import barrowflow.Dispatcher.Cold;
import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Settings;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.common.Complaints;
import gorserill.common.Loop;
import gorserill.common.Siblings;
import gorserill.routing.Ask;
import gorserill.routing.Core;
import gorserill.routing.Front;
import gorserill.routing.Work;
import gorserill.transport.Transport;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
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
        List<Throwable> faults = new ArrayList<>();
        Loop loop = new Loop(faults::add);
        Transport transport = new Transport(loop, 0, Siblings.none());
        transport.start();
        loop.start();
        try {
            JobClass safe = new JobClass(100_000, 2, 2_000_000, 1, 0, Effect.SAFE, Group.ALL, 0, -1);
            Settings settings = new Settings(1, 0, List.of(safe), List.of(), 1,
                new Cold(0.2, 10_000_000, 3, 1_000_000), 4, true, 2_000_000, true, true, 0);
            HttpWorker.Terms terms = new HttpWorker.Terms(loop, transport,
                transport.chain(HttpCodec.client(loop, Integer.MAX_VALUE)), List.of("estado"),
                new LoadNames("x0", null), 250_000, 15_000_000,
                new Complaints(loop, Logger.getLogger(ShortageTest.class.getName()), "answers"));
            HttpWorker port = new HttpWorker(terms, "w1", new InetSocketAddress("127.0.0.1", 9));
            CompletableFuture<String> answer = new CompletableFuture<>();
            CompletableFuture<Core> made = new CompletableFuture<>();
            loop.execute(() -> {
                Core core = new Core(loop, settings, 3, () -> { });
                core.listed(ListKind.CACHED, List.of(new Worker(1, 0, 0, 0, WorkerState.READY, 0)),
                    Map.of(1L, port));
                core.take(new Answer(answer), new Work("a-1", 0, null, null, null, new byte[0]),
                    new Ask(loop.now(), 1_500_000, false, 0, 0, 1, 0));
                made.complete(core);
            });
            Core core = made.get(5, TimeUnit.SECONDS);
            assertEquals(answer.get(5, TimeUnit.SECONDS), "refused");
            CompletableFuture<Boolean> avoided = new CompletableFuture<>();
            loop.execute(() -> avoided.complete(core.avoids(1)));
            assertFalse(avoided.get(5, TimeUnit.SECONDS), "the worker is barred for the node's own shortage");
            assertEquals(faults, List.of());
        } finally {
            loop.stop();
            transport.stop();
        }
    }

    private record Answer(CompletableFuture<String> given) implements Front {
        @Override
        public void served(byte[] result) {
            given.complete("served");
        }

        @Override
        public void refused(long waitMicros) {
            given.complete("refused");
        }

        @Override
        public void failed() {
            given.complete("failed");
        }
    }
}
