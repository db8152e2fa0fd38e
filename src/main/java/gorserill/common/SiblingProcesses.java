package gorserill.common;

import java.io.IOException;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Shared state of the processes of one node that run at the same time, as during an upgrade: how many descriptors
 * each process holds and which requests are open in it. Each process owns a slot, a mapped file whose lock lasts as
 * long as the process. {@link #reportConnections} and {@link #descriptorsElsewhere} may be called from any thread,
 * all else on the loop's thread only.
 */
public final class SiblingProcesses {
    /** An old process, its successor, and one more that died during a handover. */
    private static final int MAX_PROCESSES = 3;
    /** Open requests that are published; further ones are not. */
    private static final int MAX_REQUEST_IDS = 1_023;

    private static final long REFRESH_MICROS = 250_000;

    private final Loop loop;
    private final List<Path> slotFiles = new ArrayList<>();
    private final int reservedDescriptors;
    /** Buffer entry of each published request, by request id. */
    private final Map<String, Integer> openEntries = new HashMap<>();

    private final List<Integer> freeEntries = new ArrayList<>();
    private int ownSlot = -1;
    private LongBuffer ownBuffer;
    /** Held until the process ends. */
    private FileLock ownLock;

    private volatile List<LongBuffer> otherBuffers = List.of();
    /** The buffer of each other slot as of the last refresh; null if no process owns the slot. */
    private final LongBuffer[] lastSeen = new LongBuffer[MAX_PROCESSES];

    private SiblingProcesses(Loop loop, int reservedDescriptors) {
        this.loop = loop;
        this.reservedDescriptors = reservedDescriptors;
    }

    /** For a process that never has siblings. */
    public static SiblingProcesses none() {
        return new SiblingProcesses(null, 0);
    }

    /**
     * Takes a slot among the processes of the node.
     *
     * @param reservedDescriptors descriptors that a process needs in addition to its connections
     */
    public static SiblingProcesses join(Loop loop, Path folder, String key, int reservedDescriptors)
            throws IOException {
        SiblingProcesses siblings = new SiblingProcesses(loop, reservedDescriptors);
        for (int slot = 0; slot < MAX_PROCESSES; slot++) {
            siblings.slotFiles.add(folder.resolve(key + "." + slot));
        }
        for (int slot = 0; slot < MAX_PROCESSES && siblings.ownSlot < 0; slot++) {
            siblings.tryTakeSlot(slot);
        }
        if (siblings.ownSlot < 0) {
            throw new IOException("all " + MAX_PROCESSES + " process slots of the node are taken");
        }
        siblings.reportConnections(0);
        siblings.refresh();
        return siblings;
    }

    private static FileChannel channel(Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    private static FileLock lock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    private static LongBuffer map(FileChannel channel) throws IOException {
        return channel.map(FileChannel.MapMode.READ_WRITE, 0, (1 + MAX_REQUEST_IDS) * Long.BYTES)
                .asLongBuffer();
    }

    private void tryTakeSlot(int slot) throws IOException {
        FileChannel channel = channel(slotFiles.get(slot));
        ownLock = lock(channel);
        if (ownLock == null) {
            channel.close();
            return;
        }
        ownSlot = slot;
        ownBuffer = map(channel);
        for (int i = 0; i <= MAX_REQUEST_IDS; i++) {
            // The previous owner of the slot has ended, so its entries are no longer valid.
            ownBuffer.put(i, 0);
        }
        for (int i = MAX_REQUEST_IDS; i > 0; i--) {
            freeEntries.add(i);
        }
    }

    /** Detects periodically which other processes are alive. */
    private void refresh() {
        for (int slot = 0; slot < slotFiles.size(); slot++) {
            if (slot != ownSlot) {
                try (FileChannel channel = channel(slotFiles.get(slot));
                        FileLock otherLock = lock(channel)) {
                    lastSeen[slot] = otherLock == null ? map(channel) : null;
                } catch (IOException e) {
                    // A process out of descriptors can't open the file. The last known state is kept until it can,
                    // because treating a live process as gone would accept requests whose ids are open there.
                }
            }
        }
        List<LongBuffer> alive = new ArrayList<>();
        for (LongBuffer other : lastSeen) {
            if (other != null) {
                alive.add(other);
            }
        }
        otherBuffers = List.copyOf(alive);
        loop.at(loop.now() + REFRESH_MICROS, this::refresh);
    }

    public boolean isAlone() {
        return otherBuffers.isEmpty();
    }

    /** Publishes how many connections this process holds; may be called from any thread. */
    public void reportConnections(int connections) {
        if (ownBuffer != null) {
            ownBuffer.put(0, connections + reservedDescriptors);
        }
    }

    /** Descriptors that other processes hold or need; may be called from any thread. */
    public int descriptorsElsewhere() {
        int sum = 0;
        for (LongBuffer other : otherBuffers) {
            sum += (int) other.get(0);
        }
        return sum;
    }

    /** Publishes a request that is open in this process. */
    public void requestOpened(String id) {
        if (ownBuffer != null && !freeEntries.isEmpty()) {
            int entry = freeEntries.remove(freeEntries.size() - 1);
            openEntries.put(id, entry);
            ownBuffer.put(entry, hash(id));
        }
    }

    /** Removes a request that is no longer open in this process. */
    public void requestClosed(String id) {
        Integer entry = openEntries.remove(id);
        if (entry != null) {
            ownBuffer.put(entry, 0);
            freeEntries.add(entry);
        }
    }

    /** Whether a request of this id is open in another process. */
    public boolean isOpenElsewhere(String id) {
        if (otherBuffers.isEmpty()) {
            return false;
        }
        long hash = hash(id);
        for (LongBuffer other : otherBuffers) {
            for (int i = 1; i <= MAX_REQUEST_IDS; i++) {
                if (other.get(i) == hash) {
                    return true;
                }
            }
        }
        return false;
    }

    /** 64-bit FNV-1a; never 0, which marks an unused entry. */
    private static long hash(String id) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
        }
        return hash == 0 ? 1 : hash;
    }
}
