package gorserill.cluster;

/**
 * What a member of the cluster stands on: a clock of its own, one thread, and a way to others that may lose,
 * delay, double and reorder what is sent. All calls are made on that thread, and all callbacks come there.
 */
public interface ClusterEnvironment {
    /** Milliseconds of a clock that only goes forward. Two members' clocks start anywhere and may drift. */
    long millis();

    /** Runs it on the member's thread so much later, or later still; in the order of times. */
    void after(long millis, Runnable then);

    /** Sends a message to the member of that name; whether it arrives is not known. */
    void send(String to, byte[] message);
}
