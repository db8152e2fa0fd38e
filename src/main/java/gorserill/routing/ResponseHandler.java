package gorserill.routing;

/** Where a request came in, and its one final answer goes out; called on the core's thread. */
public interface ResponseHandler {
    /** A worker did the job; {@code result} is what it gave, maybe nothing. */
    void served(byte[] result);

    /** Not done, and trying again is harmless, best after {@code waitMicros}. */
    void refused(long waitMicros);

    /** Not done as far as is known, but it may have run. */
    void failed();

    /**
     * Whether the client has gone, of which the core may still have to hear: events wait in turn, and what
     * has gone must have nothing begun for it.
     */
    default boolean clientLeft() {
        return false;
    }
}
