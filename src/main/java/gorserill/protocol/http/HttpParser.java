package gorserill.protocol.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Incremental parser of the HTTP/1.1 messages of one connection; input may be split at any byte. */
final class HttpParser {
    /** Result of a parsing step. */
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

    private static final int MAX_HEAD_BYTES = 16 * 1024;
    /** Fields of a request's head; each costs many times the memory of its shortest form on the wire. */
    private static final int MAX_HEADER_FIELDS = 256;
    /** Memory of a head, and of each field, beside their text. */
    private static final int HEAD_OVERHEAD_BYTES = 512;

    private static final int FIELD_OVERHEAD_BYTES = 160;
    private static final int IDLE_BUFFER_BYTES = 512;
    private static final int MAX_CHUNK_LINE_BYTES = 1024;
    private static final int MAX_LEADING_EMPTY_LINES = 8;
    /** Headers that must not be repeated: for framing, routing or the job it would be ambiguous which value applies. */
    private static final Set<String> NON_REPEATABLE_HEADERS = Set.of(
            "host",
            "transfer-encoding",
            "x-txn",
            "x-lane",
            "x-remaining-ms",
            "x-entity",
            "x-labels",
            "idempotency-key");

    private final boolean responses;
    private final int maxBodyBytes;
    private byte[] buffer = new byte[IDLE_BUFFER_BYTES];
    /** The unread input is {@code buffer[from]} to {@code buffer[to - 1]}. */
    private int from;

    private int to;
    private State state = State.HEAD;
    private HttpHead head;
    private int headMemoryBytes;
    private Set<String> repeated = Set.of();
    private String methodOrVersion;
    private String targetOrStatus;
    private String versionOrReason;
    private long remaining;
    private long bodyBytes;
    private byte[] data;
    /** Offset up to which no end of the head was found, so that a head received in pieces is not scanned again. */
    private int searchedUpTo;

    private int emptyLines;
    private int trailerBytes;

    /** @param responses whether to parse responses (true) or requests (false) */
    HttpParser(boolean responses, int maxBodyBytes) {
        this.responses = responses;
        this.maxBodyBytes = maxBodyBytes;
    }

    void feed(ByteBuffer in) {
        int added = in.remaining();
        if (to + added > buffer.length) {
            int kept = to - from;
            int larger = Math.max(kept + added, 2 * buffer.length);
            byte[] newBuffer = kept + added > buffer.length ? new byte[larger] : buffer;
            System.arraycopy(buffer, from, newBuffer, 0, kept);
            searchedUpTo = Math.max(0, searchedUpTo - from);
            buffer = newBuffer;
            from = 0;
            to = kept;
        }
        in.get(buffer, to, added);
        to += added;
    }

    HttpHead head() {
        return head;
    }

    /** Returns the head of the message that has ended, and lets go of it: the connection may rest from now on. */
    HttpHead takeHead() {
        HttpHead taken = head;
        head = null;
        headMemoryBytes = 0;
        return taken;
    }

    /** Memory of the head of the current message, in bytes. */
    int headMemoryBytes() {
        return headMemoryBytes;
    }

    /** Memory of what was received and not handed on yet, in bytes; 0 on a connection that rests. */
    int bufferedMemoryBytes() {
        return buffer.length > IDLE_BUFFER_BYTES ? buffer.length : to - from;
    }

    /** Releases a large buffer that is empty. */
    void trim() {
        if (from == to && buffer.length > IDLE_BUFFER_BYTES) {
            buffer = new byte[IDLE_BUFFER_BYTES];
            from = 0;
            to = 0;
            searchedUpTo = 0;
        }
    }

    /** Returns the part of the body that belongs to the last {@link Event#DATA}. */
    byte[] data() {
        return data;
    }

    /** Whether part of an incomplete message has been received. */
    boolean midMessage() {
        return state != State.HEAD || from < to;
    }

