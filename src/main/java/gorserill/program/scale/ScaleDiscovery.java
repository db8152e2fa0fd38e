package gorserill.program.scale;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Discovery for one node, at an address of its own, so that what was told to each is known; all serve one
 * list. Danger: without the property below, the server's answers wait for acknowledgements.
 */
final class ScaleDiscovery implements Closeable {
    private static final Pattern WATCH = Pattern.compile("index=(\\d+)&wait=(\\d+)");
    private static final int BACKLOG = 16;

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    /** Is told what has been written to the node. */
    @FunctionalInterface
    interface Witness {
        void told(List<FleetList.Entry> entries);
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(run -> {
        Thread thread = new Thread(run, "discovery");
        thread.setDaemon(true);
        return thread;
    });
    private final FleetList list;
    private final Plant plant;
    private final Witness witness;
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();

    ScaleDiscovery(FleetList list, Plant plant, Witness witness) throws IOException {
        this.list = list;
        this.plant = plant;
        this.witness = witness;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.setExecutor(threads);
        server.createContext("/v1/servers", this::answer);
        server.start();
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    private void answer(HttpExchange exchange) throws IOException {
        calls.incrementAndGet();
        try (exchange) {
            String query = exchange.getRequestURI().getRawQuery();
            Matcher watch = WATCH.matcher(query == null ? "" : query);
            FleetList.Told told = watch.find()
                    ? list.since(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)))
                    : list.whole();
            byte[] body = told(told).json().getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            bytes.addAndGet(body.length);
            witness.told(told.entries());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What is told in truth: where that fault is planted, nothing of workers that drain. */
    private FleetList.Told told(FleetList.Told told) {
        if (plant != Plant.DRAIN_UNTOLD || told.whole()) {
            return told;
        }
        return new FleetList.Told(
                told.index(),
                false,
                told.entries().stream()
                        .filter(entry -> entry.status() != FleetList.Status.TERMINATING)
                        .toList());
    }

    long calls() {
        return calls.get();
    }

    /** Bytes of bodies that went out. */
    long bytes() {
        return bytes.get();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
