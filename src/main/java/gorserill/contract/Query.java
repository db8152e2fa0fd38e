package gorserill.contract;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A query as names and values (WHATWG URL, application/x-www-form-urlencoded parsing). */
final class Query {
    private Query() {}

    /** Names decoded, values as they stand: a style's delimiters must be found before decoding. */
    static Map<String, List<String>> parse(String raw) {
        Map<String, List<String>> pairs = new LinkedHashMap<>();
        if (raw == null || raw.isEmpty()) {
            return pairs;
        }
        for (String pair : raw.split("&")) {
            int equals = pair.indexOf('=');
            String name = Segments.decode(equals < 0 ? pair : pair.substring(0, equals), true);
            if (name != null && !pair.isEmpty()) {
                pairs.computeIfAbsent(name, n -> new ArrayList<>(1)).add(equals < 0 ? "" : pair.substring(equals + 1));
            }
        }
        return pairs;
    }
}
