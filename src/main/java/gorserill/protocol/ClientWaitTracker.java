package gorserill.protocol;

import java.util.Arrays;

/**
 * Tracks how long the clients of one class usually wait, from the waiting times of recent jobs. A client that retries
 * has used up part of its time and states less; so does a client with a short timeout. Without a retry mark the two
 * can't be distinguished, so a shorter time than usual only makes a job a possible retry.
 *
 * <p>The usual time is a quantile rather than the maximum, because a single client with a longer timeout than all
 * others would make every other request a possible retry permanently.
 */
public final class ClientWaitTracker {
    /** Number of recent jobs that are considered. */
    private static final int SAMPLES = 64;
    /**
     * Quantile of the recent waiting times that counts as usual: up to this share of recent jobs may be retries
     * without lowering the usual time to theirs.
     */
    private static final double USUAL_QUANTILE = 0.8;

    /** The usual time is updated once per this many jobs, after the first ones, which update it each. */
    private static final int JOBS_PER_UPDATE = 16;
    /** Allowance for the transmission from the client. */
    private static final long TRANSIT_MICROS = 100_000;

    private final long[] samples = new long[SAMPLES];
    private int count;
    private long usualWait;

    /** Records how long a client waits, in microseconds; returns true if that is shorter than usual. */
    public boolean isShorterThanUsual(long wait) {
        samples[count++ % SAMPLES] = wait;
        if (count % JOBS_PER_UPDATE == 0 || count < JOBS_PER_UPDATE) {
            long[] sorted = Arrays.copyOf(samples, Math.min(count, SAMPLES));
            Arrays.sort(sorted);
            usualWait = sorted[(int) (USUAL_QUANTILE * (sorted.length - 1) + 0.5)];
        }
        return wait + TRANSIT_MICROS < usualWait;
    }
}
