package gorserill.routing;

/**
 * What a client asks besides the work itself.
 *
 * @param arrivedAt when the request's last byte came
 * @param timeLeft how long the client waits, from then on
 * @param retry whether it says that it asks again
 * @param tenant its place in the settings' list; -1 where it is none of these
 * @param key what the job is about; 0 for nothing
 * @param slots slots that it takes of a worker
 * @param memory memory units that it takes
 * @param workEstimate a rough guess at its work, microseconds of a standard core; 0 for none
 * @param possibleRetry whether it may be a repeat though it does not say so
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
    /** A job that comes without a guess at its work. */
    public RequestOptions(
            long arrivedAt, long timeLeft, boolean retry, int tenant, long key, double slots, double memory) {
        this(arrivedAt, timeLeft, retry, tenant, key, slots, memory, 0, false);
    }
}
