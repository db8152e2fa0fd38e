package gorserill.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import gorserill.cluster.lab.ClusterSimulation;
import gorserill.cluster.lab.ClusterSimulation.Fault;
import gorserill.cluster.lab.ClusterSimulation.Outcome;
import gorserill.cluster.lab.ClusterSimulation.Plan;
import gorserill.cluster.lab.ClusterSimulation.Scenario;
import gorserill.cluster.lab.FaultExplorer;
import gorserill.cluster.lab.MessageKind;
import gorserill.cluster.lab.Traffic;
import gorserill.cluster.member.Member.InjectedFault;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Members, log and ownership simulated in virtual time: the rules hold for every seed, and each injected
 * fault is detected.
 */
public class LabTest {
    private static final Set<Fault> ALL_FAULTS = EnumSet.allOf(Fault.class);
    private static final int LAB_PIECES = 4;

    private static List<Outcome> runs(int nodes, long seeds, Set<Fault> faults, Set<InjectedFault> injectedFaults) {
        return LongStream.range(0, seeds)
                .parallel()
                .mapToObj(seed ->
                        ClusterSimulation.run(new Plan(nodes, Math.min(3, nodes), 30, seed, faults, injectedFaults)))
                .toList();
    }

    @DataProvider
    public Object[][] clusters() {
        return new Object[][] {
            {3, 250, ALL_FAULTS},
            {5, 60, ALL_FAULTS},
            {9, 20, ALL_FAULTS},
            {1, 20, EnumSet.of(Fault.CRASH, Fault.STALL)},
            {3, 60, EnumSet.of(Fault.FORGET, Fault.CUT, Fault.CRASH)},
            {6, 60, EnumSet.of(Fault.FORGET, Fault.MOVE, Fault.CRASH, Fault.CUT)},
            {3, 60, EnumSet.of(Fault.STALL, Fault.DRIFT)}
        };
    }

    @Test(dataProvider = "clusters")
    public void rulesHoldForEverySeed(int nodes, int seeds, Set<Fault> faults) {
        List<Outcome> outcomes = runs(nodes, seeds, faults, Set.of());
        for (int seed = 0; seed < seeds; seed++) {
            Outcome outcome = outcomes.get(seed);
            assertNull(
                    outcome.violation(),
                    "seed " + seed + ": " + outcome.violation() + "\n" + String.join("\n", outcome.history()));
        }
        assertTrue(outcomes.stream().mapToInt(Outcome::actsRun).sum() > 100 * seeds, "too few actsRun were done");
    }

    /**
     * Every node of a large fleet reports its budget demand, up to ten times a second; claims must not be
     * delayed by these reports.
     */
    @Test
    public void claimsAreNotDelayedByBudgetRequestsOfTwoHundredNodes() {
        Outcome outcome = ClusterSimulation.run(
                new Plan(200, 3, 2, 1, EnumSet.of(Fault.DRIFT), Set.of(), 2_000, Scenario.QUIET, Map.of()));
        assertNull(outcome.violation(), outcome.violation() + "\n" + String.join("\n", outcome.history()));
        assertEquals(outcome.unknownClaims(), 0, "claims of unknownClaims outcome");
        assertTrue(outcome.actsRun() >= LAB_PIECES * (4_000 - 1_000) / 300, outcome.actsRun() + " actsRun");
    }

    /** The messages of a run are counted by role and kind. */
    @Test
    public void trafficIsCountedByRoleAndKind() {
        List<Traffic.Figure> traffic = ClusterSimulation.run(
                        new Plan(5, 3, 6, 1, EnumSet.of(Fault.DRIFT), Set.of(), 4_000, Scenario.QUIET, Map.of()))
                .traffic();
        double sent = rate(traffic, Traffic.Role.LEADER, Traffic.Direction.SENT, MessageKind.VIEW);
        assertEquals(rate(traffic, Traffic.Role.PLAIN, Traffic.Direction.SENT, MessageKind.RENEWAL), 5, 0.5);
        assertEquals(sent, 4 * 5, 2, "a view for each renewal of the four others");
        assertEquals(
                rate(traffic, Traffic.Role.VOTER, Traffic.Direction.RECEIVED, MessageKind.LOG_APPEND),
                rate(traffic, Traffic.Role.LEADER, Traffic.Direction.SENT, MessageKind.LOG_APPEND) / 2,
                1);
        assertTrue(traffic.stream().noneMatch(figure -> figure.kind() == MessageKind.OTHER), traffic + "");
    }

