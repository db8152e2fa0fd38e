package gorserill.routing;

import gorserill.common.Loop;
import gorserill.common.ThrottledWarnings;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Calls worker ports on behalf of the core. The decision module calls the core in the middle of its period, so an
 * exception that left a port would end that period before the next one is scheduled, and no further job would be handed
 * out. A fault of a port therefore ends here and costs the job at hand alone. Used on the core's thread.
 */
final class PortGuard {
    private static final Logger LOG = Logger.getLogger(PortGuard.class.getName());

    private final ThrottledWarnings warnings;
    private long faults;

    PortGuard(Loop loop) {
        warnings = new ThrottledWarnings(loop, LOG, "faults of worker ports");
    }

    /** Calls that ended with an exception. */
    long faults() {
        return faults;
    }

    /** Starts an attempt; returns false if the port failed, and may have sent the job or not. */
    boolean start(Attempt attempt) {
        try {
            attempt.port.start(attempt, attempt.request.job, attempt.request.expiresAt);
            return true;
        } catch (RuntimeException e) {
            recordFault("start of request " + attempt.requestId(), e);
            return false;
        }
    }

    /** Aborts an attempt; returns whether the job was provably never sent. */
    boolean abort(Attempt attempt) {
        try {
            return attempt.port.abort(attempt);
        } catch (RuntimeException e) {
            recordFault("abort of request " + attempt.requestId(), e);
            return false;
        }
    }

    /** Tells a port that its worker is out of service. */
    void outOfService(WorkerPort port) {
        try {
            port.outOfService();
        } catch (RuntimeException e) {
            recordFault("worker " + port + " out of service", e);
        }
    }

    /** Asks for a worker's load; a port that fails reports none. */
    void probe(WorkerPort port, Consumer<Load> callback) {
        try {
            port.probe(callback);
        } catch (RuntimeException e) {
            recordFault("probe of worker " + port, e);
            callback.accept(Load.NONE);
        }
    }

    private void recordFault(String call, RuntimeException fault) {
        faults++;
        if (faults == 1) {
            LOG.log(Level.SEVERE, "a worker port failed, " + call + "; the node goes on", fault);
        } else {
            warnings.add(fault.getClass().getSimpleName(), call + ": " + fault.getMessage());
        }
    }
}
