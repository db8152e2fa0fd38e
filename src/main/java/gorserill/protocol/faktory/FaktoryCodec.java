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
 * The Faktory work protocol's frames as a filter. Upwards go lists of {@link Line}s,
 * {@link ChannelListener#PARTIAL_MESSAGE} where one is not whole yet, or a {@link FrameException}, after which nothing
 * comes. Downwards it takes replies as {@code byte[]}.
 */
public final class FaktoryCodec extends BaseFilter {
    /** The longest line: a body of 64 KiB and its verb. */
    static final int MAX_LINE = 64 * 1024 + 16;

    private final Attribute<State> states = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gorserill.faktory");

    private final MemoryBudget room;

    private static final class State {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        boolean broken;
        boolean begun;
    }

    /** A command; {@code size} is the room that it takes, which whoever has done with it frees. */
    record Line(String text, int size) {}

    /** A line that can't be a command. */
    static final class FrameException extends Exception {
        private static final long serialVersionUID = 1L;

        FrameException(String why) {
            super(why);
        }
    }

    /** @param room taken for each line */
    public FaktoryCodec(MemoryBudget room) {
        this.room = room;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        State state = states.get(ctx.getConnection());
        if (state == null) {
            state = new State();
            states.set(ctx.getConnection(), state);
            State its = state;
            ((Closeable) ctx.getConnection()).addCloseListener((connection, type) -> end(its));
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
            boolean more = state.line.size() > 0;
            if (more && (!state.begun || !out.isEmpty())) {
                out.add(ChannelListener.PARTIAL_MESSAGE);
            }
            state.begun = more;
        } catch (FrameException e) {
            state.broken = true;
            dropLine(state);
            out.add(e);
        }
    }

    private void dropLine(State state) {
        room.release(state.line.size());
        state.line = new ByteArrayOutputStream();
    }

    /** On whichever thread the connection ends. */
    private void end(State state) {
        synchronized (state) {
            state.broken = true;
            dropLine(state);
        }
    }

    private void decode(State state, ByteBuffer in, List<Object> out) throws FrameException {
        while (in.hasRemaining() && !state.broken) {
            byte b = in.get();
            if (b == '\n') {
                out.add(new Line(text(state.line.toByteArray()), state.line.size()));
                state.line = new ByteArrayOutputStream();
            } else if (state.line.size() >= MAX_LINE) {
                throw new FrameException("a line of more than " + MAX_LINE + " bytes");
            } else if (!room.tryReserve(1)) {
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
