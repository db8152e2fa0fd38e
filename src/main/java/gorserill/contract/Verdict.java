package gorserill.contract;

import barrowflow.Dispatcher.Effect;

/**
 * What a contract says of a request: let in, with what was learned of it, or turned away.
 *
 * @param operation that it is for; null where it is for none
 * @param key that its repeats are told by; null where it has none
 * @param problem why it is turned away; null where it is let in
 * @param effect what running its job twice does; null where nothing says
 */
public record Verdict(Operation operation, String key, Problem problem, Effect effect) {
    static Verdict admitted(Operation operation, String key) {
        return new Verdict(operation, key, null, effectOf(operation));
    }

    static Verdict turnedAway(Operation operation, Problem problem) {
        return new Verdict(operation, null, problem, effectOf(operation));
    }

    private static Effect effectOf(Operation operation) {
        return operation == null || operation.terms().effect() == null
                ? null
                : operation.terms().effect().value();
    }

    public boolean letIn() {
        return problem == null;
    }
}
