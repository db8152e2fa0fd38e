package gorserill.program.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorserill.program.demo.FakeAddressRegistry;
import gorserill.program.demo.FakeDiscovery;
import gorserill.program.demo.FakeHttpWorker;
import gorserill.program.demo.FakeHttpWorker.Kind;
import gorserill.program.demo.FakeHttpWorker.Reaction;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One drill: processes of the program, links between them, faults from the seed, and an auditor. The standing
 * jobs are the fleet's work; clients press on meanwhile.
 */
public final class Drill {
    /** What can be done to the nodes and the links. */
    public enum Fault {
        LOSS,
        DELAY,
        TWICE,
        CUT,
        ONE_WAY,
        LINK,
        FLAP,
        STALL,
        KILL,
        RESTART_ALL,
        /** A planned end, asked for first, and a new start. */
        LEAVE,
        /** A voter comes back with an empty disk, and is replaced by command. */
        LOSE_VOTER,
        /** A voter's store has no room any more, and then has. */
        DISK,
        /** A node's clock goes faster or slower than the others'. */
        CLOCK,
        /** A node's file has a wrong address for another, which SIGHUP brings in, and then the right one. */
        MISROUTE,
        /** All workers but one reset what comes to them. */
        SICK
    }

    /**
     * What is asked for.
     *
     * @param plant the name of a fault in the nodes' own rules; empty for none
     * @param report a folder for the report and the nodes' files
     */
    public record Plan(String piece, int nodes, int seconds, long seed, Set<Fault> faults, String plant, Path report) {}

    private static final List<String> JOBS = List.of("once-a", "once-b", "keyed-a", "keyed-b");
    private static final long EVERY = 400;
    private static final int WORKERS = 4;
    private static final long BEAT = 100;
    private static final long LEASE = 1_500;
    /** Without faults at the end, so that what was missed can be made up for; milliseconds. */
    private static final long CALM = 12_000;

    private static final int START = 20_000;
    private static final long CATCHING_UP = 20_000;
    private static final long BUSIEST = 9_000;
    private static final int CROWD = 3;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Plan plan;
    private final PrintStream out;
    private final Audit audit = new Audit();
    private final SplittableRandom random;
    private final List<NodeProcess> nodes = new ArrayList<>();
    private Links links;
    private FakeAddressRegistry registry;
    private String last = "";
    private volatile long sickUntil;
    private final AtomicInteger outByPermit = new AtomicInteger();
    private final AtomicBoolean losing = new AtomicBoolean();
    private volatile boolean over;

    private Drill(Plan plan, PrintStream out) {
        this.plan = plan;
        this.out = out;
        random = new SplittableRandom(plan.seed);
    }

    /** What came of a drill, and its figures. */
    record Result(boolean ok, String last, Audit audit) {}

    static Result result(Plan plan, PrintStream out) throws IOException, InterruptedException {
        Drill drill = new Drill(plan, out);
        boolean ok = drill.run();
        return new Result(ok, drill.last, drill.audit);
    }

    /** Runs it; gives whether nothing was violated. */
    public static boolean run(Plan plan, PrintStream out) throws IOException, InterruptedException {
        return new Drill(plan, out).run();
    }

    private boolean run() throws IOException, InterruptedException {
        Files.createDirectories(plan.report);
        List<FakeHttpWorker> workers = new ArrayList<>();
        try (FakeDiscovery discovery = new FakeDiscovery();
                FakeAddressRegistry entry = new FakeAddressRegistry(audit::announced)) {
            registry = entry;
            audit.bounds(plan.piece.equals("budgets") ? plan.nodes : 0);
            for (int w = 0; w < WORKERS; w++) {
                String name = "w" + w;
                workers.add(new FakeHttpWorker(name, new ConcurrentHashMap<>(), job -> {
                    audit.ran(name, job.id(), job.fence());
                    if (job.lane().equals("estado") && !name.equals("w0") && System.currentTimeMillis() < sickUntil) {
                        return new Reaction(Kind.RESET, 3, null);
                    }
                    return new Reaction(Kind.DONE, 5 + Math.floorMod(job.id().hashCode(), 60), "1");
                }));
            }
            discovery.setWorkers(workers);
            for (int i = 0; i < plan.nodes; i++) {
                nodes.add(new NodeProcess(i, plan.report, audit));
            }
            links = new Links(
                    nodes.stream()
                            .map(n -> new InetSocketAddress(InetAddress.getLoopbackAddress(), n.wire))
                            .toList(),
                    plan.seed);
            for (NodeProcess node : nodes) {
                write(node, discovery, workers);
                node.start();
            }
            awaitReady();
            out.println("drill: " + plan.nodes + " nodes are ready");
            play();
        } finally {
            over = true;
            audit.used(nodes, plan.seconds);
            audit.spent(plan.piece.equals("budgets"), plan.seconds);
            audit.attempts(plan.piece.equals("storm"));
            nodes.forEach(NodeProcess::end);
            if (links != null) {
                links.close();
            }
            for (FakeHttpWorker worker : workers) {
                worker.close();
            }
        }
        return tell();
    }

