package gorserill.routing;

import barrowflow.Dispatcher.Outcome;

/** One attempt at a request. A worker port tells of it through the methods here, on the core's thread. */
public final class Attempt {
    final Request request;
    final int number;
    final WorkerPort port;
    final Core core;
    long handle;
    boolean started;
    /** For the log; microseconds of the loop's clock. */
    long sentAt;

    long startedAt;
    /** Its outcome proved that the job never ran. */
    boolean neverRan;
    /** The earliest moment at which a byte of it may have gone out; 0 for not yet. */
    long begunAt;

    final long worker;

    Attempt(Core core, Request request, int number, long worker, WorkerPort port) {
        this.core = core;
        this.request = request;
        this.number = number;
        this.worker = worker;
        this.port = port;
    }

    /**
     * To be asked right before the write of its first byte, which has to go out where this is true, and must
     * not where it isn't. Danger: between the decision and the write lies the opening of a connection, and
     * meanwhile the worker may have begun to drain, the client may have left, another attempt may have ended
     * the job, or the time may be over in which workers drop a repeat.
     */
    public boolean tryBegin() {
        return core.tryBegin(this);
    }

    /** A connection has to be opened for it; may be told from within {@link WorkerPort#start}. */
    public void opening() {
        core.opening(this);
    }

    /** Its last byte was written to the worker; any thread may tell, once. */
    public void written() {
        core.written();
    }

    /** The job began to run. */
    public void started() {
        core.started(this);
    }

    /** It ended; {@code result} counts where it was served. Later calls change nothing. */
    public void ended(Outcome outcome, byte[] result, Load load) {
        core.ended(this, outcome, result, load);
    }

    /** The worker can't use the job, whoever it is sent to: its client is at fault, and no worker. */
    public void invalidJob() {
        core.invalidJob(this);
    }

    /** The client's id of the request, for logs. */
    public String requestId() {
        return request.work.id();
    }
}
