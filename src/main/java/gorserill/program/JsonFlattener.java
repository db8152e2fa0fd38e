package gorserill.program;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Flattens nested JSON to a map from paths to values: objects by name; lists of scalars joined with commas; lists of
 * objects under {@code .count}, {@code .0}, {@code .1} and so on; spaces and commas in values become underscores.
 * The simulator's adapter receives its settings in this form too, so one parser decodes both.
 */
final class JsonFlattener {
    private final Map<String, String> values = new TreeMap<>();
    private final String separator;

    private JsonFlattener(String separator) {
        this.separator = separator;
    }

    /** Reads the settings file of an optional part; null if it does not exist or does not enable the part. */
    static Map<String, String> readIfEnabled(Path file) throws ConfigException {
        if (!Files.isRegularFile(file)) {
            return null;
        }
        Map<String, String> values;
        try (JsonParser json = new JsonFactory().createParser(Files.readString(file))) {
            json.nextToken();
            values = flatten(json);
        } catch (IOException e) {
            throw new ConfigException(file.toString(), "can't be read: " + e.getMessage());
        }
        String enabled = values.getOrDefault("enabled", "false");
        if (!enabled.equals("true") && !enabled.equals("false")) {
            throw new ConfigException(file + ": enabled", "must be true or false, not '" + enabled + "'");
        }
        return enabled.equals("true") ? values : null;
    }

    /** Flattens the value at the parser's current token, with dots between the names of a path. */
    static Map<String, String> flatten(JsonParser json) throws IOException {
        return flatten(json, ".");
    }

    /** Flattens the value at the parser's current token, with the given separator between the names of a path. */
    static Map<String, String> flatten(JsonParser json, String separator) throws IOException {
        JsonFlattener flattener = new JsonFlattener(separator);
        flattener.readValue(json, "");
        return flattener.values;
    }

    private void readValue(JsonParser json, String path) throws IOException {
        switch (json.currentToken()) {
            case START_OBJECT -> {
                while (json.nextToken() != JsonToken.END_OBJECT) {
                    String name = json.currentName();
                    json.nextToken();
                    readValue(json, path.isEmpty() ? name : path + separator + name);
                }
            }
            case START_ARRAY -> readList(json, path);
            case VALUE_NULL -> {}
            default -> values.put(path, scalar(json));
        }
    }

    private void readList(JsonParser json, String path) throws IOException {
        List<String> scalars = new ArrayList<>();
        int objects = 0;
        while (json.nextToken() != JsonToken.END_ARRAY) {
            if (json.currentToken().isStructStart()) {
                readValue(json, path + separator + objects++);
            } else {
                scalars.add(scalar(json));
            }
        }
        if (objects > 0) {
            values.put(path + separator + "count", Integer.toString(objects));
        } else {
            values.put(path, String.join(",", scalars));
        }
    }

    private static String scalar(JsonParser json) throws IOException {
        return json.getText().replace(' ', '_').replace(',', '_');
    }
}
