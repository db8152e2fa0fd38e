package gorserill.contract;

/**
 * Something that was learned, and from where.
 *
 * @param source in words: a place of the description, a class of the settings, or a rule of a specification
 */
public record Sourced<T>(T value, String source) {
    @Override
    public String toString() {
        return value + " (" + source + ")";
    }
}
