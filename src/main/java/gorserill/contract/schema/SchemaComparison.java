package gorserill.contract.schema;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import gorserill.contract.read.Pointers;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What one schema takes and another does not, word by word. It does not solve schemas: a change of which it
 * can't tell in which direction it goes counts as both.
 */
public final class SchemaComparison {
    /** The direction of a change: the new schema takes less, or more, or it can't be told. */
    public enum Direction {
        NARROWER,
        WIDER,
        UNKNOWN
    }

    /**
     * A change.
     *
     * @param pointer of the values meant, as a JSON Pointer in which {@code *} stands for any item or member
     */
    public record Change(Direction direction, String pointer, String what) {}

    /** A larger figure under these takes more. */
    private static final List<String> UPPER =
            List.of("maximum", "exclusiveMaximum", "maxLength", "maxItems", "maxProperties", "maxContains");

    private static final List<String> LOWER =
            List.of("minimum", "exclusiveMinimum", "minLength", "minItems", "minProperties", "minContains");
    /** Compared as a whole. */
    private static final List<String> OPAQUE = List.of(
            "not",
            "if",
            "then",
            "else",
            "dependentSchemas",
            "dependentRequired",
            "unevaluatedItems",
            "unevaluatedProperties",
            "contains",
            "patternProperties");

    private static final JsonNode ANYTHING = JsonNodeFactory.instance.objectNode();
    private static final int MOST = 500;

    private final Map<String, JsonNode> oldDefs;
    private final Map<String, JsonNode> newDefs;
    private final List<Change> changes = new ArrayList<>();
    /** Pairs of definitions that are being compared: a schema may lead back to itself. */
    private final Set<String> open = new HashSet<>();

    private SchemaComparison(Map<String, JsonNode> oldDefs, Map<String, JsonNode> newDefs) {
        this.oldDefs = oldDefs;
        this.newDefs = newDefs;
    }

    /** The changes from one to the other; a null takes anything. */
    public static List<Change> compare(Check before, Check after) {
        SchemaComparison comparison = new SchemaComparison(
                before == null ? Map.of() : before.defs(), after == null ? Map.of() : after.defs());
        comparison.compare(before == null ? ANYTHING : before.node(), after == null ? ANYTHING : after.node(), "");
        return List.copyOf(comparison.changes);
    }

    private void compare(JsonNode oldRaw, JsonNode newRaw, String pointer) {
        JsonNode before = resolved(oldRaw, oldDefs);
        JsonNode after = resolved(newRaw, newDefs);
        String pair = System.identityHashCode(before) + ":" + System.identityHashCode(after);
        if (!open.add(pair) || changes.size() >= MOST) {
            return;
        }
        if (never(before) != never(after)) {
            add(
                    never(after) ? Direction.NARROWER : Direction.WIDER,
                    pointer,
                    never(after) ? "takes nothing any more" : "takes something now");
        } else if (!never(before)) {
            types(before, after, pointer);
            values(before, after, pointer);
            bounds(before, after, pointer);
            members(before, after, pointer);
            items(before, after, pointer);
            alternatives(before, after, pointer);
            for (String word : OPAQUE) {
                opaque(word, before, after, pointer);
            }
        }
        open.remove(pair);
    }

    private void add(Direction direction, String pointer, String what) {
        if (changes.size() < MOST) {
            changes.add(new Change(direction, pointer, what));
        }
    }

    private static JsonNode resolved(JsonNode node, Map<String, JsonNode> defs) {
        JsonNode at = node;
        for (int steps = 0; at.isObject() && at.size() == 1 && at.has("$ref") && steps < 100; steps++) {
            at = defs.getOrDefault(at.get("$ref").textValue(), ANYTHING);
        }
        return at;
    }

    private static boolean never(JsonNode schema) {
        return schema.isBoolean() && !schema.booleanValue();
    }

    private static Set<String> typesOf(JsonNode schema) {
        Set<String> types = new TreeSet<>();
        JsonNode type = schema.path("type");
        if (type.isTextual()) {
            types.add(type.textValue());
        }
        type.forEach(one -> types.add(one.asText()));
        if (types.isEmpty()) {
            types.addAll(List.of("null", "boolean", "object", "array", "number", "string"));
        }
        if (types.contains("number")) {
            types.add("integer");
        }
        return types;
    }

