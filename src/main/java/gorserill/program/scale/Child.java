package gorserill.program.scale;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** A process that this run started, and that it ends. */
final class Child implements Closeable {
    private static final int PATIENCE = 3;
    private static final int LAST_LINES = 5;
    private static final int READING = 500;

    private final String name;
    private final Process process;
    private final PrintStream in;
    private final Deque<String> lastSaid = new ArrayDeque<>();
    private final Thread reader;

    /**
     * Starts it.
     *
     * @param log where all that it says is kept, but for what is taken
     * @param taken is told each line, on a thread of its own, and says whether that was a message
     */
    Child(String name, List<String> command, Map<String, String> environment, Path log, Predicate<String> taken)
            throws IOException {
        this.name = name;
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(environment);
        process = builder.start();
        in = new PrintStream(process.getOutputStream(), true, StandardCharsets.US_ASCII);
        reader = new Thread(() -> read(log, taken), "lines of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Path log, Predicate<String> taken) {
        try (BufferedReader from =
                        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
                Writer to = Files.newBufferedWriter(log)) {
            for (String line = from.readLine(); line != null; line = from.readLine()) {
                if (!taken.test(line)) {
                    to.write(line + "\n");
                    to.flush();
                    keep(line);
                }
            }
        } catch (IOException e) {
            // The process has ended.
        }
    }

    private void keep(String line) {
        synchronized (lastSaid) {
            lastSaid.add(line);
            if (lastSaid.size() > LAST_LINES) {
                lastSaid.remove();
            }
        }
    }

    /** Writes a line to its standard input. */
    synchronized void say(String line) {
        in.println(line);
    }

    ProcessHandle handle() {
        return process.toHandle();
    }

    /** @throws ScaleException where it has died, with the last that it said */
    void mustLive() throws ScaleException {
        if (!process.isAlive()) {
            throw new ScaleException(name + " died with exit status " + process.exitValue() + ": " + lastSaid());
        }
    }

    private String lastSaid() throws ScaleException {
        try {
            reader.join(READING);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ScaleException("interrupted", e);
        }
        synchronized (lastSaid) {
            return lastSaid.isEmpty() ? "it said nothing" : String.join(" | ", lastSaid);
        }
    }

    /** Ends it, and waits until it has. */
    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(PATIENCE, TimeUnit.SECONDS)) {
                kill();
                process.waitFor(PATIENCE, TimeUnit.SECONDS);
            }
            reader.join(PATIENCE * 1_000L);
        } catch (InterruptedException e) {
            kill();
            Thread.currentThread().interrupt();
        }
    }

    /** Ends it at once. */
    void kill() {
        process.destroyForcibly();
    }
}
