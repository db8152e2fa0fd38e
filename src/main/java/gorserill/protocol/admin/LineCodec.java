package gorserill.protocol.admin;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
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
 * Filter that splits input into lines. Passes up lists of {@code String}s without line ends, or {@link #TOO_LONG},
 * after which the rest of the input is discarded. Accepts {@code byte[]} for writing.
 */
public final class LineCodec extends BaseFilter {
    /** Passed up instead of a line longer than {@link #MAX_LINE_BYTES}. */
    static final Object TOO_LONG = new Object();
    /** Longest line, without its end. */
    static final int MAX_LINE_BYTES = 1_024;

    private final Attribute<State> states = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gorserill.admin");

    private static final class State {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        boolean discarding;
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        State state = states.get(ctx.getConnection());
        if (state == null) {
            state = new State();
            states.set(ctx.getConnection(), state);
        }
        Buffer buffer = ctx.getMessage();
        List<Object> messages = new ArrayList<>(1);
        decode(state, buffer.toByteBuffer(), messages);
        buffer.tryDispose();
        ctx.setMessage(messages);
        return messages.isEmpty() ? ctx.getStopAction() : ctx.getInvokeAction();
    }

    private static void decode(State state, ByteBuffer in, List<Object> messages) {
        while (in.hasRemaining() && !state.discarding) {
            byte b = in.get();
            if (b == '\n') {
                messages.add(state.line.toString(StandardCharsets.UTF_8).strip());
                state.line.reset();
            } else if (state.line.size() == MAX_LINE_BYTES) {
                state.discarding = true;
                messages.add(TOO_LONG);
            } else {
                state.line.write(b);
            }
        }
    }

    @Override
    public NextAction handleWrite(FilterChainContext ctx) {
        ctx.setMessage(Buffers.wrap(ctx.getMemoryManager(), (byte[]) ctx.getMessage()));
        return ctx.getInvokeAction();
    }
}
