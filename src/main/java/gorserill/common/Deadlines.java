package gorserill.common;

import java.util.Comparator;
import java.util.TreeSet;

/** Every deadline of the node in the order of time; those of one time as they were set. */
public final class Deadlines {
    /** One thing to do at a time. */
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
    private long orders;

    public Deadline at(long time, Runnable action) {
        Deadline deadline = new Deadline(time, orders++, action);
        pending.add(deadline);
        return deadline;
    }

    /** Takes a deadline back; one that has passed, or null, is no matter. */
    public void cancel(Deadline deadline) {
        if (deadline != null) {
            pending.remove(deadline);
        }
    }

    /** The next time at which something is due, or Long.MAX_VALUE. */
    public long next() {
        return pending.isEmpty() ? Long.MAX_VALUE : pending.first().time;
    }

    /** Takes out the first action that is due, or gives null. */
    public Runnable pollDue(long now) {
        return next() > now ? null : pending.pollFirst().action;
    }
}
