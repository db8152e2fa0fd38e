package gorserill.program;

/** An invalid configuration; the message names the faulty key. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigException(String key, String problem) {
        super(key + ": " + problem);
    }
}
