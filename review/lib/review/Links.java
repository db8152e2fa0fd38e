package review;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The links between the nodes of a cluster, a relay of datagrams for each direction of each; a node can be cut off. */
final class Links implements Closeable {
    private final Map<String, DatagramSocket> relays = new HashMap<>();
    private volatile String cutOff = "";

    Links(List<Rig.Node> nodes) throws IOException {
        for (Rig.Node from : nodes) {
            for (Rig.Node to : nodes) {
                if (from != to) {
                    DatagramSocket relay = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                    relays.put(from.name + " " + to.name, relay);
                    Rig.daemon("link", () -> carry(relay, from, to));
                }
            }
        }
    }

    /** Where a node finds another one. */
    String address(Rig.Node from, Rig.Node to) {
        return "127.0.0.1:" + (from == to ? to.wire : relays.get(from.name + " " + to.name).getLocalPort());
    }

    /** Nothing passes between this node and the others from here on. */
    void cutOff(Rig.Node node) {
        cutOff = node.name;
    }

    void heal() {
        cutOff = "";
    }

    private void carry(DatagramSocket relay, Rig.Node from, Rig.Node to) {
        byte[] room = new byte[65_536];
        InetSocketAddress target = new InetSocketAddress(InetAddress.getLoopbackAddress(), to.wire);
        while (!relay.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(room, room.length);
                relay.receive(packet);
                if (!cutOff.equals(from.name) && !cutOff.equals(to.name)) {
                    packet.setSocketAddress(target);
                    relay.send(packet);
                }
            } catch (IOException e) {
                // Closed, or nobody listens there at present.
            }
        }
    }

    @Override
    public void close() {
        new ArrayList<>(relays.values()).forEach(DatagramSocket::close);
    }
}
