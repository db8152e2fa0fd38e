package gorserill.protocol.http;

import gorserill.common.Loop;

/**
 * Adaptive limit on the idle time after which a connection to a worker is still reused. Middleboxes may drop idle
 * connections silently, long before the configured idle timeout; the next request on such a connection is reset, and
 * cannot be retried if its class forbids that. Each such reset lowers the limit, which recovers over time.
 */
final class IdleReuseLimit {
    private static final long MIN_LIMIT_MICROS = 100_000;
    /** A reset within this time of sending, before any part of the response, indicates a dropped connection. */
    private static final long PROMPT_RESET_MICROS = 100_000;
    /** The limit doubles after each such period without a reset. */
    private static final long RECOVERY_PERIOD_MICROS = 10_000_000;

    private final Loop loop;
    private final long maxMicros;
    private long currentLimitMicros;
    private long lastChangeMicros;

    /** @param maxMicros the limit in the absence of resets */
    IdleReuseLimit(Loop loop, long maxMicros) {
        this.loop = loop;
        this.maxMicros = maxMicros;
        currentLimitMicros = maxMicros;
    }

    /** The maximum idle time of a connection that may be reused. */
    long limitMicros() {
        while (currentLimitMicros < maxMicros && loop.now() - lastChangeMicros >= RECOVERY_PERIOD_MICROS) {
            currentLimitMicros = Math.min(maxMicros, 2 * currentLimitMicros);
            lastChangeMicros += RECOVERY_PERIOD_MICROS;
        }
        return currentLimitMicros;
    }

    /** Records that a request on a reused connection was reset before any part of its response. */
    void onReset(long idleMicros, long sinceSentMicros) {
        if (sinceSentMicros <= PROMPT_RESET_MICROS && idleMicros / 2 < limitMicros()) {
            currentLimitMicros = Math.min(maxMicros, Math.max(MIN_LIMIT_MICROS, idleMicros / 2));
        }
        lastChangeMicros = sinceSentMicros <= PROMPT_RESET_MICROS ? loop.now() : lastChangeMicros;
    }
}
