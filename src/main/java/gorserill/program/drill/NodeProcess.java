package gorserill.program.drill;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** A node and its present process, which is a real one of the program. */
final class NodeProcess {
    private static final int CALL = 2_000;

    final int index;
    final String name;
    final int clients = Ports.next();
    final int operators = Ports.next();
    final int wire = Ports.next();
    final Path folder;
    private final Audit audit;
    Process process;
    private int number;
    /** Its clients may have to wait, or find nobody, until then. */
    volatile long troubledUntil;
    /** It ended by plan last, and not by a fault. */
    volatile boolean byPlan;

    NodeProcess(int index, Path report, Audit audit) throws IOException {
        this.index = index;
        this.audit = audit;
        name = "n" + index;
        folder = Files.createDirectories(report.resolve(name));
    }

    /** Danger: started while an old process holds its store, a node would end at once. */
    void start() throws IOException {
        number++;
        int its = number;
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin/java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx40m",
                "-cp",
                System.getProperty("java.class.path"),
                "gorserill.program.Main",
                "serve");
        builder.environment()
                .putAll(Map.of(
                        "NODE_CONFIG",
                        folder.resolve("node.json").toString(),
                        "GORSERILL_CLUSTER",
                        folder.resolve("cluster.json").toString(),
                        "GORSERILL_FAKTORY",
                        "none",
                        "TMPDIR",
                        folder.toString()));
        process = builder.redirectErrorStream(true).start();
        Process running = process;
        Thread reader = new Thread(() -> read(running, its), "log of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Process running, int its) {
        Path log = folder.resolve("log-" + its + ".txt");
        try (BufferedReader lines =
                        new BufferedReader(new InputStreamReader(running.getInputStream(), StandardCharsets.UTF_8));
                var to = Files.newBufferedWriter(log)) {
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
        new ProcessBuilder("kill", "-" + which, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Kills it if it runs. */
    void end() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    boolean alive() {
        return process.isAlive();
    }

    void troubled(long millis) {
        troubledUntil = System.currentTimeMillis() + millis;
    }

    /** The first line of an answer at the second address; null where none came. */
    String call(String what) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), operators), CALL);
            socket.setSoTimeout(CALL);
            socket.getOutputStream().write((what + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .findFirst()
                    .orElse(null);
        } catch (IOException e) {
            return null;
        }
    }

    /** Seconds of a core that this process has used, and megabytes that it holds; zeros where untold. */
    double[] used() {
        try {
            double cpu = process.info()
                    .totalCpuDuration()
                    .map(d -> d.toMillis() / 1e3)
                    .orElse(0.0);
            double held = Files.readAllLines(Path.of("/proc", "" + process.pid(), "status")).stream()
                    .filter(line -> line.startsWith("VmRSS"))
                    .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D+", "")) / 1_024)
                    .findFirst()
                    .orElse(0);
            return new double[] {cpu, held};
        } catch (IOException e) {
            return new double[2];
        }
    }
}
