package gorserill.program.scale;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/** Collects the bytes of one request of HTTP/1.1 with a length; just enough for what nodes send. */
final class HollowRequest {
    private static final int FIRST = 512;
    private static final int MOST = 96 * 1_024;
    private static final String END_OF_HEAD = "\r\n\r\n";

    /** The job that a request brings. */
    record Job(String id, String lane) {}

    private byte[] bytes = new byte[FIRST];
    private int length;

    /** Adds what came; false where it is more than any request may have. */
    boolean add(byte[] more, int many) {
        if (length + many > MOST) {
            return false;
        }
        if (length + many > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + many));
        }
        System.arraycopy(more, 0, bytes, length, many);
        length += many;
        return true;
    }

    /** The job, once its last byte is here, which is then forgotten; null before. */
    Job take() {
        String text = new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
        int end = text.indexOf(END_OF_HEAD);
        if (end < 0) {
            return null;
        }
        String head = text.substring(0, end);
        int whole = end + END_OF_HEAD.length() + Integer.parseInt(header(head, "content-length", "0"));
        if (length < whole) {
            return null;
        }
        System.arraycopy(bytes, whole, bytes, 0, length - whole);
        length -= whole;
        return new Job(header(head, "x-txn", ""), header(head, "x-lane", ""));
    }

    private static String header(String head, String name, String otherwise) {
        for (String line : head.split("\r\n")) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).toLowerCase(Locale.ROOT).equals(name)) {
                return line.substring(colon + 1).strip();
            }
        }
        return otherwise;
    }
}
