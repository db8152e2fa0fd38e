package gorserill.program;

/** A configuration that can't be worked with; the message names the faulty key. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigException(String key, String what) {
        super(key + ": " + what);
    }
}
