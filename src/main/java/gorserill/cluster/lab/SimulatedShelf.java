package gorserill.cluster.lab;

import gorserill.cluster.consensus.StableStorage;
import java.io.IOException;
import java.util.SortedMap;
import java.util.TreeMap;

/** A shelf that loses at a crash what was not flushed, and can be made to fail or to forget. */
final class SimulatedShelf implements StableStorage {
    private SortedMap<String, String> kept = new TreeMap<>();
    private SortedMap<String, String> now = new TreeMap<>();
    boolean fails;

    @Override
    public void put(String key, String text) {
        now.put(key, text);
    }

    @Override
    public void remove(String key) {
        now.remove(key);
    }

    @Override
    public SortedMap<String, String> all() {
        return new TreeMap<>(now);
    }

    @Override
    public void flush() throws IOException {
        if (fails) {
            throw new IOException("no space left");
        }
        kept = new TreeMap<>(now);
    }

    void crash() {
        now = new TreeMap<>(kept);
        fails = false;
    }

    void forget() {
        kept.clear();
        now.clear();
    }
}
