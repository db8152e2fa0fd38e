package gorserill.contract;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/**
 * Why a request is not let in, in the terms of RFC 9457.
 *
 * @param status of HTTP: 404, 405, 413, 415 or 422
 * @param title the same for all problems of a kind
 * @param detail what is wrong with this one
 * @param pointer which part of the request is meant: a JSON Pointer into the body, {@code header NAME},
 *     {@code query NAME}, {@code path NAME} or {@code cookie NAME}; null for the request as a whole
 * @param allow methods that the path has, with 405; else empty
 */
public record Problem(int status, String title, String detail, String pointer, Set<String> allow) {
    public static final String MEDIA_TYPE = "application/problem+json";

    static Problem of(int status, String title, String detail, String pointer) {
        return new Problem(status, title, detail, pointer, Set.of());
    }

    /** A problem that no description knows of, such as a broken request. */
    public static Problem of(int status, String title, String detail) {
        return of(status, title, detail, null);
    }

    /** It is described, but nothing is done by it here. */
    public static Problem unbound(String what) {
        return of(404, "Operation not served here", what + " is described, but bound to no class of jobs", null);
    }

    /** The problem details object (RFC 9457, section 3.1). */
    public byte[] json() {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        object.put("type", "about:blank")
                .put("title", title)
                .put("status", status)
                .put("detail", detail);
        if (pointer != null) {
            object.putArray("errors").addObject().put("detail", detail).put("pointer", pointer);
        }
        return object.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** The same on one line of printable characters, for wires whose errors are a line. */
    public String line() {
        String text = title + (pointer == null ? "" : " at " + pointer) + ": " + detail;
        return text.replaceAll("[^ -~]", "?");
    }
}
