package gorserill.protocol;

/** What the node's start, draining and end ask of each front; called on the loop's thread. */
public interface ClientFrontend {
    /** From now on the front takes so much. Connections on which nothing is open stay as they are. */
    void setIntakeMode(IntakeMode intake);

    /** Ends the connections of clients on which no request is open or begun; begun ones get little time. */
    void closeIdle();

    /** Whether no client is connected any more. */
    boolean hasNoClients();

    /** Whether the node says that clients may be sent to it. */
    void advertiseReady(boolean clients);

    /** The node is about to end: whoever works for it is told so. */
    void announceShutdown();
}
