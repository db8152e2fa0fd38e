package gorserill.protocol.http;

import java.util.HashMap;
import java.util.Map;

/** The numeric parameters in a request's headers. */
final class JobHeaders {
    private final HttpHead head;
    private final Map<String, String> values = new HashMap<>();

    private JobHeaders(HttpHead head) {
        this.head = head;
    }

    /** @throws NumberFormatException if a value is malformed; so do the other methods */
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

    /** Returns the time that the client will wait, in microseconds, limited to the given maximum. */
    long remainingMicros(long maxMicros) {
        String millis = head.header("x-remaining-ms");
        if (millis == null) {
            return maxMicros;
        }
        // A value that overflows or is not positive would lead to an arbitrary deadline.
        int remainingMillis = Integer.parseInt(millis);
        if (remainingMillis <= 0) {
            throw new NumberFormatException("X-Remaining-Ms: " + millis);
        }
        return Math.min(maxMicros, remainingMillis * 1_000L);
    }

    /** Returns the estimated processing time in microseconds, or 0 if there is none. */
    long estimateMicros() {
        String micros = head.header("x-estimate");
        if (micros == null) {
            return 0;
        }
        // An estimate that overflows or is negative would distort the learned processing times.
        if (!micros.matches("[0-9]{1,12}")) {
            throw new NumberFormatException("X-Estimate: " + micros);
        }
        return Long.parseLong(micros);
    }

    /** Returns the entity key, or 0 if there is none. A key that is not a hexadecimal number is hashed. */
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

    /** Returns the number given under a name or its alias, or a default. */
    double number(String name, String alias, double defaultValue) {
        String value = values.getOrDefault(name, values.get(alias));
        double number = value == null ? defaultValue : Double.parseDouble(value);
        if (!(number >= 0 && number < 1e6)) {
            throw new NumberFormatException(name + "=" + value);
        }
        return number;
    }
}
