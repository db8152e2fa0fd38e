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

/**
 * Stable storage in a single file, by the MVStore of H2: chunks with checksums, synced to disk at each flush.
 */
public final class DiskStorage implements StableStorage, Closeable {
    /** Cache size in megabytes; the log of a voter is short, and the heap of a node is small. */
    private static final int CACHE_MB = 1;
    /** Time limit for compacting the file, in milliseconds. */
    private static final int COMPACT_TIME_MS = 200;

    private final Path file;
    private final long maxBytes;
    private final MVStore store;
    private final MVMap<String, String> texts;

    /**
     * @param maxBytes maximum size of the file; without a limit it could fill the disk
     * @throws IOException naming the file, if it can't be read or is in use
     */
    public DiskStorage(Path file, long maxBytes) throws IOException {
        this.file = file;
        this.maxBytes = maxBytes;
        try {
            store = new MVStore.Builder()
                    .fileName(file.toString())
                    .autoCommitDisabled()
                    .cacheSize(CACHE_MB)
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
            if (Files.size(file) > maxBytes) {
                store.compactFile(COMPACT_TIME_MS);
                if (Files.size(file) > maxBytes) {
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
