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
 * One UDP socket with a selector thread of its own, for sending and receiving. It is created only where datagrams are
 * used. Received datagrams are queued for the loop; those that arrive faster than the loop processes them are dropped,
 * which the senders allow for, as UDP loses datagrams anyway.
 */
public final class DatagramTransport {
    private static final Logger LOG = Logger.getLogger(DatagramTransport.class.getName());
    /** Datagrams that may be queued for the loop; bounded so that a flood of them does not exhaust memory. */
    private static final int MAX_QUEUED_DATAGRAMS = 256;

    private final Loop loop;
    private final UDPNIOTransport nio;
    private final Connection<SocketAddress> socket;
    private final AtomicInteger queued = new AtomicInteger();
    private volatile long dropped;

    /**
     * @param address the local address to bind
     * @param maxBytes how many bytes of a datagram are read; one more than the longest valid datagram, so that longer
     *     ones are recognised
     * @param onDatagram receives the sender and the bytes of each datagram, on the loop's thread
     * @throws IOException if the address can't be bound
     */
    public DatagramTransport(
            Loop loop, InetSocketAddress address, int maxBytes, BiConsumer<InetSocketAddress, byte[]> onDatagram)
            throws IOException {
        this.loop = loop;
        ThreadPoolConfig selectorThread = ThreadPoolConfig.defaultConfig()
                .copy()
                .setPoolName("datagrams")
                .setCorePoolSize(1)
                .setMaxPoolSize(1);
        nio = UDPNIOTransportBuilder.newInstance()
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorThreadPoolConfig(selectorThread)
                .setSelectorRunnersCount(1)
                .setMemoryManager(new HeapMemoryManager(0))
                .setReadBufferSize(maxBytes)
                .build();
        nio.setProcessor(FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new ReceiveFilter(onDatagram))
                .build());
        try {
            nio.start();
            socket = nio.bind(address);
        } catch (IOException e) {
            nio.shutdownNow();
            throw e;
        }
    }

    /** Sends one datagram; its delivery is not confirmed. Callable on any thread. */
    public void send(InetSocketAddress to, byte[] bytes) {
        socket.write(to, Buffers.wrap(nio.getMemoryManager(), bytes), null);
    }

    /** How many datagrams were dropped because they arrived faster than the loop processed them. */
    public long dropped() {
        return dropped;
    }

    public void stop() {
        try {
            nio.shutdownNow();
        } catch (IOException e) {
            LOG.log(Level.FINE, "the UDP transport did not shut down cleanly", e);
        }
    }

    private final class ReceiveFilter extends BaseFilter {
        private final BiConsumer<InetSocketAddress, byte[]> onDatagram;

        ReceiveFilter(BiConsumer<InetSocketAddress, byte[]> onDatagram) {
            this.onDatagram = onDatagram;
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            Buffer message = ctx.getMessage();
            byte[] bytes = new byte[message.remaining()];
            message.get(bytes);
            message.tryDispose();
            InetSocketAddress from = (InetSocketAddress) ctx.getAddress();
            if (queued.incrementAndGet() > MAX_QUEUED_DATAGRAMS) {
                queued.decrementAndGet();
                dropped++;
            } else {
                loop.execute(() -> {
                    queued.decrementAndGet();
                    onDatagram.accept(from, bytes);
                });
            }
            return ctx.getStopAction();
        }
    }
}
