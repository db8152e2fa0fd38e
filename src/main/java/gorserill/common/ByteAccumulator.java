package gorserill.common;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Collects bytes that arrive in pieces; unlike the JDK's streams it tells how much memory it holds. */
public final class ByteAccumulator {
    private static final byte[] EMPTY = {};
    private static final int MIN_CAPACITY_BYTES = 256;
    /** Larger capacities are multiples of this: the capacity is charged to a budget, and spare room is wasted there. */
    private static final int CAPACITY_STEP_BYTES = 4 * 1024;

    private byte[] bytes = EMPTY;
    private int size;

    /** Takes so many bytes from the buffer. */
    public void append(ByteBuffer in, int length) {
        ensureCapacity(size + length);
        in.get(bytes, size, length);
        size += length;
    }

    private void ensureCapacity(int needed) {
        if (needed > bytes.length) {
            int steps = (needed + CAPACITY_STEP_BYTES - 1) / CAPACITY_STEP_BYTES;
            int capacity = needed <= MIN_CAPACITY_BYTES ? MIN_CAPACITY_BYTES : steps * CAPACITY_STEP_BYTES;
            bytes = Arrays.copyOf(bytes, capacity);
        }
    }

    public int size() {
        return size;
    }

    /** Memory held, in bytes. */
    public int capacity() {
        return bytes.length;
    }

    /** Returns what was collected, and starts anew. */
    public byte[] take() {
        byte[] taken = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
        clear();
        return taken;
    }

    /** Drops what was collected, and its memory. */
    public void clear() {
        bytes = EMPTY;
        size = 0;
    }
}
