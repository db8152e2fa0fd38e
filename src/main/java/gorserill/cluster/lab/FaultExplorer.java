package gorserill.cluster.lab;

import gorserill.cluster.lab.ClusterSimulation.Outcome;
import gorserill.cluster.lab.ClusterSimulation.Plan;
import gorserill.cluster.lab.ClusterSimulation.Scenario;
import gorserill.cluster.lab.ClusterSimulation.StepFault;
import gorserill.cluster.member.Member;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;

/**
 * A bounded exhaustive checker: starting from a run of three nodes without faults, runs every variant that has
 * one or two step faults within a given range of steps. Each variant runs to its end with all invariants
 * checked, and none is skipped as equivalent to another; distinct runs are counted by the messages sent in
 * them.
 */
public final class FaultExplorer {
    private static final int VOTERS = 3;
    private static final int SECONDS = 4;
    private static final long CALM_MS = 6_000;

    private FaultExplorer() {}

    /**
     * The result of an exploration.
     *
     * @param distinct number of runs that differ in the messages sent
     * @param violatingFaults step faults of a run that violated an invariant, by step; null if there is none
     * @param outcome of that run; null if there is none
     */
    public record Result(
            long runs, long distinct, long actsRun, Map<Integer, StepFault> violatingFaults, Outcome outcome) {}

    /**
     * Runs all variants.
     *
     * @param scenario the planned operation that takes place during the runs
     * @param from the first step with a fault, counted from {@link ClusterSimulation#SETTLED_MS}
     * @param steps the number of steps from there on that may have a fault
     * @param depth step faults in a run, 1 or 2
     */
    public static Result run(
            long seed, Scenario scenario, int from, int steps, int depth, Set<Member.InjectedFault> plants) {
        List<Map<Integer, StepFault>> variants = new ArrayList<>();
        for (int firstStep = from; firstStep < from + steps; firstStep++) {
            for (StepFault firstFault : StepFault.values()) {
                variants.add(Map.of(firstStep, firstFault));
                for (int secondStep = firstStep + 1; depth > 1 && secondStep < from + steps; secondStep++) {
                    for (StepFault secondFault : StepFault.values()) {
                        variants.add(new TreeMap<>(Map.of(firstStep, firstFault, secondStep, secondFault)));
                    }
                }
            }
        }
        Set<Long> distinct = ConcurrentHashMap.newKeySet();
        AtomicReference<Result> violating = new AtomicReference<>();
        long[] sums = variants.parallelStream()
                .flatMap(stepFaults -> {
                    if (violating.get() != null) {
                        return Stream.empty();
                    }
                    Outcome outcome = ClusterSimulation.run(new Plan(
                            scenario == Scenario.REPLACE ? VOTERS + 1 : VOTERS,
                            VOTERS,
                            SECONDS,
                            seed,
                            EnumSet.noneOf(ClusterSimulation.Fault.class),
                            plants,
                            CALM_MS,
                            scenario,
                            stepFaults));
                    distinct.add(outcome.fingerprint());
                    if (outcome.violation() != null) {
                        violating.compareAndSet(null, new Result(0, 0, 0, stepFaults, outcome));
                    }
                    return Stream.of(new long[] {1, outcome.actsRun()});
                })
                .reduce(new long[2], (a, b) -> new long[] {a[0] + b[0], a[1] + b[1]});
        Result violation = violating.get();
        return new Result(
                sums[0],
                distinct.size(),
                sums[1],
                violation == null ? null : violation.violatingFaults,
                violation == null ? null : violation.outcome);
    }
}
