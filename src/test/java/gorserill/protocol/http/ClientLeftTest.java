package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.Group;
import barrowflow.Dispatcher.JobClass;
import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.common.ThrottledWarnings;
import gorserill.protocol.ContractGate;
import gorserill.protocol.JobClassInfo;
import gorserill.protocol.Tenants;
import gorserill.protocol.faktory.FaktoryCodec;
import gorserill.protocol.faktory.FaktoryFront;
import gorserill.protocol.faktory.FaktoryTerms;
import gorserill.protocol.http.StandInWorkers.Accepted;
import gorserill.routing.JobSpec;
import gorserill.routing.RequestOptions;
import gorserill.routing.ResponseHandler;
import gorserill.transport.Channel;
import gorserill.transport.ChannelListener;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * No attempt begins for a client that has closed its connection, wherever its job was just then. The close
 * lies unread in the system: the selector's thread is held, as it is where the whole process stood still and
 * the loop is the first to go on.
 */
public class ClientLeftTest {
    /** Late answers are worth as much, so what waits is not given up. */
    private static final JobClass PATIENT = new JobClass(100_000, 2, 2_000_000, 1, 1, Effect.SAFE, Group.ALL, 0, -1);
    /** Some periods of the module's, in milliseconds; what waits for one has been offered. */
    private static final int PERIODS = 400;
    /** One of them, microseconds. */
    private static final long PERIOD = 12_500;
    /** So long after a close no attempt may begin, microseconds. */
    private static final long TOO_LATE = 100_000;

    private LiveCore live;
    private StandInWorkers workers;
    private HeldReads reads;
    private InetSocketAddress at;
    private final List<Socket> open = new ArrayList<>();

    @BeforeMethod
    public void start() throws Exception {
        live = new LiveCore(100, true, PATIENT);
        workers = new StandInWorkers(2);
        reads = new HeldReads(HttpCodec.server(live.loop::now, HttpFrontend.MAX_BODY_BYTES, live.room));
        at = live.listen(reads);
    }

    @AfterMethod
    public void stop() throws Exception {
        reads.release();
        live.close();
        workers.close();
        for (Socket socket : open) {
            socket.close();
        }
        open.clear();
    }

    // ---- the stage ----

    private void list(int count) throws Exception {
        live.on(() -> {
            List<Worker> all = new ArrayList<>();
            Map<Long, HttpWorker> ports = new HashMap<>();
            for (int place = 0; place < count; place++) {
                all.add(new Worker(place + 1, 0, 0, 0, WorkerState.READY, 0));
                ports.put(place + 1L, live.port("w" + place, workers.address(place)));
            }
            live.core.updateWorkers(ListKind.WHOLE, all, ports);
            return null;
        });
    }

    /** A connection to each of the workers that are listed, which rests. */
    private Accepted[] rested(int count) throws Exception {
        list(count);
        CompletableFuture<String> answer = new CompletableFuture<>();
        long handle = live.on(() -> live.take("first", answer));
        Accepted[] all = new Accepted[count];
        Accepted first = workers.next();
        first.head();
        all[first.place()] = first;
        if (count > 1) {
            live.on(() -> {
                live.core.send(handle, 2 - first.place());
                return null;
            });
            Accepted second = workers.next();
            second.head();
            all[second.place()] = second;
        }
        for (Accepted each : all) {
            each.answer(Accepted.done("first", "ok"));
        }
        answer.get(5, TimeUnit.SECONDS);
        pass();
        live.on(() -> null);
        return all;
    }

    private Socket connect(InetSocketAddress to) throws IOException {
        Socket socket = new Socket(to.getAddress(), to.getPort());
        socket.setTcpNoDelay(true);
        open.add(socket);
        return socket;
    }

    private Socket client(String... jobs) throws Exception {
        Socket client = connect(at);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (String job : jobs) {
            all.write(LiveCore.job(job));
        }
        int before = reads.count();
        client.getOutputStream().write(all.toByteArray());
        LiveCore.await(() -> reads.count() > before);
        return client;
    }

    /** Something else was accepted and read: all that came before it was read, and is with the loop. */
    private void pass() throws Exception {
        int before = reads.count();
        connect(at).getOutputStream().write('P');
        LiveCore.await(() -> reads.count() > before);
    }

    /** The selector's thread stands still from now on, with a read of somebody else's. */
    private void holdSelector() throws Exception {
        reads.hold();
        connect(at).getOutputStream().write('P');
        reads.awaitHeld();
    }

    /** A client leaves, and the node stands still until an attempt for it would count as begun too late. */
    private void leave(Socket client) throws IOException {
        client.close();
        live.ahead.addAndGet(TOO_LATE * 1_000);
    }

    /** What the loop has to do is done. */
    private void letPeriodsPass() throws Exception {
        Thread.sleep(PERIODS);
        live.on(() -> null);
    }

