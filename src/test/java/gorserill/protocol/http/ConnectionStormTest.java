package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gorserill.protocol.http.FakeServers.AcceptedConnection;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Clients that connect again and again don't keep the node from sending other clients' jobs to workers. */
public class ConnectionStormTest {
    private static final int TIMEOUT_MS = 5_000;

    private CoreFixture fixture;

    @BeforeMethod
    public void start() throws Exception {
        fixture = new CoreFixture(200, true);
    }

    @AfterMethod
    public void stop() throws Exception {
        fixture.close();
    }

    /** A codec that takes its time for each read, as one core does that hundreds of clients share. */
    private static final class SlowCodec extends BaseFilter {
        private static final int READ_MS = 2;
        private final HttpCodec codec;

        SlowCodec(HttpCodec codec) {
            this.codec = codec;
        }

        @Override
        public NextAction handleRead(FilterChainContext context) throws IOException {
            try {
                Thread.sleep(READ_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return codec.handleRead(context);
        }

        @Override
        public NextAction handleWrite(FilterChainContext context) throws IOException {
            return codec.handleWrite(context);
        }
    }

    /** Guards against jobs that wait for the end of a pass which every new connection prolongs. */
    @Test
    public void jobsAreSentWhileConnectionsAreAcceptedWithoutEnd() throws Exception {
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger connections = new AtomicInteger();
        try (FakeServers workers = new FakeServers(1)) {
            fixture.listWorkers(workers, 1);
            InetSocketAddress address = fixture.listen(new SlowCodec(
                    HttpCodec.server(fixture.loop::now, HttpFrontend.MAX_BODY_BYTES, fixture.memoryBudget)));
            List<Thread> crowd = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                Thread thread = new Thread(() -> connectWithoutEnd(address, stop, connections));
                thread.start();
                crowd.add(thread);
            }
            CoreFixture.await(() -> connections.get() > 100);
            CompletableFuture<String> answer = new CompletableFuture<>();
            fixture.runOnLoop(() -> fixture.submit("in-a-crowd", answer));
            AcceptedConnection sent = workers.nextConnection();
            assertTrue(sent.readHead().contains("in-a-crowd"));
            sent.respond(AcceptedConnection.doneResponse("in-a-crowd", "ok"));
            assertEquals(answer.get(TIMEOUT_MS, TimeUnit.MILLISECONDS), "served");
            stop.set(true);
            for (Thread thread : crowd) {
                thread.join();
            }
        } finally {
            stop.set(true);
        }
        assertEquals(fixture.failures, List.of());
    }

    private static void connectWithoutEnd(InetSocketAddress address, AtomicBoolean stop, AtomicInteger connections) {
        while (!stop.get()) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.setSoLinger(true, 0);
                socket.getOutputStream().write('P');
                connections.incrementAndGet();
                Thread.sleep(1);
            } catch (IOException e) {
                // The node closes the oldest connections when it has too many.
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
