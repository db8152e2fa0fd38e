package gorserill.protocol;

/**
 * What a front is told of a class of jobs.
 *
 * @param index its place in the settings' list
 * @param deadline how long a client waits at the most, microseconds
 * @param keyed whether its jobs carry a key that workers tell repeats by
 * @param unsafe whether its jobs must never run twice
 */
public record JobClassInfo(int index, long deadline, boolean keyed, boolean unsafe) {}
