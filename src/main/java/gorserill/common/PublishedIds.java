package gorserill.common;

import java.nio.LongBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * A table of request ids in memory that other processes of the node read, as 64-bit hashes. Ids beyond its size are not
 * published.
 */
final class PublishedIds {
    private final LongBuffer buffer;
    /** Buffer entry of each published id, by the id's hash. */
    private final Map<Long, Integer> entries = new HashMap<>();

    private final Deque<Integer> freeEntries = new ArrayDeque<>();

    /** @param buffer all of it is used; its previous contents are no longer valid */
    PublishedIds(LongBuffer buffer) {
        this.buffer = buffer;
        for (int entry = 0; entry < buffer.capacity(); entry++) {
            buffer.put(entry, 0);
            freeEntries.add(entry);
        }
    }

    boolean isFull() {
        return freeEntries.isEmpty();
    }

    void add(long hash) {
        if (!isFull() && !entries.containsKey(hash)) {
            int entry = freeEntries.remove();
            entries.put(hash, entry);
            buffer.put(entry, hash);
        }
    }

    void remove(long hash) {
        Integer entry = entries.remove(hash);
        if (entry != null) {
            buffer.put(entry, 0);
            freeEntries.addFirst(entry);
        }
    }

    /** Whether a table, of this process or another, has the hash. */
    static boolean contains(LongBuffer table, long hash) {
        for (int entry = 0; entry < table.capacity(); entry++) {
            if (table.get(entry) == hash) {
                return true;
            }
        }
        return false;
    }

    /** 64-bit FNV-1a; never 0, which marks an unused entry. */
    static long hash(String id) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
        }
        return hash == 0 ? 1 : hash;
    }
}
