package gorserill.protocol.http;

import barrowflow.Dispatcher.Cold;
import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Settings;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.common.Loop;
import gorserill.common.MemoryBudget;
import gorserill.common.SiblingProcesses;
import gorserill.common.ThrottledWarnings;
import gorserill.protocol.ContractGate;
import gorserill.protocol.JobClassInfo;
import gorserill.protocol.Tenants;
import gorserill.protocol.faktory.FaktoryCodec;
import gorserill.protocol.faktory.FaktoryFrontend;
import gorserill.protocol.faktory.FaktorySettings;
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
import java.util.HashMap;
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

/** The real core, dispatcher, loop and transport, connected over TCP to fake workers ({@link FakeServers}). */
final class CoreFixture implements AutoCloseable {
    static final JobClass SAFE = new JobClass(100_000, 2, 2_000_000, 1, 0, Effect.SAFE, Group.ALL, 0, -1);

    /** The time after which a refused job may come again, where all are refused. */
    private static final long RETRY_AFTER_MICROS = 500_000;

    final List<Throwable> failures = new ArrayList<>();
    /** How far the test has advanced the node's clock, in nanoseconds. */
    final AtomicLong clockOffsetNanos = new AtomicLong();

    private volatile long stoppedAtNanos;
    final Loop loop = new Loop(
            failures::add, () -> (stoppedAtNanos > 0 ? stoppedAtNanos : System.nanoTime()) + clockOffsetNanos.get());
    final Transport transport;
    final Core core;
    final MemoryBudget memoryBudget = new MemoryBudget(1_000_000);
    HttpFrontend frontend;
    Transport.Listener listener;
    private final HttpWorker.Config workerConfig;
    /** The event queued right behind the next attempt's start, or null. */
    private Callable<?> afterNextStart;
    /** Runs right before each attempt at a worker of {@link #withHooks}. */
    Callable<?> beforeStart = () -> null;

    CoreFixture(int descriptors, boolean mayCancel) throws Exception {
        this(descriptors, mayCancel, SAFE);
    }

    CoreFixture(int descriptors, boolean mayCancel, JobClass jobs) throws Exception {
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
        workerConfig = new HttpWorker.Config(
                loop,
                transport,
                transport.chain(HttpCodec.client(loop, Integer.MAX_VALUE)),
                List.of("estado"),
                new LoadFieldNames("x0", null),
                2_000_000,
                15_000_000,
                new ThrottledWarnings(loop, Logger.getLogger(CoreFixture.class.getName()), "answers"));
        loop.start();
        core = runOnLoop(() -> new Core(loop, settings, 3, () -> {}));
    }

    HttpWorker httpWorker(String name, InetSocketAddress address) {
        return new HttpWorker(workerConfig, name, address);
    }

    /** Wraps a worker so that {@link #beforeStart} and {@link #runAfterNextStart} apply to it. */
    WorkerPort withHooks(HttpWorker worker) {
        return new HookedWorker(worker);
    }

    /** Lists {@code count} workers in service, number 1 and up, at fake servers. */
    void listWorkers(FakeServers servers, int count) throws Exception {
        runOnLoop(() -> {
            List<Worker> all = new ArrayList<>();
            Map<Long, HttpWorker> ports = new HashMap<>();
            for (int index = 0; index < count; index++) {
                all.add(new Worker(index + 1, 0, 0, 0, WorkerState.READY, 0));
                ports.put(index + 1L, httpWorker("w" + index, servers.address(index)));
            }
            core.updateWorkers(ListKind.WHOLE, all, ports);
            return null;
        });
    }

    /** Refuses each job as it is submitted, with a time to wait that no frontend gives by itself. */
    void refuseAllJobs() throws Exception {
        runOnLoop(() -> {
            core.setAdmissionControl((now, jobClass, tenant) -> RETRY_AFTER_MICROS);
            return null;
        });
    }

    /** Starts the HTTP frontend for clients on a reserved loopback port. */
    InetSocketAddress listen() throws Exception {
        return listen(HttpCodec.server(loop::now, HttpFrontend.MAX_BODY_BYTES, memoryBudget));
    }

    InetSocketAddress listen(Filter codec) throws Exception {
        frontend = runOnLoop(() -> new HttpFrontend(
                loop,
                core,
                Map.of("estado", new JobClassInfo(0, 2_000_000, false, false)),
                new Tenants(List.of()),
                new ContractGate(loop, 0, workerConfig.warnings())));
        InetSocketAddress address = ReservedPort.reserveUntilExit();
        listener = transport.listen(address, codec, frontend::accept);
        return address;
    }

