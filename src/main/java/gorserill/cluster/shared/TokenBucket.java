package gorserill.cluster.shared;

/**
 * A token bucket (compare the committed rate and burst of RFC 2697) whose rate and depth follow the node's
 * share of a budget. It starts empty: if it started full, a process that is killed and restarted repeatedly
 * would be granted a burst at each start.
 */
public final class TokenBucket {
    private static final double MICROS_PER_SECOND = 1e6;

    private double tokens;
    private long refilledAtMicros = Long.MIN_VALUE;

    /** Refills the bucket and discards tokens beyond its depth, also when the depth has just been reduced. */
    private void refill(long micros, double perSecond, double burst) {
        if (refilledAtMicros != Long.MIN_VALUE && micros > refilledAtMicros) {
            tokens += (micros - refilledAtMicros) / MICROS_PER_SECOND * perSecond;
        }
        refilledAtMicros = Math.max(refilledAtMicros, micros);
        tokens = Math.min(tokens, burst);
    }

    /**
     * Refills the bucket and returns how long a job has to wait for a token.
     *
     * @param micros the time, in microseconds of any monotonic clock
     * @param perSecond the lowest rate since the previous call; a higher one would refill the bucket for a time
     *     in which another node held the share, and the share would be spent twice
     * @param burst the depth; raised to one token where it is less, as a small share would otherwise never
     *     admit a job
     * @return 0 if a token is available, else the microseconds until one is
     */
    public long waitMicros(long micros, double perSecond, double burst) {
        refill(micros, perSecond, Math.max(1, burst));
        return tokens >= 1
                ? 0
                : perSecond <= 0
                        ? Long.MAX_VALUE
                        : Math.max(1, (long) Math.ceil((1 - tokens) / perSecond * MICROS_PER_SECOND));
    }

    /** Removes a token for an admitted job. */
    public void take() {
        tokens--;
    }
}
