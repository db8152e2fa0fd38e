package gorserill.protocol.http;

/** A message that breaks HTTP/1.1 or a limit, and the status that its sender gets. */
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
