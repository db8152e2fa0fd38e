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

/**
 * One TCP connection: writes, flow control of reads, and its state in the budget of file descriptors. Grizzly reads
 * from it on the selector's thread; what was read is processed on the loop's thread.
 */
public final class Channel {
    /** Reads that may be queued for the loop before reading from the connection is paused. */
    private static final int MAX_QUEUED_READS = 4;
    /**
     * An accepted connection is read even beyond {@link #MAX_QUEUED_READS}, until the queued reads hold more than this
     * many bytes. The close of a paused connection is not seen, so requests of a client that has disconnected would be
     * started.
     */
    private static final int MAX_UNPROCESSED_BYTES = 32 * 1024;
    /**
     * After reading resumes, the connection has caught up once nothing was read for this long. An empty receive buffer
     * alone does not show that: the remote side's kernel sends more only as space in the buffer becomes free.
     */
    private static final long CATCH_UP_NANOS = 50_000_000;

    /** Input that is discarded after the last message; beyond that the connection is no longer read. */
    private static final int MAX_DISCARDED_BYTES = 128 * 1024;

    private final Connection<Object> connection;
    private final DescriptorBudget descriptors;
    private final Consumer<Runnable> onSelector;
    private final ReadBarrier barrier;
    final ChannelListener listener;
    /** The handle in the transport's table of connections. */
    long handle;
    /** Reads queued for the loop and not processed yet. */
    private int queuedReads;
    /** Bytes read since at most one read was queued; always 0 on outgoing connections. */
    private int unprocessedBytes;

    /** True on accepted connections once something was read. */
    private boolean countsBytes;
    /** Reads queued for the loop since the connection was opened. */
    private long totalReads;

    private boolean paused;
    /** Whether reading was paused and the input may not be read completely yet; see {@link #isReadLagging}. */
    private boolean lagging;
    /** Time of the last read, or of the last resumption of reading. */
    private long lastReadNanos;

    /** Whether the last message was sent and input is discarded. */
    private volatile boolean lingering;

    private int discardedBytes;

    /** @param onSelector runs a task on the thread that reads from the connection */
    Channel(
            Connection<Object> connection,
            ChannelListener listener,
            DescriptorBudget descriptors,
            Consumer<Runnable> onSelector,
            ReadBarrier barrier) {
        this.onSelector = onSelector;
        this.barrier = barrier;
        this.connection = connection;
        this.listener = listener;
        this.descriptors = descriptors;
    }

    /** A message that is being written. */
    public static final class PendingWrite {
        private volatile boolean written;

        private PendingWrite() {}

        /** Whether the last byte of the message has been written to the socket. */
        public boolean isWritten() {
            return written;
        }
    }

    /** Writes a message that the codec of the filter chain can encode. */
    public PendingWrite write(Object message) {
        return send(message, () -> {});
    }

    /**
     * Like {@link #write(Object)}; calls {@code written} once the last byte has been written, on whichever thread that
     * happens.
     */
    public PendingWrite write(Object message, Runnable written) {
        return send(message, written);
    }

    /**
     * Writes a last message and shuts down output, but leaves the connection open so that the remote side can read the
     * message: closing a socket with unread input resets the connection, and the message might be lost. Input is
     * discarded meanwhile. The caller closes the connection later if the remote side does not.
     */
    public void writeAndLinger(Object message) {
        lingering = true;
        descriptors.markUnproven(this);
        send(message, this::shutdownOutput);
    }

