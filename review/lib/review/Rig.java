package review;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What every case needs: the record, ports, a temporary folder, and node processes started by the deploy file. */
final class Rig implements Closeable {
    /** The case could not run; exit status 2. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String why) {
            super(why);
        }
    }

    /** The body of a case. */
    interface Case {
        /** @return whether the rule held */
        boolean run(Rig rig) throws Exception;
    }

    /** Limit on a whole case, in milliseconds; the processes are ended then. */
    private static final long TIME_LIMIT_MS = 115_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Path.of("").toAbsolutePath();
    final Path folder;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Node> nodes = new ArrayList<>();
    private final List<Closeable> parts = new ArrayList<>();
    private static final Set<Integer> PORTS = new HashSet<>();

    private Rig(Path caseFolder) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
    }

    /** Runs a case and exits: 0 the rule held, 1 it was broken, 2 the case could not run. */
    static void main(String caseFolder, Case body) {
        int status = 2;
        Rig rig = null;
        try {
            rig = new Rig(Path.of(caseFolder));
            Rig used = rig;
            Runtime.getRuntime().addShutdownHook(new Thread(used::close));
            Thread guard = new Thread(() -> {
                sleep(TIME_LIMIT_MS);
                used.log("time limit: the case could not run");
                used.close();
                Runtime.getRuntime().halt(2);
            });
            guard.setDaemon(true);
            guard.start();
            rig.log("trouble " + (rig.trouble ? "on" : "off"));
            boolean held = body.run(rig);
            rig.log(held ? "the rule held" : "the rule was broken");
            status = held ? 0 : 1;
        } catch (CannotRun e) {
            rig.log("could not run: " + e.getMessage());
        } catch (Exception | LinkageError | OutOfMemoryError e) {
            e.printStackTrace();
            if (rig != null) {
                rig.log("could not run: " + e);
            }
        }
        if (rig != null) {
            rig.close();
        }
        Runtime.getRuntime().halt(status);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    void log(String line) {
        String text = String.format("%6d %s", now(), line);
        synchronized (record) {
            record.println(text);
            System.out.println(text);
        }
    }

    /** A line for the record alone. */
    void note(String line) {
        synchronized (record) {
            record.printf("%6d %s%n", now(), line);
        }
    }

    <T extends Closeable> T keep(T part) {
        parts.add(part);
        return part;
    }

    /** A port that is free for TCP and UDP at present and that this case has not used. */
    static synchronized int port() throws IOException {
        while (true) {
            try (ServerSocket tcp = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                int port = tcp.getLocalPort();
                try (DatagramSocket udp = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                    if (udp.isBound() && PORTS.add(port)) {
                        return port;
                    }
                } catch (IOException e) {
                    // Taken for UDP; another one is tried.
                }
            }
        }
    }

    /** The command line of a real node, from the deploy file. */
    String runLine() throws IOException, CannotRun {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find() || !Files.exists(root.resolve("target/gorserill.jar"))) {
            throw new CannotRun("no run line in the deploy file, or the build is missing");
        }
        return run.group(1);
    }

    /** A node of the deployment and its present process. */
    final class Node {
        final String name;
        final int clients;
        final int operators;
        final int wire;
        final Path home;
        final Map<String, String> environment = new TreeMap<>();
        private Process process;
        private int lives;

        Node(String name) throws IOException {
            this.name = name;
            clients = port();
            operators = port();
            wire = port();
            home = Files.createDirectories(folder.resolve(name));
            Files.createDirectories(home.resolve("tmp"));
            environment.put("NODE_CONFIG", home.resolve("node.json").toString());
            environment.put("NODE_NAME", name);
            environment.put("GORSERILL_FAKTORY", home.resolve("faktory.json").toString());
            environment.put("GORSERILL_CLUSTER", home.resolve("cluster.json").toString());
            environment.put("TMPDIR", home.resolve("tmp").toString());
            nodes.add(this);
        }

        void write(String file, String text) throws IOException {
            Files.writeString(home.resolve(file), text);
        }

        void start() throws IOException, CannotRun {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine());
            builder.directory(root.toFile());
            builder.environment().keySet().removeIf(key -> key.startsWith("NODE_") || key.startsWith("GORSERILL_"));
            builder.environment().putAll(environment);
            builder.redirectErrorStream(true).redirectOutput(home.resolve("log-" + ++lives + ".txt").toFile());
            process = builder.start();
            log(name + " started, process " + process.pid());
        }

        void signal(String which) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + which, Long.toString(process.pid())).start().waitFor();
            log(name + " gets SIG" + which);
        }

        /** Waits for the end of the process; whether it ended. */
        boolean awaitEnd(long ms) throws InterruptedException {
            boolean ended = process.waitFor(ms, TimeUnit.MILLISECONDS);
            if (ended) {
                log(name + " ended with status " + process.exitValue());
            }
            return ended;
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        int status() {
            return process.exitValue();
        }

        /** What the second address answers to a call; empty where nothing came. */
        String call(String what) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), operators), 1_000);
                socket.setSoTimeout(2_000);
                socket.getOutputStream().write((what + "\n").getBytes(StandardCharsets.UTF_8));
                return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            } catch (IOException e) {
                return "";
            }
        }

        void awaitReady(long ms) throws CannotRun {
            long end = now() + ms;
            while (!call("readyz").startsWith("ok")) {
                if (now() > end || !alive()) {
                    throw new CannotRun(name + " is not ready; its log ends so: " + tail());
                }
                sleep(50);
            }
            log(name + " is ready");
        }

        /** Whether this node says that it owns a piece. */
        boolean owns(String piece) {
            return call("cluster").lines().anyMatch(line -> line.startsWith("owns " + piece + " "));
        }

        String tail() {
            try (BufferedReader reader = new BufferedReader(new InputStreamReader(
                    Files.newInputStream(home.resolve("log-" + lives + ".txt")), StandardCharsets.UTF_8))) {
                List<String> lines = reader.lines().toList();
                return String.join(" | ", lines.subList(Math.max(0, lines.size() - 4), lines.size()));
            } catch (IOException e) {
                return "none";
            }
        }

        /** The lines of the log that hold a text, for the record; nothing is judged by them. */
        void noteLog(String... texts) {
            for (int life = 1; life <= lives; life++) {
                try (Stream<String> lines = Files.lines(home.resolve("log-" + life + ".txt"))) {
                    lines.filter(line -> Stream.of(texts).anyMatch(line::contains))
                            .forEach(line -> note("log of " + name + ": " + line));
                } catch (IOException e) {
                    note("no log of " + name);
                }
            }
        }
    }

    /** The node that says that it owns a piece; null after a while without one. */
    Node owner(List<Node> all, String piece, long ms) {
        long end = now() + ms;
        while (now() < end) {
            for (Node node : all) {
                if (node.alive() && node.owns(piece)) {
                    return node;
                }
            }
            sleep(50);
        }
        return null;
    }

    @Override
    public synchronized void close() {
        for (Node node : nodes) {
            if (node.alive()) {
                node.process.destroyForcibly();
            }
        }
        for (Node node : nodes) {
            try {
                if (node.process != null) {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        nodes.clear();
        for (Closeable part : parts) {
            try {
                part.close();
            } catch (IOException e) {
                // It is closed either way.
            }
        }
        parts.clear();
        if ("1".equals(System.getenv("KEEP"))) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The folder is a temporary one.
        }
    }
}
