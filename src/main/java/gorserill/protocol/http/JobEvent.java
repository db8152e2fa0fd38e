package gorserill.protocol.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import gorserill.routing.Load;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A line of a worker's answer.
 *
 * @param id of the request that it is about; null where not told
 * @param state started, running, done, failed, returned or lost
 * @param result the text of what was done, or its JSON where it is not a text; null where there is none
 * @param load null where there is none
 */
record JobEvent(String id, String state, byte[] result, Load load) {
    private static final JsonFactory JSON = new JsonFactory();

    /** @param reports the names of the report's values for free slots and free memory */
    static JobEvent parse(byte[] line, LoadFieldNames reports) throws IOException {
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
                    load = parseLoad(json, reports);
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

    /** A report whose opening brace is the parser's present token. */
    static Load parseLoad(JsonParser json, LoadFieldNames reports) throws IOException {
        double slots = Double.NaN;
        double memory = Double.NaN;
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (value.isNumeric() && name.equals(reports.freeSlots())) {
                slots = json.getDoubleValue();
            } else if (value.isNumeric() && name.equals(reports.freeMemory())) {
                memory = json.getDoubleValue();
            } else {
                json.skipChildren();
            }
        }
        return new Load(slots, memory);
    }

    /** A report as a header has it, {@code name=value,name=value}. */
    static Load parseLoad(String header, LoadFieldNames reports) {
        double slots = Double.NaN;
        double memory = Double.NaN;
        for (String field : header == null ? new String[0] : header.split(",")) {
            String[] pair = field.split("=", 2);
            try {
                if (pair[0].trim().equals(reports.freeSlots())) {
                    slots = Double.parseDouble(pair[1]);
                } else if (pair[0].trim().equals(reports.freeMemory())) {
                    memory = Double.parseDouble(pair[1]);
                }
            } catch (RuntimeException e) {
                // A report is advice; one that can't be read counts as none.
                return Load.NONE;
            }
        }
        return new Load(slots, memory);
    }
}
