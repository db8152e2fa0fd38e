package barrowflow;

import barrowflow.Dispatcher.Tenant;
import barrowflow.gossip.Gossip;
import java.util.Arrays;
import java.util.List;

/**
 * How much of its share each tenant has used: figures of this dispatcher's, and of the others' where they
 * tell them. It says what is over a share; what becomes of that, {@link Choice} decides.
 */
final class TenantShares {
    /** Use is seen over two seconds; so much may come at once, or three jobs. */
    private static final double USAGE_DECAY_MICROS = 2e6;

    private static final double MIN_BURST_JOBS = 3;
    /** Honest tenants are held to use this part of their shares. */
    private static final double TYPICAL_UTILIZATION = 0.8;
    /** Where few jobs were seen, each dispatcher's part of a tenant's counts as even: so many jobs' worth. */
    private static final double EVEN_PRIOR_JOBS = 0.5;

    private final List<Tenant> tenants;
    private final int dispatchers;
    private final double[] allowance;
    /** Jobs seen of late, over the tenant's jobs a second. */
    private final double[] usage;

    private double recentJobs;
    /** The part of the memory that has been lived through. */
    private double observedFraction;

    TenantShares(List<Tenant> tenants, int dispatchers) {
        this.tenants = tenants;
        this.dispatchers = dispatchers;
        allowance = new double[tenants.size()];
        usage = new double[allowance.length];
        Arrays.fill(allowance, MIN_BURST_JOBS);
    }

    /**
     * Takes a job from its tenant's allowance, which periods refill; false where none is left. Danger: a
     * client that comes again with what was turned away asks for no more than it did; counted again, it would
     * push its tenant's other jobs over the share, the more the busier the fleet is.
     *
     * @param tenant none of the settings', where these name some, has no share
     * @param first not a client's repeat
     */
    boolean tryAcquire(int tenant, boolean first) {
        recentJobs += first ? 1 : 0;
        if (tenant < 0 || tenant >= allowance.length) {
            return allowance.length == 0;
        } else if (tenants.get(tenant).jobsPerSecond() <= 0) {
            return true;
        }
        usage[tenant] += first ? 1 / tenants.get(tenant).jobsPerSecond() : 0;
        boolean within = allowance[tenant] >= 1;
        allowance[tenant] -= within && first ? 1 : 0;
        return within;
    }

    /**
     * Refills allowances by this dispatcher's part of the shares: the part of a tenant's jobs that it sees,
     * where the others tell theirs; else even, or more where most tenants send more through it. Danger:
     * clients are not spread alike, and who sees much of the traffic would take honest tenants for greedy.
     * One that has just begun has seen next to nothing: until it has, its part counts as even.
     */
    void refill(double period, Gossip others) {
        boolean told = others != null && others.peerCount() > 0;
        double[] sorted = usage.clone();
        Arrays.sort(sorted);
        double median = sorted.length < 3 ? 0 : sorted[(sorted.length - 1) / 2] * 1e6 / USAGE_DECAY_MICROS;
        double even = Math.max(1.0 / dispatchers, median / TYPICAL_UTILIZATION);
        for (int t = 0; t < allowance.length; t++) {
            double share = tenants.get(t).jobsPerSecond();
            double seen = usage[t] * share * 1e6 / USAGE_DECAY_MICROS;
            double part = (seen + EVEN_PRIOR_JOBS)
                    / (seen + (told ? others.peerJobsPerSecond(t) : 0) + EVEN_PRIOR_JOBS * dispatchers);
            double mine = told ? part * observedFraction + even * (1 - observedFraction) : even;
            double rate = share * mine / 1e6;
            allowance[t] = Math.min(Math.max(MIN_BURST_JOBS, rate * USAGE_DECAY_MICROS), allowance[t] + rate * period);
            usage[t] *= Math.exp(-period / USAGE_DECAY_MICROS);
        }
        recentJobs *= Math.exp(-period / USAGE_DECAY_MICROS);
        observedFraction += (1 - observedFraction) * (1 - Math.exp(-period / USAGE_DECAY_MICROS));
    }

    /** First tries of all tenants that this dispatcher sees a second. */
    double jobsPerSecond() {
        return recentJobs * 1e6 / USAGE_DECAY_MICROS;
    }

    /** The same of each tenant that has a share. */
    double[] jobsPerSecondByTenant() {
        double[] rates = usage.clone();
        for (int t = 0; t < rates.length; t++) {
            rates[t] *= tenants.get(t).jobsPerSecond() * 1e6 / USAGE_DECAY_MICROS;
        }
        return rates;
    }
}
