package gorserill.program.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * When the run's own process was held up, as on a machine that is busy. Danger: a stamp is taken before or after what
 * it is for, and a pause between the two would be told as a node's.
 */
final class OwnPauses implements Runnable {
    private static final int BEAT = 5;
    private static final double MOST_LATE = 15;

    private record Pause(double from, double until) {}

    private final Clock clock;
    private final List<Pause> pauses = new ArrayList<>();

    OwnPauses(Clock clock) {
        this.clock = clock;
    }

    @Override
    public void run() {
        try {
            for (double last = clock.now(); !Thread.currentThread().isInterrupted(); last = clock.now()) {
                Thread.sleep(BEAT);
                double now = clock.now();
                if (now - last > BEAT + MOST_LATE) {
                    add(new Pause(last, now));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void add(Pause pause) {
        pauses.add(pause);
    }

    /** How much of the time between two moments this process may have stood still, in milliseconds. */
    synchronized double within(double from, double until) {
        double sum = 0;
        for (Pause pause : pauses) {
            sum += Math.max(0, Math.min(until, pause.until()) - Math.max(from, pause.from()));
        }
        return sum;
    }

    /** All of it, in milliseconds. */
    synchronized double all() {
        return within(0, Double.MAX_VALUE);
    }
}
