package gorserill.protocol;

/**
 * Operations of a client-facing frontend that the node uses at start, while draining and at shutdown. Called on the
 * loop's thread.
 */
public interface ClientFrontend {
    /** Sets which jobs are accepted. Connections without an open request stay as they are. */
    void setIntakeMode(IntakeMode mode);

    /**
     * Closes client connections without an open or partly received request; partly received requests get a short time
     * to complete.
     */
    void closeIdle();

    /** Whether no client is connected. */
    boolean hasNoClients();

    /** Sets whether the node advertises that clients may be sent to it. */
    void advertiseReady(boolean ready);

    /** Notifies connected workers, where the protocol provides for it, that the node is about to end. */
    void announceShutdown();
}
