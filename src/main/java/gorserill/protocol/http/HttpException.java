package gorserill.protocol.http;

/** Signals a message that violates HTTP/1.1 or a size limit, with the status to return to the sender. */
public final class HttpException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    HttpException(int status, String why) {
        super(why);
        this.status = status;
    }

    public int status() {
        return status;
    }
}
