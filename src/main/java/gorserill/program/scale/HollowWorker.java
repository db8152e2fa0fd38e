package gorserill.program.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

/** One hollow worker: a listener on a loopback address of its own, and its connections. */
final class HollowWorker {
    /** Addresses are 127.FIRST.1.1 and on. */
    private static final int FIRST = 64;

    private static final int PART = 250;
    private static final int BACKLOG = 64;
    /** Jobs that it runs at once, as its load reports say. */
    private static final int SLOTS = 8;

    private static final int LEAST_SERVICE = 5;
    private static final int MOST_SERVICE = 250;
    /** A worker that has just come back is so many times slower, for so long. */
    private static final int COLD_FACTOR = 4;

    private static final long COLD = 2_000;

    final int index;
    private final long seed;
    private final int meanService;
    private final HollowWorkers process;
    private final Set<HollowConnection> connections = new HashSet<>();
    private ServerSocketChannel listener;
    private long coldUntil;

    /** @param meanService milliseconds that a job takes on average */
    HollowWorker(int index, long seed, int meanService, HollowWorkers process) {
        this.index = index;
        this.seed = seed;
        this.meanService = meanService;
        this.process = process;
    }

    /** Listens at a port that the system gives; gives where. */
    InetSocketAddress listen() throws IOException {
        byte[] address = {
            127, (byte) (FIRST + index / (PART * PART)), (byte) (index / PART % PART + 1), (byte) (index % PART + 1)
        };
        listener = ServerSocketChannel.open();
        listener.bind(new InetSocketAddress(InetAddress.getByAddress(address), 0), BACKLOG);
        listener.configureBlocking(false);
        HollowLoop.Ready ready = this::accept;
        listener.register(process.loop().selector(), SelectionKey.OP_ACCEPT, ready);
        return (InetSocketAddress) listener.getLocalAddress();
    }

    /** Dies: what is open is reset. */
    void end() throws IOException {
        listener.close();
        for (HollowConnection connection : Set.copyOf(connections)) {
            connection.reset();
        }
    }

    /** Comes back after it died. */
    InetSocketAddress startAgain() throws IOException {
        coldUntil = System.currentTimeMillis() + COLD;
        return listen();
    }

    /** Takes the connections that wait. */
    private void accept() throws IOException {
        for (SocketChannel channel = listener.accept(); channel != null; channel = listener.accept()) {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            HollowConnection connection = new HollowConnection(this, channel, process);
            HollowLoop.Ready ready = connection::read;
            channel.register(process.loop().selector(), SelectionKey.OP_READ, ready);
            connections.add(connection);
        }
    }

    void closed(HollowConnection connection) {
        connections.remove(connection);
    }

    /** How long a job takes here, drawn from the seed and its id: the same in whatever order jobs come. */
    int service(String id) {
        SplittableRandom random = new SplittableRandom(seed ^ (long) id.hashCode() * 0x9E3779B97F4A7C15L);
        double drawn = -meanService * Math.log(1 - random.nextDouble());
        int service = (int) Math.max(LEAST_SERVICE, Math.min(MOST_SERVICE, drawn));
        return System.currentTimeMillis() < coldUntil ? service * COLD_FACTOR : service;
    }

    /** What it says of its load. */
    int freeSlots() {
        long busy = connections.stream().filter(HollowConnection::busy).count();
        return (int) Math.max(0, SLOTS - busy);
    }
}
