package barrowflow.adapter;

import java.io.IOException;

/** A frame that can't be read: what is wrong, and at which byte of the input. */
final class MalformedFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String what, long at) {
        super("malformed frame: " + what + " at byte " + at);
    }
}
