package gorserill.program.drill;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * How long work went without an owner: from the fault at its owner, or from its owner's word that it let go,
 * to the next owner's word. Milliseconds.
 */
final class Takeovers {
    /** What the owner before met with last. */
    enum Cause {
        FAULT,
        PLAN
    }

    private static final long LONGEST = 600_000;

    private final Map<Cause, Histogram> times = new EnumMap<>(Cause.class);
    private final Map<String, String> owners = new HashMap<>();
    private final Map<String, Long> since = new HashMap<>();
    private final Map<String, Cause> why = new HashMap<>();

    Takeovers() {
        for (Cause cause : Cause.values()) {
            times.put(cause, new Histogram(LONGEST, 3));
        }
    }

    /** Something was done to a node. */
    void fault(String node, long now, Cause cause) {
        owners.forEach((piece, owner) -> {
            if (owner.equals(node) && !since.containsKey(piece)) {
                since.put(piece, now);
                why.put(piece, cause);
            }
        });
    }

    void owned(String piece, String node, long now) {
        Long from = since.remove(piece);
        // An owner that takes up again what it had was not taken over from.
        if (from != null && !node.equals(owners.get(piece))) {
            times.get(why.get(piece)).recordValue(Math.min(LONGEST, now - from));
        }
        owners.put(piece, node);
    }

    /** Its owner let go: a planned end is measured from here. */
    void letGo(String piece, String node, long now) {
        if (node.equals(owners.get(piece)) && why.get(piece) == Cause.PLAN) {
            since.put(piece, now);
        }
    }

    /** Adds another drill's figures. */
    void add(Takeovers other) {
        other.times.forEach((cause, its) -> times.get(cause).add(its));
    }

    String text() {
        StringBuilder text = new StringBuilder();
        times.forEach((cause, its) -> text.append(text.length() > 0 ? ", " : "")
                .append("taken over by ")
                .append(cause.name().toLowerCase(Locale.ROOT))
                .append(' ')
                .append(its.getTotalCount())
                .append(
                        its.getTotalCount() == 0
                                ? ""
                                : " (p50 " + its.getValueAtPercentile(50) + " ms, p99 " + its.getValueAtPercentile(99)
                                        + ", worst " + its.getMaxValue() + ")"));
        return text.toString();
    }
}
