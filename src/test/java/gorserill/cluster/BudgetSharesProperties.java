package gorserill.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gorserill.cluster.shared.Allowance;
import gorserill.cluster.shared.Budget;
import gorserill.cluster.shared.BudgetLimiter;
import gorserill.cluster.shared.BudgetShares;
import gorserill.cluster.shared.RetryBudget;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Budget shares under random requests, life changes and shares of replaced processes, and the spending of the
 * shares.
 */
public class BudgetSharesProperties {
    @DataProvider
    public Object[][] seeds() {
        return java.util.stream.LongStream.range(0, 40)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void sharesNeverExceedTheWhole(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        BudgetShares parts = new BudgetShares();
        long[] turns = new long[6];
        for (int i = 0; i < 2_000; i++) {
            int n = random.nextInt(6);
            String node = "n" + n;
            switch (random.nextInt(12)) {
                case 0 -> {
                    boolean mayStillSpend = random.nextBoolean();
                    int previousShare = shareOf(parts, node);
                    int unassigned = parts.unassigned("b");
                    parts.endLife(node, i, mayStillSpend);
                    turns[n] = 0;
                    assertTrue(
                            !mayStillSpend || parts.unassigned("b") <= unassigned,
                            "the share of a replaced process is not unassigned yet");
                    assertEquals(parts.ghosts.containsKey(node + "@" + i), mayStillSpend && previousShare > 0);
                }
                case 1 -> parts.ghosts.keySet().stream().findFirst().ifPresent(parts::releaseGhost);
                case 2 -> {
                    int previousShare = shareOf(parts, node);
                    parts.request(node, "b", 0, 0, Math.max(0, turns[n] - random.nextInt(3)), false);
                    assertEquals(shareOf(parts, node), previousShare, "a delayed older request changes nothing");
                }
                default -> {
                    int previousShare = shareOf(parts, node);
                    int keeps =
                            random.nextBoolean() ? previousShare : random.nextInt(BudgetShares.WHOLE_THOUSANDTHS + 1);
                    parts.request(
                            node, "b", random.nextInt(BudgetShares.WHOLE_THOUSANDTHS + 1), keeps, ++turns[n], false);
                }
            }
            assertTrue(parts.unassigned("b") >= 0, "at step " + i);
        }
        settleShares(parts, turns);
        parts.fairShares("b").forEach((node, fairShares) -> assertEquals(shareOf(parts, node), (int) fairShares, node));
    }

    private static int shareOf(BudgetShares parts, String node) {
        var its = parts.parts.get("b");
        return its == null || !its.containsKey(node) ? 0 : its.get(node).has;
    }

    /**
     * Reclaims all shares of replaced processes and lets each node keep no more than its due share;
     * afterwards no wanted share is unused.
     */
    private static void settleShares(BudgetShares parts, long[] turns) {
        List.copyOf(parts.ghosts.keySet()).forEach(parts::releaseGhost);
        for (int round = 0; round < 2; round++) {
            for (String node : List.copyOf(parts.parts.get("b").keySet())) {
                int n = Integer.parseInt(node.substring(1));
                parts.request(
                        node,
                        "b",
                        parts.parts.get("b").get(node).wants,
                        parts.fairShares("b").get(node),
                        ++turns[n],
                        false);
            }
        }
    }

    /**
     * In any period, the admitted jobs stay within the rate, the burst and one job per node, although the
     * share moves between nodes.
     */
    @Test(dataProvider = "seeds")
    public void movingShareIsSpentOnce(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Budget budget = new Budget("b", 0, -1, 50, 20, 0, 3, true);
        long[] now = {1};
        BudgetLimiter[] doors = new BudgetLimiter[3];
        for (int d = 0; d < 3; d++) {
            doors[d] = new BudgetLimiter(List.of(budget), () -> now[0] / 1_000, (name, demand) -> {});
        }
        int holder = 0;
        double level = 0;
        long at = 0;
        int admitted = 0;
        for (; now[0] < 60_000_000; now[0] += 500 + random.nextInt(3_000)) {
            if (random.nextInt(200) == 0) {
                doors[holder].updateAllowances(List.of(new Allowance(budget, 0, 0)));
                holder = random.nextInt(3);
                doors[holder].updateAllowances(List.of(
                        new Allowance(budget, BudgetShares.WHOLE_THOUSANDTHS, now[0] / 1_000 + random.nextInt(2_000))));
            }
            if (doors[random.nextInt(3)].tryAdmit(now[0], 0, -1) == 0) {
                level = Math.max(0, level - (now[0] - at) / 1e6 * 50) + 1;
                at = now[0];
                admitted++;
                assertTrue(level <= 20 + 3, "level " + level);
            }
        }
        assertTrue(admitted > 500, "too few jobs were admitted: " + admitted);
    }

    /**
     * For any sequence of first attempts and retries, the retries stay within the configured fraction of
     * first attempts.
     */
    @Test(dataProvider = "seeds")
    public void retriesAreAFractionOfFirstAttempts(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double part = random.nextDouble();
        RetryBudget retries = new RetryBudget(part, 1 + random.nextInt(20));
        int first = 0;
        int retried = 0;
        for (int i = 0; i < 10_000; i++) {
            if (random.nextInt(3) == 0) {
                retries.recordFirstAttempt();
                first++;
            } else {
                retried += retries.tryRetry() ? 1 : 0;
            }
            assertTrue(retried <= part * first + 1e-6, retried + " after " + first);
        }
        assertTrue(retried > 0.4 * part * first - 25, "too few retries: " + retried);
    }

    @Test
    public void newProcessStartsEmptyAndIsolatedOneGetsItsFloor() {
        Budget budget = new Budget("b", 2, -1, 100, 1_000, 30, 3, true);
        long[] now = {1};
        BudgetLimiter door = new BudgetLimiter(List.of(budget), () -> now[0] / 1_000, (name, demand) -> {});
        assertEquals(door.tryAdmit(now[0], 1, -1), 0, "jobs of other classes are not counted");
        assertTrue(door.tryAdmit(now[0], 2, -1) > 90_000, "a tenth of 100 a second is its floor: a job in 100 ms");
        int admitted = 0;
        for (; now[0] < 10_000_000; now[0] += 10_000) {
            admitted += door.tryAdmit(now[0], 2, -1) == 0 ? 1 : 0;
        }
        assertTrue(admitted >= 98 && admitted <= 101, "floor of ten seconds: " + admitted);
        door.updateAllowances(List.of(new Allowance(budget, BudgetShares.WHOLE_THOUSANDTHS, now[0] / 1_000 + 1_000)));
        long before = now[0];
        for (admitted = 0; now[0] < before + 5_000_000; now[0] += 2_000) {
            admitted += door.tryAdmit(now[0], 2, -1) == 0 ? 1 : 0;
        }
        assertTrue(admitted >= 115 && admitted <= 125, "a second with 80 a second, then four with 10: " + admitted);
    }
}
