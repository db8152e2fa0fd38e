package gorserill.program.drill;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The ways between the nodes: one relay for each of them and each direction, which does harm as it is told.
 */
final class Links implements Closeable {
    private static final int LONGEST = 65_000;

    /** What happens on one way; changed by the drill at any time. */
    static final class Way {
        volatile double loss;
        volatile double twice;
        volatile int delay;
        volatile long cutUntil;

        void whole() {
            loss = 0;
            twice = 0;
            delay = 0;
            cutUntil = 0;
        }
    }

    private final List<DatagramSocket> sockets = new ArrayList<>();
    private final Way[][] ways;
    private final InetSocketAddress[][] relays;
    private final ScheduledExecutorService later = Executors.newSingleThreadScheduledExecutor(run -> {
        Thread thread = new Thread(run, "links");
        thread.setDaemon(true);
        return thread;
    });
    private final SplittableRandom random;
    final AtomicLong passed = new AtomicLong();
    final AtomicLong bytes = new AtomicLong();
    final AtomicLong lost = new AtomicLong();

    /** @param nodes where each node listens */
    Links(List<InetSocketAddress> nodes, long seed) throws IOException {
        random = new SplittableRandom(seed);
        int count = nodes.size();
        ways = new Way[count][count];
        relays = new InetSocketAddress[count][count];
        for (int from = 0; from < count; from++) {
            for (int to = 0; to < count; to++) {
                if (from != to) {
                    DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                    sockets.add(socket);
                    ways[from][to] = new Way();
                    relays[from][to] = (InetSocketAddress) socket.getLocalSocketAddress();
                    Way way = ways[from][to];
                    InetSocketAddress target = nodes.get(to);
                    Thread thread = new Thread(() -> carry(socket, way, target), "link " + from + ">" + to);
                    thread.setDaemon(true);
                    thread.start();
                }
            }
        }
    }

    /** Where a node is to send what is for another. */
    InetSocketAddress relay(int from, int to) {
        return relays[from][to];
    }

    Way way(int from, int to) {
        return ways[from][to];
    }

    void whole() {
        for (Way[] from : ways) {
            for (Way way : from) {
                if (way != null) {
                    way.whole();
                }
            }
        }
    }

    private void carry(DatagramSocket socket, Way way, InetSocketAddress target) {
        byte[] buffer = new byte[LONGEST];
        while (!socket.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                byte[] copy = java.util.Arrays.copyOf(packet.getData(), packet.getLength());
                double lot;
                double second;
                long wait;
                synchronized (random) {
                    lot = random.nextDouble();
                    second = random.nextDouble();
                    wait = way.delay <= 0 ? 0 : random.nextInt(way.delay);
                }
                if (lot < way.loss || System.currentTimeMillis() < way.cutUntil) {
                    lost.incrementAndGet();
                    continue;
                }
                passed.incrementAndGet();
                bytes.addAndGet(copy.length);
                for (int i = 0; i < (second < way.twice ? 2 : 1); i++) {
                    // Each takes its own time, so what was sent first may come last.
                    later.schedule(
                            () -> {
                                socket.send(new DatagramPacket(copy, copy.length, target));
                                return null;
                            },
                            wait * (i + 1),
                            TimeUnit.MILLISECONDS);
                }
            } catch (IOException | java.util.concurrent.RejectedExecutionException e) {
                // The end, or a node that is not there at present: its datagrams are lost.
            }
        }
    }

    @Override
    public void close() {
        sockets.forEach(DatagramSocket::close);
        later.shutdownNow();
    }
}
