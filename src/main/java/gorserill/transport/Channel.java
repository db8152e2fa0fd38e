package gorserill.transport;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;

/** A connection in the table of connections. */
public final class Channel {
    private final Connection<Object> connection;
    final Peer peer;
    long handle;

    Channel(Connection<Object> connection, Peer peer) {
        this.connection = connection;
        this.peer = peer;
    }

    /** A message on its way out. */
    public static final class Sending {
        private volatile boolean written;

        private Sending() { }

        /** Whether its last byte has been written to the socket. */
        public boolean written() {
            return written;
        }
    }

    /** Sends a message that the chain's codec can encode. */
    public Sending write(Object message) {
        return send(message, false);
    }

    /** Sends a last message, then closes. */
    public void writeAndClose(Object message) {
        send(message, true);
    }

    private Sending send(Object message, boolean last) {
        Sending sending = new Sending();
        // Only completed() proves that the last byte left: a write that is refused at once, say on a
        // connection closed a moment ago, must not count as sent.
        connection.write(message, new EmptyCompletionHandler<WriteResult<Object, Object>>() {
            @Override
            public void completed(WriteResult<Object, Object> result) {
                sending.written = true;
                if (last) {
                    connection.closeSilently();
                }
            }

            @Override
            public void failed(Throwable cause) {
                connection.terminateSilently();
            }
        });
        return sending;
    }

    /** Closes at once, dropping what is not yet written. */
    public void close() {
        connection.terminateSilently();
    }

    /** Its number in the table of connections, for logs. */
    public String number() {
        return Long.toString(handle & 0xfffff);
    }

    /** The other side's address, for logs. */
    public String remote() {
        return String.valueOf(connection.getPeerAddress());
    }
}
