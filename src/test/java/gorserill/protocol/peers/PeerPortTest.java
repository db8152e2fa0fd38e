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

/** Datagrams between nodes on loopback, among them some that no node sent. */
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

    /** What comes from elsewhere or is too long is dropped; a word of the peer's, sent last, shows it. */
    @Test
    public void onlyLawfulMessagesOfOtherNodesAreHeard() throws Exception {
        Loop loop = new Loop(e -> {});
        LinkedBlockingQueue<String> heard = new LinkedBlockingQueue<>();
        try (DatagramSocket peer = socket();
                DatagramSocket me = socket();
                DatagramSocket stranger = socket();
                DatagramSocket taken = socket()) {
            InetSocketAddress listen = at(taken);
            taken.close();
            loop.start();
            PeerPort port = new PeerPort(
                    loop,
                    new PeerPort.Addresses(listen, at(peer), List.of(at(me), at(peer)), 0),
                    (node, message) -> heard.add(node + ":" + message.length));
            try {
                send(stranger, listen, 20, 1);
                send(me, listen, 20, 2);
                send(peer, listen, PeerPort.MAX_MESSAGE_BYTES + 1, 3);
                send(peer, listen, 2_000, 4);
                send(peer, listen, PeerPort.MAX_MESSAGE_BYTES, 5);
                send(peer, listen, 7, 6);
                assertEquals(heard.poll(5, TimeUnit.SECONDS), "1:256");
                assertEquals(heard.poll(5, TimeUnit.SECONDS), "1:7");
                assertEquals(heard.size(), 0);

                loop.execute(() -> {
                    port.broadcast(new byte[PeerPort.MAX_MESSAGE_BYTES + 1]);
                    port.broadcast(new byte[] {1, 2, 3});
                });
                byte[] got = new byte[512];
                DatagramPacket packet = new DatagramPacket(got, got.length);
                peer.setSoTimeout(5_000);
                peer.receive(packet);
                assertEquals(packet.getLength(), 3, "one that is too long is never sent");
                assertEquals(packet.getPort(), listen.getPort(), "it comes from where messages go");
            } finally {
                port.stop();
            }
        } finally {
            loop.stop();
        }
    }
}
