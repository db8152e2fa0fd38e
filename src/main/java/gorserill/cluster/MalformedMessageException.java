package gorserill.cluster;

/** Something read from the wire or a file that can't be worked with; the text names the place. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedMessageException(String what) {
        super(what);
    }
}
