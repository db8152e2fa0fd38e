package gorserill.contract;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

/** Paths and their parts in percent-encoding (RFC 3986, sections 2 and 6.2.2). */
final class Segments {
    private Segments() {}

    /**
     * The one form of what may be written in several: percent-encoded unreserved characters decoded,
     * hexadecimal digits in upper case, everything else as it is. Null where a percent sign begins nothing.
     */
    static String normal(String raw) {
        if (raw.indexOf('%') < 0) {
            return raw;
        }
        StringBuilder out = new StringBuilder(raw.length());
        int i = 0;
        while (i < raw.length()) {
            char c = raw.charAt(i);
            if (c != '%') {
                out.append(c);
                i++;
                continue;
            }
            if (i + 2 >= raw.length()
                    || !HexFormat.isHexDigit(raw.charAt(i + 1))
                    || !HexFormat.isHexDigit(raw.charAt(i + 2))) {
                return null;
            }
            char decoded = (char) HexFormat.fromHexDigits(raw, i + 1, i + 3);
            if (unreserved(decoded)) {
                out.append(decoded);
            } else {
                out.append('%')
                        .append(Character.toUpperCase(raw.charAt(i + 1)))
                        .append(Character.toUpperCase(raw.charAt(i + 2)));
            }
            i += 3;
        }
        return out.toString();
    }

    private static boolean unreserved(char c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || c == '-'
                || c == '.'
                || c == '_'
                || c == '~';
    }

    /** The text that a percent-encoded one means; null where that is no UTF-8 (RFC 3986, 2.5). */
    static String decode(String raw, boolean plusIsSpace) {
        if (raw.indexOf('%') < 0) {
            return plusIsSpace ? raw.replace('+', ' ') : raw;
        }
        byte[] from = raw.getBytes(StandardCharsets.UTF_8);
        ByteBuffer out = ByteBuffer.allocate(from.length);
        int i = 0;
        while (i < from.length) {
            if (from[i] == '%') {
                if (i + 2 >= from.length || !HexFormat.isHexDigit(from[i + 1]) || !HexFormat.isHexDigit(from[i + 2])) {
                    return null;
                }
                out.put((byte) (HexFormat.fromHexDigit(from[i + 1]) << 4 | HexFormat.fromHexDigit(from[i + 2])));
                i += 3;
            } else {
                out.put(plusIsSpace && from[i] == '+' ? (byte) ' ' : from[i]);
                i++;
            }
        }
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(out.flip()).toString();
        } catch (CharacterCodingException e) {
            return null;
        }
    }
}
