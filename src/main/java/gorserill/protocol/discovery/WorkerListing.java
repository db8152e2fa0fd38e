package gorserill.protocol.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An answer of discovery: the full list of workers, or changes to it.
 *
 * @param index version of the list
 * @param whole whether this is the full list
 * @param entries the workers listed or changed
 */
public record WorkerListing(long index, boolean whole, List<Entry> entries) {

    /** A listed worker; {@code since} is Unix time in milliseconds, 0 for long ago. */
    public record Entry(String name, String address, String zone, String type, int group, String status, long since) {}

    /** Reads a listing whose opening brace is the parser's current token. */
    public static WorkerListing read(JsonParser json) throws IOException {
        if (json.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("listing is not a JSON object");
        }
        long index = -1;
        boolean whole = false;
        List<Entry> entries = new ArrayList<>();
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (name.equals("index")) {
                index = json.getLongValue();
            } else if (name.equals("snapshot")) {
                whole = json.getBooleanValue();
            } else if (name.equals("endpoints") && value == JsonToken.START_ARRAY) {
                while (json.nextToken() != JsonToken.END_ARRAY) {
                    entries.add(entry(json));
                }
            } else {
                json.skipChildren();
            }
        }
        if (index < 0) {
            throw new IOException("listing has no index");
        }
        return new WorkerListing(index, whole, entries);
    }

    private static Entry entry(JsonParser json) throws IOException {
        if (json.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("endpoint is not a JSON object");
        }
        String name = null;
        String address = null;
        String zone = "";
        String type = "";
        int group = 0;
        String status = "";
        long since = 0;
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String field = json.currentName();
            json.nextToken();
            switch (field) {
                case "name" -> name = json.getText();
                case "address" -> address = json.getText();
                case "zone" -> zone = json.getText();
                case "type" -> type = json.getText();
                case "group" -> group = json.getIntValue();
                case "status" -> status = json.getText();
                case "since_ms" -> since = (long) json.getDoubleValue();
                default -> json.skipChildren();
            }
        }
        if (name == null || address == null) {
            throw new IOException("endpoint has no name or no address");
        }
        return new Entry(name, address, zone, type, group, status, since);
    }
}
