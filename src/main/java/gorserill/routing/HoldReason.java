package gorserill.routing;

/** Why an attempt must not be written when its connection is ready. */
public enum HoldReason {
    /** The request has its final response, or the attempt already has an outcome. */
    OVER,
    CLIENT_LEFT,
    /** The worker is draining, gone or disabled by an operator. */
    WORKER_OUT_OF_SERVICE,
    /** An earlier attempt may have run, and a repeat could run the job twice. */
    MAY_HAVE_RUN
}
