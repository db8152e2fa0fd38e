package gorserill.transport;

/** Who a connection's events are for. All of it is called on the loop's thread, in order. */
public interface ChannelListener {
    /** A codec's word that a message has begun and is not whole yet. */
    Object PARTIAL_MESSAGE = new Object();

    /** The connection is up. */
    void opened(Channel channel);

    /** The codec of the connection's chain made out a message. */
    void received(Object message);

    /** The connection is gone; nothing more comes of it. */
    void closed();

    /** The connection never came up; comes instead of all the rest. */
    default void connectFailed(String why) {}

    /**
     * The connection was never tried: this process has no descriptor left for it, by its budget or by the
     * system's limit (EMFILE). It says nothing of the other side. Comes instead of all the rest.
     */
    default void noDescriptor(String why) {
        connectFailed(why);
    }
}
