package gorserill.routing;

import java.util.function.Consumer;

/** A worker that the core can send attempts to; called on the core's thread. */
public interface WorkerPort {
    /**
     * Starts an attempt, which the worker ends with exactly one call of {@link Attempt#ended}, never from
     * within this method, unless it is called off before.
     *
     * @param expires when the core stops waiting for it
     */
    void start(Attempt attempt, JobSpec work, long expires);

    /**
     * Stops waiting for an attempt that has not ended; nothing may be told of it from here on.
     *
     * @return true where the job provably was never handed to the worker
     */
    boolean abort(Attempt attempt);

    /**
     * It has gone out of service. What rests is closed, and each attempt of which not a byte has gone out is
     * given back. Danger: a job on a connection that comes up later would be the last to hear of it.
     */
    default void outOfService() {}

    /** Asks the worker for its load; told once, {@link Load#NONE} where nothing is learned. */
    default void probe(Consumer<Load> answer) {
        answer.accept(Load.NONE);
    }
}
