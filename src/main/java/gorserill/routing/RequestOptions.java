package gorserill.routing;

/**
 * What a client states about a request in addition to the job itself.
 *
 * @param arrivedAt when the last byte of the request was received
 * @param timeLeft how long the client waits from then on, in microseconds
 * @param retry whether the client marked the request as a retry
 * @param tenant index of the tenant in the settings; -1 for a tenant that they do not list
 * @param key identifies what the job works on; 0 for none
 * @param slots worker slots that the job occupies
 * @param memory worker memory units that the job occupies
 * @param workEstimate rough estimate of the work, in microseconds of a standard core; 0 for none
 * @param possibleRetry whether the request may be a retry although it is not marked as one
 */
public record RequestOptions(
        long arrivedAt,
        long timeLeft,
        boolean retry,
        int tenant,
        long key,
        double slots,
        double memory,
        long workEstimate,
        boolean possibleRetry) {
    /** A request without a work estimate that is not suspected to be a retry. */
    public RequestOptions(
            long arrivedAt, long timeLeft, boolean retry, int tenant, long key, double slots, double memory) {
        this(arrivedAt, timeLeft, retry, tenant, key, slots, memory, 0, false);
    }
}
