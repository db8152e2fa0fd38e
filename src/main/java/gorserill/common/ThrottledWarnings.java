package gorserill.common;

import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Warnings of one kind that may come in floods: the first few of a period are logged one by one, the rest
 * counted by reason and told in one line. Danger: a line for each would cost more than what it complains of.
 * For the loop's thread.
 */
public final class ThrottledWarnings {
    /** So many are told one by one in a period of so many microseconds. */
    static final int MAX_LINES_PER_PERIOD = 5;

    static final long PERIOD_MICROS = 10_000_000;

    private final Loop loop;
    private final Logger log;
    private final String what;
    private final Map<String, Integer> counted = new TreeMap<>();
    private int told;

    /** @param what it is about, as the start of each line */
    public ThrottledWarnings(Loop loop, Logger log, String what) {
        this.loop = loop;
        this.log = log;
        this.what = what;
    }

    /** @param reason one of a few; the details are told only while there are not many */
    public void add(String reason, String details) {
        if (told == 0) {
            loop.at(loop.now() + PERIOD_MICROS, this::sum);
        }
        if (++told <= MAX_LINES_PER_PERIOD) {
            log.log(Level.WARNING, "{0}: {1}: {2}", new Object[] {what, reason, details});
        } else {
            counted.merge(reason, 1, Integer::sum);
        }
    }

    private void sum() {
        if (!counted.isEmpty()) {
            log.log(Level.WARNING, "{0}: in 10 s {1} more: {2}", new Object[] {
                what, told - MAX_LINES_PER_PERIOD, counted
            });
        }
        told = 0;
        counted.clear();
    }
}
