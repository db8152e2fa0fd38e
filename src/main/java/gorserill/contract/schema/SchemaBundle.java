package gorserill.contract.schema;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.re2j.PatternSyntaxException;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaLocation;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SchemaRegistryConfig;
import com.networknt.schema.SpecificationVersion;
import gorserill.contract.read.Faults;
import gorserill.contract.read.Headroom;
import gorserill.contract.read.Place;
import gorserill.contract.read.Spot;
import gorserill.contract.read.Value;
import gorserill.contract.read.Value.Kind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * All schemas of one contract, each place once, in one JSON Schema document of draft 2020-12. Every {@code
 * $ref} is resolved while the description is read and becomes one into this document, so that the validator
 * itself never opens a file or a connection.
 */
public final class SchemaBundle {
    private static final String ROOT = "urn:gorserill:contract";
    private static final String DEFS = "#/$defs/";
    private static final JsonNodeFactory MAKE = JsonNodeFactory.instance;
    private static final Set<String> TYPES =
            Set.of("null", "boolean", "object", "array", "number", "string", "integer");
    private static final Set<String> SINGLE = Set.of(
            "not",
            "if",
            "then",
            "else",
            "items",
            "contains",
            "additionalProperties",
            "propertyNames",
            "unevaluatedItems",
            "unevaluatedProperties");
    private static final Set<String> LISTS = Set.of("allOf", "anyOf", "oneOf", "prefixItems");
    private static final Set<String> MAPS = Set.of("properties", "patternProperties", "dependentSchemas");
    /** Those whose schema looks at the same value again. */
    private static final Set<String> IN_PLACE =
            Set.of("allOf", "anyOf", "oneOf", "not", "if", "then", "else", "dependentSchemas");

    private static final Set<String> COUNTS = Set.of(
            "maxLength",
            "minLength",
            "maxItems",
            "minItems",
            "maxProperties",
            "minProperties",
            "maxContains",
            "minContains");
    private static final Set<String> NUMBERS =
            Set.of("multipleOf", "maximum", "minimum", "exclusiveMaximum", "exclusiveMinimum");
    private static final Set<String> UNSPOKEN =
            Set.of("$id", "$dynamicRef", "$dynamicAnchor", "$recursiveRef", "$recursiveAnchor");
    private static final int SHAPE_DEPTH = 2;
    private static final int MOST_SHAPES = 2_000;
    /** Memory of a schema with its keywords. */
    private static final int BYTES_PER_DEFINITION = 400;
    /** Memory of the validators of a schema's keywords. */
    private static final int BYTES_PER_VALIDATOR = 700;

    /** A schema that waits to be brought over, and what its definition will be called. */
    private record Waiting(Spot spot, Dialect dialect, boolean answer, String key) {}

    private final Faults faults;
    private final Headroom headroom;
    private final Map<String, String> keys = new HashMap<>();
    /** Where each definition stands in the description, and how many schemas it consists of. */
    private final Map<String, Place> places = new HashMap<>();

    private final Map<String, Integer> schemaCounts = new HashMap<>();
    private final Map<String, JsonNode> definitions = new LinkedHashMap<>();
    /** Which definitions look at the same value by which others, without going down into it. */
    private final Map<String, Set<String>> again = new HashMap<>();

    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private String at;
    private boolean descended;
    private int shapesLeft;
    private Schema root;

    /**
     * @param faults receives what is wrong with the schemas
     * @param headroom bounds the memory that they take
     */
    public SchemaBundle(Faults faults, Headroom headroom) {
        this.faults = faults;
        this.headroom = headroom;
    }

    /**
     * Takes a schema in.
     *
     * @param answer whether it is for what workers send: then {@code writeOnly} members need not be there,
     *     else {@code readOnly} ones (OpenAPI 3.0.4, 4.7.24.2)
     */
    public Check check(Spot schema, Dialect dialect, boolean answer) {
        String key = key(schema, dialect, answer);
        work();
        shapesLeft = MOST_SHAPES;
        return new Check(this, key, shape(definitions.get(key), SHAPE_DEPTH), schema.id());
    }

    JsonNode definition(String key) {
        return definitions.get(key);
    }

    Map<String, JsonNode> definitions() {
        Map<String, JsonNode> all = new HashMap<>();
        definitions.forEach((key, node) -> all.put(DEFS + key, node));
        return all;
    }

