package gorserill.contract;

/** A request as a contract looks at it; a front makes one of what its wire brings. */
public interface Call {
    String method();

    /** As it was sent, percent-encoded, without the query. */
    String path();

    /** As it was sent; null for none. */
    String query();

    /** A header by its name in lower case; null for none. */
    String header(String name);

    /** Whether that header came more than once; its value is then all of them, joined by commas. */
    default boolean repeated(String name) {
        return false;
    }

    byte[] body();
}
