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
 * A loopback port that is kept for a listener of this or another process, which binds it later, and maybe
 * more than once. Danger: a port that was merely found to be free may be another's by the time that it is
 * bound.
 *
 * <p>The port is held by a socket that is bound and never listens. It was bound alone, so that no one else
 * can reserve the same port, and shares its address from then on with listeners that set
 * {@code SO_REUSEADDR}, as those of the JDK and of {@link Transport} do. The system gives a port that is
 * bound to nobody who asks for any, and to no outgoing connection; until there is a listener it refuses
 * connections. Datagrams are not held up by that socket: for them the port lies below those that the system
 * gives out (from 32768 on, unless the machine is set otherwise).
 */
public final class ReservedPort implements Closeable {
    private static final int FIRST = 12_000;
    private static final int MANY = 19_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(MANY));
    /** Danger: a socket that nobody refers to is closed by the garbage collector. */
    private static final List<ReservedPort> UNTIL_EXIT = Collections.synchronizedList(new ArrayList<>());

    private final Socket holder;

    private ReservedPort(Socket holder) {
        this.holder = holder;
    }

    /** Reserves a port until it is closed. */
    public static ReservedPort reserve() throws IOException {
        for (int tries = 0; tries < MANY; tries++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), MANY);
            Socket holder = new Socket();
            try (DatagramSocket datagrams = new DatagramSocket(null)) {
                datagrams.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                holder.setReuseAddress(false);
                holder.bind(datagrams.getLocalSocketAddress());
                holder.setReuseAddress(true);
                return new ReservedPort(holder);
            } catch (IOException e) {
                // It is taken: the next one may not be.
                holder.close();
            }
        }
        throw new IOException("no loopback port is free from " + FIRST + " to " + (FIRST + MANY - 1));
    }

    /** Reserves a port until this process ends. */
    public static InetSocketAddress reserveUntilExit() throws IOException {
        ReservedPort port = reserve();
        UNTIL_EXIT.add(port);
        return port.address();
    }

    /** Where its listener is to listen. */
    public InetSocketAddress address() {
        return (InetSocketAddress) holder.getLocalSocketAddress();
    }

    /** The number of the port. */
    public int port() {
        return holder.getLocalPort();
    }

    /** Lets go of the port; a listener that has it keeps it. */
    @Override
    public void close() throws IOException {
        holder.close();
    }
}
