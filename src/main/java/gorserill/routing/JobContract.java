package gorserill.routing;

import barrowflow.Dispatcher.Effect;

/**
 * The contract version in force when a job was accepted, which may restrict the job beyond the rules of its class.
 * Independent of the wire protocol and of the format of the contract.
 */
public interface JobContract {
    /** The effect of running the job twice. The stricter of this and the effect of the job's class applies. */
    Effect effect();

    /** Whether a worker's response may be returned to the client. If not, the job fails and is not retried. */
    boolean acceptsResult(byte[] result);

    /** Releases the contract version once the job has ended; not called more than once per job. */
    void release();
}
