package gorserill.program;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.logging.LogManager;

/** Configures java.util.logging: one line per record, on standard error. */
final class Logging {
    private static final String BASE_CONFIGURATION = """
        handlers=java.util.logging.ConsoleHandler
        .level=INFO
        java.util.logging.ConsoleHandler.level=ALL
        java.util.logging.ConsoleHandler.formatter=java.util.logging.SimpleFormatter
        java.util.logging.SimpleFormatter.format=%1$tF %1$tT.%1$tL %4$s %3$s: %5$s%6$s%n
        org.glassfish.grizzly.level=WARNING
        """;

    private Logging() {}

    static void setUp() {
        setUp("INFO");
    }

    /** @param defaultLevel the level if {@code GORSERILL_LOG} is not set */
    static void setUp(String defaultLevel) {
        String level = System.getenv().getOrDefault("GORSERILL_LOG", defaultLevel);
        try {
            LogManager.getLogManager()
                    .readConfiguration(new ByteArrayInputStream(
                            (BASE_CONFIGURATION + "gorserill.level=" + level + "\n").getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
