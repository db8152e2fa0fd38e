package gorserill.program.scale;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * What one point of a run consists of.
 *
 * @param workers hollow ones
 * @param nodes real processes of the program
 * @param hollowNodes members of the cluster without fronts and jobs; 0 for no cluster. Else the real ones
 *     vote
 * @param tenants that the settings name; 0 for none
 * @param churn workers a second that drain or die, and come back cold
 * @param rate jobs a second at each node
 * @param seconds that are measured, once idle and once under load
 * @param seed of all that is drawn
 */
public record ScalePlan(
        int workers,
        int nodes,
        int hollowNodes,
        int tenants,
        double churn,
        int rate,
        int seconds,
        long seed,
        Plant plant) {
    private static final List<Integer> VOTERS = List.of(1, 3, 5);
    /** The bounds of the arguments. */
    public static final int MOST_WORKERS = 10_000;

    public static final int MOST_NODES = 40;
    public static final int MOST_HOLLOW_NODES = 300;
    public static final int MOST_TENANTS = 1_000;
    public static final int MOST_CHURN = 50;
    public static final int MOST_RATE = 1_000;
    public static final int MOST_SECONDS = 120;

    /** The same but for one dimension. */
    public ScalePlan with(Dimension dimension, int value) {
        return switch (dimension) {
            case WORKERS -> new ScalePlan(value, nodes, hollowNodes, tenants, churn, rate, seconds, seed, plant);
            case NODES -> new ScalePlan(workers, value, hollowNodes, tenants, churn, rate, seconds, seed, plant);
            case HOLLOW_NODES -> new ScalePlan(workers, nodes, value, tenants, churn, rate, seconds, seed, plant);
            case TENANTS -> new ScalePlan(workers, nodes, hollowNodes, value, churn, rate, seconds, seed, plant);
            case CHURN -> new ScalePlan(workers, nodes, hollowNodes, tenants, value, rate, seconds, seed, plant);
        };
    }

    /** The same with another seed. */
    public ScalePlan withSeed(long other) {
        return new ScalePlan(workers, nodes, hollowNodes, tenants, churn, rate, seconds, other, plant);
    }

    /** The real ones and the hollow ones. */
    int allNodes() {
        return nodes + hollowNodes;
    }

    /** What is wrong with it; null where nothing is. */
    public String fault() {
        if (hollowNodes > 0 && !VOTERS.contains(nodes)) {
            return "nodes " + nodes + " is none of " + VOTERS + ": beside hollow nodes the real ones vote";
        }
        return Stream.of(
                        outside("workers", workers, 1, MOST_WORKERS),
                        outside("nodes", nodes, 1, MOST_NODES),
                        outside("hollow-nodes", hollowNodes, 0, MOST_HOLLOW_NODES),
                        outside("tenants", tenants, 0, MOST_TENANTS),
                        outside("churn", churn, 0, MOST_CHURN),
                        outside("rate", rate, 1, MOST_RATE),
                        outside("seconds", seconds, 1, MOST_SECONDS))
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(null);
    }

    private static String outside(String name, Number value, int least, int most) {
        boolean inside = value.doubleValue() >= least && value.doubleValue() <= most;
        return inside ? null : name + " " + value + " is not from " + least + " to " + most;
    }
}
