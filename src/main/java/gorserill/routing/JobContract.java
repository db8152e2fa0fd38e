package gorserill.routing;

import barrowflow.Dispatcher.Effect;

/**
 * What binds one job beyond its class: a contract that it was taken under, as it was then. It knows no wire
 * and no description.
 */
public interface JobContract {
    /** What running the job twice does; the stricter of this and its class's holds. */
    Effect effect();

    /**
     * Whether a worker's answer may be given to the client; if not, the job failed, and is not tried again.
     */
    boolean acceptsResult(byte[] result);

    /** The job is over, and nothing more is asked of this. */
    void release();
}
