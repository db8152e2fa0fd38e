package gorserill.transport;

import gorserill.common.Loop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongConsumer;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Delays a write until all input that could have been read before it has been read and processed. It bounds the age
 * of two kinds of knowledge:
 *
 * <ul>
 *   <li>which connections are closed: the selector's thread notices a close as it reads, and it is visible to all
 *       threads at once;
 *   <li>what was reported on a connection: it waits in the loop's queue. A barrier that overtook that queue would let
 *       a write pass before a worker list that has already been read.
 * </ul>
 *
 * <p>A process can be stopped, or held up by the machine or by the garbage collector, and either thread may be the
 * first to continue. Both ages are therefore counted from the moment at which a pass over all connections began. A
 * write for which the bounds can't be shown waits until its job is given up. All methods run on the loop's thread
 * unless stated otherwise.
 */
final class ReadBarrier {
    /** How long a connection that was seen open counts as open, in microseconds. */
    static final long MAX_CLOSE_AGE_MICROS = 50_000;
    /** Interval of the periodic passes ({@link #startPeriodicPasses}), in milliseconds. */
    private static final int PASS_INTERVAL_MS = 50;
    /**
     * Time without a completed pass, in microseconds, after which input that is read may have arrived at any moment
     * since the last pass.
     */
    private static final long MAX_PASS_GAP_MICROS = 100_000;
    /** Rounds in which a connection is registered and read from after it was accepted. */
    private static final int ROUNDS_AFTER_ACCEPT = 3;
    /** Maximum number of successive rounds while a read may be followed by more input. */
    private static final int MAX_ROUNDS = 1_000;

    private final Loop loop;
    private final TCPNIOTransport nio;
    private final long maxInputAgeMicros;
    /** When the last completed pass over the open connections began; written on the selector's thread. */
    private volatile long lastPassMicros = Long.MIN_VALUE / 2;
    /**
     * When the last completed pass began that also read the connections which had waited to be accepted; written on the
     * selector's thread.
     */
    private volatile long lastArrivalPassMicros = Long.MIN_VALUE / 2;
    /** When the last pass began all of whose input the loop has processed. */
    private long lastProcessedPassMicros = Long.MIN_VALUE / 2;
    /** Number of reads of reports that more input may follow; used on the selector's thread. */
    private int unfinishedReads;
    /** How many of them have been followed by a complete pass; used on the selector's thread. */
    private int settledReads;
    /** Number of accepted connections; used on the selector's thread. */
    private int accepts;
    /** How many of them have been read from since; used on the selector's thread. */
    private int settledAccepts;
    /** Whether connections that were accepted are being read; used on the selector's thread. */
    private boolean readingAccepted;
    /** Accepts the connections that wait in the kernel, one task for each listening socket. */
    private final List<Runnable> backlogs = new CopyOnWriteArrayList<>();

    private List<Runnable> waiting = new ArrayList<>();
    private volatile boolean periodicPasses;

    /** @param maxInputAgeMicros maximum age of processed input, in microseconds */
    ReadBarrier(Loop loop, TCPNIOTransport nio, long maxInputAgeMicros) {
        this.loop = loop;
        this.nio = nio;
        this.maxInputAgeMicros = maxInputAgeMicros;
    }

    /** On the selector's thread: part of a report was read. */
    void expectMoreInput() {
        unfinishedReads++;
    }

    /** On the selector's thread: a connection was accepted and not yet read from. */
    void connectionAccepted() {
        accepts++;
    }

    /** @param acceptAll accepts, on the selector's thread, all connections that wait at a listening socket */
    void addBacklog(Runnable acceptAll) {
        backlogs.add(acceptAll);
    }

    void removeBacklog(Runnable acceptAll) {
        backlogs.remove(acceptAll);
    }

    /** Starts a pass every {@link #PASS_INTERVAL_MS} regardless of load, so that pauses of the process are detected. */
    void startPeriodicPasses(SelectorRunner selector) {
        // No input can have arrived before there was a listener.
        lastArrivalPassMicros = loop.now();
        periodicPasses = true;
        Thread thread = new Thread(() -> runPeriodicPasses(selector), "read barrier");
        thread.setDaemon(true);
        thread.start();
    }

