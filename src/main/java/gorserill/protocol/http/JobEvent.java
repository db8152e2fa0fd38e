package gorserill.protocol.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import gorserill.routing.Load;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * An event line in a worker's response, a JSON object.
 *
 * @param id id of the request; null if absent
 * @param state one of started, running, done, failed, returned and lost
 * @param result a JSON string's text, or the JSON text of any other value; null if absent
 * @param load the worker's load; null if absent
 */
record JobEvent(String id, String state, byte[] result, Load load) {
    private static final JsonFactory JSON = new JsonFactory();

    /** @param fieldNames names of the fields for free slots and free memory in the load report */
    static JobEvent parse(byte[] line, LoadFieldNames fieldNames) throws IOException {
        String id = null;
        String state = null;
        byte[] result = null;
        Load load = null;
        try (JsonParser json = JSON.createParser(line)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not an object");
            }
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String name = json.currentName();
                JsonToken value = json.nextToken();
                if (name.equals("id")) {
                    id = json.getText();
                } else if (name.equals("state")) {
                    state = json.getText();
                } else if (name.equals("result") && value == JsonToken.VALUE_STRING) {
                    result = json.getText().getBytes(StandardCharsets.UTF_8);
                } else if (name.equals("result") && value != JsonToken.VALUE_NULL) {
                    int from = (int) json.currentTokenLocation().getByteOffset();
                    json.skipChildren();
                    result = Arrays.copyOfRange(
                            line, from, (int) json.currentLocation().getByteOffset());
                } else if (name.equals("load") && value == JsonToken.START_OBJECT) {
                    load = parseLoad(json, fieldNames);
                } else {
                    json.skipChildren();
                }
            }
        }
        if (state == null) {
            throw new IOException("no state");
        }
        return new JobEvent(id, state, result, load);
    }

    /** Parses a load report whose opening brace is the parser's current token. */
    static Load parseLoad(JsonParser json, LoadFieldNames fieldNames) throws IOException {
        double slots = Double.NaN;
        double memory = Double.NaN;
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (value.isNumeric() && name.equals(fieldNames.freeSlots())) {
                slots = json.getDoubleValue();
            } else if (value.isNumeric() && name.equals(fieldNames.freeMemory())) {
                memory = json.getDoubleValue();
            } else {
                json.skipChildren();
            }
        }
        return new Load(slots, memory);
    }

    /** Parses a load report from a header, {@code name=value,name=value}. */
    static Load parseLoad(String header, LoadFieldNames fieldNames) {
        double slots = Double.NaN;
        double memory = Double.NaN;
        for (String field : header == null ? new String[0] : header.split(",")) {
            String[] pair = field.split("=", 2);
            try {
                if (pair[0].trim().equals(fieldNames.freeSlots())) {
                    slots = Double.parseDouble(pair[1]);
                } else if (pair[0].trim().equals(fieldNames.freeMemory())) {
                    memory = Double.parseDouble(pair[1]);
                }
            } catch (RuntimeException e) {
                // Load reports are advisory, so a malformed one is ignored.
                return Load.NONE;
            }
        }
        return new Load(slots, memory);
    }
}
