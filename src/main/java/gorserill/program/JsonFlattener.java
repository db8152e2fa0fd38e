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
 * Nested JSON as paths and values: objects by name; a list of plain values joined with commas; a list of
 * objects under {@code .count}, {@code .0}, {@code .1} and so forth; spaces and commas in values become
 * underscores. It is the form in which the adapter gets its settings, so that both are decoded by one parser.
 */
final class JsonFlattener {
    private final Map<String, String> values = new TreeMap<>();
    private final String separator;

    private JsonFlattener(String separator) {
        this.separator = separator;
    }

    /** What a file says of a part of the node; null where there is none or it leaves that part off. */
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

    /** Reads the value that is the parser's present token. */
    static Map<String, String> flatten(JsonParser json) throws IOException {
        return flatten(json, ".");
    }

    /** The same with another text between the names of a path. */
    static Map<String, String> flatten(JsonParser json, String separator) throws IOException {
        JsonFlattener flattener = new JsonFlattener(separator);
        flattener.value(json, "");
        return flattener.values;
    }

    private void value(JsonParser json, String path) throws IOException {
        switch (json.currentToken()) {
            case START_OBJECT -> {
                while (json.nextToken() != JsonToken.END_OBJECT) {
                    String name = json.currentName();
                    json.nextToken();
                    value(json, path.isEmpty() ? name : path + separator + name);
                }
            }
            case START_ARRAY -> list(json, path);
            case VALUE_NULL -> {}
            default -> values.put(path, plain(json));
        }
    }

    private void list(JsonParser json, String path) throws IOException {
        List<String> plain = new ArrayList<>();
        int objects = 0;
        while (json.nextToken() != JsonToken.END_ARRAY) {
            if (json.currentToken().isStructStart()) {
                value(json, path + separator + objects++);
            } else {
                plain.add(plain(json));
            }
        }
        if (objects > 0) {
            values.put(path + separator + "count", Integer.toString(objects));
        } else {
            values.put(path, String.join(",", plain));
        }
    }

    private static String plain(JsonParser json) throws IOException {
        return json.getText().replace(' ', '_').replace(',', '_');
    }
}
