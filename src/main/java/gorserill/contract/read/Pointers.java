package gorserill.contract.read;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/** JSON Pointers (RFC 6901), by themselves and as fragments of references. */
public final class Pointers {
    private Pointers() {}

    /** A name as part of a pointer. */
    public static String escape(String name) {
        return name.indexOf('~') < 0 && name.indexOf('/') < 0
                ? name
                : name.replace("~", "~0").replace("/", "~1");
    }

    /** A part of a pointer as a name. */
    public static String unescape(String part) {
        return part.indexOf('~') < 0 ? part : part.replace("~1", "/").replace("~0", "~");
    }

    /** The pointer that a reference's fragment holds, percent-encoded (RFC 6901, section 6). */
    static String ofFragment(String fragment) {
        try {
            return URLDecoder.decode(fragment.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return fragment;
        }
    }

    /** The value that a pointer names below another; null where there is none. */
    static Value find(Value root, String pointer) {
        Value at = root;
        if (pointer.isEmpty()) {
            return at;
        }
        for (String part : pointer.substring(1).split("/", -1)) {
            if (at.is(Value.Kind.LIST)) {
                int index = part.matches("0|[1-9][0-9]{0,7}") ? Integer.parseInt(part) : -1;
                at = index < 0 || index >= at.items().size() ? null : at.items().get(index);
            } else {
                at = at.get(unescape(part));
            }
            if (at == null) {
                return null;
            }
        }
        return at;
    }
}
