package gorserill.common;

import gorserill.common.Deadlines.Deadline;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The one thread that owns the core, the decision module and the clock. Other threads hand it events with
 * {@link #execute}; all else here is for the loop's own thread.
 */
public final class Loop implements Executor {
    /** The clock starts here, so that times before the start of the program are times, too. */
    private static final long START = TimeUnit.DAYS.toMicros(1);

    private final LinkedBlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
    private final Deadlines deadlines = new Deadlines();
    private final Consumer<Throwable> failed;
    private final long nanosAtStart = System.nanoTime();
    private final long unixAtStart = System.currentTimeMillis();
    private final Thread thread = new Thread(this::run, "core");
    private volatile boolean stopped;

    /** @param failed is told what an event or deadline threw; the loop then goes on */
    public Loop(Consumer<Throwable> failed) {
        this.failed = failed;
    }

    public void start() {
        thread.start();
    }

    public void stop() {
        stopped = true;
        execute(() -> { });
    }

    /** Microseconds of a clock that only goes forward; any thread may ask. */
    public long now() {
        return START + (System.nanoTime() - nanosAtStart) / 1_000;
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

    public Deadline at(long time, Runnable action) {
        return deadlines.at(time, action);
    }

    public void cancel(Deadline deadline) {
        deadlines.cancel(deadline);
    }

    private void run() {
        while (!stopped) {
            try {
                // What has come in goes first: an answer that is here beats the deadline of the same moment.
                Runnable event = events.poll();
                if (event == null) {
                    event = deadlines.due(now());
                }
                if (event == null) {
                    event = events.poll(Math.max(0, deadlines.next() - now()), TimeUnit.MICROSECONDS);
                }
                if (event != null) {
                    event.run();
                }
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | StackOverflowError e) {
                failed.accept(e);
            }
        }
    }
}
