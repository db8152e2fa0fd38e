package gorserill.protocol.faktory;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/**
 * The Faktory work protocol's frames as a filter. Upwards go lists of command lines as {@code String}, or a
 * {@link FrameException}, after which nothing comes. Downwards it takes replies as {@code byte[]}.
 */
public final class FaktoryCodec extends BaseFilter {
    /** The longest line: a body of 64 KiB and its verb. */
    static final int MAX_LINE = 64 * 1024 + 16;

    private final Attribute<State> states =
        Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gorserill.faktory");

    private static final class State {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        boolean broken;
    }

    /** A line that can't be a command. */
    static final class FrameException extends Exception {
        private static final long serialVersionUID = 1L;

        FrameException(String why) {
            super(why);
        }
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        State state = states.get(ctx.getConnection());
        if (state == null) {
            state = new State();
            states.set(ctx.getConnection(), state);
        }
        Buffer buffer = ctx.getMessage();
        List<Object> out = new ArrayList<>(2);
        try {
            decode(state, buffer.toByteBuffer(), out);
        } catch (FrameException e) {
            state.broken = true;
            out.add(e);
        }
        buffer.tryDispose();
        ctx.setMessage(out);
        return out.isEmpty() ? ctx.getStopAction() : ctx.getInvokeAction();
    }

    private static void decode(State state, ByteBuffer in, List<Object> out) throws FrameException {
        while (in.hasRemaining() && !state.broken) {
            byte b = in.get();
            if (b == '\n') {
                out.add(text(state.line.toByteArray()));
                state.line.reset();
            } else if (state.line.size() >= MAX_LINE) {
                throw new FrameException("a line of more than " + MAX_LINE + " bytes");
            } else {
                state.line.write(b);
            }
        }
    }

    private static String text(byte[] line) throws FrameException {
        int length = line.length > 0 && line[line.length - 1] == '\r' ? line.length - 1 : line.length;
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(line, 0, length)).toString();
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
