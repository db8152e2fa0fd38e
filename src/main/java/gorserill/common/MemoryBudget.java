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

    /** Creates a reservation that holds no memory yet. */
    public Reservation newReservation() {
        return new Reservation();
    }

    public long used() {
        return used.get();
    }

    /** Bytes that can still be reserved. */
    public long unused() {
        return limit - used.get();
    }

    /** The memory that one message holds, from its first byte until it has been answered. Thread-safe. */
    public final class Reservation {
        private long bytes;
        private boolean released;

        private Reservation() {}

        /** Reserves more memory; returns false and reserves nothing if the budget is exhausted. */
        public synchronized boolean tryGrow(long moreBytes) {
            if (released) {
                return false;
            }
            if (used.addAndGet(moreBytes) > limit) {
                used.addAndGet(-moreBytes);
                return false;
            }
            bytes += moreBytes;
            return true;
        }

        /** Returns the memory to the budget, once: further calls do nothing, so that the limit can't grow by them. */
        public synchronized void release() {
            if (!released) {
                released = true;
                used.addAndGet(-bytes);
            }
        }
    }
}
