package gorserill.contract;

import barrowflow.Dispatcher.Effect;
import com.fasterxml.jackson.databind.JsonNode;
import gorserill.contract.Operation.Message;
import gorserill.contract.Parameter.Mismatch;
import gorserill.contract.Templates.Match;
import gorserill.contract.schema.Check;
import gorserill.contract.schema.Check.Unreadable;
import gorserill.contract.schema.Violation;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Decides of each request whether its contract lets it in. What it looks at first decides what its client
 * hears: path, method, size, media type, parameters, body, key. One thread uses it at a time.
 */
public final class Door {
    /**
     * Danger: a key becomes a header on its way to a worker, where a line end would start another. A header
     * that
     * comes twice has a blank in it, so it is no key either.
     */
    private static final Pattern KEY = Pattern.compile("[!-~]{1,128}");

    private static final String NO_OPERATION = "No such operation";
    private static final String BAD_REQUEST = "Request not as described";

    private Door() {}

    /**
     * Holds a request of HTTP against a contract of OpenAPI.
     *
     * @param mostBytes that a body may have
     */
    public static Verdict decide(Contract contract, Call call, int mostBytes) {
        Match<Map<String, Operation>> match = contract.find(call.path());
        if (match == null) {
            return Verdict.turnedAway(
                    null, Problem.of(404, NO_OPERATION, "no operation is described at " + call.path(), null));
        }
        Operation operation = match.leaf().get(call.method());
        if (operation == null) {
            TreeSet<String> allow = new TreeSet<>(match.leaf().keySet());
            return Verdict.turnedAway(
                    null,
                    new Problem(
                            405,
                            "Method not described",
                            match.template() + " is described for " + String.join(", ", allow) + " only",
                            null,
                            allow));
        }
        if (call.body().length > mostBytes) {
            return Verdict.turnedAway(
                    operation,
                    Problem.of(413, "Body too large", "the body has more than " + mostBytes + " bytes", null));
        }
        JsonNode value = null;
        try {
            MediaType range = media(operation, call);
            Map<String, List<String>> query = Query.parse(call.query());
            for (Parameter parameter : operation.parameters()) {
                try {
                    parameter.check(call, match.values(), query);
                } catch (Mismatch e) {
                    throw new TurnedAway(
                            Problem.of(422, BAD_REQUEST, parameter.where() + " " + e.getMessage(), parameter.where()));
                }
            }
            value = range == null ? null : body(operation, call, range);
            return Verdict.admitted(operation, key(operation, call, query, value));
        } catch (TurnedAway e) {
            return Verdict.turnedAway(operation, e.problem);
        }
    }

    /**
     * Holds a message against a contract of AsyncAPI.
     *
     * @param address of the channel, or the queue's name
     * @param name of the message, if the wire tells one: the description's message of that name is meant then
     * @param headers null where the wire has none
     */
    public static Verdict decide(Contract contract, String address, String name, JsonNode headers, JsonNode payload) {
        Match<Map<String, Operation>> match = contract.find(address);
        if (match == null) {
            return Verdict.turnedAway(
                    null, Problem.of(404, NO_OPERATION, "no channel is described at " + address, null));
        }
        Operation operation = match.leaf().get("");
        try {
            for (Parameter parameter : operation.parameters()) {
                try {
                    parameter.check(null, match.values(), Map.of());
                } catch (Mismatch e) {
                    throw new TurnedAway(
                            Problem.of(422, BAD_REQUEST, parameter.where() + " " + e.getMessage(), parameter.where()));
                }
            }
            message(operation, name, headers, payload);
            Sourced<Expression> from = operation.terms().key();
            return Verdict.admitted(
                    operation,
                    from == null
                            ? null
                            : lawful(
                                    operation,
                                    from.value(),
                                    from.value()
                                            .in(
                                                    from.value().from() == Expression.From.MESSAGE_HEADER
                                                            ? headers
                                                            : payload)));
        } catch (TurnedAway e) {
            return Verdict.turnedAway(operation, e.problem);
        }
    }

    private static final class TurnedAway extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient Problem problem;

