package gorserill.contract;

import gorserill.contract.Operation.Message;
import gorserill.contract.schema.Check;
import gorserill.contract.schema.SchemaComparison;
import gorserill.contract.schema.SchemaComparison.Direction;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * What changes for clients from one contract to another. Breaking is what turns away a request that was let
 * in, gives an answer that was not described, or repeats what was not repeated.
 */
public final class Comparison {
    /** What a change is about. */
    public enum Side {
        REQUEST,
        ANSWER,
        EFFECT
    }

    /**
     * A change.
     *
     * @param operation method and address, or a message's address
     * @param where the part of it; empty for the operation as a whole
     */
    public record Change(boolean breaking, Side side, String operation, String where, String what) {
        @Override
        public String toString() {
            return (breaking ? "breaking   " : "compatible ") + operation + (where.isEmpty() ? "" : ", " + where) + ": "
                    + what;
        }
    }

    private final List<Change> changes = new ArrayList<>();
    private String at = "";

    private Comparison() {}

    /** The changes from one to the other, in the order of the old description. */
    public static List<Change> compare(Contract before, Contract after) {
        Comparison comparison = new Comparison();
        Map<String, Operation> was = byName(before);
        Map<String, Operation> is = byName(after);
        was.forEach((name, operation) -> {
            comparison.at = name;
            if (is.containsKey(name)) {
                comparison.operation(operation, is.get(name));
            } else {
                comparison.add(true, Side.REQUEST, "", "is no longer described");
            }
        });
        is.forEach((name, operation) -> {
            if (!was.containsKey(name)) {
                comparison.at = name;
                comparison.add(false, Side.REQUEST, "", "is new");
            }
        });
        return List.copyOf(comparison.changes);
    }

    /** Names of path parameters mean nothing to a client. */
    private static Map<String, Operation> byName(Contract contract) {
        Map<String, Operation> byName = new LinkedHashMap<>();
        for (Operation operation : contract.operations()) {
            byName.put(
                    (operation.method() == null ? "message to " : operation.method() + " ")
                            + operation.address().replaceAll("\\{[^}]*\\}", "{}"),
                    operation);
        }
        return byName;
    }

    private void add(boolean breaking, Side side, String where, String what) {
        changes.add(new Change(breaking, side, at, where, what));
    }

    private void operation(Operation before, Operation after) {
        terms(before.terms(), after.terms());
        parameters(before, after);
        body(before, after);
        messages(before, after);
        answers(before, after);
    }

    private static <T> T value(Sourced<T> sourced) {
        return sourced == null ? null : sourced.value();
    }

    private void terms(Terms before, Terms after) {
        if (!Objects.equals(value(before.jobClass()), value(after.jobClass()))) {
            add(true, Side.EFFECT, "class", value(before.jobClass()) + " became " + value(after.jobClass()));
        }
        var was = value(before.effect());
        var is = value(after.effect());
        if (was != is) {
            // Where nothing is said, the class's own effect holds, which may be any.
            boolean weaker = was != null && (is == null || Effects.weaker(is, was));
            add(
                    weaker,
                    Side.EFFECT,
                    "effect",
                    (was == null ? "none said" : Effects.word(was)) + " became "
                            + (is == null ? "none said" : Effects.word(is)));
        }
        if (!Objects.equals(value(before.key()), value(after.key()))) {
            add(true, Side.EFFECT, "key", value(before.key()) + " became " + value(after.key()));
        }
        Long had = value(before.deadline());
        Long has = value(after.deadline());
        if (!Objects.equals(had, has)) {
            add(
                    has != null && (had == null || has < had),
                    Side.ANSWER,
                    "deadline",
                    millis(had) + " became " + millis(has));
        }
        if (!Objects.equals(value(before.slots()), value(after.slots()))) {
            add(false, Side.REQUEST, "slots", value(before.slots()) + " became " + value(after.slots()));
        }
    }

    private static String millis(Long micros) {
        return micros == null ? "the class's" : micros / 1_000 + " ms";
    }

    private void parameters(Operation before, Operation after) {
        Map<String, Parameter> was = byWhere(before);
        Map<String, Parameter> is = byWhere(after);
        was.forEach((where, parameter) -> {
            Parameter now = is.get(where);
            if (now == null) {
                add(false, Side.REQUEST, where, "is no longer described");
                return;
            }
            if (parameter.required() != now.required()) {
                add(now.required(), Side.REQUEST, where, now.required() ? "is now required" : "is no longer required");
            }
            if (parameter.style() != now.style()
                    || parameter.explode() != now.explode()
                    || parameter.json() != now.json()) {
                add(true, Side.REQUEST, where, "is written in another style");
            }
            schema(Side.REQUEST, where, parameter.check(), now.check());
        });
        is.forEach((where, parameter) -> {
            if (!was.containsKey(where)) {
                add(parameter.required(), Side.REQUEST, where, parameter.required() ? "is new and required" : "is new");
            }
        });
    }

