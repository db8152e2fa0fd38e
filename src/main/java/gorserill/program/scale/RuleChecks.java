package gorserill.program.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the rules against what clients, workers and discovery saw: a job that must never run twice reaches
 * workers once at the most; nothing new goes to a worker that drains or is gone later than the grace after
 * its node was told; each job gets one answer, and a served one gets the result that a worker made for it.
 */
final class RuleChecks {
    /** Milliseconds that a node has once it was told. */
    static final long GRACE = 500;
    /** Room for this machine's pauses, between a node's sending and the worker's noting of it. */
    static final long ROOM = 2_500;

    private static final int MOST_TOLD = 20;
    private static final String NODE_OF_ID = "-";

    private record Listed(int node, int worker) {}

    private final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, JobKind> open = new HashMap<>();
    private final Map<String, JobKind> answered = new HashMap<>();
    /** When a node was told of a worker that wants nothing new. */
    private final Map<Listed, Long> draining = new HashMap<>();

    private long violated;
    private long attempts;

    /** How often a rule was violated. */
    synchronized long violated() {
        return violated;
    }

    private void violated(String what) {
        violated++;
        if (violations.size() < MOST_TOLD) {
            violations.add(what);
        }
    }

    /** The id of a job. */
    static String id(int node, long number) {
        return "n" + node + NODE_OF_ID + number;
    }

    private static int nodeOf(String id) {
        return Integer.parseInt(id.substring(1, id.indexOf(NODE_OF_ID)));
    }

    /** A client submits a job. */
    synchronized void submitted(String id, JobKind kind) {
        open.put(id, kind);
    }

    /** A worker has the whole of a job. */
    synchronized void ran(String id, int worker, long at) {
        attempts++;
        JobKind kind = open.getOrDefault(id, answered.get(id));
        if (kind == null) {
            violated("job " + id + " reached worker " + worker + ", and no client sent it");
            return;
        }
        int times = runs.merge(id, 1, Integer::sum);
        if (times > 1 && kind.onceAtMost()) {
            violated("job " + id + " must never run twice and reached workers " + times + " times");
        }
        Long told = draining.get(new Listed(nodeOf(id), worker));
        if (told != null && at > told + GRACE + ROOM) {
            violated("job " + id + " reached worker " + worker + " " + (at - told)
                    + " ms after its node was told that it wants nothing new");
        }
    }

    /** A job's answer has come. */
    synchronized void answered(String id, Answer answer) {
        JobKind kind = open.remove(id);
        if (kind == null) {
            violated("job " + id + " was answered twice");
            return;
        }
        answered.put(id, kind);
        if (answer.served() && !answer.body().equals(id)) {
            violated("job " + id + " was served with a result that is not its own: " + answer.body());
        }
    }

    /** Bytes came from a node that no job asked for. */
    synchronized void unasked(int node) {
        violated("node " + node + " sent an answer that no job waited for");
    }

    /** No answer came while the client waited, or its connection ended without one. */
    synchronized void unanswered(String id, String why) {
        answered.put(id, open.remove(id));
        violated("job " + id + " got no answer: " + why);
    }

    /** Discovery has written to the node that a worker wants nothing new. */
    synchronized void toldOfDraining(int node, int worker) {
        draining.putIfAbsent(new Listed(node, worker), System.currentTimeMillis());
    }

    /** A worker is to be listed as in service: whatever a node was told before holds no more. */
    synchronized void inService(int worker) {
        draining.keySet().removeIf(listed -> listed.worker() == worker);
    }

    /** All is over: a job that is open has no answer. */
    synchronized void end() {
        open.keySet().forEach(id -> violated("job " + id + " got no answer"));
        open.clear();
    }

    /** Times that a job reached a worker. */
    synchronized long attempts() {
        return attempts;
    }

    /** The first of what was violated, in words. */
    synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