    private void runPeriodicPasses(SelectorRunner selector) {
        try {
            while (periodicPasses) {
                pass(selector, startedMicros -> {});
                Thread.sleep(PASS_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            // Without passes all input would seem to have arrived long ago.
            periodicPasses = false;
        }
    }

    void stop() {
        periodicPasses = false;
    }

    /**
     * The earliest possible arrival time of input that is read now, in microseconds of the loop's clock; callable on
     * any thread. After a pause of the process the input may have waited in the kernel all the time, and that time
     * counts against the sender's deadline.
     */
    long earliestArrivalMicros() {
        long now = loop.now();
        long lastPass = lastArrivalPassMicros;
        return periodicPasses && now - lastPass > MAX_PASS_GAP_MICROS ? lastPass : now;
    }

    /**
     * Runs a task at once if the processed input is recent enough, otherwise as soon as it is.
     *
     * @param selector the runner whose thread reads all connections
     */
    void runAfterReads(SelectorRunner selector, Runnable task) {
        if (waiting.isEmpty() && isCurrent()) {
            task.run();
            return;
        }
        waiting.add(task);
        if (waiting.size() == 1) {
            passBehindQueue(selector);
        }
    }

    private boolean isCurrent() {
        return processedRecently() && readRecently();
    }

    private boolean processedRecently() {
        return loop.now() - lastProcessedPassMicros <= maxInputAgeMicros;
    }

    private boolean readRecently() {
        return loop.now() - lastPassMicros <= MAX_CLOSE_AGE_MICROS;
    }

    /** Reads all connections, and continues once the loop has processed all that was read. */
    private void passBehindQueue(SelectorRunner selector) {
        pass(
                selector,
                startedMicros -> loop.execute(() -> {
                    lastProcessedPassMicros = startedMicros;
                    runOrRepeat(selector);
                }));
    }

    /** Reads all connections to detect closes only; does not wait until the loop has processed other input. */
    private void passForCloses(SelectorRunner selector) {
        pass(selector, startedMicros -> loop.executeFirst(() -> runOrRepeat(selector)));
    }

    private void runOrRepeat(SelectorRunner selector) {
        if (!processedRecently()) {
            passBehindQueue(selector);
        } else if (!readRecently()) {
            passForCloses(selector);
        } else {
            List<Runnable> tasks = waiting;
            waiting = new ArrayList<>();
            tasks.forEach(Runnable::run);
        }
    }

    /**
     * Requests a pass over all open connections. Its age counts from when the selector's thread begins it, so that it
     * is short even if that thread is busy; connections that are accepted meanwhile don't prolong it, however many.
     *
     * @param completed called on the selector's thread with the time at which the pass began
     */
    private void pass(SelectorRunner selector, LongConsumer completed) {
        enqueue(selector, () -> {
            long startedMicros = loop.now();
            nextRound(selector, settledReads, MAX_ROUNDS, () -> {
                settledReads = unfinishedReads;
                lastPassMicros = Math.max(lastPassMicros, startedMicros);
                completed.accept(startedMicros);
                readBacklogs(selector, startedMicros);
            });
        });
    }

    /** Between two tasks the selector's thread has read once from each connection that had input. */
    private void nextRound(SelectorRunner selector, int readsBefore, int roundsLeft, Runnable settled) {
        enqueue(selector, () -> {
            if (unfinishedReads != readsBefore && roundsLeft > 1) {
                nextRound(selector, unfinishedReads, roundsLeft - 1, settled);
            } else {
                settled.run();
            }
        });
    }

    /** Accepts all connections that wait, and reads from them: their requests may have come before this pass. */
    private void readBacklogs(SelectorRunner selector, long passStartedMicros) {
        if (readingAccepted) {
            return;
        }
        long startedMicros = loop.now();
        backlogs.forEach(Runnable::run);
        int acceptsBefore = accepts;
        if (acceptsBefore == settledAccepts) {
            lastArrivalPassMicros = Math.max(lastArrivalPassMicros, passStartedMicros);
            return;
        }
        readingAccepted = true;
        afterRounds(selector, ROUNDS_AFTER_ACCEPT, () -> {
            readingAccepted = false;
            settledAccepts = acceptsBefore;
            lastArrivalPassMicros = Math.max(lastArrivalPassMicros, startedMicros);
        });
    }

    private void afterRounds(SelectorRunner selector, int rounds, Runnable task) {
        enqueue(selector, () -> {
            if (rounds > 1) {
                afterRounds(selector, rounds - 1, task);
            } else {
                task.run();
            }
        });
    }

    private void enqueue(SelectorRunner selector, Runnable task) {
        nio.getSelectorHandler()
                .enque(
                        selector,
                        () -> {
                            task.run();
                            return true;
                        },
                        null);
    }
}
