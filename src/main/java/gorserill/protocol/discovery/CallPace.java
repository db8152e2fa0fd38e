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
    /** What a call takes besides its lines, in lines, as a careful guess. */
    private static final int CALL_LINES = 30;
    /** Whole lists for all nodes at once are asked for up to so many lines. */
    private static final int AFFORDABLE_LINES = 400;
    private static final long SHORTEST_WAIT = 5_000;
    /** Danger: a watch whose connection has gone silent is noticed at the end of its wait. */
    private static final long LONGEST_WAIT = 15_000;
    /** From so many nodes on, waits grow with their number. */
    private static final int FEW_NODES = 4;
    /** Waits differ by up to this part, so that those that began with the same news don't end together. */
    private static final double JITTER = 0.2;

    private final int nodes;
    private final SplittableRandom random;

    /** @param nodes how many call the same discovery, this one included */
    public CallPace(int nodes, long seed) {
        this.nodes = Math.max(1, nodes);
        random = new SplittableRandom(seed);
    }

    /** Whether a node that starts with a known list asks for the whole of it, or for what is new since. */
    public boolean startsWhole(int knownWorkers) {
        return nodes * ((long) knownWorkers + CALL_LINES) <= AFFORDABLE_LINES || knownWorkers == 0;
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