    /** Tells of schemas that lead back to themselves on the same value: checking would never end. */
    public void findLoops() {
        Set<String> done = new HashSet<>();
        for (String start : again.keySet()) {
            // Without recursion: a chain of references may be as long as the document.
            Deque<String> path = new ArrayDeque<>();
            Deque<java.util.Iterator<String>> open = new ArrayDeque<>();
            Set<String> on = new HashSet<>();
            if (!done.contains(start)) {
                path.push(start);
                on.add(start);
                open.push(again.get(start).iterator());
            }
            while (!open.isEmpty()) {
                if (!open.peek().hasNext()) {
                    open.pop();
                    String left = path.pop();
                    on.remove(left);
                    done.add(left);
                    continue;
                }
                String next = open.peek().next();
                if (on.contains(next)) {
                    faults.error(
                            places.get(next),
                            "this schema leads back to itself without going down into the value,"
                                    + " so checking would never end",
                            "break the cycle of $ref, allOf, anyOf, oneOf or not");
                } else if (!done.contains(next)) {
                    path.push(next);
                    on.add(next);
                    open.push(again.getOrDefault(next, Set.of()).iterator());
                }
            }
        }
    }

    private String key(Spot spot, Dialect dialect, boolean answer) {
        String id = spot.id() + (answer ? " answer " : " ") + dialect;
        String key = keys.get(id);
        if (key == null) {
            key = "s" + keys.size();
            keys.put(id, key);
            places.put(key, spot.place());
            waiting.add(new Waiting(spot, dialect, answer, key));
        }
        return key;
    }

    private void work() {
        while (!waiting.isEmpty()) {
            Waiting next = waiting.remove();
            at = next.key;
            descended = false;
            definitions.put(next.key, schema(next.spot, next.dialect, next.answer));
        }
    }

    // ---- one schema ----

    private JsonNode schema(Spot spot, Dialect dialect, boolean answer) {
        headroom.require(BYTES_PER_DEFINITION);
        schemaCounts.merge(at, 1, Integer::sum);
        if (spot.is(Kind.BOOLEAN) && dialect != Dialect.OPENAPI_30) {
            return spot.value().toJson();
        }
        ObjectNode out = MAKE.objectNode();
        if (!spot.must(Kind.OBJECT)) {
            return out;
        }
        Value ref = spot.value().get("$ref");
        if (ref != null) {
            refer(spot, dialect, answer, out);
            if (dialect.refStandsAlone) {
                return out;
            }
        }
        for (Map.Entry<String, Value> member : spot.value().members().entrySet()) {
            keyword(spot, member.getKey(), dialect, answer, out);
        }
        if (dialect == Dialect.OPENAPI_30) {
            narrow30(spot, out);
        }
        required(spot, answer, out);
        if (dialect != Dialect.ASYNCAPI && spot.value().get("discriminator") != null) {
            Discriminator.apply(spot, out);
        } else if (spot.value().get("discriminator") != null) {
            // AsyncAPI: the name of a property, and schemas named after its values.
            Discriminator.requireNamed(spot, out);
        }
        return out;
    }

    private void refer(Spot spot, Dialect dialect, boolean answer, ObjectNode out) {
        Spot target = spot.raw("$ref").must(Kind.TEXT) ? spot.target() : null;
        if (target != null) {
            String key = key(target, dialect, answer);
            out.put("$ref", DEFS + key);
            if (!descended) {
                again.computeIfAbsent(at, k -> new LinkedHashSet<>()).add(key);
            }
        }
    }

    private JsonNode sub(Spot spot, Dialect dialect, boolean answer, boolean inPlace) {
        boolean before = descended;
        descended |= !inPlace;
        JsonNode node = schema(spot, dialect, answer);
        descended = before;
        return node;
    }

    private void keyword(Spot schema, String name, Dialect dialect, boolean answer, ObjectNode out) {
        Spot spot = schema.raw(name);
        boolean inPlace = IN_PLACE.contains(name);
        if (UNSPOKEN.contains(name) && dialect == Dialect.OPENAPI_31 || name.equals("$id")) {
            spot.error("'" + name + "' is not spoken here", "use $ref with a pointer, or $anchor");
        } else if (name.equals("items") && spot.is(Kind.LIST)) {
            if (dialect != Dialect.ASYNCAPI) {
                spot.error("'items' is a list", "write one schema, or prefixItems in OpenAPI 3.1");
            } else if (!spot.value().items().isEmpty()) {
                out.set("prefixItems", list(spot, dialect, answer, false));
            }
        } else if (name.equals("additionalItems")) {
            // Draft 7's counts only beside a list of items.
            if (schema.raw("items") != null && schema.raw("items").is(Kind.LIST)) {
                out.set("items", sub(spot, dialect, answer, false));
            }
        } else if (SINGLE.contains(name)) {
            out.set(name, sub(spot, dialect, answer, inPlace));
        } else if (LISTS.contains(name)) {
            if (spot.must(Kind.LIST)) {
                if (spot.value().items().isEmpty()) {
                    spot.error("'" + name + "' is empty", "name a schema in it, or leave it out");
                }
                out.set(name, list(spot, dialect, answer, inPlace));
            }
        } else if (MAPS.contains(name)) {
            map(name, spot, dialect, answer, inPlace, out);
        } else if (name.equals("dependencies")) {
            dependencies(spot, dialect, answer, out);
        } else {
            plain(name, spot, out);
        }
    }

