package barrowflow.probing;

/**
 * How often workers are asked for their load. A probe costs its worker some work and the result a price, and
 * a worker serves only so many; so this dispatcher spends a stated part of the result at most, and all
 * dispatchers together ask one worker about twice a second at most.
 *
 * <p>Danger: tokens that are saved up while nothing could be asked would come out as a burst at workers that
 * have just returned; no more than two are kept.
 */
public final class ProbeRateLimiter {
    /** So much of the result is spent on probes at most. */
    private static final double SPEND = 0.003;
    /** All dispatchers together ask a worker no more often than this a second. */
    private static final double A_WORKER = 2;

    private static final double MOST_SAVED = 2;

    private final int dispatchers;
    private final double price;
    private double tokens = MOST_SAVED;
    private long last = Long.MIN_VALUE;

    /** @param price of one probe for each job, in parts of the result */
    public ProbeRateLimiter(int dispatchers, double price) {
        this.dispatchers = dispatchers;
        this.price = price;
    }

    /** Probes a second that this dispatcher may send. */
    public double allowedProbesPerSecond(int workers, double jobsPerSecond) {
        double borne = A_WORKER * workers / dispatchers;
        return price <= 0 ? borne : Math.min(borne, SPEND / price * jobsPerSecond);
    }

    /** How many workers to ask now; what is not asked stays saved. */
    public int takeDueProbes(long now, int workers, double jobsPerSecond) {
        if (last != Long.MIN_VALUE) {
            tokens = Math.min(MOST_SAVED, tokens + (now - last) / 1e6 * allowedProbesPerSecond(workers, jobsPerSecond));
        }
        last = now;
        int due = (int) tokens;
        tokens -= due;
        return due;
    }
}
