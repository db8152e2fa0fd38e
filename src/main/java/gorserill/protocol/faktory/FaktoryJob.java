package gorserill.protocol.faktory;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import gorserill.common.Utf8;
import gorserill.contract.schema.Check;
import gorserill.routing.BodyFormat;
import gorserill.routing.JobSpec;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * The fields of a Faktory work unit that the node reads. Under {@code custom}, a client may add {@code remaining_ms},
 * {@code idempotency_key}, {@code slots}, {@code tenant} and {@code estimate_us}.
 *
 * @param reserveForSeconds time limit of a reservation; 0 if absent
 * @param at the time at which the job is scheduled; null for immediately
 * @param remainingMs time left until the job's deadline; -1 if absent
 * @param idempotencyKey null if absent
 * @param slots the number of worker slots that the job occupies; -1 if absent
 * @param tenant the tenant to which the job belongs; null if absent
 * @param estimateUs estimated work in microseconds of a standard core; 0 if absent
 */
record FaktoryJob(
        String jid,
        String jobtype,
        String queue,
        long reserveForSeconds,
        String at,
        long remainingMs,
        String idempotencyKey,
        double slots,
        String tenant,
        long estimateUs) {
    /** Media type under which a complete work unit is passed on to HTTP workers. */
    static final String MEDIA_TYPE = "application/vnd.faktory.job+json";

    static final String DEFAULT_QUEUE = "default";

    /** Rejects duplicate fields, because the node and the worker could read different values from them. */
    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    /** Pattern of a jid. A jid becomes an HTTP header, so it must not contain line breaks, which would add headers. */
    private static final String JID_PATTERN = "[!-~]{8,128}";
    /** Pattern of an idempotency key, which becomes an HTTP header too. */
    private static final String IDEMPOTENCY_KEY_PATTERN = "[!-~]{1,128}";

    /** @throws IOException if the unit is malformed; the message names the field that is missing or invalid */
    static FaktoryJob parse(String text) throws IOException {
        String jid = null;
        String jobtype = null;
        String queue = DEFAULT_QUEUE;
        boolean hasArgs = false;
        long reserveForSeconds = 0;
        String at = null;
        long remainingMs = -1;
        String key = null;
        double slots = -1;
        String tenant = null;
        long estimateUs = 0;
        try (JsonParser json = open(text)) {
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String field = json.currentName();
                JsonToken value = json.nextToken();
                switch (field) {
                    case "jid" -> jid = json.getValueAsString();
                    case "jobtype" -> jobtype = json.getValueAsString();
                    case "queue" -> queue = json.getValueAsString(DEFAULT_QUEUE);
                    case "reserve_for" -> reserveForSeconds = json.getValueAsLong();
                    case "at" -> at = json.getValueAsString();
                    case "args" -> {
                        hasArgs = value == JsonToken.START_ARRAY;
                        json.skipChildren();
                    }
                    case "custom" -> {
                        while (value == JsonToken.START_OBJECT && json.nextToken() != JsonToken.END_OBJECT) {
                            String name = json.currentName();
                            json.nextToken();
                            switch (name) {
                                case "remaining_ms" -> remainingMs = parseRemainingMs(json);
                                case "idempotency_key" -> key = json.getValueAsString();
                                case "slots" -> slots = parseSlots(json);
                                case "tenant" -> tenant = json.getValueAsString();
                                case "estimate_us" -> estimateUs = parseEstimateUs(json);
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
        if (jid == null || !jid.matches(JID_PATTERN)) {
            throw new IOException("jid must be 8 to 128 printable characters of ASCII");
        } else if (key != null && !key.matches(IDEMPOTENCY_KEY_PATTERN)) {
            throw new IOException("custom.idempotency_key must be 1 to 128 printable characters of ASCII");
        } else if (jobtype == null || jobtype.isEmpty()) {
            throw new IOException("jobtype is missing");
        } else if (!hasArgs) {
            throw new IOException("args must be a list");
        }
        return new FaktoryJob(jid, jobtype, queue, reserveForSeconds, at, remainingMs, key, slots, tenant, estimateUs);
    }

    private static double parseSlots(JsonParser json) throws IOException {
        double slots = json.getValueAsDouble(1);
        if (!(slots >= 0 && slots < 1e6)) {
            throw new IOException("custom.slots is out of range");
        }
        return slots;
    }

    private static long parseEstimateUs(JsonParser json) throws IOException {
        if (json.currentToken() != JsonToken.VALUE_NUMBER_INT
                || json.getText().length() > 12
                || json.getLongValue() < 0) {
            throw new IOException("custom.estimate_us must be a whole number, 0 or more");
        }
        return json.getLongValue();
    }

    /** Parses the complete unit for validation against a contract. */
    static JsonNode parseTree(String text) throws IOException {
        try {
            return Check.parse(text.getBytes(StandardCharsets.UTF_8));
        } catch (Check.Unreadable e) {
            throw new IOException(e.getMessage());
        }
    }

    private static long parseRemainingMs(JsonParser json) throws IOException {
        // Rejects numbers that overflow or are not positive, because they would give an arbitrary deadline.
        if (json.currentToken() != JsonToken.VALUE_NUMBER_INT || json.getIntValue() <= 0) {
            throw new IOException("custom.remaining_ms must be a whole number above 0");
        }
        return json.getIntValue();
    }

    /** Returns a text field of a JSON object, such as the jid of an ACK; null if it is absent. */
    static String textField(String text, String name) throws IOException {
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

    /**
     * Whether a work unit can carry the body of a job unchanged. Its arguments are JSON, which has no binary strings,
     * so a worker would receive other bytes than the client sent.
     */
    static boolean canCarry(JobSpec spec) {
        return spec.bodyFormat() == BodyFormat.WORK_UNIT || Utf8.isWellFormed(spec.body());
    }

    /**
     * Encodes the work unit that a Faktory worker receives for a job, whichever protocol the job arrived by.
     *
     * @param spec a job whose body can be carried ({@link #canCarry})
     */
    static byte[] encodeWorkUnit(JobSpec spec, String queue, String jobtype) {
        if (spec.bodyFormat() == BodyFormat.WORK_UNIT) {
            return spec.body();
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeStringField("jid", spec.id());
            json.writeStringField("queue", queue);
            json.writeStringField("jobtype", jobtype);
            json.writeArrayFieldStart("args");
            json.writeString(new String(spec.body(), StandardCharsets.UTF_8));
            json.writeEndArray();
            // The core alone decides on retries, so the worker must not schedule any.
            json.writeNumberField("retry", 0);
            json.writeObjectFieldStart("custom");
            json.writeStringField("route", spec.route());
            if (spec.contentType() != null) {
                json.writeStringField("content_type", spec.contentType());
            }
            if (spec.idempotencyKey() != null) {
                json.writeStringField("idempotency_key", spec.idempotencyKey());
            }
            json.writeEndObject();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
