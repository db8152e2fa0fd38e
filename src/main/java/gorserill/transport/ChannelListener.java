package gorserill.transport;

/** Receives the events of one connection. All methods are called on the loop's thread, in the order of the events. */
public interface ChannelListener {
    /** Passed up by a codec when a message has begun and is not complete yet. */
    Object PARTIAL_MESSAGE = new Object();

    /** The connection is established. */
    void opened(Channel channel);

    /** The codec of the connection's filter chain decoded a message. */
    void received(Object message);

    /** The connection is closed; no event follows. */
    void closed();

    /** The connection could not be established; called instead of all other methods. */
    default void connectFailed(String reason) {}

    /**
     * The connection was not attempted, or failed locally: this process has no file descriptor left for it, by its
     * budget or by the system's limit (EMFILE). This says nothing about the remote side. Called instead of all other
     * methods.
     */
    default void noDescriptor(String reason) {
        connectFailed(reason);
    }
}