    /** Shuts down output; input is still read. */
    public void shutdownOutput() {
        try {
            ((SocketChannel) ((NIOConnection) (Closeable) connection).getChannel()).shutdownOutput();
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }

    private PendingWrite send(Object message, Runnable onWritten) {
        PendingWrite pending = new PendingWrite();
        // Only completed() shows that the last byte was written: a write that fails at once, for example on a
        // connection that has just been closed, must not count as sent.
        connection.write(message, new EmptyCompletionHandler<WriteResult<Object, Object>>() {
            @Override
            public void completed(WriteResult<Object, Object> result) {
                pending.written = true;
                onWritten.run();
            }

            @Override
            public void failed(Throwable cause) {
                connection.terminateSilently();
            }
        });
        return pending;
    }

    /** No answer is outstanding on this connection: it may be closed when file descriptors run short. */
    public void markIdle() {
        updateIdleState(true);
    }

    /** Like {@link #markIdle}, for a connection without a valid request so far; such connections are closed first. */
    public void markUnproven() {
        updateIdleState(false);
    }

    /** Does nothing while a read is queued for the loop: closing the connection would lose a received message. */
    private synchronized void updateIdleState(boolean proven) {
        if (queuedReads == 0 && proven) {
            descriptors.markIdle(this);
        } else if (queuedReads == 0) {
            descriptors.markUnproven(this);
        }
    }

    /** On the selector's thread: {@code bytes} were read from this accepted connection. */
    synchronized void bytesRead(int bytes) {
        countsBytes = true;
        unprocessedBytes += bytes;
        lastReadNanos = System.nanoTime();
    }

    /**
     * On the selector's thread: a read was queued for the loop. Pauses reading when too much is queued, since the
     * loop's queue itself is unbounded.
     *
     * @param complete whether more than the beginning of a message was read
     * @param mayPause whether reading may be paused until the loop has caught up
     */
    synchronized void readQueued(boolean complete, boolean mayPause) {
        if (complete) {
            descriptors.markBusy(this);
        }
        totalReads++;
        if (++queuedReads > MAX_QUEUED_READS
                && mayPause
                && !paused
                && (!countsBytes || unprocessedBytes > MAX_UNPROCESSED_BYTES)) {
            paused = true;
            lagging = countsBytes;
            setReading(false);
        }
    }

    /** On the loop's thread: the oldest queued read is now processed. */
    synchronized void readTaken() {
        if (--queuedReads <= 1) {
            unprocessedBytes = 0;
        }
        if (queuedReads <= 1 && paused) {
            paused = false;
            lastReadNanos = System.nanoTime();
            setReading(true);
        }
    }

    /**
     * Closes an idle connection, unless something is read before. The close happens on the selector's thread, which
     * also makes the reads: on any other thread the connection might just have been read from, and the request would
     * be carried out for a client that gets no answer. On the selector's thread all that was read is already queued;
     * for what is not read yet the client sees a closed connection and sends the request again.
     */
    public synchronized void closeIfIdle() {
        long readsBefore = totalReads;
        if (queuedReads == 0) {
            onSelector.accept(() -> closeUnlessRead(readsBefore));
        }
    }

    private synchronized void closeUnlessRead(long readsBefore) {
        if (totalReads == readsBefore) {
            close();
        }
    }

    private void setReading(boolean enabled) {
        try {
            if (enabled) {
                connection.enableIOEvent(IOEvent.READ);
            } else {
                connection.disableIOEvent(IOEvent.READ);
            }
        } catch (IOException e) {
            connection.terminateSilently();
        }
    }

    /** On the selector's thread: discards input that follows the last message, and returns whether it did. */
    boolean discardIfLingering(Buffer input) {
        if (lingering) {
            discardedBytes += input.remaining();
            input.tryDispose();
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                // Reading tens of megabytes only to discard them would take CPU time from other clients.
                setReading(false);
            }
        }
        return lingering;
    }

    /** Closes the connection at once; data not yet written is dropped. */
    public void close() {
        connection.terminateSilently();
    }

    /** Whether the connection is closed; callable on any thread, and true possibly before the listener is notified. */
    public boolean isClosed() {
        return !connection.isOpen();
    }

    /** Whether reading was paused and has not caught up, so that a close by the remote side may not be seen yet. */
    public synchronized boolean isReadLagging() {
        boolean caughtUp = !paused && System.nanoTime() - lastReadNanos >= CATCH_UP_NANOS;
        lagging &= !caughtUp;
        return lagging;
    }

    /**
     * Runs a task on the loop's thread, at once or a little later: after the loop has processed what could recently be
     * read from all connections, including closes ({@link ReadBarrier}).
     */
    public void runAfterReads(Runnable task) {
        barrier.runAfterReads(((NIOConnection) (Closeable) connection).getSelectorRunner(), task);
    }

    /** The index in the table of connections, for log lines. */
    public String tableIndex() {
        return Long.toString(handle & 0xfffff);
    }

    /** The address of the remote side, for log lines. */
    public String remoteAddress() {
        return String.valueOf(connection.getPeerAddress());
    }
}
