package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;

import gorserill.common.Loop;
import gorserill.common.SiblingProcesses;
import gorserill.common.ThrottledWarnings;
import gorserill.routing.Load;
import gorserill.transport.Transport;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Load probes of a worker, with valid and invalid answers. */
public class HttpProbeTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: ";

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {HEAD + "31\r\n\r\n{\"util\":0.5,\"queue\":1,\"x0\":3.5}", 3.5},
            {HEAD + "2\r\n\r\n{}", Double.NaN},
            {HEAD + "12\r\n\r\n{\"x0\":\"many\"", Double.NaN},
            {HEAD + "4\r\n\r\n[42]", Double.NaN},
            {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", Double.NaN},
            {HEAD + "9000\r\n\r\n" + "{\"x0\":1}".repeat(1_125), Double.NaN},
            {"nonsense\r\n\r\n", Double.NaN},
            {HEAD + "30\r\n\r\n{\"util\"", Double.NaN},
            {"", Double.NaN},
        };
    }

    /** Whatever the worker answers, each probe is completed exactly once, and the next one is sent. */
    @Test(dataProvider = "answers")
    public void eachProbeIsCompletedOnce(String answer, double slots) throws Exception {
        Loop loop = new Loop(e -> {});
        Transport transport = new Transport(loop, 50, SiblingProcesses.none());
        transport.start();
        loop.start();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            HttpWorker worker = new HttpWorker(
                    new HttpWorker.Config(
                            loop,
                            transport,
                            transport.chain(HttpCodec.client(loop, Integer.MAX_VALUE)),
                            List.of("estado"),
                            new LoadFieldNames("x0", null),
                            250_000,
                            15_000_000,
                            new ThrottledWarnings(loop, Logger.getLogger(HttpProbeTest.class.getName()), "answers")),
                    "w1",
                    (InetSocketAddress) server.getLocalSocketAddress());
            CompletableFuture<Load> first = probe(loop, worker);
            Socket socket = awaitProbe(server, null);
            CompletableFuture<Load> meanwhile = probe(loop, worker);
            assertEquals(meanwhile.get(5, TimeUnit.SECONDS), Load.NONE, "a probe is already outstanding");
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            if (answer.endsWith("\"util\"")) {
                socket.close();
            }
            assertEquals(first.get(5, TimeUnit.SECONDS).freeSlots(), slots);
            boolean kept = answer.contains("}") && answer.length() < 100
                    || answer.contains("503")
                    || answer.contains("[42]")
                    || answer.contains("many");
            CompletableFuture<Load> second = probe(loop, worker);
            Socket next = awaitProbe(server, kept ? socket : null);
            next.getOutputStream().write((HEAD + "8\r\n\r\n{\"x0\":2}").getBytes(StandardCharsets.US_ASCII));
            assertEquals(second.get(5, TimeUnit.SECONDS).freeSlots(), 2.0);
        } finally {
            transport.stop();
            loop.stop();
        }
    }

    @Test
    public void unreachableWorkerReportsNoLoad() throws Exception {
        Loop loop = new Loop(e -> {});
        Transport transport = new Transport(loop, 50, SiblingProcesses.none());
        transport.start();
        loop.start();
        try {
            HttpWorker worker = new HttpWorker(
                    new HttpWorker.Config(
                            loop,
                            transport,
                            transport.chain(HttpCodec.client(loop, Integer.MAX_VALUE)),
                            List.of("estado"),
                            new LoadFieldNames("x0", null),
                            250_000,
                            15_000_000,
                            new ThrottledWarnings(loop, Logger.getLogger(HttpProbeTest.class.getName()), "answers")),
                    "w1",
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 9));
            assertEquals(probe(loop, worker).get(5, TimeUnit.SECONDS), Load.NONE);
        } finally {
            transport.stop();
            loop.stop();
        }
    }

    private static CompletableFuture<Load> probe(Loop loop, HttpWorker worker) {
        CompletableFuture<Load> result = new CompletableFuture<>();
        loop.execute(() -> worker.probe(load -> {
            if (!result.complete(load)) {
                throw new IllegalStateException("answered twice");
            }
        }));
        return result;
    }

    /** Waits for a complete probe request, on a new connection or on a kept one. */
    private static Socket awaitProbe(ServerSocket server, Socket kept) throws IOException {
        server.setSoTimeout(5_000);
        Socket socket = kept == null ? server.accept() : kept;
        socket.setSoTimeout(5_000);
        StringBuilder received = new StringBuilder();
        while (!received.toString().endsWith("\r\n\r\n")) {
            int read = socket.getInputStream().read();
            if (read < 0) {
                throw new IOException("the probe request is incomplete: " + received);
            }
            received.append((char) read);
        }
        assertEquals(received.substring(0, 14), "GET /load HTTP");
        return socket;
    }
}
