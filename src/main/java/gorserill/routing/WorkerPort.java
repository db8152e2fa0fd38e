package gorserill.routing;

import java.util.function.Consumer;

/** Connection of the core to one worker. Called on the core's thread. */
public interface WorkerPort {
    /**
     * Starts an attempt. The port reports its end by exactly one call of {@link Attempt#ended}, never from within
     * this method, unless the attempt is aborted first.
     *
     * @param expiresAt when the core stops waiting for it
     */
    void start(Attempt attempt, JobSpec job, long expiresAt);

    /**
     * Aborts an attempt that has not ended; nothing may be reported for it afterwards.
     *
     * @return true if the job was provably never sent to the worker
     */
    boolean abort(Attempt attempt);

    /**
     * The worker is no longer in service. Idle connections are closed, and every attempt of which no byte was written
     * is returned to the core. A job written to a connection that comes up later would reach the worker after it
     * began to drain.
     */
    default void outOfService() {}

    /** Asks the worker for its load; calls back once, with {@link Load#NONE} if the load can't be determined. */
    default void probe(Consumer<Load> callback) {
        callback.accept(Load.NONE);
    }
}
