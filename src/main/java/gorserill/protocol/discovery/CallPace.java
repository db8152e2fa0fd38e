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
    public static final long AGENT = 1_500;
    /** From so many nodes on, waits grow with their number. */
    private static final int FEW_NODES = 4;
    /** Waits differ by up to this part, so that those that began with the same news don't end together. */
    private static final double JITTER = 0.2;

    private final int nodes;
    private final boolean pushed;
    private final SplittableRandom random;

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
    public boolean startsWhole() {
        return pushed;
    }

    /**
     * How long a call's answer is waited for. Danger: a connection can fall silent, and what was missed then
     * counts as told 6 s after that, or 2 s after the call's wait is over if that is later. The silence may
     * have begun with the call, so the next one has to go out, and be answered by a service that takes its
     * callers in turn, before the earliest of those times. An agent that lists are pushed to answers at once
     * what need not wait, and its word counts as told 4 s after a move to it: it is asked again within that.
     */
    public long patience(long wait) {
        return wait == 0 && pushed ? AGENT : Math.max(SILENCE, wait + OVER_WAIT) - RELEARN;
    }

    /** How long the next watch waits for news. */
    public long nextWait() {
        if (nodes <= FEW_NODES) {
            return SHORTEST_WAIT;
        }
        double mean = Math.min(LONGEST_WAIT, (double) SHORTEST_WAIT * nodes / FEW_NODES);
        return (long) (mean * (1 - JITTER * random.nextDouble()));
    }
}
