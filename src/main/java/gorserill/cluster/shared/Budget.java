package gorserill.cluster.shared;

/**
 * A limit on the rate at which all nodes together admit certain jobs.
 *
 * @param jobClass index, in the settings, of the class of jobs that it limits; -1 for all classes
 * @param tenant index, in the settings, of the tenant whose jobs it limits; -1 for all tenants
 * @param perSecond jobs a second over all nodes
 * @param burst jobs that may be admitted at once in addition, over all nodes
 * @param floorPercent percentage of rate and burst that is divided permanently and evenly among {@code nodes},
 *     so that a node can admit some jobs while it is cut off
 * @param nodes the maximum number of nodes
 * @param hard whether the limit is never exceeded; with a soft budget, a node that is cut off keeps its share
 *     for one lease longer
 */
public record Budget(
        String name,
        int jobClass,
        int tenant,
        double perSecond,
        double burst,
        int floorPercent,
        int nodes,
        boolean hard) {
    /** Returns each node's part of the floor, as a fraction of the whole budget. */
    double floor() {
        return floorPercent / 100.0 / nodes;
    }

    /** Returns a node's fraction of the whole budget, given its thousandths of what is left after the floor. */
    double share(int thousandths) {
        return floor() + (1 - floorPercent / 100.0) * thousandths / BudgetShares.WHOLE_THOUSANDTHS;
    }

    /** Returns the thousandths that a node needs to admit {@code jobsPerSecond}. */
    int thousandthsFor(double jobsPerSecond) {
        double beyondFloor = jobsPerSecond / perSecond - floor();
        double assignable = 1 - floorPercent / 100.0;
        return beyondFloor <= 0 || assignable <= 0
                ? 0
                : (int) Math.min(
                        BudgetShares.WHOLE_THOUSANDTHS,
                        Math.ceil(beyondFloor / assignable * BudgetShares.WHOLE_THOUSANDTHS));
    }

    /** Returns whether jobs of a class and tenant are limited by this budget. */
    public boolean appliesTo(int classIndex, int tenantIndex) {
        return (jobClass < 0 || jobClass == classIndex) && (tenant < 0 || tenant == tenantIndex);
    }
}
