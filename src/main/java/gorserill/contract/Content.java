package gorserill.contract;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorserill.contract.schema.Check;
import gorserill.contract.schema.Check.Unreadable;
import gorserill.contract.schema.Violation;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** The media types that a body may have, each with its schema or none. */
final class Content {
    private final Map<MediaType, Check> types;

    /** @param types each with its schema; a value may be null */
    Content(Map<MediaType, Check> types) {
        this.types = Collections.unmodifiableMap(new LinkedHashMap<>(types));
    }

    Map<MediaType, Check> types() {
        return types;
    }

    /** The described range that holds a type most exactly, or null. */
    MediaType range(MediaType asked) {
        MediaType best = null;
        for (MediaType range : types.keySet()) {
            if (range.holds(asked) > (best == null ? 0 : best.holds(asked))) {
                best = range;
            }
        }
        return best;
    }

    /**
     * As what a body is read. Under a range with a wildcard it is a text, whatever it says it is, unless the
     * schema takes no text: then what it says counts.
     */
    MediaType readAs(MediaType range, String told) {
        Check check = types.get(range);
        return told == null || !range.plain() || check == null || check.shape().takes("string")
                ? range
                : MediaType.parse(told);
    }

    /**
     * A body's value as its media type has it: JSON as such, a form as an object of texts, text and bytes as
     * a text; null where nothing here can read it, such as multipart.
     *
     * @throws Unreadable where it is not what it says it is
     */
    static JsonNode read(MediaType type, byte[] body) throws Unreadable {
        if (type.json()) {
            return Check.parse(body);
        }
        if (type.form()) {
            ObjectNode form = JsonNodeFactory.instance.objectNode();
            Query.parse(new String(body, StandardCharsets.ISO_8859_1))
                    .forEach((name, values) ->
                            values.forEach(value -> form.put(name, String.valueOf(Segments.decode(value, true)))));
            return form;
        }
        // Danger: bytes that are no UTF-8 become as many characters at least; a length limit still holds.
        return type.plain() ? JsonNodeFactory.instance.textNode(new String(body, StandardCharsets.UTF_8)) : null;
    }

    /** How a body fails the schema of a range, or null. */
    Violation violation(MediaType range, JsonNode value) {
        Check check = types.get(range);
        return check == null || value == null ? null : check.violation(value);
    }
}
