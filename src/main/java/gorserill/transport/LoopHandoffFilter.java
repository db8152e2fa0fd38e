package gorserill.transport;

import java.util.List;
import java.util.concurrent.Executor;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.FilterChainEvent;
import org.glassfish.grizzly.filterchain.NextAction;

/** The last filter of every chain: queues the messages that the codec decoded for the loop's thread. */
final class LoopHandoffFilter extends BaseFilter {
    private static final List<Object> ONLY_PARTIAL_MESSAGE = List.of(ChannelListener.PARTIAL_MESSAGE);

    private final Executor executor;
    private final Attribute<Channel> channels;
    private final Runnable onRead;
    /** Whether reading is paused while the loop lags behind. */
    private final boolean mayPause;

    LoopHandoffFilter(Executor executor, Attribute<Channel> channels) {
        this(executor, channels, () -> {}, true);
    }

    private LoopHandoffFilter(Executor executor, Attribute<Channel> channels, Runnable onRead, boolean mayPause) {
        this.executor = executor;
        this.channels = channels;
        this.onRead = onRead;
        this.mayPause = mayPause;
    }

    /**
     * For connections that report state, such as discovery's: they are never paused, as a report must not wait unread,
     * and their codec bounds the input.
     *
     * @param onRead called on the selector's thread at each read
     */
    static LoopHandoffFilter forStateUpdates(Executor executor, Attribute<Channel> channels, Runnable onRead) {
        return new LoopHandoffFilter(executor, channels, onRead, false);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Channel channel = channels.get(ctx.getConnection());
        Object message = ctx.getMessage();
        onRead.run();
        if (channel != null) {
            channel.readQueued(!ONLY_PARTIAL_MESSAGE.equals(message), mayPause);
            executor.execute(() -> {
                channel.readTaken();
                channel.listener.received(message);
            });
        }
        return ctx.getStopAction();
    }

    @Override
    public NextAction handleEvent(FilterChainContext ctx, FilterChainEvent event) {
        Channel channel = channels.get(ctx.getConnection());
        if (event instanceof InputRejected rejected && channel != null) {
            executor.execute(() -> channel.listener.received(List.of(rejected.error())));
            return ctx.getStopAction();
        }
        return ctx.getInvokeAction();
    }
}
