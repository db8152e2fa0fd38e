package gorserill.routing;

/** Delivers the single final response of a request to its client. Called on the core's thread. */
public interface ResponseHandler {
    /** A worker completed the job; {@code result} is its response body, which may be empty. */
    void served(byte[] result);

    /** The job did not run to completion and is safe to retry, preferably after {@code waitMicros}. */
    void refused(long waitMicros);

    /** The job has no known result, but may have run. */
    void failed();

    /**
     * Whether the client has disconnected. This may be true before the core has processed the corresponding event; no
     * attempt is started for such a client.
     */
    default boolean clientLeft() {
        return false;
    }
}
