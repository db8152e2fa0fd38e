package barrowflow.adapter;

import java.io.IOException;

/** Reports an invalid input frame, with the reason and the byte offset in the input. */
final class MalformedFrameException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String reason, long offset) {
        super("malformed frame: " + reason + " at byte " + offset);
    }
}
