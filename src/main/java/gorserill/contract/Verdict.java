package gorserill.contract;

import barrowflow.Dispatcher.Effect;

/**
 * What a contract says of a request: let in, with what was learned of it, or turned away.
 *
 * @param operation that it is for; null where it is for none
 * @param key that its repeats are told by; null where it has none
 * @param problem why it is turned away; null where it is let in
 */
public record Verdict(Operation operation, String key, Problem problem) {
    static Verdict admitted(Operation operation, String key) {
        return new Verdict(operation, key, null);
    }

    static Verdict turnedAway(Operation operation, Problem problem) {
        return new Verdict(operation, null, problem);
    }

    public boolean letIn() {
        return problem == null;
    }

    /** What running its job twice does, the stricter of description and class; null where nothing says. */
    public Effect effect() {
        return operation == null || operation.terms().effect() == null ? null
            : operation.terms().effect().value();
    }
}
