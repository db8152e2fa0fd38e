package gorserill.program.soak;

/** A violation that the surroundings make up, to see that the check of that rule finds it. */
public enum Plant {
    NONE,
    /** Drains are kept from the nodes, and count as told. */
    DRAIN_UNTOLD,
    /** A client sends a job that must not run twice to a worker once more. */
    RUN_TWICE,
    /** A client takes no notice of an answer. */
    ANSWER_LOST,
    /** A client counts an answer twice. */
    ANSWER_TWICE,
    /** A job is sent to a worker after its client left. */
    RUN_AFTER_LEAVE,
    /** A job is sent to a worker with more time than its client waits. */
    TIME_ADDED
}
