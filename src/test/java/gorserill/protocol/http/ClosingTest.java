package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Outcome;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.protocol.IntakeMode;
import gorserill.protocol.http.FakeServers.AcceptedConnection;
import gorserill.routing.Attempt;
import gorserill.routing.JobSpec;
import gorserill.routing.Load;
import gorserill.routing.WorkerPort;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Bytes that arrive at the moment at which the node closes a connection or stops listening. The selector's thread is
 * blocked meanwhile, either after it has read the bytes or before.
 */
public class ClosingTest {
    private CoreFixture fixture;
    private FakeServers workers;
    private BlockableReadFilter reads;
    private InetSocketAddress address;

    @BeforeMethod
    public void start() throws Exception {
        fixture = new CoreFixture(100, true);
        workers = new FakeServers(1);
        reads = new BlockableReadFilter(
                HttpCodec.server(fixture.loop::now, HttpFrontend.MAX_BODY_BYTES, fixture.memoryBudget));
        address = fixture.listen(reads);
    }

    @AfterMethod
    public void stop() throws Exception {
        reads.release();
        fixture.close();
        workers.close();
    }

    private void list(WorkerPort port) throws Exception {
        fixture.runOnLoop(() -> {
            fixture.core.updateWorkers(
                    ListKind.WHOLE, List.of(new Worker(1, 0, 0, 0, WorkerState.READY, 0)), Map.of(1L, port));
            return null;
        });
    }

    private void listWorker() throws Exception {
        list(fixture.httpWorker("w1", workers.address(0)));
    }

    private Socket client(String text) throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(5_000);
        send(client, text);
        return client;
    }

    private static String job(String id) {
        return new String(CoreFixture.request(id), StandardCharsets.ISO_8859_1);
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads up to the end of the connection or, unless {@code untilClosed}, of a response with the body "ok". */
    private static String answer(Socket client, boolean untilClosed) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try {
            for (int b = client.getInputStream().read();
                    b >= 0;
                    b = client.getInputStream().read()) {
                received.write(b);
                if (!untilClosed
                        && received.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\nok")) {
                    break;
                }
            }
        } catch (SocketException e) {
            received.writeBytes("<reset>".getBytes(StandardCharsets.ISO_8859_1));
        }
        return received.toString(StandardCharsets.ISO_8859_1);
    }

    /** A worker in the test itself; its answer does not need the selector's thread. */
    private record LocalWorker(Consumer<Attempt> started) implements WorkerPort {
        @Override
        public void start(Attempt attempt, JobSpec job, long expires) {
            started.accept(attempt);
        }

        @Override
        public boolean abort(Attempt attempt) {
            return false;
        }
    }

    /** Otherwise the request would be carried out, and its client would get no answer. */
    @Test
    public void requestReadWhileIdleConnectionIsClosedIsAnswered() throws Exception {
        listWorker();
        try (Socket client = client(job("a-1"))) {
            AcceptedConnection worker = workers.nextConnection();
            assertTrue(worker.readHead().contains("X-Txn: a-1\r\n"));
            worker.respondDone();
            assertTrue(answer(client, false).startsWith("HTTP/1.1 200 OK\r\n"));
            reads.blockNextRead();
            send(client, job("a-2"));
            reads.awaitBlocked();
            fixture.runOnLoop(() -> {
                fixture.frontend.setIntakeMode(IntakeMode.ONE_MORE_PER_CONNECTION);
                fixture.frontend.closeIdle();
                return null;
            });
            reads.release();
            assertTrue(worker.readHead().contains("X-Txn: a-2\r\n"));
            worker.respondDone();
            String answer = answer(client, true);
            assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\nConnection: close\r\n"), answer);
            assertTrue(answer.endsWith("\r\n\r\nok"), answer);
        }
    }

    /**
     * A request that has not been read when its idle connection is closed is sent to no worker, and its client gets no
     * answer.
     */
    @Test
    public void requestNotReadBeforeIdleConnectionIsClosedIsNotCarriedOut() throws Exception {
        listWorker();
        try (Socket client = client(job("a-1"));
                Socket other = client("")) {
            AcceptedConnection worker = workers.nextConnection();
            assertTrue(worker.readHead().contains("X-Txn: a-1\r\n"));
            worker.respondDone();
            assertTrue(answer(client, false).startsWith("HTTP/1.1 200 OK\r\n"));
            reads.blockNextRead();
            send(other, "PO");
            reads.awaitBlocked();
            fixture.runOnLoop(() -> {
                fixture.frontend.setIntakeMode(IntakeMode.ONE_MORE_PER_CONNECTION);
                fixture.frontend.closeIdle();
                return null;
            });
            send(client, job("a-2"));
            reads.release();
            String answer = answer(client, true);
            assertTrue(answer.isEmpty() || answer.equals("<reset>"), answer);
            CompletableFuture<String> next = new CompletableFuture<>();
            fixture.runOnLoop(() -> fixture.submit("a-3", next));
            assertTrue(worker.readHead().contains("X-Txn: a-3\r\n"));
        }
    }

    /** Closing the listening socket resets connections in the kernel's backlog, including requests already sent. */
    @Test
    public void clientsInBacklogWhenListeningStopsAreServed() throws Exception {
        list(new LocalWorker(attempt -> fixture.loop.execute(
                () -> attempt.ended(Outcome.SERVED, "ok".getBytes(StandardCharsets.ISO_8859_1), Load.NONE))));
        try (Socket busy = client("")) {
            reads.blockNextRead();
            send(busy, "PO");
            reads.awaitBlocked();
            try (Socket first = client(job("a-1"));
                    Socket second = client(job("a-2"))) {
                fixture.runOnLoop(() -> {
                    fixture.listener.stopAccepting();
                    return null;
                });
                reads.release();
                assertTrue(answer(first, false).startsWith("HTTP/1.1 200 OK\r\n"));
                assertTrue(answer(second, false).startsWith("HTTP/1.1 200 OK\r\n"));
            }
        }
    }

    /**
     * Closing a socket with unread input resets the connection, and output that the kernel has not sent yet is lost.
     * The client's small receive window keeps most of the answer unsent until the client reads.
     */
    @Test
    public void lastAnswerIsDeliveredDespiteUnreadInput() throws Exception {
        CompletableFuture<Attempt> started = new CompletableFuture<>();
        list(new LocalWorker(started::complete));
        try (Socket busy = client("");
                Socket client = new Socket()) {
            client.setReceiveBufferSize(2_048);
            client.setSoTimeout(5_000);
            client.connect(address);
            send(client, job("a-1"));
            Attempt attempt = started.get(5, TimeUnit.SECONDS);
            reads.blockNextRead();
            send(busy, "PO");
            reads.awaitBlocked();
            send(client, "POST /estado HTTP/1.1\r\n");
            byte[] result = "x".repeat(12_000).getBytes(StandardCharsets.ISO_8859_1);
            fixture.runOnLoop(() -> {
                fixture.frontend.setIntakeMode(IntakeMode.ONE_MORE_PER_CONNECTION);
                attempt.ended(Outcome.SERVED, result, Load.NONE);
                return null;
            });
            reads.release();
            String answer = answer(client, true);
            assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\nConnection: close\r\n"), answer);
            assertTrue(answer.endsWith("xxx"), answer.substring(answer.length() - 20));
            assertEquals(answer.length() - answer.indexOf("\r\n\r\n") - 4, result.length);
        }
    }
}
