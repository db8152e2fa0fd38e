package gorserill.measure;

import gorserill.program.demo.FakeDiscovery;
import gorserill.program.demo.FakeHttpWorker;
import gorserill.program.demo.FakeHttpWorker.Kind;
import gorserill.program.demo.FakeHttpWorker.Reaction;
import java.io.BufferedReader;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measures what the door adds to a node's cost of a request: CPU of a node's process for each, with a
 * contract and
 * without, by turns.
 *
 * <pre>java -cp target/test-classes:target/gorserill.jar gorserill.measure.ContractCost ROUNDS REQUESTS</pre>
 */
public final class ContractCost {
    private static final int CLIENTS = 8;

    private ContractCost() {}

    private static int free() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static String contract() {
        return """
            openapi: 3.1.0
            info: {title: cost, version: '1'}
            paths:
              /estado/{id}:
                post:
                  x-gorserill-class: estado
                  parameters:
                    [{name: id, in: path, required: true, schema: {type: string, pattern: '^c[0-9]+$'}}]
                  requestBody:
                    content:
                      application/json:
                        schema:
                          type: object
                          required: [readings]
                          properties:
                            readings:
                              type: array
                              items:
                                type: object
                                required: [room, t]
                                properties: {room: {type: string}, t: {type: number, maximum: 60}}
            """;
    }

    private static byte[] request(int number, int kib) {
        StringBuilder body = new StringBuilder("{\"readings\":[{\"room\":\"c0\",\"t\":1}");
        while (body.length() < kib * 1024 - 40) {
            body.append(",{\"room\":\"c1\",\"t\":-18.5,\"ok\":true}");
        }
        body.append("]}");
        return ("POST /estado/c" + number % 1000 + " HTTP/1.1\r\nX-Txn: t" + number
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Gives the status of one answer. */
    private static int answer(InputStream in) throws Exception {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.read());
        }
        int at = head.indexOf("Content-Length: ") + 16;
        in.readNBytes(Integer.parseInt(head.substring(at, head.indexOf("\r", at))));
        return Integer.parseInt(head.substring(9, 12));
    }

    private static int[] load(int port, int requests, int kib) throws Exception {
        int[] served = new int[CLIENTS];
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            Thread thread = new Thread(() -> {
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    socket.setTcpNoDelay(true);
                    OutputStream out = socket.getOutputStream();
                    for (int i = 0; i < requests / CLIENTS; i++) {
                        out.write(request(client * requests + i, kib));
                        served[client] += answer(socket.getInputStream()) == 200 ? 1 : 0;
                    }
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return served;
    }

    private static void drain(BufferedReader log) {
        try {
            while (log.readLine() != null) {
                // The node must not wait for somebody to read its log.
            }
        } catch (java.io.IOException e) {
            // The end.
        }
    }

    /** Microseconds of the node's CPU for each request. */
    private static double round(boolean bound, int requests, int kib) throws Exception {
        Path folder = Files.createTempDirectory("cost");
        List<FakeHttpWorker> workers = new ArrayList<>();
        Map<String, Integer> runs = FakeHttpWorker.newRunCounts();
        try (FakeDiscovery discovery = new FakeDiscovery()) {
            for (int w = 0; w < 6; w++) {
                workers.add(new FakeHttpWorker("w" + w, runs, job -> new Reaction(Kind.DONE, 1, "1")));
            }
            discovery.setWorkers(workers);
            int port = free();
            Path config = folder.resolve("node.json");
            try (InputStream text = ContractCost.class.getResourceAsStream("/gorserill/program/demo.json")) {
                Files.writeString(
                        config,
                        new String(text.readAllBytes(), StandardCharsets.UTF_8)
                                .replace("CLIENTS", "" + port)
                                .replace("OPERATORS", "" + free())
                                .replace("DISCOVERY", "" + discovery.address().getPort())
                                .replace(
                                        "\"endpoints\": []",
                                        "\"endpoints\": [" + FakeDiscovery.endpointEntries(workers) + "]"));
            }
            ProcessBuilder builder = new ProcessBuilder(
                            "java",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-Xms40m",
                            "-Xmx40m",
                            "-jar",
                            "target/gorserill.jar",
                            "serve")
                    .redirectErrorStream(true);
            builder.environment().put("NODE_CONFIG", config.toString());
            if (bound) {
                Path openApi = Files.writeString(folder.resolve("openapi.yaml"), contract());
                builder.environment().put("GORSERILL_OPENAPI", openApi.toString());
            }
            Process node = builder.start();
            BufferedReader log = node.inputReader();
            try {
                for (String line = log.readLine(); !line.contains("is ready"); line = log.readLine()) {
                    if (line.contains("SEVERE")) {
                        throw new IllegalStateException(line);
                    }
                }
                Thread rest = new Thread(() -> drain(log));
                rest.setDaemon(true);
                rest.start();
                load(port, requests / 2, kib);
                long begun = System.nanoTime();
                Duration before = node.info().totalCpuDuration().orElseThrow();
                int served = 0;
                for (int one : load(port, requests, kib)) {
                    served += one;
                }
                Duration after = node.info().totalCpuDuration().orElseThrow();
                System.err.printf(
                        "%s, %d KiB: served %d of %d in %.1f s%n",
                        bound ? "bound" : "free", kib, served, requests, (System.nanoTime() - begun) / 1e9);
                if (served < requests * 9 / 10) {
                    System.err.println("only " + served + " of " + requests + " were served");
                }
                return after.minus(before).toMillis() * 1_000.0 / requests;
            } finally {
                node.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            }
        } finally {
            for (FakeHttpWorker worker : workers) {
                worker.close();
            }
        }
    }

    public static void main(String[] args) throws Exception {
        int rounds = Integer.parseInt(args[0]);
        int requests = Integer.parseInt(args[1]);
        for (int kib : new int[] {1, 16}) {
            double[] sums = new double[2];
            for (int r = 0; r < rounds; r++) {
                sums[0] += round(false, requests, kib);
                sums[1] += round(true, requests, kib);
            }
            System.out.printf(
                    "bodies of %d KiB: %.0f us of CPU a request without a contract, %.0f with: "
                            + "the door is"
                            + " %.0f %% of the whole%n",
                    kib, sums[0] / rounds, sums[1] / rounds, 100 * (sums[1] - sums[0]) / sums[1]);
        }
        System.exit(0);
    }
}