    private void types(JsonNode before, JsonNode after, String pointer) {
        Set<String> lost = typesOf(before);
        lost.removeAll(typesOf(after));
        Set<String> won = typesOf(after);
        won.removeAll(typesOf(before));
        if (!lost.isEmpty()) {
            add(Direction.NARROWER, pointer, "no longer takes " + String.join(", ", lost));
        }
        if (!won.isEmpty()) {
            add(Direction.WIDER, pointer, "now takes " + String.join(", ", won));
        }
    }

    private static Set<JsonNode> valuesOf(JsonNode schema) {
        Set<JsonNode> values = null;
        if (schema.has("const")) {
            values = new LinkedHashSet<>(List.of(schema.get("const")));
        } else if (schema.has("enum")) {
            values = new LinkedHashSet<>();
            schema.get("enum").forEach(values::add);
        }
        return values;
    }

    private void values(JsonNode before, JsonNode after, String pointer) {
        Set<JsonNode> was = valuesOf(before);
        Set<JsonNode> is = valuesOf(after);
        if (was == null || is == null) {
            if (was != null || is != null) {
                add(
                        is == null ? Direction.WIDER : Direction.NARROWER,
                        pointer,
                        is == null ? "takes more than " + was : "takes only " + is);
            }
            return;
        }
        for (JsonNode value : was) {
            if (!is.contains(value)) {
                add(Direction.NARROWER, pointer, "no longer takes " + value);
            }
        }
        for (JsonNode value : is) {
            if (!was.contains(value)) {
                add(Direction.WIDER, pointer, "now takes " + value);
            }
        }
    }

    private void bounds(JsonNode before, JsonNode after, String pointer) {
        UPPER.forEach(word -> bound(word, before, after, pointer, 1));
        LOWER.forEach(word -> bound(word, before, after, pointer, -1));
        JsonNode was = before.path("multipleOf");
        JsonNode is = after.path("multipleOf");
        if (!was.equals(is)) {
            boolean narrower = was.isMissingNode()
                    || !is.isMissingNode()
                            && is.decimalValue().remainder(was.decimalValue()).signum() == 0;
            boolean wider = is.isMissingNode()
                    || !was.isMissingNode()
                            && was.decimalValue().remainder(is.decimalValue()).signum() == 0;
            add(
                    narrower ? Direction.NARROWER : wider ? Direction.WIDER : Direction.UNKNOWN,
                    pointer,
                    "multipleOf " + told(was) + " became " + told(is));
        }
        word("pattern", before, after, pointer);
        if (before.path("uniqueItems").asBoolean() != after.path("uniqueItems").asBoolean()) {
            add(
                    after.path("uniqueItems").asBoolean() ? Direction.NARROWER : Direction.WIDER,
                    pointer,
                    "uniqueItems " + before.path("uniqueItems").asBoolean() + " became "
                            + after.path("uniqueItems").asBoolean());
        }
    }

    private static String told(JsonNode node) {
        return node.isMissingNode() ? "nothing" : node.toString();
    }

    private void bound(String word, JsonNode before, JsonNode after, String pointer, int more) {
        JsonNode was = before.path(word);
        JsonNode is = after.path(word);
        if (was.equals(is)) {
            return;
        }
        int compared = was.isMissingNode()
                ? -1
                : is.isMissingNode() ? 1 : more * is.decimalValue().compareTo(was.decimalValue());
        if (compared != 0) {
            add(
                    compared < 0 ? Direction.NARROWER : Direction.WIDER,
                    pointer,
                    word + " " + told(was) + " became " + told(is));
        }
    }

    private void word(String word, JsonNode before, JsonNode after, String pointer) {
        JsonNode was = before.path(word);
        JsonNode is = after.path(word);
        if (!was.equals(is)) {
            add(
                    was.isMissingNode() ? Direction.NARROWER : is.isMissingNode() ? Direction.WIDER : Direction.UNKNOWN,
                    pointer,
                    word + " " + told(was) + " became " + told(is));
        }
    }

    private static Set<String> texts(JsonNode list) {
        Set<String> texts = new TreeSet<>();
        list.forEach(one -> texts.add(one.asText()));
        return texts;
    }

