package gorserill.protocol;

/** What a front takes of its clients; see {@link ClientFrontend#setIntakeMode}. */
public enum IntakeMode {
    /** All there is. */
    OPEN,
    /** One more job on each connection: its answer is the last there. */
    ONE_MORE_PER_CONNECTION,
    /** Nothing: jobs are refused, and the answer is the last on its connection. */
    CLOSED
}
