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
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * No attempt is started for a client that has closed its connection, in whatever state its job is. The close is still
 * unread in the kernel, since the selector's thread is blocked. This happens when the whole process was paused and the
 * loop's thread is the first to continue.
 */
public class ClientLeftTest {
    /** A late answer keeps its full value, so waiting jobs are not given up. */
    private static final JobClass JOB_CLASS = new JobClass(100_000, 2, 2_000_000, 1, 1, Effect.SAFE, Group.ALL, 0, -1);
    /** Several periods of the dispatcher, in milliseconds; jobs that wait for a period have been offered by then. */
    private static final int SEVERAL_PERIODS_MS = 400;
    /** One period of the dispatcher, in microseconds. */
    private static final long PERIOD_MICROS = 12_500;
    /** Time after a close, in microseconds, from which on no attempt may start. */
    private static final long MAX_START_DELAY_MICROS = 100_000;

    private CoreFixture fixture;
    private FakeServers workers;
    private BlockableReadFilter reads;
    private InetSocketAddress address;
    private final List<Socket> open = new ArrayList<>();

    @BeforeMethod
    public void start() throws Exception {
        fixture = new CoreFixture(100, true, JOB_CLASS);
        workers = new FakeServers(2);
        reads = new BlockableReadFilter(
                HttpCodec.server(fixture.loop::now, HttpFrontend.MAX_BODY_BYTES, fixture.memoryBudget));
        address = fixture.listen(reads);
    }

    @AfterMethod
    public void stop() throws Exception {
        reads.release();
        fixture.close();
        workers.close();
        for (Socket socket : open) {
            socket.close();
        }
        open.clear();
    }

    // ---- set-connection ----

    /** Lists {@code count} workers and opens an idle connection to connection. */
    private AcceptedConnection[] openIdle(int count) throws Exception {
        fixture.listWorkers(workers, count);
        CompletableFuture<String> answer = new CompletableFuture<>();
        long handle = fixture.runOnLoop(() -> fixture.submit("first", answer));
        AcceptedConnection[] all = new AcceptedConnection[count];
        AcceptedConnection first = workers.nextConnection();
        first.readHead();
        all[first.index()] = first;
        if (count > 1) {
            fixture.runOnLoop(() -> {
                fixture.core.send(handle, 2 - first.index());
                return null;
            });
            AcceptedConnection second = workers.nextConnection();
            second.readHead();
            all[second.index()] = second;
        }
        for (AcceptedConnection connection : all) {
            connection.respond(AcceptedConnection.doneResponse("first", "ok"));
        }
        answer.get(5, TimeUnit.SECONDS);
        awaitReadPass();
        fixture.runOnLoop(() -> null);
        return all;
    }

    private Socket connect(InetSocketAddress to) throws IOException {
        Socket socket = new Socket(to.getAddress(), to.getPort());
        socket.setTcpNoDelay(true);
        open.add(socket);
        return socket;
    }

    private Socket client(String... jobs) throws Exception {
        Socket client = connect(address);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (String job : jobs) {
            all.write(CoreFixture.request(job));
        }
        int before = reads.readCount();
        client.getOutputStream().write(all.toByteArray());
        CoreFixture.await(() -> reads.readCount() > before);
        return client;
    }

    /** Has another connection accepted and read: all that arrived before has then been read and queued for the loop. */
    private void awaitReadPass() throws Exception {
        int before = reads.readCount();
        connect(address).getOutputStream().write('P');
        CoreFixture.await(() -> reads.readCount() > before);
    }

    /** Blocks the selector's thread in a read from another connection. */
    private void blockSelector() throws Exception {
        reads.blockNextRead();
        connect(address).getOutputStream().write('P');
        reads.awaitBlocked();
    }

    /** Closes a client's connection and advances the clock until an attempt for it would start too late. */
    private void disconnect(Socket client) throws IOException {
        client.close();
        fixture.clockOffsetNanos.addAndGet(MAX_START_DELAY_MICROS * 1_000);
    }

    /** Waits for several periods and until the loop has processed its queue. */
    private void waitForPeriods() throws Exception {
        Thread.sleep(SEVERAL_PERIODS_MS);
        fixture.runOnLoop(() -> null);
    }

    /** Releases the selector's thread and checks that no byte was written on the idle connections. */
    private void assertNothingStarted(AcceptedConnection... idle) throws Exception {
        waitForPeriods();
        reads.release();
        awaitReadPass();
        waitForPeriods();
        for (AcceptedConnection connection : idle) {
            assertEquals(connection.socket().getInputStream().available(), 0, "at worker " + connection.index());
        }
        assertEquals(fixture.failures, List.of());
    }

    // ---- states of the job at the close ----

    @Test
    public void requestQueuedForLoopIsNotStarted() throws Exception {
        AcceptedConnection[] idle = openIdle(1);
        fixture.runOnLoop(() -> {
            Socket client = client("a-1");
            awaitReadPass();
            blockSelector();
            disconnect(client);
            return null;
        });
        assertNothingStarted(idle);
    }

