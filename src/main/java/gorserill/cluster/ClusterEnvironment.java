package gorserill.cluster;

/**
 * The environment of a cluster member: its clock, its single thread, and a network that may lose, delay,
 * duplicate and reorder messages. All calls and callbacks run on that thread.
 */
public interface ClusterEnvironment {
    /** Milliseconds of a monotonic clock. The clocks of two members have different origins and may drift. */
    long millis();

    /** Runs a task on the thread of the member after at least this delay, in the order of the due times. */
    void after(long millis, Runnable then);

    /** Sends a message to the named member, without guarantee of delivery. */
    void send(String to, byte[] message);
}
