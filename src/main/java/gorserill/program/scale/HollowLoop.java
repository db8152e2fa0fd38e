package gorserill.program.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.charset.StandardCharsets;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/**
 * The one thread of a process of hollow workers or nodes: what is ready, what is due, and commands from
 * standard input, with whose end it ends. What it has to tell goes to standard output.
 */
final class HollowLoop {
    private static final long NANOS = 1_000_000;

    /** What is attached to a selector's key. */
    @FunctionalInterface
    interface Ready {
        void ready() throws IOException;
    }

    private record Due(long at, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return Long.compare(at, other.at);
        }
    }

    private final Selector selector = Selector.open();
    private final PrintStream out = new PrintStream(System.out, false, StandardCharsets.US_ASCII);
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private volatile boolean over;

    HollowLoop() throws IOException {
        // All is set up above.
    }

    Selector selector() {
        return selector;
    }

    /** Tells the run a line. */
    void tell(String line) {
        out.print(line + "\n");
    }

    /** Runs it so many milliseconds later. */
    void after(long millis, Runnable what) {
        due.add(new Due(System.nanoTime() + millis * NANOS, what));
    }

    /** Goes on until standard input ends. */
    void run(Consumer<String> command) throws IOException {
        out.flush();
        Thread reader = new Thread(this::read, "commands");
        reader.setDaemon(true);
        reader.start();
        while (!over) {
            selector.select(this::ready, untilDue());
            for (Due next = due.peek(); next != null && next.at <= System.nanoTime(); next = due.peek()) {
                due.remove();
                next.what.run();
            }
            for (String line = lines.poll(); line != null; line = lines.poll()) {
                command.accept(line);
            }
            out.flush();
        }
    }

    /** Milliseconds that the selector may wait; 0 is for ever. */
    private long untilDue() {
        Due next = due.peek();
        return next == null ? 0 : Math.max(1, (next.at - System.nanoTime()) / NANOS);
    }

    private void ready(SelectionKey key) {
        try {
            ((Ready) key.attachment()).ready();
        } catch (IOException e) {
            tell("a channel failed: " + e);
        }
    }

    private void read() {
        try (BufferedReader from = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII))) {
            for (String line = from.readLine(); line != null; line = from.readLine()) {
                lines.add(line);
                selector.wakeup();
            }
        } catch (IOException e) {
            // No more commands: the end.
        }
        over = true;
        selector.wakeup();
    }
}
