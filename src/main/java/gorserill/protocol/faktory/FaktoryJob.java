package gorserill.protocol.faktory;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import gorserill.contract.schema.Check;
import gorserill.routing.JobSpec;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * A work unit of the protocol, as far as the node reads it. What a client may add under {@code custom}:
 * {@code remaining_ms}, {@code idempotency_key}, {@code slots}, {@code tenant}, {@code estimate_us}.
 *
 * @param reserveFor seconds; 0 where not told
 * @param at when to run it; null for now
 * @param slots that it takes of a worker; -1 where not told
 * @param tenant whose job it is; null where not told
 * @param estimateUs a guess at its work, microseconds of a standard core; 0 for none
 */
record FaktoryJob(
        String jid,
        String jobtype,
        String queue,
        long reserveFor,
        String at,
        long remainingMs,
        String idempotencyKey,
        double slots,
        String tenant,
        long estimateUs) {
    /** The type of a body that is a whole work unit. */
    static final String MEDIA_TYPE = "application/vnd.faktory.job+json";

    static final String DEFAULT_QUEUE = "default";

    /** Danger: of a field that comes twice, node and worker might each take another. */
    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    /** Danger: these become headers of HTTP, where a line end would start a header of its own. */
    private static final String IDENTIFIER = "[!-~]{8,128}";

    private static final String KEY = "[!-~]{1,128}";

    /** @throws IOException which says what is missing or unreadable */
    static FaktoryJob parse(String text) throws IOException {
        String jid = null;
        String jobtype = null;
        String queue = DEFAULT_QUEUE;
        boolean args = false;
        long reserveFor = 0;
        String at = null;
        long remaining = -1;
        String key = null;
        double slots = -1;
        String tenant = null;
        long estimate = 0;
        try (JsonParser json = open(text)) {
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String field = json.currentName();
                JsonToken value = json.nextToken();
                switch (field) {
                    case "jid" -> jid = json.getValueAsString();
                    case "jobtype" -> jobtype = json.getValueAsString();
                    case "queue" -> queue = json.getValueAsString(DEFAULT_QUEUE);
                    case "reserve_for" -> reserveFor = json.getValueAsLong();
                    case "at" -> at = json.getValueAsString();
                    case "args" -> {
                        args = value == JsonToken.START_ARRAY;
                        json.skipChildren();
                    }
                    case "custom" -> {
                        while (value == JsonToken.START_OBJECT && json.nextToken() != JsonToken.END_OBJECT) {
                            String name = json.currentName();
                            json.nextToken();
                            switch (name) {
                                case "remaining_ms" -> remaining = remaining(json);
                                case "idempotency_key" -> key = json.getValueAsString();
                                case "slots" -> slots = slots(json);
                                case "tenant" -> tenant = json.getValueAsString();
                                case "estimate_us" -> estimate = estimate(json);
                                default -> json.skipChildren();
                            }
                        }
                        json.skipChildren();
                    }
                    default -> json.skipChildren();
                }
            }
            if (json.nextToken() != null) {
                throw new IOException("more than one object");
            }
        }
        if (jid == null || !jid.matches(IDENTIFIER)) {
            throw new IOException("jid must be 8 to 128 printable characters of ASCII");
        } else if (key != null && !key.matches(KEY)) {
            throw new IOException("custom.idempotency_key must be 1 to 128 printable characters of ASCII");
        } else if (jobtype == null || jobtype.isEmpty()) {
            throw new IOException("jobtype is missing");
        } else if (!args) {
            throw new IOException("args must be a list");
        }
        return new FaktoryJob(jid, jobtype, queue, reserveFor, at, remaining, key, slots, tenant, estimate);
    }

    private static double slots(JsonParser json) throws IOException {
        double slots = json.getValueAsDouble(1);
        if (!(slots >= 0 && slots < 1e6)) {
            throw new IOException("custom.slots is out of range");
        }
        return slots;
    }

    private static long estimate(JsonParser json) throws IOException {
        if (json.currentToken() != JsonToken.VALUE_NUMBER_INT
                || json.getText().length() > 12
                || json.getLongValue() < 0) {
            throw new IOException("custom.estimate_us must be a whole number, 0 or more");
        }
        return json.getLongValue();
    }

    /** The whole unit as a contract looks at it. */
    static JsonNode value(String text) throws IOException {
        try {
            return Check.parse(text.getBytes(StandardCharsets.UTF_8));
        } catch (Check.Unreadable e) {
            throw new IOException(e.getMessage());
        }
    }

    private static long remaining(JsonParser json) throws IOException {
        // Danger: a number that overflows, or is not above 0, would make a deadline of any kind.
        if (json.currentToken() != JsonToken.VALUE_NUMBER_INT || json.getIntValue() <= 0) {
            throw new IOException("custom.remaining_ms must be a whole number above 0");
        }
        return json.getIntValue();
    }

    /** A text field of an object, such as the jid of an ACK; null where it has none. */
    static String field(String text, String name) throws IOException {
        String found = null;
        try (JsonParser json = open(text)) {
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String field = json.currentName();
                json.nextToken();
                found = field.equals(name) ? json.getValueAsString() : found;
                json.skipChildren();
            }
        }
        return found;
    }

    private static JsonParser open(String text) throws IOException {
        JsonParser json = JSON.createParser(text);
        if (json.nextToken() != JsonToken.START_OBJECT) {
            json.close();
            throw new IOException("not a JSON object");
        }
        return json;
    }

    /** The work unit that a worker of this protocol gets for work of any origin. */
    static byte[] unit(JobSpec work, String queue, String jobtype) {
        if (MEDIA_TYPE.equals(work.contentType())) {
            return work.body();
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField("jid", work.id());
            json.writeStringField("queue", queue);
            json.writeStringField("jobtype", jobtype);
            json.writeArrayFieldStart("args");
            json.writeString(new String(work.body(), StandardCharsets.UTF_8));
            json.writeEndArray();
            // What fails here is the core's to try again: a worker must not do it on its own.
            json.writeNumberField("retry", 0);
            json.writeObjectFieldStart("custom");
            json.writeStringField("route", work.route());
            if (work.contentType() != null) {
                json.writeStringField("content_type", work.contentType());
            }
            if (work.idempotencyKey() != null) {
                json.writeStringField("idempotency_key", work.idempotencyKey());
            }
            json.writeEndObject();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
