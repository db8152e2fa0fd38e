package gorserill.contract;

import java.util.Locale;

/**
 * A media type or range, without its parameters (RFC 9110, sections 8.3.1 and 12.5.1).
 *
 * @param type lower case; "*" for any
 * @param subtype lower case; "*" for any
 */
record MediaType(String type, String subtype) {
    /** Null where the text is none. */
    static MediaType parse(String text) {
        int end = text.indexOf(';');
        String plain = (end < 0 ? text : text.substring(0, end)).strip().toLowerCase(Locale.ROOT);
        int slash = plain.indexOf('/');
        return slash < 1 || slash == plain.length() - 1 || !plain.matches("[!#$%&'*+.^_`|~0-9a-z/-]+")
                ? null
                : new MediaType(plain.substring(0, slash), plain.substring(slash + 1));
    }

    /** How exactly this range holds another type: 0 for not at all, 3 for the same. */
    int holds(MediaType other) {
        if (type.equals("*")) {
            return 1;
        }
        return !type.equals(other.type) ? 0 : subtype.equals("*") ? 2 : subtype.equals(other.subtype) ? 3 : 0;
    }

    boolean json() {
        return subtype.equals("json") || subtype.endsWith("+json");
    }

    boolean form() {
        return type.equals("application") && subtype.equals("x-www-form-urlencoded");
    }

    /** Whether a body of it is a text by itself, or bytes, rather than something with parts. */
    boolean plain() {
        return type.equals("text") || type.equals("*") || subtype.equals("*") || subtype.equals("octet-stream");
    }

    @Override
    public String toString() {
        return type + "/" + subtype;
    }
}
