package gorserill.common;

import gorserill.common.Deadlines.Deadline;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * The event loop: the single thread that owns the core, the decision module and the clock. Other threads pass it
 * events with {@link #execute}; all other methods are for the loop's own thread unless stated otherwise.
 */
public final class Loop implements Executor {
    /** Initial value of the clock, so that times before the start of the process are positive as well. */
    private static final long ORIGIN_MICROS = TimeUnit.DAYS.toMicros(1);

    /**
     * A deadline overdue by more than this many microseconds runs before queued events, so that a flood of events
     * can't delay all deadlines.
     */
    private static final long OVERDUE_MICROS = 100_000;

    /** If the loop resumes this many microseconds after its next deadline, it counts as a pause of the process. */
    private static final long PAUSE_MICROS = 200_000;

    private static final Runnable NO_OP = () -> {};

    private final Queue<Runnable> priorityEvents = new ConcurrentLinkedQueue<>();
    private final LinkedBlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
    private final Deadlines deadlines = new Deadlines();
    private final Consumer<Throwable> errorHandler;
    private final LongSupplier nanos;
    private final long nanosAtStart;
    private final long unixAtStart = System.currentTimeMillis();
    private final Thread thread;
    private volatile boolean stopped;
    private LongConsumer pauseListener = length -> {};
    private long pauses;
    private long longestPauseMicros;
    /** Time up to which the current pause was reported, in microseconds. */
    private long reportedUntil;

    /** @param errorHandler receives what an event or deadline threw; the loop then continues */
    public Loop(Consumer<Throwable> errorHandler) {
        this(errorHandler, System::nanoTime);
    }

    /** @param nanos the clock, in nanoseconds from an arbitrary origin */
    public Loop(Consumer<Throwable> errorHandler, LongSupplier nanos) {
        this(errorHandler, nanos, "core");
    }

    /** @param name name of the thread, for a loop other than the core's */
    public Loop(Consumer<Throwable> errorHandler, LongSupplier nanos, String name) {
        thread = new Thread(this::run, name);
        this.errorHandler = errorHandler;
        this.nanos = nanos;
        nanosAtStart = nanos.getAsLong();
    }

    /** Sets the listener that is called on the loop's thread with the length of each pause, in microseconds. */
    public Loop onPause(LongConsumer listener) {
        pauseListener = listener;
        return this;
    }

    /** Number of pauses: how often the loop resumed much later than its next deadline. */
    public long pauses() {
        return pauses;
    }

    public long longestPauseMicros() {
        return longestPauseMicros;
    }

    public void start() {
        thread.start();
    }

    public void stop() {
        stopped = true;
        execute(NO_OP);
    }

    /** The time in microseconds on a monotonic clock; may be called from any thread. */
    public long now() {
        return ORIGIN_MICROS + (nanos.getAsLong() - nanosAtStart) / 1_000;
    }

    /**
     * Converts Unix time to this clock; 0 for times long ago. The result for one time never changes: a worker's start
     * time that differed between two lists would look like a restart.
     */
    public long fromUnixMillis(long millis) {
        return millis <= 0 ? 0 : Math.max(0, ORIGIN_MICROS + (millis - unixAtStart) * 1_000);
    }

    @Override
    public void execute(Runnable event) {
        events.add(event);
    }

    /** Like {@link #execute}, but ahead of all events queued there. Events passed here keep their order. */
    public void executeFirst(Runnable event) {
        priorityEvents.add(event);
        // Wakes the loop, which may be waiting for events.
        events.add(NO_OP);
    }

    public Deadline at(long time, Runnable action) {
        return deadlines.at(time, action);
    }

    public void cancel(Deadline deadline) {
        deadlines.cancel(deadline);
    }

    /** Runs queued events and due deadlines on the caller's thread, for a loop that was not started. */
    public void runDue() {
        for (Runnable event = next(); event != null; event = next()) {
            runGuarded(event);
        }
    }

    private void run() {
        while (!stopped) {
            try {
                Runnable event = next();
                if (event == null) {
                    event = events.poll(Math.max(0, deadlines.next() - now()), TimeUnit.MICROSECONDS);
                }
                if (event != null) {
                    runGuarded(event);
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Detects pauses of the process by overdue deadlines, the only events whose time is known in advance. */
    private void detectPause(long now) {
        long dueAt = Math.max(deadlines.next(), reportedUntil);
        if (now - dueAt > PAUSE_MICROS) {
            pauses++;
            longestPauseMicros = Math.max(longestPauseMicros, now - dueAt);
            reportedUntil = now;
            pauseListener.accept(now - dueAt);
        }
    }

    /**
     * Returns the next action. Queued events run before deadlines, so that a response that has arrived takes
     * precedence over a deadline of the same time.
     */
    private Runnable next() {
        long now = now();
        detectPause(now);
        Runnable event = priorityEvents.poll();
        if (event == null && deadlines.next() > now - OVERDUE_MICROS) {
            event = events.poll();
        }
        return event != null ? event : deadlines.pollDue(now);
    }

    private void runGuarded(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | StackOverflowError e) {
            errorHandler.accept(e);
        }
    }
}
