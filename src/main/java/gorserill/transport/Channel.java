package gorserill.transport;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.nio.NIOConnection;

/** A connection in the table of connections. */
public final class Channel {
    /** Reads that may wait for the loop; beyond that the connection is not read. */
    private static final int MOST_HANDED_OVER = 4;
    /**
     * An accepted connection is read on until these hold so many bytes. Danger: one that is not read does not
     * show its close, and a client that has gone would have its requests begun.
     */
    private static final int MOST_UNTAKEN = 32 * 1024;
    /**
     * Once reading goes on, what was on its way has come when nothing has for so long. Danger: a read that leaves
     * nothing behind is not the last one, since the other side's bytes come as the system has room for them.
     */
    private static final long CAUGHT_UP_NANOS = 50_000_000;

    /** After its last answer a connection's input is thrown away so far; beyond that it is not read. */
    private static final int MOST_DISCARDED = 128 * 1024;

    private final Connection<Object> connection;
    private final DescriptorBudget descriptors;
    private final Consumer<Runnable> onSelector;
    private final ReadBarrier barrier;
    final ChannelListener peer;
    long handle;
    private int handedOver;
    /** Bytes read since the loop had taken all reads but one; not counted where this side connected. */
    private int untaken;

    private boolean counted;
    /** How often something was handed over, since the beginning. */
    private long reads;

    private boolean paused;
    private boolean behind;
    /** When something was read, or reading began again. */
    private long lastRead;

    private volatile boolean lingering;
    private int discarded;

    /** @param onSelector runs something on the thread that reads from the connection */
    Channel(
            Connection<Object> connection,
            ChannelListener peer,
            DescriptorBudget descriptors,
            Consumer<Runnable> onSelector,
            ReadBarrier barrier) {
        this.onSelector = onSelector;
        this.barrier = barrier;
        this.connection = connection;
        this.peer = peer;
        this.descriptors = descriptors;
    }

    /** A message on its way out. */
    public static final class PendingWrite {
        private volatile boolean written;

        private PendingWrite() {}

        /** Whether its last byte has been written to the socket. */
        public boolean isWritten() {
            return written;
        }
    }

    /** Sends a message that the chain's codec can encode. */
    public PendingWrite write(Object message) {
        return send(message, () -> {});
    }

    /** The same; tells once the last byte has been written, on whichever thread that is. */
    public PendingWrite write(Object message, Runnable written) {
        return send(message, written);
    }

    /**
     * Sends a last message and ends the sending, but leaves the connection open for its peer to read that:
     * closing on what is still unread would reset it, and the message might be lost. What comes meanwhile is
     * thrown away. The caller closes later, should the peer not do so.
     */
    public void writeAndLinger(Object message) {
        lingering = true;
        descriptors.markUnproven(this);
        send(message, this::shutdownOutput);
    }

    /** Ends the sending; what comes is read on. */
    public void shutdownOutput() {
        try {
            ((SocketChannel) ((NIOConnection) (Closeable) connection).getChannel()).shutdownOutput();
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }

    private PendingWrite send(Object message, Runnable then) {
        PendingWrite sending = new PendingWrite();
        // Only completed() proves that the last byte left: a write that is refused at once, say on a
        // connection closed a moment ago, must not count as sent.
        connection.write(message, new EmptyCompletionHandler<WriteResult<Object, Object>>() {
            @Override
            public void completed(WriteResult<Object, Object> result) {
                sending.written = true;
                then.run();
            }

            @Override
            public void failed(Throwable cause) {
                connection.terminateSilently();
            }
        });
        return sending;
    }

    /** Nothing is owed on it: it may be closed when descriptors run short. */
    public void markIdle() {
        rest(true);
    }

    /** The same for one that has not yet brought anything of use: such go first. */
    public void markUnproven() {
        rest(false);
    }

    /** Danger: a message that waits for the loop is taken, and closing on it would lose it. */
    private synchronized void rest(boolean proven) {
        if (handedOver == 0 && proven) {
            descriptors.markIdle(this);
        } else if (handedOver == 0) {
            descriptors.markUnproven(this);
        }
    }

    /** On the selector's thread: so much was read from a connection that was accepted. */
    synchronized void bytesRead(int bytes) {
        counted = true;
        untaken += bytes;
        lastRead = System.nanoTime();
    }

    /**
     * On the selector's thread: something waits for the loop, whose queue has no bound of its own.
     *
     * @param whole whether it is more than the beginning of a message
     * @param pauses whether reading may stop until the loop has caught up
     */
    synchronized void readQueued(boolean whole, boolean pauses) {
        if (whole) {
            descriptors.markBusy(this);
        }
        reads++;
        if (++handedOver > MOST_HANDED_OVER && pauses && !paused && (!counted || untaken > MOST_UNTAKEN)) {
            paused = true;
            behind = counted;
            read(false);
        }
    }

    /** On the loop's thread: it has taken what was handed over first. */
    synchronized void readTaken() {
        if (--handedOver <= 1) {
            untaken = 0;
        }
        if (handedOver <= 1 && paused) {
            paused = false;
            lastRead = System.nanoTime();
            read(true);
        }
    }

    /**
     * Closes it, on which nothing is owed, unless something comes before. Danger: reads are made on the
     * selector's thread; closed on any other, a connection may just have been read from, and what came would
     * be carried out for a client that is told nothing. There, all that was read is handed over, and what is
     * not read yet the client sees refused, and sends anew.
     */
    public synchronized void closeIfIdle() {
        long seen = reads;
        if (handedOver == 0) {
            onSelector.accept(() -> closeUnlessRead(seen));
        }
    }

    private synchronized void closeUnlessRead(long seen) {
        if (reads == seen) {
            close();
        }
    }

    private void read(boolean on) {
        try {
            if (on) {
                connection.enableIOEvent(IOEvent.READ);
            } else {
                connection.disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }

    /** On the selector's thread: whether input after the last answer was thrown away. */
    boolean discardIfLingering(Buffer input) {
        if (lingering) {
            discarded += input.remaining();
            input.tryDispose();
            if (discarded > MOST_DISCARDED) {
                // Danger: reading tens of megabytes for nothing would take the CPU from other clients.
                read(false);
            }
        }
        return lingering;
    }

    /** Closes at once, dropping what is not yet written. */
    public void close() {
        connection.terminateSilently();
    }

    /** Whether it has ended; any thread may ask, and may know before the peer has heard of it. */
    public boolean isClosed() {
        return !connection.isOpen();
    }

    /** Whether reading was paused and has not caught up: its close may not have been seen. */
    public synchronized boolean isReadLagging() {
        boolean caughtUp = !paused && System.nanoTime() - lastRead >= CAUGHT_UP_NANOS;
        behind &= !caughtUp;
        return behind;
    }

    /**
     * Runs something on the loop's thread, at once or in a moment: when all is taken in that the other sides of
     * all connections, this one or others, did until a moment ago ({@link ReadBarrier}).
     */
    public void runAfterReads(Runnable then) {
        barrier.runAfterReads(((NIOConnection) (Closeable) connection).getSelectorRunner(), then);
    }

    /** Its number in the table of connections, for logs. */
    public String tableIndex() {
        return Long.toString(handle & 0xfffff);
    }

    /** The other side's address, for logs. */
    public String remoteAddress() {
        return String.valueOf(connection.getPeerAddress());
    }
}
