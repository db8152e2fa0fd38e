package gorserill.contract.read;

/**
 * Bounds the memory that reading a description takes. What is read stands beside the contract in force, in a heap that
 * also has to hold the requests of that time.
 */
@FunctionalInterface
public interface Headroom {
    /** For programs that do nothing but read a description. */
    Headroom UNLIMITED = bytes -> {};

    /**
     * Announces an allocation.
     *
     * @param bytes estimated size of what is about to be allocated
     * @throws NoHeadroomException if so much is not free
     */
    void require(long bytes);
}
