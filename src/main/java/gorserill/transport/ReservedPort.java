package gorserill.transport;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A loopback port that is reserved for a listener of this or another process, which binds it later, possibly more
 * than once. A port that was only found to be free might be taken by another process before it is bound.
 *
 * <p>The port is held by a socket that is bound and never listens. That socket is bound exclusively, so that nobody
 * else can reserve the same port, and then shares its address with listeners that set {@code SO_REUSEADDR}, as those
 * of the JDK and of {@link Transport} do. The system assigns a bound port neither to a socket that asks for any free
 * port nor to an outgoing connection; until there is a listener, connections to it are refused. The socket does not
 * reserve the UDP port of the same number; that one is safe because it lies below the range from which the system
 * assigns ephemeral ports (from 32768 on by default).
 */
public final class ReservedPort implements Closeable {
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 19_000;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(PORT_COUNT));
    /** Keeps ports referenced, since the garbage collector closes a socket that is unreachable. */
    private static final List<ReservedPort> RESERVED_UNTIL_EXIT = Collections.synchronizedList(new ArrayList<>());

    private final Socket holder;

    private ReservedPort(Socket holder) {
        this.holder = holder;
    }

    /** Reserves a port until {@link #close}. */
    public static ReservedPort reserve() throws IOException {
        for (int tries = 0; tries < PORT_COUNT; tries++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            Socket holder = new Socket();
            try (DatagramSocket datagrams = new DatagramSocket(null)) {
                datagrams.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                holder.setReuseAddress(false);
                holder.bind(datagrams.getLocalSocketAddress());
                holder.setReuseAddress(true);
                return new ReservedPort(holder);
            } catch (IOException e) {
                // This port is in use; try the next one.
                holder.close();
            }
        }
        throw new IOException("no loopback port is free from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
    }

    /** Reserves a port until this process ends. */
    public static InetSocketAddress reserveUntilExit() throws IOException {
        ReservedPort port = reserve();
        RESERVED_UNTIL_EXIT.add(port);
        return port.address();
    }

    /** The address for the listener to bind. */
    public InetSocketAddress address() {
        return (InetSocketAddress) holder.getLocalSocketAddress();
    }

    public int port() {
        return holder.getLocalPort();
    }

    /** Ends the reservation; a listener that has bound the port keeps it. */
    @Override
    public void close() throws IOException {
        holder.close();
    }
}
