package gorserill.protocol.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Takes HTTP/1.1 messages of one connection apart, however their bytes come cut up. */
final class HttpReader {
    /** What was made out. */
    enum Step { MORE, HEAD, DATA, END }

    private enum State { HEAD, LENGTH, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILER, UNTIL_CLOSE, END }

    private static final int MAX_HEAD = 16 * 1024;
    private static final int MAX_LINE = 1024;

    private final boolean answers;
    private final int maxBody;
    private byte[] bytes = new byte[512];
    private int from;
    private int to;
    private State state = State.HEAD;
    private HttpHead head;
    private long left;
    private long body;
    private byte[] data;

    /** @param answers whether it reads answers; else requests */
    HttpReader(boolean answers, int maxBody) {
        this.answers = answers;
        this.maxBody = maxBody;
    }

    void feed(ByteBuffer in) {
        int more = in.remaining();
        if (to + more > bytes.length) {
            int kept = to - from;
            int larger = Math.max(kept + more, 2 * bytes.length);
            byte[] room = kept + more > bytes.length ? new byte[larger] : bytes;
            System.arraycopy(bytes, from, room, 0, kept);
            bytes = room;
            from = 0;
            to = kept;
        }
        in.get(bytes, to, more);
        to += more;
    }

    HttpHead head() {
        return head;
    }

    /** The piece of the body that the last step made out. */
    byte[] data() {
        return data;
    }

    /** Bytes have come of a message that has not ended. */
    boolean midMessage() {
        return state != State.HEAD || from < to;
    }

    Step next() throws HttpException {
        while (true) {
            switch (state) {
                case HEAD -> {
                    int end = endOfHead();
                    if (end < 0) {
                        return Step.MORE;
                    }
                    parseHead(new String(bytes, from, end - from, StandardCharsets.ISO_8859_1));
                    from = end;
                    body = 0;
                    return Step.HEAD;
                }
                case LENGTH, CHUNK, UNTIL_CLOSE -> {
                    if (left == 0) {
                        state = state == State.CHUNK ? State.CHUNK_END : State.END;
                    } else if (from == to) {
                        return Step.MORE;
                    } else {
                        takeData();
                        return Step.DATA;
                    }
                }
                case CHUNK_SIZE -> {
                    String line = line();
                    if (line == null) {
                        return Step.MORE;
                    }
                    left = chunkSize(line);
                    body += left;
                    limitBody();
                    state = left == 0 ? State.TRAILER : State.CHUNK;
                }
                case CHUNK_END -> {
                    String line = line();
                    if (line == null) {
                        return Step.MORE;
                    }
                    if (!line.isEmpty()) {
                        throw new HttpException(400, "a chunk longer than it says");
                    }
                    state = State.CHUNK_SIZE;
                }
                case TRAILER -> {
                    String line = line();
                    if (line == null) {
                        return Step.MORE;
                    }
                    state = line.isEmpty() ? State.END : State.TRAILER;
                }
                default -> {
                    state = State.HEAD;
                    return Step.END;
                }
            }
        }
    }

    private void takeData() {
        int length = (int) Math.min(left, to - from);
        data = Arrays.copyOfRange(bytes, from, from + length);
        from += length;
        left -= length;
    }

    private int endOfHead() throws HttpException {
        // An empty line before a request is to be overlooked (RFC 9112, 2.2).
        while (!answers && to - from >= 2 && bytes[from] == '\r' && bytes[from + 1] == '\n') {
            from += 2;
        }
        for (int i = from; i + 3 < to; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n' && bytes[i + 2] == '\r' && bytes[i + 3] == '\n') {
                return i + 4;
            }
        }
        if (to - from > MAX_HEAD) {
            throw new HttpException(431, "headers of more than " + MAX_HEAD + " bytes");
        }
        return -1;
    }

    private String line() throws HttpException {
        for (int i = from; i + 1 < to; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n') {
                String line = new String(bytes, from, i - from, StandardCharsets.ISO_8859_1);
                from = i + 2;
                return line;
            }
        }
        if (to - from > MAX_LINE) {
            throw new HttpException(400, "a chunk header of more than " + MAX_LINE + " bytes");
        }
        return null;
    }

    private static long chunkSize(String line) throws HttpException {
        int end = line.indexOf(';');
        String size = (end < 0 ? line : line.substring(0, end)).trim();
        if (size.isEmpty() || size.length() > 8 || !size.chars().allMatch(c -> Character.digit(c, 16) >= 0)) {
            throw new HttpException(400, "a chunk of no readable size");
        }
        return Long.parseLong(size, 16);
    }

    private void limitBody() throws HttpException {
        if (body > maxBody) {
            throw new HttpException(413, "a body of more than " + maxBody + " bytes");
        }
    }

    private void parseHead(String text) throws HttpException {
        // Danger: values are passed on to workers, where a lone line end would start a header of its own.
        if (text.replace("\r\n", "").chars().anyMatch(c -> c < ' ' && c != '\t' || c == 127)) {
            throw new HttpException(400, "control characters in the headers");
        }
        String[] lines = text.split("\r\n");
        String[] start = lines[0].split(" ", 3);
        if (start.length < (answers ? 2 : 3) || !start[answers ? 0 : 2].matches("HTTP/1\\.[01]")) {
            throw new HttpException(400, "not an HTTP/1.1 message");
        }
        if (answers ? !start[1].matches("[1-5]\\d\\d") : !start[1].startsWith("/") && !start[1].equals("*")) {
            throw new HttpException(400, "an unreadable " + (answers ? "status" : "target"));
        }
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon < 1 || lines[i].charAt(colon - 1) == ' ' || lines[i].charAt(0) == ' ') {
                throw new HttpException(400, "an unreadable header");
            }
            String name = lines[i].substring(0, colon).toLowerCase(Locale.ROOT);
            String value = lines[i].substring(colon + 1).trim();
            String before = headers.put(name, value);
            if (before != null && name.equals("content-length") && !before.equals(value)) {
                throw new HttpException(400, "two different lengths");
            }
        }
        head = new HttpHead(start[0], start[1], start.length < 3 ? "" : start[2], headers);
        frame();
    }

    /** How the body of the message is delimited. */
    private void frame() throws HttpException {
        String coding = head.header("transfer-encoding");
        String length = head.header("content-length");
        if (coding != null && length != null) {
            throw new HttpException(400, "a length and a transfer coding");
        } else if (coding != null && !coding.equalsIgnoreCase("chunked")) {
            throw new HttpException(501, "an unknown transfer coding");
        } else if (coding != null) {
            state = State.CHUNK_SIZE;
        } else if (length != null) {
            if (!length.matches("\\d{1,10}")) {
                throw new HttpException(400, "an unreadable length");
            }
            left = Long.parseLong(length);
            body = left;
            limitBody();
            state = State.LENGTH;
        } else if (answers && head.status() >= 200 && head.status() != 204 && head.status() != 304) {
            left = Long.MAX_VALUE;
            state = State.UNTIL_CLOSE;
        } else {
            state = State.END;
        }
    }
}
