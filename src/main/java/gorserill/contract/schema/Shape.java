package gorserill.contract.schema;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What a schema says of the types it takes, as far as a text must be read by it: parameters come as texts,
 * and {@code 7} is a number to one schema and a text to another.
 *
 * @param types JSON Schema's names of types; empty where any
 * @param items of a list; null where not said
 * @param members of an object, those said
 */
public record Shape(Set<String> types, Shape items, Map<String, Shape> members) {
    /** Says nothing. */
    public static final Shape ANY = new Shape(Set.of(), null, Map.of());

    /** Shapes of types alone: a description has thousands of properties, and JSON Schema has seven types. */
    private static final Map<Set<String>, Shape> SIMPLE = new ConcurrentHashMap<>();

    static Shape of(Set<String> types, Shape items, Map<String, Shape> members) {
        if (items == null && members.isEmpty()) {
            Set<String> key = Set.copyOf(types);
            return SIMPLE.computeIfAbsent(key, simple -> new Shape(simple, null, Map.of()));
        }
        return new Shape(Set.copyOf(types), items, Map.copyOf(members));
    }

    public boolean takes(String type) {
        return types.isEmpty() || types.contains(type);
    }

    /** Whether a list, but no text, fits. */
    public boolean list() {
        return types.contains("array") && !types.contains("string");
    }

    /** Whether an object, but no text, fits. */
    public boolean object() {
        return types.contains("object") && !types.contains("string");
    }

    /** Of an item; one that says nothing where nothing is said. */
    public Shape item() {
        return items == null ? ANY : items;
    }

    public Shape member(String name) {
        return members.getOrDefault(name, ANY);
    }
}
