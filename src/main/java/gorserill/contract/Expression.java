package gorserill.contract;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/**
 * Where in a request a text stands: a runtime expression of OpenAPI ({@code $request.header.NAME}, {@code
 * $request.query.NAME}, {@code $request.body#/POINTER}; 3.1.1, 4.8.20.3) or of AsyncAPI ({@code
 * $message.header#/POINTER}, {@code $message.payload#/POINTER}; 3.0.0, Runtime Expression).
 */
public record Expression(From from, String name, JsonPointer pointer) {
    /** The part of a request. */
    public enum From {
        HEADER,
        QUERY,
        BODY,
        MESSAGE_HEADER,
        MESSAGE_PAYLOAD
    }

    private static final String[] STARTS = {
        "$request.header.", "$request.query.", "$request.body#", "$message.header#", "$message.payload#"
    };

    /** The header that the platform's protocol has for a key. */
    static final Expression IDEMPOTENCY_KEY = new Expression(From.HEADER, "idempotency-key", null);
    /** Where a Faktory job has it. */
    static final Expression CUSTOM_KEY =
            new Expression(From.MESSAGE_HEADER, null, JsonPointer.valueOf("/idempotency_key"));

    /** Null where the text is no expression that can be read here. */
    static Expression parse(String text) {
        for (int i = 0; i < STARTS.length; i++) {
            if (text.startsWith(STARTS[i]) && text.length() > STARTS[i].length()) {
                String rest = text.substring(STARTS[i].length());
                From from = From.values()[i];
                if (from == From.HEADER || from == From.QUERY) {
                    return new Expression(from, from == From.HEADER ? rest.toLowerCase(Locale.ROOT) : rest, null);
                }
                return rest.startsWith("/") ? new Expression(from, null, JsonPointer.compile(rest)) : null;
            }
        }
        return null;
    }

    /** Whether it reads requests of HTTP; else those that come as messages. */
    boolean ofHttp() {
        return from.compareTo(From.MESSAGE_HEADER) < 0;
    }

    /** Whether it looks into a JSON value. */
    boolean inValue() {
        return pointer != null;
    }

    /** The text in a value; null where there is none, or no text or number. */
    String in(JsonNode value) {
        JsonNode found = value == null ? null : value.at(pointer);
        return found == null || !found.isTextual() && !found.isIntegralNumber() ? null : found.asText();
    }

    @Override
    public String toString() {
        return STARTS[from.ordinal()] + (pointer == null ? name : pointer);
    }
}
