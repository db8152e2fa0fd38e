package gorserill.common;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.testng.annotations.Test;

/** Tests the rate limit of warnings. */
public class ThrottledWarningsTest {

    /** A flood costs a few lines and a summary; the next period starts anew. */
    @Test
    public void floodIsSummarized() {
        long[] nanos = new long[1];
        Loop loop = new Loop(
                e -> {
                    throw new AssertionError(e);
                },
                () -> nanos[0]);
        List<String> lines = new ArrayList<>();
        Logger log = Logger.getAnonymousLogger();
        log.setUseParentHandlers(false);
        log.setLevel(Level.ALL);
        log.addHandler(new Handler() {
            @Override
            public void publish(LogRecord record) {
                lines.add(new SimpleFormatter().formatMessage(record));
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        });
        ThrottledWarnings warnings = new ThrottledWarnings(loop, log, "clients");
        for (int i = 0; i < 400; i++) {
            warnings.add(i % 2 == 0 ? "400" : "404", "no. " + i);
        }
        assertEquals(lines.size(), ThrottledWarnings.MAX_LINES_PER_PERIOD);
        nanos[0] += ThrottledWarnings.PERIOD_MICROS * 1_000;
        loop.runDue();
        assertEquals(
                lines.get(ThrottledWarnings.MAX_LINES_PER_PERIOD), "clients: in 10 s 395 more: {400=197, 404=198}");
        warnings.add("408", "again");
        assertEquals(lines.get(ThrottledWarnings.MAX_LINES_PER_PERIOD + 1), "clients: 408: again");
        nanos[0] += ThrottledWarnings.PERIOD_MICROS * 1_000;
        loop.runDue();
        assertEquals(lines.size(), ThrottledWarnings.MAX_LINES_PER_PERIOD + 2);
    }
}
