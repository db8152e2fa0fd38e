package gorserill.protocol.http;

import gorserill.common.Loop;

/**
 * How long an idle connection to a worker is taken to be alive. Danger: what lies between may forget
 * connections without a word, long before the limit that is told; the next request on one is reset, and may
 * not be sent again where its class forbids that. The trust falls with each such reset and comes back in
 * time.
 */
final class IdleReuseLimit {
    private static final long LEAST = 100_000;
    /** A reset so soon after the request was sent, with nothing of an answer, speaks of a forgotten one. */
    private static final long AT_ONCE = 100_000;
    /** After so long without a doubt the trust doubles. */
    private static final long RECOVERY = 10_000_000;

    private final Loop loop;
    private final long most;
    private long limit;
    private long lastChange;

    /** @param most the trust that nothing speaks against */
    IdleReuseLimit(Loop loop, long most) {
        this.loop = loop;
        this.most = most;
        limit = most;
    }

    /** The longest that a connection may have been idle to be used again. */
    long limitMicros() {
        while (limit < most && loop.now() - lastChange >= RECOVERY) {
            limit = Math.min(most, 2 * limit);
            lastChange += RECOVERY;
        }
        return limit;
    }

    /** A request on a connection that had been idle was reset before any answer. */
    void onReset(long idle, long sinceSent) {
        if (sinceSent <= AT_ONCE && idle / 2 < limitMicros()) {
            limit = Math.min(most, Math.max(LEAST, idle / 2));
        }
        lastChange = sinceSent <= AT_ONCE ? loop.now() : lastChange;
    }
}
