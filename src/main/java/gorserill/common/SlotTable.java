package gorserill.common;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A table of numbered slots. A handle names a slot and how often it was used, so that a handle kept past
 * its time finds nothing instead of the slot's next tenant. Not thread-safe; handles stay below 2^52.
 */
public final class SlotTable<T> {
    private static final int SLOT_BITS = 20;
    private static final int SLOTS = 1 << SLOT_BITS;

    private final List<T> tenants = new ArrayList<>();
    private final List<Integer> uses = new ArrayList<>();
    private final List<Integer> free = new ArrayList<>();
    private int size;

    /** Takes a free slot, the one freed last first; gives its handle, which is never 0. */
    public long add(T tenant) {
        int slot;
        if (free.isEmpty()) {
            slot = tenants.size();
            if (slot == SLOTS) {
                throw new IllegalStateException("the table is full");
            }
            tenants.add(tenant);
            uses.add(1);
        } else {
            slot = free.remove(free.size() - 1);
            tenants.set(slot, tenant);
            uses.set(slot, uses.get(slot) + 1);
        }
        size++;
        return (long) uses.get(slot) << SLOT_BITS | slot;
    }

    /** The tenant of a handle, or null when it has left. */
    public T get(long handle) {
        int slot = (int) handle & SLOTS - 1;
        return slot < tenants.size() && uses.get(slot) == handle >>> SLOT_BITS ? tenants.get(slot) : null;
    }

    /** Frees the slot; gives the tenant that left, or null when it had left before. */
    public T remove(long handle) {
        T tenant = get(handle);
        if (tenant != null) {
            int slot = (int) handle & SLOTS - 1;
            tenants.set(slot, null);
            free.add(slot);
            size--;
        }
        return tenant;
    }

    public int size() {
        return size;
    }

    /** Visits every tenant; the visitor may remove the one that it is given. */
    public void forEach(Consumer<T> visitor) {
        for (int slot = 0; slot < tenants.size(); slot++) {
            T tenant = tenants.get(slot);
            if (tenant != null) {
                visitor.accept(tenant);
            }
        }
    }
}
