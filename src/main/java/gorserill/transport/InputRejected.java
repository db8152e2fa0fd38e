package gorserill.transport;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainEvent;

/**
 * Tells a connection's listener of an error that ends its input and that no read has caused, for example that the
 * connection's incomplete message was discarded in favour of another connection's.
 *
 * @param error passed to {@link ChannelListener#received} like an error found by a codec
 */
public record InputRejected(Exception error) implements FilterChainEvent {
    private static final Object TYPE = InputRejected.class;

    @Override
    public Object type() {
        return TYPE;
    }

    /** Passes the error up the connection's filter chain. */
    public static void fire(Connection<?> connection, Exception error) {
        if (connection.getProcessor() instanceof FilterChain chain) {
            chain.fireEventUpstream(connection, new InputRejected(error), null);
        }
    }
}
