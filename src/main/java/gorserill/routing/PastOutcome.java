package gorserill.routing;

/** What became of an earlier job with the same id that must not run twice. */
public enum PastOutcome {
    /** A worker completed it, and its client was told so. */
    SERVED,
    /** It was handed to a worker, and its client was told that it failed, or nothing. */
    MAY_HAVE_RUN
}