    Event next() throws HttpException {
        while (true) {
            switch (state) {
                case HEAD -> {
                    int end = findEndOfHead();
                    if (end < 0) {
                        return Event.NEED_MORE_INPUT;
                    }
                    parseHead(new String(buffer, from, end - from, StandardCharsets.ISO_8859_1));
                    from = end;
                    searchedUpTo = end;
                    emptyLines = 0;
                    trailerBytes = 0;
                    return Event.HEAD;
                }
                case LENGTH, CHUNK, UNTIL_CLOSE -> {
                    if (remaining == 0) {
                        state = state == State.CHUNK ? State.CHUNK_END : State.END;
                    } else if (from == to) {
                        return Event.NEED_MORE_INPUT;
                    } else {
                        readData();
                        return Event.DATA;
                    }
                }
                case CHUNK_SIZE -> {
                    String line = readLine();
                    if (line == null) {
                        return Event.NEED_MORE_INPUT;
                    }
                    remaining = parseChunkSize(line);
                    bodyBytes += remaining;
                    checkBodySize();
                    state = remaining == 0 ? State.TRAILER : State.CHUNK;
                }
                case CHUNK_END -> {
                    String line = readLine();
                    if (line == null) {
                        return Event.NEED_MORE_INPUT;
                    }
                    if (!line.isEmpty()) {
                        throw new HttpException(400, "a chunk longer than it says");
                    }
                    state = State.CHUNK_SIZE;
                }
                case TRAILER -> {
                    String line = readLine();
                    if (line == null) {
                        return Event.NEED_MORE_INPUT;
                    }
                    trailerBytes += line.length() + 2;
                    if (trailerBytes > MAX_HEAD_BYTES) {
                        throw new HttpException(431, "a trailer of more than " + MAX_HEAD_BYTES + " bytes");
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

    private void readData() {
        int length = (int) Math.min(remaining, to - from);
        data = Arrays.copyOfRange(buffer, from, from + length);
        from += length;
        remaining -= length;
    }

    private int findEndOfHead() throws HttpException {
        // Empty lines before a request are ignored (RFC 9112, section 2.2), up to a limit.
        while (!responses && to - from >= 2 && buffer[from] == '\r' && buffer[from + 1] == '\n') {
            from += 2;
            if (++emptyLines > MAX_LEADING_EMPTY_LINES) {
                throw new HttpException(400, "nothing but empty lines");
            }
        }
        for (int i = Math.max(from, searchedUpTo - 3); i + 3 < to; i++) {
            if (buffer[i] == '\r' && buffer[i + 1] == '\n' && buffer[i + 2] == '\r' && buffer[i + 3] == '\n') {
                checkHeadSize(i + 4 - from);
                return i + 4;
            }
        }
        searchedUpTo = to;
        checkHeadSize(to - from);
        return -1;
    }

    private static void checkHeadSize(int length) throws HttpException {
        if (length > MAX_HEAD_BYTES) {
            throw new HttpException(431, "headers of more than " + MAX_HEAD_BYTES + " bytes");
        }
    }

    private String readLine() throws HttpException {
        for (int i = from; i + 1 < to; i++) {
            if (buffer[i] == '\r' && buffer[i + 1] == '\n') {
                String line = new String(buffer, from, i - from, StandardCharsets.ISO_8859_1);
                from = i + 2;
                return line;
            }
        }
        if (to - from > MAX_CHUNK_LINE_BYTES) {
            throw new HttpException(400, "a chunk header of more than " + MAX_CHUNK_LINE_BYTES + " bytes");
        }
        return null;
    }

    private static long parseChunkSize(String line) throws HttpException {
        int end = line.indexOf(';');
        String size = (end < 0 ? line : line.substring(0, end)).trim();
        if (size.isEmpty() || size.length() > 8 || !size.chars().allMatch(c -> Character.digit(c, 16) >= 0)) {
            throw new HttpException(400, "a chunk of no readable size");
        }
        return Long.parseLong(size, 16);
    }

    private void checkBodySize() throws HttpException {
        if (bodyBytes > maxBodyBytes) {
            throw new HttpException(413, "a body of more than " + maxBodyBytes + " bytes");
        }
    }

    private void parseHead(String text) throws HttpException {
        int end = text.indexOf("\r\n");
        parseStartLine(text.substring(0, end));
        Map<String, String> headers = new HashMap<>();
        int fields = 0;
        for (int from = end + 2; from + 2 < text.length(); from = end + 2) {
            if (++fields > MAX_HEADER_FIELDS && !responses) {
                throw new HttpException(431, "more than " + MAX_HEADER_FIELDS + " header fields");
            }
            end = text.indexOf("\r\n", from);
            parseHeader(text, from, end, headers);
        }
        headMemoryBytes = HEAD_OVERHEAD_BYTES + text.length() + FIELD_OVERHEAD_BYTES * fields;
        head = new HttpHead(methodOrVersion, targetOrStatus, versionOrReason, headers, repeated);
        repeated = Set.of();
        determineFraming();
    }

    private void parseStartLine(String line) throws HttpException {
        checkText(line, 0, line.length());
        int firstSpace = line.indexOf(' ');
        int secondSpace = line.indexOf(' ', firstSpace + 1);
        methodOrVersion = firstSpace < 0 ? line : line.substring(0, firstSpace);
        targetOrStatus =
                firstSpace < 0 ? "" : line.substring(firstSpace + 1, secondSpace < 0 ? line.length() : secondSpace);
        versionOrReason = secondSpace < 0 ? "" : line.substring(secondSpace + 1);
        String version = responses ? methodOrVersion : versionOrReason;
        if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            throw new HttpException(400, "not an HTTP/1.1 message");
        }
        boolean readable = responses
                ? isDigits(targetOrStatus, 3, 3) && targetOrStatus.charAt(0) >= '1' && targetOrStatus.charAt(0) <= '5'
                : isToken(methodOrVersion, 0, methodOrVersion.length())
                        && (targetOrStatus.startsWith("/") || targetOrStatus.equals("*"));
        if (!readable) {
            throw new HttpException(400, "an unreadable " + (responses ? "status" : "target"));
        }
    }

    private void parseHeader(String text, int from, int end, Map<String, String> headers) throws HttpException {
        int colon = text.indexOf(':', from);
        // A name that other implementations read differently, such as one with a space before the colon, could
        // hide the length of the body and smuggle a second request in it.
        if (colon < 0 || colon > end || !isToken(text, from, colon)) {
            throw new HttpException(400, "an unreadable header");
        }
        checkText(text, colon + 1, end);
        String name = text.substring(from, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1, end).trim();
        String previous = headers.put(name, value);
        if (previous != null && name.equals("content-length") && !previous.equals(value)) {
            throw new HttpException(400, "two different lengths");
        } else if (previous != null && !responses && NON_REPEATABLE_HEADERS.contains(name)) {
            throw new HttpException(400, "header " + name + " comes twice");
        } else if (previous != null) {
            headers.put(name, name.equals("content-length") ? value : previous + ", " + value);
            repeated = repeated.isEmpty() ? new HashSet<>() : repeated;
            repeated.add(name);
        }
    }

    /** Rejects control characters: values are forwarded to workers, where a lone line end would start a new header. */
    private static void checkText(String text, int from, int end) throws HttpException {
        for (int i = from; i < end; i++) {
            char c = text.charAt(i);
            if (c < ' ' && c != '\t' || c == 127) {
                throw new HttpException(400, "control characters in the headers");
            }
        }
    }

    private static boolean isToken(String text, int from, int end) {
        for (int i = from; i < end; i++) {
            char c = text.charAt(i);
            boolean letter = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
            if (!letter && "!#$%&'*+-.^_`|~".indexOf(c) < 0) {
                return false;
            }
        }
        return from < end;
    }

    private static boolean isDigits(String text, int minLength, int maxLength) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return text.length() >= minLength && text.length() <= maxLength;
    }

    /** Determines how the body of the message is delimited. */
    private void determineFraming() throws HttpException {
        String coding = head.header("transfer-encoding");
        String length = head.header("content-length");
        if (coding != null && length != null) {
            throw new HttpException(400, "a length and a transfer coding");
        } else if (coding != null && !coding.equalsIgnoreCase("chunked")) {
            throw new HttpException(501, "an unknown transfer coding");
        } else if (coding != null) {
            state = State.CHUNK_SIZE;
        } else if (length != null) {
            if (!isDigits(length, 1, 10)) {
                throw new HttpException(400, "an unreadable length");
            }
            remaining = Long.parseLong(length);
            bodyBytes = remaining;
            checkBodySize();
            state = State.LENGTH;
        } else if (responses && head.status() >= 200 && head.status() != 204 && head.status() != 304) {
            remaining = Long.MAX_VALUE;
            state = State.UNTIL_CLOSE;
        } else {
            state = State.END;
        }
    }
}
