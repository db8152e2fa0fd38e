package gorserill.routing;

/** What became of an earlier job with the same id that must not run twice. */
public enum PastOutcome {
    /** A worker completed it. */
    SERVED,
    /** It was handed to a worker, and its result is not known. */
    MAY_HAVE_RUN
}