    @Test
    public void jobHeldDuringWorkerBackOffIsNotStarted() throws Exception {
        AcceptedConnection[] idle = openIdle(1);
        waitForPeriods();
        fixture.stopClock();
        CompletableFuture<String> turnedAway = new CompletableFuture<>();
        fixture.runOnLoop(() -> fixture.submit("b-1", turnedAway));
        idle[0].readHead();
        respondReturned(idle[0], "b-1");
        awaitReadPass();
        Socket client = client("a-1");
        awaitReadPass();
        fixture.runOnLoop(() -> null);
        blockSelector();
        disconnect(client);
        // Past the worker's back-off, which lasts for several of its short jobs.
        for (int period = 0; period < 40; period++) {
            fixture.advanceClock(PERIOD_MICROS);
        }
        assertNothingStarted(idle);
    }

    @Test
    public void furtherAttemptIsNotStarted() throws Exception {
        AcceptedConnection[] idle = openIdle(2);
        Socket client = client("a-1");
        AcceptedConnection attempted = awaitFirst(idle);
        attempted.readHead();
        fixture.runOnLoop(() -> {
            respondReturned(attempted, "a-1");
            awaitReadPass();
            blockSelector();
            disconnect(client);
            return null;
        });
        assertNothingStarted(idle);
    }

    @Test
    public void attemptOnNewConnectionIsNotStarted() throws Exception {
        HttpWorker worker = fixture.httpWorker("w1", workers.address(0));
        fixture.runOnLoop(() -> {
            fixture.core.updateWorkers(
                    ListKind.WHOLE,
                    List.of(new Worker(1, 0, 0, 0, WorkerState.READY, 0)),
                    Map.of(1L, fixture.withHooks(worker)));
            return null;
        });
        CompletableFuture<Socket> client = new CompletableFuture<>();
        CompletableFuture<AcceptedConnection> connected = fixture.runAfterNextStart(() -> {
            AcceptedConnection connection = workers.nextConnection();
            awaitReadPass();
            blockSelector();
            disconnect(client.get());
            return connection;
        });
        client.complete(client("a-1"));
        assertNothingStarted(connected.get(5, TimeUnit.SECONDS));
    }

    @Test
    public void nextPipelinedRequestIsNotStarted() throws Exception {
        AcceptedConnection[] idle = openIdle(1);
        Socket client = client("a-1", "a-2", "a-3");
        assertTrue(idle[0].readHead().contains("X-Txn: a-1\r\n"));
        fixture.runOnLoop(() -> {
            idle[0].respond(AcceptedConnection.doneResponse("a-1", "ok"));
            awaitReadPass();
            blockSelector();
            disconnect(client);
            return null;
        });
        assertNothingStarted(idle);
    }

    @Test
    public void secondCopyIsNotStarted() throws Exception {
        AcceptedConnection[] idle = openIdle(2);
        CompletableFuture<Channel> accepted = new CompletableFuture<>();
        InetSocketAddress other = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        fixture.transport.listen(
                other,
                HttpCodec.server(fixture.loop::now, 1_000, fixture.memoryBudget),
                () -> completeWhenOpened(accepted));
        Socket client = connect(other);
        Channel channel = accepted.get(5, TimeUnit.SECONDS);
        long handle = fixture.runOnLoop(
                () -> fixture.core.submit(responseHandlerFor(channel), jobSpec("a-1", 0), requestOptions()));
        AcceptedConnection attempted = awaitFirst(idle);
        attempted.readHead();
        fixture.runOnLoop(() -> {
            blockSelector();
            disconnect(client);
            return null;
        });
        // Until the last pass over the connections is too old to rely on, with the close still unread.
        waitForPeriods();
        fixture.runOnLoop(() -> {
            fixture.core.send(handle, 2 - attempted.index());
            return null;
        });
        assertNothingStarted(idle);
    }

    /** Reading was paused once several reads were queued for the loop, so the close was not seen either. */
    @Test
    public void requestsOfManyQueuedReadsAreNotStarted() throws Exception {
        AcceptedConnection[] idle = openIdle(1);
        fixture.runOnLoop(() -> {
            int before = fixture.transport.connectionCount();
            Socket client = client("a-1");
            for (int i = 2; i <= 8; i++) {
                int readsBefore = reads.readCount();
                client.getOutputStream().write(CoreFixture.request("a-" + i));
                CoreFixture.await(() -> reads.readCount() > readsBefore);
            }
            disconnect(client);
            CoreFixture.await(() -> fixture.transport.connectionCount() == before);
            return null;
        });
        assertNothingStarted(idle);
    }

