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
 * What a process has learned of the workers, written down once a second for the process that takes its place.
 * On the loop's thread, except for the constructor.
 */
final class Handover {
    private static final Logger LOG = Logger.getLogger(Handover.class.getName());
    private static final JsonFactory JSON = new JsonFactory();
    private static final long EVERY = 1_000_000;
    /** Older figures tell of another time. */
    private static final long FRESH_MS = 5_000;

    /** What was learned of a worker that started at that time. */
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

    /** Takes over what was written last, if that was a moment ago. */
    void restore() {
        try {
            if (System.currentTimeMillis() - Files.getLastModifiedTime(file).toMillis() > FRESH_MS) {
                return;
            }
            Map<String, WorkerFigures> figures = new HashMap<>();
            List<Double> all = read(figures);
            if (all != null) {
                core.restoreLearned(new LearnedState(all, Map.of()));
                workers.restoreLearned(figures);
                LOG.log(Level.INFO, "{0} begins with what was learned of {1} workers", new Object[] {
                    node, figures.size()
                });
            }
        } catch (NoSuchFileException e) {
            // There is nobody whose place it takes.
        } catch (IOException e) {
            LOG.log(Level.WARNING, "{0} can''t be read; nothing is taken over: {1}", new Object[] {file, e});
        }
    }

    /** Writes down what is known, now and every second, for as long as {@code serving} says so. */
    void writePeriodically(BooleanSupplier serving) {
        if (serving.getAsBoolean()) {
            try {
                write();
            } catch (IOException e) {
                LOG.log(Level.FINE, "{0} can''t be written: {1}", new Object[] {file, e});
            }
        }
        loop.at(loop.now() + EVERY, () -> writePeriodically(serving));
    }

    private void write() throws IOException {
        LearnedState learned = core.learned();
        Path fresh = Files.createTempFile(file.getParent(), file.getFileName().toString(), ".new");
        try {
            write(fresh, learned);
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
        } finally {
            // Danger: a disk that is full fails every write; what each left would keep it full for good.
            Files.deleteIfExists(fresh);
        }
    }

    private void write(Path fresh, LearnedState learned) throws IOException {
        try (JsonGenerator json = JSON.createGenerator(Files.newOutputStream(fresh))) {
            json.writeStartObject();
            json.writeStringField("node", node);
            json.writeFieldName("all");
            numbers(json, learned.shared());
            json.writeObjectFieldStart("workers");
            workers.forEachListed((id, entry) -> {
                List<Double> its = learned.byWorker().get(id);
                if (its != null) {
                    try {
                        json.writeArrayFieldStart(entry.name());
                        json.writeNumber(entry.since());
                        numbers(json, its);
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

    private static void numbers(JsonGenerator json, List<Double> numbers) throws IOException {
        json.writeStartArray();
        for (double number : numbers) {
            json.writeNumber(number);
        }
        json.writeEndArray();
    }

    private static List<Double> numbers(JsonParser json) throws IOException {
        expect(json.currentToken() == JsonToken.START_ARRAY);
        List<Double> numbers = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_ARRAY) {
            numbers.add(json.getDoubleValue());
        }
        return numbers;
    }

    /** Gives the figures of no worker in particular; null where the file is another node's. */
    private List<Double> read(Map<String, WorkerFigures> figures) throws IOException {
        List<Double> all = null;
        boolean mine = false;
        try (JsonParser json = JSON.createParser(Files.readAllBytes(file))) {
            expect(json.nextToken() == JsonToken.START_OBJECT);
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String field = json.currentName();
                json.nextToken();
                if (field.equals("node")) {
                    mine = node.equals(json.getText());
                } else if (field.equals("all")) {
                    all = numbers(json);
                } else {
                    while (json.nextToken() == JsonToken.FIELD_NAME) {
                        String name = json.currentName();
                        expect(json.nextToken() == JsonToken.START_ARRAY);
                        json.nextToken();
                        long since = json.getLongValue();
                        json.nextToken();
                        figures.put(name, new WorkerFigures(since, numbers(json)));
                        json.nextToken();
                    }
                }
            }
        }
        return mine ? all : null;
    }

    private static void expect(boolean so) throws IOException {
        if (!so) {
            throw new IOException("not what a process writes");
        }
    }
}
