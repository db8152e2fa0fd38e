package gorserill.protocol.faktory;

import gorserill.common.MemoryBudget;
import gorserill.transport.ChannelListener;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Closeable;
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

    private final Attribute<State> states = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gorserill.faktory");

    private final MemoryBudget memoryBudget;

    /** Decoder state of a connection; guarded by its own monitor. */
    private static final class State {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        /** Holds the memory of {@link #line}. */
        MemoryBudget.Reservation reservation;
        /** Set after a frame error or at the end of the connection; further input is ignored. */
        boolean closed;
        /** Whether the last read ended within a line. */
        boolean partial;

        State(MemoryBudget.Reservation reservation) {
            this.reservation = reservation;
        }
    }

    /**
     * A command line.
     *
     * @param reservation the memory that the line holds; the receiver releases it once the command has been processed
     */
    record Line(String text, MemoryBudget.Reservation reservation) {}

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
            state = new State(memoryBudget.newReservation());
            states.set(ctx.getConnection(), state);
            State connectionState = state;
            ((Closeable) ctx.getConnection()).addCloseListener((connection, type) -> end(connectionState));
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

    private void read(State state, ByteBuffer in, List<Object> out) {
        try {
            decode(state, in, out);
            boolean partial = state.line.size() > 0;
            if (partial && (!state.partial || !out.isEmpty())) {
                out.add(ChannelListener.PARTIAL_MESSAGE);
            }
            state.partial = partial;
        } catch (FrameException e) {
            state.closed = true;
            dropLine(state);
            out.add(e);
        }
    }

    private void dropLine(State state) {
        state.reservation.release();
        state.line = new ByteArrayOutputStream();
    }

    /** Releases the partial line; called on the thread that closes the connection. */
    private void end(State state) {
        synchronized (state) {
            state.closed = true;
            dropLine(state);
        }
    }

    private void decode(State state, ByteBuffer in, List<Object> out) throws FrameException {
        while (in.hasRemaining() && !state.closed) {
            byte b = in.get();
            if (b == '\n') {
                out.add(new Line(text(state.line.toByteArray()), state.reservation));
                state.line = new ByteArrayOutputStream();
                state.reservation = memoryBudget.newReservation();
            } else if (state.line.size() >= MAX_LINE_BYTES) {
                throw new FrameException("a line of more than " + MAX_LINE_BYTES + " bytes");
            } else if (!state.reservation.tryGrow(1)) {
                throw new FrameException("no room for more jobs at present");
            } else {
                state.line.write(b);
            }
        }
    }

    private static String text(byte[] line) throws FrameException {
        int length = line.length > 0 && line[line.length - 1] == '\r' ? line.length - 1 : line.length;
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(line, 0, length))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new FrameException("a line that is not UTF-8");
        }
    }

    @Override
    public NextAction handleWrite(FilterChainContext ctx) {
        ctx.setMessage(Buffers.wrap(ctx.getMemoryManager(), (byte[]) ctx.getMessage()));
        return ctx.getInvokeAction();
    }
}
