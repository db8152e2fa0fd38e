package gorserill.protocol.http;

import java.nio.charset.StandardCharsets;

/** Builds HTTP/1.1 requests and responses. */
final class HttpMessageBuilder {
    private final StringBuilder head = new StringBuilder(256);

    static HttpMessageBuilder response(int status) {
        HttpMessageBuilder builder = new HttpMessageBuilder();
        builder.head
                .append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(reasonPhrase(status))
                .append("\r\n");
        return builder;
    }

    static HttpMessageBuilder request(String method, String target, String host) {
        HttpMessageBuilder builder = new HttpMessageBuilder();
        builder.head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        return builder.header("Host", host);
    }

    /** Adds a header unless its value is null. */
    HttpMessageBuilder header(String name, Object value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        return this;
    }

    /** Returns the message without a body. */
    byte[] bytes() {
        return ascii(head.append("\r\n").toString());
    }

    byte[] bytes(byte[] body) {
        byte[] encodedHead = header("Content-Length", body.length).bytes();
        byte[] message = new byte[encodedHead.length + body.length];
        System.arraycopy(encodedHead, 0, message, 0, encodedHead.length);
        System.arraycopy(body, 0, message, encodedHead.length, body.length);
        return message;
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
