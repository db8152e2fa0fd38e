package gorserill.routing;

import barrowflow.Dispatcher.Effect;
import barrowflow.Dispatcher.JobClass;
import gorserill.common.Deadlines.Deadline;
import java.util.ArrayList;
import java.util.List;

/** A request that the node has accepted and that still has attempts in flight or no final response. */
final class Request {
    final ResponseHandler handler;
    final JobSpec job;
    final long expiresAt;
    /** The stricter of the effect of the job's class and that of its contract. */
    final Effect effect;

    final List<Attempt> attempts = new ArrayList<>(1);
    long handle;
    /** The client waits much less than its class allows. */
    boolean hasShortWait;
    /** Microseconds of the loop's clock. */
    long takenAt;

    Deadline deadline;
    /** The final response was given, or the client has disconnected. */
    boolean concluded;

    int openAttempts;

    Request(ResponseHandler handler, JobSpec job, long expiresAt, JobClass jobClass) {
        effect = effect(job, jobClass);
        this.handler = handler;
        this.job = job;
        this.expiresAt = expiresAt;
    }

    /**
     * Combines both effects. A contract may declare a job keyed although its class is safe. The workers of that class
     * are not known to deduplicate by key, so such a job is treated as unsafe.
     */
    private static Effect effect(JobSpec job, JobClass jobClass) {
        Effect contractEffect =
                job.contract() == null ? Effect.SAFE : job.contract().effect();
        return contractEffect.compareTo(jobClass.effect()) <= 0 ? jobClass.effect() : Effect.UNSAFE;
    }

    /** Whether another attempt may be made: no earlier one may have run, or running the job twice is harmless. */
    boolean mayBeSent(JobClass jobClass) {
        for (Attempt attempt : attempts) {
            if (!attempt.neverRan
                    && (effect == Effect.UNSAFE || effect == Effect.KEYED && jobClass.effect() != Effect.KEYED)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether an attempt may be written in addition to those already started. The decision to make it was taken
     * earlier, and by the time its connection is up the deduplication window may have ended.
     */
    boolean mayBegin(Attempt next, JobClass jobClass, long now) {
        for (Attempt attempt : attempts) {
            if (attempt != next
                    && attempt.writeStartedAt > 0
                    && !attempt.neverRan
                    && (effect == Effect.UNSAFE
                            || effect == Effect.KEYED && now >= attempt.writeStartedAt + jobClass.dedupWindow())) {
                return false;
            }
        }
        return true;
    }
}
