package gorserill.cluster.shared;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorserill.cluster.ClusterEnvironment;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import org.testng.annotations.Test;

/** Requests of a node for a budget that a hundred nodes share evenly, a few thousandths each. */
public class BudgetClientTest {
    private static final int NODES = 100;
    private static final double PER_SECOND = 1_000;

    /** Grants each request in full and at once. */
    private static final class GrantingLeader implements BudgetClient.MemberLink {
        final List<Integer> requests = new ArrayList<>();

        @Override
        public long life() {
            return 1;
        }

        @Override
        public long leaseUntil() {
            return Long.MAX_VALUE / 2;
        }

        @Override
        public void request(String budget, int wants, int keeps, long turn, IntConsumer then) {
            requests.add(wants);
            then.accept(wants);
        }
    }

    /** Runs the next scheduled task on demand. */
    private static final class ManualTimer implements ClusterEnvironment {
        private Runnable next;

        void runNext() {
            Runnable task = next;
            task.run();
        }

        @Override
        public long millis() {
            return 0;
        }

        @Override
        public void after(long millis, Runnable then) {
            next = then;
        }

        @Override
        public void send(String to, byte[] message) {
            throw new AssertionError("the budget client sends no messages itself");
        }
    }

    private final GrantingLeader leader = new GrantingLeader();
    private final ManualTimer timer = new ManualTimer();
    private final List<Allowance> allowances = new ArrayList<>();
    private final BudgetClient client = new BudgetClient(
            List.of(new Budget("team", -1, -1, PER_SECOND, 10, 20, NODES, true)),
            timer,
            leader,
            100,
            1_000,
            false,
            now -> {
                allowances.clear();
                allowances.addAll(now);
            });

    private void demand(double perSecond) {
        client.updateDemand("team", perSecond);
        timer.runNext();
    }

    /**
     * Guards against a fixed threshold for requests: where each of many nodes wants less than the threshold, none
     * requests a share and everything beyond the floors stays unused.
     */
    @Test
    public void smallSharesAreRequestedAndReturned() throws Exception {
        client.start();
        demand(PER_SECOND / NODES);
        assertEquals(leader.requests, List.of(13), "1.2 times an even share, less the floor, of the assignable rest");
        demand(PER_SECOND / NODES * 1.05);
        assertEquals(leader.requests.size(), 1, "a small change is not requested");
        demand(PER_SECOND / NODES * 2);
        assertEquals(leader.requests.size(), 2, "a large change is requested");
        client.applyView(new ObjectMapper()
                .readTree("[{\"budget\":\"team\",\"turn\":2,\"has\":" + leader.requests.get(1) + ",\"due\":20}]"));
        timer.runNext();
        assertEquals(leader.requests.size(), 3, "what exceeds the fair share is returned");
    }
}
