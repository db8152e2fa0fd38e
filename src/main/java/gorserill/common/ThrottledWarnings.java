package gorserill.common;

import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Rate-limited warnings of one kind: the first few in a period are logged individually, the others are counted by
 * reason and summarized in one line. In a flood, one line each would cost more than the events that it reports. For
 * the loop's thread.
 */
public final class ThrottledWarnings {
    /** Warnings that are logged individually in each period. */
    static final int MAX_LINES_PER_PERIOD = 5;

    static final long PERIOD_MICROS = 10_000_000;

    private final Loop loop;
    private final Logger log;
    private final String subject;
    private final Map<String, Integer> suppressed = new TreeMap<>();
    private int count;

    /** @param subject what the warnings are about; each line starts with it */
    public ThrottledWarnings(Loop loop, Logger log, String subject) {
        this.loop = loop;
        this.log = log;
        this.subject = subject;
    }

    /**
     * @param reason one of a small set, by which warnings are counted
     * @param details logged only while the warning is not throttled
     */
    public void add(String reason, String details) {
        if (count == 0) {
            loop.at(loop.now() + PERIOD_MICROS, this::logSummary);
        }
        if (++count <= MAX_LINES_PER_PERIOD) {
            log.log(Level.WARNING, "{0}: {1}: {2}", new Object[] {subject, reason, details});
        } else {
            suppressed.merge(reason, 1, Integer::sum);
        }
    }

    private void logSummary() {
        if (!suppressed.isEmpty()) {
            log.log(Level.WARNING, "{0}: in 10 s {1} more: {2}", new Object[] {
                subject, count - MAX_LINES_PER_PERIOD, suppressed
            });
        }
        count = 0;
        suppressed.clear();
    }
}
