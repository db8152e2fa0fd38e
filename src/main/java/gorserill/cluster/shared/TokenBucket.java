package gorserill.cluster.shared;

/**
 * What a node may spend of a budget: a token bucket (RFC 2697 has one as its committed rate and burst) whose
 * rate and depth are the node's part. It begins empty. Danger: one that began full would give a process that
 * is killed again and again a burst each time.
 */
public final class TokenBucket {
    private double tokens;
    private long filledAt = Long.MIN_VALUE;

    /** Brings it up to date; what is over the depth is gone, also where the depth has just become less. */
    private void fill(long micros, double perSecond, double burst) {
        if (filledAt != Long.MIN_VALUE && micros > filledAt) {
            tokens += (micros - filledAt) / 1e6 * perSecond;
        }
        filledAt = Math.max(filledAt, micros);
        tokens = Math.min(tokens, burst);
    }

    /**
     * Whether a job may enter.
     *
     * @param micros the time, microseconds of any clock that goes forward
     * @param perSecond the lowest rate since it was asked last. Danger: filled up for a time in which another
     * had     this part, it would be spent twice
     * @param burst the depth; at least a job's, or a small part would never let one in
     * @return 0 where it may; else microseconds until it could
     */
    public long waitMicros(long micros, double perSecond, double burst) {
        fill(micros, perSecond, Math.max(1, burst));
        return tokens >= 1
                ? 0
                : perSecond <= 0 ? Long.MAX_VALUE : Math.max(1, (long) Math.ceil((1 - tokens) / perSecond * 1e6));
    }

    /** A job enters. */
    public void take() {
        tokens--;
    }
}
