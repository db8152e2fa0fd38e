package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import barrowflow.Dispatcher.ListKind;
import barrowflow.Dispatcher.Outcome;
import barrowflow.Dispatcher.Worker;
import barrowflow.Dispatcher.WorkerState;
import gorserill.protocol.IntakeMode;
import gorserill.protocol.http.StandInWorkers.Accepted;
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
 * Bytes that arrive in the moment in which the node closes a connection or ends its listening. The selector's
 * thread is held over that moment, with what it has read or before what it has not.
 */
public class ClosingTest {
    private LiveCore live;
    private StandInWorkers workers;
    private HeldReads reads;
    private InetSocketAddress at;

    @BeforeMethod
    public void start() throws Exception {
        live = new LiveCore(100, true);
        workers = new StandInWorkers(1);
        reads = new HeldReads(HttpCodec.server(live.loop::now, HttpFrontend.MAX_BODY_BYTES, live.room));
        at = live.listen(reads);
    }

    @AfterMethod
    public void stop() throws Exception {
        reads.release();
        live.close();
        workers.close();
    }

    private void list(WorkerPort port) throws Exception {
        live.on(() -> {
            live.core.updateWorkers(
                    ListKind.WHOLE, List.of(new Worker(1, 0, 0, 0, WorkerState.READY, 0)), Map.of(1L, port));
            return null;
        });
    }

    private void listWorker() throws Exception {
        list(live.port("w1", workers.address(0)));
    }

    private Socket client(String text) throws IOException {
        Socket client = new Socket(at.getAddress(), at.getPort());
        client.setSoTimeout(5_000);
        send(client, text);
        return client;
    }

    private static String job(String id) {
        return new String(LiveCore.job(id), StandardCharsets.ISO_8859_1);
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** What comes up to the end of the connection, or up to the end of an answer that is served. */
    private static String answer(Socket client, boolean toItsEnd) throws IOException {
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        try {
            for (int b = client.getInputStream().read();
                    b >= 0;
                    b = client.getInputStream().read()) {
                got.write(b);
                if (!toItsEnd && got.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\nok")) {
                    break;
                }
            }
        } catch (SocketException e) {
            got.writeBytes("<reset>".getBytes(StandardCharsets.ISO_8859_1));
        }
        return got.toString(StandardCharsets.ISO_8859_1);
    }

    /** A worker that is no connection: its answer does not need the selector. */
    private record Inside(Consumer<Attempt> started) implements WorkerPort {
        @Override
        public void start(Attempt attempt, JobSpec work, long expires) {
            started.accept(attempt);
        }

        @Override
        public boolean abort(Attempt attempt) {
            return false;
        }
    }

    /** Danger: closed over, it would be carried out for a client that hears nothing of it. */
    @Test
    public void aRequestThatIsReadAsItsConnectionIsClosedAtRestIsAnswered() throws Exception {
        listWorker();
        try (Socket client = client(job("a-1"))) {
            Accepted worker = workers.next();
            assertTrue(worker.head().contains("X-Txn: a-1\r\n"));
            worker.serve();
            assertTrue(answer(client, false).startsWith("HTTP/1.1 200 OK\r\n"));
            reads.hold();
            send(client, job("a-2"));
            reads.awaitHeld();
            live.on(() -> {
                live.front.setIntakeMode(IntakeMode.ONE_MORE_PER_CONNECTION);
                live.front.closeIdle();
                return null;
            });
            reads.release();
            assertTrue(worker.head().contains("X-Txn: a-2\r\n"));
            worker.serve();
            String answer = answer(client, true);
            assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\nConnection: close\r\n"), answer);
            assertTrue(answer.endsWith("\r\n\r\nok"), answer);
        }
    }

    /**
     * What is not read when a connection at rest is closed is sent to no worker, and its client hears
     * nothing.
     */
    @Test
    public void aRequestThatIsNotReadAsItsConnectionIsClosedAtRestIsNotCarriedOut() throws Exception {
        listWorker();
        try (Socket client = client(job("a-1"));
                Socket other = client("")) {
            Accepted worker = workers.next();
            assertTrue(worker.head().contains("X-Txn: a-1\r\n"));
            worker.serve();
            assertTrue(answer(client, false).startsWith("HTTP/1.1 200 OK\r\n"));
            reads.hold();
            send(other, "PO");
            reads.awaitHeld();
            live.on(() -> {
                live.front.setIntakeMode(IntakeMode.ONE_MORE_PER_CONNECTION);
                live.front.closeIdle();
                return null;
            });
            send(client, job("a-2"));
            reads.release();
            String answer = answer(client, true);
            assertTrue(answer.isEmpty() || answer.equals("<reset>"), answer);
            CompletableFuture<String> next = new CompletableFuture<>();
            live.on(() -> live.take("a-3", next));
            assertTrue(worker.head().contains("X-Txn: a-3\r\n"));
        }
    }

    /** Danger: the end of listening resets whom the system has accepted for the node, request and all. */
    @Test
    public void whoWaitsInTheBacklogAsListeningEndsIsServed() throws Exception {
        list(new Inside(attempt -> live.loop.execute(
                () -> attempt.ended(Outcome.SERVED, "ok".getBytes(StandardCharsets.ISO_8859_1), Load.NONE))));
        try (Socket busy = client("")) {
            reads.hold();
            send(busy, "PO");
            reads.awaitHeld();
            try (Socket first = client(job("a-1"));
                    Socket second = client(job("a-2"))) {
                live.on(() -> {
                    live.listening.stopAccepting();
                    return null;
                });
                reads.release();
                assertTrue(answer(first, false).startsWith("HTTP/1.1 200 OK\r\n"));
                assertTrue(answer(second, false).startsWith("HTTP/1.1 200 OK\r\n"));
            }
        }
    }

    /**
     * Danger: a close over unread bytes resets the connection, and what the system has not yet sent goes with
     * it. The client's small window keeps most of the answer back until it reads.
     */
    @Test
    public void theLastAnswerOutlivesBytesThatWereNeverRead() throws Exception {
        CompletableFuture<Attempt> started = new CompletableFuture<>();
        list(new Inside(started::complete));
        try (Socket busy = client("");
                Socket client = new Socket()) {
            client.setReceiveBufferSize(2_048);
            client.setSoTimeout(5_000);
            client.connect(at);
            send(client, job("a-1"));
            Attempt attempt = started.get(5, TimeUnit.SECONDS);
            reads.hold();
            send(busy, "PO");
            reads.awaitHeld();
            send(client, "POST /estado HTTP/1.1\r\n");
            byte[] result = "x".repeat(12_000).getBytes(StandardCharsets.ISO_8859_1);
            live.on(() -> {
                live.front.setIntakeMode(IntakeMode.ONE_MORE_PER_CONNECTION);
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