    private void members(JsonNode before, JsonNode after, String pointer) {
        Set<String> was = texts(before.path("required"));
        Set<String> is = texts(after.path("required"));
        for (String name : is) {
            if (!was.contains(name)) {
                add(Direction.NARROWER, pointer + "/" + Pointers.escape(name), "is now required");
            }
        }
        for (String name : was) {
            if (!is.contains(name)) {
                add(Direction.WIDER, pointer + "/" + Pointers.escape(name), "is no longer required");
            }
        }
        JsonNode others = before.has("additionalProperties") ? before.get("additionalProperties") : ANYTHING;
        JsonNode othersNow = after.has("additionalProperties") ? after.get("additionalProperties") : ANYTHING;
        Set<String> names = new LinkedHashSet<>();
        before.path("properties").fieldNames().forEachRemaining(names::add);
        after.path("properties").fieldNames().forEachRemaining(names::add);
        for (String name : names) {
            JsonNode had = before.path("properties").path(name);
            JsonNode has = after.path("properties").path(name);
            String at = pointer + "/" + Pointers.escape(name);
            if (had.isMissingNode() && !never(others) || has.isMissingNode() && !never(othersNow)) {
                // A new word for a member that anybody could send, or one word less: nobody relied on either.
                continue;
            }
            compare(had.isMissingNode() ? others : had, has.isMissingNode() ? othersNow : has, at);
        }
        compare(others, othersNow, pointer + "/*");
        compare(
                before.has("propertyNames") ? before.get("propertyNames") : ANYTHING,
                after.has("propertyNames") ? after.get("propertyNames") : ANYTHING,
                pointer + "/*");
    }

    private void items(JsonNode before, JsonNode after, String pointer) {
        JsonNode rest = before.has("items") ? before.get("items") : ANYTHING;
        JsonNode restNow = after.has("items") ? after.get("items") : ANYTHING;
        int first = Math.max(
                before.path("prefixItems").size(), after.path("prefixItems").size());
        for (int i = 0; i < first; i++) {
            compare(
                    before.path("prefixItems").path(i).isMissingNode()
                            ? rest
                            : before.get("prefixItems").get(i),
                    after.path("prefixItems").path(i).isMissingNode()
                            ? restNow
                            : after.get("prefixItems").get(i),
                    pointer + "/" + i);
        }
        compare(rest, restNow, pointer + "/*");
    }

    private void alternatives(JsonNode before, JsonNode after, String pointer) {
        for (String word : List.of("allOf", "anyOf", "oneOf")) {
            JsonNode was = before.path(word);
            JsonNode is = after.path(word);
            for (int i = 0; i < Math.min(was.size(), is.size()); i++) {
                compare(was.get(i), is.get(i), pointer);
            }
            if (was.size() != is.size()) {
                boolean more = is.size() > was.size();
                // One more demand takes less, one more alternative more; of oneOf's either may be true.
                Direction direction = word.equals("allOf") || was.isEmpty() || is.isEmpty()
                        ? more ? Direction.NARROWER : Direction.WIDER
                        : word.equals("anyOf") ? more ? Direction.WIDER : Direction.NARROWER : Direction.UNKNOWN;
                add(direction, pointer, word + " has " + is.size() + " schemas, " + was.size() + " before");
            }
        }
    }

    private void opaque(String word, JsonNode before, JsonNode after, String pointer) {
        String was = expanded(before.path(word), oldDefs, 0);
        String is = expanded(after.path(word), newDefs, 0);
        if (!was.equals(is)) {
            add(Direction.UNKNOWN, pointer, "'" + word + "' is changed");
        }
    }

    /** Text that is the same for the same schema; references are followed a few levels down. */
    private static String expanded(JsonNode node, Map<String, JsonNode> defs, int depth) {
        if (node.isObject()) {
            StringBuilder text = new StringBuilder("{");
            node.properties().stream().sorted(Map.Entry.comparingByKey()).forEach(member -> {
                if (member.getKey().equals("$ref")) {
                    text.append(
                            depth < 4
                                    ? expanded(
                                            defs.getOrDefault(member.getValue().textValue(), ANYTHING), defs, depth + 1)
                                    : "...");
                } else {
                    text.append(member.getKey()).append(':').append(expanded(member.getValue(), defs, depth));
                }
                text.append(',');
            });
            return text.append('}').toString();
        } else if (node.isArray()) {
            StringBuilder text = new StringBuilder("[");
            node.forEach(item -> text.append(expanded(item, defs, depth)).append(','));
            return text.append(']').toString();
        }
        return node.toString();
    }
}
