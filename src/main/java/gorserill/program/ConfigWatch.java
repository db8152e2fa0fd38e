package gorserill.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

/**
 * Polls the configuration file and triggers a reload when it changes. Replaces SIGHUP in a process that was started
 * with that signal ignored (as {@code nohup} does), since the JVM then accepts no handler for it.
 */
final class ConfigWatch {
    /** Polling period; a change triggers a reload once two successive polls see the same file. */
    static final int PERIOD_MILLIS = 250;

    /** File attributes whose difference indicates a change. */
    private record Stamp(FileTime modified, long bytes, Object file) {}

    private final Path file;
    /** Taken at construction or at the last reported change, so that a change during the start is reported too. */
    private Stamp acceptedStamp;

    private Stamp previousStamp;

    /** Must be called before the configuration is first read. */
    ConfigWatch(Path file) {
        this.file = file;
        acceptedStamp = stamp();
        previousStamp = acceptedStamp;
    }

    /** Polls on a daemon thread until the process ends. */
    void start(Runnable onChange) {
        Thread watcher = new Thread(() -> watch(onChange), "configuration watch");
        watcher.setDaemon(true);
        watcher.start();
    }

    private void watch(Runnable onChange) {
        try {
            for (; ; ) {
                Thread.sleep(PERIOD_MILLIS);
                if (isChanged()) {
                    onChange.run();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Polls once and returns whether the file has changed since the last reported change. A file that is missing
     * or differs from the previous poll may still be being written; it is reported only once it is stable.
     */
    boolean isChanged() {
        Stamp current = stamp();
        boolean stable = current != null && current.equals(previousStamp);
        previousStamp = current;
        if (!stable || current.equals(acceptedStamp)) {
            return false;
        }
        acceptedStamp = current;
        return true;
    }

    /** Returns null if the file does not exist. */
    private Stamp stamp() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new Stamp(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
        } catch (IOException e) {
            return null;
        }
    }
}
