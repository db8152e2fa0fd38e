package gorserill.program;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The workers that operators have excluded, by name. They are kept in a file that survives the process and is shared
 * by all processes of the node.
 */
final class Bans {
    private static final Logger LOG = Logger.getLogger(Bans.class.getName());

    private final String header;
    private final Path file;
    private final Path lockFile;
    private Set<String> names = new TreeSet<>();
    /** Identity, modification time and size of the file when it was last read; empty where there is none. */
    private Object lastStamp = "";

    /** @param folder where the file is kept; if null, bans are not stored and end with the process */
    Bans(Path folder, String node) {
        header = "bans of " + node.lines().findFirst().orElse("");
        String key = NodeConfig.fileKey(node) + ".bans";
        file = folder == null ? null : folder.resolve(key);
        lockFile = folder == null ? null : folder.resolve(key + ".lock");
        refresh();
    }

    boolean contains(String name) {
        return names.contains(name);
    }

    Set<String> names() {
        return Set.copyOf(names);
    }

    /** Adds or lifts the ban of a worker for all processes of the node; the file is in place when this returns. */
    void set(String name, boolean banned) throws IOException {
        if (file == null) {
            applyBan(names, name, banned);
            return;
        }
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock heldLock = channel.lock()) {
            Set<String> changed = new TreeSet<>(read());
            applyBan(changed, name, banned);
            List<String> lines = new ArrayList<>(changed);
            lines.add(0, header);
            lines.add("end " + changed.size());
            // Written to a temporary file and moved, so that a process killed here leaves no partial file.
            Path temporary =
                    Files.createTempFile(file.getParent(), file.getFileName().toString(), ".new");
            try {
                Files.write(temporary, lines);
                Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
            } finally {
                // Removes the temporary file after a failed write, for example on a full disk.
                Files.deleteIfExists(temporary);
            }
            names = changed;
            lastStamp = fileStamp();
        }
    }

    private static void applyBan(Set<String> names, String name, boolean banned) {
        if (banned) {
            names.add(name);
        } else {
            names.remove(name);
        }
    }

    /** Reads the file again if it has changed, and returns the workers whose ban has changed. */
    Set<String> refresh() {
        Object stamp = file == null ? lastStamp : fileStamp();
        if (stamp.equals(lastStamp)) {
            return Set.of();
        }
        lastStamp = stamp;
        Set<String> changed = new TreeSet<>(names);
        Set<String> current = read();
        changed.removeAll(current);
        for (String name : current) {
            if (!names.contains(name)) {
                changed.add(name);
            }
        }
        names = current;
        return changed;
    }

    private Object fileStamp() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return attributes.fileKey() + " " + attributes.lastModifiedTime() + " " + attributes.size();
        } catch (IOException e) {
            return "";
        }
    }

    /** Reads the banned names; empty if the file is incomplete or belongs to another node. */
    private Set<String> read() {
        try {
            List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
            int last = lines.size() - 1;
            if (last > 0 && lines.get(0).equals(header) && lines.get(last).equals("end " + (last - 1))) {
                return new TreeSet<>(lines.subList(1, last));
            }
            LOG.log(Level.WARNING, "{0} is torn, or another node''s; it bans nobody", file);
        } catch (NoSuchFileException e) {
            // No worker has been banned yet.
        } catch (IOException e) {
            LOG.log(Level.WARNING, "bans file {0} can''t be read; no worker is banned: {1}", new Object[] {file, e});
        }
        return new TreeSet<>();
    }
}
