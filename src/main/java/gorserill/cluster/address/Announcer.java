package gorserill.cluster.address;

import java.util.function.Consumer;

/** Where an address is announced; whoever sends clients on looks there. */
public interface Announcer {
    /** What became of it. */
    enum AnnounceResult {
        DONE,
        /** A newer owner has announced: this one is not to try again. */
        TOO_LATE,
        UNKNOWN
    }

    /**
     * Puts an address in the place of what stands there.
     *
     * @param epoch rises from owner to owner; a registry that looks at it refuses lower ones than it has
     * @param then is told on the member's thread, once
     */
    void announce(String value, long epoch, Consumer<AnnounceResult> then);

    /** Tells, on the member's thread, once, what is announced at present; null where that is not known. */
    void lookUp(Consumer<String> then);
}
