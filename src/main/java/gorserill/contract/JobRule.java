package gorserill.contract;

import barrowflow.Dispatcher.Effect;

/**
 * What the settings say of a class of jobs; a description may be stricter, never weaker.
 *
 * @param index its place in the settings
 * @param deadline the longest that its clients wait, microseconds
 */
public record JobRule(String name, int index, Effect effect, long deadline) {}
