package gorserill.cluster.consensus;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SortedMap;
import java.util.TreeMap;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/** A shelf in one file, by H2's MVStore: chunks with checksums, synced to the disk at each flush. */
public final class DiskStorage implements StableStorage, Closeable {
    /** Megabytes; a voter keeps a short log, and the node has a small heap. */
    private static final int CACHE = 1;
    /** Milliseconds in which a file that is too long is made shorter. */
    private static final int COMPACTING = 200;

    private final Path file;
    private final long most;
    private final MVStore store;
    private final MVMap<String, String> texts;

    /**
     * @param most bytes that the file may take. Danger: unbounded, it would take the disk from all else
     * @throws IOException with the file's name, where it can't be read or is in use
     */
    public DiskStorage(Path file, long most) throws IOException {
        this.file = file;
        this.most = most;
        try {
            store = new MVStore.Builder()
                    .fileName(file.toString())
                    .autoCommitDisabled()
                    .cacheSize(CACHE)
                    .open();
            texts = store.openMap("voter");
        } catch (MVStoreException e) {
            throw new IOException(file + ": can't be used as a voter's store: " + e.getMessage(), e);
        }
    }

    @Override
    public void put(String key, String text) {
        texts.put(key, text);
    }

    @Override
    public void remove(String key) {
        texts.remove(key);
    }

    @Override
    public SortedMap<String, String> all() {
        return new TreeMap<>(texts);
    }

    @Override
    public void flush() throws IOException {
        try {
            if (Files.size(file) > most) {
                store.compactFile(COMPACTING);
                if (Files.size(file) > most) {
                    throw new IOException(file + " is over store_kb: " + Files.size(file) + " bytes");
                }
            }
            store.commit();
            store.sync();
        } catch (MVStoreException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        store.closeImmediately();
    }
}
