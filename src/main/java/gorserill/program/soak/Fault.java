package gorserill.program.soak;

/** What a soak run does to nodes and their surroundings beside draining workers. */
public enum Fault {
    /** Configurations in a row, each with a signal, that move a node between addresses of discovery. */
    RELOAD,
    /** A node's process is stopped and goes on. */
    PAUSE,
    /** Discovery takes long for each call, and turns away who waited too long. */
    CROWDED,
    /** What discovery writes arrives late. */
    SLOW_LINK,
    /** Discovery answers some calls with 503 at once. */
    REFUSED_CALLS,
    /** Some answers of discovery end in the middle. */
    CUT_LISTS,
    /** Some watches say nothing more, and stay open. */
    SILENT_WATCHES,
    /** Workers leave some jobs without an answer. */
    HANG,
    /** Workers break the connection under some jobs. */
    RESET,
    /** Clients close their connection before the answer. */
    LEAVE
}
