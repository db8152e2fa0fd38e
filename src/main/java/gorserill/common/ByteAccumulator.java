package gorserill.common;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Collects bytes that arrive in pieces; unlike the JDK's streams it tells how much memory it holds. */
public final class ByteAccumulator {
    private static final byte[] EMPTY = {};
    private static final int MIN_CAPACITY_BYTES = 256;

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
            int larger = Math.max(MIN_CAPACITY_BYTES, bytes.length + bytes.length / 2);
            bytes = Arrays.copyOf(bytes, Math.max(needed, larger));
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
