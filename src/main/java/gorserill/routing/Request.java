package gorserill.routing;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.JobClass;
import gorserill.common.Deadlines.Deadline;
import java.util.ArrayList;
import java.util.List;

/** A request that the node has taken. */
final class Request {
    final ResponseHandler front;
    final JobSpec work;
    final long expires;
    /** The stricter of what its class and what binds it say. */
    final Effect effect;

    final List<Attempt> attempts = new ArrayList<>(1);
    long handle;
    /** Microseconds of the loop's clock. */
    long takenAt;

    Deadline deadline;
    /** Its final answer is given, or nobody waits for one. */
    boolean over;

    int out;

    Request(ResponseHandler front, JobSpec work, long expires, JobClass of) {
        effect = effect(work, of);
        this.front = front;
        this.work = work;
        this.expires = expires;
    }

    /**
     * Danger: a bond can be keyed where the class is safe. Nothing then says that workers of that class drop
     * repeats, whatever key they are told, so none are sent.
     */
    private static Effect effect(JobSpec work, JobClass of) {
        Effect told = work.contract() == null ? Effect.SAFE : work.contract().effect();
        return told.compareTo(of.effect()) <= 0 ? of.effect() : Effect.UNSAFE;
    }

    /** Whether an attempt may be made: none before it may have run, or a repeat does no harm. */
    boolean mayBeSent(JobClass of) {
        for (Attempt attempt : attempts) {
            if (!attempt.neverRan
                    && (effect == Effect.UNSAFE || effect == Effect.KEYED && of.effect() != Effect.KEYED)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether an attempt may begin beside those that have begun. Danger: it was decided on before, when a
     * repeat would still have been dropped, and its connection may have come up late.
     */
    boolean mayBegin(Attempt next, JobClass of, long now) {
        for (Attempt attempt : attempts) {
            if (attempt != next
                    && attempt.begunAt > 0
                    && !attempt.neverRan
                    && (effect == Effect.UNSAFE
                            || effect == Effect.KEYED && now >= attempt.begunAt + of.dedupWindow())) {
                return false;
            }
        }
        return true;
    }
}
