package gorserill.program;

import barrowflow.Dispatcher.LearnedState;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import gorserill.common.Loop;
import gorserill.routing.Core;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Passes learned worker figures to the successor process through a file that is written once a second. Used on the
 * loop's thread, except for the constructor.
 */
final class Handover {
    private static final Logger LOG = Logger.getLogger(Handover.class.getName());
    private static final JsonFactory JSON = new JsonFactory();
    private static final long WRITE_PERIOD_MICROS = 1_000_000;
    /** Older files are ignored, since the figures may no longer hold. */
    private static final long MAX_AGE_MS = 5_000;

    /** Learned figures of a worker, valid only for the given start time. */
    record WorkerFigures(long since, List<Double> learned) {}

    private final Loop loop;
    private final Core core;
    private final WorkerDirectory workers;
    private final Path file;
    private final String node;

    Handover(Loop loop, Core core, WorkerDirectory workers, Path folder, String node) {
        this.loop = loop;
        this.core = core;
        this.workers = workers;
        this.node = node;
        file = folder.resolve(NodeConfig.fileKey(node) + ".learned");
    }

    /** Restores the figures from the file, if it is recent and written by this node. */
    void restore() {
        try {
            if (System.currentTimeMillis() - Files.getLastModifiedTime(file).toMillis() > MAX_AGE_MS) {
                return;
            }
            Map<String, WorkerFigures> figures = new HashMap<>();
            List<Double> shared = read(figures);
            if (shared != null) {
                core.restoreLearned(new LearnedState(shared, Map.of()));
                workers.restoreLearned(figures);
                LOG.log(Level.INFO, "{0} begins with what was learned of {1} workers", new Object[] {
                    node, figures.size()
                });
            }
        } catch (NoSuchFileException e) {
            // There was no predecessor.
        } catch (IOException e) {
            LOG.log(Level.WARNING, "{0} can''t be read; nothing is taken over: {1}", new Object[] {file, e});
        }
    }

    /** Writes the learned figures now and every second; skips a write while {@code serving} is false. */
    void writePeriodically(BooleanSupplier serving) {
        if (serving.getAsBoolean()) {
            try {
                write();
            } catch (IOException e) {
                LOG.log(Level.FINE, "{0} can''t be written: {1}", new Object[] {file, e});
            }
        }
        loop.at(loop.now() + WRITE_PERIOD_MICROS, () -> writePeriodically(serving));
    }

    private void write() throws IOException {
        LearnedState learned = core.learned();
        Path fresh = Files.createTempFile(file.getParent(), file.getFileName().toString(), ".new");
        try {
            write(fresh, learned);
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
        } finally {
            // On a full disk every write fails; leftover temporary files would keep the disk full.
            Files.deleteIfExists(fresh);
        }
    }

    private void write(Path fresh, LearnedState learned) throws IOException {
        try (JsonGenerator json = JSON.createGenerator(Files.newOutputStream(fresh))) {
            json.writeStartObject();
            json.writeStringField("node", node);
            json.writeFieldName("all");
            writeNumbers(json, learned.shared());
            json.writeObjectFieldStart("workers");
            workers.forEachListed((id, entry) -> {
                List<Double> values = learned.byWorker().get(id);
                if (values != null) {
                    try {
                        json.writeArrayFieldStart(entry.name());
                        json.writeNumber(entry.since());
                        writeNumbers(json, values);
                        json.writeEndArray();
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                }
            });
            json.writeEndObject();
            json.writeEndObject();
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    private static void writeNumbers(JsonGenerator json, List<Double> numbers) throws IOException {
        json.writeStartArray();
        for (double number : numbers) {
            json.writeNumber(number);
        }
        json.writeEndArray();
    }

    private static List<Double> readNumbers(JsonParser json) throws IOException {
        expect(json.currentToken() == JsonToken.START_ARRAY);
        List<Double> numbers = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            numbers.add(json.getDoubleValue());
        }
        return numbers;
    }

    /** Reads the file into {@code figures} and returns the shared ones; null if it belongs to another node. */
    private List<Double> read(Map<String, WorkerFigures> figures) throws IOException {
        List<Double> shared = null;
        boolean sameNode = false;
        try (JsonParser json = JSON.createParser(Files.readAllBytes(file))) {
            expect(json.nextToken() == JsonToken.START_OBJECT);
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String field = json.currentName();
                json.nextToken();
                if (field.equals("node")) {
                    sameNode = node.equals(json.getText());
                } else if (field.equals("all")) {
                    shared = readNumbers(json);
                } else {
                    while (json.nextToken() == JsonToken.FIELD_NAME) {
                        String name = json.currentName();
                        expect(json.nextToken() == JsonToken.START_ARRAY);
                        json.nextToken();
                        long since = json.getLongValue();
                        json.nextToken();
                        figures.put(name, new WorkerFigures(since, readNumbers(json)));
                        json.nextToken();
                    }
                }
            }
        }
        return sameNode ? shared : null;
    }

    private static void expect(boolean condition) throws IOException {
        if (!condition) {
            throw new IOException("malformed handover file");
        }
    }
}
