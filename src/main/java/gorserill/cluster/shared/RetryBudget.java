package gorserill.cluster.shared;

/**
 * Limits retries to a fraction of first attempts. Each node earns its retries by its own first attempts, so
 * the fraction holds over the whole fleet under any network partition without communication. It starts at
 * zero, so that a restart grants no retries. Without the limit, the loss of a zone multiplies the load on the
 * remaining workers, and the retries keep the overload up after the zone has returned.
 */
public final class RetryBudget {
    private final double retriesPerAttempt;
    private final double maxSaved;
    private double saved;

    /**
     * @param retriesPerAttempt retries earned by each first attempt
     * @param maxSaved the most retries that can be saved up
     */
    public RetryBudget(double retriesPerAttempt, double maxSaved) {
        this.retriesPerAttempt = retriesPerAttempt;
        this.maxSaved = maxSaved;
    }

    public void recordFirstAttempt() {
        saved = Math.min(maxSaved, saved + retriesPerAttempt);
    }

    /** Consumes one saved retry; returns false if there is none. */
    public boolean tryRetry() {
        if (saved < 1) {
            return false;
        }
        saved--;
        return true;
    }
}
