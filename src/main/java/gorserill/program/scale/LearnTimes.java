package gorserill.program.scale;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** How long one node took to learn each change of the list, from the change to the line of its log. */
final class LearnTimes {
    private static final long LONGEST = 60_000;
    private static final int DIGITS = 3;

    private final TreeMap<Long, Long> unheard = new TreeMap<>();
    private final Histogram times = new Histogram(LONGEST, DIGITS);
    private long heardUpTo;

    /** A change was made at that moment of Unix time. */
    synchronized void changed(long index, long at) {
        if (index > heardUpTo) {
            unheard.put(index, at);
        } else {
            times.recordValue(0);
        }
    }

    /** The node has a list of that index. */
    synchronized void heard(long index, long at) {
        heardUpTo = Math.max(heardUpTo, index);
        Map<Long, Long> learned = unheard.headMap(index, true);
        learned.values().forEach(since -> times.recordValue(Math.min(LONGEST, Math.max(0, at - since))));
        learned.clear();
    }

    /** Changes that it has not learned. */
    synchronized int unheard() {
        return unheard.size();
    }

    /** Adds what was measured here. */
    synchronized void addTo(Histogram all) {
        all.add(times);
    }

    static Histogram histogram() {
        return new Histogram(LONGEST, DIGITS);
    }
}
