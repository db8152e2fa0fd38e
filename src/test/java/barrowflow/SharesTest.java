package barrowflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barrowflow.Dispatcher.Tenant;
import barrowflow.gossip.Gossip;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tenants' shares over several dispatchers, between which a plain front spreads clients unevenly. */
class SharesTest {
    private static final long PERIOD = 50_000;
    private static final int RATE = 20;

    /** One tenant's jobs for ten seconds; gives how many of them were within its share at each node. */
    private static int[] within(double[] perSecond, boolean told) {
        int nodes = perSecond.length;
        List<TenantShares> shares = IntStream.range(0, nodes)
                .mapToObj(n -> new TenantShares(List.of(new Tenant(RATE), new Tenant(RATE)), nodes))
                .toList();
        List<Gossip> gossip =
                IntStream.range(0, nodes).mapToObj(n -> new Gossip(nodes, 0, n)).toList();
        int[] within = new int[nodes];
        double[] due = new double[nodes];
        for (long now = 0; now < 10_000_000; now += PERIOD) {
            for (int n = 0; n < nodes; n++) {
                for (due[n] += perSecond[n] * PERIOD / 1e6; due[n] >= 1; due[n]--) {
                    within[n] += shares.get(n).tryAcquire(0, true) ? 1 : 0;
                }
                if (told) {
                    byte[] message = gossip.get(n)
                            .nextMessage(
                                    new long[0], new double[0], shares.get(n).jobsPerSecondByTenant());
                    for (int other = 0; other < nodes; other++) {
                        if (other != n) {
                            gossip.get(other).receive(now, n, message);
                        }
                    }
                }
                shares.get(n).refill(PERIOD, told ? gossip.get(n) : null);
            }
        }
        return within;
    }

    @Test
    void aTenantInsideItsShareIsAllInsideWhicheverNodeItComesTo() {
        int[] within = within(new double[] {14, 3, 1}, true);
        assertTrue(
                within[0] >= 126 && within[1] >= 28 && within[2] >= 9,
                List.of(within[0], within[1], within[2]) + " of 140, 30 and 10");
        assertTrue(within(new double[] {14, 3, 1}, false)[0] < 110, "untold, parts are even");
    }

    @Test
    void oneThatSendsManyTimesItsShareHasNoMoreThanThatInsideHoweverItIsSpread() {
        for (double[] spread : List.of(new double[] {80, 20, 10}, new double[] {30, 30, 30})) {
            int[] within = within(spread, true);
            int all = within[0] + within[1] + within[2];
            assertTrue(all >= 0.9 * 10 * RATE && all <= 1.3 * 10 * RATE + 9, all + " of " + 10 * RATE);
        }
    }

    /** Danger: a process that takes another's place hears of others' traffic before it has seen its own. */
    @Test
    void oneThatHasJustBegunCountsItsPartAsEven() {
        Gossip others = new Gossip(2, 0, 1);
        others.receive(0, 1, new Gossip(2, 0, 2).nextMessage(new long[0], new double[0], new double[] {10}));
        TenantShares shares = new TenantShares(List.of(new Tenant(RATE)), 2);
        int within = 0;
        for (int i = 0; i < 10; i++) {
            within += shares.tryAcquire(0, true) ? 1 : 0;
            shares.refill(2 * PERIOD, others);
        }
        assertTrue(within >= 9, within + " of the 10 jobs of its first second are within half the share");
    }

    /** Danger: turned away and come again, a tenant's jobs would use up its share once more. */
    @Test
    void aRepeatUsesUpNothing() {
        TenantShares shares = new TenantShares(List.of(new Tenant(RATE)), 1);
        for (int i = 0; i < 100; i++) {
            assertTrue(shares.tryAcquire(0, false));
        }
        assertEquals(0, shares.jobsPerSecondByTenant()[0]);
        assertTrue(shares.tryAcquire(0, true));
    }

    @Test
    void whoeverTheSettingsDoNotNameHasNoShareWhereOthersHaveOne() {
        TenantShares shares = new TenantShares(List.of(new Tenant(RATE)), 1);
        assertFalse(shares.tryAcquire(-1, true));
        assertFalse(shares.tryAcquire(1, true));
        assertTrue(new TenantShares(List.of(), 1).tryAcquire(-1, true), "there are no shares at all");
        assertTrue(new TenantShares(List.of(new Tenant(0)), 1).tryAcquire(0, true), "it has no limit");
    }
}
