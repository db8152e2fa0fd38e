package gorserill.contract;

import barrowflow.Dispatcher.Effect;
import gorserill.contract.Terms.Answers;
import gorserill.contract.read.Spot;
import gorserill.contract.read.Value.Kind;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Learns an operation's terms: from extensions first, then from the signs that specifications give, and from
 * its class. Whatever the description says, the class is a floor: the stricter of the two holds, and saying
 * the weaker is a fault.
 */
final class Learner {
    private static final String CLASS = "x-gorserill-class";
    private static final String EFFECT = "x-gorserill-effect";
    private static final String KEY = "x-gorserill-key";
    private static final String DEADLINE = "x-gorserill-deadline-ms";
    private static final String SLOTS = "x-gorserill-slots";
    private static final String ANSWERS = "x-gorserill-answers";
    private static final Set<String> WORDS = Set.of(CLASS, EFFECT, KEY, DEADLINE, SLOTS, ANSWERS);
    /** RFC 9110, 9.2.1. */
    private static final Set<String> SAFE = Set.of("GET", "HEAD", "OPTIONS", "TRACE");
    /** RFC 9110, 9.2.2, those that are not safe as well. */
    private static final Set<String> IDEMPOTENT = Set.of("PUT", "DELETE");

    private final Map<String, JobRule> rules;

    /** @param rules of the settings by class; null where there are no settings to go by */
    Learner(Map<String, JobRule> rules) {
        this.rules = rules;
    }

    /** Whether requests with this method ask for something to be done (RFC 9110, 9.2.1). */
    static boolean acts(String method) {
        return method == null || !SAFE.contains(method);
    }

    /** Tells of extensions that nobody reads: a misspelt one would be obeyed by nobody, in silence. */
    static void spelling(Spot spot) {
        for (String name : spot.value().members().keySet()) {
            if (name.startsWith("x-gorserill-") && !WORDS.contains(name)) {
                spot.raw(name)
                        .error(
                                "there is no extension '" + name + "'",
                                "use one of "
                                        + String.join(
                                                ", ", WORDS.stream().sorted().toList()));
            }
        }
    }

    /**
     * The terms of an operation.
     *
     * @param spots where extensions may stand, what goes first first
     * @param method null for a message
     * @param requiredKey place of a required Idempotency-Key parameter; null where there is none
     */
    Terms learn(List<Spot> spots, String method, String requiredKey) {
        Sourced<String> jobClass = jobClass(spots);
        JobRule rule = jobClass == null || rules == null ? null : rules.get(jobClass.value());
        Sourced<Effect> effect = effect(spots, method, requiredKey, rule);
        Sourced<Expression> key = key(spots, method, requiredKey, effect);
        return new Terms(jobClass, effect, key, deadline(spots, rule), slots(spots), answers(spots));
    }

    private static Spot first(List<Spot> spots, String name) {
        for (Spot spot : spots) {
            if (spot.raw(name) != null) {
                return spot.raw(name);
            }
        }
        return null;
    }

    private Sourced<String> jobClass(List<Spot> spots) {
        Spot at = first(spots, CLASS);
        if (at == null || !at.must(Kind.TEXT)) {
            return null;
        }
        String name = at.value().text();
        if (rules != null && !rules.containsKey(name)) {
            at.error(
                    "class '" + name + "' is not among the settings' " + rules.keySet(),
                    "name one of them, or add the class to the settings");
        }
        return new Sourced<>(name, at.id());
    }

    private Sourced<Effect> effect(List<Spot> spots, String method, String requiredKey, JobRule rule) {
        Sourced<Effect> said = said(spots, method, requiredKey);
        if (rule == null) {
            return said;
        }
        Sourced<Effect> floor = new Sourced<>(rule.effect(), "class " + rule.name() + " of the settings");
        if (said == null || said.value() == rule.effect()) {
            return said == null ? floor : said;
        }
        if (Effects.weaker(said.value(), rule.effect())) {
            Spot at = first(spots, EFFECT);
            (at == null ? spots.get(0) : at)
                    .error(
                            (at == null ? "by its method (" + said.source() + ") this is '" : "this says '")
                                    + Effects.word(said.value()) + "', but class " + rule.name() + " is '"
                                    + Effects.word(rule.effect())
                                    + "': its jobs would be repeated where they must not be",
                            at == null
                                    ? "describe it as POST, or bind it to another class"
                                    : "write " + EFFECT + ": " + Effects.word(rule.effect())
                                            + ", or bind it to another class");
            return floor;
        }
        return said;
    }

