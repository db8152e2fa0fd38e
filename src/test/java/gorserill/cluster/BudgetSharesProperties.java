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

/** Parts of budgets under words, lives and ghosts drawn from seeds, and what is spent of them. */
public class BudgetSharesProperties {
    @DataProvider
    public Object[][] seeds() {
        return java.util.stream.LongStream.range(0, 40)
                .mapToObj(seed -> new Object[] {seed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void theSumIsNeverMoreThanTheWhole(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        BudgetShares parts = new BudgetShares();
        long[] turns = new long[6];
        for (int i = 0; i < 2_000; i++) {
            int n = random.nextInt(6);
            String node = "n" + n;
            switch (random.nextInt(12)) {
                case 0 -> {
                    boolean mayGoOn = random.nextBoolean();
                    int had = has(parts, node);
                    int free = parts.unassigned("b");
                    parts.endLife(node, i, mayGoOn);
                    turns[n] = 0;
                    assertTrue(!mayGoOn || parts.unassigned("b") <= free, "a ghost's part is nobody's yet");
                    assertEquals(parts.ghosts.containsKey(node + "@" + i), mayGoOn && had > 0);
                }
                case 1 -> parts.ghosts.keySet().stream().findFirst().ifPresent(parts::releaseGhost);
                case 2 -> {
                    int had = has(parts, node);
                    parts.request(node, "b", 0, 0, Math.max(0, turns[n] - random.nextInt(3)), false);
                    assertEquals(has(parts, node), had, "an older word, late on its way, changes nothing");
                }
                default -> {
                    int had = has(parts, node);
                    int keeps = random.nextBoolean() ? had : random.nextInt(BudgetShares.WHOLE_THOUSANDTHS + 1);
                    parts.request(
                            node, "b", random.nextInt(BudgetShares.WHOLE_THOUSANDTHS + 1), keeps, ++turns[n], false);
                }
            }
            assertTrue(parts.unassigned("b") >= 0, "at step " + i);
        }
        settle(parts, turns);
        parts.fairShares("b").forEach((node, due) -> assertEquals(has(parts, node), (int) due, node));
    }

    private static int has(BudgetShares parts, String node) {
        var its = parts.parts.get("b");
        return its == null || !its.containsKey(node) ? 0 : its.get(node).has;
    }

    /** All are buried, and each node keeps no more than its due; then nothing that is wanted lies idle. */
    private static void settle(BudgetShares parts, long[] turns) {
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
     * In any time no more enters than the rate, the burst and a job each, though a part goes round and round.
     */
    @Test(dataProvider = "seeds")
    public void aPartThatGoesRoundIsSpentOnce(long seed) {
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
        int in = 0;
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
                in++;
                assertTrue(level <= 20 + 3, "level " + level);
            }
        }
        assertTrue(in > 500, "and much of it is spent: " + in);
    }

    /** However first tries and wishes come, further tries are that part of first ones at the most. */
    @Test(dataProvider = "seeds")
    public void furtherTriesAreAPartOfFirstOnes(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double part = random.nextDouble();
        RetryBudget retries = new RetryBudget(part, 1 + random.nextInt(20));
        int first = 0;
        int again = 0;
        for (int i = 0; i < 10_000; i++) {
            if (random.nextInt(3) == 0) {
                retries.recordFirstAttempt();
                first++;
            } else {
                again += retries.tryRetry() ? 1 : 0;
            }
            assertTrue(again <= part * first + 1e-6, again + " after " + first);
        }
        assertTrue(again > 0.4 * part * first - 25, "and about as many: " + again);
    }

    @Test
    public void aNewProcessBeginsWithNothingAndOneAloneHasItsFloor() {
        Budget budget = new Budget("b", 2, -1, 100, 1_000, 30, 3, true);
        long[] now = {1};
        BudgetLimiter door = new BudgetLimiter(List.of(budget), () -> now[0] / 1_000, (name, demand) -> {});
        assertEquals(door.tryAdmit(now[0], 1, -1), 0, "jobs of other classes are not counted");
        assertTrue(door.tryAdmit(now[0], 2, -1) > 90_000, "a tenth of 100 a second is its floor: a job in 100 ms");
        int in = 0;
        for (; now[0] < 10_000_000; now[0] += 10_000) {
            in += door.tryAdmit(now[0], 2, -1) == 0 ? 1 : 0;
        }
        assertTrue(in >= 98 && in <= 101, "floor of ten seconds: " + in);
        door.updateAllowances(List.of(new Allowance(budget, BudgetShares.WHOLE_THOUSANDTHS, now[0] / 1_000 + 1_000)));
        long before = now[0];
        for (in = 0; now[0] < before + 5_000_000; now[0] += 2_000) {
            in += door.tryAdmit(now[0], 2, -1) == 0 ? 1 : 0;
        }
        assertTrue(in >= 115 && in <= 125, "a second with 80 a second, then four with 10: " + in);
    }
}