    private void write(NodeProcess node, FakeDiscovery discovery, List<FakeHttpWorker> workers) throws IOException {
        try (InputStream text = Drill.class.getResourceAsStream("/gorserill/program/demo.json")) {
            Files.writeString(
                    node.folder.resolve("node.json"),
                    new String(text.readAllBytes(), StandardCharsets.UTF_8)
                            .replace("\"demo\"", "\"" + node.name + "\"")
                            .replace("CLIENTS", "" + node.clients)
                            .replace("OPERATORS", "" + node.operators)
                            .replace("DISCOVERY", "" + discovery.address().getPort())
                            .replace("\"instances\": 1", "\"instances\": " + plan.nodes)
                            .replace(
                                    "\"endpoints\": []",
                                    "\"endpoints\": [" + FakeDiscovery.endpointEntries(workers) + "]"));
        }
        StringBuilder members = new StringBuilder();
        StringBuilder voters = new StringBuilder();
        int voting = voting();
        for (NodeProcess other : nodes) {
            InetSocketAddress at = other == node
                    ? new InetSocketAddress("127.0.0.1", node.wire)
                    : links.relay(node.index, other.index);
            members.append(members.length() > 0 ? ", " : "")
                    .append('"')
                    .append(other.name)
                    .append("\": \"127.0.0.1:")
                    .append(at.getPort())
                    .append('"');
            if (other.index < voting) {
                voters.append(voters.length() > 0 ? ", " : "")
                        .append('"')
                        .append(other.name)
                        .append('"');
            }
        }
        StringBuilder jobs = new StringBuilder();
        for (String job : JOBS) {
            jobs.append(jobs.length() > 0 ? ", " : "")
                    .append('"')
                    .append(job)
                    .append("\": {\"class\": \"")
                    .append(job.startsWith("once") ? "alerta" : "cierre")
                    .append("\", \"every_ms\": ")
                    .append(EVERY)
                    .append(", \"missed\": \"all\", \"body\": \"")
                    .append(job)
                    .append("\"}");
        }
        String budgets = !plan.piece.equals("budgets") ? "" : """
            "budgets": {"estado": {"class": "estado", "per_s": %d, "burst": %d, "nodes": %d}},
            """.formatted(Audit.RATE, Audit.BURST, plan.nodes);
        budgets += plan.piece.equals("storm")
                ? "\"retries\": {\"percent\": %d, \"saved\": 20},\n".formatted(Audit.AGAIN_PERCENT)
                : "";
        String address = !plan.piece.equals("address")
                ? ""
                : """
            "address": {"registry": "http://127.0.0.1:%d/entry", "value": "127.0.0.1:%d", "refresh_ms": 300},
            """.formatted(registry.address().getPort(), node.clients);
        Files.writeString(node.folder.resolve("cluster.json"), """
            {"enabled": true, "cluster": "drill", "listen": "127.0.0.1:%d", "members": {%s}, "voters": [%s],
             "store": "%s", "beat_ms": %d, "lease_ms": %d, "plant": "%s", "out_at_once": 1, %s
             "standing": {%s}, "store_kb": 65536, "clock_percent": 100}
            """.formatted(
                        node.wire, members, voters, node.folder, BEAT, LEASE, plan.plant, address + budgets, jobs));
    }

    /** Changes a figure of a node's file, which holds from its next start on. */
    private static void set(NodeProcess node, String key, long value) throws IOException {
        Path file = node.folder.resolve("cluster.json");
        Files.writeString(
                file, Files.readString(file).replaceAll("\"" + key + "\": \\d+", "\"" + key + "\": " + value));
    }

