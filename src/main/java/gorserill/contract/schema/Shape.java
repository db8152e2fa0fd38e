package gorserill.contract.schema;

import java.util.Map;
import java.util.Set;

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
