package gorserill.transport;

import java.util.List;
import java.util.concurrent.Executor;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/** The last filter of every chain: hands what the codec made out to the loop's thread. */
final class LoopHandoffFilter extends BaseFilter {
    private static final List<Object> ONLY_PARTIAL_MESSAGE = List.of(ChannelListener.PARTIAL_MESSAGE);

    private final Executor lane;
    private final Attribute<Channel> channels;
    private final Runnable read;
    /** Whether reading stops for a while where the loop is behind with what was read. */
    private final boolean pauses;

    LoopHandoffFilter(Executor lane, Attribute<Channel> channels) {
        this(lane, channels, () -> {}, true);
    }

    private LoopHandoffFilter(Executor lane, Attribute<Channel> channels, Runnable read, boolean pauses) {
        this.lane = lane;
        this.channels = channels;
        this.read = read;
        this.pauses = pauses;
    }

    /**
     * For connections whose codec bounds what comes, and whose statements must not wait unread.
     *
     * @param read is told, on the selector's thread, of each read
     */
    static LoopHandoffFilter forStateUpdates(Executor lane, Attribute<Channel> channels, Runnable read) {
        return new LoopHandoffFilter(lane, channels, read, false);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Channel channel = channels.get(ctx.getConnection());
        Object message = ctx.getMessage();
        read.run();
        if (channel != null) {
            channel.readQueued(!ONLY_PARTIAL_MESSAGE.equals(message), pauses);
            lane.execute(() -> {
                channel.readTaken();
                channel.peer.received(message);
            });
        }
        return ctx.getStopAction();
    }
}