    private void awaitReady() throws IOException, InterruptedException {
        long until = System.currentTimeMillis() + START;
        for (NodeProcess node : nodes) {
            while (!answers(node) || plan.piece.equals("address") && registry.announcedAddress() == null) {
                if (System.currentTimeMillis() > until || !node.process.isAlive()) {
                    throw new IOException(node.name + " did not become ready; its log is in " + node.folder);
                }
                Thread.sleep(50);
            }
        }
    }

    private boolean answers(NodeProcess node) {
        try {
            return http.send(
                                    HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.clients + "/healthz"))
                                            .timeout(Duration.ofSeconds(1))
                                            .build(),
                                    HttpResponse.BodyHandlers.ofString())
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

    private void play() throws IOException, InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < nodes.size() * (crowded() ? CROWD : 1); i++) {
            NodeProcess node = nodes.get(i % nodes.size());
            String its = node.name + "-" + i;
            Thread client = new Thread(() -> press(node, its), "client of " + node.name);
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
        // What was missed may still be made up for, one after another: waited for, but not for ever.
        long until = System.currentTimeMillis() + CATCHING_UP;
        while (!audit.madeUp(JOBS, end - 2 * LEASE, EVERY)
                && System.currentTimeMillis() < until
                && audit.violation() == null) {
            Thread.sleep(100);
        }
        audit.end(
                JOBS,
                end - 2 * LEASE,
                EVERY,
                nodes.stream()
                        .collect(java.util.stream.Collectors.toMap(
                                node -> "127.0.0.1:" + node.clients, node -> node.name)));
        over = true;
    }

    private void press(NodeProcess node, String client) {
        boolean byProxy = plan.piece.equals("address");
        for (int i = 0; !over; i++) {
            long asked = System.currentTimeMillis();
            audit.asked();
            try {
                int status = http.send(
                                HttpRequest.newBuilder(URI.create("http://127.0.0.1:"
                                                + (byProxy
                                                        ? registry.proxyAddress()
                                                                .getPort()
                                                        : node.clients) + "/estado"))
                                        .header("X-Txn", client + "-" + i + "-" + asked)
                                        .timeout(Duration.ofSeconds(6))
                                        .POST(HttpRequest.BodyPublishers.ofString("x"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString())
                        .statusCode();
                audit.answered(status == 200);
                Thread.sleep(pause(node));
            } catch (IOException e) {
                if (byProxy
                        && !over
                        && registry.announcedAddress() != null
                        && Set.of(Fault.LEAVE).containsAll(plan.faults)) {
                    audit.violated(
                            "address",
                            "a client who came by the service address got no answer, though "
                                    + "all ends were planned: " + e);
                } else if (!byProxy
                        && asked > node.troubledUntil
                        && System.currentTimeMillis() > node.troubledUntil
                        && !over
                        && node.alive()) {
                    audit.violated(
                            node.name,
                            "a client of " + node.name + ", which lived and was left alone, got " + "no answer: " + e);
                }
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean crowded() {
        return plan.piece.equals("budgets") || plan.piece.equals("storm");
    }

    /** Where budgets are drilled, each node is the busiest for a while, and then all are. */
    private long pause(NodeProcess node) {
        long turn = System.currentTimeMillis() / BUSIEST;
        return !crowded() ? 40 : turn % 2 == 0 || turn / 2 % plan.nodes == node.index ? 2 : 100;
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
        NodeProcess node = nodes.get(random.nextInt(nodes.size()));
        long length = Math.min(left, 200 + random.nextInt(random.nextInt(6) == 0 ? 8_000 : 2_500));
        audit.fault(fault.name().toLowerCase(java.util.Locale.ROOT), node.name, fault + " for " + length + " ms");
        long until = System.currentTimeMillis() + length;
        switch (fault) {
            case LOSS -> links(node, way -> way.loss = 0.3, way -> way.loss = 0, length);
            case DELAY -> links(node, way -> way.delay = 800, way -> way.delay = 0, length);
            case TWICE ->
                links(
                        node,
                        way -> {
                            way.twice = 0.5;
                            way.delay = 300;
                        },
                        way -> {
                            way.twice = 0;
                            way.delay = 0;
                        },
                        length);
            case CUT -> links(node, way -> way.cutUntil = until, way -> {}, length);
            case ONE_WAY -> {
                for (NodeProcess other : nodes) {
                    if (other != node) {
                        links.way(other.index, node.index).cutUntil = until;
                    }
                }
            }
            case FLAP ->
                inBackground(() -> {
                    for (long t = 0; t < length; t += 300) {
                        links(node, way -> way.cutUntil = System.currentTimeMillis() + 150, way -> {}, 0);
                        Thread.sleep(300);
                    }
                });
            case LINK -> {
                NodeProcess other = nodes.get((node.index + 1 + random.nextInt(nodes.size())) % nodes.size());
                if (other != node) {
                    links.way(node.index, other.index).cutUntil = until;
                    links.way(other.index, node.index).cutUntil = until;
                }
            }
            case STALL -> stall(node, length);
            case SICK -> {
                sickUntil = until;
                audit.sick(audit.now() + length);
            }
            case MISROUTE -> misroute(node, nodes.get((node.index + 1) % nodes.size()), length);
            case LOSE_VOTER -> loseVoter(node);
            case DISK -> again(node, length, "store_kb", Math.max(16, size(node) / 1_024 + 8), 65_536);
            case CLOCK -> again(node, length, "clock_percent", random.nextBoolean() ? 98 : 102, 100);
            case KILL -> kill(node, length);
            case RESTART_ALL -> {
                for (NodeProcess each : nodes) {
                    kill(each, random.nextInt(1_000));
                }
            }
            case LEAVE -> leave(node);
            default -> {}
        }
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private final Set<NodeProcess> busy = ConcurrentHashMap.newKeySet();

    private void inBackground(Step step) {
        Thread thread = new Thread(
                () -> {
                    try {
                        step.run();
                    } catch (IOException e) {
                        audit.violated("drill", "a fault could not be brought about: " + e);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "fault");
        thread.setDaemon(true);
        thread.start();
    }

    /** One thing at a time is done to a node's process. */
    private boolean toProcess(NodeProcess node, long troubled, Step step) {
        boolean free = busy.add(node);
        if (free) {
            node.troubled(troubled);
            inBackground(() -> {
                try {
                    step.run();
                } finally {
                    busy.remove(node);
                }
            });
        }
        return free;
    }

    private void links(
            NodeProcess node,
            java.util.function.Consumer<Links.Way> harm,
            java.util.function.Consumer<Links.Way> mend,
            long length) {
        for (NodeProcess other : nodes) {
            if (other != node) {
                harm.accept(links.way(node.index, other.index));
                harm.accept(links.way(other.index, node.index));
            }
        }
        if (length > 0) {
            inBackground(() -> {
                Thread.sleep(length);
                for (NodeProcess other : nodes) {
                    if (other != node) {
                        mend.accept(links.way(node.index, other.index));
                        mend.accept(links.way(other.index, node.index));
                    }
                }
            });
        }
    }

    private void stall(NodeProcess node, long length) {
        toProcess(node, length + 3_000, () -> {
            node.signal("STOP");
            Thread.sleep(length);
            node.signal("CONT");
        });
    }

    private void kill(NodeProcess node, long length) {
        toProcess(node, Long.MAX_VALUE / 2, () -> {
            node.kill();
            Thread.sleep(length);
            startAgain(node);
        });
    }

    /** Its clients are owed answers again once it says that it serves, which must not take for ever. */
    private void startAgain(NodeProcess node) throws IOException, InterruptedException {
        if (!over) {
            node.start();
            long until = System.currentTimeMillis() + START;
            while (!over && !answers(node)) {
                if (System.currentTimeMillis() > until) {
                    audit.violated(node.name, node.name + " did not serve within " + START + " ms of its start");
                    return;
                }
                Thread.sleep(50);
            }
            node.troubledUntil = System.currentTimeMillis() + 500;
        }
    }

    /** A planned end and a new start, as an upgrade has it: only one at a time is let go. */
    private void leave(NodeProcess node) {
        toProcess(node, 0, () -> {
            String answer = node.call("cluster permit");
            if (!"ok".equals(answer)) {
                audit.event(node.name, "may not leave: " + answer);
                return;
            }
            node.troubled(Long.MAX_VALUE / 2);
            if (outByPermit.incrementAndGet() > 1) {
                audit.violated(node.name, node.name + " was let go while another was out by permit");
            }
            audit.byPlan(node.name);
            node.signal("TERM");
            if (!node.process.waitFor(12, TimeUnit.SECONDS)) {
                audit.violated(node.name, node.name + " did not end within 12 s of SIGTERM");
                return;
            }
            outByPermit.decrementAndGet();
            startAgain(node);
        });
    }

    /**
     * Its disk is gone; an operator has it replaced by itself, and nothing more is lost until that is done.
     */
    private void loseVoter(NodeProcess node) {
        String before = votesAs(node);
        if (before == null || !losing.compareAndSet(false, true)) {
            return;
        }
        boolean begun = toProcess(node, Long.MAX_VALUE / 2, () -> {
            node.kill();
            Files.deleteIfExists(store(node));
            startAgain(node);
            inBackground(() -> replace(node, before));
        });
        if (!begun) {
            losing.set(false);
        }
    }

    private void replace(NodeProcess node, String before) throws InterruptedException {
        for (String now = votesAs(node); !over && (now == null || now.equals(before)); now = votesAs(node)) {
            String own = node.call("cluster");
            if (own != null && own.contains("it_must_be_replaced")) {
                NodeProcess asked = nodes.get((node.index + 1) % nodes.size());
                audit.event(
                        asked.name,
                        "replace-voter " + node.name + ": "
                                + asked.call("cluster replace-voter " + node.name + " " + node.name));
            }
            Thread.sleep(500);
        }
        audit.event("drill", node.name + " votes again");
        losing.set(false);
    }

    /** The name that a node votes under, by the leader's word; null where not all voters are whole. */
    private String votesAs(NodeProcess node) {
        for (NodeProcess each : nodes) {
            String text = each.call("cluster members json");
            try {
                JsonNode rows = text == null || text.startsWith("fail")
                        ? null
                        : JSON.readTree(text).path("voter");
                if (rows != null && rows.size() == voting() && !rows.get(0).has("as_of")) {
                    String found = null;
                    for (JsonNode row : rows) {
                        String name = row.path("name").asText();
                        if (!row.path("votes").asBoolean()) {
                            return null;
                        } else if (name.equals(node.name) || name.startsWith(node.name + "#")) {
                            found = name;
                        }
                    }
                    return found;
                }
            } catch (IOException e) {
                audit.violated(each.name, each.name + " tells of its members what is no JSON: " + text);
            }
        }
        return null;
    }

    private Path store(NodeProcess node) throws IOException {
        try (var files = Files.list(node.folder)) {
            return files.filter(f -> f.getFileName().toString().startsWith("voter-"))
                    .findFirst()
                    .orElse(node.folder.resolve("voter-none"));
        }
    }

    private long size(NodeProcess node) throws IOException {
        Path store = store(node);
        return Files.exists(store) ? Files.size(store) : 0;
    }

    private void misroute(NodeProcess node, NodeProcess other, long length) {
        toProcess(node, 0, () -> {
            Path file = node.folder.resolve("cluster.json");
            String right = Files.readString(file);
            Files.writeString(
                    file,
                    right.replaceAll(
                            "\"" + other.name + "\": \"127.0.0.1:\\d+", "\"" + other.name + "\": \"127.0.0.1:9"));
            node.signal("HUP");
            Thread.sleep(length);
            Files.writeString(file, right);
            node.signal("HUP");
        });
    }

    /** Started anew with another figure in its file, and after a while with the first one. */
    private void again(NodeProcess node, long length, String key, long value, long otherwise) {
        toProcess(node, Long.MAX_VALUE / 2, () -> {
            set(node, key, value);
            node.kill();
            startAgain(node);
            Thread.sleep(length);
            node.troubled(Long.MAX_VALUE / 2);
            set(node, key, otherwise);
            node.kill();
            startAgain(node);
        });
    }

    private int voting() {
        return plan.nodes >= 5 ? 5 : plan.nodes >= 3 ? 3 : 1;
    }

    private boolean tell() throws IOException {
        String violation = audit.violation();
        Report.write(plan, audit, links);
        if (violation != null) {
            audit.history().stream()
                    .skip(Math.max(0, audit.history().size() - 60))
                    .forEach(e -> out.println(e.at() + " ms " + e.where() + ": " + e.what()));
        }
        out.println("report: " + plan.report.resolve("report.html"));
        last = "drill " + plan.piece + " seed " + plan.seed + ": "
                + (violation == null ? "ok" : "violated: " + violation) + " (" + audit.counts() + ", "
                + links.passed.get() + " messages, " + links.lost.get() + " lost)";
        out.println(last);
        return violation == null;
    }
}
