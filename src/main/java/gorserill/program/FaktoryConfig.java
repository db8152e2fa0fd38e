package gorserill.program;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import gorserill.protocol.ClassTerms;
import gorserill.protocol.faktory.FaktoryTerms;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The Faktory front's file: whether it is on, its address and password, what is bound to which class. */
final class FaktoryConfig {
    private FaktoryConfig() { }

    /** What the file says, checked; null where there is none or it does not enable the front. */
    static FaktoryTerms read(Path file, List<String> classNames, Map<String, ClassTerms> classes)
        throws ConfigException {
        if (!Files.isRegularFile(file)) {
            return null;
        }
        Map<String, String> values;
        try (JsonParser json = new JsonFactory().createParser(Files.readString(file))) {
            json.nextToken();
            values = Flattener.flatten(json);
        } catch (IOException e) {
            throw new ConfigException(file.toString(), "can't be read: " + e.getMessage());
        }
        String enabled = values.getOrDefault("enabled", "false");
        if (!enabled.equals("true") && !enabled.equals("false")) {
            throw new ConfigException(file + ": enabled", "must be true or false, not '" + enabled + "'");
        } else if (enabled.equals("false")) {
            return null;
        } else if (!values.containsKey("listen")) {
            throw new ConfigException(file + ": listen", "is missing");
        }
        Map<String, String> queues = new LinkedHashMap<>();
        if (values.containsKey("asyncapi")) {
            queues.putAll(Descriptions.asyncApi(file.resolveSibling(values.get("asyncapi")), classes));
        }
        queues.putAll(bound(file, values, "queues", classes));
        Map<String, String> jobtypes = bound(file, values, "jobtypes", classes);
        if (queues.isEmpty() && jobtypes.isEmpty()) {
            throw new ConfigException(file + ": queues", "is missing, and so is jobtypes: nothing is bound");
        }
        return new FaktoryTerms(NodeConfig.address(values.get("listen"), file + ": listen"),
            values.getOrDefault("password", ""), queues, jobtypes, classNames, classes);
    }

    private static Map<String, String> bound(Path file, Map<String, String> values, String under,
                                             Map<String, ClassTerms> classes) throws ConfigException {
        Map<String, String> bound = new LinkedHashMap<>();
        for (Map.Entry<String, String> value : values.entrySet()) {
            if (value.getKey().startsWith(under + ".")) {
                if (!classes.containsKey(value.getValue())) {
                    throw new ConfigException(file + ": " + value.getKey(), "class '" + value.getValue()
                        + "' is not among the settings' " + classes.keySet());
                }
                bound.put(value.getKey().substring(under.length() + 1), value.getValue());
            }
        }
        return bound;
    }
}
