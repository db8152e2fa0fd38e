package gorserill.cluster.shared;

/**
 * What all nodes together may take in of some jobs.
 *
 * @param jobClass whose jobs count, by its place in the settings; -1 for all classes
 * @param tenant whose jobs count, by its place in the settings; -1 for all
 * @param perSecond jobs a second, over all nodes
 * @param burst jobs beyond that at once, over all nodes
 * @param floorPercent of both that is divided evenly among {@code nodes} for good, so that each has something
 *     while it hears nothing
 * @param nodes that there are at the most
 * @param hard whether it is never exceeded; else a node that hears nothing keeps its part for a lease more
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
    double floor() {
        return floorPercent / 100.0 / nodes;
    }

    /** The part of the whole that a node has with so many thousandths of what is given out. */
    double share(int thousandths) {
        return floor() + (1 - floorPercent / 100.0) * thousandths / BudgetShares.WHOLE_THOUSANDTHS;
    }

    /** The thousandths that a node needs to spend so much a second. */
    int thousandthsFor(double jobsPerSecond) {
        double beyond = jobsPerSecond / perSecond - floor();
        double given = 1 - floorPercent / 100.0;
        return beyond <= 0 || given <= 0
                ? 0
                : (int) Math.min(
                        BudgetShares.WHOLE_THOUSANDTHS, Math.ceil(beyond / given * BudgetShares.WHOLE_THOUSANDTHS));
    }

    /** Whether a job counts. */
    public boolean appliesTo(int itsClass, int itsTenant) {
        return (jobClass < 0 || jobClass == itsClass) && (tenant < 0 || tenant == itsTenant);
    }
}
