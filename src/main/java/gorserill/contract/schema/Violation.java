package gorserill.contract.schema;

/**
 * How a value fails its schema.
 *
 * @param pointer JSON Pointer (RFC 6901) into the value, empty for the whole
 * @param what in the words of the validator
 */
public record Violation(String pointer, String what) {}