    /** Starts the Faktory frontend, whose only queue is {@code default}, on a reserved loopback port. */
    InetSocketAddress listenFaktory() throws Exception {
        InetSocketAddress address = ReservedPort.reserveUntilExit();
        FaktorySettings settings = new FaktorySettings(
                address,
                "",
                Map.of("default", "estado"),
                Map.of("estado", "estado"),
                List.of("estado"),
                Map.of("estado", new JobClassInfo(0, 2_000_000, false, false)),
                null);
        FaktoryFrontend faktory = runOnLoop(() -> new FaktoryFrontend(
                loop,
                core,
                settings,
                new Tenants(List.of()),
                new ContractGate(loop, 0, workerConfig.warnings()),
                1,
                wid -> false));
        transport.listen(address, new FaktoryCodec(memoryBudget), faktory::accept);
        return address;
    }

    /** An HTTP request with this job id, as clients send it. */
    static byte[] request(String id) {
        return HttpMessageBuilder.ascii("POST /estado HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id
                + "\r\nX-Remaining-Ms: 1800\r\nContent-Length: 0\r\n\r\n");
    }

    /** Polls until a condition holds that no event reports. */
    static void await(BooleanSupplier condition) throws InterruptedException {
        for (long end = System.nanoTime() + 5_000_000_000L; !condition.getAsBoolean(); Thread.sleep(1)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("condition did not hold within 5 s");
            }
        }
    }

    /** Stops the node's clock; only {@link #advanceClock} moves it from now on. */
    void stopClock() {
        stoppedAtNanos = System.nanoTime();
    }

    /** Advances the node's clock between two events of the loop. */
    void advanceClock(long micros) throws Exception {
        runOnLoop(() -> clockOffsetNanos.addAndGet(micros * 1_000));
    }

    /**
     * Queues an event right behind the start of the next attempt at a worker of {@link #withHooks}. The report that the
     * attempt's connection is established is always processed after it, however long the event takes.
     */
    <T> CompletableFuture<T> runAfterNextStart(Callable<T> event) {
        CompletableFuture<T> future = new CompletableFuture<>();
        afterNextStart = () -> {
            run(event, future);
            return null;
        };
        return future;
    }

    /** Submits a job, on the loop's thread; returns its handle. */
    long submit(String id, CompletableFuture<String> answer) {
        return core.submit(
                new Answer(answer),
                new JobSpec(id, 0, null, null, null, new byte[0]),
                new RequestOptions(loop.now(), 1_800_000, false, 0, 0, 1, 0));
    }

    /** Runs an event on the loop and waits for its result. */
    <T> T runOnLoop(Callable<T> event) throws Exception {
        CompletableFuture<T> future = new CompletableFuture<>();
        loop.execute(() -> run(event, future));
        return future.get(10, TimeUnit.SECONDS);
    }

    private static <T> void run(Callable<T> event, CompletableFuture<T> future) {
        try {
            future.complete(event.call());
        } catch (Exception | AssertionError e) {
            future.completeExceptionally(e);
        }
    }

    @Override
    public void close() throws IOException {
        loop.stop();
        transport.stop();
    }

    private record Answer(CompletableFuture<String> future) implements ResponseHandler {
        @Override
        public void served(byte[] result) {
            future.complete("served");
        }

        @Override
        public void refused(long waitMicros) {
            future.complete("refused");
        }

        @Override
        public void failed() {
            future.complete("failed");
        }
    }

    private final class HookedWorker implements WorkerPort {
        private final HttpWorker worker;

        HookedWorker(HttpWorker worker) {
            this.worker = worker;
        }

        @Override
        public void start(Attempt attempt, JobSpec job, long expires) {
            try {
                beforeStart.call();
            } catch (Exception e) {
                failures.add(e);
            }
            if (afterNextStart != null) {
                Callable<?> event = afterNextStart;
                afterNextStart = null;
                loop.execute(() -> {
                    try {
                        event.call();
                    } catch (Exception e) {
                        failures.add(e);
                    }
                });
            }
            worker.start(attempt, job, expires);
        }

        @Override
        public boolean abort(Attempt attempt) {
            return worker.abort(attempt);
        }

        @Override
        public void outOfService() {
            worker.outOfService();
        }

        @Override
        public void probe(Consumer<Load> answer) {
            worker.probe(answer);
        }
    }
}
