package gorserill.program.scale;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A sweep's results, as they are written.
 *
 * @param command that gave them
 * @param partial why this is not all of them; null where it is
 * @param violations the first of each point, in words
 */
public record Results(
        String command,
        Dimension dimension,
        long seed,
        int repeat,
        String partial,
        Machine machine,
        List<String> violations,
        List<PointFigures> points) {
    /** Where it ran. */
    public record Machine(int cores, String system, String java, List<String> nodeOptions) {
        static Machine present(List<String> nodeOptions) {
            return new Machine(
                    Runtime.getRuntime().availableProcessors(),
                    System.getProperty("os.name") + " " + System.getProperty("os.version"),
                    System.getProperty("java.vm.version"),
                    nodeOptions);
        }
    }

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    /** Whether no rule was violated. */
    @JsonIgnore
    public boolean held() {
        return points.stream().allMatch(point -> point.violated() == 0);
    }

    /** Writes {@code results.json}, {@code results.csv} and the charts into a folder. */
    void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        JSON.writeValue(folder.resolve("results.json").toFile(), this);
        Files.writeString(folder.resolve("results.csv"), csv());
        if (partial == null) {
            Charts.write(this, folder);
        }
    }

    private String csv() {
        StringBuilder text = new StringBuilder();
        for (PointFigures point : points) {
            ObjectNode row = JSON.valueToTree(point);
            List<String> names = new ArrayList<>();
            List<String> values = new ArrayList<>();
            row.fields().forEachRemaining(field -> {
                names.add(field.getKey());
                values.add(rounded(field.getValue().asText()));
            });
            text.append(text.length() == 0 ? String.join(",", names) + ",partial\n" : "")
                    .append(String.join(",", values))
                    .append(',')
                    .append(partial != null)
                    .append('\n');
        }
        return text.toString();
    }

    private static String rounded(String number) {
        return number.contains(".") ? String.format(Locale.ROOT, "%.4f", Double.parseDouble(number)) : number;
    }

    /** One point in a line. */
    static String line(PointFigures point) {
        return String.format(
                Locale.ROOT,
                "%d workers, %d nodes, %d hollow, %d tenants, churn %.1f: %.2f ms "
                        + "of CPU a job, idle %.2f %% of a core, %.0f bytes a second idle, list %d bytes, "
                        + "heap %.1f MB, RSS %.0f MB, ready after %.0f ms, a change known after %.0f ms "
                        + "(at most %.0f), latency %.1f ms (99 %% %.1f), %d jobs, %d refused, %d failed, %d violated",
                point.workers(),
                point.nodes(),
                point.hollowNodes(),
                point.tenants(),
                point.churn(),
                point.cpuMsPerJob(),
                point.idleCorePercent(),
                point.discoveryBytesPerSecondIdle(),
                point.wholeListBytes(),
                point.heapMb(),
                point.residentMb(),
                point.readyMs(),
                point.learnP50Ms(),
                point.learnMaxMs(),
                point.latencyP50Ms(),
                point.latencyP99Ms(),
                point.jobs(),
                point.refused(),
                point.failed(),
                point.violated());
    }
}
