package gorserill.protocol.http;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * A codec before which the selector's thread can be held: with bytes that it has read from one connection,
 * and that nobody has heard of, while nothing else is read or accepted.
 */
final class HeldReads extends BaseFilter {
    private final Filter codec;
    private volatile CountDownLatch reached;
    private volatile CountDownLatch released;

    HeldReads(Filter codec) {
        this.codec = codec;
    }

    /** The next read is held. */
    void hold() {
        released = new CountDownLatch(1);
        reached = new CountDownLatch(1);
    }

    void awaitHeld() throws InterruptedException {
        if (!reached.await(5, TimeUnit.SECONDS)) {
            throw new AssertionError("nothing was read");
        }
    }

    void release() {
        released.countDown();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws java.io.IOException {
        CountDownLatch here = reached;
        if (here != null && here.getCount() > 0) {
            here.countDown();
            try {
                if (!released.await(10, TimeUnit.SECONDS)) {
                    throw new AssertionError("never released");
                }
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
        return codec.handleRead(ctx);
    }

    @Override
    public NextAction handleWrite(FilterChainContext ctx) throws java.io.IOException {
        return codec.handleWrite(ctx);
    }
}
