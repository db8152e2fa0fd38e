package gorserill.contract;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorserill.contract.schema.Check;
import gorserill.contract.schema.Check.Unreadable;
import gorserill.contract.schema.Shape;
import gorserill.contract.schema.Violation;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * A parameter of an operation, and how its value is read (OpenAPI 3.1.1, 4.8.12).
 *
 * @param name as described; of a header without regard to case
 * @param json whether its value is JSON text ({@code content}), not styled
 * @param check of its value; null where it has no schema
 */
record Parameter(
        String name,
        In in,
        boolean required,
        Style style,
        boolean explode,
        boolean allowEmpty,
        boolean json,
        Check check) {
    /** Where a parameter stands. */
    enum In {
        PATH,
        QUERY,
        HEADER,
        COOKIE
    }

    /** How a list or an object is written in one text. */
    enum Style {
        SIMPLE,
        LABEL,
        MATRIX,
        FORM,
        SPACE_DELIMITED,
        PIPE_DELIMITED,
        DEEP_OBJECT
    }

    /** It is not as described. */
    static final class Mismatch extends Exception {
        private static final long serialVersionUID = 1L;

        Mismatch(String why) {
            super(why, null, false, false);
        }
    }

    private static final JsonNodeFactory MAKE = JsonNodeFactory.instance;
    private static final java.util.regex.Pattern NUMBER =
            java.util.regex.Pattern.compile("-?(0|[1-9][0-9]{0,30})(\\.[0-9]{1,30})?([eE][+-]?[0-9]{1,3})?");

    /** For problems: where it stands and its name. */
    String where() {
        return in.name().toLowerCase(Locale.ROOT) + " " + name;
    }

    private Shape shape() {
        return check == null ? Shape.ANY : check.shape();
    }

    /**
     * Holds a request against it.
     *
     * @param pathValues by name, percent-encoded
     * @throws Mismatch which says why the request can't be let in
     */
    void check(Call call, Map<String, String> pathValues, Map<String, List<String>> query) throws Mismatch {
        List<JsonNode> readings = readings(call, pathValues, query);
        if (readings == null) {
            if (required) {
                throw new Mismatch("is required and missing");
            }
            return;
        }
        Violation first = null;
        for (JsonNode reading : readings) {
            Violation violation = check == null ? null : check.violation(reading);
            if (violation == null) {
                return;
            }
            first = first == null ? violation : first;
        }
        if (first != null) {
            throw new Mismatch((first.pointer().isEmpty() ? "" : first.pointer() + ": ") + first.what());
        }
    }

    /** The values that its text can mean, likeliest first; null where it is not there. */
    private List<JsonNode> readings(Call call, Map<String, String> pathValues, Map<String, List<String>> query)
            throws Mismatch {
        return switch (in) {
            case PATH -> {
                String raw = pathValues.get(name);
                yield raw == null ? null : path(raw);
            }
            case QUERY -> query(query);
            case HEADER -> {
                String value = call.header(name.toLowerCase(Locale.ROOT));
                if (call.repeated(name.toLowerCase(Locale.ROOT)) && !shape().list()) {
                    // Danger: of a header that comes twice, node and worker might each take another.
                    throw new Mismatch("comes more than once");
                }
                // A header's text is not percent-encoded (OpenAPI 3.1.1, 4.8.12.6).
                yield value == null ? null : json ? json(value) : simple(value, explode, false);
            }
            case COOKIE -> {
                String value = cookie(call.header("cookie"));
                yield value == null ? null : json ? json(value) : simple(value, explode, true);
            }
        };
    }

    private List<JsonNode> path(String raw) throws Mismatch {
        if (json) {
            return json(decoded(raw));
        }
        switch (style) {
            case LABEL -> {
                if (!raw.startsWith(".")) {
                    throw new Mismatch("must begin with a dot");
                }
                return delimited(raw.substring(1), explode ? "\\." : ",", explode, true);
            }
            case MATRIX -> {
                return matrix(raw);
            }
            default -> {
                return simple(raw, explode, true);
            }
        }
    }

    private List<JsonNode> matrix(String raw) throws Mismatch {
        Shape shape = shape();
        if (!raw.startsWith(";")) {
            throw new Mismatch("must begin with a semicolon");
        }
        if (explode && shape.object()) {
            return delimited(raw.substring(1), ";", true, true);
        }
        List<String> values = new ArrayList<>();
        for (String pair : raw.substring(1).split(";", -1)) {
            int equals = pair.indexOf('=');
            if (!name.equals(decoded(equals < 0 ? pair : pair.substring(0, equals)))) {
                throw new Mismatch("must be written ;" + name + "=VALUE");
            }
            values.add(equals < 0 ? "" : pair.substring(equals + 1));
        }
        if (explode && shape.list()) {
            return List.of(list(values, true));
        } else if (values.size() != 1) {
            throw new Mismatch("comes " + values.size() + " times");
        }
        return simple(values.get(0), false, true);
    }

    private List<JsonNode> query(Map<String, List<String>> query) throws Mismatch {
        Shape shape = shape();
        if (style == Style.DEEP_OBJECT) {
            return deep(query, shape);
        }
        if (style == Style.FORM && explode && shape.object() && !json) {
            ObjectNode object = MAKE.objectNode();
            for (Map.Entry<String, Shape> member : shape.members().entrySet()) {
                List<String> values = query.get(member.getKey());
                if (values != null) {
                    object.set(
                            member.getKey(),
                            member.getValue().list() ? list(values, true) : first(once(values), member.getValue()));
                }
            }
            return object.isEmpty() ? null : List.of(object);
        }
        List<String> values = query.get(name);
        if (values == null) {
            return null;
        }
        if (explode && shape.list() && !json) {
            return List.of(list(values, true));
        }
        String raw = once(values);
        if (raw.isEmpty() && allowEmpty) {
            // OpenAPI 3.1.1, 4.8.12.2.1: an empty value then counts as described.
            return null;
        }
        if (json) {
            return json(decodedForm(raw));
        }
        String delimiter =
                switch (style) {
                    case SPACE_DELIMITED -> "%20|\\+";
                    case PIPE_DELIMITED -> "\\||%7[cC]";
                    default -> ",";
                };
        return delimited(raw, delimiter, false, true);
    }

    private static String once(List<String> values) throws Mismatch {
        if (values.size() != 1) {
            // Danger: of a parameter that comes twice, node and worker might each take another.
            throw new Mismatch("comes " + values.size() + " times");
        }
        return values.get(0);
    }

    private List<JsonNode> deep(Map<String, List<String>> query, Shape shape) throws Mismatch {
        ObjectNode object = MAKE.objectNode();
        for (Map.Entry<String, List<String>> pair : query.entrySet()) {
            String key = pair.getKey();
            if (key.startsWith(name + "[") && key.endsWith("]")) {
                String member = key.substring(name.length() + 1, key.length() - 1);
                Shape its = shape.member(member);
                object.set(member, its.list() ? list(pair.getValue(), true) : first(once(pair.getValue()), its));
            }
        }
        return object.isEmpty() ? null : List.of(object);
    }

    private String cookie(String header) throws Mismatch {
        String found = null;
        for (String pair : header == null ? new String[0] : header.split(";")) {
            int equals = pair.indexOf('=');
            if (equals > 0 && pair.substring(0, equals).strip().equals(name)) {
                if (found != null) {
                    throw new Mismatch("comes more than once");
                }
                found = pair.substring(equals + 1).strip();
            }
        }
        return found;
    }

    private List<JsonNode> simple(String raw, boolean pairs, boolean encoded) throws Mismatch {
        return delimited(raw, ",", pairs, encoded);
    }

    /** @param pairs whether an object's members are written {@code name=value}, else one after another */
    private List<JsonNode> delimited(String raw, String delimiter, boolean pairs, boolean encoded) throws Mismatch {
        Shape shape = shape();
        if (shape.list()) {
            return List.of(list(raw.isEmpty() ? List.of() : List.of(raw.split(delimiter, -1)), encoded));
        } else if (!shape.object()) {
            return scalars(text(raw, encoded), shape);
        }
        ObjectNode object = MAKE.objectNode();
        String[] parts = raw.split(delimiter, -1);
        if (!pairs && parts.length % 2 != 0) {
            throw new Mismatch("must be written NAME,VALUE,NAME,VALUE");
        }
        for (int i = 0; i < parts.length; i += pairs ? 1 : 2) {
            int equals = parts[i].indexOf('=');
            if (pairs && equals < 0) {
                throw new Mismatch("must be written NAME=VALUE for each member");
            }
            String member = text(pairs ? parts[i].substring(0, equals) : parts[i], encoded);
            if (object.has(member)) {
                throw new Mismatch("has the member '" + member + "' twice");
            }
            object.set(
                    member,
                    scalars(text(pairs ? parts[i].substring(equals + 1) : parts[i + 1], encoded), shape.member(member))
                            .get(0));
        }
        return List.of(object);
    }

    private ArrayNode list(List<String> values, boolean encoded) throws Mismatch {
        ArrayNode list = MAKE.arrayNode();
        for (String value : values) {
            list.add(scalars(text(value, encoded), shape().item()).get(0));
        }
        return list;
    }

    private JsonNode first(String raw, Shape shape) throws Mismatch {
        return scalars(text(raw, true), shape).get(0);
    }

    private String text(String raw, boolean encoded) throws Mismatch {
        return !encoded ? raw.strip() : in == In.QUERY ? decodedForm(raw) : decoded(raw);
    }

    private static String decoded(String raw) throws Mismatch {
        return readable(Segments.decode(raw, false));
    }

    private static String decodedForm(String raw) throws Mismatch {
        return readable(Segments.decode(raw, true));
    }

    private static String readable(String text) throws Mismatch {
        if (text == null) {
            throw new Mismatch("is not percent-encoded UTF-8");
        }
        return text;
    }

    /** What a text can mean under a shape. */
    private static List<JsonNode> scalars(String text, Shape shape) {
        List<JsonNode> readings = new ArrayList<>(2);
        if ((shape.types().contains("integer") || shape.types().contains("number"))
                && NUMBER.matcher(text).matches()) {
            readings.add(
                    text.matches("-?[0-9]+")
                            ? MAKE.numberNode(new java.math.BigInteger(text))
                            : MAKE.numberNode(Double.parseDouble(text)));
        }
        if (shape.types().contains("boolean") && (text.equals("true") || text.equals("false"))) {
            readings.add(MAKE.booleanNode(text.equals("true")));
        }
        if (shape.types().contains("null") && (text.isEmpty() || text.equals("null"))) {
            readings.add(MAKE.nullNode());
        }
        readings.add(MAKE.textNode(text));
        return readings;
    }

    private static List<JsonNode> json(String text) throws Mismatch {
        try {
            return List.of(Check.parse(text.getBytes(StandardCharsets.UTF_8)));
        } catch (Unreadable e) {
            throw new Mismatch(e.getMessage());
        }
    }
}