    private static double rate(
            List<Traffic.Figure> traffic, Traffic.Role role, Traffic.Direction direction, MessageKind kind) {
        return traffic.stream()
                .filter(figure -> figure.role() == role && figure.direction() == direction && figure.kind() == kind)
                .mapToDouble(Traffic.Figure::messagesPerSecond)
                .sum();
    }

    /** A voter that lost its disk or is to leave is replaced by command in nearly every run. */
    @Test
    public void lostVotersAreReplaced() {
        List<Outcome> outcomes = runs(4, 20, EnumSet.of(Fault.FORGET, Fault.MOVE), Set.of());
        assertTrue(
                outcomes.stream().mapToInt(Outcome::replacedVoters).sum() > 40,
                "" + outcomes.stream().map(Outcome::replacedVoters).toList());
    }

    /** A broken link ends few lives, because messages are relayed through another voter. */
    @Test
    public void relayingPreventsMostLifeLosses() {
        Set<Fault> link = EnumSet.of(Fault.LINK);
        int livesWithRelay = runs(9, 20, link, Set.of()).stream()
                .mapToInt(Outcome::falselyEndedLives)
                .sum();
        int livesWithoutRelay = runs(9, 20, link, Set.of(InjectedFault.NO_DETOUR)).stream()
                .mapToInt(Outcome::falselyEndedLives)
                .sum();
        assertTrue(
                livesWithoutRelay > 20 && 3 * livesWithRelay < livesWithoutRelay,
                livesWithRelay + " of " + livesWithoutRelay);
    }

    @Test
    public void sameSeedGivesIdenticalRun() {
        Plan plan = new Plan(3, 3, 20, 11, ALL_FAULTS, Set.of());
        Outcome first = ClusterSimulation.run(plan);
        assertEquals(ClusterSimulation.run(plan), first);
        assertNotEquals(
                ClusterSimulation.run(new Plan(3, 3, 20, 12, ALL_FAULTS, Set.of()))
                        .fingerprint(),
                first.fingerprint());
    }

    /**
     * In a stable cluster of three, each step in turn is lost, delayed, suspended, or the last one of its
     * process.
     */
    @Test
    public void rulesHoldForAFaultAtAnyStep() {
        for (Scenario scene : Scenario.values()) {
            FaultExplorer.Result found = FaultExplorer.run(1, scene, 0, 100, 1, Set.of());
            assertNull(
                    found.violatingFaults(),
                    found.violatingFaults() == null
                            ? ""
                            : scene + " " + found.violatingFaults() + " "
                                    + found.outcome().violation());
            assertTrue(found.distinct() > 100 && found.actsRun() > 20_000, found + "");
        }
        for (InjectedFault injectedFault :
                Set.of(InjectedFault.CLAIM_SKIPPED, InjectedFault.OWNER_THAT_DOES_NOT_CHECK)) {
            assertNotNull(FaultExplorer.run(1, Scenario.QUIET, 0, 30, 1, Set.of(injectedFault))
                    .violatingFaults());
        }
    }

    @DataProvider
    public Object[][] injectedFaults() {
        Set<Fault> forget = EnumSet.of(Fault.FORGET, Fault.CUT);
        return new Object[][] {
            {InjectedFault.CLAIM_SKIPPED, 10, ALL_FAULTS},
            {InjectedFault.EPOCH_NOT_KEPT, 10, ALL_FAULTS},
            {InjectedFault.LEASE_WITHOUT_MARGIN, 30, ALL_FAULTS},
            {InjectedFault.OWNER_THAT_DOES_NOT_CHECK, 30, ALL_FAULTS},
            {InjectedFault.FORGOTTEN_VOTES, 120, forget},
            {InjectedFault.PARTS_OVER, 2, ALL_FAULTS},
            {InjectedFault.GIVES_BACK_LATE, 10, ALL_FAULTS},
            {InjectedFault.PART_KEPT, 20, ALL_FAULTS}
        };
    }

    @Test(dataProvider = "injectedFaults")
    public void injectedFaultIsDetected(InjectedFault injectedFault, int seeds, Set<Fault> faults) {
        assertTrue(
                runs(3, seeds, faults, Set.of(injectedFault)).stream().anyMatch(o -> o.violation() != null),
                injectedFault + " was not detected in " + seeds + " seeds");
    }
}
