package gorserill.transport;

import gorserill.common.Loop;
import gorserill.common.SiblingProcesses;
import gorserill.common.SlotTable;
import gorserill.common.ThrottledWarnings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Grizzly's set-up: one selector thread, small heap buffers, the chains, and the table of connections with
 * its budget of descriptors. Codecs run on the selector thread; all else on the loop's.
 */
public final class Transport {
    private static final Logger LOG = Logger.getLogger(Transport.class.getName());
    private static final int READ_BUFFER = 8 * 1024;
    private static final int BACKLOG = 512;
    /** How old what was said may be as something is written that hangs on it, unless a deployment asks for less. */
    public static final long DEFAULT_MAX_INPUT_AGE_MICROS = 100_000;

    /** Where connections are accepted. */
    public interface Listener {
        /**
         * Accepts nothing more than what waits to be accepted by now; that is left to other processes where
         * the socket was passed on.
         */
        void stopAccepting();
    }

    /** A connection on its way up. */
    public interface PendingConnection {
        /** Gives it up; nothing more is told of it. */
        void cancel();
    }

    private final Loop loop;
    private final TCPNIOTransport nio;
    private final Attribute<Channel> channels;
    private final SlotTable<Channel> table;
    /** Connections up or on their way; counted where they begin, on whichever thread that is. */
    private final DescriptorBudget descriptors;

    private final ThrottledWarnings shed;
    private final ReadBarrier barrier;
    private boolean noticesPauses;

    /**
     * @param budget the most connections held at a time, of all kinds together
     * @param siblings who hold part of the budget, too
     */
    public Transport(Loop loop, int budget, SiblingProcesses siblings) {
        this(loop, budget, siblings, DEFAULT_MAX_INPUT_AGE_MICROS);
    }

    /** @param mostFactAge how old what was said may be as something is written that hangs on it, microseconds */
    public Transport(Loop loop, int budget, SiblingProcesses siblings, long mostFactAge) {
        this.loop = loop;
        channels = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gorserill.channel");
        table = new SlotTable<>();
        // Clients hold at most a third of all descriptors for requests, and each may need one to a worker.
        descriptors = new DescriptorBudget(budget, budget * 3 / 5, siblings);
        shed = new ThrottledWarnings(loop, LOG, "connections closed for want of descriptors");
        ThreadPoolConfig one = ThreadPoolConfig.defaultConfig()
                .copy()
                .setPoolName("selector")
                .setCorePoolSize(1)
                .setMaxPoolSize(1);
        nio = TCPNIOTransportBuilder.newInstance()
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorThreadPoolConfig(one)
                .setSelectorRunnersCount(1)
                .setTcpNoDelay(true)
                .setMemoryManager(new HeapMemoryManager(0))
                .setReadBufferSize(READ_BUFFER)
                .setServerConnectionBackLog(BACKLOG)
                .setReuseAddress(true)
                .build();
        barrier = new ReadBarrier(loop, nio, mostFactAge);
    }

    /** The same in all but the budget. */
    private Transport(Transport other, DescriptorBudget descriptors) {
        loop = other.loop;
        nio = other.nio;
        channels = other.channels;
        table = other.table;
        shed = other.shed;
        barrier = other.barrier;
        this.descriptors = descriptors;
    }

    /**
     * This transport for connections that have so many descriptors of their own, beside the budget. Danger:
     * clients and their jobs may use up the budget for as long as they like, and what a node must reach all
     * the while would find nothing left of it.
     */
    public Transport withSeparateBudget(int most) {
        return new Transport(this, new DescriptorBudget(most, most, SiblingProcesses.none()));
    }

    public void start() throws IOException {
        nio.start();
    }

    public void stop() {
        barrier.stop();
        try {
            nio.shutdownNow();
        } catch (IOException e) {
            LOG.log(Level.FINE, "the transport did not stop cleanly", e);
        }
    }

    /** A chain of the transport, a codec and the hand-over to the loop. */
    public FilterChain chain(Filter codec) {
        return chain(codec, new LoopHandoffFilter(loop, channels));
    }

