package gorserill.program.drill;

import gorserill.program.demo.StandInDiscovery;
import gorserill.program.demo.StandInWorker;
import gorserill.program.demo.StandInWorker.Kind;
import gorserill.program.demo.StandInWorker.Reaction;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * One drill: processes of the program, links between them, faults from the seed, and an auditor. The standing
 * jobs are the fleet's work; clients press on meanwhile.
 */
public final class Drill {
    /** What can be done to the nodes and the links. */
    public enum Fault { LOSS, DELAY, TWICE, CUT, ONE_WAY, FLAP, STALL, KILL, RESTART_ALL, LEAVE }

    /**
     * What is asked for.
     *
     * @param plant the name of a fault in the nodes' own rules; empty for none
     * @param report a folder for the report and the nodes' files
     */
    public record Plan(String piece, int nodes, int seconds, long seed, Set<Fault> faults, String plant,
                       Path report) { }

    private static final List<String> JOBS = List.of("once-a", "once-b", "keyed-a", "keyed-b");
    private static final long EVERY = 400;
    private static final int WORKERS = 4;
    private static final long BEAT = 100;
    private static final long LEASE = 1_500;
    /** Without faults at the end, so that what was missed can be made up for; milliseconds. */
    private static final long CALM = 12_000;
    private static final int START = 20_000;

    private final Plan plan;
    private final PrintStream out;
    private final Audit audit = new Audit();
    private final SplittableRandom random;
    private final List<Node> nodes = new ArrayList<>();
    private Links links;
    private volatile boolean over;

    /** A node and its present process. */
    private final class Node {
        final int index;
        final String name;
        final int clients = free();
        final int wire = freeDatagram();
        final Path folder;
        Process process;
        int number;
        volatile long troubledUntil;

        Node(int index) throws IOException {
            this.index = index;
            name = "n" + index;
            folder = Files.createDirectories(plan.report.resolve(name));
        }

        /** Danger: started while an old process holds its store, a node would end at once. */
        void start() throws IOException {
            number++;
            int its = number;
            ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin/java")
                .toString(), "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx40m", "-cp",
                System.getProperty("java.class.path"), "gorserill.program.Main", "serve");
            builder.environment().putAll(java.util.Map.of("NODE_CONFIG",
                folder.resolve("node.json").toString(),
                "GORSERILL_CLUSTER", folder.resolve("cluster.json").toString(), "GORSERILL_FAKTORY", "none",
                "TMPDIR", folder.toString()));
            process = builder.redirectErrorStream(true).start();
            Process running = process;
            Thread reader = new Thread(() -> read(running, its), "log of " + name);
            reader.setDaemon(true);
            reader.start();
        }

