package gorserill.common;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Checks of text in UTF-8. */
public final class Utf8 {
    private Utf8() {}

    /** Whether the bytes are well-formed UTF-8, so that decoding them to text and back gives the same bytes. */
    public static boolean isWellFormed(byte[] bytes) {
        if (isAscii(bytes)) {
            return true;
        }
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes));
            return true;
        } catch (CharacterCodingException e) {
            return false;
        }
    }

    private static boolean isAscii(byte[] bytes) {
        for (byte b : bytes) {
            if (b < 0) {
                return false;
            }
        }
        return true;
    }
}