    /** The selector's thread goes on; no byte has come on these, and the next job is the next to come. */
    private void assertNothingBegan(Accepted... rested) throws Exception {
        letPeriodsPass();
        reads.release();
        pass();
        letPeriodsPass();
        for (Accepted each : rested) {
            assertEquals(each.socket().getInputStream().available(), 0, "at worker " + each.place());
        }
        assertEquals(live.faults, List.of());
    }

    // ---- where its job may be ----

    @Test
    public void aRequestThatWaitsForTheLoopIsNotBegun() throws Exception {
        Accepted[] rested = rested(1);
        live.on(() -> {
            Socket client = client("a-1");
            pass();
            holdSelector();
            leave(client);
            return null;
        });
        assertNothingBegan(rested);
    }

    @Test
    public void aJobThatIsHeldWhileItsWorkersRestIsNotBegun() throws Exception {
        Accepted[] rested = rested(1);
        letPeriodsPass();
        live.stopClock();
        CompletableFuture<String> turnedAway = new CompletableFuture<>();
        live.on(() -> live.take("b-1", turnedAway));
        rested[0].head();
        returned(rested[0], "b-1");
        pass();
        Socket client = client("a-1");
        pass();
        live.on(() -> null);
        holdSelector();
        leave(client);
        // The worker's back-off is over, which was some of its short jobs long.
        for (int period = 0; period < 40; period++) {
            live.forward(PERIOD);
        }
        assertNothingBegan(rested);
    }

    @Test
    public void aFurtherAttemptIsNotBegun() throws Exception {
        Accepted[] rested = rested(2);
        Socket client = client("a-1");
        Accepted tried = awaitFirst(rested);
        tried.head();
        live.on(() -> {
            returned(tried, "a-1");
            pass();
            holdSelector();
            leave(client);
            return null;
        });
        assertNothingBegan(rested);
    }

    @Test
    public void anAttemptWhoseConnectionJustCameUpIsNotBegun() throws Exception {
        HttpWorker port = live.port("w1", workers.address(0));
        live.on(() -> {
            live.core.updateWorkers(
                    ListKind.WHOLE,
                    List.of(new Worker(1, 0, 0, 0, WorkerState.READY, 0)),
                    Map.of(1L, live.crossed(port)));
            return null;
        });
        CompletableFuture<Socket> client = new CompletableFuture<>();
        CompletableFuture<Accepted> crossed = live.cross(() -> {
            Accepted up = workers.next();
            pass();
            holdSelector();
            leave(client.get());
            return up;
        });
        client.complete(client("a-1"));
        assertNothingBegan(crossed.get(5, TimeUnit.SECONDS));
    }

    @Test
    public void theNextOfSeveralRequestsIsNotBegun() throws Exception {
        Accepted[] rested = rested(1);
        Socket client = client("a-1", "a-2", "a-3");
        assertTrue(rested[0].head().contains("X-Txn: a-1\r\n"));
        live.on(() -> {
            rested[0].answer(Accepted.done("a-1", "ok"));
            pass();
            holdSelector();
            leave(client);
            return null;
        });
        assertNothingBegan(rested);
    }

    @Test
    public void aSecondCopyIsNotBegun() throws Exception {
        Accepted[] rested = rested(2);
        CompletableFuture<Channel> accepted = new CompletableFuture<>();
        InetSocketAddress other = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        live.transport.listen(other, HttpCodec.server(live.loop::now, 1_000, live.room), () -> waits(accepted));
        Socket client = connect(other);
        Channel channel = accepted.get(5, TimeUnit.SECONDS);
        long handle = live.on(() -> live.core.submit(leaves(channel), work("a-1", 0), ask()));
        Accepted tried = awaitFirst(rested);
        tried.head();
        live.on(() -> {
            holdSelector();
            leave(client);
            return null;
        });
        // Past what counts as known, and with the close unread.
        letPeriodsPass();
        live.on(() -> {
            live.core.send(handle, 2 - tried.place());
            return null;
        });
        assertNothingBegan(rested);
    }

    /** Danger: reading paused after some reads that wait for the loop, and with it word of the close. */
    @Test
    public void manyRequestsInPiecesThatWaitForTheLoopAreNotBegun() throws Exception {
        Accepted[] rested = rested(1);
        live.on(() -> {
            int before = live.transport.connectionCount();
            Socket client = client("a-1");
            for (int i = 2; i <= 8; i++) {
                int seen = reads.count();
                client.getOutputStream().write(LiveCore.job("a-" + i));
                LiveCore.await(() -> reads.count() > seen);
            }
            leave(client);
            LiveCore.await(() -> live.transport.connectionCount() == before);
            return null;
        });
        assertNothingBegan(rested);
    }

    /** More than is read before the loop takes any of it: the close is known only later. */
    @Test
    public void muchThatWaitsForTheLoopIsNotBegun() throws Exception {
        Accepted[] rested = rested(1);
        String body = "x".repeat(4_000);
        live.on(() -> {
            int before = reads.count();
            Socket client = connect(at);
            for (int i = 1; i <= 15; i++) {
                client.getOutputStream()
                        .write(HttpMessageBuilder.ascii("POST /estado HTTP/1.1\r\nX-Txn: a-" + i
                                + "\r\nX-Remaining-Ms: 1800\r\nContent-Length: 4000\r\n\r\n" + body));
            }
            LiveCore.await(() -> reads.count() >= before + 5);
            leave(client);
            return null;
        });
        assertNothingBegan(rested);
    }

