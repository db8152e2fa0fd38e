package gorserill.cluster.shared;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * Lets jobs in as far as the budgets go. On the thread that takes jobs; what may be spent is handed over
 * whole, so a change of it is seen by the next job. What is counted is the job's entry: one that its thread
 * is stalled with behind this point was let in before.
 */
public final class BudgetLimiter {
    /** Demand is told so often, microseconds, and follows what was asked for with this weight. */
    private static final long TELLING = 100_000;

    private static final double WEIGHT = 0.3;

    private static final class Way {
        final TokenBucket bucket = new TokenBucket();
        final Budget budget;
        int asked;
        double demand;
        /** The lowest share since a job was last asked about. */
        double lowest = 1;

        Way(Budget budget) {
            this.budget = budget;
        }
    }

    private final LongSupplier memberMillis;
    private final BiConsumer<String, Double> demand;
    private final List<Way> ways = new ArrayList<>();
    private List<Allowance> allowances = List.of();
    private long toldAt = Long.MIN_VALUE;

    /**
     * @param memberMillis the member's clock, by which leases run
     * @param demand is told what was asked for a second, by budget
     */
    public BudgetLimiter(List<Budget> budgets, LongSupplier memberMillis, BiConsumer<String, Double> demand) {
        budgets.stream().sorted((a, b) -> a.name().compareTo(b.name())).forEach(b -> ways.add(new Way(b)));
        this.memberMillis = memberMillis;
        this.demand = demand;
    }

    /** What may be spent from here on; any thread. In the order of the budgets' names. */
    public synchronized void updateAllowances(List<Allowance> all) {
        long now = memberMillis.getAsLong();
        for (int i = 0; i < ways.size(); i++) {
            Way way = ways.get(i);
            // Danger: a lease that ran out and came back while no job was asked about was another's
            // meanwhile.
            way.lowest = Math.min(way.lowest, Math.min(share(i, now), all.get(i).share(now)));
        }
        allowances = List.copyOf(all);
    }

    private double share(int i, long now) {
        return allowances.isEmpty()
                ? ways.get(i).budget.share(0)
                : allowances.get(i).share(now);
    }

    /**
     * Asks for a job to be let in.
     *
     * @param micros the time
     * @return 0 where it is; else microseconds after which it may come again
     */
    public synchronized long tryAdmit(long micros, int jobClass, int tenant) {
        long member = memberMillis.getAsLong();
        long longest = 0;
        for (int i = 0; i < ways.size(); i++) {
            Way way = ways.get(i);
            if (way.budget.appliesTo(jobClass, tenant)) {
                way.asked++;
                double share = share(i, member);
                longest = Math.max(
                        longest,
                        way.bucket.waitMicros(
                                micros,
                                way.budget.perSecond() * Math.min(way.lowest, share),
                                way.budget.burst() * share));
                way.lowest = share;
            }
        }
        for (Way way : ways) {
            if (longest == 0 && way.budget.appliesTo(jobClass, tenant)) {
                way.bucket.take();
            }
        }
        reportDemand(micros);
        return longest;
    }

    /** To be called now and then also while no job comes. */
    public synchronized void reportDemand(long micros) {
        if (toldAt == Long.MIN_VALUE) {
            toldAt = micros;
        } else if (micros - toldAt >= TELLING) {
            double seconds = (micros - toldAt) / 1e6;
            double weight = 1 - Math.pow(1 - WEIGHT, (micros - toldAt) / (double) TELLING);
            toldAt = micros;
            for (Way way : ways) {
                way.demand += weight * (way.asked / seconds - way.demand);
                way.asked = 0;
                demand.accept(way.budget.name(), way.demand);
            }
        }
    }
}
