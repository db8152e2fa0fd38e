package barrowflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Checks that the example host of the README works and that the README shows the compiled source. */
class ExampleHostTest {

    @Test
    void theExampleServesItsRequestsAcrossARestart() {
        assertEquals(2, ExampleHost.run());
    }

    @Test
    void theReadmeShowsTheExampleThatIsCompiled() throws IOException {
        String source = Files.readString(Path.of("src/test/java/barrowflow/ExampleHost.java"));
        String body = source.substring(source.indexOf("final class"));
        String readme = Files.readString(Path.of("README.md"));
        assertEquals(true, readme.contains(body.strip()), "the README shows an outdated example");
    }
}
