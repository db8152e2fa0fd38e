package gorserill.cluster.member;

import gorserill.cluster.ownership.Register;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Requests whose entries have been proposed but not yet applied. A repeated request waits for the same entry.
 * If each repetition were proposed again, requests repeated because the log is slow would slow it further
 * until nothing else is committed.
 */
final class PendingRequests {
    /** Maximum number of routes over which one request is answered: direct and through relays. */
    private static final int MAX_ROUTES = 4;

    private record RequestKey(String process, long id) {}

    private final Map<RequestKey, List<Consumer<Register.CommandResult>>> open = new HashMap<>();

    /**
     * Adds a request with a route for its answer; returns whether it is the first one, whose entry must be
     * proposed.
     */
    boolean add(String process, long id, Consumer<Register.CommandResult> route) {
        List<Consumer<Register.CommandResult>> routes =
                open.computeIfAbsent(new RequestKey(process, id), key -> new ArrayList<>());
        if (routes.size() < MAX_ROUTES) {
            routes.add(route);
        }
        return routes.size() == 1;
    }

    /** @param answer null if it is not known; the request is then answered when it is repeated */
    void complete(String process, long id, Register.CommandResult answer) {
        List<Consumer<Register.CommandResult>> routes = open.remove(new RequestKey(process, id));
        if (routes != null && answer != null) {
            routes.forEach(route -> route.accept(answer));
        }
    }

    void clear() {
        open.clear();
    }
}