    /** Path parameters by their place, since their names mean nothing. */
    private static Map<String, Parameter> byWhere(Operation operation) {
        Map<String, Parameter> byWhere = new LinkedHashMap<>();
        List<String> path = new ArrayList<>(Templates.inOrder(operation.address()));
        for (Parameter parameter : operation.parameters()) {
            byWhere.put(
                    parameter.in() == Parameter.In.PATH
                            ? "path parameter " + (1 + path.indexOf(parameter.name()))
                            : parameter.in() == Parameter.In.HEADER
                                    ? parameter.where().toLowerCase(java.util.Locale.ROOT)
                                    : parameter.where(),
                    parameter);
        }
        return byWhere;
    }

    private void schema(Side side, String where, Check before, Check after) {
        for (SchemaComparison.Change change : SchemaComparison.compare(before, after)) {
            boolean harmless = change.direction() == (side == Side.ANSWER ? Direction.NARROWER : Direction.WIDER);
            add(!harmless, side, where + (change.pointer().isEmpty() ? "" : " " + change.pointer()), change.what());
        }
    }

    private void body(Operation before, Operation after) {
        Content was = before.body();
        Content is = after.body();
        if (was == null && is == null) {
            return;
        } else if (was == null || is == null) {
            add(
                    is == null || after.bodyRequired(),
                    Side.REQUEST,
                    "body",
                    is == null ? "is no longer taken" : after.bodyRequired() ? "is new and required" : "is new");
            return;
        }
        if (before.bodyRequired() != after.bodyRequired()) {
            add(
                    after.bodyRequired(),
                    Side.REQUEST,
                    "body",
                    after.bodyRequired() ? "is now required" : "is no longer required");
        }
        content(Side.REQUEST, "body", was, is);
    }

    private void content(Side side, String where, Content before, Content after) {
        Set<MediaType> types = new LinkedHashSet<>(before.types().keySet());
        types.addAll(after.types().keySet());
        for (MediaType type : types) {
            boolean had = before.types().containsKey(type);
            boolean has = after.types().containsKey(type);
            if (had && has) {
                schema(
                        side,
                        where + " as " + type,
                        before.types().get(type),
                        after.types().get(type));
            } else {
                add(
                        has == (side == Side.ANSWER),
                        side,
                        where + " as " + type,
                        has ? "is new" : "is no longer described");
            }
        }
    }

    private void messages(Operation before, Operation after) {
        Map<String, Message> is = new LinkedHashMap<>();
        after.messages().forEach(message -> is.put(message.name(), message));
        Set<String> was = new LinkedHashSet<>();
        for (Message message : before.messages()) {
            was.add(message.name());
            Message now = is.get(message.name());
            String where = "message " + message.name();
            if (now == null) {
                add(true, Side.REQUEST, where, "is no longer taken");
                continue;
            }
            schema(Side.REQUEST, where, message.payload(), now.payload());
            for (int i = 0; i < Math.max(message.headers().size(), now.headers().size()); i++) {
                schema(
                        Side.REQUEST,
                        where + " headers",
                        i < message.headers().size() ? message.headers().get(i) : null,
                        i < now.headers().size() ? now.headers().get(i) : null);
            }
        }
        is.keySet().stream()
                .filter(name -> !was.contains(name))
                .forEach(name -> add(false, Side.REQUEST, "message " + name, "is new"));
    }

    private void answers(Operation before, Operation after) {
        before.answers().forEach((status, content) -> {
            if (after.answers().containsKey(status)) {
                content(
                        Side.ANSWER,
                        "answer " + status,
                        content,
                        after.answers().get(status));
            } else {
                add(false, Side.ANSWER, "answer " + status, "is no longer described");
            }
        });
        for (String status : after.answers().keySet()) {
            if (!before.answers().containsKey(status)) {
                boolean expected = before.answers().containsKey("default")
                        || before.answers().containsKey(status.charAt(0) + "XX");
                add(!expected, Side.ANSWER, "answer " + status, "is new");
            }
        }
    }
}
