package gorserill.protocol;

/** Which jobs a client frontend accepts; see {@link ClientFrontend#setIntakeMode}. */
public enum IntakeMode {
    /** All jobs. */
    OPEN,
    /** One more job on each connection, which is closed after the response. */
    ONE_MORE_PER_CONNECTION,
    /** No jobs: each is refused, and its connection is closed after the response. */
    CLOSED
}
