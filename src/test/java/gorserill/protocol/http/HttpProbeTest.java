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

/** A worker that is asked for its load, and what it may answer instead. */
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

    /** Whatever comes, each call is answered once, and the next one is asked. */
    @Test(dataProvider = "answers")
    public void eachCallIsAnsweredOnce(String answer, double slots) throws Exception {
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
            CompletableFuture<Load> first = ask(loop, worker);
            Socket socket = asked(server, null);
            CompletableFuture<Load> meanwhile = ask(loop, worker);
            assertEquals(meanwhile.get(5, TimeUnit.SECONDS), Load.NONE, "one call is open already");
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
            CompletableFuture<Load> second = ask(loop, worker);
            Socket next = asked(server, kept ? socket : null);
            next.getOutputStream().write((HEAD + "8\r\n\r\n{\"x0\":2}").getBytes(StandardCharsets.US_ASCII));
            assertEquals(second.get(5, TimeUnit.SECONDS).freeSlots(), 2.0);
        } finally {
            transport.stop();
            loop.stop();
        }
    }

    @Test
    public void aWorkerThatIsGoneTellsNothing() throws Exception {
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
            assertEquals(ask(loop, worker).get(5, TimeUnit.SECONDS), Load.NONE);
        } finally {
            transport.stop();
            loop.stop();
        }
    }

    private static CompletableFuture<Load> ask(Loop loop, HttpWorker worker) {
        CompletableFuture<Load> told = new CompletableFuture<>();
        loop.execute(() -> worker.probe(load -> {
            if (!told.complete(load)) {
                throw new IllegalStateException("answered twice");
            }
        }));
        return told;
    }

    /** Waits for a whole call, on a new connection or on one that is kept. */
    private static Socket asked(ServerSocket server, Socket kept) throws IOException {
        server.setSoTimeout(5_000);
        Socket socket = kept == null ? server.accept() : kept;
        socket.setSoTimeout(5_000);
        StringBuilder got = new StringBuilder();
        while (!got.toString().endsWith("\r\n\r\n")) {
            int read = socket.getInputStream().read();
            if (read < 0) {
                throw new IOException("the call was cut off: " + got);
            }
            got.append((char) read);
        }
        assertEquals(got.substring(0, 14), "GET /load HTTP");
        return socket;
    }
}