    /** The first byte is out before the leave; the rest never is, so the job never counts as sent. */
    @Test
    public void aRequestThatIsWrittenInPartIsNotFinished() throws Exception {
        list(1);
        int size = 16 << 20;
        long handle = live.on(() -> live.core.submit(leaves(null), work("a-1", size), ask()));
        Accepted up = workers.next();
        assertEquals(up.socket().getInputStream().read(), 'P');
        live.on(() -> live.core.withdraw(handle));
        int got = 1;
        try {
            byte[] piece = new byte[1 << 16];
            for (int n = up.socket().getInputStream().read(piece);
                    n >= 0;
                    n = up.socket().getInputStream().read(piece)) {
                got += n;
            }
        } catch (IOException e) {
            // A reset is an end, too.
        }
        assertTrue(got < size, got + " bytes came");
        assertTrue(workers.quiet());
        assertEquals(live.faults, List.of());
    }

    /** A Faktory client's job goes through the same gate. */
    @Test
    public void aPushedJobThatWaitsForTheLoopIsNotBegun() throws Exception {
        Accepted[] rested = rested(1);
        InetSocketAddress faktory = listenFaktory();
        Socket client = connect(faktory);
        client.getOutputStream().write(HttpMessageBuilder.ascii("HELLO {\"v\":2}\r\n"));
        awaitText(client, "+OK\r\n");
        live.on(() -> {
            int before = live.transport.connectionCount();
            client.getOutputStream()
                    .write(HttpMessageBuilder.ascii("PUSH {\"jid\":\"a-1-of-faktory\","
                            + "\"jobtype\":\"estado\",\"queue\":\"default\",\"args\":[]}\r\n"));
            leave(client);
            LiveCore.await(() -> live.transport.connectionCount() == before - 1);
            return null;
        });
        assertNothingBegan(rested);
    }

    // ---- tools ----

    private static void returned(Accepted at, String id) throws IOException {
        String line = "{\"id\":\"" + id + "\",\"state\":\"returned\"}\n";
        at.answer("HTTP/1.1 200 OK\r\nContent-Length: " + line.length() + "\r\n\r\n" + line);
    }

    /** Whichever of them something comes to first. */
    private static Accepted awaitFirst(Accepted[] all) throws Exception {
        CompletableFuture<Accepted> first = new CompletableFuture<>();
        LiveCore.await(() -> {
            for (Accepted each : all) {
                try {
                    if (each.socket().getInputStream().available() > 0) {
                        first.complete(each);
                    }
                } catch (IOException e) {
                    first.completeExceptionally(e);
                }
            }
            return first.isDone();
        });
        return first.get();
    }

    private static void awaitText(Socket from, String end) throws IOException {
        StringBuilder got = new StringBuilder();
        while (!got.toString().endsWith(end)) {
            got.append((char) from.getInputStream().read());
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private InetSocketAddress listenFaktory() throws Exception {
        InetSocketAddress to = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        FaktoryTerms terms = new FaktoryTerms(
                to,
                "",
                Map.of("default", "estado"),
                Map.of("estado", "estado"),
                List.of("estado"),
                Map.of("estado", new JobClassInfo(0, 2_000_000, false, false)),
                null);
        FaktoryFront front = live.on(() -> new FaktoryFront(
                live.loop,
                live.core,
                terms,
                new Tenants(List.of()),
                new ContractGate(
                        live.loop,
                        0,
                        new ThrottledWarnings(live.loop, Logger.getLogger(ClientLeftTest.class.getName()), "answers")),
                1,
                live.room,
                wid -> false));
        live.transport.listen(to, new FaktoryCodec(live.room), front::accept);
        return to;
    }

    private static JobSpec work(String id, int size) {
        return new JobSpec(id, 0, null, null, null, new byte[size]);
    }

    private RequestOptions ask() {
        return new RequestOptions(live.loop.now(), 1_800_000, false, 0, 0, 1, 0);
    }

    private static ChannelListener waits(CompletableFuture<Channel> accepted) {
        return new ChannelListener() {
            @Override
            public void opened(Channel channel) {
                accepted.complete(channel);
            }

            @Override
            public void received(Object messages) {
                // Its job was taken for it.
            }

            @Override
            public void closed() {
                // The core is asked no more; the gate has to know by itself.
            }
        };
    }

    /** A front whose client's connection is that one; null for one that stays. */
    private static ResponseHandler leaves(Channel channel) {
        return new ResponseHandler() {
            @Override
            public void served(byte[] result) {
                // Nobody waits for it.
            }

            @Override
            public void refused(long waitMicros) {
                // Nobody waits for it.
            }

            @Override
            public void failed() {
                // Nobody waits for it.
            }

            @Override
            public boolean clientLeft() {
                return channel != null && channel.isClosed();
            }
        };
    }
}
