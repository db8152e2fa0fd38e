package gorserill.program.demo;

import gorserill.program.demo.FakeHttpWorker.Kind;
import gorserill.program.demo.FakeHttpWorker.Reaction;
import gorserill.transport.ReservedPort;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A self-contained demo: discovery, three workers and a node that serves HTTP and Faktory clients under the
 * exported contracts, in one process on loopback.
 */
public final class Demo {
    private static final int WORKERS = 3;
    private static final int FAKTORY_TIMEOUT_MS = 5_000;
    /** Just after its start a node knows little of its workers, and may ask a client to retry. */
    private static final int MAX_ATTEMPTS = 5;

    /** Starts a node and returns a handle that stops it. */
    @FunctionalInterface
    public interface NodeLauncher {
        AutoCloseable start(Map<String, String> environment) throws Exception;
    }

    /** Writes the exported descriptions of a configuration into a folder. */
    @FunctionalInterface
    public interface ContractExporter {
        void export(Path settings, Path folder) throws Exception;
    }

    private final PrintStream out;
    private final Path folder;
    private final int clientPort = ReservedPort.reserveUntilExit().getPort();
    private final int faktoryPort = ReservedPort.reserveUntilExit().getPort();
    private final int operatorPort = ReservedPort.reserveUntilExit().getPort();

    private Demo(PrintStream out) throws IOException {
        this.out = out;
        folder = Files.createTempDirectory("gorserill-demo");
    }

    /**
     * Runs the demo.
     *
     * @param out receives the demo's output
     * @param until the demo stops when this returns
     */
    public static void run(PrintStream out, NodeLauncher node, ContractExporter exporter, Runnable until)
            throws Exception {
        new Demo(out).runDemo(node, exporter, until);
    }

    private void runDemo(NodeLauncher node, ContractExporter exporter, Runnable until) throws Exception {
        List<FakeHttpWorker> workers = new ArrayList<>();
        Map<String, Integer> runs = FakeHttpWorker.newRunCounts();
        try (FakeDiscovery discovery = new FakeDiscovery()) {
            for (int w = 1; w <= WORKERS; w++) {
                String name = "worker-" + w;
                workers.add(new FakeHttpWorker(
                        name,
                        runs,
                        job -> new Reaction(
                                new String(job.body(), StandardCharsets.UTF_8).contains("fail")
                                        ? Kind.FAILED
                                        : Kind.DONE,
                                job.lane().equals("historial") ? 200 : 30,
                                "\"" + job.lane() + " done by " + name + "\"")));
            }
            discovery.setWorkers(workers);
            Path settings = folder.resolve("node.json");
            try (InputStream text = Demo.class.getResourceAsStream("/gorserill/program/demo.json")) {
                Files.writeString(
                        settings,
                        new String(text.readAllBytes(), StandardCharsets.UTF_8)
                                .replace("CLIENTS", "" + clientPort)
                                .replace("OPERATORS", "" + operatorPort)
                                .replace("DISCOVERY", "" + discovery.address().getPort())
                                .replace(
                                        "\"endpoints\": []",
                                        "\"endpoints\": [" + FakeDiscovery.endpointEntries(workers) + "]"));
            }
            exporter.export(settings, folder);
            Path faktoryFile = folder.resolve("faktory.json");
            Files.writeString(
                    faktoryFile,
                    "{\"enabled\": true, \"listen\": \"127.0.0.1:" + faktoryPort
                            + "\", \"asyncapi\": \"asyncapi.json\"}");
            try (AutoCloseable running = node.start(Map.of(
                    "NODE_CONFIG",
                    settings.toString(),
                    "GORSERILL_FAKTORY",
                    faktoryFile.toString(),
                    "GORSERILL_OPENAPI",
                    folder.resolve("openapi.json").toString()))) {
                printAddresses();
                sendExampleJobs();
                out.println("\nThe demo runs until Ctrl-C.");
                until.run();
            }
        } finally {
            for (FakeHttpWorker worker : workers) {
                worker.close();
            }
        }
    }

    private void printAddresses() {
        out.println("A node with " + WORKERS + " workers, all on this machine:");
        out.println("  HTTP clients     http://127.0.0.1:" + clientPort);
        out.println("  Faktory clients  127.0.0.1:" + faktoryPort + " (tcp, no password)");
        out.println("  operators        127.0.0.1:" + operatorPort
                + ", for example: echo telemetry | nc 127.0.0.1 "
                + operatorPort);
        out.println("  files            " + folder + "\n");
        out.println("To send a job of each class:");
        for (String name : List.of("estado", "historial", "alerta", "cierre")) {
            out.println("  curl -i -X POST http://127.0.0.1:" + clientPort + "/" + name
                    + " -H 'X-Txn: '$RANDOM$RANDOM"
                    + (name.equals("cierre") ? " -H 'Idempotency-Key: k1'" : "") + " -d 'hello'");
        }
        out.println("\nExample jobs and their results:");
    }

    private void sendExampleJobs() throws Exception {
        HttpClient client = HttpClient.newHttpClient();
        send(client, "/estado", "d1", null, "hello");
        send(client, "/historial", "d2", null, "hello");
        send(client, "/alerta", "d3", null, "hello");
        send(client, "/alerta", "d4", null, "please fail");
        send(client, "/cierre", "d5", "k1", "hello");
        send(client, "/cierre", "d6", null, "hello");
        send(client, "/nothing", "d7", null, "hello");
        push("{\"jid\":\"demo-job-1\",\"jobtype\":\"demo\",\"queue\":\"estado\",\"args\":[\"hello\"]}");
        push("{\"jid\":\"demo-job-2\",\"jobtype\":\"demo\",\"queue\":\"cierre\",\"args\":[\"hello\"]}");
    }

    private void send(HttpClient client, String path, String id, String key, String body) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + clientPort + path))
                .header("X-Txn", id)
                .POST(HttpRequest.BodyPublishers.ofString(body));
        if (key != null) {
            request.header("Idempotency-Key", key);
        }
        out.printf("  POST %-11s%s '%s' -> ", path, key == null ? "" : " (key " + key + ")", body);
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            HttpResponse<String> answer = client.send(
                    request.setHeader("X-Txn", id + "-" + attempt).build(), HttpResponse.BodyHandlers.ofString());
            if (answer.statusCode() != 503) {
                out.println(answer.statusCode() + " " + answer.body());
                return;
            }
            String seconds = answer.headers().firstValue("Retry-After").orElse("1");
            out.print("503, retry in " + seconds + " s -> ");
            Thread.sleep((long) (Double.parseDouble(seconds) * 1_000));
        }
        out.println("no attempts left");
    }

    private void push(String job) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), faktoryPort)) {
            socket.setSoTimeout(FAKTORY_TIMEOUT_MS);
            var in = new java.io.BufferedReader(
                    new java.io.InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            in.readLine();
            socket.getOutputStream()
                    .write(("HELLO {\"v\":2}\r\nPUSH " + job + "\r\n").getBytes(StandardCharsets.UTF_8));
            in.readLine();
            out.println("  PUSH " + job + " -> " + in.readLine());
        }
    }
}
