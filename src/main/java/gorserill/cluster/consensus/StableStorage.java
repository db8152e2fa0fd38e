package gorserill.cluster.consensus;

import java.io.IOException;
import java.util.SortedMap;

/**
 * Persistent key-value storage of a voter: changes made before a {@link #flush} that returned normally
 * survive a crash.
 */
public interface StableStorage {
    void put(String key, String text);

    void remove(String key);

    /** All entries by key. */
    SortedMap<String, String> all();

    /**
     * Makes all changes durable.
     *
     * @throws IOException if the durable state is unknown; the storage must not be used any more
     */
    void flush() throws IOException;
}
