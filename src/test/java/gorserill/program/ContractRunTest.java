package gorserill.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gorserill.contract.Generated;
import gorserill.program.demo.FakeDiscovery;
import gorserill.program.demo.FakeHttpWorker;
import gorserill.program.demo.FakeHttpWorker.Job;
import gorserill.program.demo.FakeHttpWorker.Kind;
import gorserill.program.demo.FakeHttpWorker.Reaction;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.testng.annotations.Test;

/** Contracts on the wire: both fronts of a node, stand-in workers, and clients that count their answers. */
public class ContractRunTest {
    private static final int PATIENCE = 20_000;
    /** Kept, since a logger that nobody holds forgets its level: each forbidden contract would be told. */
    private static final Logger LOG = Logger.getLogger(Node.class.getName());

    /** A node under contracts, with workers. */
    private static final class Bound implements Closeable {
        final Path folder = Files.createTempDirectory("bound");
        final Path openApi = folder.resolve("openapi.yaml");
        final Path asyncApi = folder.resolve("asyncapi.yaml");
        final List<FakeHttpWorker> workers = new ArrayList<>();
        final Map<String, Integer> runs = FakeHttpWorker.newRunCounts();
        final FakeDiscovery discovery = new FakeDiscovery();
        final Fixture fixture;
        final Node node;

        Bound(String http, String messages, int count, Function<Job, Reaction> behaviour) throws Exception {
            write(http, messages);
            for (int w = 1; w <= count; w++) {
                workers.add(new FakeHttpWorker("w" + w, runs, behaviour));
            }
            discovery.setWorkers(workers);
            fixture = new Fixture(
                    discovery.address(),
                    FakeDiscovery.endpointEntries(workers).replace("\"m\"", "\"std4\""),
                    15_000,
                    "{\"enabled\":true,\"listen\":\"LISTEN\",\"asyncapi\":\"" + asyncApi + "\"}");
            fixture.environment.put("GORSERILL_OPENAPI", openApi.toString());
            node = new Node(NodeConfig.read(fixture.environment), fixture.environment);
            node.start();
            node.awaitReady();
        }

        /** Moves whole files into place. */
        void write(String http, String messages) throws IOException {
            for (Map.Entry<Path, String> file :
                    Map.of(openApi, http, asyncApi, messages).entrySet()) {
                Path fresh = Files.writeString(
                        file.getKey().resolveSibling(file.getKey().getFileName() + ".new"), file.getValue());
                Files.move(
                        fresh,
                        file.getKey(),
                        java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }

        @Override
        public void close() throws IOException {
            node.stop();
            discovery.close();
            for (FakeHttpWorker worker : workers) {
                worker.close();
            }
        }
    }

    /** A client's connection, of either front: one request, one answer. */
    private static final class Client implements Closeable {
        private final Socket socket;
        private final InputStream in;

        Client(InetSocketAddress to) throws IOException {
            socket = new Socket(to.getAddress(), to.getPort());
            socket.setSoTimeout(PATIENCE);
            in = new BufferedInputStream(socket.getInputStream());
        }

        static Client faktory(InetSocketAddress to) throws IOException {
            Client client = new Client(to);
            client.line();
            client.send("HELLO {\"v\":2}\r\n".getBytes(StandardCharsets.UTF_8));
            assertEquals(client.line(), "+OK");
            return client;
        }

        private void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        private String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    throw new IOException("the connection ended at '" + line + "'");
                }
                line.write(b);
            }
            return line.toString(StandardCharsets.UTF_8).strip();
        }

