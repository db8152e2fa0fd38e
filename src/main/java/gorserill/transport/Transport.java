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
 * The TCP transport on Grizzly: one selector thread, small heap buffers, the filter chains, and the table of
 * connections with its budget of file descriptors. Codecs run on the selector's thread, all other code on the loop's
 * thread.
 */
public final class Transport {
    private static final Logger LOG = Logger.getLogger(Transport.class.getName());
    private static final int READ_BUFFER_BYTES = 8 * 1024;
    private static final int BACKLOG = 512;
    /**
     * Default maximum age, in microseconds, of processed state reports when a write depends on them; a deployment may
     * require less.
     */
    public static final long DEFAULT_MAX_INPUT_AGE_MICROS = 100_000;

    /** A listening socket. */
    public interface Listener {
        /**
         * Stops accepting connections. Connections already in the backlog are still accepted, except on an inherited
         * socket, where they are left to the other processes that share it.
         */
        void stopAccepting();
    }

    /** A connection that is being established. */
    public interface PendingConnection {
        /** Cancels the connection attempt; the listener gets no event of it. */
        void cancel();
    }

    private final Loop loop;
    private final TCPNIOTransport nio;
    private final Attribute<Channel> channels;
    private final SlotTable<Channel> table;
    /** Connections established or being established; counted on the thread that opens or accepts them. */
    private final DescriptorBudget descriptors;

    private final ThrottledWarnings descriptorWarnings;
    private final ReadBarrier barrier;
    private boolean tracksProcessPauses;

    /**
     * @param budget the maximum number of connections at a time, of all kinds
     * @param siblings other processes of this node, which use part of the same budget
     */
    public Transport(Loop loop, int budget, SiblingProcesses siblings) {
        this(loop, budget, siblings, DEFAULT_MAX_INPUT_AGE_MICROS);
    }

    /** @param maxInputAgeMicros maximum age of processed state reports when a write depends on them, in microseconds */
    public Transport(Loop loop, int budget, SiblingProcesses siblings, long maxInputAgeMicros) {
        this.loop = loop;
        channels = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gorserill.channel");
        table = new SlotTable<>();
        // Clients hold at most a third of all descriptors for requests, and each request may need one to a worker.
        descriptors = new DescriptorBudget(budget, budget * 3 / 5, siblings);
        descriptorWarnings = new ThrottledWarnings(loop, LOG, "connections closed for want of descriptors");
        ThreadPoolConfig selectorThread = ThreadPoolConfig.defaultConfig()
                .copy()
                .setPoolName("selector")
                .setCorePoolSize(1)
                .setMaxPoolSize(1);
        nio = TCPNIOTransportBuilder.newInstance()
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorThreadPoolConfig(selectorThread)
                .setSelectorRunnersCount(1)
                .setTcpNoDelay(true)
                .setMemoryManager(new HeapMemoryManager(0))
                .setReadBufferSize(READ_BUFFER_BYTES)
                .setServerConnectionBackLog(BACKLOG)
                .setReuseAddress(true)
                .build();
        barrier = new ReadBarrier(loop, nio, maxInputAgeMicros);
    }

    /** Shares everything with the other transport but the budget. */
    private Transport(Transport other, DescriptorBudget descriptors) {
        loop = other.loop;
        nio = other.nio;
        channels = other.channels;
        table = other.table;
        descriptorWarnings = other.descriptorWarnings;
        barrier = other.barrier;
        this.descriptors = descriptors;
    }

    /**
     * A view of this transport whose connections have a budget of their own. Clients and their jobs may use up the
     * shared budget for any length of time, and a service that the node must always reach could then not be connected
     * to.
     *
     * @param maxConnections the size of the separate budget
     */
    public Transport withSeparateBudget(int maxConnections) {
        return new Transport(this, new DescriptorBudget(maxConnections, maxConnections, SiblingProcesses.none()));
    }

    public void start() throws IOException {
        nio.start();
    }

    public void stop() {
        barrier.stop();
        try {
            nio.shutdownNow();
        } catch (IOException e) {
            LOG.log(Level.FINE, "the TCP transport did not shut down cleanly", e);
        }
    }

