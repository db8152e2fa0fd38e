import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** What the cases of this review share: nodes as processes, small stand-ins, and the record. */
final class Kit {
    /** False where TROUBLE=0: the same without the disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final int BROKEN = 10;
    private static final long MAX_MILLIS = 115_000;
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final long START = System.nanoTime();
    /** For ports alone. */
    private static final Random RANDOM = new Random();
    private static final List<NodeProcess> NODES = new ArrayList<>();
    private static PrintStream record;
    private static Path folder;

    private Kit() {}

    interface Case {
        /** Returns whether the rule held. */
        boolean run() throws Exception;
    }

    /** A case that could not run. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String why) {
            super(why);
        }
    }

    /**
     * Runs a case; its folder is the first argument. Exit status: 10 broken, 0 held, 2 could not run. Broken is not 1,
     * which a JVM that fails to start gives; run.sh makes it 1.
     */
    static void main(String[] args, Case body) throws IOException {
        record = new PrintStream(Files.newOutputStream(Path.of(args[0], "record.txt")), true, StandardCharsets.UTF_8);
        folder = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::cleanUp));
        Thread watchdog = new Thread(() -> {
            sleep(MAX_MILLIS);
            note("the case took too long");
            System.exit(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        note("TROUBLE=" + (TROUBLE ? 1 : 0));
        int status;
        try {
            status = body.run() ? 0 : BROKEN;
            note(status == 0 ? "the rule held" : "the rule was broken");
        } catch (Throwable e) {
            note("the case could not run: " + e);
            for (StackTraceElement at : e.getStackTrace()) {
                note("  at " + at);
            }
            status = 2;
        }
        System.exit(status);
    }

    private static void cleanUp() {
        NODES.forEach(NodeProcess::end);
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            // The folder is a temporary one.
        }
    }

    /** Writes a line to the record, with the seconds since the start of the case. */
    static synchronized void note(String line) {
        record.printf(Locale.ROOT, "%8.3f %s%n", millis() / 1e3, line);
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits for a condition; returns whether it came true in time. */
    static boolean await(long millis, BooleanSupplier condition) {
        long end = millis() + millis;
        while (!condition.getAsBoolean()) {
            if (millis() > end) {
                return false;
            }
            sleep(10);
        }
        return true;
    }

    static void require(boolean condition, String why) throws CannotRun {
        if (!condition) {
            throw new CannotRun(why);
        }
    }

    static void thread(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
    }

    static Path folder(String name) throws IOException {
        return Files.createDirectories(folder.resolve(name));
    }

    /**
     * A port that is free for TCP and UDP now. It lies below the usual range of outgoing connections, so that none
     * takes it before the node does.
     */
    static int freePort() throws IOException {
        for (int tries = 0; ; tries++) {
            int port = 20_000 + RANDOM.nextInt(12_000);
            try (ServerSocket tcp = new ServerSocket(port, 1, LOOPBACK);
                    DatagramSocket udp = new DatagramSocket(new InetSocketAddress(LOOPBACK, port))) {
                return port;
            } catch (IOException e) {
                if (tries == 50) {
                    throw e;
                }
            }
        }
    }

    // ---- the program ----

    /** A node, started with the deploy file's run line. */
    static final class NodeProcess {
        final String name;
        final int clients = freePort();
        final int operators = freePort();
        final int faktory = freePort();
        final int wire = freePort();
        final Path home;
        final Map<String, String> environment = new HashMap<>();
        final List<String> log = new ArrayList<>();
        Process process;

        NodeProcess(String name) throws IOException {
            this.name = name;
            home = folder(name);
            environment.put("NODE_CONFIG", home.resolve("node.json").toString());
            environment.put("TMPDIR", folder(name + "-tmp").toString());
        }

        void write(String file, String text) throws IOException {
            Files.writeString(home.resolve(file), text);
        }

        void start() throws IOException {
            String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                    .filter(text -> text.startsWith("run = "))
                    .findFirst()
                    .orElseThrow()
                    .replaceFirst("^run = \"", "")
                    .replaceFirst("\"[^\"]*$", "");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", line);
            builder.environment().putAll(environment);
            process = builder.redirectErrorStream(true).start();
            NODES.add(this);
            note(name + " is started, process " + process.pid());
            Process running = process;
            thread("log of " + name, () -> {
                try (BufferedReader lines =
                        new BufferedReader(new InputStreamReader(running.getInputStream(), StandardCharsets.UTF_8))) {
                    for (String text = lines.readLine(); text != null; text = lines.readLine()) {
                        synchronized (log) {
                            log.add(text);
                        }
                        note(name + " logs: " + text);
                    }
                } catch (IOException e) {
                    // The process has ended.
                }
            });
        }

        boolean logged(String part) {
            synchronized (log) {
                return log.stream().anyMatch(line -> line.contains(part));
            }
        }

        void awaitReady() throws CannotRun {
            require(await(30_000, () -> "ok".equals(call("readyz"))), name + " is not ready");
        }

        /** The first line of the answer at the second address; null where none came. */
        String call(String what) {
            String all = callAll(what);
            return all == null ? null : all.lines().findFirst().orElse(null);
        }

        String callAll(String what) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(LOOPBACK, operators), 1_000);
                socket.setSoTimeout(2_000);
                socket.getOutputStream().write((what + "\n").getBytes(StandardCharsets.UTF_8));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            } catch (IOException e) {
                return null;
            }
        }

        void signal(String which) throws IOException, InterruptedException {
            note(name + " gets SIG" + which);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + which + " " + process.pid())
                    .start()
                    .waitFor();
        }

        void end() {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /**
     * The configuration of a node, in the form of the deployment page, with the classes of the operators' site. Where
     * the scope of keys is "all" the aims are those of the project's demo, which has that scope.
     */
    static String nodeJson(NodeProcess node, int discovery, int zone, String scope, List<Worker> known) {
        return """
                {"name": "%s", "listen": "127.0.0.1:%d", "admin_addr": "127.0.0.1:%d",
                 "discovery": "127.0.0.1:%d", "seed": "8c1f30d27a5be964",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                 "known": {"index": 1, "snapshot": true, "endpoints": [%s]},
                 "settings": {
                  "instances": 3, "zone": %d, "areas": ["quito-norte", "guayaquil", "cuenca"], "shapes": ["std4", "lenta5"],
                  "caps": {"max_attempts": 5, "may_cancel": true, "retry_after": true, "max_retry_after_us": 2000000,
                           "connect_timeout_us": 250000, "conn_idle_us": 15000000, "second_copies": %s},
                  "prices": {"cross_zone": 0.1, "handshake": 0.02, "late_fail": 0.08, "probe": 0.0021, "waste": 0.25},
                  "obligations": {"cold_from": 0.13, "warm_up_us": 24000000, "fall_multiple": 4.0, "fall_us": 2000000,
                                  "ask_within_us": 10000000, "drain_grace_us": 500000, "grace_to_answer_us": 16000},
                  "registry_mode": "on_request", "report": {"how": "piggyback", "names": ["util", "eps", "x0"]},
                  "domain": {"report_x0": "free_slots", "tells_start": true, "class_stretch": [2.5, 2.0, 2.5, 2.0],
                             "class_kind": [-1, -1, -1, -1]},
                  "request_classes": [
                   {"name": "estado", "aim_us": 60000, "deadline_us": 5000000, "worth": 5.0, "effect": "read_like"},
                   {"name": "historial", "aim_us": %d, "deadline_us": 6000000, "worth": 2.0, "effect": "read_like"},
                   {"name": "alerta", "aim_us": %d, "deadline_us": 6000000, "worth": 5.0, "effect": "non_idempotent"},
                   {"name": "cierre", "aim_us": %d, "deadline_us": 6000000, "worth": 3.0, "effect": "idempotency_key",
                    "dedup_scope": "%s", "dedup_window_us": 10000000}]}}
                """
                .formatted(
                        node.name,
                        node.clients,
                        node.operators,
                        discovery,
                        endpoints(known),
                        zone,
                        scope.equals("zone"),
                        scope.equals("zone") ? 400_000 : 1_500_000,
                        scope.equals("zone") ? 150_000 : 1_500_000,
                        scope.equals("zone") ? 250_000 : 1_500_000,
                        scope);
    }

    private static String endpoints(List<Worker> workers) {
        List<String> entries = new ArrayList<>();
        for (Worker worker : workers) {
            entries.add(("{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"type\":\"std4\",\"group\":0,"
                            + "\"status\":\"in_service\",\"weight\":1.0,\"since_ms\":0}")
                    .formatted(worker.name, worker.port(), worker.zone));
        }
        return String.join(",", entries);
    }

    // ---- HTTP, as far as the stand-ins need it ----

    /** A message as read; the first line has method and target, or the status. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name);
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException();
            }
            out.write(b);
        }
        return out.toString(StandardCharsets.ISO_8859_1).strip();
    }

    static Message read(InputStream in) throws IOException {
        String first = line(in);
        Map<String, String> headers = new HashMap<>();
        for (String text = line(in); !text.isEmpty(); text = line(in)) {
            int colon = text.indexOf(':');
            headers.put(
                    text.substring(0, colon).toLowerCase(Locale.ROOT),
                    text.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Message(first, headers, body);
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    interface Handler {
        void handle(Message request, Socket connection) throws IOException;
    }

    /** A server on a loopback port, with a thread for each connection. */
    static class Server {
        final ServerSocket socket;

        Server(Handler handler) throws IOException {
            socket = new ServerSocket(0, 256, LOOPBACK);
            thread("server", () -> {
                while (true) {
                    try {
                        Socket connection = socket.accept();
                        connection.setTcpNoDelay(true);
                        thread("connection", () -> serve(connection, handler));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private static void serve(Socket connection, Handler handler) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                while (true) {
                    handler.handle(read(in), connection);
                }
            } catch (IOException e) {
                // The other side has ended the connection.
            }
        }

        int port() {
            return socket.getLocalPort();
        }
    }

    static void respond(Socket connection, String status, String body) throws IOException {
        connection
                .getOutputStream()
                .write(ascii("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
    }

    /** Discovery: the whole list at once, and a watch that has no news. */
    static Server discovery(List<Worker> workers) throws IOException {
        return new Server((request, connection) -> {
            boolean watch = request.target().contains("index=");
            if (watch) {
                sleep(Long.parseLong(request.target().replaceFirst(".*wait=", "").replaceFirst("\\D.*", "")));
            }
            respond(
                    connection,
                    "200 OK",
                    "{\"index\":2,\"snapshot\":" + !watch + ",\"endpoints\":[" + (watch ? "" : endpoints(workers))
                            + "]}");
        });
    }

    /** A job as a worker got it. */
    record Job(Worker worker, long at, Message request, int number) {
        String key() {
            return request.header("idempotency-key");
        }

        String id() {
            return request.header("x-txn");
        }
    }

    interface Work {
        /** Called at the job's last byte; returns how long it runs, in milliseconds. */
        long run(Job job);
    }

    /** An HTTP worker of the platform's protocol: tells the start, runs, and answers. */
    static final class Worker {
        final String name;
        final String zone;
        final List<Job> jobs = new ArrayList<>();
        private final Server server;

        Worker(String name, String zone, Work work) throws IOException {
            this.name = name;
            this.zone = zone;
            server = new Server((request, connection) -> {
                Job job;
                synchronized (jobs) {
                    job = new Job(this, millis(), request, jobs.size());
                    jobs.add(job);
                }
                note(name + " (" + zone + ") gets " + request.first() + " id=" + job.id() + " key=" + job.key() + " fence="
                        + request.header("x-fence") + " remaining=" + request.header("x-remaining-ms"));
                long runs = work.run(job);
                OutputStream out = connection.getOutputStream();
                out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                chunk(out, "{\"id\":\"" + job.id() + "\",\"from\":\"" + name + "\",\"state\":\"started\"}\n");
                sleep(runs);
                // What was begun is carried through, whether or not its node still listens.
                note(name + " (" + zone + ") has done id=" + job.id() + " key=" + job.key());
                chunk(
                        out,
                        "{\"id\":\"" + job.id() + "\",\"from\":\"" + name
                                + "\",\"state\":\"done\",\"result\":\"r\",\"load\":{\"util\":0.1,\"eps\":0,\"x0\":4}}\n");
                out.write(ascii("0\r\n\r\n"));
            });
        }

        int port() {
            return server.port();
        }

        List<Job> jobs() {
            synchronized (jobs) {
                return List.copyOf(jobs);
            }
        }

        private static void chunk(OutputStream out, String text) throws IOException {
            out.write(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        }
    }

    /** A client's connection to a node's HTTP front. */
    static final class Client implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket(LOOPBACK, port);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String method, String target, String id, String headers, byte[] body) throws IOException {
            byte[] head = ascii(method + " " + target + " HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id + "\r\n" + headers
                    + "Content-Length: " + body.length + "\r\n\r\n");
            byte[] all = new byte[head.length + body.length];
            System.arraycopy(head, 0, all, 0, head.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            socket.getOutputStream().write(all);
        }

        Message answer(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            return read(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A connection that speaks the Faktory work protocol, of a client (no wid) or a worker. */
    static final class Faktory implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;

        Faktory(int port, String wid) throws IOException {
            socket = new Socket(LOOPBACK, port);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 256);
            reply(5_000);
            command("HELLO {\"v\":2" + (wid == null ? "" : ",\"wid\":\"" + wid + "\",\"hostname\":\"h\",\"pid\":1") + "}");
            String answer = reply(5_000);
            if (!"OK".equals(answer)) {
                throw new IOException("HELLO: " + answer);
            }
        }

        void command(String text) throws IOException {
            socket.getOutputStream().write((text + "\r\n").getBytes(StandardCharsets.UTF_8));
        }

        /** The next reply: a line without its mark, the text of a bulk string, or null for a null reply. */
        String reply(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            String line = line(in);
            if (!line.startsWith("$")) {
                return line.startsWith("+") ? line.substring(1) : line;
            }
            int length = Integer.parseInt(line.substring(1));
            if (length < 0) {
                return null;
            }
            String text = new String(in.readNBytes(length), StandardCharsets.UTF_8);
            line(in);
            return text;
        }

        /** Ends the connection with a reset, as when the process or its machine dies. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** The text of a field of a JSON object, where it stands plainly. */
    static String field(String json, String name) {
        int at = json.indexOf("\"" + name + "\":\"");
        if (at < 0) {
            return null;
        }
        int from = at + name.length() + 4;
        return json.substring(from, json.indexOf('"', from));
    }

    // ---- a cluster ----

    /** The cluster's file of a node. */
    static String clusterJson(NodeProcess node, List<NodeProcess> all, String more) {
        List<String> members = new ArrayList<>();
        List<String> voters = new ArrayList<>();
        for (NodeProcess one : all) {
            members.add("\"" + one.name + "\": \"127.0.0.1:" + one.wire + "\"");
            voters.add("\"" + one.name + "\"");
        }
        return """
                {"enabled": true, "cluster": "fleet", "listen": "127.0.0.1:%d", "members": {%s}, "voters": [%s],
                 "store": "%s", "beat_ms": 200, "lease_ms": 3000, "drift_percent": 5%s}
                """
                .formatted(
                        node.wire,
                        String.join(", ", members),
                        String.join(", ", voters),
                        node.home.resolve("store"),
                        more);
    }

    /** The node that owns a piece, by what the nodes say of themselves; null if none does. */
    static NodeProcess owner(List<NodeProcess> nodes, String piece) {
        for (NodeProcess node : nodes) {
            String answer = node.process != null && node.process.isAlive() ? node.callAll("cluster") : null;
            if (answer != null && answer.lines().anyMatch(line -> line.startsWith("owns " + piece + " "))) {
                return node;
            }
        }
        return null;
    }
}
