package gorserill.protocol.discovery;

import java.util.SplittableRandom;

/**
 * Schedules a node's calls to discovery so that the calls of all nodes together stay within what one service can
 * handle. The service handles calls in sequence; each costs a fixed time plus a time per list line returned. A call
 * that waits too long fails and is retried. Requests for full lists by a fleet that starts at once, and watches that
 * expire at all nodes together, would load the service with calls that return nothing new.
 *
 * <p>Free of I/O and clock; all randomness comes from the seed. Times are milliseconds.
 */
public final class CallPace {
    private static final long MIN_WAIT_MS = 5_000;
    /** Upper limit, because a watch whose connection has gone silent is noticed only at the end of its wait. */
    private static final long MAX_WAIT_MS = 15_000;
    /**
     * A change counts as reported to the node this long after a silence began, or {@link #WAIT_OVERRUN_MS} after the
     * end of a wait if that is later.
     */
    private static final long SILENCE_LIMIT_MS = 6_000;

    private static final long WAIT_OVERRUN_MS = 2_000;
    /** Part of those times reserved for a new connection, the next call on it and its time in the service's queue. */
    private static final long RECOVERY_MS = 1_500;
    /** An agent on the node's own machine answers within this time or not at all. */
    public static final long AGENT_TIMEOUT_MS = 1_500;
    /** A connection to discovery is established within this time or not at all. */
    public static final long CONNECT_TIMEOUT_MS = 1_000;
    /**
     * A call that failed after at least this long has already waited in the queue or for a connection, so the next
     * one needs no delay.
     */
    private static final long QUEUED_MS = 1_000;
    /** Delays grow with the number of nodes, so that the total call rate does not. */
    private static final long DELAY_PER_NODE_MS = 30;

    /**
     * Upper limit, so that even after the longest delay the next call is answered before missed changes count as
     * reported.
     */
    private static final long MAX_DELAY_MS = 3_000;

    /** Wait of the call after a failed one: short, whether or not there are changes. */
    private static final long RETRY_WAIT_MS = 1_000;
    /**
     * Time limit of the call after a silence, which asks for an immediate answer. That call may go unanswered, too,
     * and by its end the changes that the first one missed count as reported.
     */
    private static final long AFTER_SILENCE_MS = 1_000;
    /** A busy service answers or rejects a call within this time after the call's wait. */
    private static final long QUEUE_ALLOWANCE_MS = 2_500;
    /** Up to this number of nodes, watches use the shortest wait; above it, waits grow with the number of nodes. */
    private static final int SMALL_FLEET_NODES = 4;
    /**
     * Waits are shortened by a random part of up to this fraction, so that watches begun by the same change do not
     * expire together.
     */
    private static final double JITTER = 0.2;

    private final int nodes;
    private final boolean pushedLists;
    private final SplittableRandom random;
    private boolean lastFailed;
    private boolean lastSilent;

    /**
     * @param nodes how many nodes call the same discovery, this one included
     * @param pushedLists whether lists are pushed to an agent on the node's machine
     */
    public CallPace(int nodes, boolean pushedLists, long seed) {
        this.pushedLists = pushedLists;
        this.nodes = Math.max(1, nodes);
        random = new SplittableRandom(seed);
    }

    /**
     * Whether a node that has a cached list begins with a request for the full list, which is always answered
     * immediately. The list of an agent on the same machine counts as reported to the node from its start; a request
     * for changes only could not distinguish no changes from no answer.
     */
    public boolean startsWithFullList() {
        return pushedLists;
    }

    /**
     * How long to wait for the answer to a call. A connection can fall silent, and changes missed then count as
     * reported 6 s after the silence began, or 2 s after the call's wait is over if that is later. The silence may
     * have begun with the call, so the next call must be sent, and answered by a service that handles calls in
     * sequence, before the earliest of those times. An agent to which lists are pushed answers calls without a wait
     * immediately, and its changes count as reported 4 s after a switch to it, so it is asked again within that time.
     *
     * @param wait how long the call asks the service to wait for changes
     */
    public long answerTimeout(long wait) {
        if (wait == 0 && pushedLists) {
            return AGENT_TIMEOUT_MS;
        }
        if (lastSilent) {
            return wait + AFTER_SILENCE_MS;
        }
        return lastFailed && wait <= RETRY_WAIT_MS
                ? wait + QUEUE_ALLOWANCE_MS
                : Math.max(SILENCE_LIMIT_MS, wait + WAIT_OVERRUN_MS) - RECOVERY_MS;
    }

    /**
     * How long the next watch waits for changes; short after a failed call, to find out soon whether calls work
     * again.
     */
    public long nextWatchWait() {
        if (lastSilent) {
            return 0;
        } else if (lastFailed) {
            return RETRY_WAIT_MS;
        }
        if (nodes <= SMALL_FLEET_NODES) {
            return MIN_WAIT_MS;
        }
        double mean = Math.min(MAX_WAIT_MS, (double) MIN_WAIT_MS * nodes / SMALL_FLEET_NODES);
        return (long) (mean * (1 - JITTER * random.nextDouble()));
    }

    /**
     * Delay before the first call of a node that starts with a cached list. Nodes that restart together, as after a
     * fault, would otherwise all call at the same moment, which is more than the service can answer before calls time
     * out in its queue.
     */
    public long initialDelay() {
        return delaysCalls() ? random.nextLong(maxDelay()) : 0;
    }

    private boolean delaysCalls() {
        return !pushedLists && nodes > SMALL_FLEET_NODES;
    }

    private long maxDelay() {
        return Math.min(MAX_DELAY_MS, nodes * DELAY_PER_NODE_MS);
    }

    /** Records that a call was answered. */
    public void recordAnswer() {
        lastFailed = false;
        lastSilent = false;
    }

    /**
     * Records that the service rejected a call; returns the minimum delay before the next one. A call that times out
     * in the queue costs the service as much as one that it answers. Retries of many nodes could take up all of its
     * time and none would be answered, so the delay keeps their total rate below that.
     */
    public long delayAfterTurnedAway() {
        lastFailed = true;
        lastSilent = false;
        return delaysCalls() ? maxDelay() / 2 + random.nextLong(maxDelay() / 2) : 0;
    }

    /**
     * Records that a call failed otherwise; returns whether the next one is sent immediately. Changes count as
     * reported 6 s after the node could have received them, so no delay is added if the failed call took long enough
     * itself.
     *
     * @param milliseconds time since the call was begun, connection included
     */
    public boolean retryAtOnceAfterFailure(long milliseconds) {
        lastFailed = true;
        lastSilent = false;
        return milliseconds >= QUEUED_MS;
    }

    /** Records that a call got no answer within its time limit; the next one is sent immediately. */
    public void recordSilence() {
        lastFailed = true;
        lastSilent = true;
    }
}