    private ArrayNode list(Spot spot, Dialect dialect, boolean answer, boolean inPlace) {
        ArrayNode out = MAKE.arrayNode();
        spot.rawItems().forEach(item -> out.add(sub(item, dialect, answer, inPlace)));
        return out;
    }

    private void map(String name, Spot spot, Dialect dialect, boolean answer, boolean inPlace, ObjectNode out) {
        if (!spot.must(Kind.OBJECT)) {
            return;
        }
        ObjectNode map = out.putObject(name);
        for (String member : spot.value().members().keySet()) {
            if (!name.equals("patternProperties") || pattern(spot.raw(member), member)) {
                map.set(member, sub(spot.raw(member), dialect, answer, inPlace));
            }
        }
    }

    /** Draft 7's, which later drafts split by what stands in it. */
    private void dependencies(Spot spot, Dialect dialect, boolean answer, ObjectNode out) {
        for (String member : spot.value().members().keySet()) {
            Spot at = spot.raw(member);
            if (at.is(Kind.LIST)) {
                out.withObjectProperty("dependentRequired")
                        .set(member, at.value().toJson());
            } else {
                out.withObjectProperty("dependentSchemas").set(member, sub(at, dialect, answer, true));
            }
        }
    }

    private static void plain(String name, Spot spot, ObjectNode out) {
        if (COUNTS.contains(name)) {
            if (spot.must(Kind.NUMBER)) {
                if (!spot.value().text().matches("[0-9]{1,18}(\\.0+)?")) {
                    spot.error("'" + name + "' must be a whole number of at least 0", "write one");
                }
                out.set(name, spot.value().toJson());
            }
        } else if (NUMBERS.contains(name)) {
            // OpenAPI 3.0 has flags under two of these names, which narrow30 reads.
            if (!spot.is(Kind.BOOLEAN) && spot.must(Kind.NUMBER)) {
                out.set(name, spot.value().toJson());
                if (name.equals("multipleOf") && !(spot.value().toJson().doubleValue() > 0)) {
                    spot.error("'multipleOf' must be above 0", "write such a number");
                }
            }
        } else {
            switch (name) {
                case "pattern" -> {
                    if (spot.must(Kind.TEXT) && pattern(spot, spot.value().text())) {
                        out.put(name, spot.value().text());
                    }
                }
                case "type" -> type(spot, out);
                case "enum" -> {
                    if (spot.must(Kind.LIST)) {
                        out.set(name, spot.value().toJson());
                    }
                }
                case "const" -> out.set(name, spot.value().toJson());
                case "uniqueItems" -> {
                    if (spot.must(Kind.BOOLEAN)) {
                        out.set(name, spot.value().toJson());
                    }
                }
                case "dependentRequired" -> {
                    if (spot.must(Kind.OBJECT)) {
                        out.set(name, spot.value().toJson());
                    }
                }
                default -> {
                    // Annotations, extensions and unknown words say nothing of what is valid (Core, 6.5).
                }
            }
        }
    }

    private static boolean pattern(Spot spot, String regex) {
        try {
            LinearPatterns.compile(regex);
            return true;
        } catch (PatternSyntaxException e) {
            spot.error(
                    "the pattern can't be run in linear time, or is none: " + e.getMessage(),
                    "write it without look-around and back-references");
            return false;
        }
    }

    private static void type(Spot spot, ObjectNode out) {
        List<Spot> types = spot.is(Kind.LIST) ? spot.rawItems() : List.of(spot);
        for (Spot type : types) {
            if (type.must(Kind.TEXT) && !TYPES.contains(type.value().text())) {
                type.error("'" + type.value().text() + "' is no type", "use one of " + sorted(TYPES));
            }
        }
        if (types.stream()
                .allMatch(type ->
                        type.is(Kind.TEXT) && TYPES.contains(type.value().text()))) {
            out.set("type", spot.value().toJson());
        }
    }

    private static String sorted(Set<String> words) {
        List<String> all = new ArrayList<>(words);
        Collections.sort(all);
        return String.join(", ", all);
    }

    /** What OpenAPI 3.0 says otherwise than draft 2020-12. */
    private static void narrow30(Spot spot, ObjectNode out) {
        for (String side : List.of("Maximum", "Minimum")) {
            String plain = side.toLowerCase(java.util.Locale.ROOT);
            if (spot.raw("exclusive" + side) != null
                    && spot.raw("exclusive" + side).is(Kind.BOOLEAN)
                    && spot.flag("exclusive" + side, false)
                    && out.has(plain)) {
                out.set("exclusive" + side, out.remove(plain));
            }
        }
        if (spot.flag("nullable", false) && out.path("type").isTextual()) {
            out.set("type", MAKE.arrayNode().add(out.get("type")).add("null"));
        }
    }

