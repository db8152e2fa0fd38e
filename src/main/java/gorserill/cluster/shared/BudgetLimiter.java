package gorserill.cluster.shared;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * Admits jobs within the node's shares of the budgets. It runs on the thread that accepts jobs; new allowances
 * replace all former ones at once, so the next job sees a change. A job counts when it is admitted: a job
 * whose thread stalls after that point was admitted under the former allowances.
 */
public final class BudgetLimiter {
    private static final long DEMAND_INTERVAL_MICROS = 100_000;
    /** Weight of a new interval in the moving average of demand. */
    private static final double DEMAND_WEIGHT = 0.3;

    private static final class LimitedBudget {
        final TokenBucket bucket = new TokenBucket();
        final Budget budget;
        int requested;
        double demandPerSecond;
        /** The lowest share since the previous call of {@link #tryAdmit} for this budget. */
        double lowestShare = 1;

        LimitedBudget(Budget budget) {
            this.budget = budget;
        }
    }

    private final LongSupplier memberMillis;
    private final BiConsumer<String, Double> demandListener;
    private final List<LimitedBudget> limits = new ArrayList<>();
    private List<Allowance> allowances = List.of();
    private long reportedAtMicros = Long.MIN_VALUE;

    /**
     * @param memberMillis the member's clock, by which leases are measured
     * @param demandListener receives the jobs a second that were requested of each budget, admitted or not
     */
    public BudgetLimiter(List<Budget> budgets, LongSupplier memberMillis, BiConsumer<String, Double> demandListener) {
        budgets.stream().sorted((a, b) -> a.name().compareTo(b.name())).forEach(b -> limits.add(new LimitedBudget(b)));
        this.memberMillis = memberMillis;
        this.demandListener = demandListener;
    }

    /** Replaces the allowances, which are ordered by the budgets' names. May be called on any thread. */
    public synchronized void updateAllowances(List<Allowance> all) {
        long now = memberMillis.getAsLong();
        for (int i = 0; i < limits.size(); i++) {
            LimitedBudget limit = limits.get(i);
            // A lease may expire and be granted again between two jobs. Another node held the share in between,
            // so the bucket must not be refilled for that time.
            limit.lowestShare = Math.min(
                    limit.lowestShare, Math.min(share(i, now), all.get(i).share(now)));
        }
        allowances = List.copyOf(all);
    }

    private double share(int i, long now) {
        return allowances.isEmpty()
                ? limits.get(i).budget.share(0)
                : allowances.get(i).share(now);
    }

    /**
     * Admits a job if all budgets that apply to it have a token.
     *
     * @param micros the time, in microseconds of a monotonic clock
     * @return 0 if the job is admitted, else the microseconds after which to try again
     */
    public synchronized long tryAdmit(long micros, int jobClass, int tenant) {
        long memberNow = memberMillis.getAsLong();
        long longestWait = 0;
        for (int i = 0; i < limits.size(); i++) {
            LimitedBudget limit = limits.get(i);
            if (limit.budget.appliesTo(jobClass, tenant)) {
                limit.requested++;
                double share = share(i, memberNow);
                longestWait = Math.max(
                        longestWait,
                        limit.bucket.waitMicros(
                                micros,
                                limit.budget.perSecond() * Math.min(limit.lowestShare, share),
                                limit.budget.burst() * share));
                limit.lowestShare = share;
            }
        }
        for (LimitedBudget limit : limits) {
            if (longestWait == 0 && limit.budget.appliesTo(jobClass, tenant)) {
                limit.bucket.take();
            }
        }
        reportDemand(micros);
        return longestWait;
    }

    /** Reports demand once an interval has passed. Has to be called regularly also while no jobs arrive. */
    public synchronized void reportDemand(long micros) {
        if (reportedAtMicros == Long.MIN_VALUE) {
            reportedAtMicros = micros;
        } else if (micros - reportedAtMicros >= DEMAND_INTERVAL_MICROS) {
            double seconds = (micros - reportedAtMicros) / 1e6;
            double weight =
                    1 - Math.pow(1 - DEMAND_WEIGHT, (micros - reportedAtMicros) / (double) DEMAND_INTERVAL_MICROS);
            reportedAtMicros = micros;
            for (LimitedBudget limit : limits) {
                limit.demandPerSecond += weight * (limit.requested / seconds - limit.demandPerSecond);
                limit.requested = 0;
                demandListener.accept(limit.budget.name(), limit.demandPerSecond);
            }
        }
    }
}
