package gorserill.protocol.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Takes HTTP/1.1 messages of one connection apart, however their bytes come cut up. */
final class HttpParser {
    /** What was made out. */
    enum Event {
        NEED_MORE_INPUT,
        HEAD,
        DATA,
        END
    }

    private enum State {
        HEAD,
        LENGTH,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        UNTIL_CLOSE,
        END
    }

    private static final int MAX_HEAD = 16 * 1024;
    private static final int MAX_LINE = 1024;
    private static final int MAX_EMPTY_LINES = 8;
    /** Headers whose repetition would leave open which one holds: for framing, for routing, for the job. */
    private static final Set<String> SINGLE = Set.of(
            "host",
            "transfer-encoding",
            "x-txn",
            "x-lane",
            "x-remaining-ms",
            "x-entity",
            "x-labels",
            "idempotency-key");

    private final boolean answers;
    private final int maxBody;
    private byte[] bytes = new byte[512];
    private int from;
    private int to;
    private State state = State.HEAD;
    private HttpHead head;
    private Set<String> repeated = Set.of();
    private String methodOrVersion;
    private String targetOrStatus;
    private String versionOrReason;
    private long left;
    private long body;
    private byte[] data;
    /** No end of the head was found before this place: a head that comes bit by bit is not read again. */
    private int searched;

    private int emptyLines;
    private int trailer;

    /** @param answers whether it reads answers; else requests */
    HttpParser(boolean answers, int maxBody) {
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
            searched = Math.max(0, searched - from);
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

    Event next() throws HttpException {
        while (true) {
            switch (state) {
                case HEAD -> {
                    int end = endOfHead();
                    if (end < 0) {
                        return Event.NEED_MORE_INPUT;
                    }
                    parseHead(new String(bytes, from, end - from, StandardCharsets.ISO_8859_1));
                    from = end;
                    searched = end;
                    emptyLines = 0;
                    trailer = 0;
                    return Event.HEAD;
                }
                case LENGTH, CHUNK, UNTIL_CLOSE -> {
                    if (left == 0) {
                        state = state == State.CHUNK ? State.CHUNK_END : State.END;
                    } else if (from == to) {
                        return Event.NEED_MORE_INPUT;
                    } else {
                        takeData();
                        return Event.DATA;
                    }
                }
                case CHUNK_SIZE -> {
                    String line = line();
                    if (line == null) {
                        return Event.NEED_MORE_INPUT;
                    }
                    left = chunkSize(line);
                    body += left;
                    limitBody();
                    state = left == 0 ? State.TRAILER : State.CHUNK;
                }
                case CHUNK_END -> {
                    String line = line();
                    if (line == null) {
                        return Event.NEED_MORE_INPUT;
                    }
                    if (!line.isEmpty()) {
                        throw new HttpException(400, "a chunk longer than it says");
                    }
                    state = State.CHUNK_SIZE;
                }
                case TRAILER -> {
                    String line = line();
                    if (line == null) {
                        return Event.NEED_MORE_INPUT;
                    }
                    trailer += line.length() + 2;
                    if (trailer > MAX_HEAD) {
                        throw new HttpException(431, "a trailer of more than " + MAX_HEAD + " bytes");
                    }
                    state = line.isEmpty() ? State.END : State.TRAILER;
                }
                default -> {
                    state = State.HEAD;
                    return Event.END;
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
        // An empty line before a request is to be overlooked (RFC 9112, 2.2), but not lines without end.
        while (!answers && to - from >= 2 && bytes[from] == '\r' && bytes[from + 1] == '\n') {
            from += 2;
            if (++emptyLines > MAX_EMPTY_LINES) {
                throw new HttpException(400, "nothing but empty lines");
            }
        }
        for (int i = Math.max(from, searched - 3); i + 3 < to; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n' && bytes[i + 2] == '\r' && bytes[i + 3] == '\n') {
                limitHead(i + 4 - from);
                return i + 4;
            }
        }
        searched = to;
        limitHead(to - from);
        return -1;
    }

    private static void limitHead(int length) throws HttpException {
        if (length > MAX_HEAD) {
            throw new HttpException(431, "headers of more than " + MAX_HEAD + " bytes");
        }
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
        int end = text.indexOf("\r\n");
        startLine(text.substring(0, end));
        Map<String, String> headers = new HashMap<>();
        for (int from = end + 2; from + 2 < text.length(); from = end + 2) {
            end = text.indexOf("\r\n", from);
            header(text, from, end, headers);
        }
        head = new HttpHead(methodOrVersion, targetOrStatus, versionOrReason, headers, repeated);
        repeated = Set.of();
        frame();
    }

    private void startLine(String line) throws HttpException {
        checkText(line, 0, line.length());
        int one = line.indexOf(' ');
        int two = line.indexOf(' ', one + 1);
        methodOrVersion = one < 0 ? line : line.substring(0, one);
        targetOrStatus = one < 0 ? "" : line.substring(one + 1, two < 0 ? line.length() : two);
        versionOrReason = two < 0 ? "" : line.substring(two + 1);
        String version = answers ? methodOrVersion : versionOrReason;
        if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            throw new HttpException(400, "not an HTTP/1.1 message");
        }
        boolean readable = answers
                ? digits(targetOrStatus, 3, 3) && targetOrStatus.charAt(0) >= '1' && targetOrStatus.charAt(0) <= '5'
                : token(methodOrVersion, 0, methodOrVersion.length())
                        && (targetOrStatus.startsWith("/") || targetOrStatus.equals("*"));
        if (!readable) {
            throw new HttpException(400, "an unreadable " + (answers ? "status" : "target"));
        }
    }

    private void header(String text, int from, int end, Map<String, String> headers) throws HttpException {
        int colon = text.indexOf(':', from);
        // Danger: a name that another program would read otherwise, say one with a blank before its colon,
        // can hide how long the body is, and a second request in it.
        if (colon < 0 || colon > end || !token(text, from, colon)) {
            throw new HttpException(400, "an unreadable header");
        }
        checkText(text, colon + 1, end);
        String name = text.substring(from, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1, end).trim();
        String before = headers.put(name, value);
        if (before != null && name.equals("content-length") && !before.equals(value)) {
            throw new HttpException(400, "two different lengths");
        } else if (before != null && !answers && SINGLE.contains(name)) {
            throw new HttpException(400, "header " + name + " comes twice");
        } else if (before != null) {
            headers.put(name, name.equals("content-length") ? value : before + ", " + value);
            repeated = repeated.isEmpty() ? new HashSet<>() : repeated;
            repeated.add(name);
        }
    }

    /** Danger: values are passed on to workers, where a lone line end would start a header of its own. */
    private static void checkText(String text, int from, int end) throws HttpException {
        for (int i = from; i < end; i++) {
            char c = text.charAt(i);
            if (c < ' ' && c != '\t' || c == 127) {
                throw new HttpException(400, "control characters in the headers");
            }
        }
    }

    private static boolean token(String text, int from, int end) {
        for (int i = from; i < end; i++) {
            char c = text.charAt(i);
            boolean letter = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
            if (!letter && "!#$%&'*+-.^_`|~".indexOf(c) < 0) {
                return false;
            }
        }
        return from < end;
    }

    private static boolean digits(String text, int least, int most) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return text.length() >= least && text.length() <= most;
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
            if (!digits(length, 1, 10)) {
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
