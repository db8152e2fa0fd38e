package gorserill.cluster.lab;

import gorserill.cluster.consensus.StableStorage;
import java.io.IOException;
import java.util.SortedMap;
import java.util.TreeMap;

/** A shelf in memory that loses unflushed data on a crash; its flushes can be made to fail, and its data erased. */
final class SimulatedShelf implements StableStorage {
    private SortedMap<String, String> flushed = new TreeMap<>();
    private SortedMap<String, String> current = new TreeMap<>();
    boolean failing;

    @Override
    public void put(String key, String text) {
        current.put(key, text);
    }

    @Override
    public void remove(String key) {
        current.remove(key);
    }

    @Override
    public SortedMap<String, String> all() {
        return new TreeMap<>(current);
    }

    @Override
    public void flush() throws IOException {
        if (failing) {
            throw new IOException("no space left");
        }
        flushed = new TreeMap<>(current);
    }

    void crash() {
        current = new TreeMap<>(flushed);
        failing = false;
    }

    void erase() {
        flushed.clear();
        current.clear();
    }
}
