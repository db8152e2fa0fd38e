package gorserill.cluster.lab;

import java.nio.charset.StandardCharsets;

/** The purpose of a message between members, by which the traffic figures are broken down. */
public enum MessageKind {
    RENEWAL,
    VIEW,
    BUDGET_REQUEST,
    CLAIM,
    CLAIM_END,
    OTHER_REQUEST,
    ANSWER,
    LOG_APPEND,
    LOG_APPENDED,
    LOG_OTHER,
    RELAYED,
    /** A non-leading voter's reply that names the leader, and any message of no other kind. */
    OTHER;

    /** Length of the prefix that identifies the kind; members write the identifying fields first. */
    private static final int PREFIX_BYTES = 256;

    /** Returns the kind of an encoded message; {@link #OTHER} if it is not recognized. */
    public static MessageKind of(byte[] message) {
        String prefix = new String(message, 0, Math.min(PREFIX_BYTES, message.length), StandardCharsets.ISO_8859_1);
        return switch (lettersAfter(prefix, "{\"kind\":\"")) {
            case "renew" -> RENEWAL;
            case "view" -> VIEW;
            case "told" -> ANSWER;
            case "by" -> RELAYED;
            case "ask" -> requestKind(lettersAfter(prefix, "{\\\"do\\\":\\\""));
            case "raft" -> logKind(lettersAfter(prefix, "\"is\":\""));
            default -> OTHER;
        };
    }

    private static MessageKind requestKind(String entry) {
        return switch (entry) {
            case "say" -> BUDGET_REQUEST;
            case "claim" -> CLAIM;
            case "done" -> CLAIM_END;
            default -> OTHER_REQUEST;
        };
    }

    private static MessageKind logKind(String operation) {
        return switch (operation) {
            case "append" -> LOG_APPEND;
            case "appended" -> LOG_APPENDED;
            default -> LOG_OTHER;
        };
    }

    /** Returns the letters and underscores that follow a marker; empty if the marker does not occur. */
    private static String lettersAfter(String prefix, String marker) {
        int at = prefix.indexOf(marker);
        int from = at + marker.length();
        int to = from;
        while (at >= 0 && to < prefix.length() && (Character.isLetter(prefix.charAt(to)) || prefix.charAt(to) == '_')) {
            to++;
        }
        return at < 0 ? "" : prefix.substring(from, to);
    }
}
