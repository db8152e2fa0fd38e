package gorserill.protocol.http;

import gorserill.common.Loop;
import gorserill.common.MemoryBudget;
import gorserill.protocol.http.HttpParser.Event;
import gorserill.transport.ChannelListener;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;

/**
 * HTTP/1.1 as a filter. Upwards go lists of what was made out: on the client side's connections whole {@link
 * HttpRequest}s, and {@link ChannelListener#PARTIAL_MESSAGE} where one is not whole yet; on those to servers
 * {@link HttpHead}, the body's pieces as {@code byte[]}, {@link #END_OF_RESPONSE}, and {@link
 * ChannelListener#PARTIAL_MESSAGE}; on both an {@link HttpException}, after which nothing comes. Downwards it
 * takes {@code byte[]}.
 */
public final class HttpCodec extends BaseFilter {
    /** The end of an answer. */
    public static final Object END_OF_RESPONSE = new Object();

    private static final byte[] CONTINUE = HttpMessageBuilder.ascii("HTTP/1.1 100 Continue\r\n\r\n");

    /** When what is read came, microseconds. */
    private final LongSupplier arrival;

    private final boolean answers;
    private final int maxBody;
    private final MemoryBudget room;
    private final Attribute<State> states =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gorserill.http." + System.identityHashCode(this));

    private static final class State {
        final HttpParser reader;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean broken;
        boolean begun;
        /** The message at hand is an interim answer (1xx), which no caller waits for. */
        boolean interim;

        State(HttpParser reader) {
            this.reader = reader;
        }
    }

    private HttpCodec(LongSupplier arrival, boolean answers, int maxBody, MemoryBudget room) {
        this.arrival = arrival;
        this.answers = answers;
        this.maxBody = maxBody;
        this.room = room;
    }

    /**
     * The codec for a listener, which reads requests.
     *
     * @param arrival when what is read came, at the earliest, microseconds of the loop's clock
     * @param room taken for each body; whoever has done with a request frees it
     */
    public static HttpCodec server(LongSupplier arrival, int maxBody, MemoryBudget room) {
        return new HttpCodec(arrival, false, maxBody, room);
    }

    /** The codec for connections to servers, which reads answers. */
    public static HttpCodec client(Loop loop, int maxBody) {
        return new HttpCodec(loop::now, true, maxBody, null);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        State state = states.get(ctx.getConnection());
        if (state == null) {
            state = new State(new HttpParser(answers, maxBody));
            states.set(ctx.getConnection(), state);
            State its = state;
            ((Closeable) ctx.getConnection()).addCloseListener((connection, type) -> end(its));
        }
        Buffer buffer = ctx.getMessage();
        List<Object> out = new ArrayList<>(4);
        synchronized (state) {
            read(ctx, state, out);
        }
        buffer.tryDispose();
        ctx.setMessage(out);
        return out.isEmpty() ? ctx.getStopAction() : ctx.getInvokeAction();
    }

    private void read(FilterChainContext ctx, State state, List<Object> out) {
        if (!state.broken) {
            state.reader.feed(((Buffer) ctx.getMessage()).toByteBuffer());
            try {
                decode(ctx, state, out);
                boolean more = state.reader.midMessage();
                if (more && (!state.begun || !out.isEmpty())) {
                    out.add(ChannelListener.PARTIAL_MESSAGE);
                }
                state.begun = more;
            } catch (HttpException e) {
                state.broken = true;
                dropBody(state);
                out.add(e);
            }
        }
    }

    private void decode(FilterChainContext ctx, State state, List<Object> out) throws HttpException {
        for (Event event = state.reader.next(); event != Event.NEED_MORE_INPUT; event = state.reader.next()) {
            HttpHead head = state.reader.head();
            switch (event) {
                case HEAD -> {
                    state.interim = answers && head.status() < 200;
                    if (answers && !state.interim) {
                        out.add(head);
                    } else if (answers) {
                        // Nothing is told of it.
                    } else if ("100-continue".equalsIgnoreCase(head.header("expect"))) {
                        ctx.write(Buffers.wrap(ctx.getMemoryManager(), CONTINUE.clone()));
                    }
                }
                case DATA -> {
                    if (answers) {
                        out.add(state.reader.data());
                    } else if (room.tryReserve(state.reader.data().length)) {
                        state.body.writeBytes(state.reader.data());
                    } else {
                        throw new HttpException(503, "no room for more bodies at present");
                    }
                }
                default -> {
                    if (!answers) {
                        out.add(new HttpRequest(head, state.body.toByteArray(), arrival.getAsLong()));
                    } else if (!state.interim) {
                        out.add(END_OF_RESPONSE);
                    }
                    state.body = new ByteArrayOutputStream();
                }
            }
        }
    }

    private void dropBody(State state) {
        if (room != null) {
            room.release(state.body.size());
        }
        state.body = new ByteArrayOutputStream();
    }

    /** On whichever thread the connection ends. */
    private void end(State state) {
        synchronized (state) {
            state.broken = true;
            dropBody(state);
        }
    }

    @Override
    public NextAction handleWrite(FilterChainContext ctx) {
        ctx.setMessage(Buffers.wrap(ctx.getMemoryManager(), (byte[]) ctx.getMessage()));
        return ctx.getInvokeAction();
    }
}
