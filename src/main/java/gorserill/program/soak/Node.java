package gorserill.program.soak;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A process of the program, its configuration, and the signals that it is sent. */
final class Node implements Closeable {
    private static final String SETTINGS = "/gorserill/program/demo.json";
    private static final long LONGEST_START = 30;

    final int number;
    final InetSocketAddress clients;
    private final SoakPlan plan;
    private final Path folder;
    private final FleetHistory.Listing known;
    private final CountDownLatch ready = new CountDownLatch(1);
    private Process process;

    Node(int number, SoakPlan plan, FleetHistory.Listing known) throws IOException {
        this.number = number;
        this.plan = plan;
        this.known = known;
        folder = Files.createDirectories(plan.folder().resolve("n" + number));
        clients = freeAddress();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    /** Writes its configuration, whole at any moment. */
    void configure(InetSocketAddress discovery) throws IOException {
        try (InputStream settings = Node.class.getResourceAsStream(SETTINGS)) {
            String text = new String(settings.readAllBytes(), StandardCharsets.UTF_8)
                    .replace("\"demo\"", "\"n" + number + "\"")
                    .replace("{\"index\": 1, \"snapshot\": true, \"endpoints\": []}", known.json())
                    .replace("\"admin_addr\": \"127.0.0.1:OPERATORS\",", "")
                    .replace("127.0.0.1:CLIENTS", text(clients))
                    .replace("127.0.0.1:DISCOVERY", text(discovery))
                    .replace("\"instances\": 1", "\"instances\": " + plan.nodes());
            Path next = folder.resolve("node.json.next");
            Files.writeString(next, text);
            Files.move(
                    next,
                    folder.resolve("node.json"),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(List.of(
                Path.of(System.getProperty("java.home"), "bin/java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xms40m",
                "-Xmx40m",
                "-XX:MaxMetaspaceSize=32m",
                "-Xss512k",
                "-cp",
                System.getProperty("java.class.path"),
                "gorserill.program.Main",
                "serve"));
        builder.environment()
                .putAll(Map.of(
                        "NODE_CONFIG",
                        folder.resolve("node.json").toString(),
                        "GORSERILL_FAKTORY",
                        "none",
                        "GORSERILL_CLUSTER",
                        "none",
                        "TMPDIR",
                        folder.toString()));
        process = builder.redirectErrorStream(true).start();
        Thread reader = new Thread(this::readLog, "log of n" + number);
        reader.setDaemon(true);
        reader.start();
    }

    private void readLog() {
        try (BufferedReader lines =
                        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
                var log = Files.newBufferedWriter(folder.resolve("log.txt"))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                log.write(line + "\n");
                log.flush();
                if (line.contains(" is ready: ")) {
                    ready.countDown();
                }
            }
        } catch (IOException e) {
            // The process has ended.
        }
    }

    void awaitReady() throws IOException, InterruptedException {
        if (!ready.await(LONGEST_START, TimeUnit.SECONDS)) {
            throw new IOException(
                    "n" + number + " is not ready " + LONGEST_START + " s after its start, see its log in " + folder);
        }
    }

    boolean alive() {
        return process.isAlive();
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
