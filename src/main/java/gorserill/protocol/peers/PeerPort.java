package gorserill.protocol.peers;

import gorserill.common.Loop;
import gorserill.common.ThrottledWarnings;
import gorserill.transport.DatagramTransport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.logging.Logger;

/**
 * Sends and receives messages between nodes as datagrams. The sender is identified by its source address; a datagram
 * from an unknown address, or longer than the platform allows, is dropped and counted.
 */
public final class PeerPort {
    private static final Logger LOG = Logger.getLogger(PeerPort.class.getName());
    /** Longest message that the platform allows; longer ones are never sent. */
    public static final int MAX_MESSAGE_BYTES = 256;

    /**
     * @param listen local address on which messages are received
     * @param broadcast address to which messages to all other nodes are sent
     * @param nodes source address of each node's messages, by node number
     * @param self number of this node, whose own messages are ignored
     */
    public record Addresses(
            InetSocketAddress listen, InetSocketAddress broadcast, List<InetSocketAddress> nodes, int self) {}

    private final Addresses addresses;
    private final DatagramTransport datagrams;
    private final ThrottledWarnings warnings;
    private final BiConsumer<Integer, byte[]> receiver;
    private long sent;
    private long received;

    /**
     * @param receiver gets the sender's number and the message, on the loop's thread
     * @throws IOException if the address can't be bound
     */
    public PeerPort(Loop loop, Addresses addresses, BiConsumer<Integer, byte[]> receiver) throws IOException {
        this.addresses = addresses;
        this.receiver = receiver;
        warnings = new ThrottledWarnings(loop, LOG, "messages of other nodes dropped");
        datagrams = new DatagramTransport(loop, addresses.listen(), MAX_MESSAGE_BYTES + 1, this::receive);
    }

    private void receive(InetSocketAddress from, byte[] message) {
        int node = addresses.nodes().indexOf(from);
        if (node < 0 || node == addresses.self()) {
            warnings.add("foreign", "from " + from);
        } else if (message.length > MAX_MESSAGE_BYTES) {
            warnings.add("too long", "from " + from);
        } else {
            received++;
            receiver.accept(node, message);
        }
    }

    /** Sends a message to all other nodes; a message that is too long is not sent. */
    public void broadcast(byte[] message) {
        if (message.length > MAX_MESSAGE_BYTES) {
            warnings.add("not sent", message.length + " bytes exceed the limit of " + MAX_MESSAGE_BYTES);
            return;
        }
        sent++;
        datagrams.send(addresses.broadcast(), message);
    }

    /** Messages sent, each to all other nodes and counted once. */
    public long sent() {
        return sent;
    }

    /** Messages of other nodes that were accepted. */
    public long received() {
        return received;
    }

    public void stop() {
        datagrams.stop();
    }
}