    private static FilterChain chain(Filter codec, LoopHandoffFilter last) {
        return FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(codec)
                .add(last)
                .build();
    }

    /**
     * The same for connections on which is said what other writes hang on: whatever of it could be read is taken in
     * before these, in however many pieces it came.
     */
    public FilterChain chainForStateUpdates(Filter codec) {
        return chain(codec, LoopHandoffFilter.forStateUpdates(loop, channels, barrier::expectMoreInput));
    }

    /**
     * When something that is read now came, at the earliest, in microseconds of the loop's clock; any thread may ask.
     * It is the present time unless the process was held up ({@link #trackProcessPauses}).
     */
    public long earliestArrivalMicros() {
        return barrier.earliestArrivalMicros();
    }

    /** Once it listens, {@link #earliestArrivalMicros} allows for pauses of the process. */
    public void trackProcessPauses() {
        noticesPauses = true;
    }

    private void listening(TCPNIOServerConnection server) {
        if (noticesPauses) {
            noticesPauses = false;
            barrier.startPeriodicPasses(((NIOConnection) server).getSelectorRunner());
        }
    }

    /** Listens; each connection accepted gets a peer of its own. */
    public Listener listen(InetSocketAddress address, Filter codec, Supplier<? extends ChannelListener> peers)
            throws IOException {
        return bind(new Accepting(loop, descriptors, peers), codec, address);
    }

    /** The same on the socket that the program was started with as its descriptor 0. */
    public Listener listenOnInherited(Filter codec, Supplier<? extends ChannelListener> peers) throws IOException {
        TCPNIOServerConnection server =
                binding(new Accepting(loop, descriptors, peers), codec).bindToInherited();
        listening(server);
        // Danger: closing it would close standard output and error, too; the JVM has it so.
        return () -> {
            try {
                server.disableIOEvent(IOEvent.SERVER_ACCEPT);
            } catch (IOException e) {
                LOG.log(Level.WARNING, "the passed socket can''t be left: {0}", e.getMessage());
            }
        };
    }

    /**
     * Listens apart from all else: its connections have so many descriptors of their own, and what comes on
     * them passes before what comes on others.
     */
    public Listener listenWithSeparateBudget(
            InetSocketAddress address, Filter codec, Supplier<? extends ChannelListener> peers, int most)
            throws IOException {
        DescriptorBudget apart = new DescriptorBudget(most, most, SiblingProcesses.none());
        return bind(new Accepting(loop::executeFirst, apart, peers), codec, address);
    }

    private Listener bind(Accepting accepting, Filter codec, InetSocketAddress address) throws IOException {
        TCPNIOServerConnection server = binding(accepting, codec).bind(address, BACKLOG);
        listening(server);
        return () -> onSelector(server, () -> {
            takeBacklog(server, accepting);
            server.closeSilently();
        });
    }

    /**
     * Danger: who connected while the selector's thread was busy waits in the system's queue, and maybe sent
     * a request; the end of listening resets whatever waits there.
     */
    private static void takeBacklog(TCPNIOServerConnection server, Accepting accepting) {
        try {
            int first = accepting.accepted;
            int before;
            do {
                before = accepting.accepted;
                server.onAccept();
            } while (accepting.accepted > before && before < first + BACKLOG);
        } catch (IOException e) {
            LOG.log(Level.FINE, "what waits to be accepted can''t be", e);
        }
    }

    /** Runs it on the thread that reads from this connection, or accepts at it, between two of those. */
    private void onSelector(Connection<?> connection, Runnable task) {
        nio.getSelectorHandler()
                .execute(
                        ((NIOConnection) connection).getSelectorRunner(),
                        () -> {
                            task.run();
                            return true;
                        },
                        null);
    }

    private TCPNIOBindingHandler binding(Accepting accepting, Filter codec) {
        FilterChain chain = FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(accepting)
                .add(codec)
                .add(new LoopHandoffFilter(accepting.lane, channels))
                .build();
        return TCPNIOBindingHandler.builder(nio).processor(chain).build();
    }

