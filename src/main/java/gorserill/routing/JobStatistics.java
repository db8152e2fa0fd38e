package gorserill.routing;

import java.util.concurrent.atomic.AtomicLong;

/** Running counts since the start: answers by class and kind, each job once, and attempts. */
public final class JobStatistics {
    private final long[] served;
    private final long[] refused;
    private final long[] failed;
    private final long[] heldBack = new long[HoldReason.values().length];
    private final AtomicLong attempts = new AtomicLong();
    /** The sums when it was asked in words last. */
    private long[] told = new long[3];

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

    /** An attempt was given back before its first byte. */
    void countHeldBack(HoldReason reason) {
        heldBack[reason.ordinal()]++;
    }

    public long heldBack(HoldReason reason) {
        return heldBack[reason.ordinal()];
    }

    /** An attempt's last byte was written; any thread may tell. */
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

    /** Attempts written whole to workers. */
    public long attempts() {
        return attempts.get();
    }

    /** How many answers of each kind were given since it was asked last, in words. */
    public String summarySinceLastCall() {
        long[] now = {sum(served), sum(refused), sum(failed)};
        String words =
                (now[0] - told[0]) + " served, " + (now[1] - told[1]) + " refused, " + (now[2] - told[2]) + " failed";
        told = now;
        return words;
    }

    private static long sum(long[] counts) {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }
}
