package gorserill.cluster;

/** Received or stored data that can't be processed; the message names the offending field. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedMessageException(String what) {
        super(what);
    }
}
