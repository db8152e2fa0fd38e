package gorserill.protocol;

import java.util.Arrays;

/**
 * How long the clients of one class usually wait, by what the last jobs of it brought. A client that comes
 * again has waited already and brings less; so does one that never waits long. Where nothing marks a repeat
 * the two can't be told apart, so less than usual makes a job doubtful and no more than that.
 *
 * <p>Danger: the longest ever seen would do for one odd client that waits longer than all others, and make
 * everybody else doubtful for good.
 */
public final class ClientWaitTracker {
    private static final int LAST = 64;
    /** Of the last jobs as many as this part may be repeats, and the usual time still be a first try's. */
    private static final double REPEATS = 0.8;

    private static final int SORT_EVERY = 16;
    /** The way from the client takes some of it, microseconds. */
    private static final long WAY = 100_000;

    private final long[] last = new long[LAST];
    private int count;
    private long usual;

    /** Takes note of how long a client waits, in microseconds; true where that is less than usual. */
    public boolean isShorterThanUsual(long wait) {
        last[count++ % LAST] = wait;
        if (count % SORT_EVERY == 0 || count < SORT_EVERY) {
            long[] sorted = Arrays.copyOf(last, Math.min(count, LAST));
            Arrays.sort(sorted);
            usual = sorted[(int) (REPEATS * (sorted.length - 1) + 0.5)];
        }
        return wait + WAY < usual;
    }
}
