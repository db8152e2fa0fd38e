package gorserill.cluster.shared;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorserill.cluster.ClusterEnvironment;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import org.testng.annotations.Test;

/** What a node asks for of a budget that a hundred nodes share evenly: a few thousandths each. */
public class BudgetClientTest {
    private static final int NODES = 100;
    private static final double PER_SECOND = 1_000;

    /** Gives each wish in full, at once. */
    private static final class Leader implements BudgetClient.MemberLink {
        final List<Integer> wishes = new ArrayList<>();

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
            wishes.add(wants);
            then.accept(wants);
        }
    }

    /** A clock that is put forward by the next thing to be done. */
    private static final class Clock implements ClusterEnvironment {
        private Runnable next;

        void beat() {
            Runnable due = next;
            due.run();
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
            throw new AssertionError("a spender sends nothing itself");
        }
    }

    private final Leader leader = new Leader();
    private final Clock clock = new Clock();
    private final List<Allowance> allowed = new ArrayList<>();
    private final BudgetClient spender = new BudgetClient(
            List.of(new Budget("team", -1, -1, PER_SECOND, 10, 20, NODES, true)),
            clock,
            leader,
            100,
            1_000,
            false,
            now -> {
                allowed.clear();
                allowed.addAll(now);
            });

    private void demand(double perSecond) {
        spender.updateDemand("team", perSecond);
        clock.beat();
    }

    /**
     * Danger: where each of many nodes wants less than what is worth telling, none ever tells its wish, and all
     * that is not their floors lies idle.
     */
    @Test
    public void aSmallWishIsToldAndFollowedDownAndUp() throws Exception {
        spender.start();
        demand(PER_SECOND / NODES);
        assertEquals(leader.wishes, List.of(13), "1.2 times an even part, less the floor, of what is given out");
        demand(PER_SECOND / NODES * 1.05);
        assertEquals(leader.wishes.size(), 1, "a change of little is not told");
        demand(PER_SECOND / NODES * 2);
        assertEquals(leader.wishes.size(), 2, "a change of much is");
        spender.applyView(new ObjectMapper()
                .readTree("[{\"budget\":\"team\",\"turn\":2,\"has\":" + leader.wishes.get(1) + ",\"due\":20}]"));
        clock.beat();
        assertEquals(leader.wishes.size(), 3, "what is beyond its due is given back");
    }
}
