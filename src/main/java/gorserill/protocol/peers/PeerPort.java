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
 * Where this node hears other nodes and speaks to them. A datagram counts as its sender's by the address that
 * it came from; from any other address, or longer than the platform allows, it is dropped and counted.
 */
public final class PeerPort {
    private static final Logger LOG = Logger.getLogger(PeerPort.class.getName());
    /** Bytes; a longer message breaks the platform's rules, so none is ever sent. */
    public static final int MAX_MESSAGE_BYTES = 256;

    /**
     * @param listen where this node's messages come in
     * @param broadcast where a message to every other node goes
     * @param nodes the address that each node's messages come from, by the nodes' numbers
     * @param self this node's number, whose own messages are not for it
     */
    public record Addresses(
            InetSocketAddress listen, InetSocketAddress broadcast, List<InetSocketAddress> nodes, int self) {}

    private final Addresses addresses;
    private final DatagramTransport datagrams;
    private final ThrottledWarnings complaints;
    private final BiConsumer<Integer, byte[]> heard;
    private long sent;
    private long received;

    /**
     * @param heard the sender's number and its message, on the loop's thread
     * @throws IOException where the address can't be had
     */
    public PeerPort(Loop loop, Addresses addresses, BiConsumer<Integer, byte[]> heard) throws IOException {
        this.addresses = addresses;
        this.heard = heard;
        complaints = new ThrottledWarnings(loop, LOG, "messages of other nodes dropped");
        datagrams = new DatagramTransport(loop, addresses.listen(), MAX_MESSAGE_BYTES + 1, this::arrived);
    }

    private void arrived(InetSocketAddress from, byte[] message) {
        int node = addresses.nodes().indexOf(from);
        if (node < 0 || node == addresses.self()) {
            complaints.add("foreign", "from " + from);
        } else if (message.length > MAX_MESSAGE_BYTES) {
            complaints.add("too long", "from " + from);
        } else {
            received++;
            heard.accept(node, message);
        }
    }

    /** Sends every other node a message; one that is too long is not sent. */
    public void broadcast(byte[] message) {
        if (message.length > MAX_MESSAGE_BYTES) {
            complaints.add("not sent", message.length + " bytes of our own");
            return;
        }
        sent++;
        datagrams.send(addresses.broadcast(), message);
    }

    /** Messages sent, each to all others. */
    public long sent() {
        return sent;
    }

    /** Messages of other nodes taken in. */
    public long received() {
        return received;
    }

    public void stop() {
        datagrams.stop();
    }
}
