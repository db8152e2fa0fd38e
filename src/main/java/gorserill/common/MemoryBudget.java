package gorserill.common;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory budget for data received from clients, shared by all connections. Bodies within the limit per body could, on
 * hundreds of connections, exceed a small heap. Thread-safe.
 */
public final class MemoryBudget {
    private final long limit;
    private final AtomicLong used = new AtomicLong();

    /** @param limit bytes */
    public MemoryBudget(long limit) {
        this.limit = limit;
    }

    /** Reserves memory; returns false and reserves nothing if the budget is exhausted. */
    public boolean tryReserve(long bytes) {
        if (used.addAndGet(bytes) <= limit) {
            return true;
        }
        used.addAndGet(-bytes);
        return false;
    }

    public void release(long bytes) {
        used.addAndGet(-bytes);
    }

    public long used() {
        return used.get();
    }
}
