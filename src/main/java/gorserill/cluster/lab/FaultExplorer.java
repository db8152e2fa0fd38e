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
 * A checker of small scope: from one run of three nodes in which nothing goes wrong, every run that differs
 * from it by one slip or two within so many steps. Each is played to its end with all of the lab's rules, so
 * nothing is left out as like another; runs that came to the same are counted by what was said in them.
 */
public final class FaultExplorer {
    private static final int VOTERS = 3;
    private static final int SECONDS = 4;
    private static final long CALM_MS = 6_000;

    private FaultExplorer() {}

    /**
     * What came of it.
     *
     * @param violatingFaults the first run that broke a rule, by its slips; null where none did
     * @param distinct runs that differ in what was sent
     */
    public record Result(
            long runs, long distinct, long actsRun, Map<Integer, StepFault> violatingFaults, Outcome outcome) {}

    /**
     * Plays them.
     *
     * @param scenario what goes on meanwhile
     * @param from the first step that may slip, counted from when all has settled
     * @param steps how many may
     * @param depth slips in a run, 1 or 2
     */
    public static Result run(
            long seed, Scenario scenario, int from, int steps, int depth, Set<Member.InjectedFault> plants) {
        List<Map<Integer, StepFault>> all = new ArrayList<>();
        for (int first = from; first < from + steps; first++) {
            for (StepFault one : StepFault.values()) {
                all.add(Map.of(first, one));
                for (int second = first + 1; depth > 1 && second < from + steps; second++) {
                    for (StepFault two : StepFault.values()) {
                        all.add(new TreeMap<>(Map.of(first, one, second, two)));
                    }
                }
            }
        }
        Set<Long> distinct = ConcurrentHashMap.newKeySet();
        AtomicReference<Result> bad = new AtomicReference<>();
        long[] sums = all.parallelStream()
                .flatMap(slips -> {
                    if (bad.get() != null) {
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
                            slips));
                    distinct.add(outcome.fingerprint());
                    if (outcome.violation() != null) {
                        bad.compareAndSet(null, new Result(0, 0, 0, slips, outcome));
                    }
                    return Stream.of(new long[] {1, outcome.actsRun()});
                })
                .reduce(new long[2], (a, b) -> new long[] {a[0] + b[0], a[1] + b[1]});
        Result first = bad.get();
        return new Result(
                sums[0],
                distinct.size(),
                sums[1],
                first == null ? null : first.violatingFaults,
                first == null ? null : first.outcome);
    }
}
