package gorserill.protocol.peers;

import static org.testng.Assert.assertEquals;

import gorserill.common.Loop;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests datagrams between nodes on loopback, including some from unknown senders. */
public class PeerPortTest {
    private static DatagramSocket socket() throws IOException {
        return new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    private static InetSocketAddress at(DatagramSocket socket) {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    private static void send(DatagramSocket from, InetSocketAddress to, int length, int mark) throws IOException {
        byte[] bytes = new byte[length];
        bytes[length - 1] = (byte) mark;
        from.send(new DatagramPacket(bytes, length, to));
    }

    /** Datagrams from other senders and those that are too long are dropped; valid ones sent last show it. */
    @Test
    public void onlyValidMessagesOfOtherNodesAreReceived() throws Exception {
        Loop loop = new Loop(e -> {});
        LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
        try (DatagramSocket peer = socket();
                DatagramSocket own = socket();
                DatagramSocket stranger = socket();
                DatagramSocket reserved = socket()) {
            InetSocketAddress listen = at(reserved);
            reserved.close();
            loop.start();
            PeerPort port = new PeerPort(
                    loop,
                    new PeerPort.Addresses(listen, at(peer), List.of(at(own), at(peer)), 0),
                    (node, message) -> received.add(node + ":" + message.length));
            try {
                send(stranger, listen, 20, 1);
                send(own, listen, 20, 2);
                send(peer, listen, PeerPort.MAX_MESSAGE_BYTES + 1, 3);
                send(peer, listen, 2_000, 4);
                send(peer, listen, PeerPort.MAX_MESSAGE_BYTES, 5);
                send(peer, listen, 7, 6);
                assertEquals(received.poll(5, TimeUnit.SECONDS), "1:256");
                assertEquals(received.poll(5, TimeUnit.SECONDS), "1:7");
                assertEquals(received.size(), 0);

                loop.execute(() -> {
                    port.broadcast(new byte[PeerPort.MAX_MESSAGE_BYTES + 1]);
                    port.broadcast(new byte[] {1, 2, 3});
                });
                byte[] buffer = new byte[512];
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                peer.setSoTimeout(5_000);
                peer.receive(packet);
                assertEquals(packet.getLength(), 3, "a message that is too long must not be sent");
                assertEquals(packet.getPort(), listen.getPort(), "sent from the listening address");
            } finally {
                port.stop();
            }
        } finally {
            loop.stop();
        }
    }
}
