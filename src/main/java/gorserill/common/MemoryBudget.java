package gorserill.common;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Memory budget for data received from clients, shared by all connections. Messages within the limit per message could,
 * on hundreds of connections, exceed a small heap.
 *
 * <p>Clients that begin messages and don't complete them must not keep others out. When the budget is exhausted,
 * incomplete messages are evicted, if that makes enough room: in favour of a message that is complete or small any of
 * them, the oldest first; in favour of any other those that began {@value #STALL_MILLIS} ms ago or earlier, then those
 * that began after it, the youngest first. Thread-safe.
 */
public final class MemoryBudget {
    /** Age from which an incomplete message counts as stalled: a client on a sound network has sent it by then. */
    private static final int STALL_MILLIS = 500;
    /** An incomplete message up to this size is small; a sound client's request may come in two pieces. */
    private static final int SMALL_BYTES = 4 * 1024;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long limit;
    private final LongSupplier nanoClock;
    private long used;
    /** Reservations of messages that are still being received, oldest first. */
    private final Set<Reservation> incomplete = new LinkedHashSet<>();

    /** @param limit bytes */
    public MemoryBudget(long limit) {
        this(limit, System::nanoTime);
    }

    /** @param nanoClock time in nanoseconds from any origin */
    MemoryBudget(long limit, LongSupplier nanoClock) {
        this.limit = limit;
        this.nanoClock = nanoClock;
    }

    /**
     * Creates a reservation that holds no memory yet, for a message that is still to be received.
     *
     * @param onEviction called on the thread that needs the memory; the message has to be discarded
     */
    public Reservation newReservation(Runnable onEviction) {
        return new Reservation(onEviction);
    }

    public synchronized long used() {
        return used;
    }

    /** Bytes that can still be reserved. */
    public synchronized long unused() {
        return limit - used;
    }

    /** The memory that one message holds, from its first byte until it has been answered. Thread-safe. */
    public final class Reservation {
        private final Runnable onEviction;
        private long bytes;
        private long startedNanos;
        private boolean completed;
        private boolean released;

        private Reservation(Runnable onEviction) {
            this.onEviction = onEviction;
        }

        /**
         * Changes how much memory is reserved while the message is received, if necessary by evicting others. Returns
         * false and changes nothing if that does not suffice.
         */
        public boolean tryResize(long newBytes) {
            return tryResize(newBytes, false);
        }

        private boolean tryResize(long newBytes, boolean completes) {
            List<Reservation> evicted = new ArrayList<>(0);
            boolean resized;
            synchronized (MemoryBudget.this) {
                completed |= completes;
                resized = !released && makeRoom(newBytes - bytes, completes || newBytes <= SMALL_BYTES, evicted);
                if (resized) {
                    used += newBytes - bytes;
                    bytes = newBytes;
                }
                updateListing();
            }
            evicted.forEach(other -> other.onEviction.run());
            return resized;
        }

        /** Like {@link #tryResize}, for a message that is complete; from now on it is not evicted. */
        public boolean tryComplete(long newBytes) {
            return tryResize(newBytes, true);
        }

        private boolean makeRoom(long moreBytes, boolean evictsAny, List<Reservation> evicted) {
            long missingBytes = used + moreBytes - limit;
            if (moreBytes <= 0 || missingBytes <= 0) {
                return true;
            }
            for (Reservation victim : evictsAny ? List.copyOf(incomplete) : lessDeserving()) {
                if (victim != this && missingBytes > 0) {
                    missingBytes -= victim.bytes;
                    evicted.add(victim);
                }
            }
            if (missingBytes > 0) {
                evicted.clear();
                return false;
            }
            evicted.forEach(Reservation::release);
            return true;
        }

        /** The incomplete messages that give way to this one, which is incomplete, too. */
        private List<Reservation> lessDeserving() {
            long stalledSince = nanoClock.getAsLong() - STALL_MILLIS * NANOS_PER_MILLI;
            List<Reservation> stalled = new ArrayList<>();
            Deque<Reservation> youngestFirst = new ArrayDeque<>();
            boolean younger = false;
            for (Reservation other : incomplete) {
                if (other.startedNanos - stalledSince <= 0) {
                    stalled.add(other);
                } else if (younger) {
                    youngestFirst.addFirst(other);
                }
                younger |= other == this;
            }
            if (!stalled.contains(this)) {
                stalled.addAll(youngestFirst);
            }
            return stalled;
        }

        private void updateListing() {
            if (completed || released || bytes == 0) {
                incomplete.remove(this);
            } else if (incomplete.add(this)) {
                startedNanos = nanoClock.getAsLong();
            }
        }

        /** Returns the memory to the budget, once: further calls do nothing, so that the limit can't grow by them. */
        public void release() {
            synchronized (MemoryBudget.this) {
                if (!released) {
                    released = true;
                    used -= bytes;
                    updateListing();
                }
            }
        }
    }
}
