package gorserill.transport;

import gorserill.common.Loop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.nio.transport.UDPNIOTransport;
import org.glassfish.grizzly.nio.transport.UDPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * One UDP socket, with a selector thread of its own: datagrams go out from where they come in. It is made
 * only where something is to be sent that way. What comes in is handed to the loop; datagrams that come
 * faster than the loop takes them are dropped, since whoever sends them counts on some being lost.
 */
public final class DatagramTransport {
    private static final Logger LOG = Logger.getLogger(DatagramTransport.class.getName());
    /** Datagrams that wait for the loop. Danger: a flood must not fill the memory. */
    private static final int WAITING = 256;

    private final Loop loop;
    private final UDPNIOTransport nio;
    private final Connection<SocketAddress> socket;
    private final AtomicInteger waiting = new AtomicInteger();
    private volatile long dropped;

    /**
     * @param most bytes that are read of a datagram; one more than are lawful shows that it is too long
     * @param heard a datagram's sender and bytes, on the loop's thread
     * @throws IOException where the address can't be had
     */
    public DatagramTransport(Loop loop, InetSocketAddress at, int most, BiConsumer<InetSocketAddress, byte[]> heard)
            throws IOException {
        this.loop = loop;
        ThreadPoolConfig one = ThreadPoolConfig.defaultConfig()
                .copy()
                .setPoolName("datagrams")
                .setCorePoolSize(1)
                .setMaxPoolSize(1);
        nio = UDPNIOTransportBuilder.newInstance()
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorThreadPoolConfig(one)
                .setSelectorRunnersCount(1)
                .setMemoryManager(new HeapMemoryManager(0))
                .setReadBufferSize(most)
                .build();
        nio.setProcessor(FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new Reading(heard))
                .build());
        try {
            nio.start();
            socket = nio.bind(at);
        } catch (IOException e) {
            nio.shutdownNow();
            throw e;
        }
    }

    /** Sends one datagram; whether it arrives is not known. Any thread may call it. */
    public void send(InetSocketAddress to, byte[] bytes) {
        socket.write(to, Buffers.wrap(nio.getMemoryManager(), bytes), null);
    }

    /** Datagrams that came faster than the loop took them. */
    public long dropped() {
        return dropped;
    }

    public void stop() {
        try {
            nio.shutdownNow();
        } catch (IOException e) {
            LOG.log(Level.FINE, "the datagrams did not stop cleanly", e);
        }
    }

    private final class Reading extends BaseFilter {
        private final BiConsumer<InetSocketAddress, byte[]> heard;

        Reading(BiConsumer<InetSocketAddress, byte[]> heard) {
            this.heard = heard;
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            Buffer message = ctx.getMessage();
            byte[] bytes = new byte[message.remaining()];
            message.get(bytes);
            message.tryDispose();
            InetSocketAddress from = (InetSocketAddress) ctx.getAddress();
            if (waiting.incrementAndGet() > WAITING) {
                waiting.decrementAndGet();
                dropped++;
            } else {
                loop.execute(() -> {
                    waiting.decrementAndGet();
                    heard.accept(from, bytes);
                });
            }
            return ctx.getStopAction();
        }
    }
}
