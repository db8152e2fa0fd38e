package gorserill.common;

import java.util.Comparator;
import java.util.TreeSet;

/** Deadlines in order of time; deadlines of the same time keep the order in which they were set. */
public final class Deadlines {
    /** An action scheduled for a time. */
    public static final class Deadline {
        private final long time;
        private final long order;
        private final Runnable action;

        private Deadline(long time, long order, Runnable action) {
            this.time = time;
            this.order = order;
            this.action = action;
        }
    }

    private final TreeSet<Deadline> pending =
            new TreeSet<>(Comparator.<Deadline>comparingLong(d -> d.time).thenComparingLong(d -> d.order));
    private long nextOrder;

    public Deadline at(long time, Runnable action) {
        Deadline deadline = new Deadline(time, nextOrder++, action);
        pending.add(deadline);
        return deadline;
    }

    /** Cancels a deadline; does nothing if it is null or has passed. */
    public void cancel(Deadline deadline) {
        if (deadline != null) {
            pending.remove(deadline);
        }
    }

    /** The time of the earliest deadline, or Long.MAX_VALUE if there is none. */
    public long next() {
        return pending.isEmpty() ? Long.MAX_VALUE : pending.first().time;
    }

    /** Removes and returns the earliest action that is due, or returns null. */
    public Runnable pollDue(long now) {
        return next() > now ? null : pending.pollFirst().action;
    }
}