    /**
     * Opens a connection; the peer hears {@code opened}, {@code connectFailed}, or {@code noDescriptor} where
     * this process has none left for it.
     */
    public PendingConnection connect(InetSocketAddress address, FilterChain chain, ChannelListener peer) {
        if (!descriptors.tryAcquire()) {
            loop.execute(() -> peer.noDescriptor("the budget of descriptors is used up"));
            return () -> {};
        }
        Pending pending = new Pending(peer);
        pending.future =
                TCPNIOConnectorHandler.builder(nio).processor(chain).build().connect(address);
        pending.future.addCompletionHandler(pending);
        return pending;
    }

    /** Whether connections use so much of the budget that new ones should be turned away. */
    public boolean isNearDescriptorLimit() {
        return descriptors.isNearLimit();
    }

    /** Connections up or on their way. */
    public int connectionCount() {
        return descriptors.inUse();
    }

    @SuppressWarnings("unchecked")
    private Channel channel(Connection<?> opened, ChannelListener peer, DescriptorBudget budget) {
        Channel channel =
                new Channel((Connection<Object>) opened, peer, budget, task -> onSelector(opened, task), barrier);
        channels.set(opened, channel);
        return channel;
    }

    private void register(Connection<?> opened, Channel channel, Executor lane, Consumer<Channel> closed) {
        lane.execute(() -> {
            channel.handle = table.add(channel);
            channel.peer.opened(channel);
        });
        ((Closeable) opened).addCloseListener((closeable, type) -> {
            closed.accept(channel);
            lane.execute(() -> {
                if (table.remove(channel.handle) != null) {
                    channel.peer.closed();
                }
            });
        });
    }

    /** Enters accepted connections in the table, before anything is read from them. */
    private final class Accepting extends BaseFilter {
        private final Executor lane;
        private final DescriptorBudget budget;
        private final Supplier<? extends ChannelListener> peers;
        /** On the selector's thread alone. */
        private int accepted;

        Accepting(Executor lane, DescriptorBudget budget, Supplier<? extends ChannelListener> peers) {
            this.lane = lane;
            this.budget = budget;
            this.peers = peers;
        }

        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            accepted++;
            barrier.expectMoreInput();
            Channel channel = channel(ctx.getConnection(), peers.get(), budget);
            // Danger: clients that say nothing must not cut off those that do, nor the node from its workers.
            Channel least = budget.registerAccepted(channel);
            register(ctx.getConnection(), channel, lane, budget::releaseAccepted);
            if (least != null) {
                loop.execute(() -> shed.add(least == channel ? "a new one" : "one at rest", least.remoteAddress()));
                least.close();
            }
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            Channel channel = channels.get(ctx.getConnection());
            Buffer input = ctx.getMessage();
            if (channel == null) {
                return ctx.getInvokeAction();
            }
            channel.bytesRead(input.remaining());
            return channel.discardIfLingering(input) ? ctx.getStopAction() : ctx.getInvokeAction();
        }
    }

    @SuppressWarnings("rawtypes")
    private final class Pending extends EmptyCompletionHandler<Connection> implements PendingConnection {
        private final ChannelListener peer;
        private GrizzlyFuture<Connection> future;
        private boolean cancelled;

        Pending(ChannelListener peer) {
            this.peer = peer;
        }

        @Override
        public void cancel() {
            // Cancelling closes the socket, too: one to a silent machine would hang for minutes.
            cancelled = true;
            future.cancel(true);
        }

        @Override
        public void completed(Connection connection) {
            register(connection, channel(connection, peer, descriptors), loop, channel -> descriptors.release());
        }

        @Override
        public void failed(Throwable cause) {
            descriptors.release();
            loop.execute(() -> {
                if (cancelled) {
                    return;
                }
                String why = String.valueOf(cause.getMessage());
                // Danger: the system's limit of descriptors is this process's want, not the other side's.
                if (why.contains("Too many open files")) {
                    peer.noDescriptor(why);
                } else {
                    peer.connectFailed(why);
                }
            });
        }

        @Override
        public void cancelled() {
            descriptors.release();
        }
    }
}
