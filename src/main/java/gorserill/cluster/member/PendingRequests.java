package gorserill.cluster.member;

import gorserill.cluster.ownership.Register;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Questions whose entries are on their way through the log. One that comes again meanwhile waits for the same
 * entry. Danger: put into the log again each time, questions that are asked again because the log is slow
 * would make it slower, until nothing else passes.
 */
final class PendingRequests {
    /** Ways by which one question is answered: straight, and by others that passed it on. */
    private static final int WAYS = 4;

    private record Question(String process, long id) {}

    private final Map<Question, List<Consumer<Register.CommandResult>>> open = new HashMap<>();

    /** A question came, to be answered this way; gives whether it is the first, whose entry is to be made. */
    boolean add(String process, long id, Consumer<Register.CommandResult> way) {
        List<Consumer<Register.CommandResult>> ways =
                open.computeIfAbsent(new Question(process, id), question -> new ArrayList<>());
        if (ways.size() < WAYS) {
            ways.add(way);
        }
        return ways.size() == 1;
    }

    /** @param answer null where none is known; the question is answered when it is asked again */
    void complete(String process, long id, Register.CommandResult answer) {
        List<Consumer<Register.CommandResult>> ways = open.remove(new Question(process, id));
        if (ways != null && answer != null) {
            ways.forEach(way -> way.accept(answer));
        }
    }

    void clear() {
        open.clear();
    }
}
