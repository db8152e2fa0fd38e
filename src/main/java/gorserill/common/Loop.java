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
 * The one thread that owns the core, the decision module and the clock. Other threads hand it events with
 * {@link #execute}; all else here is for the loop's own thread.
 */
public final class Loop implements Executor {
    /** The clock starts here, so that times before the start of the program are times, too. */
    private static final long START = TimeUnit.DAYS.toMicros(1);

    /** A deadline that is so late passes before what has come in: a flood must not hold up every deadline. */
    private static final long OVERDUE = 100_000;

    /** A thread that goes on so much later than it asked to was held up. */
    private static final long PAUSE = 200_000;

    private static final Runnable NOTHING = () -> {};

    private final Queue<Runnable> first = new ConcurrentLinkedQueue<>();
    private final LinkedBlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
    private final Deadlines deadlines = new Deadlines();
    private final Consumer<Throwable> failed;
    private final LongSupplier nanos;
    private final long nanosAtStart;
    private final long unixAtStart = System.currentTimeMillis();
    private final Thread thread;
    private volatile boolean stopped;
    private LongConsumer onPause = length -> {};
    private long pauses;
    private long longestPauseMicros;
    /** The pause at hand was told of up to this time. */
    private long toldUntil;

    /** @param failed is told what an event or deadline threw; the loop then goes on */
    public Loop(Consumer<Throwable> failed) {
        this(failed, System::nanoTime);
    }

    /** @param nanos the clock, in nanoseconds from any moment on */
    public Loop(Consumer<Throwable> failed, LongSupplier nanos) {
        this(failed, nanos, "core");
    }

    /** @param name the thread's, for a loop beside the core's that owns something else */
    public Loop(Consumer<Throwable> failed, LongSupplier nanos, String name) {
        thread = new Thread(this::run, name);
        this.failed = failed;
        this.nanos = nanos;
        nanosAtStart = nanos.getAsLong();
    }

    /** Is told, on the loop's thread, how long the process was held up, in microseconds. */
    public Loop onPause(LongConsumer told) {
        onPause = told;
        return this;
    }

    /** How often the loop went on much later than it had to. */
    public long pauses() {
        return pauses;
    }

    /** Microseconds. */
    public long longestPauseMicros() {
        return longestPauseMicros;
    }

    public void start() {
        thread.start();
    }

    public void stop() {
        stopped = true;
        execute(NOTHING);
    }

    /** Microseconds of a clock that only goes forward; any thread may ask. */
    public long now() {
        return START + (nanos.getAsLong() - nanosAtStart) / 1_000;
    }

    /**
     * A moment of Unix time on this clock, the same for the same moment whenever asked; 0 for long ago. A
     * worker's start must not shift between two lists, or it would look like a restart.
     */
    public long fromUnixMillis(long millis) {
        return millis <= 0 ? 0 : Math.max(0, START + (millis - unixAtStart) * 1_000);
    }

    @Override
    public void execute(Runnable event) {
        events.add(event);
    }

    /** Like {@link #execute}, but before all that waits there; in order among each other. */
    public void executeFirst(Runnable event) {
        first.add(event);
        // The loop may be asleep.
        events.add(NOTHING);
    }

    public Deadline at(long time, Runnable action) {
        return deadlines.at(time, action);
    }

    public void cancel(Deadline deadline) {
        deadlines.cancel(deadline);
    }

    /** Runs what has come in and what is due on the caller's thread, for a loop that is not started. */
    public void runDue() {
        for (Runnable event = next(); event != null; event = next()) {
            guarded(event);
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
                    guarded(event);
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Deadlines are the only thing whose time is known beforehand: one that is overdue shows a pause. */
    private void noticePause(long now) {
        long due = Math.max(deadlines.next(), toldUntil);
        if (now - due > PAUSE) {
            pauses++;
            longestPauseMicros = Math.max(longestPauseMicros, now - due);
            toldUntil = now;
            onPause.accept(now - due);
        }
    }

    /** What has come in goes first: an answer that is here beats the deadline of the same moment. */
    private Runnable next() {
        long now = now();
        noticePause(now);
        Runnable event = first.poll();
        if (event == null && deadlines.next() > now - OVERDUE) {
            event = events.poll();
        }
        return event != null ? event : deadlines.pollDue(now);
    }

    private void guarded(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | StackOverflowError e) {
            failed.accept(e);
        }
    }
}
