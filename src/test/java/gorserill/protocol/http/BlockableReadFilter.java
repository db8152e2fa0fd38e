package gorserill.protocol.http;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Wraps a codec and can block the selector's thread in front of it: bytes of one connection have then been read but not
 * processed, and nothing else is read or accepted.
 */
final class BlockableReadFilter extends BaseFilter {
    private final Filter codec;
    private volatile CountDownLatch blocked;
    private volatile CountDownLatch released;
    private final AtomicInteger readCount = new AtomicInteger();

    BlockableReadFilter(Filter codec) {
        this.codec = codec;
    }

    /** Blocks the selector's thread at the next read, until {@link #release}. */
    void blockNextRead() {
        released = new CountDownLatch(1);
        blocked = new CountDownLatch(1);
    }

    /** The number of reads started so far, on all connections. */
    int readCount() {
        return readCount.get();
    }

    void awaitBlocked() throws InterruptedException {
        if (!blocked.await(5, TimeUnit.SECONDS)) {
            throw new AssertionError("nothing was read within 5 s");
        }
    }

    void release() {
        if (released != null) {
            released.countDown();
        }
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws java.io.IOException {
        readCount.incrementAndGet();
        CountDownLatch latch = blocked;
        if (latch != null && latch.getCount() > 0) {
            latch.countDown();
            try {
                if (!released.await(10, TimeUnit.SECONDS)) {
                    throw new AssertionError("the blocked read was not released within 10 s");
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
