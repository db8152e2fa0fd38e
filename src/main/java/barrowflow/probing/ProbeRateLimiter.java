package barrowflow.probing;

/**
 * Limits the rate of load probes that this dispatcher sends to workers. A probe costs its worker some work and
 * lowers the objective. A dispatcher therefore spends at most a fixed fraction of the objective on probes,
 * and all dispatchers together probe one worker at most twice per second.
 *
 * <p>This is a token bucket that holds at most two tokens: a larger balance, saved while no worker could be
 * probed, would be spent in a burst on workers that have just returned.
 */
public final class ProbeRateLimiter {
    /** Upper limit on the cost of probes, as a fraction of the objective. */
    private static final double MAX_COST_FRACTION = 0.003;
    /** Limit per worker, over all dispatchers. */
    private static final double MAX_PROBES_PER_WORKER_PER_SECOND = 2;

    private static final double MAX_TOKENS = 2;

    private final int dispatchers;
    private final double price;
    private double tokens = MAX_TOKENS;
    private long lastRefillAt = Long.MIN_VALUE;

    /** @param price cost of sending one probe per job, as a fraction of the objective */
    public ProbeRateLimiter(int dispatchers, double price) {
        this.dispatchers = dispatchers;
        this.price = price;
    }

    /** Probes per second that this dispatcher may send. */
    public double allowedProbesPerSecond(int workers, double jobsPerSecond) {
        double workerLimit = MAX_PROBES_PER_WORKER_PER_SECOND * workers / dispatchers;
        return price <= 0 ? workerLimit : Math.min(workerLimit, MAX_COST_FRACTION / price * jobsPerSecond);
    }

    /** Refills the bucket and removes all whole tokens; returns the number of workers to probe now. */
    public int takeDueProbes(long now, int workers, double jobsPerSecond) {
        if (lastRefillAt != Long.MIN_VALUE) {
            tokens = Math.min(
                    MAX_TOKENS, tokens + (now - lastRefillAt) / 1e6 * allowedProbesPerSecond(workers, jobsPerSecond));
        }
        lastRefillAt = now;
        int due = (int) tokens;
        tokens -= due;
        return due;
    }
}
