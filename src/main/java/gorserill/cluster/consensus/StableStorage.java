package gorserill.cluster.consensus;

import java.io.IOException;
import java.util.SortedMap;

/**
 * Where a voter keeps texts by name: what was put before a {@link #flush} that returned outlasts any crash.
 */
public interface StableStorage {
    void put(String key, String text);

    void remove(String key);

    /** All that is there, by name. */
    SortedMap<String, String> all();

    /**
     * @throws IOException where it is not known what outlasts a crash: then the shelf is to be used no more
     */
    void flush() throws IOException;
}
