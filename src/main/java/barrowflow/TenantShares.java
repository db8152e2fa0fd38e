package barrowflow;

import barrowflow.Dispatcher.Tenant;
import barrowflow.gossip.Gossip;
import java.util.Arrays;
import java.util.List;

/**
 * Tracks how much of its share each tenant uses, from the requests of this dispatcher and from the rates that
 * other dispatchers announce. It only reports what is over a share; {@link Choice} decides how such jobs are
 * treated.
 */
final class TenantShares {
    /**
     * Time constant with which usage decays, microseconds; also the length of the burst that an allowance
     * holds.
     */
    private static final double USAGE_DECAY_MICROS = 2e6;
    /** The smallest burst that an allowance holds, in jobs. */
    private static final double MIN_BURST_JOBS = 3;
    /** The fraction of its share that a tenant within its limits is assumed to use. */
    private static final double TYPICAL_UTILIZATION = 0.8;
    /** Prior weight, in jobs, of an even split of a tenant's share, for when few jobs have been observed. */
    private static final double EVEN_PRIOR_JOBS = 0.5;

    private final List<Tenant> tenants;
    private final int dispatchers;
    private final double[] allowance;
    /** Decayed count of recent jobs, divided by the tenant's jobs per second. */
    private final double[] usage;

    private double recentJobs;
    /** How far the usage figures have built up since the start, from 0 to 1. */
    private double observedFraction;

    TenantShares(List<Tenant> tenants, int dispatchers) {
        this.tenants = tenants;
        this.dispatchers = dispatchers;
        allowance = new double[tenants.size()];
        usage = new double[allowance.length];
        Arrays.fill(allowance, MIN_BURST_JOBS);
    }

    /**
     * Takes a job from its tenant's allowance, which is refilled each period; false if none is left. A repeat
     * of a refused job is not counted again: otherwise retries would push the tenant's other jobs over its
     * share, and the more so the busier the workers are.
     *
     * @param tenant index into the settings' list; a tenant that is not in a non-empty list has no share
     * @param firstTry false for a repeat by the client
     */
    boolean tryAcquire(int tenant, boolean firstTry) {
        recentJobs += firstTry ? 1 : 0;
        if (tenant < 0 || tenant >= allowance.length) {
            return allowance.length == 0;
        } else if (tenants.get(tenant).jobsPerSecond() <= 0) {
            return true;
        }
        usage[tenant] += firstTry ? 1 / tenants.get(tenant).jobsPerSecond() : 0;
        boolean within = allowance[tenant] >= 1;
        allowance[tenant] -= within && firstTry ? 1 : 0;
        return within;
    }

    /**
     * Refills the allowances with this dispatcher's part of the shares. Where other dispatchers announce
     * their rates, the part is the fraction of the tenant's jobs that arrive here. Otherwise it is an even
     * split, or more where most tenants send more through this dispatcher: clients are not spread evenly, and
     * a dispatcher that receives much of the traffic would treat tenants within their limits as over them. A
     * dispatcher that has just started has observed few jobs, so its part starts at the even split.
     */
    void refill(double periodMicros, Gossip gossip) {
        boolean peersHeard = gossip != null && gossip.peerCount() > 0;
        double[] sorted = usage.clone();
        Arrays.sort(sorted);
        double median = sorted.length < 3 ? 0 : sorted[(sorted.length - 1) / 2] * 1e6 / USAGE_DECAY_MICROS;
        double evenPart = Math.max(1.0 / dispatchers, median / TYPICAL_UTILIZATION);
        for (int t = 0; t < allowance.length; t++) {
            double share = tenants.get(t).jobsPerSecond();
            double localRate = usage[t] * share * 1e6 / USAGE_DECAY_MICROS;
            double observedPart = (localRate + EVEN_PRIOR_JOBS)
                    / (localRate + (peersHeard ? gossip.peerJobsPerSecond(t) : 0) + EVEN_PRIOR_JOBS * dispatchers);
            double ownPart =
                    peersHeard ? observedPart * observedFraction + evenPart * (1 - observedFraction) : evenPart;
            double rate = share * ownPart / 1e6;
            allowance[t] =
                    Math.min(Math.max(MIN_BURST_JOBS, rate * USAGE_DECAY_MICROS), allowance[t] + rate * periodMicros);
            usage[t] *= Math.exp(-periodMicros / USAGE_DECAY_MICROS);
        }
        recentJobs *= Math.exp(-periodMicros / USAGE_DECAY_MICROS);
        observedFraction += (1 - observedFraction) * (1 - Math.exp(-periodMicros / USAGE_DECAY_MICROS));
    }

    /** Rate of first tries of all tenants at this dispatcher, jobs per second. */
    double jobsPerSecond() {
        return recentJobs * 1e6 / USAGE_DECAY_MICROS;
    }

    /** Rate of first tries of each tenant that has a share, jobs per second. */
    double[] jobsPerSecondByTenant() {
        double[] rates = usage.clone();
        for (int t = 0; t < rates.length; t++) {
            rates[t] *= tenants.get(t).jobsPerSecond() * 1e6 / USAGE_DECAY_MICROS;
        }
        return rates;
    }
}
