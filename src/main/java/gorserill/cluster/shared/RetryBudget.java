package gorserill.cluster.shared;

/**
 * Further attempts as a part of first ones. Each node earns its own by its own first attempts, so over any
 * fleet, cut as it may be, all further attempts together are at most that part of all first ones: nothing
 * needs to be heard for it. It begins with nothing, so a restart gives nothing away. Danger: without it a
 * lost zone multiplies what the rest has to bear, and the storm feeds on itself when the zone is back.
 */
public final class RetryBudget {
    private final double part;
    private final double most;
    private double earned;

    /**
     * @param part further attempts for each first one
     * @param most that can be saved up for a bad moment
     */
    public RetryBudget(double part, double most) {
        this.part = part;
        this.most = most;
    }

    /** A first attempt is made. */
    public void recordFirstAttempt() {
        earned = Math.min(most, earned + part);
    }

    /** Whether a further one may be; then it is counted. */
    public boolean tryRetry() {
        if (earned < 1) {
            return false;
        }
        earned--;
        return true;
    }
}
