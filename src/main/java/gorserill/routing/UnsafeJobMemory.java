package gorserill.routing;

import gorserill.common.SiblingProcesses;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the unsafe jobs that were handed to workers, by the ids that clients gave them. A client that has lost its
 * connection may send its job again while a worker runs the first one, or later, over either protocol and to either
 * process of an upgrade; the job must not run again. The oldest jobs are forgotten first.
 */
final class UnsafeJobMemory {
    private final SiblingProcesses siblings;
    private final Map<String, PastOutcome> outcomes = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PastOutcome> eldest) {
            boolean full = size() > SiblingProcesses.MAX_UNSAFE_JOBS;
            if (full) {
                siblings.unsafeJobForgotten(eldest.getKey());
            }
            return full;
        }
    };

    UnsafeJobMemory(SiblingProcesses siblings) {
        this.siblings = siblings;
    }

    /** The job is about to be handed to a worker. */
    void handedOut(String id) {
        outcomes.put(id, PastOutcome.MAY_HAVE_RUN);
        siblings.unsafeJobHandedOut(id);
    }

    void served(String id) {
        outcomes.replace(id, PastOutcome.SERVED);
    }

    /** No worker has started the job, or will. */
    void neverRan(String id) {
        if (outcomes.remove(id) != null) {
            siblings.unsafeJobForgotten(id);
        }
    }

    /** Returns null if no job of this id is known. */
    PastOutcome outcome(String id) {
        PastOutcome known = outcomes.get(id);
        return known == null && siblings.mayHaveRunElsewhere(id) ? PastOutcome.MAY_HAVE_RUN : known;
    }
}
