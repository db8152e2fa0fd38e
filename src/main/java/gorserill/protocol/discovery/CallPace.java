package gorserill.protocol.discovery;

import java.util.SplittableRandom;

/**
 * How a node calls discovery so that the calls of all nodes together stay within what one service bears. It
 * serves calls in turn, and each takes the time of some lines and of those that it answers; a call that waits
 * too long fails, and whoever fails asks again. Danger: whole lists for a fleet that starts at once, or waits
 * that end empty at all nodes together, keep it busy with what teaches nobody anything.
 *
 * <p>Free of I/O and clock; all randomness comes from the seed. Times are milliseconds.
 */
public final class CallPace {
    private static final long SHORTEST_WAIT = 5_000;
    /** Danger: a watch whose connection has gone silent is noticed at the end of its wait. */
    private static final long LONGEST_WAIT = 15_000;
    /** What was missed counts as told so long after a silence began, or after a wait was over. */
    private static final long SILENCE = 6_000;

    private static final long OVER_WAIT = 2_000;
    /** Kept of that for a new connection, the call on it and its turn. */
    private static final long RELEARN = 1_500;
    /** An agent on the node's own machine has answered by then, or never will. */
    public static final long AGENT_TIMEOUT_MS = 1_500;
    /** A connection to discovery is up by then, or never will be. */
    public static final long CONNECT_TIMEOUT_MS = 1_000;
    /** A call that failed after so long has waited for its turn, or for a connection, and need not rest as well. */
    private static final long QUEUED = 1_000;
    /** Rests grow with the number of nodes, so that the calls of all together do not. */
    private static final long REST_PER_NODE = 30;

    /** Danger: after the longest rest the next call has to be answered before what was missed counts as told. */
    private static final long LONGEST_REST = 3_000;

    /** The call after a failed one is answered this soon, whether or not there is news. */
    private static final long RETRY_WAIT = 1_000;
    /**
     * The call after a silence, which asks for an answer at once, is followed by another so soon. Danger: it may fall
     * silent, too, and what the first one hid counts as told by then.
     */
    private static final long AFTER_SILENCE = 1_000;
    /** A busy service has answered, or turned away, a call by so long after its wait. */
    private static final long TURN = 2_500;
    /** From so many nodes on, waits grow with their number. */
    private static final int FEW_NODES = 4;
    /** Waits differ by up to this part, so that those that began with the same news don't end together. */
    private static final double JITTER = 0.2;

    private final int nodes;
    private final boolean pushed;
    private final SplittableRandom random;
    private boolean lastFailed;
    private boolean lastSilent;

    /**
     * @param nodes how many call the same discovery, this one included
     * @param pushed whether lists are pushed to an agent beside the node
     */
    public CallPace(int nodes, boolean pushed, long seed) {
        this.pushed = pushed;
        this.nodes = Math.max(1, nodes);
        random = new SplittableRandom(seed);
    }

    /**
     * Whether a node that knows a list begins with a call for the whole, which is always answered at once.
     * Danger: what an agent beside the node has counts as told from the node's first moment; a call for what
     * is new would leave open whether there is nothing new or nothing heard.
     */
    public boolean startsWithFullList() {
        return pushed;
    }

    /**
     * How long a call's answer is waited for. Danger: a connection can fall silent, and what was missed then
     * counts as told 6 s after that, or 2 s after the call's wait is over if that is later. The silence may
     * have begun with the call, so the next one has to go out, and be answered by a service that takes its
     * callers in turn, before the earliest of those times. An agent that lists are pushed to answers at once
     * what need not wait, and its word counts as told 4 s after a move to it: it is asked again within that.
     */
    public long answerTimeout(long wait) {
        if (wait == 0 && pushed) {
            return AGENT_TIMEOUT_MS;
        }
        if (lastSilent) {
            return wait + AFTER_SILENCE;
        }
        return lastFailed && wait <= RETRY_WAIT ? wait + TURN : Math.max(SILENCE, wait + OVER_WAIT) - RELEARN;
    }

    /** How long the next watch waits for news: after a failed call only briefly, so that it is soon known to work. */
    public long nextWatchWait() {
        if (lastSilent) {
            return 0;
        } else if (lastFailed) {
            return RETRY_WAIT;
        }
        if (nodes <= FEW_NODES) {
            return SHORTEST_WAIT;
        }
        double mean = Math.min(LONGEST_WAIT, (double) SHORTEST_WAIT * nodes / FEW_NODES);
        return (long) (mean * (1 - JITTER * random.nextDouble()));
    }

    /**
     * How long a node that starts with a list rests before its first call. Danger: nodes that are restarted
     * together, as after a fault, would all call in the same moment, more than the service answers in the time
     * that it lets a call wait.
     */
    public long initialDelay() {
        return rests() ? random.nextLong(longestRest()) : 0;
    }

    private boolean rests() {
        return !pushed && nodes > FEW_NODES;
    }

    private long longestRest() {
        return Math.min(LONGEST_REST, nodes * REST_PER_NODE);
    }

    /** A call was answered. */
    public void recordAnswer() {
        lastFailed = false;
        lastSilent = false;
    }

    /**
     * The service turned a call away; gives how long to rest before the next one, at the least. Danger: a call that
     * has waited too long costs the service as much as one that it answers. Where the retries of many nodes fill its
     * time none of them is ever answered; so all of theirs together must leave it some.
     */
    public long delayAfterTurnedAway() {
        lastFailed = true;
        lastSilent = false;
        return rests() ? longestRest() / 2 + random.nextLong(longestRest() / 2) : 0;
    }

    /**
     * A call failed in another way; gives whether the next one goes out at once. Danger:
     * what discovery has counts as told 6 s after the node could have heard it; the time that the call took was rest
     * enough.
     *
     * @param milliseconds since the call, its connection included, was begun
     */
    public boolean retryAtOnceAfterFailure(long milliseconds) {
        lastFailed = true;
        lastSilent = false;
        return milliseconds >= QUEUED;
    }

    /** A call was not answered in its time; the next one goes out at once. */
    public void recordSilence() {
        lastFailed = true;
        lastSilent = true;
    }
}
