package gorserill.common;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A budget of memory for what clients send, of all connections together. Danger: a body within its limit on each
 * of hundreds of connections is more than a small heap holds. Any thread may call it.
 */
public final class MemoryBudget {
    private final long most;
    private final AtomicLong used = new AtomicLong();

    /** @param most bytes */
    public MemoryBudget(long most) {
        this.most = most;
    }

    /** Takes so many bytes; false, and nothing taken, where there is no room. */
    public boolean tryReserve(long bytes) {
        if (used.addAndGet(bytes) <= most) {
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
