package gorserill.protocol.http;

import barrowflow.Dispatcher.Cold;
import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.Settings;
import gorserill.common.Loop;
import gorserill.common.MemoryBudget;
import gorserill.common.SiblingProcesses;
import gorserill.common.ThrottledWarnings;
import gorserill.protocol.ContractGate;
import gorserill.protocol.JobClassInfo;
import gorserill.protocol.Tenants;
import gorserill.routing.Attempt;
import gorserill.routing.Core;
import gorserill.routing.JobSpec;
import gorserill.routing.Load;
import gorserill.routing.RequestOptions;
import gorserill.routing.ResponseHandler;
import gorserill.routing.WorkerPort;
import gorserill.transport.ReservedPort;
import gorserill.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Logger;
import org.glassfish.grizzly.filterchain.Filter;

/** The real core, module, loop and transport before real connections to stand-in workers. */
final class LiveCore implements AutoCloseable {
    static final JobClass SAFE = new JobClass(100_000, 2, 2_000_000, 1, 0, Effect.SAFE, Group.ALL, 0, -1);

    final List<Throwable> faults = new ArrayList<>();
    /** How far the test has put the node's clock forward, in nanoseconds. */
    final AtomicLong ahead = new AtomicLong();

    private volatile long stoppedAt;
    final Loop loop = new Loop(faults::add, () -> (stoppedAt > 0 ? stoppedAt : System.nanoTime()) + ahead.get());
    final Transport transport;
    final Core core;
    final MemoryBudget room = new MemoryBudget(1_000_000);
    HttpFrontend front;
    Transport.Listener listening;
    private final HttpWorker.Config terms;
    private Callable<?> crossing;
    /** Runs right before an attempt at a crossed port starts. */
    Callable<?> onStart = () -> null;

    LiveCore(int descriptors, boolean mayCancel) throws Exception {
        this(descriptors, mayCancel, SAFE);
    }

    LiveCore(int descriptors, boolean mayCancel, JobClass jobs) throws Exception {
        transport = new Transport(loop, descriptors, SiblingProcesses.none());
        transport.start();
        Settings settings = new Settings(
                1,
                0,
                List.of(jobs),
                List.of(),
                1,
                new Cold(0.2, 10_000_000, 3, 1_000_000),
                4,
                mayCancel,
                2_000_000,
                true,
                true,
                0);
        terms = new HttpWorker.Config(
                loop,
                transport,
                transport.chain(HttpCodec.client(loop, Integer.MAX_VALUE)),
                List.of("estado"),
                new LoadFieldNames("x0", null),
                2_000_000,
                15_000_000,
                new ThrottledWarnings(loop, Logger.getLogger(LiveCore.class.getName()), "answers"));
        loop.start();
        core = on(() -> new Core(loop, settings, 3, () -> {}));
    }

    HttpWorker port(String name, InetSocketAddress address) {
        return new HttpWorker(terms, name, address);
    }

    /** The same port, which lets what {@link #cross} was given happen. */
    WorkerPort crossed(HttpWorker port) {
        return new Crossed(port);
    }

    /** The front for clients, on an address of its own. */
    InetSocketAddress listen() throws Exception {
        return listen(HttpCodec.server(loop::now, HttpFrontend.MAX_BODY_BYTES, room));
    }

    InetSocketAddress listen(Filter codec) throws Exception {
        front = on(() -> new HttpFrontend(
                loop,
                core,
                Map.of("estado", new JobClassInfo(0, 2_000_000, false, false)),
                new Tenants(List.of()),
                new ContractGate(loop, 0, terms.warnings()),
                room));
        InetSocketAddress at = ReservedPort.reserveUntilExit();
        listening = transport.listen(at, codec, front::accept);
        return at;
    }

    /** A request as clients send it. */
    static byte[] job(String id) {
        return HttpMessageBuilder.ascii("POST /estado HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id
                + "\r\nX-Remaining-Ms: 1800\r\nContent-Length: 0\r\n\r\n");
    }

    /** Waits until something that no event tells of is so. */
    static void await(BooleanSupplier so) throws InterruptedException {
        for (long end = System.nanoTime() + 5_000_000_000L; !so.getAsBoolean(); Thread.sleep(1)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("it never came to be so");
            }
        }
    }

    /** From now on the node's clock stands still but for {@link #forward}. */
    void stopClock() {
        stoppedAt = System.nanoTime();
    }

    /** Puts the node's clock forward, between two of its events. */
    void forward(long micros) throws Exception {
        on(() -> ahead.addAndGet(micros * 1_000));
    }

    /**
     * The next attempt at a crossed port has this event right behind its start: word that its connection is
     * up comes after it, whenever that happens and however long the event takes.
     */
    <T> CompletableFuture<T> cross(Callable<T> event) {
        CompletableFuture<T> given = new CompletableFuture<>();
        crossing = () -> {
            run(event, given);
            return null;
        };
        return given;
    }

    /** Takes a job, on the loop's thread; gives its handle. */
    long take(String id, CompletableFuture<String> answer) {
        return core.submit(
                new Answer(answer),
                new JobSpec(id, 0, null, null, null, new byte[0]),
                new RequestOptions(loop.now(), 1_800_000, false, 0, 0, 1, 0));
    }

    /** Runs something as one event of the loop, and waits for what it gives. */
    <T> T on(Callable<T> event) throws Exception {
        CompletableFuture<T> given = new CompletableFuture<>();
        loop.execute(() -> run(event, given));
        return given.get(10, TimeUnit.SECONDS);
    }

    private static <T> void run(Callable<T> event, CompletableFuture<T> given) {
        try {
            given.complete(event.call());
        } catch (Exception | AssertionError e) {
            given.completeExceptionally(e);
        }
    }

    @Override
    public void close() throws IOException {
        loop.stop();
        transport.stop();
    }

    private record Answer(CompletableFuture<String> given) implements ResponseHandler {
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

    private final class Crossed implements WorkerPort {
        private final HttpWorker port;

        Crossed(HttpWorker port) {
            this.port = port;
        }

        @Override
        public void start(Attempt attempt, JobSpec work, long expires) {
            try {
                onStart.call();
            } catch (Exception e) {
                faults.add(e);
            }
            if (crossing != null) {
                Callable<?> event = crossing;
                crossing = null;
                loop.execute(() -> {
                    try {
                        event.call();
                    } catch (Exception e) {
                        faults.add(e);
                    }
                });
            }
            port.start(attempt, work, expires);
        }

        @Override
        public boolean abort(Attempt attempt) {
            return port.abort(attempt);
        }

        @Override
        public void outOfService() {
            port.outOfService();
        }

        @Override
        public void probe(Consumer<Load> answer) {
            port.probe(answer);
        }
    }
}