    /** What the description by itself says of the effect; null where it says nothing. */
    private static Sourced<Effect> said(List<Spot> spots, String method, String requiredKey) {
        Spot at = first(spots, EFFECT);
        if (at != null && at.must(Kind.TEXT)) {
            Effect effect = Effects.of(at.value().text());
            if (effect == null) {
                at.error("'" + at.value().text() + "' is no effect", "write safe, keyed or once");
                return null;
            }
            if (!Effects.weaker(effect, Effect.UNSAFE)
                    && method != null
                    && (SAFE.contains(method) || IDEMPOTENT.contains(method))) {
                at.warning(
                        method + " tells clients and whatever stands between that repeats are harmless"
                                + " (RFC 9110, 9.2.2), and some repeat by themselves",
                        "describe it as POST");
            }
            return new Sourced<>(effect, at.id());
        }
        if (requiredKey != null) {
            return new Sourced<>(Effect.KEYED, "required Idempotency-Key, " + requiredKey);
        }
        if (method != null && SAFE.contains(method)) {
            return new Sourced<>(Effect.SAFE, method + " is safe, RFC 9110, 9.2.1");
        }
        if (method != null && IDEMPOTENT.contains(method)) {
            return new Sourced<>(Effect.SAFE, method + " is idempotent, RFC 9110, 9.2.2");
        }
        return null;
    }

    private static Sourced<Expression> key(
            List<Spot> spots, String method, String requiredKey, Sourced<Effect> effect) {
        boolean http = method != null;
        Spot at = first(spots, KEY);
        if (at != null && at.must(Kind.TEXT)) {
            Expression expression = null;
            try {
                expression = Expression.parse(at.value().text());
            } catch (IllegalArgumentException e) {
                // Told below.
            }
            if (expression == null || expression.ofHttp() != http) {
                at.error(
                        "'" + at.value().text() + "' says nowhere in a request",
                        http
                                ? "write $request.header.NAME, $request.query.NAME or $request.body#/POINTER"
                                : "write $message.header#/POINTER or $message.payload#/POINTER");
                return null;
            }
            return new Sourced<>(expression, at.id());
        }
        if (requiredKey != null) {
            return new Sourced<>(Expression.IDEMPOTENCY_KEY, requiredKey);
        }
        if (effect != null && effect.value() == Effect.KEYED) {
            return new Sourced<>(
                    http ? Expression.IDEMPOTENCY_KEY : Expression.CUSTOM_KEY,
                    "where the front has it if nothing else is said");
        }
        return null;
    }

    private static Sourced<Long> deadline(List<Spot> spots, JobRule rule) {
        Spot at = first(spots, DEADLINE);
        long millis = at == null
                ? -1
                : spots.stream()
                        .filter(s -> s.raw(DEADLINE) != null)
                        .findFirst()
                        .orElseThrow()
                        .whole(DEADLINE);
        if (millis > 0 && (rule == null || millis * 1_000 <= rule.deadline())) {
            return new Sourced<>(millis * 1_000, at.id());
        } else if (millis > 0) {
            at.warning(
                    "class " + rule.name() + " ends its jobs after " + rule.deadline() / 1_000 + " ms",
                    "that holds; leave this out or write less");
        }
        return rule == null ? null : new Sourced<>(rule.deadline(), "class " + rule.name() + " of the settings");
    }

    private static Sourced<Double> slots(List<Spot> spots) {
        Spot at = first(spots, SLOTS);
        if (at == null || !at.must(Kind.NUMBER)) {
            return null;
        }
        double slots = Double.parseDouble(at.value().text());
        if (!(slots > 0 && slots < 1e6)) {
            at.error("'" + at.value().text() + "' is no number of slots", "write a number above 0");
            return null;
        }
        return new Sourced<>(slots, at.id());
    }

    private static Sourced<Answers> answers(List<Spot> spots) {
        Spot at = first(spots, ANSWERS);
        if (at == null || !at.must(Kind.TEXT)) {
            return new Sourced<>(Answers.OFF, "if nothing is said");
        }
        for (Answers one : Answers.values()) {
            if (one.name().toLowerCase(Locale.ROOT).equals(at.value().text())) {
                return new Sourced<>(one, at.id());
            }
        }
        at.error("'" + at.value().text() + "' is no way to treat answers", "write off, report or enforce");
        return new Sourced<>(Answers.OFF, at.id());
    }
}