        TurnedAway(Problem problem) {
            super(problem.title(), null, false, false);
            this.problem = problem;
        }
    }

    /** The described range that a body is of; null where there is no body. */
    private static MediaType media(Operation operation, Call call) throws TurnedAway {
        String told = call.header("content-type");
        if (call.body().length == 0) {
            if (operation.bodyRequired()) {
                throw new TurnedAway(Problem.of(422, BAD_REQUEST, "a body is required and missing", ""));
            }
            return null;
        } else if (operation.body() == null) {
            throw new TurnedAway(Problem.of(422, BAD_REQUEST, "a body comes where none is described", ""));
        }
        // Without a word the body is bytes (RFC 9110, 8.3).
        MediaType type = told == null ? new MediaType("application", "octet-stream") : MediaType.parse(told);
        MediaType range = type == null ? null : operation.body().range(type);
        if (range == null) {
            throw new TurnedAway(Problem.of(
                    415,
                    "Media type not described",
                    (told == null ? "no Content-Type is told" : "'" + told + "' is not described") + "; "
                            + operation.body().types().keySet() + " can be sent",
                    "header Content-Type"));
        }
        return range;
    }

    private static JsonNode body(Operation operation, Call call, MediaType range) throws TurnedAway {
        try {
            JsonNode value = Content.read(operation.body().readAs(range, call.header("content-type")), call.body());
            Violation violation = operation.body().violation(range, value);
            if (violation != null) {
                throw new TurnedAway(
                        Problem.of(422, BAD_REQUEST, "the body " + at(violation), "#" + violation.pointer()));
            }
            return value;
        } catch (Unreadable e) {
            throw new TurnedAway(Problem.of(422, BAD_REQUEST, "the body " + e.getMessage(), "#"));
        }
    }

    private static String at(Violation violation) {
        return (violation.pointer().isEmpty() ? "" : "at " + violation.pointer() + ": ") + violation.what();
    }

    private static String key(Operation operation, Call call, Map<String, List<String>> query, JsonNode value)
            throws TurnedAway {
        Sourced<Expression> from = operation.terms().key();
        if (from == null) {
            return null;
        }
        String key =
                switch (from.value().from()) {
                    case HEADER -> call.header(from.value().name());
                    case QUERY -> {
                        List<String> values = query.getOrDefault(from.value().name(), List.of());
                        yield values.size() == 1 ? Segments.decode(values.get(0), true) : null;
                    }
                    default -> from.value().in(value);
                };
        return lawful(operation, from.value(), key);
    }

    private static String lawful(Operation operation, Expression from, String key) throws TurnedAway {
        boolean keyed =
                operation.terms().effect() != null && operation.terms().effect().value() == Effect.KEYED;
        if (key == null && !keyed) {
            return null;
        }
        if (key == null || !KEY.matcher(key).matches()) {
            throw new TurnedAway(Problem.of(
                    422,
                    "Key missing or not usable",
                    "the key at " + from
                            + (key == null
                                    ? " is missing"
                                    : " must be 1 to 128 printable characters of ASCII, without spaces"),
                    from.inValue() ? "#" + from.pointer() : from.toString()));
        }
        return key;
    }

    // ---- messages ----

    /** It must be the message of its name, or, if none has that name, any one of those described. */
    private static void message(Operation operation, String name, JsonNode headers, JsonNode payload)
            throws TurnedAway {
        List<Message> candidates =
                operation.messages().stream().filter(m -> m.name().equals(name)).toList();
        if (candidates.isEmpty()) {
            candidates = operation.messages();
        }
        Problem first = null;
        for (Message message : candidates) {
            Problem problem = problem(message, headers, payload);
            if (problem == null) {
                return;
            }
            first = first == null ? problem : first;
        }
        if (first != null) {
            throw new TurnedAway(first);
        }
    }

    private static Problem problem(Message message, JsonNode headers, JsonNode payload) {
        for (Check check : message.headers()) {
            Violation violation = check.violation(
                    headers == null
                            ? com.fasterxml.jackson.databind.node.JsonNodeFactory.instance.objectNode()
                            : headers);
            if (violation != null) {
                return Problem.of(
                        422,
                        BAD_REQUEST,
                        "message " + message.name() + ", headers " + at(violation),
                        "header#" + violation.pointer());
            }
        }
        Violation violation =
                message.payload() == null ? null : message.payload().violation(payload);
        return violation == null
                ? null
                : Problem.of(
                        422, BAD_REQUEST, "message " + message.name() + " " + at(violation), "#" + violation.pointer());
    }

    // ---- answers ----

    /**
     * How a worker's answer fails what its operation describes for a request that was served; null where it
     * does not, or where nothing is described. An answer has no media type of its own: any described one may
     * fit.
     */
    public static String fault(Operation operation, byte[] answer) {
        Content content = operation.servedContent();
        if (content == null || content.types().isEmpty()) {
            return null;
        }
        String first = null;
        for (MediaType type : content.types().keySet()) {
            String fault = fault(content, type, answer);
            if (fault == null) {
                return null;
            }
            first = first == null ? fault : first;
        }
        return first;
    }

    private static String fault(Content content, MediaType type, byte[] answer) {
        try {
            Violation violation = content.violation(type, Content.read(type, answer));
            return violation == null ? null : type + ": " + at(violation);
        } catch (Unreadable e) {
            return type + ": " + e.getMessage();
        }
    }
}