    /** More input than is read ahead of the loop: reading is paused, and the close is seen only later. */
    @Test
    public void requestsOfLargeQueuedInputAreNotStarted() throws Exception {
        AcceptedConnection[] idle = openIdle(1);
        String body = "x".repeat(4_000);
        fixture.runOnLoop(() -> {
            int before = reads.readCount();
            Socket client = connect(address);
            for (int i = 1; i <= 15; i++) {
                client.getOutputStream()
                        .write(HttpMessageBuilder.ascii("POST /estado HTTP/1.1\r\nX-Txn: a-" + i
                                + "\r\nX-Remaining-Ms: 1800\r\nContent-Length: 4000\r\n\r\n" + body));
            }
            CoreFixture.await(() -> reads.readCount() >= before + 5);
            disconnect(client);
            return null;
        });
        assertNothingStarted(idle);
    }

    /** The first byte is written before the job is withdrawn; the rest never is, so the job does not count as sent. */
    @Test
    public void partlyWrittenRequestIsNotCompleted() throws Exception {
        fixture.listWorkers(workers, 1);
        int size = 16 << 20;
        long handle = fixture.runOnLoop(
                () -> fixture.core.submit(responseHandlerFor(null), jobSpec("a-1", size), requestOptions()));
        AcceptedConnection connection = workers.nextConnection();
        assertEquals(connection.socket().getInputStream().read(), 'P');
        fixture.runOnLoop(() -> fixture.core.withdraw(handle));
        int receivedBytes = 1;
        try {
            byte[] piece = new byte[1 << 16];
            for (int n = connection.socket().getInputStream().read(piece);
                    n >= 0;
                    n = connection.socket().getInputStream().read(piece)) {
                receivedBytes += n;
            }
        } catch (IOException e) {
            // A reset also ends the connection.
        }
        assertTrue(receivedBytes < size, receivedBytes + " bytes received");
        assertTrue(workers.hasNoNewConnection());
        assertEquals(fixture.failures, List.of());
    }

    /** A Faktory client's job passes the same check. */
    @Test
    public void pushedFaktoryJobQueuedForLoopIsNotStarted() throws Exception {
        AcceptedConnection[] idle = openIdle(1);
        InetSocketAddress faktory = fixture.listenFaktory();
        Socket client = connect(faktory);
        client.getOutputStream().write(HttpMessageBuilder.ascii("HELLO {\"v\":2}\r\n"));
        awaitText(client, "+OK\r\n");
        fixture.runOnLoop(() -> {
            int before = fixture.transport.connectionCount();
            client.getOutputStream()
                    .write(HttpMessageBuilder.ascii("PUSH {\"jid\":\"a-1-of-faktory\","
                            + "\"jobtype\":\"estado\",\"queue\":\"default\",\"args\":[]}\r\n"));
            disconnect(client);
            CoreFixture.await(() -> fixture.transport.connectionCount() == before - 1);
            return null;
        });
        assertNothingStarted(idle);
    }

    // ---- helpers ----

    private static void respondReturned(AcceptedConnection connection, String id) throws IOException {
        String line = "{\"id\":\"" + id + "\",\"state\":\"returned\"}\n";
        connection.respond("HTTP/1.1 200 OK\r\nContent-Length: " + line.length() + "\r\n\r\n" + line);
    }

    /** Waits for the first of the connections on which input arrives. */
    private static AcceptedConnection awaitFirst(AcceptedConnection[] all) throws Exception {
        CompletableFuture<AcceptedConnection> first = new CompletableFuture<>();
        CoreFixture.await(() -> {
            for (AcceptedConnection connection : all) {
                try {
                    if (connection.socket().getInputStream().available() > 0) {
                        first.complete(connection);
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
        StringBuilder received = new StringBuilder();
        while (!received.toString().endsWith(end)) {
            received.append((char) from.getInputStream().read());
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private static JobSpec jobSpec(String id, int size) {
        return new JobSpec(id, 0, null, null, null, new byte[size]);
    }

    private RequestOptions requestOptions() {
        return new RequestOptions(fixture.loop.now(), 1_800_000, false, 0, 0, 1, 0);
    }

    private static ChannelListener completeWhenOpened(CompletableFuture<Channel> accepted) {
        return new ChannelListener() {
            @Override
            public void opened(Channel channel) {
                accepted.complete(channel);
            }

            @Override
            public void received(Object messages) {
                // The test submits the job itself.
            }

            @Override
            public void closed() {
                // The core is not notified of the close; the check before the write must detect it.
            }
        };
    }

    /** A response handler whose client has left once this connection is closed; with null, the client never leaves. */
    private static ResponseHandler responseHandlerFor(Channel channel) {
        return new ResponseHandler() {
            @Override
            public void served(byte[] result) {
                // The test does not check the answer.
            }

            @Override
            public void refused(long waitMicros) {
                // The test does not check the answer.
            }

            @Override
            public void failed() {
                // The test does not check the answer.
            }

            @Override
            public boolean clientLeft() {
                return channel != null && channel.isClosed();
            }
        };
    }
}
