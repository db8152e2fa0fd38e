package gorserill.program.scale;

import java.io.IOException;

/** A run that could not be carried out, in words for whoever started it. */
public final class ScaleException extends IOException {
    private static final long serialVersionUID = 1;

    ScaleException(String why) {
        super(why);
    }

    ScaleException(String why, Throwable cause) {
        super(why, cause);
    }
}
