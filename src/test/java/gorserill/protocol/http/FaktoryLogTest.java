package gorserill.protocol.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.testng.annotations.Test;

/** What a Faktory connection makes the node write to its log. */
public class FaktoryLogTest {
    private static final Logger PACKAGE_LOG = Logger.getLogger("gorserill.protocol.faktory");
    private static final int COMMANDS = 200;
    /** Two kinds of warnings with five lines each in a period, a summary of each, and the worker's coming and going. */
    private static final int MAX_LINES = 20;

    /** Guards against a log line, or two, for each command of a connection that sends them at full speed. */
    @Test
    public void unknownJobsAreNotLoggedOneByOne() throws Exception {
        AtomicInteger lines = new AtomicInteger();
        Handler counter = new Handler() {
            @Override
            public void publish(LogRecord logged) {
                lines.incrementAndGet();
            }

            @Override
            public void flush() {
                // Nothing is buffered.
            }

            @Override
            public void close() {
                // Nothing is open.
            }
        };
        Level levelBefore = PACKAGE_LOG.getLevel();
        PACKAGE_LOG.setLevel(Level.INFO);
        PACKAGE_LOG.addHandler(counter);
        try (CoreFixture fixture = new CoreFixture(100, true);
                TestClient worker = TestClient.faktory(fixture.listenFaktory(), ",\"wid\":\"w-1\"")) {
            for (int i = 0; i < COMMANDS; i++) {
                worker.send("FAIL {\"jid\":\"unknown-" + i + "\"}\r\nACK {\"jid\":\"nobody-" + i + "\"}\r\n");
                assertEquals(worker.readLine(), "+OK");
                assertEquals(worker.readLine(), "+OK");
            }
            fixture.runOnLoop(() -> null);
        } finally {
            PACKAGE_LOG.removeHandler(counter);
            PACKAGE_LOG.setLevel(levelBefore);
        }
        assertTrue(lines.get() > 0, "none at all");
        assertTrue(lines.get() <= MAX_LINES, lines + " lines for " + 2 * COMMANDS + " commands");
    }
}
