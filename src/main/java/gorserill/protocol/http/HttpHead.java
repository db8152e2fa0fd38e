package gorserill.protocol.http;

import java.util.Map;
import java.util.Set;

/**
 * The first line of a message and its headers, their names in lower case.
 *
 * @param methodOrVersion method or version
 * @param targetOrStatus target or status
 * @param versionOrReason version or reason
 * @param headers one that came more than once has its values joined by commas (RFC 9110, 5.3)
 * @param repeated names of those that did
 */
public record HttpHead(
        String methodOrVersion,
        String targetOrStatus,
        String versionOrReason,
        Map<String, String> headers,
        Set<String> repeated) {
    /** A head in which no header comes twice. */
    HttpHead(String methodOrVersion, String targetOrStatus, String versionOrReason, Map<String, String> headers) {
        this(methodOrVersion, targetOrStatus, versionOrReason, headers, Set.of());
    }

    public String header(String name) {
        return headers.get(name);
    }

    /** Whether its sender ends the connection after this message. */
    boolean closes() {
        String connection = headers.getOrDefault("connection", "").toLowerCase(java.util.Locale.ROOT);
        boolean old = methodOrVersion.equals("HTTP/1.0") || versionOrReason.equals("HTTP/1.0");
        return connection.contains("close") || old && !connection.contains("keep-alive");
    }

    /** Of an answer. */
    public int status() {
        return Integer.parseInt(targetOrStatus);
    }
}
