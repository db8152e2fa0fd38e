package gorserill.protocol.http;

import gorserill.common.ByteAccumulator;
import gorserill.common.Loop;
import gorserill.common.MemoryBudget;
import gorserill.protocol.http.HttpParser.Event;
import gorserill.transport.ChannelListener;
import gorserill.transport.InputRejected;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
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
 * HTTP/1.1 codec as a Grizzly filter. It passes lists of parsed messages up the chain. In the server role these are
 * complete {@link HttpRequest}s; in the client role they are {@link HttpHead}, the parts of the body as {@code byte[]},
 * and {@link #END_OF_RESPONSE}. In both roles {@link ChannelListener#PARTIAL_MESSAGE} marks an
 * incomplete message, and an {@link HttpException} ends the input. Writes take {@code byte[]}.
 */
public final class HttpCodec extends BaseFilter {
    /** Marks the end of a response. */
    public static final Object END_OF_RESPONSE = new Object();

    private static final byte[] CONTINUE_RESPONSE = HttpMessageBuilder.ascii("HTTP/1.1 100 Continue\r\n\r\n");

    /** Supplies the arrival time of the input, in microseconds. */
    private final LongSupplier arrival;

    private final boolean responses;
    private final int maxBodyBytes;
    private final MemoryBudget bodyBudget;
    private final Attribute<State> states =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gorserill.http." + System.identityHashCode(this));

    /** Decoding state of one connection; guarded by its own monitor. */
    private final class State {
        final Connection<?> connection;
        final HttpParser parser = new HttpParser(responses, maxBodyBytes);
        final ByteAccumulator body = new ByteAccumulator();
        /** Holds the memory of the current message; null in the client role. */
        MemoryBudget.Reservation reservation = newReservation();

        boolean failed;
        boolean incomplete;
        /** The current message is an interim response (1xx), which is not passed on. */
        boolean interim;

        State(Connection<?> connection) {
            this.connection = connection;
        }

        private MemoryBudget.Reservation newReservation() {
            return bodyBudget == null ? null : bodyBudget.newReservation(this::evicted);
        }

        private void evicted() {
            if (end()) {
                InputRejected.fire(connection, noRoom());
            }
        }

        /** Ends the input and drops the incomplete message; returns false if that happened before. */
        synchronized boolean end() {
            boolean wasOpen = !failed;
            failed = true;
            body.clear();
            if (reservation != null) {
                reservation.release();
            }
            return wasOpen;
        }

        /** Reserves what the message that is being received holds at the end of a read. */
        void reserveReceived() throws HttpException {
            if (reservation != null
                    && !reservation.tryResize(
                            parser.bufferedMemoryBytes() + parser.headMemoryBytes() + body.capacity())) {
                throw noRoom();
            }
        }

        HttpRequest takeRequest() throws HttpException {
            MemoryBudget.Reservation taken = reservation;
            byte[] content = body.take();
            if (!taken.tryComplete(parser.headMemoryBytes() + content.length)) {
                throw noRoom();
            }
            reservation = newReservation();
            return new HttpRequest(parser.takeHead(), content, taken, arrival.getAsLong());
        }
    }

    private HttpCodec(LongSupplier arrival, boolean responses, int maxBodyBytes, MemoryBudget bodyBudget) {
        this.arrival = arrival;
        this.responses = responses;
        this.maxBodyBytes = maxBodyBytes;
        this.bodyBudget = bodyBudget;
    }

    /**
     * Creates a codec in the server role, which reads requests.
     *
     * @param arrival supplies the earliest possible arrival time of the input, in microseconds of the loop's clock
     * @param bodyBudget memory budget for bodies; the receiver of a request releases its reservation after use
     */
    public static HttpCodec server(LongSupplier arrival, int maxBodyBytes, MemoryBudget bodyBudget) {
        return new HttpCodec(arrival, false, maxBodyBytes, bodyBudget);
    }

    /** Creates a codec in the client role, which reads responses. */
    public static HttpCodec client(Loop loop, int maxBodyBytes) {
        return new HttpCodec(loop::now, true, maxBodyBytes, null);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        State state = states.get(ctx.getConnection());
        if (state == null) {
            state = new State(ctx.getConnection());
            states.set(ctx.getConnection(), state);
            State closing = state;
            ((Closeable) ctx.getConnection()).addCloseListener((connection, type) -> closing.end());
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
        if (!state.failed) {
            state.parser.feed(((Buffer) ctx.getMessage()).toByteBuffer());
            try {
                decode(ctx, state, out);
                state.parser.trim();
                state.reserveReceived();
                boolean midMessage = state.parser.midMessage();
                if (midMessage && (!state.incomplete || !out.isEmpty())) {
                    out.add(ChannelListener.PARTIAL_MESSAGE);
                }
                state.incomplete = midMessage;
            } catch (HttpException e) {
                state.end();
                out.add(e);
            }
        }
    }

    private void decode(FilterChainContext ctx, State state, List<Object> out) throws HttpException {
        for (Event event = state.parser.next(); event != Event.NEED_MORE_INPUT; event = state.parser.next()) {
            HttpHead head = state.parser.head();
            switch (event) {
                case HEAD -> {
                    state.interim = responses && head.status() < 200;
                    if (responses && !state.interim) {
                        out.add(head);
                    } else if (responses) {
                        // Interim responses are not passed on.
                    } else if ("100-continue".equalsIgnoreCase(head.header("expect"))) {
                        ctx.write(Buffers.wrap(ctx.getMemoryManager(), CONTINUE_RESPONSE.clone()));
                    }
                }
                case DATA -> {
                    if (responses) {
                        out.add(state.parser.data());
                    } else {
                        byte[] data = state.parser.data();
                        state.body.append(ByteBuffer.wrap(data), data.length);
                    }
                }
                default -> {
                    if (!responses) {
                        out.add(state.takeRequest());
                    } else {
                        state.parser.takeHead();
                        if (!state.interim) {
                            out.add(END_OF_RESPONSE);
                        }
                    }
                }
            }
        }
    }

    private static HttpException noRoom() {
        return new HttpException(503, "no room for more bodies at present");
    }

    @Override
    public NextAction handleWrite(FilterChainContext ctx) {
        ctx.setMessage(Buffers.wrap(ctx.getMemoryManager(), (byte[]) ctx.getMessage()));
        return ctx.getInvokeAction();
    }
}
