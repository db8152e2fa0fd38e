package gorserill.protocol;

/**
 * Properties of a job class that client frontends need.
 *
 * @param index index of the class in the settings
 * @param deadline longest time that a client waits, in microseconds
 * @param keyed whether its jobs carry a key by which workers detect repeats
 * @param unsafe whether its jobs must never run twice
 */
public record JobClassInfo(int index, long deadline, boolean keyed, boolean unsafe) {}
