package gorserill.routing;

import barrowflow.Dispatcher.Outcome;

/**
 * One attempt to run a request on a worker. Worker ports report its progress through the public methods, on the
 * core's thread unless stated otherwise.
 */
public final class Attempt {
    final Request request;
    final int number;
    final WorkerPort port;
    final Core core;
    long handle;
    boolean started;
    /** Microseconds of the loop's clock; used for logging only. */
    long sentAt;

    long startedAt;
    /** Set once the outcome shows that the job never ran. */
    boolean neverRan;
    /** Earliest time at which a byte of the attempt may have been written, in microseconds; 0 if not yet. */
    long writeStartedAt;

    final long workerId;

    Attempt(Core core, Request request, int number, long workerId, WorkerPort port) {
        this.core = core;
        this.request = request;
        this.number = number;
        this.workerId = workerId;
        this.port = port;
    }

    /**
     * Must be called immediately before the first byte is written; the write takes place only if this returns true.
     * Opening a connection takes time, in which the worker may have started to drain, the client may have
     * disconnected, another attempt may have finished the job, or the deduplication window may have ended.
     */
    public boolean tryBegin() {
        return core.tryBegin(this);
    }

    /** Reports that a connection has to be opened; may be called from within {@link WorkerPort#start}. */
    public void opening() {
        core.opening(this);
    }

    /** Reports, once and from any thread, that the last byte was written to the worker. */
    public void written() {
        core.written();
    }

    /** Reports that the worker started the job. */
    public void started() {
        core.started(this);
    }

    /**
     * Reports the outcome; {@code result} is the worker's response if it served the job. Only the first call has an
     * effect.
     */
    public void ended(Outcome outcome, byte[] result, Load load) {
        core.ended(this, outcome, result, load);
    }

    /**
     * Reports that no worker can accept the job as the client sent it. The job fails without a retry, and the worker
     * is not held responsible.
     */
    public void invalidJob() {
        core.invalidJob(this);
    }

    /** The request id given by the client, for logging. */
    public String requestId() {
        return request.job.id();
    }
}
