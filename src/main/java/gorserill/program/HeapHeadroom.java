package gorserill.program;

import gorserill.contract.read.Headroom;
import gorserill.contract.read.NoHeadroomException;
import java.util.function.LongSupplier;

/**
 * Keeps a part of the heap free for requests while a description is read. Without it a description that the heap has no
 * room for would end the process, which stops at the first OutOfMemoryError. For one thread.
 */
final class HeapHeadroom implements Headroom {
    /** The heap is looked at once so much was announced. */
    private static final long STEP_BYTES = 256 * 1024;
    /** Free memory, as a share of the heap, that a collection has to leave, so that collections stay rare. */
    private static final int MIN_GAIN_SHARE = 16;

    private final LongSupplier reservedBytes;
    private final Heap heap;
    private long announcedBytes;

    /** The heap of this process; replaced in tests. */
    interface Heap {
        long maxBytes();

        /** Unused memory, without what a collection would free. */
        long freeBytes();

        void collect();
    }

    /** @param reservedBytes what requests may need at that time */
    HeapHeadroom(LongSupplier reservedBytes) {
        this(reservedBytes, new JvmHeap());
    }

    HeapHeadroom(LongSupplier reservedBytes, Heap heap) {
        this.reservedBytes = reservedBytes;
        this.heap = heap;
    }

    @Override
    public void require(long bytes) {
        announcedBytes += bytes;
        if (announcedBytes >= STEP_BYTES) {
            long needed = announcedBytes + reservedBytes.getAsLong();
            announcedBytes = 0;
            if (heap.freeBytes() < needed) {
                heap.collect();
                requireFree(needed + heap.maxBytes() / MIN_GAIN_SHARE);
            }
        }
    }

    private void requireFree(long neededBytes) {
        long free = heap.freeBytes();
        if (free < neededBytes) {
            throw new NoHeadroomException("no memory to read it: of a heap of " + (heap.maxBytes() >> 20) + " MB "
                    + (free >> 20) + " MB are free, " + (neededBytes >> 20) + " MB are needed for it and for requests");
        }
    }

    private static final class JvmHeap implements Heap {
        @Override
        public long maxBytes() {
            return Runtime.getRuntime().maxMemory();
        }

        @Override
        public long freeBytes() {
            Runtime jvm = Runtime.getRuntime();
            return jvm.maxMemory() - jvm.totalMemory() + jvm.freeMemory();
        }

        @Override
        public void collect() {
            System.gc();
        }
    }
}
