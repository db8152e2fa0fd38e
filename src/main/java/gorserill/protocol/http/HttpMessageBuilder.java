package gorserill.protocol.http;

import java.nio.charset.StandardCharsets;

/** Puts HTTP/1.1 messages together. */
final class HttpMessageBuilder {
    private final StringBuilder head = new StringBuilder(256);

    static HttpMessageBuilder response(int status) {
        HttpMessageBuilder writer = new HttpMessageBuilder();
        writer.head
                .append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(reasonPhrase(status))
                .append("\r\n");
        return writer;
    }

    static HttpMessageBuilder request(String method, String target, String host) {
        HttpMessageBuilder writer = new HttpMessageBuilder();
        writer.head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        return writer.header("Host", host);
    }

    /** A header; one whose value is null is left out. */
    HttpMessageBuilder header(String name, Object value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        return this;
    }

    /** The message, without a body. */
    byte[] bytes() {
        return ascii(head.append("\r\n").toString());
    }

    byte[] bytes(byte[] body) {
        byte[] start = header("Content-Length", body.length).bytes();
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static String reasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 413 -> "Content Too Large";
            case 415 -> "Unsupported Media Type";
            case 422 -> "Unprocessable Content";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 501 -> "Not Implemented";
            case 503 -> "Service Unavailable";
            default -> "Status";
        };
    }
}
