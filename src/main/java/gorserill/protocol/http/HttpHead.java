package gorserill.protocol.http;

import java.util.Map;
import java.util.Set;

/**
 * The head of an HTTP message: the three parts of the start line, and the headers with their names in lower case.
 *
 * @param methodOrVersion the method of a request, or the version of a response
 * @param targetOrStatus the target of a request, or the status code of a response
 * @param versionOrReason the version of a request, or the reason phrase of a response
 * @param headers values by name; those of a repeated header are joined by commas (RFC 9110, section 5.3)
 * @param repeated names of the repeated headers
 */
public record HttpHead(
        String methodOrVersion,
        String targetOrStatus,
        String versionOrReason,
        Map<String, String> headers,
        Set<String> repeated) {
    /** Creates a head without repeated headers. */
    HttpHead(String methodOrVersion, String targetOrStatus, String versionOrReason, Map<String, String> headers) {
        this(methodOrVersion, targetOrStatus, versionOrReason, headers, Set.of());
    }

    public String header(String name) {
        return headers.get(name);
    }

    /** Whether the sender closes the connection after this message. */
    boolean closes() {
        String connection = headers.getOrDefault("connection", "").toLowerCase(java.util.Locale.ROOT);
        boolean http10 = methodOrVersion.equals("HTTP/1.0") || versionOrReason.equals("HTTP/1.0");
        return connection.contains("close") || http10 && !connection.contains("keep-alive");
    }

    /** Returns the status code of a response. */
    public int status() {
        return Integer.parseInt(targetOrStatus);
    }
}
