package barrowflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import barrowflow.Dispatcher.Tenant;
import barrowflow.gossip.Gossip;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests tenants' shares over several dispatchers among which a load balancer spreads clients unevenly. */
class SharesTest {
    private static final long PERIOD_MICROS = 50_000;
    private static final int JOBS_PER_SECOND = 20;

    /** Sends one tenant's jobs for ten seconds; returns how many were within its share at each node. */
    private static int[] jobsWithinShare(double[] perSecond, boolean exchange) {
        int nodes = perSecond.length;
        List<TenantShares> shares = IntStream.range(0, nodes)
                .mapToObj(
                        n -> new TenantShares(List.of(new Tenant(JOBS_PER_SECOND), new Tenant(JOBS_PER_SECOND)), nodes))
                .toList();
        List<Gossip> gossip =
                IntStream.range(0, nodes).mapToObj(n -> new Gossip(nodes, 0, n)).toList();
        int[] within = new int[nodes];
        double[] pending = new double[nodes];
        for (long now = 0; now < 10_000_000; now += PERIOD_MICROS) {
            for (int n = 0; n < nodes; n++) {
                for (pending[n] += perSecond[n] * PERIOD_MICROS / 1e6; pending[n] >= 1; pending[n]--) {
                    within[n] += shares.get(n).tryAcquire(0, true) ? 1 : 0;
                }
                if (exchange) {
                    byte[] message = gossip.get(n)
                            .nextMessage(
                                    new long[0], new double[0], shares.get(n).jobsPerSecondByTenant());
                    for (int other = 0; other < nodes; other++) {
                        if (other != n) {
                            gossip.get(other).receive(now, n, message);
                        }
                    }
                }
                shares.get(n).refill(PERIOD_MICROS, exchange ? gossip.get(n) : null);
            }
        }
        return within;
    }

    @Test
    void aTenantBelowItsShareIsWithinItOnEveryNode() {
        int[] within = jobsWithinShare(new double[] {14, 3, 1}, true);
        assertTrue(
                within[0] >= 126 && within[1] >= 28 && within[2] >= 9,
                List.of(within[0], within[1], within[2]) + " of 140, 30 and 10");
        assertTrue(
                jobsWithinShare(new double[] {14, 3, 1}, false)[0] < 110,
                "without messages each node grants an equal part");
    }

    @Test
    void aTenantAboveItsShareGetsNoMoreThanItForAnySpread() {
        for (double[] spread : List.of(new double[] {80, 20, 10}, new double[] {30, 30, 30})) {
            int[] within = jobsWithinShare(spread, true);
            int all = within[0] + within[1] + within[2];
            assertTrue(
                    all >= 0.9 * 10 * JOBS_PER_SECOND && all <= 1.3 * 10 * JOBS_PER_SECOND + 9,
                    all + " of " + 10 * JOBS_PER_SECOND);
        }
    }

    /** A replacement process receives the traffic of other nodes before it has traffic of its own to compare. */
    @Test
    void aNodeThatHasJustStartedGrantsAnEqualPart() {
        Gossip others = new Gossip(2, 0, 1);
        others.receive(0, 1, new Gossip(2, 0, 2).nextMessage(new long[0], new double[0], new double[] {10}));
        TenantShares shares = new TenantShares(List.of(new Tenant(JOBS_PER_SECOND)), 2);
        int within = 0;
        for (int i = 0; i < 10; i++) {
            within += shares.tryAcquire(0, true) ? 1 : 0;
            shares.refill(2 * PERIOD_MICROS, others);
        }
        assertTrue(within >= 9, within + " of the 10 jobs of its first second are within half the share");
    }

    /** A job that is refused and sent again must not use the tenant's share twice. */
    @Test
    void aRepeatedJobUsesNoShare() {
        TenantShares shares = new TenantShares(List.of(new Tenant(JOBS_PER_SECOND)), 1);
        for (int i = 0; i < 100; i++) {
            assertTrue(shares.tryAcquire(0, false));
        }
        assertEquals(0, shares.jobsPerSecondByTenant()[0]);
        assertTrue(shares.tryAcquire(0, true));
    }

    @Test
    void aTenantThatIsNotConfiguredHasNoShareIfOthersHaveOne() {
        TenantShares shares = new TenantShares(List.of(new Tenant(JOBS_PER_SECOND)), 1);
        assertFalse(shares.tryAcquire(-1, true));
        assertFalse(shares.tryAcquire(1, true));
        assertTrue(new TenantShares(List.of(), 1).tryAcquire(-1, true), "no shares are configured");
        assertTrue(new TenantShares(List.of(new Tenant(0)), 1).tryAcquire(0, true), "the tenant has no quota");
    }
}
