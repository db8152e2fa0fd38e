package gorserill.contract.read;

/**
 * Something that is wrong with a description.
 *
 * @param error whether it keeps the description from being used; else it is only worth knowing
 * @param what is wrong
 * @param remedy what its author can do
 */
public record Fault(boolean error, Place place, String what, String remedy) {
    @Override
    public String toString() {
        return place + ": " + (error ? "" : "warning: ") + what + "; " + remedy;
    }
}
