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
 * Requests for parts of budgets that wait at the leader to go into the log as groups. Of a node and a budget
 * the newest one waits alone, since it says all that the ones before it said. Free of I/O and clock.
 */
final class BudgetRequests {
    /** Characters of the requests in a group: a message between voters must hold several groups. */
    static final int GROUP = 3_000;
    /** Requests that wait at the most; what comes beyond that is asked for again by its author. */
    static final int WAITING = 4_096;

    /**
     * A request and its author, who waits.
     *
     * @param then the answer, or null where there is none: a newer one took its place, or there is no room
     */
    record Waiting(Entry.RequestBudget request, Consumer<Register.CommandResult> then) {}

    private record Key(String node, String budget) {}

    private final Map<Key, Waiting> waiting = new LinkedHashMap<>();

    void add(Entry.RequestBudget request, Consumer<Register.CommandResult> then) {
        Key key = new Key(request.node(), request.budget());
        Waiting before = waiting.get(key);
        if (before == null ? waiting.size() >= WAITING : newer(before.request, request)) {
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

    /** Takes the requests of the next group, those that wait longest first; one at least, if any waits. */
    List<Waiting> next() {
        List<Waiting> group = new ArrayList<>();
        int characters = 0;
        for (Iterator<Waiting> all = waiting.values().iterator(); all.hasNext(); ) {
            Waiting one = all.next();
            characters += Register.text(one.request).length();
            if (characters > GROUP && !group.isEmpty()) {
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
