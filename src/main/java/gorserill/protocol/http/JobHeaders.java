package gorserill.protocol.http;

import java.util.HashMap;
import java.util.Map;

/** The figures in a request's headers. */
final class JobHeaders {
    private final HttpHead head;
    private final Map<String, String> values = new HashMap<>();

    private JobHeaders(HttpHead head) {
        this.head = head;
    }

    /** @throws NumberFormatException where one is unreadable, here as in the other methods */
    static JobHeaders of(HttpHead head) {
        JobHeaders labels = new JobHeaders(head);
        for (String label : head.headers().getOrDefault("x-labels", "").split(",")) {
            int equals = label.indexOf('=');
            if (equals > 0) {
                labels.values.put(
                        label.substring(0, equals).trim(),
                        label.substring(equals + 1).trim());
            }
        }
        return labels;
    }

    /** How long the client waits, in microseconds; no longer than its class allows. */
    long remainingMicros(long maxMicros) {
        String millis = head.header("x-remaining-ms");
        if (millis == null) {
            return maxMicros;
        }
        // Danger: a number that overflows, or is below zero, would make a deadline of any kind.
        int left = Integer.parseInt(millis);
        if (left <= 0) {
            throw new NumberFormatException("X-Remaining-Ms: " + millis);
        }
        return Math.min(maxMicros, left * 1_000L);
    }

    /** A guess at its work in microseconds, 0 for none. */
    long estimateMicros() {
        String micros = head.header("x-estimate");
        if (micros == null) {
            return 0;
        }
        // Danger: a guess that overflows, or is below zero, would be learned from.
        if (!micros.matches("[0-9]{1,12}")) {
            throw new NumberFormatException("X-Estimate: " + micros);
        }
        return Long.parseLong(micros);
    }

    /** What the request is about, 0 for nothing. A key that is no hexadecimal number is hashed. */
    long entityKey() {
        String entity = head.header("x-entity");
        if (entity == null || entity.isEmpty()) {
            return 0;
        }
        try {
            if (entity.charAt(0) != '+') {
                return Long.parseUnsignedLong(entity, 16);
            }
        } catch (NumberFormatException e) {
            // Hashed below.
        }
        long hash = 0;
        for (int i = 0; i < entity.length(); i++) {
            hash = 31 * hash + entity.charAt(i);
        }
        return hash;
    }

    /** A figure under its name or its other name. */
    double number(String name, String otherName, double otherwise) {
        String value = values.getOrDefault(name, values.get(otherName));
        double number = value == null ? otherwise : Double.parseDouble(value);
        if (!(number >= 0 && number < 1e6)) {
            throw new NumberFormatException(name + "=" + value);
        }
        return number;
    }
}
