package gorserill.program;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import gorserill.protocol.ClassTerms;
import gorserill.protocol.http.Operations;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads OpenAPI and AsyncAPI descriptions as far as they bind a front: which operation or channel stands for
 * which class of the settings, told by {@code x-gorserill-class}.
 */
final class Descriptions {
    private static final String CLASS = "x-gorserill-class";
    /** Stands between names in a path, since names here hold dots and slashes. */
    private static final String IN = "\t";
    private static final Set<String> METHODS =
        Set.of("get", "put", "post", "delete", "options", "head", "patch", "trace");

    private final Path file;
    private final Map<String, String> values;
    private final Map<String, ClassTerms> classes;

    private Descriptions(Path file, Map<String, ClassTerms> classes) throws ConfigException {
        this.file = file;
        this.classes = classes;
        try (JsonParser json = new JsonFactory().createParser(Files.readString(file))) {
            json.nextToken();
            values = Flattener.flatten(json, IN);
        } catch (IOException e) {
            throw new ConfigException(file.toString(), "can't be read: " + e.getMessage());
        }
    }

    /** The operations of an OpenAPI 3 description; each POST must be bound to a class. */
    static Operations openApi(Path file, Map<String, ClassTerms> classes) throws ConfigException {
        Descriptions read = new Descriptions(file, classes);
        read.required("openapi");
        List<Operations.Operation> operations = new ArrayList<>();
        for (String path : read.below("paths")) {
            for (String method : read.below("paths", path)) {
                if (METHODS.contains(method)) {
                    read.required("paths", path, method, "operationId");
                    boolean bound = method.equals("post")
                        || read.values.containsKey(String.join(IN, "paths", path, method, CLASS));
                    operations.add(new Operations.Operation(method.toUpperCase(Locale.ROOT), path,
                        bound ? read.jobClass("paths", path, method) : null));
                }
            }
        }
        return new Operations(operations);
    }

    /** The queues of an AsyncAPI 3 description and the class of each. */
    static Map<String, String> asyncApi(Path file, Map<String, ClassTerms> classes) throws ConfigException {
        Descriptions read = new Descriptions(file, classes);
        read.required("asyncapi");
        Map<String, String> queues = new LinkedHashMap<>();
        Set<String> channels = read.below("channels");
        for (String channel : channels) {
            queues.put(read.required("channels", channel, "address"), read.jobClass("channels", channel));
        }
        for (String operation : read.below("operations")) {
            String[] at = {"operations", operation, "channel", "$ref"};
            String channel = read.required(at);
            if (!channels.contains(channel.replaceFirst("^#/channels/", ""))) {
                throw read.fault("'" + channel + "' is no channel of this description", at);
            }
        }
        return queues;
    }

    private String jobClass(String... at) throws ConfigException {
        String[] key = java.util.Arrays.copyOf(at, at.length + 1);
        key[at.length] = CLASS;
        String name = required(key);
        if (!classes.containsKey(name)) {
            throw fault("class '" + name + "' is not among the settings' " + classes.keySet(), key);
        }
        return name;
    }

    private String required(String... key) throws ConfigException {
        String value = values.get(String.join(IN, key));
        if (value == null) {
            throw fault("is missing", key);
        }
        return value;
    }

    /** The names of the members of an object, of which there must be some. */
    private Set<String> below(String... key) throws ConfigException {
        String start = String.join(IN, key) + IN;
        Set<String> names = new TreeSet<>();
        for (String path : values.keySet()) {
            if (path.startsWith(start)) {
                names.add(path.substring(start.length()).split(IN, 2)[0]);
            }
        }
        if (names.isEmpty()) {
            throw fault("is missing", key);
        }
        return names;
    }

    private ConfigException fault(String what, String... key) {
        return new ConfigException(file + ": " + String.join(".", key), what);
    }
}
