package gorserill.cluster.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gorserill.cluster.ownership.Entry;
import gorserill.cluster.ownership.Register;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Queueing at the leader: grouping of budget requests and handling of repeated requests. */
public class BudgetRequestsTest {
    private static Entry.RequestBudget request(String node, long life, long turn) {
        return new Entry.RequestBudget(node, life, "budget", 10, 10, turn);
    }

    @Test
    public void onlyTheNewestRequestPerNodeAndBudgetIsQueued() {
        BudgetRequests requests = new BudgetRequests();
        List<String> unanswered = new ArrayList<>();
        requests.add(request("a", 5, 1), answer -> unanswered.add("first"));
        requests.add(request("b", 6, 1), answer -> unanswered.add("other"));
        requests.add(request("a", 5, 2), answer -> unanswered.add("second"));
        requests.add(request("a", 5, 1), answer -> unanswered.add("late"));
        requests.add(request("a", 4, 9), answer -> unanswered.add("earlier life"));
        assertEquals(unanswered, List.of("first", "late", "earlier life"));
        assertEquals(
                requests.next().stream().map(BudgetRequests.Waiting::request).toList(),
                List.of(request("a", 5, 2), request("b", 6, 1)),
                "a superseding request keeps the position in the queue");
        assertEquals(requests.size(), 0);
    }

    @Test
    public void groupsAreBoundedAndComplete() {
        BudgetRequests requests = new BudgetRequests();
        for (int i = 0; i < 300; i++) {
            requests.add(request("node-" + i, i + 1, 1), answer -> {});
        }
        requests.add(request("long".repeat(BudgetRequests.MAX_GROUP_CHARS), 1, 1), answer -> {});
        int taken = 0;
        int groups = 0;
        while (requests.size() > 0) {
            List<BudgetRequests.Waiting> group = requests.next();
            int characters = group.stream()
                    .mapToInt(one -> Register.text(one.request()).length())
                    .sum();
            assertTrue(characters <= BudgetRequests.MAX_GROUP_CHARS || group.size() == 1, characters + " characters");
            taken += group.size();
            groups++;
        }
        assertEquals(taken, 301);
        assertTrue(groups < 20, groups + " groups");
    }

    @Test
    public void requestsBeyondTheLimitAreRefused() {
        BudgetRequests requests = new BudgetRequests();
        List<String> unanswered = new ArrayList<>();
        for (int i = 0; i <= BudgetRequests.MAX_WAITING; i++) {
            String node = "node-" + i;
            requests.add(request(node, 1, 1), answer -> unanswered.add(node));
        }
        requests.add(request("node-0", 1, 2), answer -> {});
        assertEquals(unanswered, List.of("node-" + BudgetRequests.MAX_WAITING, "node-0"));
    }

    @Test
    public void repeatedRequestSharesTheEntryAndIsAnsweredOnAllRoutes() {
        PendingRequests pendingRequests = new PendingRequests();
        List<String> answered = new ArrayList<>();
        assertTrue(pendingRequests.add("p", 1, answer -> answered.add("direct")));
        assertTrue(!pendingRequests.add("p", 1, answer -> answered.add("relayed")));
        assertTrue(pendingRequests.add("q", 1, answer -> answered.add("other process")));
        pendingRequests.complete("p", 1, new Register.CommandResult(true, "", 1));
        assertEquals(answered, List.of("direct", "relayed"));
        assertTrue(pendingRequests.add("p", 1, answer -> answered.add("again")), "the first answer may have been lost");
        pendingRequests.complete("p", 1, null);
        assertEquals(answered.size(), 2, "an unknown result is not sent");
    }
}
