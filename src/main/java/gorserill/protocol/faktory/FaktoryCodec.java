package gorserill.protocol.faktory;

import gorserill.common.ByteAccumulator;
import gorserill.common.MemoryBudget;
import gorserill.common.Utf8;
import gorserill.transport.ChannelListener;
import gorserill.transport.InputRejected;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Filter that encodes and decodes the frames of the Faktory work protocol. Reads produce lists that contain
 * {@link Line}s, {@link ChannelListener#PARTIAL_MESSAGE} if a line is incomplete, or a {@link FrameException}, after
 * which nothing more is decoded on that connection. Writes take replies as {@code byte[]}.
 */
public final class FaktoryCodec extends BaseFilter {
    /** Maximum length of a line: a body of 64 KiB and its verb. */
    static final int MAX_LINE_BYTES = 64 * 1024 + 16;
    /** Memory that a queued line takes beside its bytes. */
    private static final int LINE_OVERHEAD_BYTES = 128;

    private static final String NO_ROOM = "no room for more jobs at present";

    private final Attribute<State> states = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gorserill.faktory");

    private final MemoryBudget memoryBudget;

    /** Decoder state of a connection; guarded by its own monitor. */
    private final class State {
        final Connection<?> connection;
        final ByteAccumulator line = new ByteAccumulator();
        /** Holds the memory of {@link #line}. */
        MemoryBudget.Reservation reservation = newReservation();
        /** Set after a frame error or at the end of the connection; further input is ignored. */
        boolean closed;
        /** Whether the last read ended within a line. */
        boolean partial;

        State(Connection<?> connection) {
            this.connection = connection;
        }

        private MemoryBudget.Reservation newReservation() {
            return memoryBudget.newReservation(this::evicted);
        }

        private void evicted() {
            if (end()) {
                InputRejected.fire(connection, new FrameException(NO_ROOM));
            }
        }

        /** Ends the input and drops the partial line; returns false if that happened before. */
        synchronized boolean end() {
            boolean wasOpen = !closed;
            closed = true;
            line.clear();
            reservation.release();
            return wasOpen;
        }

        Line takeLine() throws FrameException {
            byte[] bytes = line.take();
            MemoryBudget.Reservation taken = reservation;
            if (!Utf8.isWellFormed(bytes)) {
                throw new FrameException("a line that is not UTF-8");
            }
            if (!taken.tryComplete(bytes.length + LINE_OVERHEAD_BYTES)) {
                throw new FrameException(NO_ROOM);
            }
            reservation = newReservation();
            return new Line(bytes, taken);
        }
    }

    /**
     * A command line.
     *
     * @param reservation the memory that the line holds; the receiver releases it once the command has been processed
     */
    record Line(byte[] bytes, MemoryBudget.Reservation reservation) {
        String text() {
            int length = bytes.length > 0 && bytes[bytes.length - 1] == '\r' ? bytes.length - 1 : bytes.length;
            return new String(bytes, 0, length, StandardCharsets.UTF_8);
        }
    }

    /** Reports input that can't be decoded into a command line. */
    static final class FrameException extends Exception {
        private static final long serialVersionUID = 1L;

        FrameException(String reason) {
            super(reason);
        }
    }

    /** @param memoryBudget charged for the bytes of each line */
    public FaktoryCodec(MemoryBudget memoryBudget) {
        this.memoryBudget = memoryBudget;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        State state = states.get(ctx.getConnection());
        if (state == null) {
            state = new State(ctx.getConnection());
            states.set(ctx.getConnection(), state);
            State connectionState = state;
            ((Closeable) ctx.getConnection()).addCloseListener((connection, type) -> connectionState.end());
        }
        Buffer buffer = ctx.getMessage();
        List<Object> out = new ArrayList<>(2);
        synchronized (state) {
            read(state, buffer.toByteBuffer(), out);
        }
        buffer.tryDispose();
        ctx.setMessage(out);
        return out.isEmpty() ? ctx.getStopAction() : ctx.getInvokeAction();
    }

    private static void read(State state, ByteBuffer in, List<Object> out) {
        try {
            while (in.hasRemaining() && !state.closed) {
                decodeLine(state, in, out);
            }
            boolean partial = state.line.size() > 0;
            if (partial && (!state.partial || !out.isEmpty())) {
                out.add(ChannelListener.PARTIAL_MESSAGE);
            }
            state.partial = partial;
        } catch (FrameException e) {
            state.end();
            out.add(e);
        }
    }

    /** Takes the input up to the end of the line, or all of it if the line is incomplete. */
    private static void decodeLine(State state, ByteBuffer in, List<Object> out) throws FrameException {
        int end = indexOfLineFeed(in);
        int length = (end < 0 ? in.limit() : end) - in.position();
        if (state.line.size() + length > MAX_LINE_BYTES) {
            throw new FrameException("a line of more than " + MAX_LINE_BYTES + " bytes");
        }
        state.line.append(in, length);
        if (end >= 0) {
            in.get();
            out.add(state.takeLine());
        } else if (!state.reservation.tryResize(state.line.capacity())) {
            throw new FrameException(NO_ROOM);
        }
    }

    private static int indexOfLineFeed(ByteBuffer in) {
        for (int i = in.position(); i < in.limit(); i++) {
            if (in.get(i) == '\n') {
                return i;
            }
        }
        return -1;
    }

    @Override
    public NextAction handleWrite(FilterChainContext ctx) {
        ctx.setMessage(Buffers.wrap(ctx.getMemoryManager(), (byte[]) ctx.getMessage()));
        return ctx.getInvokeAction();
    }
}
