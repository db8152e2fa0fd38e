package gorserill.contract.schema;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** A schema at work. It takes values in bounded depth, size and time; one thread may use it at a time. */
public final class Check {
    /** Objects and lists within each other in what clients and workers send. */
    public static final int MAX_DEPTH = 64;

    private static final int MAX_DIGITS = 400;
    /** Danger: of a name that comes twice, node and worker might each take another. */
    private static final ObjectReader JSON = new ObjectMapper(JsonFactory.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_DEPTH)
                            .maxNumberLength(MAX_DIGITS)
                            .build())
                    .build())
            .reader()
            .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .forType(JsonNode.class);
    /** Parts of a problem's text that come from a client are cut here. */
    private static final int MAX_WORDS = 300;

    private final SchemaBundle bundle;
    private final String key;
    private final Shape shape;
    private final String source;
    private Schema schema;

    Check(SchemaBundle bundle, String key, Shape shape, String source) {
        this.bundle = bundle;
        this.key = key;
        this.shape = shape;
        this.source = source;
    }

    public Shape shape() {
        return shape;
    }

    /** Where the schema stands: file and pointer. */
    public String source() {
        return source;
    }

    /**
     * The schema itself in the one dialect, for comparison; references stay references into {@link #defs}.
     */
    public JsonNode node() {
        return bundle.definition(key);
    }

    /** What {@link #node} and all below it refer to, by reference. */
    public Map<String, JsonNode> defs() {
        return bundle.definitions();
    }

    /** How a value fails, or null where it does not: the first that the validator finds. */
    public Violation violation(JsonNode value) {
        if (schema == null) {
            schema = bundle.compiled(key);
        }
        try {
            List<Error> errors =
                    schema.validate(value, context -> context.executionConfig(config -> config.failFast(true)));
            return errors.isEmpty()
                    ? null
                    : new Violation(
                            errors.get(0).getInstanceLocation().toString(),
                            cut(errors.get(0).getMessage()));
        } catch (BoundedNodes.Exhausted e) {
            return new Violation("", "is too intricate to be checked in the time allowed");
        } catch (StackOverflowError e) {
            return new Violation("", "is nested too deeply to be checked");
        }
    }

    private static String cut(String text) {
        return text.length() <= MAX_WORDS ? text : text.substring(0, MAX_WORDS) + "...";
    }

    /** A body that is JSON could not be read as such. */
    public static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;

        Unreadable(String why) {
            super(why);
        }
    }

    /**
     * The value that JSON text has, within bounds; it can be looked at by {@link #violation} only so often.
     *
     * @throws Unreadable which says where the text is broken
     */
    public static JsonNode parse(byte[] json) throws Unreadable {
        try {
            // Danger: JSON between systems is UTF-8 (RFC 8259, 8.1); the parser would guess other encodings.
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(json));
            JsonNode value = JSON.with(new BoundedNodes(json.length)).readValue(json);
            if (value == null || value.isMissingNode()) {
                throw new Unreadable("is empty where JSON is due");
            }
            return value;
        } catch (CharacterCodingException e) {
            throw new Unreadable("is not UTF-8");
        } catch (JacksonException e) {
            throw new Unreadable("is not readable as JSON at line "
                    + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()) + ", column "
                    + (e.getLocation() == null ? 1 : e.getLocation().getColumnNr()) + ": "
                    + cut(e.getOriginalMessage().lines().findFirst().orElse("")));
        } catch (IOException e) {
            throw new Unreadable("is not readable as JSON");
        }
    }
}
