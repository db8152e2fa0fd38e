package gorserill.cluster.member;

import gorserill.cluster.ownership.Entry;
import gorserill.cluster.ownership.Register;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Budget requests queued at the leader to be proposed in groups. Per node and budget only the newest one is
 * kept, as it supersedes the earlier ones. Free of I/O and clock.
 */
final class BudgetRequests {
    /** Maximum characters of the requests in a group; a message between voters must hold several groups. */
    static final int MAX_GROUP_CHARS = 3_000;
    /** Maximum number of queued requests; further ones are refused and repeated by their senders. */
    static final int MAX_WAITING = 4_096;

    /**
     * A queued request and its callback.
     *
     * @param then receives the answer, or null if a newer request superseded this one or the queue is full
     */
    record Waiting(Entry.RequestBudget request, Consumer<Register.CommandResult> then) {}

    private record Key(String node, String budget) {}

    private final Map<Key, Waiting> waiting = new LinkedHashMap<>();

    void add(Entry.RequestBudget request, Consumer<Register.CommandResult> then) {
        Key key = new Key(request.node(), request.budget());
        Waiting before = waiting.get(key);
        if (before == null ? waiting.size() >= MAX_WAITING : newer(before.request, request)) {
            then.accept(null);
            return;
        }
        waiting.put(key, new Waiting(request, then));
        if (before != null) {
            before.then.accept(null);
        }
    }

    private static boolean newer(Entry.RequestBudget one, Entry.RequestBudget other) {
        return one.life() != other.life() ? one.life() > other.life() : one.turn() > other.turn();
    }

    /** Removes and returns the next group, oldest requests first; never empty if requests are queued. */
    List<Waiting> next() {
        List<Waiting> group = new ArrayList<>();
        int characters = 0;
        for (Iterator<Waiting> all = waiting.values().iterator(); all.hasNext(); ) {
            Waiting one = all.next();
            characters += Register.text(one.request).length();
            if (characters > MAX_GROUP_CHARS && !group.isEmpty()) {
                break;
            }
            group.add(one);
            all.remove();
        }
        return group;
    }

    int size() {
        return waiting.size();
    }

    void clear() {
        waiting.clear();
    }
}