        /** Gives the status. */
        int post(String method, String target, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) ->
                    head.append(name).append(": ").append(value).append("\r\n"));
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.append("Content-Length: ")
                    .append(body.length)
                    .append("\r\n\r\n")
                    .toString()
                    .getBytes(StandardCharsets.UTF_8));
            all.write(body);
            send(all.toByteArray());
            int status = Integer.parseInt(line().split(" ")[1]);
            int length = 0;
            for (String line = line(); !line.isEmpty(); line = line()) {
                length = line.startsWith("Content-Length: ") ? Integer.parseInt(line.substring(16)) : length;
            }
            in.readNBytes(length);
            return status;
        }

        String push(String job) throws IOException {
            send(("PUSH " + job + "\r\n").getBytes(StandardCharsets.UTF_8));
            return line();
        }

        /** Whether nothing has come that nobody waited for. */
        boolean quiet() throws IOException {
            return in.available() == 0;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static void together(List<Callable<Void>> all) throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        try {
            List<Future<Void>> futures = new ArrayList<>();
            all.forEach(one -> futures.add(threads.submit(one)));
            for (Future<Void> future : futures) {
                future.get(5, TimeUnit.MINUTES);
            }
        } finally {
            threads.shutdownNow();
        }
    }

    /**
     * 10,000 requests of each kind on each front; a conforming one may be refused for want of room, no more.
     */
    @Test
    public void whatIsNotAsDescribedGetsOneAnswerAndNoWorker() throws Exception {
        int threads = 8;
        int each = 10_000 / threads;
        Generated generated = new Generated(7, 12);
        Set<String> bad = ConcurrentHashMap.newKeySet();
        AtomicInteger turnedAway = new AtomicInteger();
        AtomicInteger letIn = new AtomicInteger();
        try (Bound bound = new Bound(
                generated.openApi("estado", "cierre"),
                generated.asyncApi("estado", "cierre"),
                4,
                job -> new Reaction(Kind.DONE, 0, "1"))) {
            List<Callable<Void>> all = new ArrayList<>();
            for (int t = 0; t < threads; t++) {
                int thread = t;
                all.add(() -> {
                    SplittableRandom random = new SplittableRandom(thread);
                    try (Client http = new Client(bound.fixture.clients);
                            Client faktory = Client.faktory(bound.fixture.faktory)) {
                        for (int i = 0; i < 2 * each; i++) {
                            boolean good = i % 2 == 0;
                            Generated.Asked asked = good ? generated.good(random) : generated.bad(random);
                            String id = (good ? "good-" : "bad-") + thread + "-" + i;
                            Map<String, String> headers = new java.util.TreeMap<>(asked.headers());
                            headers.put("X-Txn", id);
                            int status = http.post(asked.method(), asked.target(), headers, asked.body());
                            boolean taken = status == 200 || status == 503;
                            assertTrue(good ? taken : asked.statuses().contains(status), asked + ": " + status);
                            assertTrue(http.quiet(), "a second answer to " + asked);
                            String reply = faktory.push(generated.job(random, "job-" + id, good));
                            assertEquals(reply.equals("+OK") || reply.startsWith("-ERR refused"), good, reply);
                            assertTrue(faktory.quiet(), "a second reply to " + id);
                            (good ? letIn : turnedAway).addAndGet(2);
                            if (!good) {
                                bad.add(id);
                                bad.add("job-" + id);
                            }
                        }
                    }
                    return null;
                });
            }
            together(all);
            assertEquals(turnedAway.get(), 20_000);
            assertEquals(letIn.get(), 20_000);
            assertEquals(bound.runs.keySet().stream().filter(bad::contains).toList(), List.of());
            assertTrue(bound.runs.size() > letIn.get() / 2, bound.runs.size() + " jobs ran of " + letIn);
        }
    }

    /**
     * In A reading is to run once and the key is in a header, in B reading is safe and the key in the body.
     */
    private static String http(boolean a) {
        return """
            openapi: 3.1.0
            info: {title: t, version: '%s'}
            paths:
              /lectura:
                post:
                  x-gorserill-class: estado
                  x-gorserill-effect: %s
                  parameters: [{name: X-%s, in: header, required: true, schema: {type: string}}]
                  responses: {'200': {description: d, content: {application/json: {schema: {type: integer}}}}}
                  x-gorserill-answers: enforce
              /estado: {post: {x-gorserill-class: estado}}
              /alerta: {post: {x-gorserill-class: alerta}}
              /cierre:
                post:
                  x-gorserill-class: cierre
                  x-gorserill-key: %s
                  requestBody: {content: {application/json: {schema: {type: object}}}}
            """.formatted(
                        a ? "A" : "B",
                        a ? "once" : "safe",
                        a ? "A" : "B",
                        a ? "$request.header.Idempotency-Key" : "$request.body#/id");
    }

    private static String messages(boolean a) {
        return """
            asyncapi: 3.0.0
            info: {title: t, version: '%s'}
            channels:
              lectura: {address: lectura, x-gorserill-class: estado, x-gorserill-effect: %s,
                messages: {m: {headers: {type: object, required: [%s]}}}}
              alerta: {address: alerta, x-gorserill-class: alerta}
            operations:
              l: {action: receive, channel: {$ref: '#/channels/lectura'}}
              a: {action: receive, channel: {$ref: '#/channels/alerta'}}
            """.formatted(a ? "A" : "B", a ? "once" : "safe", a ? "a" : "b");
    }

    private static final String FORBIDDEN = """
        openapi: 3.1.0
        info: {title: t, version: F}
        paths: {/alerta: {post: {x-gorserill-class: alerta, x-gorserill-effect: safe}}}
        """;

    /** Resets, late and bad answers, and another contract all the while; what must run once runs once. */
    @Test
    public void nothingRunsTwiceThatMustNotWhileContractsChange() throws Exception {
        Map<String, Set<String>> keys = new ConcurrentHashMap<>();
        SplittableRandom faults = new SplittableRandom(11);
        Function<Job, Reaction> behaviour = job -> {
            if (job.key() != null) {
                keys.computeIfAbsent(job.id(), id -> ConcurrentHashMap.newKeySet())
                        .add(job.key());
            }
            int chance;
            synchronized (faults) {
                chance = faults.nextInt(10);
            }
            return chance < 2
                    ? new Reaction(Kind.RESET, 2, "")
                    : chance < 3
                            ? new Reaction(Kind.FAILED, 1, "")
                            : chance < 4
                                    ? new Reaction(Kind.LATE, 400, "1")
                                    : new Reaction(Kind.DONE, 1, chance < 5 ? "\"x\"" : "1");
        };
        AtomicInteger reloads = new AtomicInteger();
        LOG.setLevel(Level.OFF);
        AtomicBoolean ended = new AtomicBoolean();
        Map<Integer, AtomicInteger> statuses = new ConcurrentHashMap<>();
        try (Bound bound = new Bound(http(true), messages(true), 6, behaviour)) {
            List<Callable<Void>> clients = new ArrayList<>();
            for (int t = 0; t < 8; t++) {
                int thread = t;
                clients.add(() -> http(bound, thread, statuses));
                clients.add(() -> faktory(bound, thread));
            }
            Thread changer = new Thread(() -> {
                try {
                    for (int i = 0; !ended.get(); i++) {
                        bound.write(i % 5 == 4 ? FORBIDDEN : http(i % 2 == 1), messages(i % 2 == 1));
                        bound.node.reload();
                        reloads.incrementAndGet();
                        Thread.sleep(20);
                    }
                } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            changer.start();
            try {
                together(clients);
            } finally {
                ended.set(true);
                changer.join();
                LOG.setLevel(null);
            }
            List<String> twice = bound.runs.entrySet().stream()
                    .filter(run -> run.getValue() > 1 && run.getKey().startsWith("once"))
                    .map(Object::toString)
                    .toList();
            assertEquals(twice, List.of(), "ran more than once");
            assertTrue(bound.runs.entrySet().stream().anyMatch(run -> run.getValue() > 1), "nothing was repeated");
            assertTrue(bound.runs.keySet().stream().anyMatch(id -> id.startsWith("once-lectura")), "none under A");
            assertTrue(bound.runs.keySet().stream().anyMatch(id -> id.startsWith("safe-lectura")), "none under B");
            keys.forEach((id, all) -> assertEquals(all.size(), 1, id + " had the keys " + all));
            assertTrue(reloads.get() > 10, reloads + " reloads");
            assertTrue(
                    statuses.containsKey(200) && statuses.containsKey(500) && statuses.containsKey(422),
                    statuses.toString());
        }
    }

    private static Void http(Bound bound, int thread, Map<Integer, AtomicInteger> statuses) throws IOException {
        SplittableRandom random = new SplittableRandom(100 + thread);
        try (Client client = new Client(bound.fixture.clients)) {
            for (int i = 0; i < 100; i++) {
                String end = "-" + thread + "-" + i;
                boolean a = random.nextBoolean();
                Map<String, String> headers = new java.util.TreeMap<>(Map.of("X-Remaining-Ms", "250"));
                String path =
                        List.of("/estado", "/alerta", "/lectura", "/cierre").get(random.nextInt(4));
                String name = path.equals("/alerta")
                        ? "once-alerta"
                        : path.equals("/lectura")
                                ? (a ? "once" : "safe") + "-lectura"
                                : "safe" + path.replace('/', '-');
                headers.put("X-Txn", name + end);
                byte[] body = {};
                if (path.equals("/lectura")) {
                    headers.put(a ? "X-A" : "X-B", "1");
                } else if (path.equals("/cierre")) {
                    headers.put("Idempotency-Key", "header" + end);
                    headers.put("Content-Type", "application/json");
                    body = ("{\"id\":\"body" + end + "\"}").getBytes(StandardCharsets.UTF_8);
                }
                int status = client.post("POST", path, headers, body);
                statuses.computeIfAbsent(status, s -> new AtomicInteger()).incrementAndGet();
                assertTrue(Set.of(200, 422, 500, 503).contains(status), path + ": " + status);
                assertTrue(client.quiet(), "a second answer");
            }
        }
        return null;
    }

    private static Void faktory(Bound bound, int thread) throws IOException {
        SplittableRandom random = new SplittableRandom(200 + thread);
        try (Client client = Client.faktory(bound.fixture.faktory)) {
            for (int i = 0; i < 60; i++) {
                boolean alert = random.nextBoolean();
                boolean a = random.nextBoolean();
                String jid = (alert ? "once-alerta" : a ? "once-lectura" : "safe-lectura") + "-f-" + thread + "-" + i;
                String reply = client.push("{\"jid\":\"" + jid + "\",\"jobtype\":\"x\",\"queue\":\""
                        + (alert ? "alerta" : "lectura") + "\",\"args\":[],\"custom\":{\"remaining_ms\":250,\""
                        + (a ? "a" : "b") + "\":1}}");
                assertTrue(reply.equals("+OK") || reply.startsWith("-ERR "), reply);
                assertTrue(client.quiet(), "a second reply");
            }
        }
        return null;
    }
}
