package gorserill.program.soak;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker: it stamps each job's first and last byte, and does what its draw says. */
final class Worker implements Closeable {
    private static final int SLOTS = 8;
    private static final double RESETS = 0.03;
    private static final double HANGS = 0.01;
    private static final int LONGEST_HANG = 8_000;

    private final int number;
    private final SoakPlan plan;
    private final Clock clock;
    private final Oracle oracle;
    private final ServerSocket server = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    private final AtomicInteger running = new AtomicInteger();
    private final SplittableRandom random;

    Worker(int number, SoakPlan plan, Clock clock, Oracle oracle) throws IOException {
        this.number = number;
        this.plan = plan;
        this.clock = clock;
        this.oracle = oracle;
        random = new SplittableRandom(plan.seed() * 1_000 + number);
        start(this::accept);
    }

    private static void start(Runnable run) {
        Thread thread = new Thread(run, "soak worker");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                start(() -> serve(socket));
            } catch (IOException e) {
                // The end, or a connection that was gone before it was accepted.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int first = in.read(); first >= 0; first = in.read()) {
                double firstByte = clock.now();
                Map<String, String> headers = readHead(in);
                in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                oracle.sent(new Oracle.Send(
                        number,
                        headers.getOrDefault("x-txn", ""),
                        headers.get("idempotency-key"),
                        firstByte,
                        clock.now(),
                        Integer.parseInt(headers.getOrDefault("x-remaining-ms", "0"))));
                answer(socket, headers.getOrDefault("x-txn", ""));
            }
        } catch (IOException e) {
            // The node has left.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> readHead(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        readLine(in);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return headers;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("the connection ended");
            }
            line.append((char) b);
        }
        return line.toString().strip();
    }

    private void answer(Socket socket, String id) throws IOException, InterruptedException {
        double lot;
        int service;
        synchronized (random) {
            lot = random.nextDouble();
            service = 5 + random.nextInt(40);
        }
        int taken = running.incrementAndGet();
        try {
            write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            chunk(socket, "{\"id\":\"" + id + "\",\"state\":\"started\"}\n");
            Thread.sleep(service);
            if (plan.has(Fault.RESET) && lot < RESETS) {
                socket.setSoLinger(true, 0);
                socket.close();
                return;
            }
            if (plan.has(Fault.HANG) && lot > 1 - HANGS) {
                Thread.sleep(ThreadLocalRandom.current().nextInt(LONGEST_HANG));
                socket.close();
                return;
            }
            chunk(
                    socket,
                    "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"" + id + "\",\"load\":{\"util\":0.5,\"x0\":"
                            + Math.max(0, SLOTS - taken) + "}}\n");
            write(socket, "0\r\n\r\n");
        } finally {
            running.decrementAndGet();
        }
    }

    private static void chunk(Socket socket, String text) throws IOException {
        write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