    private static void required(Spot spot, boolean answer, ObjectNode out) {
        Spot required = spot.raw("required");
        if (required == null || !required.must(Kind.LIST)) {
            return;
        }
        ArrayNode names = MAKE.arrayNode();
        for (Spot name : required.rawItems()) {
            if (name.must(Kind.TEXT)) {
                Spot properties = spot.raw("properties");
                Spot member =
                        properties == null ? null : properties.get(name.value().text());
                boolean left = member != null
                        && member.is(Kind.OBJECT)
                        && member.flag(answer ? "writeOnly" : "readOnly", false);
                if (!left) {
                    names.add(name.value().text());
                }
            }
        }
        if (!names.isEmpty()) {
            out.set("required", names);
        }
    }

    // ---- shapes ----

    /** @param depth 2 for members and items of the value, too; 1 for its own types alone */
    private Shape shape(JsonNode node, int depth) {
        // Danger: references back and forth among many alternatives name more schemas than there are.
        if (node == null || !node.isObject() || depth == 0 || --shapesLeft < 0) {
            return Shape.ANY;
        }
        Set<String> types = new LinkedHashSet<>();
        JsonNode type = node.path("type");
        if (type.isTextual()) {
            types.add(type.textValue());
        }
        type.forEach(one -> types.add(one.asText()));
        if (type.isMissingNode()) {
            // Values that are spelt out tell their types.
            node.path("enum").forEach(value -> types.add(typeOf(value)));
            if (node.has("const")) {
                types.add(typeOf(node.get("const")));
            }
        }
        Shape items = depth > 1 && node.has("items") ? shape(node.get("items"), depth - 1) : null;
        Map<String, Shape> members = new HashMap<>();
        if (depth > 1) {
            node.path("properties").properties().forEach(e -> members.put(e.getKey(), shape(e.getValue(), depth - 1)));
        }
        List<JsonNode> others = new ArrayList<>();
        if (node.has("$ref")) {
            others.add(definitions.get(node.get("$ref").textValue().substring(DEFS.length())));
        }
        for (String list : List.of("allOf", "anyOf", "oneOf")) {
            node.path(list).forEach(others::add);
        }
        for (JsonNode other : others) {
            Shape more = shape(other, depth);
            types.addAll(type.isMissingNode() ? more.types() : Set.of());
            items = items == null ? more.items() : items;
            more.members().forEach(members::putIfAbsent);
        }
        return Shape.of(types, items, members);
    }

    private static String typeOf(JsonNode value) {
        return switch (value.getNodeType()) {
            case OBJECT -> "object";
            case ARRAY -> "array";
            case NUMBER -> "number";
            case BOOLEAN -> "boolean";
            case NULL -> "null";
            default -> "string";
        };
    }

    // ---- at work ----

    /**
     * Makes all validators, so that the first requests don't wait for them. What can't be made is a fault.
     */
    public void prepare() {
        for (String key : definitions.keySet()) {
            headroom.require((long) BYTES_PER_VALIDATOR * schemaCounts.get(key));
            try {
                compiled(key).initializeValidators();
            } catch (RuntimeException e) {
                faults.error(
                        places.get(key),
                        "the validator can't use the schemas: " + e.getMessage(),
                        "correct what it names, here or in what this refers to");
                return;
            }
        }
        forgetDescription();
    }

    /** Drops what only reading needs: a contract in force must not hold its description a second time. */
    private void forgetDescription() {
        keys.clear();
        places.clear();
        schemaCounts.clear();
        again.clear();
    }

    /** A definition's validator; what it refers to is compiled when it is first used. */
    Schema compiled(String key) {
        if (root == null) {
            ObjectNode document = MAKE.objectNode();
            document.put("$schema", "https://json-schema.org/draft/2020-12/schema");
            ObjectNode defs = document.putObject("$defs");
            definitions.forEach(defs::set);
            SchemaRegistryConfig config = SchemaRegistryConfig.builder()
                    .regularExpressionFactory(new LinearPatterns())
                    .build();
            SchemaRegistry registry = SchemaRegistry.withDefaultDialect(
                    SpecificationVersion.DRAFT_2020_12,
                    builder -> builder.schemaRegistryConfig(config)
                            .resourceLoaders(loaders -> {})
                            .schemas(Map.of()));
            root = registry.getSchema(SchemaLocation.of(ROOT), document);
        }
        return root.getRefSchema(SchemaLocation.of(ROOT + DEFS + key).getFragment());
    }
}
