package gorserill.cluster.address;

import java.util.function.Consumer;

/** Access to the registry from which load balancers or DNS learn the service address. */
public interface Announcer {
    /** The result of an announcement. */
    enum AnnounceResult {
        DONE,
        /** A newer owner has announced its address; this one must not retry. */
        TOO_LATE,
        UNKNOWN
    }

    /**
     * Replaces the announced address.
     *
     * @param epoch increases from owner to owner; a registry that checks it rejects an epoch lower than the
     *     last one it accepted
     * @param then receives the result once, on the member's thread
     */
    void announce(String value, long epoch, Consumer<AnnounceResult> then);

    /** Passes the announced address, or null if it is not known, to {@code then}, once, on the member's thread. */
    void lookUp(Consumer<String> then);
}
