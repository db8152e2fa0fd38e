package gorserill.routing;

/** What a front has verified of a job's body. The media type is a claim of the client and proves nothing. */
public enum BodyFormat {
    /** Nothing: the body is passed on as bytes. */
    OPAQUE,
    /** The body is a complete work unit that names the job's own id. */
    WORK_UNIT
}
