package gorserill.contract.read;

/** Reports that a description needs more memory than the process has left for it. */
public final class NoHeadroomException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public NoHeadroomException(String message) {
        super(message);
    }
}