    /** A filter chain of the transport, a codec and the handoff to the loop. */
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
     * A filter chain for connections that report state on which writes elsewhere depend: reports that could be read
     * before such a write are processed before it, even if they arrived in several pieces.
     */
    public FilterChain chainForStateUpdates(Filter codec) {
        return chain(codec, LoopHandoffFilter.forStateUpdates(loop, channels, barrier::expectMoreInput));
    }

    /**
     * The earliest possible arrival time of input that is read now, in microseconds of the loop's clock; callable on
     * any thread. It is the current time unless the process was paused ({@link #trackProcessPauses}).
     */
    public long earliestArrivalMicros() {
        return barrier.earliestArrivalMicros();
    }

    /** Makes {@link #earliestArrivalMicros} allow for pauses of the process, from the first listener on. */
    public void trackProcessPauses() {
        tracksProcessPauses = true;
    }

    private void startPauseTracking(TCPNIOServerConnection server) {
        if (tracksProcessPauses) {
            tracksProcessPauses = false;
            barrier.startPeriodicPasses(((NIOConnection) server).getSelectorRunner());
        }
    }

    /** Listens on an address; each accepted connection gets a listener of its own. */
    public Listener listen(InetSocketAddress address, Filter codec, Supplier<? extends ChannelListener> listeners)
            throws IOException {
        return bind(new AcceptFilter(loop, descriptors, listeners), codec, address);
    }

    /** Listens on the socket that the process inherited as its file descriptor 0. */
    public Listener listenOnInherited(Filter codec, Supplier<? extends ChannelListener> listeners) throws IOException {
        AcceptFilter acceptFilter = new AcceptFilter(loop, descriptors, listeners);
        TCPNIOServerConnection server = binding(acceptFilter, codec).bindToInherited();
        Runnable acceptAll = () -> acceptBacklog(server, acceptFilter);
        barrier.addBacklog(acceptAll);
        startPauseTracking(server);
        // The JVM would close standard output and error together with this socket, so it only stops accepting.
        return () -> {
            try {
                barrier.removeBacklog(acceptAll);
                server.disableIOEvent(IOEvent.SERVER_ACCEPT);
            } catch (IOException e) {
                LOG.log(Level.WARNING, "can''t stop accepting on the passed socket: {0}", e.getMessage());
            }
        };
    }

    /**
     * Listens with a separate budget of descriptors; input on these connections is processed before input on others.
     *
     * @param maxConnections the size of the separate budget
     */
    public Listener listenWithSeparateBudget(
            InetSocketAddress address, Filter codec, Supplier<? extends ChannelListener> listeners, int maxConnections)
            throws IOException {
        DescriptorBudget separate = new DescriptorBudget(maxConnections, maxConnections, SiblingProcesses.none());
        return bind(new AcceptFilter(loop::executeFirst, separate, listeners), codec, address);
    }

    private Listener bind(AcceptFilter acceptFilter, Filter codec, InetSocketAddress address) throws IOException {
        TCPNIOServerConnection server = binding(acceptFilter, codec).bind(address, BACKLOG);
        Runnable acceptAll = () -> acceptBacklog(server, acceptFilter);
        barrier.addBacklog(acceptAll);
        startPauseTracking(server);
        return () -> onSelector(server, () -> {
            barrier.removeBacklog(acceptAll);
            acceptAll.run();
            server.closeSilently();
        });
    }

    /**
     * Accepts the connections in the kernel's backlog. Clients that connected while the selector's thread was busy wait
     * there, possibly with a request sent, and closing the listening socket would reset them.
     */
    private static void acceptBacklog(TCPNIOServerConnection server, AcceptFilter acceptFilter) {
        try {
            int acceptedBefore = acceptFilter.accepted;
            int before;
            do {
                before = acceptFilter.accepted;
                server.onAccept();
            } while (acceptFilter.accepted > before && before < acceptedBefore + BACKLOG);
        } catch (IOException e) {
            LOG.log(Level.FINE, "the connections in the backlog can''t be accepted", e);
        }
    }

    /** Runs a task on the thread that reads from this connection or accepts on it, between two reads or accepts. */
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

