package gorserill.common;

import java.io.IOException;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Shared state of the processes of one node that run at the same time, as during an upgrade: how many descriptors
 * each process holds, which requests are open in it, and which jobs that must not run twice it has handed to workers.
 * The last outlast their process: those that run beside it take them over when it ends. Each process owns a slot, a
 * mapped file whose lock lasts as long as the process. {@link #reportConnections} and {@link #descriptorsElsewhere} may
 * be called from any thread, all else on the loop's thread only.
 */
public final class SiblingProcesses {
    /** An old process, its successor, and one more that died during a handover. */
    private static final int MAX_PROCESSES = 3;
    /** Open requests that are published; further ones are not. */
    private static final int MAX_REQUEST_IDS = 1_023;
    /** Unsafe jobs that are published, and that are taken over from processes that have ended. */
    public static final int MAX_UNSAFE_JOBS = 4_096;

    private static final int FIRST_UNSAFE_JOB = 1 + MAX_REQUEST_IDS;

    private static final long REFRESH_MICROS = 250_000;

    private final Loop loop;
    private final List<Path> slotFiles = new ArrayList<>();
    private final int reservedDescriptors;
    /** Null for a process that never has siblings, like the next one. */
    private PublishedIds openIds;

    private PublishedIds unsafeIds;
    /** Hashes of the unsafe jobs of processes that have ended, oldest first. */
    private final Set<Long> inheritedUnsafeJobs = new LinkedHashSet<>();

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
        return channel.map(FileChannel.MapMode.READ_WRITE, 0, (FIRST_UNSAFE_JOB + MAX_UNSAFE_JOBS) * Long.BYTES)
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
        // The previous owner of the slot has ended, so its entries are no longer valid.
        ownBuffer.put(0, 0);
        openIds = new PublishedIds(openIdsIn(ownBuffer));
        unsafeIds = new PublishedIds(unsafeJobsIn(ownBuffer));
    }

    private static LongBuffer openIdsIn(LongBuffer slot) {
        return slot.slice(1, MAX_REQUEST_IDS);
    }

    private static LongBuffer unsafeJobsIn(LongBuffer slot) {
        return slot.slice(FIRST_UNSAFE_JOB, MAX_UNSAFE_JOBS);
    }

    /** Detects periodically which other processes are alive. */
    private void refresh() {
        for (int slot = 0; slot < slotFiles.size(); slot++) {
            if (slot != ownSlot) {
                try (FileChannel channel = channel(slotFiles.get(slot));
                        FileLock otherLock = lock(channel)) {
                    if (otherLock == null) {
                        lastSeen[slot] = map(channel);
                    } else if (lastSeen[slot] != null) {
                        inheritUnsafeJobs(unsafeJobsIn(lastSeen[slot]));
                        lastSeen[slot] = null;
                    }
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

    /**
     * Takes over and publishes what an ended process has published, for the next upgrade. Called while the lock of that
     * process's slot is held, so that no successor clears the entries meanwhile.
     */
    private void inheritUnsafeJobs(LongBuffer jobs) {
        for (int entry = 0; entry < jobs.capacity(); entry++) {
            long hash = jobs.get(entry);
            if (hash != 0 && inheritedUnsafeJobs.add(hash)) {
                unsafeIds.add(hash);
            }
        }
        while (inheritedUnsafeJobs.size() > MAX_UNSAFE_JOBS) {
            forgetOldestInherited();
        }
    }

    private void forgetOldestInherited() {
        Iterator<Long> oldest = inheritedUnsafeJobs.iterator();
        if (oldest.hasNext()) {
            unsafeIds.remove(oldest.next());
            oldest.remove();
        }
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
        if (openIds != null) {
            openIds.add(PublishedIds.hash(id));
        }
    }

    /** Removes a request that is no longer open in this process. */
    public void requestClosed(String id) {
        if (openIds != null) {
            openIds.remove(PublishedIds.hash(id));
        }
    }

    /** Whether a request of this id is open in another process. */
    public boolean isOpenElsewhere(String id) {
        return isPublishedElsewhere(SiblingProcesses::openIdsIn, id);
    }

    /** Publishes an unsafe job that this process hands to a worker. */
    public void unsafeJobHandedOut(String id) {
        if (unsafeIds != null) {
            if (unsafeIds.isFull()) {
                forgetOldestInherited();
            }
            unsafeIds.add(PublishedIds.hash(id));
        }
    }

    /** Removes an unsafe job that has provably not run, or that is too old to be remembered. */
    public void unsafeJobForgotten(String id) {
        if (unsafeIds != null) {
            unsafeIds.remove(PublishedIds.hash(id));
        }
    }

    /** Whether another process, running or ended, has handed an unsafe job of this id to a worker. */
    public boolean mayHaveRunElsewhere(String id) {
        return isPublishedElsewhere(SiblingProcesses::unsafeJobsIn, id)
                || !inheritedUnsafeJobs.isEmpty() && inheritedUnsafeJobs.contains(PublishedIds.hash(id));
    }

    private boolean isPublishedElsewhere(UnaryOperator<LongBuffer> tableInSlot, String id) {
        long hash = otherBuffers.isEmpty() ? 0 : PublishedIds.hash(id);
        for (LongBuffer other : otherBuffers) {
            if (PublishedIds.contains(tableInSlot.apply(other), hash)) {
                return true;
            }
        }
        return false;
    }
}
