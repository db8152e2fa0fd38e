package gorserill.routing;

import java.util.concurrent.atomic.AtomicLong;

/** Counters since the start of the process: final responses by class and kind, each job once, and attempts. */
public final class JobStatistics {
    private final long[] served;
    private final long[] refused;
    private final long[] failed;
    private final long[] heldBack = new long[HoldReason.values().length];
    private final AtomicLong attempts = new AtomicLong();
    /** Totals served, refused and failed at the last call of {@link #summarySinceLastCall}. */
    private long[] lastReported = new long[3];

    JobStatistics(int classes) {
        served = new long[classes];
        refused = new long[classes];
        failed = new long[classes];
    }

    void countServed(int jobClass) {
        served[jobClass]++;
    }

    void countRefused(int jobClass) {
        refused[jobClass]++;
    }

    void countFailed(int jobClass) {
        failed[jobClass]++;
    }

    /** Counts an attempt that was withheld before its first byte. */
    void countHeldBack(HoldReason reason) {
        heldBack[reason.ordinal()]++;
    }

    public long heldBack(HoldReason reason) {
        return heldBack[reason.ordinal()];
    }

    /** Counts an attempt whose last byte was written; may be called from any thread. */
    void countAttempt() {
        attempts.incrementAndGet();
    }

    public long served(int jobClass) {
        return served[jobClass];
    }

    public long refused(int jobClass) {
        return refused[jobClass];
    }

    public long failed(int jobClass) {
        return failed[jobClass];
    }

    /** Attempts that were written completely to workers. */
    public long attempts() {
        return attempts.get();
    }

    /** Describes how many responses of each kind were given since the previous call. */
    public String summarySinceLastCall() {
        long[] current = {sum(served), sum(refused), sum(failed)};
        String summary = (current[0] - lastReported[0]) + " served, " + (current[1] - lastReported[1]) + " refused, "
                + (current[2] - lastReported[2]) + " failed";
        lastReported = current;
        return summary;
    }

    private static long sum(long[] counts) {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }
}