    private TCPNIOBindingHandler binding(AcceptFilter acceptFilter, Filter codec) {
        FilterChain chain = FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(acceptFilter)
                .add(codec)
                .add(new LoopHandoffFilter(acceptFilter.executor, channels))
                .build();
        return TCPNIOBindingHandler.builder(nio).processor(chain).build();
    }

    /**
     * Opens a connection. The listener's {@code opened} or {@code connectFailed} is called, or {@code noDescriptor} if
     * this process has no file descriptor left.
     */
    public PendingConnection connect(InetSocketAddress address, FilterChain chain, ChannelListener listener) {
        if (!descriptors.tryAcquire()) {
            loop.execute(() -> listener.noDescriptor("the budget of descriptors is used up"));
            return () -> {};
        }
        ConnectAttempt attempt = new ConnectAttempt(listener);
        attempt.future =
                TCPNIOConnectorHandler.builder(nio).processor(chain).build().connect(address);
        attempt.future.addCompletionHandler(attempt);
        return attempt;
    }

    /** Whether connections use so much of the budget that new ones should be turned away. */
    public boolean isNearDescriptorLimit() {
        return descriptors.isNearLimit();
    }

    /** The number of connections established or being established. */
    public int connectionCount() {
        return descriptors.inUse();
    }

    @SuppressWarnings("unchecked")
    private Channel channel(Connection<?> opened, ChannelListener listener, DescriptorBudget budget) {
        Channel channel =
                new Channel((Connection<Object>) opened, listener, budget, task -> onSelector(opened, task), barrier);
        channels.set(opened, channel);
        return channel;
    }

    private void register(Connection<?> opened, Channel channel, Executor executor, Consumer<Channel> closed) {
        executor.execute(() -> {
            channel.handle = table.add(channel);
            channel.listener.opened(channel);
        });
        ((Closeable) opened).addCloseListener((closeable, type) -> {
            closed.accept(channel);
            executor.execute(() -> {
                if (table.remove(channel.handle) != null) {
                    channel.listener.closed();
                }
            });
        });
    }

    /** Adds accepted connections to the table before anything is read from them. */
    private final class AcceptFilter extends BaseFilter {
        private final Executor executor;
        private final DescriptorBudget budget;
        private final Supplier<? extends ChannelListener> listeners;
        /** Number of accepted connections; used on the selector's thread only. */
        private int accepted;

        AcceptFilter(Executor executor, DescriptorBudget budget, Supplier<? extends ChannelListener> listeners) {
            this.executor = executor;
            this.budget = budget;
            this.listeners = listeners;
        }

        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            accepted++;
            barrier.connectionAccepted();
            Channel channel = channel(ctx.getConnection(), listeners.get(), budget);
            // Silent clients must not keep out clients with requests, nor keep the node from connecting to its workers.
            Channel toClose = budget.registerAccepted(channel);
            register(ctx.getConnection(), channel, executor, budget::releaseAccepted);
            if (toClose != null) {
                loop.execute(() -> descriptorWarnings.add(
                        toClose == channel ? "a new one" : "one at rest", toClose.remoteAddress()));
                toClose.close();
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
    private final class ConnectAttempt extends EmptyCompletionHandler<Connection> implements PendingConnection {
        private final ChannelListener listener;
        private GrizzlyFuture<Connection> future;
        private boolean cancelled;

        ConnectAttempt(ChannelListener listener) {
            this.listener = listener;
        }

        @Override
        public void cancel() {
            // Cancelling also closes the socket; a connection to an unresponsive host would otherwise hang for minutes.
            cancelled = true;
            future.cancel(true);
        }

        @Override
        public void completed(Connection connection) {
            register(connection, channel(connection, listener, descriptors), loop, channel -> descriptors.release());
        }

        @Override
        public void failed(Throwable cause) {
            descriptors.release();
            loop.execute(() -> {
                if (cancelled) {
                    return;
                }
                String reason = String.valueOf(cause.getMessage());
                // Reaching the system's limit of file descriptors is a fault of this process, not of the remote side.
                if (reason.contains("Too many open files")) {
                    listener.noDescriptor(reason);
                } else {
                    listener.connectFailed(reason);
                }
            });
        }

        @Override
        public void cancelled() {
            descriptors.release();
        }
    }
}
