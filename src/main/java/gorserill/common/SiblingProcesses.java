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
 * What the processes of one node that run beside each other tell each other: how many descriptors each holds,
 * and which requests are open there. Each has a place of its own, a mapped file whose lock lasts as long as
 * the process. Descriptors may be told from any thread; all else is for the loop's.
 */
public final class SiblingProcesses {
    /** An old process, its successor, and one more that died on the way. */
    private static final int PLACES = 3;
    /** Open requests told of; those beyond are not. */
    private static final int IDS = 1_023;

    private static final long LOOK_AGAIN = 250_000;

    private final Loop loop;
    private final List<Path> places = new ArrayList<>();
    private final int descriptorsOfItsOwn;
    private final Map<String, Integer> open = new HashMap<>();
    private final List<Integer> free = new ArrayList<>();
    private int mine = -1;
    private LongBuffer told;
    /** Held until the process ends. */
    private FileLock held;

    private volatile List<LongBuffer> others = List.of();
    /** What each other place showed when it was last looked at; null where nobody holds it. */
    private final LongBuffer[] seen = new LongBuffer[PLACES];

    private SiblingProcesses(Loop loop, int descriptorsOfItsOwn) {
        this.loop = loop;
        this.descriptorsOfItsOwn = descriptorsOfItsOwn;
    }

    /** A process that runs alone for good. */
    public static SiblingProcesses none() {
        return new SiblingProcesses(null, 0);
    }

    /**
     * Takes a place among the node's processes.
     *
     * @param descriptorsOfItsOwn those that a process needs besides its connections
     */
    public static SiblingProcesses join(Loop loop, Path folder, String key, int descriptorsOfItsOwn)
            throws IOException {
        SiblingProcesses siblings = new SiblingProcesses(loop, descriptorsOfItsOwn);
        for (int place = 0; place < PLACES; place++) {
            siblings.places.add(folder.resolve(key + "." + place));
        }
        for (int place = 0; place < PLACES && siblings.mine < 0; place++) {
            siblings.take(place);
        }
        if (siblings.mine < 0) {
            throw new IOException("all " + PLACES + " places are taken");
        }
        siblings.reportConnections(0);
        siblings.look();
        return siblings;
    }

    private static FileChannel channel(Path place) throws IOException {
        return FileChannel.open(place, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    private static FileLock lock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    private static LongBuffer map(FileChannel channel) throws IOException {
        return channel.map(FileChannel.MapMode.READ_WRITE, 0, (1 + IDS) * Long.BYTES)
                .asLongBuffer();
    }

    private void take(int place) throws IOException {
        FileChannel channel = channel(places.get(place));
        held = lock(channel);
        if (held == null) {
            channel.close();
            return;
        }
        mine = place;
        told = map(channel);
        for (int i = 0; i <= IDS; i++) {
            // Danger: whoever had the place before is dead, and what it told holds no more.
            told.put(i, 0);
        }
        for (int i = IDS; i > 0; i--) {
            free.add(i);
        }
    }

    /** Sees who else runs, again and again. */
    private void look() {
        for (int place = 0; place < places.size(); place++) {
            if (place != mine) {
                try (FileChannel channel = channel(places.get(place));
                        FileLock theirs = lock(channel)) {
                    seen[place] = theirs == null ? map(channel) : null;
                } catch (IOException e) {
                    // Danger: a process out of descriptors can't open a place. Taking whoever holds it for
                    // gone would take ids that are open there; what was seen last holds until it can look.
                }
            }
        }
        List<LongBuffer> alive = new ArrayList<>();
        for (LongBuffer other : seen) {
            if (other != null) {
                alive.add(other);
            }
        }
        others = List.copyOf(alive);
        loop.at(loop.now() + LOOK_AGAIN, this::look);
    }

    public boolean isAlone() {
        return others.isEmpty();
    }

    /** This process holds so many connections; any thread may tell. */
    public void reportConnections(int connections) {
        if (told != null) {
            told.put(0, connections + descriptorsOfItsOwn);
        }
    }

    /** How many descriptors other processes hold or need; any thread may ask. */
    public int descriptorsElsewhere() {
        int sum = 0;
        for (LongBuffer other : others) {
            sum += (int) other.get(0);
        }
        return sum;
    }

    /** A request is open here from now on. */
    public void requestOpened(String id) {
        if (told != null && !free.isEmpty()) {
            int slot = free.remove(free.size() - 1);
            open.put(id, slot);
            told.put(slot, hash(id));
        }
    }

    /** A request is open here no more. */
    public void requestClosed(String id) {
        Integer slot = open.remove(id);
        if (slot != null) {
            told.put(slot, 0);
            free.add(slot);
        }
    }

    /** Whether a request of that id is open at another process. */
    public boolean isOpenElsewhere(String id) {
        if (others.isEmpty()) {
            return false;
        }
        long hash = hash(id);
        for (LongBuffer other : others) {
            for (int i = 1; i <= IDS; i++) {
                if (other.get(i) == hash) {
                    return true;
                }
            }
        }
        return false;
    }

    /** FNV-1a, of 64 bits; never 0. */
    private static long hash(String id) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
        }
        return hash == 0 ? 1 : hash;
    }
}