        private void read(Process running, int its) {
            Path log = folder.resolve("log-" + its + ".txt");
            try (BufferedReader lines = new BufferedReader(new InputStreamReader(running.getInputStream(),
                StandardCharsets.UTF_8)); var to = Files.newBufferedWriter(log)) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    to.write(line + "\n");
                    to.flush();
                    audit.line(name, its, line);
                }
            } catch (IOException e) {
                // The process has ended.
            }
        }

        void signal(String which) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + which, Long.toString(process.pid())).start().waitFor();
        }

        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
        }

        /** Its clients may have to wait, or find nobody, until then. */
        void troubled(long millis) {
            troubledUntil = System.currentTimeMillis() + millis;
        }
    }

    private Drill(Plan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
        random = new SplittableRandom(plan.seed);
    }

    /** Runs it; gives whether nothing was violated. */
    public static boolean run(Plan plan, PrintStream out) throws IOException, InterruptedException {
        return new Drill(plan, out).run();
    }

    private static int free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static int freeDatagram() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private boolean run() throws IOException, InterruptedException {
        Files.createDirectories(plan.report);
        List<StandInWorker> workers = new ArrayList<>();
        try (StandInDiscovery discovery = new StandInDiscovery()) {
            for (int w = 0; w < WORKERS; w++) {
                String name = "w" + w;
                workers.add(new StandInWorker(name, new ConcurrentHashMap<>(), job -> {
                    audit.ran(name, job.id());
                    return new Reaction(Kind.DONE, 5 + Math.floorMod(job.id().hashCode(), 60), "1");
                }));
            }
            discovery.list(workers);
            for (int i = 0; i < plan.nodes; i++) {
                nodes.add(new Node(i));
            }
            links = new Links(nodes.stream().map(n ->
                new InetSocketAddress(InetAddress.getLoopbackAddress(), n.wire))
                .toList(), plan.seed);
            for (Node node : nodes) {
                write(node, discovery, workers);
                node.start();
            }
            awaitReady();
            out.println("drill: " + plan.nodes + " nodes are ready");
            play();
        } finally {
            over = true;
            for (Node node : nodes) {
                if (node.process != null) {
                    node.process.destroyForcibly();
                }
            }
            if (links != null) {
                links.close();
            }
            for (StandInWorker worker : workers) {
                worker.close();
            }
        }
        return tell();
    }

    private void write(Node node, StandInDiscovery discovery, List<StandInWorker> workers)
        throws IOException {
        try (InputStream text = Drill.class.getResourceAsStream("/gorserill/program/demo.json")) {
            Files.writeString(node.folder.resolve("node.json"), new String(text.readAllBytes(),
                StandardCharsets.UTF_8).replace("\"demo\"", "\"" + node.name + "\"")
                .replace("CLIENTS", "" + node.clients).replace("\"admin_addr\": \"127.0.0.1:OPERATORS\",", "")
                .replace("DISCOVERY", "" + discovery.address().getPort())
                .replace("\"instances\": 1", "\"instances\": " + plan.nodes)
                .replace("\"endpoints\": []", "\"endpoints\": [" + StandInDiscovery.entries(workers) + "]"));
        }
        StringBuilder members = new StringBuilder();
        StringBuilder voters = new StringBuilder();
        int voting = plan.nodes >= 5 ? 5 : plan.nodes >= 3 ? 3 : 1;
        for (Node other : nodes) {
            InetSocketAddress at = other == node ? new InetSocketAddress("127.0.0.1", node.wire)
                : links.relay(node.index, other.index);
            members.append(members.length() > 0 ? ", " : "").append('"').append(other.name)
                .append("\": \"127.0.0.1:").append(at.getPort()).append('"');
            if (other.index < voting) {
                voters.append(voters.length() > 0 ? ", " : "").append('"').append(other.name).append('"');
            }
        }
        StringBuilder jobs = new StringBuilder();
        for (String job : JOBS) {
            jobs.append(jobs.length() > 0 ? ", " : "").append('"').append(job).append("\": {\"class\": \"")
                .append(job.startsWith("once") ? "alerta" : "cierre").append("\", \"every_ms\": ")
                .append(EVERY)
                .append(", \"missed\": \"all\", \"body\": \"").append(job).append("\"}");
        }
        Files.writeString(node.folder.resolve("cluster.json"), """
            {"enabled": true, "cluster": "drill", "listen": "127.0.0.1:%d", "members": {%s}, "voters": [%s],
             "store": "%s", "beat_ms": %d, "lease_ms": %d, "plant": "%s", "standing": {%s}}
            """.formatted(node.wire, members, voters, node.folder, BEAT, LEASE, plan.plant, jobs));
    }

    private void awaitReady() throws IOException, InterruptedException {
        long until = System.currentTimeMillis() + START;
        for (Node node : nodes) {
            while (!answers(node)) {
                if (System.currentTimeMillis() > until || !node.process.isAlive()) {
                    throw new IOException(node.name + " did not become ready; its log is in " + node.folder);
                }
                Thread.sleep(50);
            }
        }
    }

    private boolean answers(Node node) {
        try {
            return http.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.clients
                + "/healthz")).timeout(Duration.ofSeconds(1)).build(), HttpResponse.BodyHandlers.ofString())
                .statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private final HttpClient http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

    private void play() throws IOException, InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (Node node : nodes) {
            Thread client = new Thread(() -> press(node), "client of " + node.name);
            client.setDaemon(true);
            client.start();
            clients.add(client);
        }
        long start = System.currentTimeMillis();
        long end = start + plan.seconds * 1_000L;
        long calm = end - Math.min(CALM, plan.seconds * 500L);
        long told = 0;
        long next = start + 2_000;
        while (System.currentTimeMillis() < end && audit.violation() == null) {
            long now = System.currentTimeMillis();
            if (now < calm && now >= next && !plan.faults.isEmpty()) {
                trouble(Math.max(300, calm - now));
                next = now + 400 + random.nextInt(2_500);
            }
            if (now >= calm && calm > 0) {
                calm = 0;
                links.whole();
                audit.event("drill", "no more faults");
            }
            if (now - told > 5_000) {
                told = now;
                out.println("drill: " + (now - start) / 1_000 + " s, " + audit.counts());
            }
            Thread.sleep(20);
        }
        audit.end(JOBS, end - 2 * LEASE, EVERY);
        over = true;
    }

    private void press(Node node) {
        for (int i = 0; !over; i++) {
            long asked = System.currentTimeMillis();
            audit.asked();
            try {
                http.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.clients + "/estado"))
                    .header("X-Txn", node.name + "-" + i + "-" + asked).timeout(Duration.ofSeconds(6))
                    .POST(HttpRequest.BodyPublishers.ofString("x")).build(),
                    HttpResponse.BodyHandlers.ofString());
                audit.answered();
                Thread.sleep(40);
            } catch (IOException e) {
                if (asked > node.troubledUntil && System.currentTimeMillis() > node.troubledUntil && !over
                    && node.process.isAlive()) {
                    audit.violated(node.name, "a client of " + node.name
                        + ", which lived and was left alone, got "
                        + "no answer: " + e);
                }
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- faults ----

    private void trouble(long left) throws IOException, InterruptedException {
        List<Fault> kinds = List.copyOf(plan.faults);
        Fault fault = kinds.get(random.nextInt(kinds.size()));
        Node node = nodes.get(random.nextInt(nodes.size()));
        long length = Math.min(left, 200 + random.nextInt(random.nextInt(6) == 0 ? 8_000 : 2_500));
        audit.fault(fault.name().toLowerCase(java.util.Locale.ROOT), node.name,
            fault + " for " + length + " ms");
        long until = System.currentTimeMillis() + length;
        switch (fault) {
            case LOSS -> links(node, way -> way.loss = 0.3, way -> way.loss = 0, length);
            case DELAY -> links(node, way -> way.delay = 800, way -> way.delay = 0, length);
            case TWICE -> links(node, way -> {
                way.twice = 0.5;
                way.delay = 300;
            }, way -> {
                way.twice = 0;
                way.delay = 0;
            }, length);
            case CUT -> links(node, way -> way.cutUntil = until, way -> { }, length);
            case ONE_WAY -> {
                for (Node other : nodes) {
                    if (other != node) {
                        links.way(other.index, node.index).cutUntil = until;
                    }
                }
            }
            case FLAP -> inBackground(() -> {
                for (long t = 0; t < length; t += 300) {
                    links(node, way -> way.cutUntil = System.currentTimeMillis() + 150, way -> { }, 0);
                    Thread.sleep(300);
                }
            });
            case STALL -> stall(node, length);
            case KILL -> kill(node, length);
            case RESTART_ALL -> {
                for (Node each : nodes) {
                    kill(each, random.nextInt(1_000));
                }
            }
            case LEAVE -> leave(node);
            default -> { }
        }
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private final Set<Node> busy = ConcurrentHashMap.newKeySet();

    private void inBackground(Step step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (IOException e) {
                audit.violated("drill", "a fault could not be brought about: " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "fault");
        thread.setDaemon(true);
        thread.start();
    }

    /** One thing at a time is done to a node's process. */
    private void toProcess(Node node, long troubled, Step step) {
        if (busy.add(node)) {
            node.troubled(troubled);
            inBackground(() -> {
                try {
                    step.run();
                } finally {
                    busy.remove(node);
                }
            });
        }
    }

    private void links(Node node, java.util.function.Consumer<Links.Way> harm,
                       java.util.function.Consumer<Links.Way> mend, long length) {
        for (Node other : nodes) {
            if (other != node) {
                harm.accept(links.way(node.index, other.index));
                harm.accept(links.way(other.index, node.index));
            }
        }
        if (length > 0) {
            inBackground(() -> {
                Thread.sleep(length);
                for (Node other : nodes) {
                    if (other != node) {
                        mend.accept(links.way(node.index, other.index));
                        mend.accept(links.way(other.index, node.index));
                    }
                }
            });
        }
    }

    private void stall(Node node, long length) {
        toProcess(node, length + 3_000, () -> {
            node.signal("STOP");
            Thread.sleep(length);
            node.signal("CONT");
        });
    }

    private void kill(Node node, long length) {
        toProcess(node, Long.MAX_VALUE / 2, () -> {
            node.kill();
            Thread.sleep(length);
            startAgain(node);
        });
    }

    /** Its clients are owed answers again once it says that it serves, which must not take for ever. */
    private void startAgain(Node node) throws IOException, InterruptedException {
        if (!over) {
            node.start();
            long until = System.currentTimeMillis() + START;
            while (!over && !answers(node)) {
                if (System.currentTimeMillis() > until) {
                    audit.violated(node.name, node.name + " did not serve within " + START
                        + " ms of its start");
                    return;
                }
                Thread.sleep(50);
            }
            node.troubledUntil = System.currentTimeMillis() + 500;
        }
    }

    /** A planned end and a new start, as an upgrade has it. */
    private void leave(Node node) {
        toProcess(node, Long.MAX_VALUE / 2, () -> {
            node.signal("TERM");
            if (!node.process.waitFor(12, TimeUnit.SECONDS)) {
                audit.violated(node.name, node.name + " did not end within 12 s of SIGTERM");
            } else {
                startAgain(node);
            }
        });
    }

    private boolean tell() throws IOException {
        String violation = audit.violation();
        Report.write(plan, audit, links);
        if (violation != null) {
            audit.history().stream().skip(Math.max(0, audit.history().size() - 60)).forEach(e ->
                out.println(e.at() + " ms " + e.where() + ": " + e.what()));
        }
        out.println("report: " + plan.report.resolve("report.html"));
        out.println("drill " + plan.piece + " seed " + plan.seed + ": "
            + (violation == null ? "ok" : "violated: " + violation) + " (" + audit.counts() + ", "
            + links.passed.get() + " messages, " + links.lost.get() + " lost)");
        return violation == null;
    }
}
