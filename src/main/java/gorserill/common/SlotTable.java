package gorserill.common;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A table of values in numbered slots. A handle contains the slot number and the slot's use count, so that a stale
 * handle finds nothing instead of the value that reuses its slot. Not thread-safe; handles stay below 2^52.
 */
public final class SlotTable<T> {
    private static final int SLOT_BITS = 20;
    private static final int MAX_SLOTS = 1 << SLOT_BITS;

    private final List<T> values = new ArrayList<>();
    private final List<Integer> useCounts = new ArrayList<>();
    private final List<Integer> free = new ArrayList<>();
    private int size;

    /** Adds a value in the most recently freed slot; returns its handle, which is never 0. */
    public long add(T value) {
        int slot;
        if (free.isEmpty()) {
            slot = values.size();
            if (slot == MAX_SLOTS) {
                throw new IllegalStateException("slot table is full");
            }
            values.add(value);
            useCounts.add(1);
        } else {
            slot = free.remove(free.size() - 1);
            values.set(slot, value);
            useCounts.set(slot, useCounts.get(slot) + 1);
        }
        size++;
        return (long) useCounts.get(slot) << SLOT_BITS | slot;
    }

    /** The value of a handle, or null if it was removed. */
    public T get(long handle) {
        int slot = (int) handle & MAX_SLOTS - 1;
        return slot < values.size() && useCounts.get(slot) == handle >>> SLOT_BITS ? values.get(slot) : null;
    }

    /** Removes and returns the value of a handle, or returns null if it was removed before. */
    public T remove(long handle) {
        T value = get(handle);
        if (value != null) {
            int slot = (int) handle & MAX_SLOTS - 1;
            values.set(slot, null);
            free.add(slot);
            size--;
        }
        return value;
    }

    public int size() {
        return size;
    }

    /** Visits every value; the visitor may remove the value that it is given. */
    public void forEach(Consumer<T> visitor) {
        for (int slot = 0; slot < values.size(); slot++) {
            T value = values.get(slot);
            if (value != null) {
                visitor.accept(value);
            }
        }
    }
}
